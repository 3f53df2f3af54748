package replay

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// StepKind is what happened in a step of a replay.
type StepKind uint8

// The kinds of steps.
const (
	StepConfig   StepKind = iota + 1 // a configuration came into force
	StepQueued                       // a job was handed in
	StepRefused                      // a job was refused; Reason says why
	StepStarted                      // an attempt began
	StepReclaim                      // an attempt is stopped to make room
	StepEnded                        // an attempt ended and its job waits again
	StepFinished                     // a job has its final state
)

// Step is one thing that happened in a replay.
type Step struct {
	At      time.Time // from the replay's own start, 2026-01-01
	Kind    StepKind
	Zone    string
	Version uint64 // of a configuration

	Job          model.JobID
	Customer     string
	Accelerators int // of the whole job
	Borrowed     bool
	Urgent       bool
	Attempt      int           // counts the starts of the job from 1
	Waited       time.Duration // of a first attempt, since the job was handed in
	Done         bool          // of a job that finished: it completed
	Reason       model.Reason
}

// note hands a step to the watcher of the options.
func (d *driver) note(kind StepKind, j *job) {
	if d.o.Watch == nil {
		return
	}
	s := Step{At: d.now, Kind: kind, Zone: d.zone}
	if j == nil {
		s.Version = d.cfg.Version
		d.o.Watch(s)
		return
	}
	s.Job, s.Customer, s.Accelerators = j.ID, j.Spec.Customer, j.Spec.TotalAccelerators()
	s.Urgent = j.Spec.Urgent
	s.Attempt, s.Waited = j.starts, j.startedAt.Sub(j.SubmittedAt)
	s.Done, s.Reason = j.done, j.rejected
	if j.run != nil {
		s.Borrowed = j.run.Borrowed
	}
	d.o.Watch(s)
}
