package place

import (
	"cmp"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/share"
)

const (
	// longWaitFactor times the time in which its job should be completed is a long wait for
	// a group. Its job is late by then, and its customer still needs the result.
	longWaitFactor = 2
	// minLongWaitMS is the least long wait; it applies to queues without a target.
	minLongWaitMS = 10_000
	// promotionIntervalMS is the time without a start of the customer in the group's
	// priority after which a group that has waited long goes first. Without it, a customer
	// with a long backlog would always go first, and its burst would decide the wait of the
	// others. Only starts of gangs count for a gang: other units of the customer start in
	// room in which a gang does not fit.
	promotionIntervalMS = 1000
)

// customerClass is the groups and runs of a customer in one priority.
type customerClass struct {
	customer string
	priority int
}

// promotionClass is the groups of a customer in one priority of which at most one goes first.
type promotionClass struct {
	customerClass
	gang bool
}

// orderByShare orders the groups of each priority by the use of their customers, the
// smallest first. The groups of a customer keep their order; each counts with the use that
// its customer would have with the groups before it, so the groups of customers alternate
// in a burst. Of the groups of a customer that have waited long, the oldest gang and the
// oldest other group go first, whatever the customer's use.
//
// s.Groups are in the order of compareGroups.
func (d *decision) orderByShare() {
	s := d.snapshot
	var capacity batch.Resources
	for _, w := range s.Workers {
		capacity = capacity.Add(w.Capacity)
	}
	lastStart := d.sinceLastStart()
	before := map[customerClass]float64{} // use with the groups so far
	promoted := map[promotionClass]*Group{}
	for _, g := range s.Groups {
		if g.Guaranteed {
			continue
		}
		class := customerClass{g.Customer, g.Priority}
		use, ok := before[class]
		if !ok {
			use = s.Use[g.Customer]
		}
		g.share, g.promoted = use, false
		n := int64(len(g.Waiting))
		need := g.Step.Need
		before[class] = use + share.Dominant(batch.Resources{CPU: n * need.CPU, MemoryMB: n * need.MemoryMB, Accelerators: n * need.Accelerators}, capacity)
		kind := promotionClass{class, g.Step.Gang}
		since, started := lastStart[kind]
		oldest := promoted[kind]
		if s.waitedLong(g) && (!started || since >= promotionIntervalMS) && (oldest == nil || g.SinceMS < oldest.SinceMS) {
			promoted[kind] = g
		}
	}
	for _, g := range promoted {
		g.promoted = true
	}
	slices.SortStableFunc(s.Groups, s.compareShares)
}

// compareShares orders groups as compareGroups does, but within a priority first by
// promotion, and then by share before the order of acceptance.
func (s *Snapshot) compareShares(a, b *Group) int {
	return cmp.Or(
		cmp.Compare(priorityRank(a), priorityRank(b)),
		cmp.Compare(btoi(b.promoted), btoi(a.promoted)),
		cmp.Compare(s.latenessRank(a), s.latenessRank(b)),
		cmp.Compare(a.share, b.share),
		s.compareGroups(a, b),
	)
}

// waitedLong reports whether a group has waited so long that it goes first.
func (s *Snapshot) waitedLong(g *Group) bool {
	return s.NowMS-g.SinceMS >= max(longWaitFactor*(g.CompleteByMS-g.SinceMS), minLongWaitMS)
}

// sinceLastStart returns the time since the last start among the present runs of each
// class, ms.
func (d *decision) sinceLastStart() map[promotionClass]int64 {
	out := map[promotionClass]int64{}
	for _, workers := range [][]*Worker{d.snapshot.Workers, d.snapshot.Leaving, d.snapshot.Cordoned} {
		for _, w := range workers {
			for _, r := range w.Running {
				class := promotionClass{customerClass{r.Customer, r.Priority}, r.Gang != ""}
				if since, ok := out[class]; !ok || r.AgeMS < since {
					out[class] = r.AgeMS
				}
			}
		}
	}
	return out
}

// setBorrowed sets, for each run outside a guarantee, the accelerators that its customer
// borrows on all workers, also on those where no run may be stopped to make room.
func (d *decision) setBorrowed() {
	borrowed := map[string]int64{}
	for _, workers := range [][]*Worker{d.snapshot.Workers, d.snapshot.Leaving, d.snapshot.Cordoned} {
		for _, w := range workers {
			for _, r := range w.Running {
				if !r.Guaranteed {
					borrowed[r.Customer] += r.Need.Accelerators
				}
			}
		}
	}
	for _, w := range d.snapshot.Workers {
		for _, r := range w.Running {
			if !r.Guaranteed {
				r.borrowed = borrowed[r.Customer]
			}
		}
	}
}
