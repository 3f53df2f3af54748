package dispatch

import (
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// A run may complete on a worker that is cut off, before its lease expires. The leader then
// ends the run as expired, and its unit waits or runs again elsewhere when the worker reports
// the completion. The unit is done nevertheless: its dependents may start, and a further run
// repeats its work. Late failures are not counted, because they say nothing that a later run
// does not show.
//
// The state machine ends only active runs, and a member of the group with an earlier build must
// apply each entry with the same effect. So the completion is committed as the end of the unit's
// current run, which is stopped. A unit that waits first gets a run on the worker that reported the
// completion; no start is ever sent for that one.

// lateCompletions returns the completions in a report that belong to runs which are no longer
// recorded, of units that are not done. recorded holds the active runs on the worker.
func (a *agent) lateCompletions(rep *workerapi.UnitReport, recorded map[runKey]bool) []workerapi.UnitEnd {
	if !slices.ContainsFunc(rep.Ends, func(e workerapi.UnitEnd) bool {
		return e.How == batch.EndDone && !recorded[runKey{e.Unit, e.Run}]
	}) {
		return nil
	}
	var late []workerapi.UnitEnd
	a.leadership.cfg.Machine.View(func(v *batch.View) {
		for _, e := range rep.Ends {
			if e.How != batch.EndDone || recorded[runKey{e.Unit, e.Run}] {
				continue
			}
			if g, u := unfinishedUnit(v, e.Unit); u != nil && e.Run <= u.Run && !v.Job(e.Unit.Job, "").Step(g).LongRunning {
				late = append(late, e)
			}
		}
	})
	return late
}

// unfinishedUnit returns a unit that is not done, of a job that is not final, with its group,
// or nils.
func unfinishedUnit(v *batch.View, ref batch.UnitRef) (*batch.UnitGroup, *batch.Unit) {
	j := v.LiveJobs()[ref.Job]
	if j == nil || j.State.Final() {
		return nil, nil
	}
	g := j.UnitGroup(ref.Occurrence, ref.Step)
	if g == nil || ref.Index < 0 || ref.Index >= len(g.Units) || g.Units[ref.Index].State == batch.Done {
		return nil, nil
	}
	return g, &g.Units[ref.Index]
}

// lateCommit is what has to be committed for late completions.
type lateCommit struct {
	starts  []batch.Start          // runs for units that wait; those of a gang are consecutive
	ends    []batch.End            // one for each unit or gang that is done
	current map[runKey]*lateTarget // by the run in ends
}

// lateTarget is a unit or gang that a late completion concludes.
type lateTarget struct {
	needsStart bool
	running    map[runKey]string // active runs, which have become superfluous, and their workers
}

// planLateCommit returns what has to be committed for late completions.
func (a *agent) planLateCommit(v *batch.View, w *batch.Worker, late []workerapi.UnitEnd) *lateCommit {
	c := &lateCommit{current: map[runKey]*lateTarget{}}
	planned := map[batch.UnitRef]bool{} // the first unit of a gang stands for all
	for _, e := range late {
		g, u := unfinishedUnit(v, e.Unit)
		if u == nil {
			continue
		}
		indexes := []int{e.Unit.Index}
		if v.Job(e.Unit.Job, "").Step(g).Gang {
			indexes = indexes[:0]
			for i := range g.Units {
				indexes = append(indexes, i)
			}
		}
		first := e.Unit
		first.Index = indexes[0]
		if planned[first] {
			continue
		}
		planned[first] = true
		c.add(g, e.Unit, indexes, w)
	}
	return c
}

// add adds a unit, or the units of a gang, that a late completion concludes.
func (c *lateCommit) add(g *batch.UnitGroup, ref batch.UnitRef, indexes []int, w *batch.Worker) {
	t := &lateTarget{running: map[runKey]string{}}
	var current runKey
	nextRun := 0
	for _, i := range indexes {
		ref.Index = i
		u := &g.Units[i]
		nextRun = max(nextRun, u.Run+1)
		if u.State == batch.Active {
			current = runKey{ref, u.Run}
			t.running[current] = u.Worker
		}
	}
	if len(t.running) == 0 {
		t.needsStart = true
		for _, i := range indexes {
			ref.Index = i
			c.starts = append(c.starts, batch.Start{Unit: ref, Run: nextRun, Worker: w.ID, Incarnation: w.Incarnation})
		}
		current = runKey{ref, nextRun}
	}
	c.ends = append(c.ends, batch.End{Unit: current.unit, Run: current.run, How: batch.EndDone})
	c.current[current] = t
}

// commitLateCompletions commits late completions and stops the runs that they make
// superfluous. It reports whether the worker may forget the completions; if not, they are tried again
// with the worker's next report.
func (a *agent) commitLateCompletions(late []workerapi.UnitEnd) bool {
	if len(late) == 0 {
		return true
	}
	w := a.workerRecord()
	var c *lateCommit
	a.leadership.cfg.Machine.View(func(v *batch.View) { c = a.planLateCommit(v, &w, late) })
	rejected := a.commitUnsentStarts(c.starts)
	all := len(c.ends)
	c.ends = slices.DeleteFunc(c.ends, func(e batch.End) bool {
		k := runKey{e.Unit, e.Run}
		return c.current[k].needsStart && rejected[k]
	})
	if !a.leadership.commitEnds(w.ID, c.ends) {
		return false
	}
	for _, e := range c.ends {
		t := c.current[runKey{e.Unit, e.Run}]
		a.log.Info("unit was completed by a run that had been ended", "job", e.Unit.Job, "unit", e.Unit, "run", e.Run, "waited", t.needsStart)
		telemetry.Count("teaselpaddle_late_completions_total")
		for k, worker := range t.running {
			if other := a.leadership.agent(worker); other != nil {
				other.stop(k)
			}
		}
	}
	return len(c.ends) == all
}

// commitUnsentStarts commits runs on this worker for which no start will be sent, and returns
// those that were rejected.
func (a *agent) commitUnsentStarts(starts []batch.Start) map[runKey]bool {
	rejected := map[runKey]bool{}
	if len(starts) == 0 {
		return rejected
	}
	now := a.leadership.cfg.Now()
	a.mu.Lock()
	for _, s := range starts {
		a.orders[runKey{s.Unit, s.Run}] = &order{stopSentAt: now} // keeps the planner from sending a start
	}
	a.mu.Unlock()
	result, err := a.leadership.propose(&batch.Command{Starts: &batch.Starts{Starts: starts, AtMS: a.leadership.cfg.TimeOfDayMS()}})
	accepted, _ := result.([]bool)
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, s := range starts {
		if k := (runKey{s.Unit, s.Run}); i >= len(accepted) || !accepted[i] {
			rejected[k] = true
			// After an error the entry may still be applied; the order is kept for that case.
			if err == nil {
				delete(a.orders, k)
			}
		}
	}
	return rejected
}
