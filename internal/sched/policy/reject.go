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

// emptyZone answers which jobs could run if nothing else ran. Its maps cache
// the answers.
type emptyZone struct {
	announced   *cell.Zone // the announced workers, all usable
	planned     *cell.Zone // the configured racks, accelerators only
	complete    bool       // all planned workers are announced
	zone        string
	cfg         *model.Configuration
	workers     []sched.Worker     // all usable
	state       *State             // a zone in which nothing runs; created on first use
	fits        map[signature]bool // in announced or planned
	startsAlone map[customerSignature]bool
	// startableSignatures holds the largest signatures that are known to start
	// beside all guarantees. Jobs that need no more than one of them start too.
	startableSignatures []signature
	rackSpans           map[signature]int
	avoidable           map[avoidKey]bool // whether the job fits without the avoided workers
}

func newEmptyZone(s *State) *emptyZone {
	e := &emptyZone{avoidable: map[avoidKey]bool{}, fits: map[signature]bool{}, startsAlone: map[customerSignature]bool{}, rackSpans: map[signature]int{}}
	all := make([]sched.Worker, len(s.workers))
	for i := range s.workers {
		all[i] = s.workers[i]
		all[i].Usable = true
	}
	e.announced = cell.NewZone(all)
	if s.cfg != nil {
		e.planned = cell.NewZone(withUnlimitedResources(cell.PlannedWorkers(s.cfg, s.zone)))
	} else {
		e.planned = cell.NewZone(nil)
	}
	e.complete = len(all) > 0 && len(all) >= len(e.planned.Workers)
	e.zone, e.cfg, e.workers = s.zone, s.cfg, all
	return e
}

// withUnlimitedResources gives planned workers an unlimited amount of each
// resource that the plan does not state.
func withUnlimitedResources(ws []sched.Worker) []sched.Worker {
	const unlimited = 1 << 30
	for i := range ws {
		ws[i].Cores, ws[i].MemoryMiB, ws[i].Slots = unlimited, unlimited, unlimited
	}
	return ws
}

// fitsEmpty reports whether a job could run on empty workers. While some
// planned workers are not announced yet, the planned racks count as well.
func (e *emptyZone) fitsEmpty(spec *model.JobSpec) bool {
	sig := signatureOf(spec)
	ok, found := e.fits[sig]
	if !found {
		ok = e.announced.FitsEmpty(spec) || (!e.complete && (e.planned.FitsEmpty(spec) || len(e.planned.Workers) == 0))
		e.fits[sig] = ok
	}
	return ok
}

// customerSignature is the signature of a job together with its customer.
type customerSignature struct {
	signature
	customer string
}

// canStartAlone reports whether a job that cannot be preempted would start if
// nothing else ran: in a guaranteed shape of its customer, or beside all
// guarantees.
func (e *emptyZone) canStartAlone(w *sched.Waiting) bool {
	if !e.complete {
		return true
	}
	sig := signatureOf(&w.Spec)
	if slices.ContainsFunc(e.startableSignatures, sig.needsNoMoreThan) {
		return true
	}
	if !e.startsAloneAs(w, "") {
		return e.startsAloneAs(w, w.Spec.Customer)
	}
	if len(e.startableSignatures) < maxStartableSignatures {
		e.startableSignatures = append(slices.DeleteFunc(e.startableSignatures, func(o signature) bool { return o.needsNoMoreThan(sig) }), sig)
	}
	return true
}

// maxStartableSignatures bounds the number of signatures in
// emptyZone.startableSignatures.
const maxStartableSignatures = 64

// needsNoMoreThan reports whether a job needs no more than another one of any
// resource.
func (s signature) needsNoMoreThan(o signature) bool {
	return s.adjacent == o.adjacent && s.tasks <= o.tasks && s.accelerators <= o.accelerators &&
		s.cpu <= o.cpu && s.memory <= o.memory
}

// startsAloneAs reports whether the job would start in an empty zone as a job
// of the given customer. The empty name is a customer without guarantees; its
// answer is enough for most jobs.
func (e *emptyZone) startsAloneAs(w *sched.Waiting, customer string) bool {
	key := customerSignature{signatureOf(&w.Spec), customer}
	ok, found := e.startsAlone[key]
	if !found {
		ok = e.decideAlone(w, customer)
		e.startsAlone[key] = ok
	}
	return ok
}

func (e *emptyZone) decideAlone(w *sched.Waiting, customer string) bool {
	if e.state == nil {
		e.state = NewState(e.zone, e.cfg, e.workers, sched.Rules{})
		e.state.noRejections = true
	}
	alone := sched.Waiting{ID: w.ID, Spec: w.Spec}
	alone.Spec.Customer = customer
	e.state.AddWaiting(&alone)
	defer e.state.RemoveWaiting(w.ID)
	return len(e.state.Decide(time.Time{}).Starts) == 1
}

// avoidKey is the signature of a job with the workers that it avoids.
type avoidKey struct {
	signature
	workers string
}

// avoidedWorkers returns the workers on which the job failed, or nil if it does
// not fit on the others.
func (e *emptyZone) avoidedWorkers(w *sched.Waiting) []string {
	if len(w.Avoid) == 0 {
		return nil
	}
	key := avoidKey{signatureOf(&w.Spec), strings.Join(w.Avoid, "\x00")}
	ok, found := e.avoidable[key]
	if !found {
		ok = e.announced.Place(&cell.Request{Spec: &w.Spec, Avoid: w.Avoid}) != nil
		e.avoidable[key] = ok
	}
	if !ok {
		return nil
	}
	return w.Avoid
}

// rackSpan returns the number of neighbouring racks that the job needs.
func (e *emptyZone) rackSpan(spec *model.JobSpec) int {
	sig := signatureOf(spec)
	n, found := e.rackSpans[sig]
	if !found {
		n = e.announced.RackSpan(spec)
		e.rackSpans[sig] = n
	}
	return n
}

// reject rejects the jobs that can never run or cannot meet their deadline.
func (d *decision) reject() {
	if d.state.noRejections {
		return
	}
	rejected := map[*sched.Waiting]model.Reason{}
	check := func(w *sched.Waiting) bool {
		reason := d.rejectionReason(d.state.customers[w.Spec.Customer], w)
		if reason != "" {
			rejected[w] = reason
		}
		return reason != ""
	}
	d.state.unchecked = slices.DeleteFunc(d.state.unchecked, func(w *sched.Waiting) bool { return !check(w) })
	for w := range d.state.withDeadline {
		check(w)
	}
	for w, reason := range rejected {
		d.handled[w] = true
		d.plan.Rejections = append(d.plan.Rejections, sched.Rejection{ID: w.ID, Reason: reason})
	}
	slices.SortFunc(d.plan.Rejections, func(a, b sched.Rejection) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

func (d *decision) rejectionReason(c *customer, w *sched.Waiting) model.Reason {
	total := w.Spec.TotalAccelerators()
	switch {
	case !d.state.empty.fitsEmpty(&w.Spec), c.Quota > 0 && total > c.Quota:
		return model.ReasonNeverFits
	case !w.Spec.Repeatable && !d.state.empty.canStartAlone(w):
		return model.ReasonNeverFits
	case w.Spec.Deadline.IsZero():
		return ""
	case !w.Spec.Deadline.After(d.now):
		return model.ReasonDeadlineUnmet
	}
	if w.Spec.EstimatedSeconds <= 0 {
		return ""
	}
	// Compare the deadline with the shortest run time that the customer's
	// history makes likely: a job that may still be on time is not rejected.
	times := estimate.Of(&w.Spec, d.correction(w.Spec.Customer))
	if d.now.Add(min(times.Low, times.Median)).After(w.Spec.Deadline) {
		return model.ReasonDeadlineUnmet
	}
	return ""
}
