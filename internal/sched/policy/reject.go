package policy

import (
	"slices"
	"strings"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/cell"
	"teaselpaddle.example/teaselpaddle/internal/sched/estimate"
)

var noAmount cell.Amount

// emptyZone answers what could run if nothing else did.
type emptyZone struct {
	known    *cell.Zone // the announced workers, all usable
	planned  *cell.Zone // the configured racks, accelerators only
	complete bool       // all planned workers have announced themselves
	zone     string
	cfg      *model.Configuration
	workers  []sched.Worker     // all usable
	state    *State             // nothing runs in it; made when it is needed
	fits     map[signature]bool // in known or planned
	starts   map[ofCustomer]bool
	larger   []signature // kinds that start beside all guarantees
	spans    map[signature]int
	avoids   map[avoidance]bool // whether enough other workers exist
}

func newEmptyZone(s *State) *emptyZone {
	e := &emptyZone{avoids: map[avoidance]bool{}, fits: map[signature]bool{}, starts: map[ofCustomer]bool{}, spans: map[signature]int{}}
	all := make([]sched.Worker, len(s.workers))
	for i := range s.workers {
		all[i] = s.workers[i]
		all[i].Usable = true
	}
	e.known = cell.NewZone(all)
	if s.cfg != nil {
		e.planned = cell.NewZone(unlimited(cell.PlannedWorkers(s.cfg, s.zone)))
	} else {
		e.planned = cell.NewZone(nil)
	}
	e.complete = len(all) > 0 && len(all) >= len(e.planned.Workers)
	e.zone, e.cfg, e.workers = s.zone, s.cfg, all
	return e
}

// unlimited gives planned workers all that the plan does not state.
func unlimited(ws []sched.Worker) []sched.Worker {
	const lots = 1 << 30
	for i := range ws {
		ws[i].Cores, ws[i].MemoryMiB, ws[i].Slots = lots, lots, lots
	}
	return ws
}

// possible reports whether a job could run on empty workers. While planned
// workers have not announced themselves, the plan counts too.
func (e *emptyZone) possible(spec *model.JobSpec) bool {
	sig := signatureOf(spec)
	ok, found := e.fits[sig]
	if !found {
		ok = e.known.FitsEmpty(spec) || (!e.complete && (e.planned.FitsEmpty(spec) || len(e.planned.Workers) == 0))
		e.fits[sig] = ok
	}
	return ok
}

// ofCustomer is a kind of job of one customer.
type ofCustomer struct {
	signature
	customer string
}

// startable reports whether a job that cannot be taken off would start if nothing
// else ran: in a guaranteed shape of its customer or beside all guarantees.
func (e *emptyZone) startable(w *sched.Waiting) bool {
	if !e.complete {
		return true
	}
	sig := signatureOf(&w.Spec)
	if slices.ContainsFunc(e.larger, sig.within) {
		return true
	}
	if !e.startsAs(w, "") {
		return e.startsAs(w, w.Spec.Customer)
	}
	if len(e.larger) < maxLarger {
		e.larger = append(slices.DeleteFunc(e.larger, func(o signature) bool { return o.within(sig) }), sig)
	}
	return true
}

// maxLarger bounds the kinds of jobs that smaller ones are compared with.
const maxLarger = 64

// within reports whether a job needs no more than another one in anything.
func (s signature) within(o signature) bool {
	return s.adjacent == o.adjacent && s.tasks <= o.tasks && s.accelerators <= o.accelerators &&
		s.cpu <= o.cpu && s.memory <= o.memory
}

// startsAs reports whether the job would start as one of the customer. The empty
// name is a customer without guarantees; most jobs need no other answer.
func (e *emptyZone) startsAs(w *sched.Waiting, customer string) bool {
	key := ofCustomer{signatureOf(&w.Spec), customer}
	ok, found := e.starts[key]
	if !found {
		ok = e.tryStart(w, customer)
		e.starts[key] = ok
	}
	return ok
}

func (e *emptyZone) tryStart(w *sched.Waiting, customer string) bool {
	if e.state == nil {
		e.state = NewState(e.zone, e.cfg, e.workers, sched.Rules{})
		e.state.trial = true
	}
	alone := sched.Waiting{ID: w.ID, Spec: w.Spec}
	alone.Spec.Customer = customer
	e.state.AddWaiting(&alone)
	defer e.state.RemoveWaiting(w.ID)
	return len(e.state.Decide(time.Time{}).Starts) == 1
}

// avoidance is a kind of job with the workers that it avoids.
type avoidance struct {
	signature
	workers string
}

// avoid returns the workers that a job avoids: those on which it failed, or none
// if it cannot run without them.
func (e *emptyZone) avoid(w *sched.Waiting) []string {
	if len(w.Avoid) == 0 {
		return nil
	}
	key := avoidance{signatureOf(&w.Spec), strings.Join(w.Avoid, "\x00")}
	ok, found := e.avoids[key]
	if !found {
		ok = e.known.Place(&cell.Request{Spec: &w.Spec, Avoid: w.Avoid}) != nil
		e.avoids[key] = ok
	}
	if !ok {
		return nil
	}
	return w.Avoid
}

// span is the number of neighbouring racks that the job needs.
func (e *emptyZone) span(spec *model.JobSpec) int {
	sig := signatureOf(spec)
	n, found := e.spans[sig]
	if !found {
		n = e.known.Span(spec)
		e.spans[sig] = n
	}
	return n
}

// reject gives final answers to jobs that can never run or cannot meet their
// deadline.
func (d *decision) reject() {
	if d.s.trial {
		return
	}
	refused := map[*sched.Waiting]model.Reason{}
	check := func(w *sched.Waiting) bool {
		reason := d.refusal(d.s.customers[w.Spec.Customer], w)
		if reason != "" {
			refused[w] = reason
		}
		return reason != ""
	}
	d.s.fresh = slices.DeleteFunc(d.s.fresh, func(w *sched.Waiting) bool { return !check(w) })
	for w := range d.s.deadlines {
		check(w)
	}
	for w, reason := range refused {
		d.handled[w] = true
		d.plan.Rejections = append(d.plan.Rejections, sched.Rejection{ID: w.ID, Reason: reason})
	}
	slices.SortFunc(d.plan.Rejections, func(a, b sched.Rejection) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

func (d *decision) refusal(c *customer, w *sched.Waiting) model.Reason {
	total := w.Spec.TotalAccelerators()
	switch {
	case !d.s.empty.possible(&w.Spec), c.Quota > 0 && total > c.Quota:
		return model.ReasonNeverFits
	case !w.Spec.Repeatable && !d.s.empty.startable(w):
		return model.ReasonNeverFits
	case w.Spec.Deadline.IsZero():
		return ""
	case !w.Spec.Deadline.After(d.now):
		return model.ReasonDeadlineUnmet
	}
	if w.Spec.EstimatedSeconds <= 0 {
		return ""
	}
	// The shortest run time that the customer's history makes likely counts: a
	// job that may still be in time is not refused.
	times := estimate.Of(&w.Spec, d.correction(w.Spec.Customer))
	if d.now.Add(min(times.Low, times.Median)).After(w.Spec.Deadline) {
		return model.ReasonDeadlineUnmet
	}
	return ""
}
