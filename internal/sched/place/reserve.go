package place

import (
	"cmp"
	"math"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/sched/mechanism"
)

// A gang that may not stop other runs waits until enough workers become free.
// Without a reservation, units of less urgent steps would use each worker as
// soon as a part of it is free, and a gang of large units would never start.

// maxGangReservations bounds the number of gangs with a reservation, and with
// it the time that a decision takes. The first ones take all the capacity that
// a burst leaves. Urgent groups have a number of their own: a long queue of them
// would otherwise leave no reservation to less urgent gangs, whose workers small
// units would then take.
const maxGangReservations = 24

// mayReserve reports whether a group may still get a reservation in this plan.
func (d *decision) mayReserve(g *Group) bool { return *d.reservationsLike(g) < maxGangReservations }

// countReservation counts a reservation for a group.
func (d *decision) countReservation(g *Group) { *d.reservationsLike(g)++ }

// reservationsLike returns the number of reservations of groups as urgent as the given one.
func (d *decision) reservationsLike(g *Group) *int {
	if g.Priority == 0 {
		return &d.urgentReservations
	}
	return &d.gangReservations
}

// slot is space for one unit on a worker, and the time until it is expected to
// be free.
type slot struct {
	worker   *Worker
	freeInMS int64 // ms from now
}

// reserveForGang reserves the set of slots that is expected to be free first
// for a gang. If workers differ in speed, it is the set on which the gang completes first.
// Nothing is reserved for a gang that fits on no set even when all runs with an end are over.
func (d *decision) reserveForGang(g *Group, sets [][]*Worker) {
	if !d.mayReserve(g) || d.snapshot.Off[mechanism.Reservations] {
		return
	}
	d.countReservation(g)
	best := d.earliestSet(g, sets, math.MaxInt64)
	for _, s := range best {
		d.hold(g, s.worker, 1)
	}
}

// earliestSet returns the slots for a gang on the set of workers where it is expected to
// complete first. It returns nil if the gang fits on none within the given time from now, ms.
func (d *decision) earliestSet(g *Group, sets [][]*Worker, withinMS int64) (best []slot) {
	bestAt := int64(math.MaxInt64)
	for _, set := range sets {
		for _, slots := range d.slotChoices(g, d.earliestSlots(g, set, withinMS)) {
			if len(slots) < g.Total {
				continue
			}
			if at := finishMS(g, slots[:g.Total]); at < bestAt {
				best, bestAt = slots[:g.Total], at
			}
		}
	}
	return best
}

// earliestSlots returns the slots for units of a group on a set of workers that are free
// within the given time from now, the first to be free first.
func (d *decision) earliestSlots(g *Group, set []*Worker, withinMS int64) []slot {
	var out []slot
	for _, w := range set {
		out = d.appendSlots(out, g, w, withinMS)
	}
	slices.SortFunc(out, func(a, b slot) int {
		if a.freeInMS != b.freeInMS {
			return cmp.Compare(a.freeInMS, b.freeInMS)
		}
		return a.worker.order - b.worker.order
	})
	return out
}

// appendSlots appends the slots for units of a group on one worker. Resources
// reserved for other groups are left out, as they are part of neither Free nor
// Running.
func (d *decision) appendSlots(out []slot, g *Group, w *Worker, withinMS int64) []slot {
	free := w.Free
	if !w.Capacity.Fits(g.Step.Need) {
		return out
	}
	before := len(out)
	for range unitsThatFit(g, w, free) {
		out = append(out, slot{worker: w})
	}
	for _, r := range runsByEnd(w) {
		if left := remainingMS(r); left == NoEnd || left > withinMS {
			break
		}
		free = free.Add(r.Need)
		for more := unitsThatFit(g, w, free) - (len(out) - before); more > 0; more-- {
			out = append(out, slot{worker: w, freeInMS: remainingMS(r)})
		}
	}
	return out
}

// runsByEnd returns a worker's runs, the first to end first.
func runsByEnd(w *Worker) []*Running {
	if w.cachedByEnd == nil {
		w.cachedByEnd = slices.Clone(w.Running)
		slices.SortStableFunc(w.cachedByEnd, func(a, b *Running) int { return cmp.Compare(remainingMS(a), remainingMS(b)) })
	}
	return w.cachedByEnd
}

// typicalStopMS is the time that a stop in progress usually still takes.
const typicalStopMS = 500

func remainingMS(r *Running) int64 {
	if r.Stopping {
		return min(r.LeftMS, typicalStopMS)
	}
	return r.LeftMS
}
