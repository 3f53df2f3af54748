package place

import (
	"cmp"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/work"
)

// acceleratorCores is the number of cores that an accelerator counts as when
// lost work is compared. The deployments price it so.
const acceleratorCores = 8

// withComing is a worker's room once what is being stopped there has ended.
func withComing(w *Worker) work.Resources { return w.Free.Add(w.Coming) }

// mayStop reports whether a run gives way to a group.
func mayStop(r *Running, g *Group) bool {
	if r.Stopping {
		return false
	}
	return r.Priority > g.Priority || g.Guaranteed && !r.Guaranteed
}

// cost is the work that is lost if a run is stopped, in core-milliseconds. The
// stop of one unit of a gang ends all of them.
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
	cores := r.Need.CPU/1000 + acceleratorCores*r.Need.Accelerators
	return cores * (r.LostMS + 1)
}

// option is a set of runs on one worker whose stop makes room for one more unit.
type option struct {
	w     *Worker
	stops []*Running
	cost  int64
}

// evict finds the cheapest stops so that need units fit into a set of workers,
// beyond what fits once the stops in progress have ended. It returns the units
// for each worker, the runs to stop and their cost; ok is false if it is
// impossible.
func (d *decision) evict(g *Group, set []*Worker, need int) (units map[*Worker]int, stops []*Running, cost int64, ok bool) {
	units = map[*Worker]int{}
	chosen := map[*Running]bool{}
	got := 0
	set = slices.Clone(set)
	d.byFit(set)
	for _, w := range set {
		n := min(room(g, w, withComing(w)), need-got)
		units[w] += n
		got += n
	}
	for got < need {
		best := option{cost: -1}
		for _, w := range set {
			o, can := d.oneMore(g, w, units[w], chosen)
			if can && (best.cost < 0 || o.cost < best.cost) {
				best = o
			}
		}
		if best.cost < 0 {
			return nil, nil, 0, false
		}
		for _, r := range best.stops {
			if !chosen[r] {
				chosen[r] = true
				stops = append(stops, r)
			}
		}
		cost += best.cost
		units[best.w]++
		got++
	}
	return units, stops, cost, true
}

// oneMore returns the cheapest stops on a worker that make room for one unit
// more than have.
func (d *decision) oneMore(g *Group, w *Worker, have int, chosen map[*Running]bool) (option, bool) {
	o := option{w: w}
	if m := g.Step.MaxPerWorker; m > 0 && g.On[w.ID]+have+1 > m {
		return o, false
	}
	free := withComing(w)
	for r := range chosen {
		if d.at[r] == w {
			free = free.Add(r.Need)
		}
	}
	var can []*Running
	for _, r := range w.Running {
		if mayStop(r, g) && !chosen[r] && !d.stopped[r] {
			can = append(can, r)
		}
	}
	slices.SortFunc(can, func(a, b *Running) int {
		return cmp.Or(
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(d.cost(a), d.cost(b)),
			cmp.Compare(a.Ref.Job, b.Ref.Job),
			cmp.Compare(a.Ref.Index, b.Ref.Index),
		)
	})
	for i := 0; ; i++ {
		if free.Times(g.Step.Need, have+1) >= have+1 {
			return o, true
		}
		if i == len(can) {
			return o, false
		}
		free = free.Add(can[i].Need)
		o.stops = append(o.stops, can[i])
		o.cost += d.cost(can[i])
	}
}

// makeRoom reserves what is being given back for units of their own, and stops
// other runs for the rest.
func (d *decision) makeRoom(g *Group, workers []*Worker, need int) {
	for need > 0 {
		if units, stops, _, ok := d.evict(g, workers, need); ok {
			d.take(g, units, stops)
			return
		}
		need--
	}
}

// makeRoomGang does the same for a gang, on the set of workers where least work
// is lost.
func (d *decision) makeRoomGang(g *Group, sets [][]*Worker) {
	var bestUnits map[*Worker]int
	var bestStops []*Running
	bestCost := int64(-1)
	for _, set := range sets {
		units, stops, cost, ok := d.evict(g, set, g.Total)
		if ok && (bestCost < 0 || cost < bestCost) {
			bestUnits, bestStops, bestCost = units, stops, cost
		}
	}
	if bestCost >= 0 {
		d.take(g, bestUnits, bestStops)
	}
}

// take reserves room for a group that waits for stops, and orders the stops.
func (d *decision) take(g *Group, units map[*Worker]int, stops []*Running) {
	for w, n := range units {
		d.reserve(g, w, n)
	}
	for _, r := range stops {
		d.stop(r, g.Job)
	}
}

// stop orders the stop of a run, and of the whole gang that it belongs to.
func (d *decision) stop(r *Running, job string) {
	all := []*Running{r}
	if r.Gang != "" {
		all = d.gangs[r.Gang]
	}
	for _, m := range all {
		if d.stopped[m] || m.Stopping {
			continue
		}
		d.stopped[m] = true
		m.For = job
		w := d.at[m]
		w.Coming = w.Coming.Add(m.Need)
		d.plan.Stops = append(d.plan.Stops, m)
	}
}
