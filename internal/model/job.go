package model

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// JobState is the state of a job as callers see it.
type JobState string

// The states of a job. Done, Failed, Cancelled, NotRun and Unknown are final.
const (
	Queued    JobState = "queued"
	Starting  JobState = "starting"
	Running   JobState = "running"
	Done      JobState = "done"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
	// NotRun is reported only when no task of the job ever ran, and only for
	// not-repeatable jobs: a repeatable one may have run in another zone.
	NotRun JobState = "not_run"
	// Unknown is reported when it cannot be told whether the job ran.
	Unknown JobState = "unknown"
)

// Final reports whether s is a final state.
func (s JobState) Final() bool {
	switch s {
	case Done, Failed, Cancelled, NotRun, Unknown:
		return true
	}
	return false
}

// JobID identifies a job: "<availability zone>.<24 hex digits>".
type JobID string

// idDigits is the number of hex digits of a job id's hash part (96 bits).
const idDigits = 24

// NewJobID derives the id of the job with the given identity in zone. Every
// instance derives the same id, so a resend finds the first record.
func NewJobID(zone, customer, key string) JobID {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return JobID(zone + "." + hex.EncodeToString(sum[:])[:idDigits])
}

// Zone returns the availability zone that owns the job, or "" if id is
// malformed.
func (id JobID) Zone() string {
	i := strings.LastIndexByte(string(id), '.')
	if i <= 0 || len(id)-i-1 != idDigits {
		return ""
	}
	return string(id[:i])
}

// JobSpec is what a caller asks for. Accelerators, CPU and MemoryMiB are per
// task.
type JobSpec struct {
	Customer     string `json:"customer"`
	Key          string `json:"key"`
	Repeatable   bool   `json:"repeatable"`
	Accelerators int    `json:"accelerators"`
	// Adjacent asks for all tasks in one rack, or in neighbouring racks for a
	// gang larger than a rack.
	Adjacent         bool      `json:"adjacent"`
	Tasks            int       `json:"tasks"`
	CPU              int       `json:"cpu"`
	MemoryMiB        int       `json:"memory_mib"`
	EstimatedSeconds float64   `json:"estimated_seconds,omitempty"`
	Deadline         time.Time `json:"deadline,omitzero"`
	Urgent           bool      `json:"urgent,omitempty"`
	Payload          string    `json:"payload,omitempty"`
}

// TotalAccelerators is the number of accelerators that all tasks need together.
func (s *JobSpec) TotalAccelerators() int { return s.Tasks * s.Accelerators }

// TaskPlacement assigns one task of a gang to a worker.
type TaskPlacement struct {
	Task   int    `json:"task"`
	Worker string `json:"worker"`
	// Accelerators are the indices of the accelerators on the worker.
	Accelerators []int `json:"accelerators"`
}

// Phase is the phase of an attempt.
type Phase uint8

// The phases of an attempt. No start message leaves before PhaseStart is
// committed.
const (
	PhaseReserve Phase = iota
	PhaseStart
	PhaseRun
)

// Attempt is one try to run a job.
type Attempt struct {
	Number int `json:"number"`
	// Fence is the attempt's fencing number: the log index of its Intend command.
	Fence     uint64          `json:"fence"`
	Phase     Phase           `json:"phase"`
	Placement []TaskPlacement `json:"placement"`
	// Borrowed is true if the attempt runs outside its customer's guarantee. It
	// may be taken off if its job is repeatable as well.
	Borrowed bool `json:"borrowed,omitempty"`
	// Claim is the guaranteed shape that the attempt runs in, if any.
	Claim     Claim        `json:"claim,omitzero"`
	StartedAt time.Time    `json:"started_at,omitzero"`
	Results   []TaskResult `json:"results,omitempty"`
}

// Claim names one guaranteed shape of a customer. The zero value is none.
type Claim struct {
	Accelerators int `json:"accelerators"` // size of the shape
	// Number tells the customer's shapes of this size apart, from 0.
	Number int `json:"number"`
}

// TaskResult is the answer of one task.
type TaskResult struct {
	Task   int    `json:"task"`
	Worker string `json:"worker"`
	OK     bool   `json:"ok"`
	Output string `json:"output,omitempty"`
	Error  string `json:"error,omitempty"`
}

// Job is the replicated record of a job.
type Job struct {
	ID          JobID     `json:"id"`
	Spec        JobSpec   `json:"spec"`
	State       JobState  `json:"state"`
	Reason      Reason    `json:"reason,omitempty"`
	Seq         uint64    `json:"seq"` // log index of Submit; the order in the customer's queue
	SubmittedAt time.Time `json:"submitted_at"`
	FinishedAt  time.Time `json:"finished_at,omitzero"`
	Attempts    int       `json:"attempts"`
	Failures    int       `json:"failures"` // attempts that ended in a task failure
	// FailedOn are the workers on which a task of the job failed.
	FailedOn []string `json:"failed_on,omitempty"`
	// EverRan is set once a task of the job may have run.
	EverRan bool `json:"ever_ran,omitempty"`
	// Expired is set when the results were dropped after the retention time.
	Expired bool `json:"expired,omitempty"`
	// CancelRequested is set while the tasks of a cancelled job are stopped.
	CancelRequested bool     `json:"cancel_requested,omitempty"`
	Attempt         *Attempt `json:"attempt,omitempty"`
	// Results is the whole answer: one entry per task, in task order.
	Results []TaskResult `json:"results,omitempty"`
}

// MaxOutputBytes bounds the output of one task. Records and snapshots hold it.
const MaxOutputBytes = 64 << 10

// Bound makes a result with a larger output a failure without output: the
// answer would not be whole.
func (r *TaskResult) Bound() {
	if len(r.Output) <= MaxOutputBytes {
		return
	}
	r.OK = false
	r.Error = fmt.Sprintf("the output of %d bytes is larger than %d bytes", len(r.Output), MaxOutputBytes)
	r.Output = ""
}
