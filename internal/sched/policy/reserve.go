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
	// maxHolders is the number of jobs that hold cells at the same time. More
	// would keep more cells from short work than the jobs at the front need.
	maxHolders = 4
	// maxSearches bounds the jobs for which cells are sought: with hundreds of
	// blocked customers the search took a third of a pass.
	maxSearches = 12
	// basePatience is how long a job waits for cells to become free before it
	// holds some, where only completion time counts.
	basePatience = 60 * time.Second
	// maxRegions is the number of racks that are compared for one job; those with
	// the most free accelerators.
	maxRegions = 4
)

// never is the time at which cells become free that no estimate covers.
var never = time.Unix(1<<40, 0)

// hold keeps a worker for a job until it starts.
type hold struct {
	job *sched.Waiting
	at  time.Time // when its cells are expected to be free
}

// admits reports whether a job may start on the held worker: it can be taken
// off for the holder, or is expected to end before.
func (h *hold) admits(w *sched.Waiting, end time.Time) bool {
	if w.Spec.Repeatable && !w.Spec.Urgent && w.Seq > h.job.Seq {
		return true
	}
	return end.Before(h.at)
}

// patience falls with the weight of fragmentation: the earlier a large job holds
// cells, the sooner small jobs stop scattering over them.
func (s *State) patience() time.Duration {
	w := min(max(s.policy.FragmentationWeight, 0), 1)
	return time.Duration(float64(basePatience) * (1 - w))
}

// reserve holds cells for the jobs that have waited longest, one per customer.
// Where borrowers that were submitted later are all that is in the way, they
// are taken off.
func (d *decision) reserve() {
	if d.s.rules.NoReservation {
		return
	}
	holders, searches := 0, 0
	for _, w := range d.oldest() {
		if holders == maxHolders || searches == maxSearches {
			return
		}
		if d.s.customers[w.Spec.Customer].OverQuota(w.Spec.TotalAccelerators()) || d.try(w) {
			continue
		}
		searches++
		if d.hold(w) {
			holders++
		}
	}
}

// oldest returns each customer's oldest job that needs several units and has
// lost its patience.
func (d *decision) oldest() []*sched.Waiting {
	var out []*sched.Waiting
	patience := d.s.patience()
	for _, c := range d.s.order {
		for _, w := range c.Jobs {
			if units(&w.Spec) > 1 && !d.handled[w] && d.now.Sub(w.SubmittedAt) >= patience {
				out = append(out, w)
				break
			}
		}
	}
	slices.SortFunc(out, queue.Compare)
	return out
}

// hold takes borrowers off for a job, or holds the workers that are expected to
// be free first. It reports whether the job now has cells.
func (d *decision) hold(w *sched.Waiting) bool {
	younger := d.yielding(w)
	if ch := d.roomFor(w, younger); ch != nil {
		d.takeOff(w, ch)
		return true
	}
	workers, at := d.clearing(w, younger)
	for _, k := range workers {
		d.holds[k] = &hold{job: w, at: at}
		d.overuse(k)
	}
	return len(workers) > 0
}

// yielding tells which attempts give way to a job that has waited long: borrowers
// that were submitted later, and those past the time that was expected of them.
func (d *decision) yielding(w *sched.Waiting) func(*sched.Running) bool {
	return func(r *sched.Running) bool {
		switch {
		case !r.Preemptible() || r.Spec.Urgent:
			return false
		case r.Stopping:
			return true
		case d.s.rules.NoTakeoff:
			return false
		}
		return r.Seq > w.Seq || d.overdue(r)
	}
}

// overdue reports whether an attempt has run longer than nine of ten jobs of its
// customer with its declared time.
func (d *decision) overdue(r *sched.Running) bool {
	if d.s.rules.NoOveruse || r.StartedAt.IsZero() {
		return false
	}
	return d.now.Sub(r.StartedAt) > max(estimate.Of(&r.Spec, d.correction(r.Customer)).High, minOverTime)
}

// regions returns the sets of workers that a job may be spread over: those of
// racks that hold enough accelerators, counted by holds.
func (d *decision) regions(w *sched.Waiting, holds func(*cell.Rack) int) [][]int {
	z := d.s.cells
	span := d.s.empty.span(&w.Spec)
	var starts []int
	for i := 0; i < len(z.Racks); i += span {
		n := 0
		for k := i; k < min(i+span, len(z.Racks)); k++ {
			n += holds(&z.Racks[k])
		}
		if n >= w.Spec.TotalAccelerators() {
			starts = append(starts, i)
		}
	}
	starts = mostFree(z, starts, maxRegions)
	out := make([][]int, 0, len(starts))
	avoid := d.s.empty.avoid(w)
	for _, i := range starts {
		var ws []int
		for k := z.Racks[i].First; k < z.Racks[min(i+span, len(z.Racks))-1].Last; k++ {
			if z.Workers[k].Usable && d.holds[k] == nil && !slices.Contains(avoid, z.Workers[k].Name) {
				ws = append(ws, k)
			}
		}
		out = append(out, ws)
	}
	return out
}

// mostFree returns the n racks with the most free accelerators.
func mostFree(z *cell.Zone, starts []int, n int) []int {
	if len(starts) <= n {
		return starts
	}
	best := make([]int, 0, n+1)
	for _, i := range starts {
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

// limit is the number of tasks that may go to a worker.
func (d *decision) limit(w *sched.Waiting, k int) int {
	n := min(d.s.cells.Workers[k].EmptyTasks(&w.Spec), w.Spec.Tasks)
	if w.Spec.Repeatable {
		return n
	}
	return d.s.cells.KeepTasks(d.b.cells, &w.Spec, k, n)
}

// roomFor returns the cheapest way to make room for a job by taking off the
// allowed attempts, or nil.
func (d *decision) roomFor(w *sched.Waiting, allowed func(*sched.Running) bool) *preempt.Choice {
	f := d.finder(w, allowed)
	var best *preempt.Choice
	limit := math.Inf(1)
	for _, r := range d.regions(w, (*cell.Rack).Reclaimable) {
		places := make([]preempt.Place, 0, len(r))
		for _, k := range r {
			places = append(places, preempt.Place{Worker: k, Limit: d.limit(w, k)})
		}
		if ch := f.Find(&w.Spec, places, limit); ch != nil && ch.Cost < limit {
			best, limit = ch, ch.Cost
		}
	}
	return best
}

// ready is the time from which a worker has room for one more task.
type ready struct {
	worker int
	at     time.Time
}

// clearing returns the workers on which a job is expected to fit first, and when.
func (d *decision) clearing(w *sched.Waiting, allowed func(*sched.Running) bool) ([]int, time.Time) {
	var best []ready
	at := never
	var all []ready
	for _, r := range d.regions(w, (*cell.Rack).Usable) {
		all = all[:0]
		for _, k := range r {
			all = d.readyTimes(all, w, k, allowed)
		}
		if len(all) < w.Spec.Tasks {
			continue
		}
		slices.SortStableFunc(all, func(a, b ready) int { return a.at.Compare(b.at) })
		if t := all[w.Spec.Tasks-1].at; t.Before(at) {
			best, at = append(best[:0], all[:w.Spec.Tasks]...), t
		}
	}
	var workers []int
	for _, r := range best {
		if !slices.Contains(workers, r.worker) {
			workers = append(workers, r.worker)
		}
	}
	return workers, at
}

// end is what an attempt holds on a worker and when it is expected to leave.
type end struct {
	preempt.Held
	at time.Time
}

// readyTimes adds, for each task that a worker can hold, when it has room.
func (d *decision) readyTimes(out []ready, w *sched.Waiting, k int, allowed func(*sched.Running) bool) []ready {
	limit := d.limit(w, k)
	if limit == 0 {
		return out
	}
	ends := d.ends[:0]
	for _, h := range d.s.on[k] {
		if at := d.expectedEnd(h.Run, allowed); at.Before(never) {
			ends = append(ends, end{h, at})
		}
	}
	d.ends = ends
	slices.SortFunc(ends, func(a, b end) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return cmp.Compare(a.Run.ID, b.Run.ID)
	})
	wk := &d.s.cells.Workers[k]
	have := min(wk.FreeTasks(&w.Spec, noAmount), limit)
	for range have {
		out = append(out, ready{k, d.now})
	}
	extra := noAmount
	for _, e := range ends {
		extra = extra.Plus(e.Amount)
		for n := min(wk.FreeTasks(&w.Spec, extra), limit); have < n; have++ {
			out = append(out, ready{k, e.at})
		}
	}
	return out
}

// expectedEnd is when an attempt is expected to leave its workers.
func (d *decision) expectedEnd(r *sched.Running, allowed func(*sched.Running) bool) time.Time {
	if d.gone[r.ID] {
		return never // its room was given to another job
	}
	if allowed(r) {
		return d.now.Add(d.s.checkpointBound(r.Customer))
	}
	started := r.StartedAt
	if started.IsZero() {
		started = d.now
	}
	elapsed := d.now.Sub(started)
	times := estimate.Of(&r.Spec, d.correction(r.Customer))
	return d.now.Add(estimate.Remaining(times.Median, elapsed))
}
