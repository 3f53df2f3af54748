package place

import (
	"cmp"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/mechanism"
)

// placeGang places all units or none.
func (d *decision) placeGang(g *Group, candidates *candidateSet) {
	if len(g.Waiting) < g.Total {
		g.Claims = nil
		return // units of the last run have not ended yet
	}
	sets := d.gangSets(g, candidates)
	if len(g.Suspects) > 0 && d.placeSuspectGang(g, sets) {
		return
	}
	if d.speeds && !d.snapshot.Off[mechanism.FinishTime] && d.placeGangBySpeed(g, nearestSets(g, sets, candidates)) {
		return
	}
	for _, set := range sets {
		if mayFitNow(g, set) && d.fits(g, set, func(w *Worker) batch.Resources { return w.Free }) {
			d.startGang(g, set)
			return
		}
	}
	d.plan.Unplaced = append(d.plan.Unplaced, g)
	sets = d.setsToSearch(g, sets)
	if g.Priority == 0 {
		d.evictForGang(g, sets)
		return
	}
	d.reserveForGang(g, sets)
}

// startGang starts all units of a gang on a set of workers where they fit.
func (d *decision) startGang(g *Group, set []*Worker) {
	d.startUnits(g, set, g.Waiting)
	g.Claims = nil
	if len(g.Suspects) == 0 {
		return
	}
	for _, w := range set {
		if g.UnitsOn[w.ID] > 0 {
			d.isolate(w)
		}
	}
}

// gangSets returns the sets of workers on which a gang may run, best first.
func (d *decision) gangSets(g *Group, candidates *candidateSet) [][]*Worker {
	workers := candidates.workers
	if !g.Step.SameRack && g.Step.DataRack == "" {
		return [][]*Worker{workers}
	}
	racks := slices.Clone(candidates.racks)
	// The data's rack comes first, then the rack with the fewest free
	// accelerators.
	slices.SortFunc(racks, func(a, b *rack) int {
		return cmp.Or(
			cmp.Compare(btoi(a.name != g.Step.DataRack), btoi(b.name != g.Step.DataRack)),
			cmp.Compare(a.free, b.free),
			cmp.Compare(a.name, b.name),
		)
	})
	var sets [][]*Worker
	waitsForLocality := d.waitsForLocality(g)
	for _, r := range racks {
		if d.fits(g, candidates.byRack[r], wholeCapacity) && (r.name == g.Step.DataRack || g.Step.DataRack == "" || !waitsForLocality) {
			sets = append(sets, candidates.byRack[r])
		}
	}
	if len(sets) == 0 || !waitsForLocality {
		sets = append(sets, workers)
	}
	return sets
}

// fits reports whether all units of a gang fit into a set of workers.
func (d *decision) fits(g *Group, set []*Worker, free func(*Worker) batch.Resources) bool {
	n := 0
	for _, w := range set {
		if n += unitsThatFit(g, w, free(w)); n >= g.Total {
			return true
		}
	}
	return false
}

func wholeCapacity(w *Worker) batch.Resources { return w.Capacity }
