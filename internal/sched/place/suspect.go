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

// placeSuspects starts suspected units of a step that is not a gang. It returns the units that
// are to be placed like all others, and the suspected ones that wait.
func (d *decision) placeSuspects(g *Group, candidates *candidateSet) (others, waiting []int) {
	if len(g.Suspects) == 0 {
		return g.Waiting, nil
	}
	var suspects []int
	for _, i := range g.Waiting {
		if g.Suspects[i] > 0 {
			suspects = append(suspects, i)
		} else {
			others = append(others, i)
		}
	}
	if d.isTested(g) {
		return others, suspects
	}
	workers := candidates.workers
	if local := candidates.byRack[d.racks[g.Step.DataRack]]; g.Step.DataRack != "" && len(local) > 0 && d.waitsForLocality(g) {
		workers = local
	}
	w := d.quietest(g, workers)
	if w == nil {
		return others, suspects
	}
	n := min(unitsThatFit(g, w, w.Free), len(suspects)) // also in the headroom, which a test needs for seconds only
	for _, i := range suspects[:n] {
		d.startUnit(g, i, w)
	}
	d.isolate(w)
	d.tested[g.Job] = true
	return others, suspects[n:]
}

// isTested reports whether suspected units of a group's job run or start on an isolated worker.
func (d *decision) isTested(g *Group) bool { return g.Tested || d.tested[g.Job] }

// quietest returns the worker for a test, of those on which a unit fits: the one on which a
// crash takes the least along. Workers are left out on which a run has just begun, or to which
// the plan has given others, because the evidence would not tell them apart. It returns nil if
// there is none; the test waits until the runs are a little older.
func (d *decision) quietest(g *Group, workers []*Worker) *Worker {
	sortByFit(g, workers)
	var best *Worker
	for _, w := range workers {
		if w.promised == 0 && !w.hasJustBegun() && unitsThatFit(g, w, w.Free) > 0 && (best == nil || w.company() < best.company()) {
			best = w
		}
	}
	return best
}

// justBegunMS is the age of a run up to which it may explain a crash as well as one that
// starts now, with the time that its start may take.
const justBegunMS = 1000

func (w *Worker) hasJustBegun() bool {
	return slices.ContainsFunc(w.Running, func(r *Running) bool { return r.AgeMS < justBegunMS })
}

// strongestSuspicion returns the strongest suspicion of the given units.
func (g *Group) strongestSuspicion(units []int) int {
	strongest := 0
	for _, i := range units {
		strongest = max(strongest, g.Suspects[i])
	}
	return strongest
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
