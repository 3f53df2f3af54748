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
	// NotRun is reported only if no task of the job ever ran, and only for
	// not-repeatable jobs: a repeatable job may have run in another zone.
	NotRun JobState = "not_run"
	// Unknown is reported if it is not known whether the job ran or how it ended.
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

// idHashDigits is the number of hex digits in the hash part of a job id (96
// bits).
const idHashDigits = 24

// NewJobID derives the id of the job that the customer and its key identify,
// owned by zone. The id is the same on every instance, so a resent request
// finds the existing record.
func NewJobID(zone, customer, key string) JobID {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return JobID(zone + "." + hex.EncodeToString(sum[:])[:idHashDigits])
}

// Zone returns the availability zone that owns the job, or "" if id is
// malformed.
func (id JobID) Zone() string {
	i := strings.LastIndexByte(string(id), '.')
	if i <= 0 || len(id)-i-1 != idHashDigits {
		return ""
	}
	return string(id[:i])
}

// JobSpec is a caller's request to run a job. Accelerators, CPU and MemoryMiB
// are per task.
type JobSpec struct {
	Customer string `json:"customer"`
	// Key identifies the job among the jobs of its customer. A resent request has
	// the same key.
	Key string `json:"key"`
	// Repeatable permits running the job more than once. Only a repeatable job is
	// preempted, queued again after one of its tasks may have run, or taken over
	// by another zone.
	Repeatable   bool `json:"repeatable"`
	Accelerators int  `json:"accelerators"`
	// Adjacent requires all tasks in one rack, or in neighbouring racks for a
	// gang that is larger than a rack.
	Adjacent         bool      `json:"adjacent"`
	Tasks            int       `json:"tasks"`
	CPU              int       `json:"cpu"`
	MemoryMiB        int       `json:"memory_mib"`
	EstimatedSeconds float64   `json:"estimated_seconds,omitempty"`
	Deadline         time.Time `json:"deadline,omitzero"`
	Urgent           bool      `json:"urgent,omitempty"`
	Payload          string    `json:"payload,omitempty"`
}

// TotalAccelerators returns the number of accelerators of all tasks together.
func (s *JobSpec) TotalAccelerators() int { return s.Tasks * s.Accelerators }

// TaskPlacement assigns one task of a gang to a worker.
type TaskPlacement struct {
	Task   int    `json:"task"`
	Worker string `json:"worker"`
	// Accelerators holds the indices of the assigned accelerators on the
	// worker.
	Accelerators []int `json:"accelerators"`
}

// Phase is the phase of an attempt.
type Phase uint8

// The phases of an attempt. No start command is sent before PhaseStart is
// committed.
const (
	PhaseReserve Phase = iota
	PhaseStart
	PhaseRun
)

// Attempt is one attempt to run a job.
type Attempt struct {
	Number int `json:"number"`
	// Fence is the attempt's fencing token: the log index of the command that
	// recorded its intent.
	Fence     uint64          `json:"fence"`
	Phase     Phase           `json:"phase"`
	Placement []TaskPlacement `json:"placement"`
	// Borrowed is set if the attempt runs outside its customer's guarantee. It
	// may then be preempted, provided that its job is repeatable.
	Borrowed bool `json:"borrowed,omitempty"`
	// Claim is the guaranteed shape that the attempt occupies, if any.
	Claim     Claim        `json:"claim,omitzero"`
	StartedAt time.Time    `json:"started_at,omitzero"`
	Results   []TaskResult `json:"results,omitempty"`
}

// Claim identifies one guaranteed shape of a customer. The zero value means
// none.
type Claim struct {
	Accelerators int `json:"accelerators"` // size of the shape
	// Number distinguishes the customer's shapes of this size, counted from 0.
	Number int `json:"number"`
}

// TaskResult is the result of one task.
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
	Seq         uint64    `json:"seq"` // log index of the submission; determines the order in the customer's queue
	SubmittedAt time.Time `json:"submitted_at"`
	FinishedAt  time.Time `json:"finished_at,omitzero"`
	Attempts    int       `json:"attempts"`
	Failures    int       `json:"failures"` // attempts that ended in a task failure
	// FailedOn lists the workers on which a task of the job failed.
	FailedOn []string `json:"failed_on,omitempty"`
	// Crashes is the number of attempts during which a worker restarted under a task.
	Crashes int `json:"crashes,omitempty"`
	// RetryAt is the time before which the job is not placed again after a crash.
	RetryAt time.Time `json:"retry_at,omitzero"`
	// EverRan is set once a task of the job may have run.
	EverRan bool `json:"ever_ran,omitempty"`
	// Expired is set when the results have been dropped after the retention
	// time.
	Expired bool `json:"expired,omitempty"`
	// CancelRequested is set when a cancellation was requested; the tasks of an
	// active attempt are then being stopped.
	CancelRequested bool     `json:"cancel_requested,omitempty"`
	Attempt         *Attempt `json:"attempt,omitempty"`
	// Results holds the complete result: one entry per task, in task order.
	Results []TaskResult `json:"results,omitempty"`
}

// MaxOutputBytes is the maximum size of a task's output. Job records and
// snapshots contain the outputs.
const MaxOutputBytes = 64 << 10

// FailIfOversized turns a result whose output exceeds MaxOutputBytes into a
// failure without output, because a truncated output would not be complete.
func (r *TaskResult) FailIfOversized() {
	if len(r.Output) <= MaxOutputBytes {
		return
	}
	r.OK = false
	r.Error = fmt.Sprintf("the output of %d bytes is larger than %d bytes", len(r.Output), MaxOutputBytes)
	r.Output = ""
}
