package place

import (
	"cmp"
	"math"
	"slices"
)

// A gang that may not stop others waits for workers that become free. Without a
// reservation the units of less urgent steps would take each worker as soon as
// it is free in part, and a gang of large units would never start.

// maxReserved bounds the gangs with a reservation, and with it the time of a
// decision. The first ones take all the room that a burst leaves.
const maxReserved = 24

// slot is a unit's place on a worker and when it is expected to be free.
type slot struct {
	w   *Worker
	atM int64 // ms from now
}

// awaitRoom reserves the room for a gang where it is expected to be free first.
func (d *decision) awaitRoom(g *Group, sets [][]*Worker) {
	if d.reserved == maxReserved {
		return
	}
	d.reserved++
	var best []slot
	bestAt := int64(math.MaxInt64)
	for _, set := range sets {
		slots := d.soonest(g, set)
		if len(slots) < g.Total {
			continue
		}
		if at := slots[g.Total-1].atM; at < bestAt {
			best, bestAt = slots[:g.Total], at
		}
	}
	for _, s := range best {
		d.reserve(g, s.w, 1)
	}
}

// soonest returns the places for units of a group on a set of workers, the first
// to be free first, at most as many as the group has units.
func (d *decision) soonest(g *Group, set []*Worker) []slot {
	var out []slot
	for _, w := range set {
		out = append(out, d.slotsOn(g, w)...)
	}
	slices.SortFunc(out, func(a, b slot) int {
		if a.atM != b.atM {
			return cmp.Compare(a.atM, b.atM)
		}
		return a.w.order - b.w.order
	})
	return out
}

// slotsOn returns the places for units of a group on one worker. Room that is
// reserved for others stays theirs: it is part of neither Free nor Running.
func (d *decision) slotsOn(g *Group, w *Worker) []slot {
	if w.soon == nil {
		w.soon = slices.Clone(w.Running)
		slices.SortStableFunc(w.soon, func(a, b *Running) int { return cmp.Compare(left(a), left(b)) })
	}
	free := w.Free
	if !w.Capacity.Fits(g.Step.Need) {
		return nil
	}
	n := room(g, w, free)
	out := make([]slot, n, g.Total)
	for i := range out {
		out[i] = slot{w: w}
	}
	for _, r := range w.soon {
		free = free.Add(r.Need)
		for more := room(g, w, free) - len(out); more > 0; more-- {
			out = append(out, slot{w: w, atM: left(r)})
		}
	}
	return out
}

// stoppingMS is the usual time that a stop in progress still takes.
const stoppingMS = 500

func left(r *Running) int64 {
	if r.Stopping {
		return min(r.LeftMS, stoppingMS)
	}
	return r.LeftMS
}
