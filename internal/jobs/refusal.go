package jobs

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Bounds of the refusals that are remembered.
const (
	// refusalMemory is longer than a copy of a request can be under way: its calls
	// end after seconds, but an instance that was frozen may pass one on later.
	refusalMemory = time.Hour
	maxRefusals   = 1 << 16
)

// pastRefusal is a submission that was refused with not_run. A copy of the same
// submission that arrives later, by another way or after a resend, gets the same
// answer and is not accepted: its caller was told that the job did not run. A
// new submission of the caller has another number.
type pastRefusal struct {
	Submission uint64       `cbor:"1,keyasint"`
	At         time.Time    `cbor:"2,keyasint"`
	Reason     model.Reason `cbor:"3,keyasint"`
}

// refusals holds past refusals, oldest first. It is part of the replicated
// state.
type refusals struct {
	list []pastRefusal
	by   map[uint64]model.Reason
}

// remember adds a refusal and drops those beyond the bounds.
func (r *refusals) remember(p pastRefusal) {
	if r.by == nil {
		r.by = map[uint64]model.Reason{}
	}
	n := 0
	for n < len(r.list) && (p.At.Sub(r.list[n].At) > refusalMemory || len(r.list)-n >= maxRefusals) {
		delete(r.by, r.list[n].Submission)
		n++
	}
	r.list = append(r.list[n:], p)
	r.by[p.Submission] = p.Reason
}

func (r *refusals) restore(list []pastRefusal) {
	*r = refusals{}
	for _, p := range list {
		r.remember(p)
	}
}

// refuseSubmission refuses a new request, which certainly did not run.
func (m *Machine) refuseSubmission(c *Command, reason model.Reason, format string, args ...any) *Result {
	r := refused(reason, format, args...)
	r.Refusal.State = model.NotRun
	if _, known := m.past.by[c.Submission]; !known && c.Submission != 0 && !c.Spec.Repeatable {
		m.past.remember(pastRefusal{Submission: c.Submission, At: c.At, Reason: reason})
	}
	return r
}
