package replay

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// StepKind is the kind of a step of a replay.
type StepKind uint8

// The kinds of steps.
const (
	StepConfig    StepKind = iota + 1 // a configuration came into force
	StepQueued                        // a job was submitted
	StepRejected                      // a job was rejected; Reason says why
	StepStarted                       // an attempt began
	StepPreempted                     // an attempt is preempted
	StepEnded                         // an attempt ended and its job was queued again
	StepFinished                      // a job reached its final state
)

// Step is one event of a replay, as passed to Options.OnStep.
type Step struct {
	At      time.Time // simulated time; the trace starts at 2026-01-01
	Kind    StepKind
	Zone    string
	Version uint64 // configuration version, set for StepConfig

	Job          model.JobID
	Customer     string
	Accelerators int // total over all tasks of the job
	Borrowed     bool
	Urgent       bool
	Attempt      int           // number of starts of the job so far, 1 in its first attempt
	Waited       time.Duration // for StepStarted: from the submission to the first start
	Done         bool          // for StepFinished: the job completed
	Reason       model.Reason  // of a rejected job, also in its StepFinished
}

// emitStep passes a step to Options.OnStep. It is a step of the configuration if
// j is nil.
func (d *driver) emitStep(kind StepKind, j *job) {
	if d.opts.OnStep == nil {
		return
	}
	s := Step{At: d.now, Kind: kind, Zone: d.zone}
	if j == nil {
		s.Version = d.cfg.Version
		d.opts.OnStep(s)
		return
	}
	s.Job, s.Customer, s.Accelerators = j.ID, j.Spec.Customer, j.Spec.TotalAccelerators()
	s.Urgent = j.Spec.Urgent
	s.Attempt, s.Waited = j.starts, j.startedAt.Sub(j.SubmittedAt)
	s.Done, s.Reason = j.completed, j.rejected
	if j.run != nil {
		s.Borrowed = j.run.Borrowed
	}
	d.opts.OnStep(s)
}
