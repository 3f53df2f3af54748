package place

import "math"

// speedWaitOver reports whether a guaranteed group must not wait for fast workers any
// longer. A third of guaranteeBoundMS is left to the choice, a third to stops that were
// ordered for it, which take up to 0.9 s, and a third to those that are ordered then.
func (d *decision) speedWaitOver(g *Group) bool {
	limit := int64(guaranteedWaitMS)
	if len(g.Claims) > 0 {
		limit *= 2
	}
	return g.Guaranteed && d.snapshot.NowMS-g.SinceMS >= limit
}

// placeGangBySpeed places a gang where it completes first, and reports whether it did. If
// not, the order without speeds applies.
func (d *decision) placeGangBySpeed(g *Group, sets [][]*Worker) bool {
	switch {
	case d.startAtNeed(g, sets):
		return true
	case math.IsInf(g.pace.needed, -1):
		return false
	}
	sets = d.setsToSearch(g, sets)
	switch {
	case d.speedWaitOver(g):
		set, _ := fastestSet(g, sets)
		if set != nil {
			d.startGang(g, set)
		}
		return set != nil
	case len(g.Claims) > 0:
		d.plan.Unplaced = append(d.plan.Unplaced, g)
		d.evictForGang(g, sets)
		return true
	case g.Priority == 0 && d.awaitGang(g, d.fastSets(g, sets)):
		d.plan.Unplaced = append(d.plan.Unplaced, g)
		return true
	}
	return d.placeGangFirst(g, sets)
}

// placeGangFirst chooses between a start on slow workers, waiting for runs on fast ones to
// end, and stopping runs there, by which completes first. It reports false if there is no
// room on slow workers and no choice on fast ones.
func (d *decision) placeGangFirst(g *Group, sets [][]*Worker) bool {
	slow, bottom := fastestSet(g, sets)
	fast := d.fastSets(g, sets)
	length := max(g.Step.EstimateMS, 1)
	finish := int64(math.MaxInt64)
	if slow != nil {
		finish = scaledMS(length, float64(bottom)*speedStep)
	}
	var stops []*eviction
	onFast := scaledMS(length, slowestIn(fast))
	if g.Priority == 0 && typicalStopMS+onFast < finish {
		if stops, _ = d.cheapestSet(g, fast, d.fastStopLimit(g, slow, sets)); stops != nil {
			finish = typicalStopMS + scaledMS(length, slowestOf(stops))
		}
	}
	if finish == math.MaxInt64 {
		if g.Priority > 0 {
			return false
		}
		// Only stops on slow workers are left.
		finish = typicalStopMS + scaledMS(length, slowestIn(sets))
	}
	switch {
	case finish > onFast && d.waitForFast(g, fast, finish-onFast):
		d.plan.Unplaced = append(d.plan.Unplaced, g)
	case stops != nil:
		d.plan.Unplaced = append(d.plan.Unplaced, g)
		d.reserveAndStop(g, stops)
	case slow != nil:
		d.startGang(g, slow)
	default:
		return false
	}
	return true
}

// fastStopLimit bounds the work that may be lost by stops on fast workers for a gang: beyond
// what it costs others if it takes any workers, at most its own work. The limit of economical
// preemption applies as well.
func (d *decision) fastStopLimit(g *Group, slow []*Worker, sets [][]*Worker) int64 {
	own := int64(g.Total) * lostWork(&Running{Need: g.Step.Need, Priority: g.Priority, LostMS: g.Step.EstimateMS})
	if slow != nil {
		return own
	}
	if stops, cost := d.cheapestSet(g, sets, math.MaxInt64); stops != nil {
		return min(cost+own, d.stopLimit(g, g.Total))
	}
	return 0
}

// slowestOf returns the lowest cautious log speed of the workers chosen for units.
func slowestOf(evictions []*eviction) float64 {
	log := math.Inf(1)
	for _, e := range evictions {
		if e.units > 0 {
			log = min(log, e.worker.cautious)
		}
	}
	return log
}

// slowestIn returns the lowest cautious log speed of the workers of sets.
func slowestIn(sets [][]*Worker) float64 {
	log := math.Inf(1)
	for _, set := range sets {
		for _, w := range set {
			log = min(log, w.cautious)
		}
	}
	return log
}

// fastestIn returns the highest cautious log speed of the workers of sets.
func fastestIn(sets [][]*Worker) float64 {
	log := math.Inf(-1)
	for _, set := range sets {
		for _, w := range set {
			log = max(log, w.cautious)
		}
	}
	return log
}

// waitForFast reserves room for a gang on the first set where it fits on what will be free
// within a time, and reports whether there is one.
func (d *decision) waitForFast(g *Group, sets [][]*Worker, withinMS int64) bool {
	if !d.mayReserve(g) {
		return false
	}
	for _, set := range sets {
		n := 0
		for _, w := range set {
			n += unitsFreeWithin(g, w, withinMS)
		}
		if n < g.Total {
			continue
		}
		d.countReservation(g)
		sortByFit(g, set)
		left := g.Total
		for _, w := range set {
			n := min(unitsFreeWithin(g, w, withinMS), left)
			d.hold(g, w, n)
			left -= n
		}
		return true
	}
	return false
}

// unitsFreeWithin returns how many units of a group are expected to fit on a worker within
// a time.
func unitsFreeWithin(g *Group, w *Worker, ms int64) int {
	free := w.Free
	for _, r := range runsByEnd(w) {
		if remainingMS(r) > ms {
			break
		}
		free = free.Add(r.Need)
	}
	return unitsThatFit(g, w, free)
}

// slotChoices returns the slots from which a gang may take its room: all, or only those on
// workers that meet its need.
func (d *decision) slotChoices(g *Group, slots []slot) [][]slot {
	if !g.pace.decisive {
		return [][]slot{slots}
	}
	var fast []slot
	for _, s := range slots {
		if s.worker.cautious >= g.pace.needed {
			fast = append(fast, s)
		}
	}
	return [][]slot{fast, slots}
}

// finishMS returns the time until a gang is expected to complete on slots, ms. Where no
// speed is needed it is the time until the gang can begin.
func finishMS(g *Group, slots []slot) int64 {
	at := slots[len(slots)-1].freeInMS
	if !g.pace.decisive {
		return at
	}
	return at + scaledMS(g.Step.EstimateMS, slowestSlot(slots))
}

// slowestSlot returns the lowest cautious log speed of the workers of slots.
func slowestSlot(slots []slot) float64 {
	log := math.Inf(1)
	for _, s := range slots {
		log = min(log, s.worker.cautious)
	}
	return log
}
