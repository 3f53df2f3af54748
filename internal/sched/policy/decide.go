package policy

import (
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/cell"
	"teaselpaddle.example/teaselpaddle/internal/sched/estimate"
	"teaselpaddle.example/teaselpaddle/internal/sched/preempt"
	"teaselpaddle.example/teaselpaddle/internal/sched/queue"
)

// urgentBound is the time that borrowers have to checkpoint when an urgent job
// takes their accelerators; urgent work has to start within 1.2 s.
const urgentBound = 700 * time.Millisecond

// Cost of taking an attempt off, in accelerator seconds.
const (
	restartSeconds = 30 // work that a restart repeats even after a checkpoint
	urgentFactor   = 10 // urgent borrowers are taken last
)

// decision is the state of one decision.
type decision struct {
	s       *State
	now     time.Time
	b       *bindings
	starts  []*claimed // claims that this plan starts
	waits   []pending
	plan    sched.Plan
	handled map[*sched.Waiting]bool
	gone    map[model.JobID]bool // attempts taken off for a job of this plan
	holds   map[int]*hold        // by worker
	failed  map[signature]bool
	counts  []queue.Customer
	ends    []end // reused
	likely  []int // racks
}

// signature is all that decides where a job fits.
type signature struct {
	tasks, accelerators, cpu, memory int
	adjacent, repeatable             bool
}

func signatureOf(s *model.JobSpec) signature {
	return signature{s.Tasks, s.Accelerators, s.CPU, s.MemoryMiB, s.Adjacent, s.Repeatable}
}

// anywhere is the signature without what keeps a job off free resources.
func (s signature) anywhere() signature {
	s.repeatable = true
	return s
}

// spec returns a job with the signature.
func (s signature) spec() *model.JobSpec {
	return &model.JobSpec{
		Tasks: s.tasks, Accelerators: s.accelerators, CPU: s.cpu, MemoryMiB: s.memory, Adjacent: s.adjacent, Repeatable: true,
	}
}

// maxNoRoom bounds the kinds of jobs that are known to find no place.
const maxNoRoom = 4096

// listable reports whether it can be told from one rack that a job fits again.
func (s *State) listable(spec *model.JobSpec) bool {
	return len(s.noRoom) < maxNoRoom && (spec.Tasks == 1 || (spec.Adjacent && s.empty.span(spec) == 1))
}

// refit forgets the kinds of jobs that fit on what has become free.
func (s *State) refit() {
	freed, all := s.cells.TakeFreed()
	if all {
		clear(s.noRoom)
		return
	}
	if len(freed) == 0 {
		return
	}
	slices.Sort(freed)
	freed = slices.Compact(freed)
	for sig := range s.noRoom {
		q := &cell.Request{Spec: sig.spec()}
		for _, k := range freed {
			if s.cells.RackFits(q, k) {
				delete(s.noRoom, sig)
				break
			}
		}
	}
}

// Decide makes one decision. The state stays as it was: what the plan starts is
// added with AddRunning when it was applied.
func (s *State) Decide(now time.Time) sched.Plan {
	s.refit()
	d := &decision{
		s: s, now: now, b: s.bind(),
		handled: map[*sched.Waiting]bool{}, gone: map[model.JobID]bool{},
		holds: map[int]*hold{}, failed: map[signature]bool{},
	}
	d.begin()
	defer d.undo()
	d.plan.Shortfalls = d.b.shortfalls()
	d.reject()
	d.claims()
	d.urgent()
	d.reserve()
	d.share()
	d.overMemory()
	return d.plan
}

func (d *decision) begin() {
	d.s.cells.Begin()
	for _, c := range d.s.order {
		c.Rewind()
		d.counts = append(d.counts, c.Customer)
	}
}

func (d *decision) undo() {
	for i, c := range d.s.order {
		c.Used, c.Shared = d.counts[i].Used, d.counts[i].Shared
		c.Rewind()
	}
	d.s.cells.Rollback()
}

// start puts a job into the plan. claim is nil if it runs outside its customer's
// guarantee. It does nothing and returns false if the job cannot be taken off
// and a guaranteed shape would lose its cell.
func (d *decision) start(w *sched.Waiting, p []model.TaskPlacement, claim *sched.Claim) bool {
	hard := claim != nil || !w.Spec.Repeatable
	d.s.cells.TakeAll(&w.Spec, p, hard)
	st := sched.Start{ID: w.ID, Placement: p, Borrowed: claim == nil}
	var r *sched.Running
	if claim != nil {
		st.Claim = *claim
		r = &sched.Running{ID: w.ID, Customer: w.Spec.Customer, Spec: w.Spec, Seq: w.Seq, Placement: p, Claim: *claim}
	}
	if hard && !d.rebind(r, nil) {
		d.s.cells.ReleaseAll(&w.Spec, p, hard)
		return false
	}
	d.handled[w] = true
	c := d.s.customers[w.Spec.Customer]
	c.Used += w.Spec.TotalAccelerators()
	if claim == nil {
		c.Shared += units(&w.Spec)
	}
	d.plan.Starts = append(d.plan.Starts, st)
	return true
}

// takeOff stops the victims of a choice and keeps the room for the job.
func (d *decision) takeOff(w *sched.Waiting, ch *preempt.Choice) {
	d.handled[w] = true
	d.s.customers[w.Spec.Customer].Used += w.Spec.TotalAccelerators()
	bound := urgentBound
	for _, v := range ch.Victims {
		d.gone[v.ID] = true
		if v.Stopping {
			continue
		}
		if !w.Spec.Urgent {
			bound = d.s.checkpointBound(v.Customer)
		}
		d.plan.Preemptions = append(d.plan.Preemptions, sched.Preemption{ID: v.ID, For: w.ID, Bound: bound})
	}
	for _, sl := range ch.Slots {
		var need, leaving cell.Amount
		need.Add(&w.Spec, sl.Tasks)
		for _, h := range d.s.on[sl.Worker] {
			if slices.Contains(ch.Victims, h.Run) {
				leaving = leaving.Plus(h.Amount)
			}
		}
		d.s.cells.Block(sl.Worker, need.Minus(leaving))
	}
}

func (d *decision) finder(w *sched.Waiting, allowed func(*sched.Running) bool) *preempt.Finder {
	return &preempt.Finder{
		Zone: d.s.cells,
		On:   func(k int) []preempt.Held { return d.s.on[k] },
		Allowed: func(r *sched.Running) bool {
			return !d.gone[r.ID] && allowed(r)
		},
		Cost: func(r *sched.Running) float64 { return d.cost(r, w.ID) },
	}
}

// cost is the price of taking an attempt off, in accelerator seconds: what it
// has done since its start could be lost if the checkpoint fails. An attempt that
// stops for the job already costs nothing, so that the job keeps its choice; one
// that stops for another job costs as much as if it did not stop.
func (d *decision) cost(r *sched.Running, job model.JobID) float64 {
	if r.Stopping && (r.StoppingFor == job || r.StoppingFor == "") {
		return 0
	}
	seconds := restartSeconds + max(d.now.Sub(r.StartedAt).Seconds(), 0)
	if r.StartedAt.IsZero() {
		seconds = restartSeconds
	}
	if r.Spec.Urgent {
		seconds *= urgentFactor
	}
	return seconds * float64(units(&r.Spec))
}

// request asks for free resources for a job outside its customer's guarantee.
func (d *decision) request(w *sched.Waiting) *cell.Request {
	q := &cell.Request{Spec: &w.Spec, Avoid: d.s.empty.avoid(w), FirstFit: d.s.rules.NoPacking}
	if !w.Spec.Repeatable {
		q.Keep = d.b.cells
	}
	return q
}

// try starts a job on free resources that are not held for others.
func (d *decision) try(w *sched.Waiting) bool {
	sig := signatureOf(&w.Spec)
	if d.failed[sig] || d.s.noRoom[sig.anywhere()] {
		return false
	}
	q := d.request(w)
	p := d.s.cells.Place(q)
	if p == nil && d.noRoom(w, q) {
		d.s.noRoom[sig.anywhere()] = true
		return false
	}
	held := p != nil && d.touchesHold(w, p)
	if held {
		q.Closed = func(k int) bool { return d.closed(w, k) }
		p = d.s.cells.Place(q)
	}
	if p != nil && d.start(w, p, nil) {
		return true
	}
	// A place that would cost a shape its cell is not sought again either.
	if p != nil || (!held && len(w.Avoid) == 0) {
		d.failed[sig] = true
	}
	return false
}

// noRoom reports whether a job that found no place would find none either if it
// could be taken off.
func (d *decision) noRoom(w *sched.Waiting, q *cell.Request) bool {
	if len(w.Avoid) > 0 || !d.s.listable(&w.Spec) {
		return false
	}
	if q.Keep == nil {
		return true
	}
	free := *q
	free.Keep = nil
	return d.s.cells.Place(&free) == nil
}

// closed reports whether a worker is held for another job that this one could
// delay.
func (d *decision) closed(w *sched.Waiting, k int) bool {
	h := d.holds[k]
	if h == nil {
		return false
	}
	return !h.admits(w, d.now.Add(estimate.Of(&w.Spec, d.correction(w.Spec.Customer)).High))
}

func (d *decision) touchesHold(w *sched.Waiting, p []model.TaskPlacement) bool {
	if len(d.holds) == 0 {
		return false
	}
	return slices.ContainsFunc(p, func(t model.TaskPlacement) bool {
		return d.closed(w, d.s.cells.Index(t.Worker))
	})
}

func (d *decision) correction(customer string) sched.Correction {
	if d.s.rules.NoCorrection {
		return sched.Correction{}
	}
	return d.s.estimates[customer]
}

// urgent starts urgent jobs, on borrowed accelerators if there are no free ones.
func (d *decision) urgent() {
	var jobs []*sched.Waiting
	for _, c := range d.s.order {
		for _, w := range c.Jobs {
			if !w.Spec.Urgent {
				break // urgent jobs are first in the queue
			}
			if !d.handled[w] {
				jobs = append(jobs, w)
			}
		}
	}
	slices.SortFunc(jobs, queue.Compare)
	dead := map[signature]bool{}
	for _, w := range jobs {
		if d.s.customers[w.Spec.Customer].OverQuota(w.Spec.TotalAccelerators()) || d.try(w) {
			continue
		}
		sig := signatureOf(&w.Spec)
		if dead[sig] {
			continue
		}
		ch := d.roomFor(w, func(r *sched.Running) bool { return r.Preemptible() && !r.Spec.Urgent })
		if ch == nil {
			dead[sig] = true
			continue
		}
		d.takeOff(w, ch)
	}
}

// share starts the rest, customer after customer: the one with the least use per
// weight first, each customer's jobs in their order. A job that does not fit is
// passed over; the cells held for older jobs stay theirs.
func (d *decision) share() {
	if d.s.rules.NoFairShare {
		d.inOrder()
		return
	}
	cs := make([]*queue.Customer, 0, len(d.s.order))
	for _, c := range d.s.order {
		cs = append(cs, &c.Customer)
	}
	f := queue.NewFair(cs)
	for c := f.First(); c != nil; c = f.First() {
		w := c.Next()
		c.Pass()
		ok := d.handled[w] || (!c.OverQuota(w.Spec.TotalAccelerators()) && d.try(w))
		if !ok && d.s.rules.NoBackfill {
			f.Leave()
			continue
		}
		f.Fix()
	}
}

// inOrder starts jobs by submission over all customers.
func (d *decision) inOrder() {
	var jobs []*sched.Waiting
	for _, c := range d.s.order {
		jobs = append(jobs, c.Jobs...)
	}
	slices.SortFunc(jobs, queue.Compare)
	for _, w := range jobs {
		if d.handled[w] || d.s.customers[w.Spec.Customer].OverQuota(w.Spec.TotalAccelerators()) {
			continue
		}
		if !d.try(w) && d.s.rules.NoBackfill {
			return
		}
	}
}
