package place

import (
	"cmp"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// acceleratorCores is the number of cores that one accelerator counts as when
// lost work is compared. It is the price that the deployments use.
const acceleratorCores = 8

// urgencyFactor weights lost work: the work of a run counts this many times
// that of a run that is less urgent by one priority, down to leastUrgent.
const urgencyFactor = 2

// mayStop reports whether a run may be stopped for a group.
func mayStop(r *Running, g *Group) bool {
	if r.Stopping || r.awaited() {
		return false
	}
	return r.Priority > g.Priority || g.Guaranteed && !r.Guaranteed
}

// cost returns the work that is lost if a run is stopped, in core-milliseconds
// weighted by urgency. Stopping one unit of a gang ends all of them.
func (d *decision) cost(r *Running) int64 {
	if r.Gang == "" {
		return lostWork(r)
	}
	var sum int64
	for _, m := range d.gangs[r.Gang] {
		sum += lostWork(m)
	}
	return sum
}

func lostWork(r *Running) int64 {
	cost := (r.Need.CPU/1000 + acceleratorCores*r.Need.Accelerators) * (r.LostMS + 1)
	for range leastUrgent - r.Priority {
		cost *= urgencyFactor
	}
	return cost
}

// runsByCost returns a worker's runs, the least urgent first, and the cheapest
// first among equally urgent ones. Among those of equal cost, the runs of the customer
// that borrows most come first.
func runsByCost(w *Worker) []*Running {
	if w.cachedByCost == nil {
		w.cachedByCost = slices.Clone(w.Running)
		slices.SortFunc(w.cachedByCost, func(a, b *Running) int {
			return cmp.Or(
				cmp.Compare(b.Priority, a.Priority),
				cmp.Compare(a.cost, b.cost),
				cmp.Compare(b.borrowed, a.borrowed),
				cmp.Compare(a.Ref.Job, b.Ref.Job),
				cmp.Compare(a.Ref.Index, b.Ref.Index),
			)
		})
	}
	return w.cachedByCost
}

// eviction is the space on one worker for units of a group: free resources, and
// those of runs that would be stopped.
type eviction struct {
	worker     *Worker
	units      int             // units placed here so far
	free       batch.Resources // free resources after the stops chosen so far
	considered int             // index in runsByCost; earlier runs are chosen for a stop or may not be stopped
	// Result of planNextUnit: whether one more unit can be placed, its
	// additional cost, and the values of free and considered with it.
	possible        bool
	cost            int64
	freeAfter       batch.Resources
	consideredAfter int
	newGangs        []string // gangs that it would stop in addition
	borrowed        int64    // largest borrowed of the runs that it would stop
	// chosenGangs are the gangs that are stopped in any case, if those count once; shared
	// by the evictions of a group.
	chosenGangs map[string]bool
}

// costOf returns the additional cost of a stop. Under Economical, a gang with units on
// several workers counts once.
func (e *eviction) costOf(r *Running) int64 {
	if r.Gang == "" || e.chosenGangs == nil {
		return r.cost
	}
	if e.chosenGangs[r.Gang] || slices.Contains(e.newGangs, r.Gang) {
		return 0
	}
	e.newGangs = append(e.newGangs, r.Gang)
	return r.cost
}

// planNextUnit finds the cheapest further stops that let one more unit fit.
func (e *eviction) planNextUnit(g *Group) {
	e.possible = false
	if m := g.Step.MaxPerWorker; m > 0 && g.UnitsOn[e.worker.ID]+e.units+1 > m {
		return
	}
	runs := runsByCost(e.worker)
	e.cost, e.freeAfter, e.consideredAfter, e.newGangs, e.borrowed = 0, e.free, e.considered, nil, 0
	for {
		if e.freeAfter.FitsTimes(g.Step.Need, int64(e.units+1)) {
			e.possible = true
			return
		}
		if e.consideredAfter == len(runs) {
			return
		}
		if r := runs[e.consideredAfter]; mayStop(r, g) {
			e.freeAfter = e.freeAfter.Add(r.Need)
			e.cost += e.costOf(r)
			e.borrowed = max(e.borrowed, r.borrowed)
		}
		e.consideredAfter++
	}
}

// cheapestEviction finds the cheapest stops so that need units fit into a set
// of workers, beyond those that fit once the stops in progress have ended. It
// returns the evictions and their cost; ok is false if it is impossible or costs
// limit or more.
func (d *decision) cheapestEviction(g *Group, set []*Worker, need int, limit int64) (evictions []*eviction, cost int64, ok bool) {
	evictions, need = d.evictionsOn(g, set, need)
	if need == 0 {
		return evictions, 0, true
	}
	for _, e := range evictions {
		e.planNextUnit(g)
	}
	for ; need > 0; need-- {
		best := cheapestNextUnit(evictions)
		if best == nil {
			return nil, 0, false
		}
		cost += best.cost
		if cost >= limit {
			return nil, 0, false
		}
		best.choose(g, evictions)
	}
	return evictions, cost, true
}

// evictionsOn returns an eviction without stops for each worker of a set, with up to need
// units that fit once the stops in progress have ended, and the number of the others.
func (d *decision) evictionsOn(g *Group, set []*Worker, need int) ([]*eviction, int) {
	sortByFit(g, set)
	evictions := make([]*eviction, 0, len(set))
	all := make([]eviction, len(set))
	var chosen map[string]bool
	if d.snapshot.Preemption == Economical {
		chosen = map[string]bool{}
	}
	for i, w := range set {
		e := &all[i]
		e.worker, e.free, e.chosenGangs = w, freeBesideAwaited(w), chosen
		e.units = min(unitsThatFit(g, w, e.free), need)
		need -= e.units
		evictions = append(evictions, e)
	}
	return evictions, need
}

// cheapestNextUnit returns the eviction that adds a unit at the least cost, or nil if none
// can.
func cheapestNextUnit(evictions []*eviction) *eviction {
	var best *eviction
	for _, e := range evictions {
		if e.possible && (best == nil || e.cost < best.cost || e.cost == best.cost && e.borrowed > best.borrowed) {
			best = e
		}
	}
	return best
}

// choose adds the unit that was planned last. The other evictions are planned again if they
// can stop units of the same gang.
func (e *eviction) choose(g *Group, all []*eviction) {
	e.units++
	e.free, e.considered = e.freeAfter, e.consideredAfter
	again := []*eviction{e}
	if len(e.newGangs) > 0 {
		for _, id := range e.newGangs {
			e.chosenGangs[id] = true
		}
		again = all
	}
	for _, x := range again {
		x.planNextUnit(g)
	}
}

// evictForUnits reserves what stops in progress will free for units of a step
// that is not a gang, and stops other runs for the rest. If there is not enough
// for all units, it does so for as many as possible.
func (d *decision) evictForUnits(g *Group, workers []*Worker, need int) {
	need = d.keepClaims(g, need)
	need -= d.awaitUnits(g, workers, need)
	if need == 0 {
		return
	}
	n := d.affordableUnits(g, workers, need)
	if n < need && d.yieldClaims(g) {
		n = d.affordableUnits(g, workers, need)
	}
	if evictions, _, ok := d.cheapestEviction(g, workers, n, d.stopLimit(g, n)); ok {
		d.reserveAndStop(g, evictions)
		need -= n
	}
	d.waitForStart(g, [][]*Worker{workers}, need)
}

// affordableUnits returns the largest number of units of a step, up to need, for which
// cheapestEviction finds stops within the limit. The stops for fewer units are the first
// ones of those for more, so one pass suffices.
func (d *decision) affordableUnits(g *Group, workers []*Worker, need int) int {
	evictions, left := d.evictionsOn(g, workers, need)
	for _, e := range evictions {
		e.planNextUnit(g)
	}
	affordable := need - left // without stops
	var cost int64
	for n := affordable + 1; n <= need; n++ {
		best := cheapestNextUnit(evictions)
		if best == nil {
			break
		}
		if cost += best.cost; cost < d.stopLimit(g, n) {
			affordable = n
		}
		best.choose(g, evictions)
	}
	return affordable
}

// evictForGang does the same for a whole gang, on the set of workers where the
// least work is lost.
func (d *decision) evictForGang(g *Group, sets [][]*Worker) {
	if len(g.Claims) > 0 && d.keepClaims(g, g.Total) == 0 {
		return // it only waits for the stops
	}
	// The gang needs more than it claimed, so it chooses anew among all sets.
	d.releaseClaims(g, g.Claims)
	g.Claims = nil
	if d.awaitGang(g, sets) {
		return
	}
	limit := d.stopLimit(g, g.Total)
	best, _ := d.cheapestSet(g, sets, limit)
	if best == nil && d.yieldClaims(g) {
		best, _ = d.cheapestSet(g, sets, limit)
	}
	if best == nil && g.Guaranteed && len(d.snapshot.Cordoned) > 0 {
		// Guaranteed runs fill the room beside the cordoned zones. Without a reservation,
		// younger guaranteed groups that need less would take each worker that becomes free.
		d.reserveForGang(g, sets)
		return
	}
	if best == nil {
		d.waitForStart(g, sets, g.Total)
		return
	}
	d.reserveAndStop(g, best)
}

// cheapestSet returns the evictions for a whole gang on the set of workers where the
// least work is lost and their cost, or nil if it fits on none or costs limit or more.
func (d *decision) cheapestSet(g *Group, sets [][]*Worker, limit int64) (best []*eviction, bestCost int64) {
	bestCost = limit
	for _, set := range sets {
		if evictions, cost, ok := d.cheapestEviction(g, set, g.Total, bestCost); ok {
			best, bestCost = evictions, cost
		}
		if bestCost == 0 {
			break
		}
	}
	return best, bestCost
}

// reserveAndStop claims the space for a group that waits for stops, and orders
// the stops.
func (d *decision) reserveAndStop(g *Group, evictions []*eviction) {
	for _, e := range evictions {
		if e.units == 0 {
			continue
		}
		d.claim(g, e.worker, e.units)
		for _, r := range runsByCost(e.worker)[:e.considered] {
			if mayStop(r, g) {
				d.stop(r, g.Job)
			}
		}
	}
}

// stop orders the stop of a run, or of the whole gang that it belongs to.
func (d *decision) stop(r *Running, job string) {
	all := []*Running{r}
	if r.Gang != "" {
		all = d.gangs[r.Gang]
	}
	for _, m := range all {
		if m.Stopping {
			continue
		}
		m.Stopping = true
		m.For = job
		m.onWorker.Releasing = m.onWorker.Releasing.Add(m.Need)
		d.plan.Stops = append(d.plan.Stops, m)
	}
}
