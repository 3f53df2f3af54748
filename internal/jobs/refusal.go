package jobs

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Bounds of the refused submissions that are kept.
const (
	// refusalRetention is longer than a copy of a request can be in flight.
	// Calls end after seconds, but an instance that was frozen may forward a
	// copy later.
	refusalRetention = time.Hour
	maxRefusals      = 1 << 16
)

// refusedSubmission is a submission that was refused with the state not_run. A
// copy of it that arrives later, by another route or through a resend, gets the
// same answer and is never accepted, because the caller was told that the job
// did not run. A new submission by the caller has another number.
type refusedSubmission struct {
	Submission uint64       `cbor:"1,keyasint"`
	At         time.Time    `cbor:"2,keyasint"`
	Reason     model.Reason `cbor:"3,keyasint"`
}

// refusalHistory holds the refused submissions, oldest first. It is part of the
// replicated state.
type refusalHistory struct {
	list               []refusedSubmission
	reasonBySubmission map[uint64]model.Reason
}

// add records a refusal and drops the oldest ones beyond the bounds.
func (r *refusalHistory) add(p refusedSubmission) {
	if r.reasonBySubmission == nil {
		r.reasonBySubmission = map[uint64]model.Reason{}
	}
	n := 0
	for n < len(r.list) && (p.At.Sub(r.list[n].At) > refusalRetention || len(r.list)-n >= maxRefusals) {
		delete(r.reasonBySubmission, r.list[n].Submission)
		n++
	}
	r.list = append(r.list[n:], p)
	r.reasonBySubmission[p.Submission] = p.Reason
}

func (r *refusalHistory) restore(list []refusedSubmission) {
	*r = refusalHistory{}
	for _, p := range list {
		r.add(p)
	}
}

// refuseSubmission refuses a new request, of which certainly nothing ran. It
// records the refusal of a not-repeatable request so that later copies of the
// submission are refused as well.
func (m *Machine) refuseSubmission(c *Command, reason model.Reason, format string, args ...any) *Result {
	r := refused(reason, format, args...)
	r.Refusal.State = model.NotRun
	if _, known := m.refusals.reasonBySubmission[c.Submission]; !known && c.Submission != 0 && !c.Spec.Repeatable {
		m.refusals.add(refusedSubmission{Submission: c.Submission, At: c.At, Reason: reason})
	}
	return r
}
