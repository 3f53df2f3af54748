// Package sched decides which jobs start where. Its functions are pure: they
// take a snapshot with the time in it and return a plan; they read no clock and
// do no I/O. The applier checks the plan against the present state.
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
	Slots        int
	// Usable is false for workers that are leaving, silent or suspended: they
	// take no new work but their running tasks still hold their resources.
	Usable bool
}

// Running is an attempt that holds resources.
type Running struct {
	ID        model.JobID
	Customer  string
	Spec      model.JobSpec
	Placement []model.TaskPlacement
	Borrowed  bool
	StartedAt time.Time
	// Stopping is set once the attempt was told to stop; its resources are not
	// free yet.
	Stopping bool
}

// Waiting is a queued job.
type Waiting struct {
	ID          model.JobID
	Spec        model.JobSpec
	Seq         uint64
	SubmittedAt time.Time
	// Avoid are workers on which a task of the job failed.
	Avoid []string
}

// Snapshot is the state of one availability zone at Now.
type Snapshot struct {
	Now     time.Time
	Zone    string
	Config  *model.Configuration
	Workers []Worker
	Running []Running
	Waiting []Waiting // in the order of submission
	// Estimates correct the declared run time by customer: seen/declared.
	Estimates map[string]float64
}

// Start places a whole job.
type Start struct {
	ID        model.JobID
	Placement []model.TaskPlacement
	Borrowed  bool
}

// Preemption takes a running attempt off its workers: checkpoint, then stop.
type Preemption struct {
	ID  model.JobID
	For model.JobID // the job that needs the cells
}

// Rejection gives a waiting job its final answer.
type Rejection struct {
	ID     model.JobID
	Reason model.Reason
}

// Plan is the result of a decision.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	Rejections  []Rejection
}
