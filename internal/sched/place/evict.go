package place

import (
	"cmp"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// acceleratorCores is the number of cores that an accelerator counts as when
// lost work is compared. The deployments price it so.
const acceleratorCores = 8

// urgencyFactor is how much more the lost work of a run counts than that of one that
// is less urgent by a priority, down to leastUrgent. Over 30 heavy days of each
// deployment it raised worth by 0.012 and 0.002 (standard errors 0.007).
const urgencyFactor = 2

// withComing is a worker's room once what is being stopped there has ended.
func withComing(w *Worker) batch.Resources { return w.Free.Add(w.Coming) }

// mayStop reports whether a run gives way to a group.
func mayStop(r *Running, g *Group) bool {
	if r.Stopping {
		return false
	}
	return r.Priority > g.Priority || g.Guaranteed && !r.Guaranteed
}

// cost is the work that is lost if a run is stopped, in core-milliseconds weighted by
// urgency. The stop of one unit of a gang ends all of them.
func (d *decision) cost(r *Running) int64 {
	if r.Gang == "" {
		return lost(r)
	}
	var sum int64
	for _, m := range d.gangs[r.Gang] {
		sum += lost(m)
	}
	return sum
}

func lost(r *Running) int64 {
	cost := (r.Need.CPU/1000 + acceleratorCores*r.Need.Accelerators) * (r.LostMS + 1)
	for range leastUrgent - r.Priority {
		cost *= urgencyFactor
	}
	return cost
}

// byCost returns a worker's runs, the least urgent and cheapest first.
func byCost(w *Worker) []*Running {
	if w.cheap == nil {
		w.cheap = slices.Clone(w.Running)
		slices.SortFunc(w.cheap, func(a, b *Running) int {
			return cmp.Or(
				cmp.Compare(b.Priority, a.Priority),
				cmp.Compare(a.cost, b.cost),
				cmp.Compare(a.Ref.Job, b.Ref.Job),
				cmp.Compare(a.Ref.Index, b.Ref.Index),
			)
		})
	}
	return w.cheap
}

// offer is the room that a worker has, or can be given, for units of a group.
type offer struct {
	w     *Worker
	units int             // taken so far
	free  batch.Resources // with what the stops chosen so far give back
	next  int             // runs of byCost before it are chosen, or may not be stopped
	// What one more unit takes.
	can   bool
	cost  int64
	after batch.Resources
	upTo  int
}

// more finds the cheapest stops that make room for one unit more.
func (o *offer) more(g *Group) {
	o.can = false
	if m := g.Step.MaxPerWorker; m > 0 && g.On[o.w.ID]+o.units+1 > m {
		return
	}
	runs := byCost(o.w)
	o.cost, o.after, o.upTo = 0, o.free, o.next
	for {
		if o.after.Times(g.Step.Need, o.units+1) > o.units {
			o.can = true
			return
		}
		if o.upTo == len(runs) {
			return
		}
		if r := runs[o.upTo]; mayStop(r, g) {
			o.after = o.after.Add(r.Need)
			o.cost += r.cost
		}
		o.upTo++
	}
}

// evict finds the cheapest stops so that need units fit into a set of workers,
// beyond what fits once the stops in progress have ended. It returns the offers
// that were taken and their cost; ok is false if it is impossible.
func evict(g *Group, set []*Worker, need int) (offers []*offer, cost int64, ok bool) {
	set = slices.Clone(set)
	byFit(set)
	for _, w := range set {
		o := &offer{w: w, free: withComing(w)}
		o.units = min(room(g, w, o.free), need)
		need -= o.units
		offers = append(offers, o)
	}
	if need == 0 {
		return offers, 0, true
	}
	for _, o := range offers {
		o.more(g)
	}
	for ; need > 0; need-- {
		var best *offer
		for _, o := range offers {
			if o.can && (best == nil || o.cost < best.cost) {
				best = o
			}
		}
		if best == nil {
			return nil, 0, false
		}
		cost += best.cost
		best.units++
		best.free, best.next = best.after, best.upTo
		best.more(g)
	}
	return offers, cost, true
}

// makeRoom reserves what is being given back for units of their own, and stops
// other runs for the rest.
func (d *decision) makeRoom(g *Group, workers []*Worker, need int) {
	for ; need > 0; need-- {
		if offers, _, ok := evict(g, workers, need); ok {
			d.take(g, offers)
			return
		}
	}
}

// makeRoomGang does the same for a gang, on the set of workers where least work
// is lost.
func (d *decision) makeRoomGang(g *Group, sets [][]*Worker) {
	var best []*offer
	bestCost := int64(-1)
	for _, set := range sets {
		offers, cost, ok := evict(g, set, g.Total)
		if ok && (bestCost < 0 || cost < bestCost) {
			best, bestCost = offers, cost
		}
		if bestCost == 0 {
			break
		}
	}
	d.take(g, best)
}

// take reserves room for a group that waits for stops, and orders the stops.
func (d *decision) take(g *Group, offers []*offer) {
	for _, o := range offers {
		if o.units == 0 {
			continue
		}
		d.reserve(g, o.w, o.units)
		for _, r := range byCost(o.w)[:o.next] {
			if mayStop(r, g) {
				d.stop(r, g.Job)
			}
		}
	}
}

// stop orders the stop of a run, and of the whole gang that it belongs to.
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
		m.at.Coming = m.at.Coming.Add(m.Need)
		d.plan.Stops = append(d.plan.Stops, m)
	}
}
