// Package workerapi is the interface between the daemons and the workers. The
// workers' real protocol is adapted here; the rest of the system sees only
// these types.
package workerapi

import (
	"context"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Operation is what a daemon asks a worker to do.
type Operation string

// The operations.
const (
	Reserve    Operation = "reserve"
	Start      Operation = "start"
	Checkpoint Operation = "checkpoint"
	Throttle   Operation = "throttle"
	Stop       Operation = "stop"
	Status     Operation = "status"
	Renew      Operation = "renew"
)

// TaskState is a worker's truthful view of one task of one attempt.
type TaskState string

// The task states. A worker that never heard of a fencing number answers a
// stop with TaskNotStarted and refuses a later start under that number.
const (
	TaskReserved   TaskState = "reserved"
	TaskRunning    TaskState = "running"
	TaskFinished   TaskState = "finished"
	TaskStopped    TaskState = "stopped"     // it ran and was stopped
	TaskNotStarted TaskState = "not_started" // it can never start under this number
	TaskAbsent     TaskState = "absent"      // nothing is known of it
)

// Command is one message to a worker. Operation numbers are unique for one
// daemon process; a command sent again carries the same number.
type Command struct {
	Op     Operation   `json:"op"`
	Number uint64      `json:"number"`
	Zone   string      `json:"zone"`
	Term   uint64      `json:"term"` // the zone leader's term
	Fence  uint64      `json:"fence,omitempty"`
	Job    model.JobID `json:"job,omitempty"`
	Task   int         `json:"task"`
	// Spec, Accelerators and LeaseSeconds go with reserve and start.
	Spec         *model.JobSpec `json:"spec,omitempty"`
	Accelerators []int          `json:"accelerators,omitempty"`
	LeaseSeconds float64        `json:"lease_seconds,omitempty"`
	// Echo is the Clock of an earlier reply of the same worker process. A start
	// or renew makes the lease end LeaseSeconds after Echo, by the worker's own
	// clock, so a message that was delayed on its way cannot extend a lease. A
	// renew with Echo 0 extends nothing.
	Echo int64 `json:"echo,omitempty"`
	// EchoIncarnation is the incarnation that Echo belongs to; a worker ignores
	// the echo of another incarnation.
	EchoIncarnation uint64 `json:"echo_incarnation,omitempty"`
	// Fences are the attempts whose leases a renew extends.
	Fences []uint64 `json:"fences,omitempty"`
}

// Reply is a worker's answer to a command.
type Reply struct {
	Number uint64            `json:"number"`
	State  TaskState         `json:"state,omitempty"`
	Result *model.TaskResult `json:"result,omitempty"`
	// Refused is the reason for which the worker did not carry out the command.
	Refused model.Reason `json:"refused,omitempty"`
	Detail  string       `json:"detail,omitempty"`
	// Term is the highest term that the worker has seen for the zone.
	Term uint64 `json:"term"`
	// Incarnation is the worker process's incarnation. A worker that answers a
	// stop with TaskAbsent under the incarnation that reserved the task has never
	// started it.
	Incarnation uint64 `json:"incarnation"`
	// Clock is the worker's monotonic clock in milliseconds when it answered.
	Clock int64 `json:"clock"`
	// Unknown are the fences of a renew that the worker holds no task for.
	Unknown []uint64 `json:"unknown,omitempty"`
}

// Report is a task's end or usage, sent by a worker until it is acknowledged.
type Report struct {
	Worker string      `json:"worker"`
	Job    model.JobID `json:"job"`
	Fence  uint64      `json:"fence"`
	// Result is set when the task has finished.
	Result *model.TaskResult `json:"result,omitempty"`
	Usage  *Usage            `json:"usage,omitempty"`
}

// Usage is what a task used, reported with a lag.
type Usage struct {
	Task      int       `json:"task"`
	At        time.Time `json:"at"`
	CPU       float64   `json:"cpu"` // cores
	MemoryMiB int       `json:"memory_mib"`
}

// Client sends commands to workers.
type Client interface {
	// Do sends a command to the worker at address. An error of type
	// *UnreachableError means that it is not known whether the worker carried
	// the command out.
	Do(ctx context.Context, address string, c *Command) (*Reply, error)
}

// UnreachableError says that no answer came from a worker.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return "worker at " + e.Address + " did not answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
