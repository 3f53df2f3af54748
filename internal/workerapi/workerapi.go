// Package workerapi defines the interface between the daemons and the workers.
// It adapts the workers' actual protocol; the rest of the system uses only the
// types of this package.
package workerapi

import (
	"context"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Operation is the operation that a command asks a worker to carry out.
type Operation string

// The operations of a worker.
const (
	Reserve    Operation = "reserve"
	Start      Operation = "start"
	Checkpoint Operation = "checkpoint"
	Throttle   Operation = "throttle"
	Stop       Operation = "stop"
	Status     Operation = "status"
	Renew      Operation = "renew"
)

// TaskState is the state of one task of one attempt as its worker reports it.
// Workers must report it truthfully.
type TaskState string

// The task states. A worker that does not know a fencing token answers a stop
// with TaskNotStarted and refuses a later start with that token.
const (
	TaskReserved   TaskState = "reserved"
	TaskRunning    TaskState = "running"
	TaskFinished   TaskState = "finished"
	TaskStopped    TaskState = "stopped"     // it ran and was stopped
	TaskNotStarted TaskState = "not_started" // it did not start and never will with this fencing token
	TaskAbsent     TaskState = "absent"      // the worker does not know the task
)

// Command is a command to a worker. Numbers are unique within one daemon
// process; a retried command has the same number.
type Command struct {
	Op     Operation   `json:"op"`
	Number uint64      `json:"number"`
	Zone   string      `json:"zone"`
	Term   uint64      `json:"term"` // the zone leader's term
	Fence  uint64      `json:"fence,omitempty"`
	Job    model.JobID `json:"job,omitempty"`
	Task   int         `json:"task"`
	// Spec, Accelerators and LeaseSeconds are set for reserve and start.
	Spec         *model.JobSpec `json:"spec,omitempty"`
	Accelerators []int          `json:"accelerators,omitempty"`
	LeaseSeconds float64        `json:"lease_seconds,omitempty"`
	// Echo is the Clock of an earlier reply of the same worker process. The
	// lease that a start or renew grants ends LeaseSeconds after Echo on the
	// worker's own clock, so a command that was delayed in transit cannot
	// extend it. A renew with Echo 0 extends no lease.
	Echo int64 `json:"echo,omitempty"`
	// EchoIncarnation is the incarnation that Echo belongs to. A worker ignores
	// an echo from another incarnation.
	EchoIncarnation uint64 `json:"echo_incarnation,omitempty"`
	// Fences holds the fencing tokens of the attempts whose leases a renew
	// extends.
	Fences []uint64 `json:"fences,omitempty"`
}

// Reply is a worker's reply to a command.
type Reply struct {
	Number uint64            `json:"number"`
	State  TaskState         `json:"state,omitempty"`
	Result *model.TaskResult `json:"result,omitempty"`
	// Refused is the reason why the worker did not carry out the command.
	Refused model.Reason `json:"refused,omitempty"`
	Detail  string       `json:"detail,omitempty"`
	// Term is the highest term of the zone that the worker has seen.
	Term uint64 `json:"term"`
	// Incarnation is the incarnation of the worker process. If a worker answers
	// a stop with TaskAbsent and has the incarnation that reserved the task, it
	// has never started the task.
	Incarnation uint64 `json:"incarnation"`
	// Clock is the worker's monotonic clock at the time of the reply, in
	// milliseconds.
	Clock int64 `json:"clock"`
	// Unknown holds the fencing tokens of a renew for which the worker has no
	// task.
	Unknown []uint64 `json:"unknown,omitempty"`
}

// Report is the result or the usage of a task. A worker sends it until it is
// acknowledged.
type Report struct {
	Worker string      `json:"worker"`
	Job    model.JobID `json:"job"`
	Fence  uint64      `json:"fence"`
	// Result is set when the task has finished.
	Result *model.TaskResult `json:"result,omitempty"`
	Usage  *Usage            `json:"usage,omitempty"`
}

// Usage is the resource usage of a task. It is reported with a delay.
type Usage struct {
	Task      int       `json:"task"`
	At        time.Time `json:"at"`
	CPU       float64   `json:"cpu"` // cores
	MemoryMiB int       `json:"memory_mib"`
}

// Client sends commands to workers.
type Client interface {
	// Do sends a command to the worker at address. An *UnreachableError means
	// that it is not known whether the worker carried out the command.
	Do(ctx context.Context, address string, c *Command) (*Reply, error)
}

// UnreachableError is returned if no answer came from a worker.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return "worker at " + e.Address + " did not answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
