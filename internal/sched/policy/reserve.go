package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/cell"
	"teaselpaddle.example/teaselpaddle/internal/sched/estimate"
	"teaselpaddle.example/teaselpaddle/internal/sched/preempt"
	"teaselpaddle.example/teaselpaddle/internal/sched/queue"
)

// Limits of the reservations.
const (
	// maxReservations is the number of jobs that have a reservation at the same
	// time. More reservations would keep more cells from short work than the
	// oldest jobs need.
	maxReservations = 4
	// maxSearches bounds the jobs for which cells are searched: with hundreds
	// of blocked customers the search took a third of a pass.
	maxSearches = 12
	// baseReservationDelay is the time that a job waits for free cells before
	// it gets a reservation, if the fragmentation weight is 0 and only
	// completion time counts.
	baseReservationDelay = 60 * time.Second
	// maxRackGroups is the number of rack groups that are compared for one job:
	// those whose first rack has the most free accelerators.
	maxRackGroups = 4
)

// never is the expected time of a release that no estimate covers.
var never = time.Unix(1<<40, 0)

// reservation keeps a worker for a job until the job starts.
type reservation struct {
	job         *sched.Waiting
	cellsFreeAt time.Time // when the cells of the job are expected to be free
}

// allowsStart reports whether another job may start on the reserved worker: it
// can be preempted for the job with the reservation, or is expected to end
// before the cells are free.
func (r *reservation) allowsStart(w *sched.Waiting, end time.Time) bool {
	if w.Spec.Repeatable && !w.Spec.Urgent && w.Seq > r.job.Seq {
		return true
	}
	return end.Before(r.cellsFreeAt)
}

// reservationDelay returns the time that a job waits before it gets a
// reservation. It falls with the fragmentation weight: the earlier a large job
// reserves cells, the sooner small jobs stop fragmenting them.
func (s *State) reservationDelay() time.Duration {
	w := min(max(s.policy.FragmentationWeight, 0), 1)
	return time.Duration(float64(baseReservationDelay) * (1 - w))
}

// reserveForOldest makes room for the jobs that have waited longest, one per
// customer. If it suffices, it preempts borrowers that were submitted later or
// are overdue; otherwise it reserves workers.
func (d *decision) reserveForOldest() {
	if d.state.rules.NoReservation {
		return
	}
	served, searches := 0, 0
	for _, w := range d.oldestLargeJobs() {
		if served == maxReservations || searches == maxSearches {
			return
		}
		if d.state.customers[w.Spec.Customer].OverQuota(w.Spec.TotalAccelerators()) || d.startOnFree(w) {
			continue
		}
		searches++
		if d.preemptOrReserve(w) {
			served++
		}
	}
}

// oldestLargeJobs returns, for each customer, the oldest job that needs several
// units and has waited for the reservation delay.
func (d *decision) oldestLargeJobs() []*sched.Waiting {
	var out []*sched.Waiting
	reservationDelay := d.state.reservationDelay()
	for _, c := range d.state.customerOrder {
		for _, w := range c.Jobs {
			if units(&w.Spec) > 1 && !d.handled[w] && d.now.Sub(w.SubmittedAt) >= reservationDelay {
				out = append(out, w)
				break
			}
		}
	}
	slices.SortFunc(out, queue.Compare)
	return out
}

// preemptOrReserve preempts borrowers for a job, or reserves the workers that are
// expected to be free first. It reports whether either was possible.
func (d *decision) preemptOrReserve(w *sched.Waiting) bool {
	allowed := d.preemptibleFor(w)
	if ch := d.cheapestPreemption(w, allowed); ch != nil {
		d.preemptFor(w, ch)
		return true
	}
	workers, at := d.earliestWorkers(w, allowed)
	for _, k := range workers {
		d.reservations[k] = &reservation{job: w, cellsFreeAt: at}
		d.enforceRunTime(k)
	}
	return len(workers) > 0
}

// preemptibleFor returns the predicate for attempts that may be preempted for a
// job that has waited long: borrowers that were submitted later, and overdue
// ones.
func (d *decision) preemptibleFor(w *sched.Waiting) func(*sched.Running) bool {
	return func(r *sched.Running) bool {
		switch {
		case !r.Preemptible() || r.Spec.Urgent:
			return false
		case r.Stopping:
			return true
		case d.state.rules.NoReservationPreemption:
			return false
		}
		return r.Seq > w.Seq || d.overdue(r)
	}
}

// overdue reports whether an attempt has run longer than nine of ten jobs of
// its customer do, relative to their declared time.
func (d *decision) overdue(r *sched.Running) bool {
	if d.state.rules.NoOveruse || r.StartedAt.IsZero() {
		return false
	}
	return d.now.Sub(r.StartedAt) > max(estimate.Of(&r.Spec, d.correction(r.Customer)).High, minRunTimeLimit)
}

// workerGroups returns the sets of workers that a job may be spread over: one
// for each of at most maxRackGroups aligned groups of racks that have enough
// accelerators for the job. countAccelerators returns the number of accelerators of
// a rack that count. Workers that are unusable, reserved or avoided by the job are
// left out.
func (d *decision) workerGroups(w *sched.Waiting, countAccelerators func(*cell.Rack) int) [][]int {
	z := d.state.cells
	rackSpan := d.state.empty.rackSpan(&w.Spec)
	var firstRacks []int
	for i := 0; i < len(z.Racks); i += rackSpan {
		n := 0
		for k := i; k < min(i+rackSpan, len(z.Racks)); k++ {
			n += countAccelerators(&z.Racks[k])
		}
		if n >= w.Spec.TotalAccelerators() {
			firstRacks = append(firstRacks, i)
		}
	}
	firstRacks = racksWithMostFree(z, firstRacks, maxRackGroups)
	out := make([][]int, 0, len(firstRacks))
	avoidedWorkers := d.state.empty.avoidedWorkers(w)
	for _, i := range firstRacks {
		var ws []int
		for k := z.Racks[i].First; k < z.Racks[min(i+rackSpan, len(z.Racks))-1].Last; k++ {
			if z.Workers[k].Usable && d.reservations[k] == nil && !slices.Contains(avoidedWorkers, z.Workers[k].Name) {
				ws = append(ws, k)
			}
		}
		out = append(out, ws)
	}
	return out
}

// racksWithMostFree returns the n racks with the most free accelerators.
func racksWithMostFree(z *cell.Zone, racks []int, n int) []int {
	if len(racks) <= n {
		return racks
	}
	best := make([]int, 0, n+1)
	for _, i := range racks {
		at, _ := slices.BinarySearchFunc(best, i, func(a, b int) int {
			if c := cmp.Compare(z.Racks[b].Free(), z.Racks[a].Free()); c != 0 {
				return c
			}
			return cmp.Compare(a, b)
		})
		if at < n {
			best = slices.Insert(best, at, i)
			best = best[:min(len(best), n)]
		}
	}
	return best
}

// maxTasks returns the largest number of tasks of a job that may run on a worker.
func (d *decision) maxTasks(w *sched.Waiting, k int) int {
	n := min(d.state.cells.Workers[k].EmptyTasks(&w.Spec), w.Spec.Tasks)
	if w.Spec.Repeatable {
		return n
	}
	return d.state.cells.TasksPreserving(d.bindings.cells, &w.Spec, k, n)
}

// cheapestPreemption returns the cheapest way to make a job fit by preempting
// allowed attempts, or nil.
func (d *decision) cheapestPreemption(w *sched.Waiting, allowed func(*sched.Running) bool) *preempt.Choice {
	f := d.finder(w, allowed)
	var best *preempt.Choice
	limit := math.Inf(1)
	for _, group := range d.workerGroups(w, (*cell.Rack).Reclaimable) {
		candidates := make([]preempt.Candidate, 0, len(group))
		for _, k := range group {
			candidates = append(candidates, preempt.Candidate{Worker: k, Limit: d.maxTasks(w, k)})
		}
		if ch := f.Find(&w.Spec, candidates, limit); ch != nil && ch.Cost < limit {
			best, limit = ch, ch.Cost
		}
	}
	return best
}

// taskSlot is space for one more task on a worker, and the time from which it
// is free.
type taskSlot struct {
	worker   int
	freeFrom time.Time
}

// earliestWorkers returns the workers on which a job is expected to fit first,
// and the time at which it does.
func (d *decision) earliestWorkers(w *sched.Waiting, allowed func(*sched.Running) bool) ([]int, time.Time) {
	var best []taskSlot
	at := never
	var all []taskSlot
	for _, group := range d.workerGroups(w, (*cell.Rack).Usable) {
		all = all[:0]
		for _, k := range group {
			all = d.appendTaskSlots(all, w, k, allowed)
		}
		if len(all) < w.Spec.Tasks {
			continue
		}
		slices.SortStableFunc(all, func(a, b taskSlot) int { return a.freeFrom.Compare(b.freeFrom) })
		if t := all[w.Spec.Tasks-1].freeFrom; t.Before(at) {
			best, at = append(best[:0], all[:w.Spec.Tasks]...), t
		}
	}
	var workers []int
	for _, slot := range best {
		if !slices.Contains(workers, slot.worker) {
			workers = append(workers, slot.worker)
		}
	}
	return workers, at
}

// expectedRelease is what an attempt holds on a worker and when it is expected
// to release it.
type expectedRelease struct {
	preempt.Held
	expectedAt time.Time
}

// appendTaskSlots appends a slot for each task of the job that a worker can
// hold, with the time from which it is free.
func (d *decision) appendTaskSlots(out []taskSlot, w *sched.Waiting, k int, allowed func(*sched.Running) bool) []taskSlot {
	limit := d.maxTasks(w, k)
	if limit == 0 {
		return out
	}
	releases := d.releases[:0]
	for _, h := range d.state.heldOn[k] {
		if at := d.expectedEnd(h.Run, allowed); at.Before(never) {
			releases = append(releases, expectedRelease{h, at})
		}
	}
	d.releases = releases
	slices.SortFunc(releases, func(a, b expectedRelease) int {
		if c := a.expectedAt.Compare(b.expectedAt); c != 0 {
			return c
		}
		return cmp.Compare(a.Run.ID, b.Run.ID)
	})
	wk := &d.state.cells.Workers[k]
	have := min(wk.FreeTasks(&w.Spec, noAmount), limit)
	for range have {
		out = append(out, taskSlot{k, d.now})
	}
	extra := noAmount
	for _, e := range releases {
		extra = extra.Plus(e.Amount)
		for n := min(wk.FreeTasks(&w.Spec, extra), limit); have < n; have++ {
			out = append(out, taskSlot{k, e.expectedAt})
		}
	}
	return out
}

// expectedEnd returns the time at which an attempt is expected to leave its
// workers.
func (d *decision) expectedEnd(r *sched.Running, allowed func(*sched.Running) bool) time.Time {
	if d.preempted[r.ID] {
		return never // its resources are already given to another job
	}
	if allowed(r) {
		return d.now.Add(d.state.checkpointBound(r.Customer))
	}
	started := r.StartedAt
	if started.IsZero() {
		started = d.now
	}
	elapsed := d.now.Sub(started)
	times := estimate.Of(&r.Spec, d.correction(r.Customer))
	return d.now.Add(estimate.Remaining(times.Median, elapsed))
}
