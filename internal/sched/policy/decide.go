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

// urgentCheckpointBound is the time that borrowers have to checkpoint when they
// are preempted for an urgent job: urgent work has to start within 1.2 s.
const urgentCheckpointBound = 700 * time.Millisecond

// Cost of preempting an attempt, in accelerator seconds.
const (
	restartSeconds   = 30 // work that a restart repeats even after a checkpoint
	urgentCostFactor = 10 // urgent borrowers are preempted last
)

// decision is the state of one decision.
type decision struct {
	state         *State
	now           time.Time
	bindings      *bindings
	startedClaims []*guaranteed // guaranteed attempts that this plan starts
	pendingClaims []pendingClaim
	plan          sched.Plan
	handled       map[*sched.Waiting]bool // jobs that this plan starts, rejects or preempts for
	preempted     map[model.JobID]bool    // attempts preempted for a job of this plan
	reservations  map[int]*reservation    // by worker index
	unplaced      map[signature]bool      // not tried again in this decision
	savedUsage    []queue.Customer
	releases      []expectedRelease // buffer of appendTaskSlots
	reclaimRacks  []int             // racks compared in a reclaim; see racksForReclaim
}

// signature holds everything about a job that decides where it fits.
type signature struct {
	tasks, accelerators, cpu, memory int
	adjacent, repeatable             bool
}

func signatureOf(s *model.JobSpec) signature {
	return signature{s.Tasks, s.Accelerators, s.CPU, s.MemoryMiB, s.Adjacent, s.Repeatable}
}

// asRepeatable returns the signature of the same job if it were repeatable. A
// repeatable job may use all free resources.
func (s signature) asRepeatable() signature {
	s.repeatable = true
	return s
}

// spec returns a repeatable job with the signature.
func (s signature) spec() *model.JobSpec {
	return &model.JobSpec{
		Tasks: s.tasks, Accelerators: s.accelerators, CPU: s.cpu, MemoryMiB: s.memory, Adjacent: s.adjacent, Repeatable: true,
	}
}

// maxUnplaceable bounds the number of signatures in State.unplaceable.
const maxUnplaceable = 4096

// cacheable reports whether the job may be added to State.unplaceable: there
// must be space, and a look at single racks must be enough to find out whether
// the job fits again.
func (s *State) cacheable(spec *model.JobSpec) bool {
	return len(s.unplaceable) < maxUnplaceable && (spec.Tasks == 1 || (spec.Adjacent && s.empty.rackSpan(spec) == 1))
}

// dropNowPlaceable removes the signatures from State.unplaceable that fit into
// resources freed since the last decision.
func (s *State) dropNowPlaceable() {
	freed, all := s.cells.TakeFreed()
	if all {
		clear(s.unplaceable)
		return
	}
	if len(freed) == 0 {
		return
	}
	slices.Sort(freed)
	freed = slices.Compact(freed)
	for sig := range s.unplaceable {
		q := &cell.Request{Spec: sig.spec()}
		for _, k := range freed {
			if s.cells.RackFits(q, k) {
				delete(s.unplaceable, sig)
				break
			}
		}
	}
}

// Decide makes one decision and leaves the state unchanged. The caller adds the
// started jobs with AddRunning once the plan has been applied.
func (s *State) Decide(now time.Time) sched.Plan {
	s.dropNowPlaceable()
	d := &decision{
		state: s, now: now, bindings: s.currentBindings(),
		handled: map[*sched.Waiting]bool{}, preempted: map[model.JobID]bool{},
		reservations: map[int]*reservation{}, unplaced: map[signature]bool{},
	}
	d.begin()
	defer d.rollback()
	d.plan.Shortfalls = d.bindings.shortfalls()
	d.reject()
	d.startGuaranteed()
	d.startUrgent()
	d.reserveForOldest()
	d.startByFairShare()
	d.enforceMemory()
	return d.plan
}

func (d *decision) begin() {
	d.state.cells.Begin()
	for _, c := range d.state.customerOrder {
		c.Rewind()
		d.savedUsage = append(d.savedUsage, c.Customer)
	}
}

func (d *decision) rollback() {
	for i, c := range d.state.customerOrder {
		c.Used, c.BorrowedUnits = d.savedUsage[i].Used, d.savedUsage[i].BorrowedUnits
		c.Rewind()
	}
	d.state.cells.Rollback()
}

// start adds the start of a job to the plan. claim is nil if the job runs
// outside its customer's guarantee. If the job cannot be preempted and its
// start would leave a guaranteed shape without a cell, start changes nothing
// and returns false.
func (d *decision) start(w *sched.Waiting, p []model.TaskPlacement, claim *sched.Claim) bool {
	pinned := claim != nil || !w.Spec.Repeatable
	d.state.cells.TakeAll(&w.Spec, p, pinned)
	st := sched.Start{ID: w.ID, Placement: p, Borrowed: claim == nil}
	var r *sched.Running
	if claim != nil {
		st.Claim = *claim
		r = &sched.Running{ID: w.ID, Customer: w.Spec.Customer, Spec: w.Spec, Seq: w.Seq, Placement: p, Claim: *claim}
	}
	if pinned && !d.rebind(r, nil) {
		d.state.cells.ReleaseAll(&w.Spec, p, pinned)
		return false
	}
	d.handled[w] = true
	c := d.state.customers[w.Spec.Customer]
	c.Used += w.Spec.TotalAccelerators()
	if claim == nil {
		c.BorrowedUnits += units(&w.Spec)
	}
	d.plan.Starts = append(d.plan.Starts, st)
	return true
}

// preemptFor adds the preemptions of a choice to the plan and blocks the
// resources that the job needs until its victims have left.
func (d *decision) preemptFor(w *sched.Waiting, ch *preempt.Choice) {
	d.handled[w] = true
	d.state.customers[w.Spec.Customer].Used += w.Spec.TotalAccelerators()
	bound := urgentCheckpointBound
	for _, v := range ch.Victims {
		d.preempted[v.ID] = true
		if v.Stopping {
			continue
		}
		if !w.Spec.Urgent {
			bound = d.state.checkpointBound(v.Customer)
		}
		d.plan.Preemptions = append(d.plan.Preemptions, sched.Preemption{ID: v.ID, For: w.ID, Bound: bound})
	}
	for _, a := range ch.Assignments {
		var need, leaving cell.Amount
		need.Add(&w.Spec, a.Tasks)
		for _, h := range d.state.heldOn[a.Worker] {
			if slices.Contains(ch.Victims, h.Run) {
				leaving = leaving.Plus(h.Amount)
			}
		}
		d.state.cells.Block(a.Worker, need.Minus(leaving))
	}
}

func (d *decision) finder(w *sched.Waiting, allowed func(*sched.Running) bool) *preempt.Finder {
	return &preempt.Finder{
		Zone:       d.state.cells,
		AttemptsOn: func(k int) []preempt.Held { return d.state.heldOn[k] },
		Allowed: func(r *sched.Running) bool {
			return !d.preempted[r.ID] && allowed(r)
		},
		Cost: func(r *sched.Running) float64 { return d.cost(r, w.ID) },
	}
}

// cost returns the cost of preempting an attempt, in accelerator seconds. All
// work since the start counts, as it is lost if the checkpoint fails. An
// attempt that is already stopping for this job costs nothing, so that the job
// keeps its earlier choice; one that is stopping for another job costs as much
// as if it were not stopping.
func (d *decision) cost(r *sched.Running, job model.JobID) float64 {
	if r.Stopping && (r.StoppingFor == job || r.StoppingFor == "") {
		return 0
	}
	seconds := restartSeconds + max(d.now.Sub(r.StartedAt).Seconds(), 0)
	if r.StartedAt.IsZero() {
		seconds = restartSeconds
	}
	if r.Spec.Urgent {
		seconds *= urgentCostFactor
	}
	return seconds * float64(units(&r.Spec))
}

// request returns the request for free resources for a job outside its
// customer's guarantee.
func (d *decision) request(w *sched.Waiting) *cell.Request {
	q := &cell.Request{Spec: &w.Spec, Avoid: d.state.empty.avoidedWorkers(w), FirstFit: d.state.rules.NoPacking}
	if !w.Spec.Repeatable {
		q.Preserve = d.bindings.cells
	}
	return q
}

// startOnFree starts a job on free resources that are not reserved for other
// jobs. It reports whether the job starts.
func (d *decision) startOnFree(w *sched.Waiting) bool {
	sig := signatureOf(&w.Spec)
	if d.unplaced[sig] || d.state.unplaceable[sig.asRepeatable()] {
		return false
	}
	q := d.request(w)
	p := d.state.cells.Place(q)
	if p == nil && d.unplaceable(w, q) {
		d.state.unplaceable[sig.asRepeatable()] = true
		return false
	}
	reserved := p != nil && d.usesReserved(w, p)
	if reserved {
		q.Reserved = func(k int) bool { return d.reservedForOther(w, k) }
		p = d.state.cells.Place(q)
	}
	if p != nil && d.start(w, p, nil) {
		return true
	}
	// A placement that would leave a shape without a cell is not tried again
	// for the same signature either.
	if p != nil || (!reserved && len(w.Avoid) == 0) {
		d.unplaced[sig] = true
	}
	return false
}

// unplaceable reports whether a job that found no place would find none either
// if it were repeatable, and may be added to State.unplaceable.
func (d *decision) unplaceable(w *sched.Waiting, q *cell.Request) bool {
	if len(w.Avoid) > 0 || !d.state.cacheable(&w.Spec) {
		return false
	}
	if q.Preserve == nil {
		return true
	}
	free := *q
	free.Preserve = nil
	return d.state.cells.Place(&free) == nil
}

// reservedForOther reports whether a worker is reserved for another job whose
// start this job could delay.
func (d *decision) reservedForOther(w *sched.Waiting, k int) bool {
	r := d.reservations[k]
	if r == nil {
		return false
	}
	return !r.allowsStart(w, d.now.Add(estimate.Of(&w.Spec, d.correction(w.Spec.Customer)).High))
}

func (d *decision) usesReserved(w *sched.Waiting, p []model.TaskPlacement) bool {
	if len(d.reservations) == 0 {
		return false
	}
	return slices.ContainsFunc(p, func(t model.TaskPlacement) bool {
		return d.reservedForOther(w, d.state.cells.Index(t.Worker))
	})
}

func (d *decision) correction(customer string) sched.Correction {
	if d.state.rules.NoCorrection {
		return sched.Correction{}
	}
	return d.state.estimates[customer]
}

// startUrgent starts urgent jobs on free accelerators, or preempts borrowers
// for them.
func (d *decision) startUrgent() {
	var jobs []*sched.Waiting
	for _, c := range d.state.customerOrder {
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
	infeasible := map[signature]bool{}
	for _, w := range jobs {
		if d.state.customers[w.Spec.Customer].OverQuota(w.Spec.TotalAccelerators()) || d.startOnFree(w) {
			continue
		}
		sig := signatureOf(&w.Spec)
		if infeasible[sig] {
			continue
		}
		ch := d.cheapestPreemption(w, func(r *sched.Running) bool { return r.Preemptible() && !r.Spec.Urgent })
		if ch == nil {
			infeasible[sig] = true
			continue
		}
		d.preemptFor(w, ch)
	}
}

// startByFairShare starts the remaining jobs: the customer with the least use
// outside its guarantees, per weight, comes first, and each customer's jobs
// follow in their order. A job that does not fit is skipped (backfill); cells
// reserved for older jobs stay reserved.
func (d *decision) startByFairShare() {
	if d.state.rules.NoFairShare {
		d.startBySubmission()
		return
	}
	cs := make([]*queue.Customer, 0, len(d.state.customerOrder))
	for _, c := range d.state.customerOrder {
		cs = append(cs, &c.Customer)
	}
	f := queue.NewFair(cs)
	for c := f.First(); c != nil; c = f.First() {
		w := c.Peek()
		c.Advance()
		ok := d.handled[w] || (!c.OverQuota(w.Spec.TotalAccelerators()) && d.startOnFree(w))
		if !ok && d.state.rules.NoBackfill {
			f.RemoveFirst()
			continue
		}
		f.Fix()
	}
}

// startBySubmission starts jobs in the order of submission over all customers.
func (d *decision) startBySubmission() {
	var jobs []*sched.Waiting
	for _, c := range d.state.customerOrder {
		jobs = append(jobs, c.Jobs...)
	}
	slices.SortFunc(jobs, queue.Compare)
	for _, w := range jobs {
		if d.handled[w] || d.state.customers[w.Spec.Customer].OverQuota(w.Spec.TotalAccelerators()) {
			continue
		}
		if !d.startOnFree(w) && d.state.rules.NoBackfill {
			return
		}
	}
}
