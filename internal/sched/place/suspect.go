package place

import (
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// The load that this file answers: units that crash each worker that starts them, among many
// that do not. A crash takes along all runs on the worker, and only one of them need be the
// cause. A suspected unit therefore starts where nothing else runs, or where the least is
// lost, and nothing joins it until it has proved itself. A second crash then tells the cause
// from the company.
//
// The suspects of a job are tested on one worker at a time: they often share the cause, and
// a job that crashes workers is given up as a whole.

// placeSuspects starts suspected units of a step that is not a gang, and returns the units
// that are to be placed like all others.
func (d *decision) placeSuspects(g *Group, candidates *candidateSet) []int {
	if len(g.Suspects) == 0 {
		return g.Waiting
	}
	var suspects, others []int
	strongest := 0
	for _, i := range g.Waiting {
		if s := g.Suspects[i]; s > 0 {
			suspects = append(suspects, i)
			strongest = max(strongest, s)
		} else {
			others = append(others, i)
		}
	}
	if g.Tested || d.tested[g.Job] {
		return others
	}
	workers := candidates.workers
	if local := candidates.byRack[d.racks[g.Step.DataRack]]; g.Step.DataRack != "" && len(local) > 0 && d.waitsForLocality(g) {
		workers = local
	}
	w := d.quietest(g, workers)
	if w == nil {
		if strongest == 1 {
			return g.Waiting // most suspects are harmless, and urgent ones may make room
		}
		return others
	}
	d.startOn(g, w, suspects, len(suspects))
	d.isolate(w)
	d.tested[g.Job] = true
	return others
}

// quietest returns the worker on which a crash takes the least along, of those on which a
// unit fits, or nil. Workers that the plan has given to other groups are left out.
func (d *decision) quietest(g *Group, workers []*Worker) *Worker {
	sortByFit(g, workers)
	var best *Worker
	for _, w := range workers {
		if w.promised == 0 && unitsThatFit(g, w, w.Free) > 0 && (best == nil || w.company() < best.company()) {
			best = w
		}
	}
	return best
}

// urgentCompany is the number of runs that weigh as much as one that is urgent or guaranteed.
const urgentCompany = 16

// company weighs the runs on a worker that its crash would take along.
func (w *Worker) company() int {
	n := 0
	for _, r := range w.Running {
		n++
		if r.Priority == 0 || r.Guaranteed {
			n += urgentCompany - 1
		}
	}
	return n
}

// placeSuspectGang starts a gang with suspected units on workers without other runs. It
// reports whether there are enough of them.
func (d *decision) placeSuspectGang(g *Group, sets [][]*Worker) bool {
	for _, set := range sets {
		empty := slices.Clone(set)
		empty = slices.DeleteFunc(empty, func(w *Worker) bool { return w.promised > 0 || len(w.Running) > 0 })
		if d.fits(g, empty, func(w *Worker) batch.Resources { return w.Free }) {
			d.startGang(g, empty)
			return true
		}
	}
	return false
}

// isolate takes the rest of a worker out of the decision: nothing else is placed there, and
// no run is stopped there.
func (d *decision) isolate(w *Worker) {
	w.rack.addFree(w, -max(w.Free.Accelerators, 0))
	w.Free, w.Releasing = batch.Resources{}, batch.Resources{}
	w.Running, w.cachedByEnd, w.cachedByCost = nil, nil, nil
}
