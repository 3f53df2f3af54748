// Package sched defines the input and the output of a scheduling decision:
// Snapshot and Plan. Package policy decides which jobs start where; the packages
// cell, estimate, preempt and queue are parts of it, and naive is the reference
// to compare it with. Package place decides for a region's group, from a snapshot
// of its own.
//
// Decisions are pure: they read no clock and do no I/O, and depend only on the
// snapshot, which includes the time. The caller checks the plan against the
// current state when it applies it.
package sched

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Worker is one worker in a snapshot.
type Worker struct {
	Name         string
	Rack         string
	Cores        int
	MemoryMiB    int
	Accelerators int
	Slots        int // maximum number of concurrent tasks
	// Usable is false for workers that are leaving, silent or suspended: they
	// take no new work, but their running tasks still use their resources.
	Usable bool
}

// Claim names the guaranteed shape that an attempt runs in. The zero value is
// an attempt outside its customer's guarantee.
type Claim = model.Claim

// Running is an attempt that holds resources.
type Running struct {
	ID        model.JobID
	Customer  string
	Spec      model.JobSpec
	Seq       uint64
	Placement []model.TaskPlacement
	// Borrowed is true if the attempt runs outside its customer's guarantee. It
	// can be preempted if its job is repeatable as well.
	Borrowed bool
	// Claim is the Claim of the attempt's Start. If it is zero for an attempt
	// that is not borrowed, the smallest shape that holds the job is assumed.
	Claim     Claim
	StartedAt time.Time
	// Stopping is set once the attempt has been told to stop; its resources are
	// not free yet.
	Stopping bool
	// StoppingFor is the For of the Preemption that stops the attempt; "" if it is
	// not known.
	StoppingFor model.JobID
	// UsedMemoryMiB is the largest memory use of a task that a worker has
	// reported; 0 if none has been.
	UsedMemoryMiB int
	// Throttled and Checkpointed are set once the attempt has been told to
	// throttle or to checkpoint because it used more than it declared.
	Throttled    bool
	Checkpointed bool
}

// Preemptible reports whether the attempt can be preempted: it runs outside its
// customer's guarantee, and its job can run again.
func (r *Running) Preemptible() bool { return r.Borrowed && r.Spec.Repeatable }

// Waiting is a queued job.
type Waiting struct {
	ID          model.JobID
	Spec        model.JobSpec
	Seq         uint64
	SubmittedAt time.Time
	// Avoid lists the workers on which a task of the job has failed lately.
	Avoid []string
}

// Correction is the distribution of a customer's actual run times, as factors
// on the declared time. The zero value means that too few were observed.
type Correction struct {
	Low, Median, High float64
	Samples           int
}

// Snapshot is the state of one availability zone at Now.
type Snapshot struct {
	Now     time.Time
	Zone    string
	Config  *model.Configuration
	Workers []Worker
	Running []Running
	Waiting []Waiting // in the order of submission
	// Estimates are the corrections of declared run times by customer.
	Estimates map[string]Correction
	// Rules turns off single rules, for measurements.
	Rules Rules
}

// Rules turns off single rules of the decision. In the zero value all rules
// apply.
type Rules struct {
	NoReservation           bool // no cells are reserved for blocked jobs
	NoBackfill              bool // nothing starts behind a blocked job of the same customer
	NoFairShare             bool // order of submission over all customers
	NoPacking               bool // first fit instead of best fit
	NoCorrection            bool // declared run times are used without correction
	NoOveruse               bool // no action against jobs that exceed their declaration
	NoReservationPreemption bool // no borrower is preempted for a job due for a reservation
	NoCheapestReclaim       bool // a reclaim uses the cells that the shapes have, without a search for cheaper ones
}

// Start starts all tasks of a job.
type Start struct {
	ID        model.JobID
	Placement []model.TaskPlacement
	Borrowed  bool
	Claim     Claim
}

// Preemption checkpoints a running attempt and then stops it.
type Preemption struct {
	ID  model.JobID
	For model.JobID // the job that needs its cells
	// Bound is the time that the attempt has to checkpoint before it is
	// stopped.
	Bound time.Duration
}

// Rejection is the final answer to a waiting job that is not run.
type Rejection struct {
	ID     model.JobID
	Reason model.Reason
}

// ActionKind is the kind of an action against an attempt that uses more than it
// declared.
type ActionKind string

// The actions, in the order in which they are tried.
const (
	Throttle   ActionKind = "throttle"
	Checkpoint ActionKind = "checkpoint"
	Stop       ActionKind = "stop" // final: the job is not queued again
)

// Action acts on a running attempt that blocks others while it uses more than
// it declared.
type Action struct {
	ID     model.JobID
	Kind   ActionKind
	Reason model.Reason // over_declared_time or over_declared_memory
}

// Shortfall is a guarantee for which too few healthy workers are left.
type Shortfall struct {
	Customer string
	Shape    model.Shape
	// Missing is the number of shapes that have no whole cell.
	Missing int
}

// Plan is the result of a decision.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	Rejections  []Rejection
	Actions     []Action
	Shortfalls  []Shortfall
}
