package dispatch

import (
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// How many runs of a unit may fail is set by the queue of its job. While a configuration without the
// queue is in force, the state machine knows no limit but its default, by which it would conclude a
// job that may have attempts left. A failure that would do so is held back: it is neither committed
// nor acknowledged, so the worker keeps it for this leader and the next one until the queue is
// configured again.

// maxUndecidedTime bounds the time for which a failure is held back. Meanwhile the worker's later ends
// are committed but not acknowledged, and a worker lists 500 ends at most. After it, the run ends
// without being counted: a further attempt does less harm than a job that fails without cause.
const maxUndecidedTime = time.Minute

// endedRun reports whether a run was reported as ended on its worker and its end is held back.
// The caller holds mu.
func (a *agent) endedRun(k runKey) bool {
	_, ok := a.undecided[k]
	return ok
}

// isUndecided reports the same. The caller does not hold mu.
func (a *agent) isUndecided(k runKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endedRun(k)
}

// listsFailures reports whether a report lists failed runs.
func listsFailures(rep *workerapi.UnitReport) bool {
	return slices.ContainsFunc(rep.Ends, func(e workerapi.UnitEnd) bool { return e.How == batch.EndFailed })
}

// undecidedFailures returns the numbers of the ends in a report that must be held back.
func (a *agent) undecidedFailures(rep *workerapi.UnitReport) map[runKey]int64 {
	if !listsFailures(rep) {
		return nil
	}
	var out map[runKey]int64
	a.leadership.cfg.Machine.View(func(v *batch.View) {
		for _, e := range rep.Ends {
			if e.How != batch.EndFailed || !v.FailureUndecided(e.Unit, e.Run) {
				continue
			}
			if out == nil {
				out = map[runKey]int64{}
			}
			out[runKey{e.Unit, e.Run}] = e.Number
		}
	})
	return out
}

// holdBack takes the undecided failures out of the ends to commit, and the numbers from the first of
// them on out of those to acknowledge. It reports whether there are any. The caller holds mu.
func (a *agent) holdBack(r *receivedReport, undecided map[runKey]int64, now time.Time) bool {
	since := a.undecided
	a.undecided = nil
	ends := r.ends[:0]
	for _, e := range r.ends {
		k := runKey{e.Unit, e.Run}
		number, found := undecided[k]
		if !found || e.How != batch.EndFailed {
			ends = append(ends, e)
			continue
		}
		at, known := since[k]
		if !known {
			at = now
			telemetry.Count("teaselpaddle_failures_held_back_total")
			a.log.Info("failure held back: the queue that sets the number of attempts is not configured", "job", e.Unit.Job, "unit", e.Unit, "run", e.Run)
		}
		if now.Sub(at) >= maxUndecidedTime || r.MoreEnds {
			telemetry.Count("teaselpaddle_failures_not_counted_total")
			a.log.Info("failure is not counted: its queue is still not configured", "job", e.Unit.Job, "unit", e.Unit, "run", e.Run)
			e.How = batch.EndLost
			ends = append(ends, e)
			continue
		}
		if a.undecided == nil {
			a.undecided = map[runKey]time.Time{}
		}
		a.undecided[k] = at
		r.lastEnd = min(r.lastEnd, number-1)
	}
	r.ends = ends
	return len(a.undecided) > 0
}

// usedUp identifies a unit, or a gang by its first unit, whose attempts are used up although its job
// has not failed.
type usedUp struct {
	units []batch.UnitRef
	run   int // of the next start
}

// usedUpUnits returns a waiting unit of a unit group whose attempts are used up, or all units of a
// gang, or nil. A gang is returned only once none of its runs is active.
func usedUpUnits(v *batch.View, j *batch.Job, g *batch.UnitGroup) *usedUp {
	gang := j.Step(g).Gang
	var units []batch.UnitRef
	run := 0
	for i := range g.Units {
		u := &g.Units[i]
		if u.State != batch.Waiting || !v.AttemptsUsedUp(j, g, u) {
			if gang {
				return nil
			}
			continue
		}
		units = append(units, batch.UnitRef{Job: j.ID, Occurrence: g.Occurrence, Step: g.Step, Index: i})
		run = max(run, u.Run+1)
		if !gang {
			break // the failure of one concludes the job
		}
	}
	if len(units) == 0 {
		return nil
	}
	return &usedUp{units, run}
}

// failUsedUp concludes jobs with units whose attempts are used up. The state machine concludes a job
// only at the end of a run, so a run for which no start is sent is recorded on a worker, and its
// failure after it: members of the group with an earlier build apply both alike.
func (p *planner) failUsedUp(found []*usedUp, worker string) {
	a := p.leadership.agent(worker)
	if a == nil {
		return
	}
	w := a.workerRecord()
	for _, f := range found {
		p.leadership.log.Info("attempts used up under the present configuration", "job", f.units[0].Job, "unit", f.units[0])
		a.failUnsent(f, &w)
	}
}

// failUnsent records a run of each unit on the worker, for which no start is sent, and its failure.
func (a *agent) failUnsent(f *usedUp, w *batch.Worker) {
	a.leadership.cfg.ConfigChange.RLock()
	defer a.leadership.cfg.ConfigChange.RUnlock()
	var starts []batch.Start
	var ends []batch.End
	a.leadership.cfg.Machine.View(func(v *batch.View) {
		for _, ref := range f.units {
			j := v.LiveJobs()[ref.Job]
			if j == nil {
				return
			}
			g := j.UnitGroup(ref.Occurrence, ref.Step)
			if !v.AttemptsUsedUp(j, g, &g.Units[ref.Index]) {
				return // another configuration is in force
			}
			starts = append(starts, batch.Start{Unit: ref, Run: f.run, Worker: w.ID, Incarnation: w.Incarnation})
			ends = append(ends, batch.End{Unit: ref, Run: f.run, How: batch.EndFailed})
		}
	})
	if len(starts) < len(f.units) || len(a.commitUnsentStarts(starts)) > 0 {
		return
	}
	committed := a.leadership.commitEnds(w.ID, ends)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range starts {
		k := runKey{s.Unit, s.Run}
		if committed {
			a.orders[k].finished = true
			continue
		}
		delete(a.orders, k) // the next pass fences the run as one that is barred
	}
}
