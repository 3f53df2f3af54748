package policy

import (
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
	bound    *cell.Binding
	fits     map[signature]bool // in known or planned
	spare    map[signature]bool // outside all guarantees
	spans    map[signature]int
}

func newEmptyZone(s *State) *emptyZone {
	e := &emptyZone{fits: map[signature]bool{}, spare: map[signature]bool{}, spans: map[signature]int{}}
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
	e.bound = cell.NewBinding(e.known)
	for _, size := range s.sizes() {
		e.bound.Bind(size)
	}
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

// sizes lists the guaranteed shapes, largest first.
func (s *State) sizes() []int {
	b := &bindings{of: map[*customer][]*shape{}}
	for _, c := range s.order {
		for _, g := range c.guarantees {
			b.add(c, g)
		}
	}
	var out []int
	for _, sh := range b.sorted() {
		out = append(out, sh.size)
	}
	return out
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

// outside reports whether a job that cannot be taken off could run beside all
// guaranteed cells.
func (e *emptyZone) outside(spec *model.JobSpec) bool {
	sig := signatureOf(spec)
	ok, found := e.spare[sig]
	if !found {
		ok = !e.complete || e.known.Place(&cell.Request{Spec: spec, Keep: e.bound}) != nil
		e.spare[sig] = ok
	}
	return ok
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
	for _, c := range d.s.order {
		for _, w := range c.Jobs {
			if reason := d.refusal(c, w); reason != "" {
				d.handled[w] = true
				d.plan.Rejections = append(d.plan.Rejections, sched.Rejection{ID: w.ID, Reason: reason})
			}
		}
	}
}

func (d *decision) refusal(c *customer, w *sched.Waiting) model.Reason {
	total := w.Spec.TotalAccelerators()
	switch {
	case !d.s.empty.possible(&w.Spec), c.Quota > 0 && total > c.Quota:
		return model.ReasonNeverFits
	case !w.Spec.Repeatable && !c.holds(total) && !d.s.empty.outside(&w.Spec):
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

// holds reports whether one of the customer's guaranteed shapes is as large.
func (c *customer) holds(accelerators int) bool {
	for _, g := range c.guarantees {
		if accelerators > 0 && g.Shape.Accelerators >= accelerators {
			return true
		}
	}
	return false
}
