package dispatch

import "teaselpaddle.example/teaselpaddle/internal/batch"

// The attempts of a unit may be used up without its job having failed: its last failure was counted
// while the queue was not configured, or a configuration has lowered the limit. Such a unit is not
// started again, and its job is concluded.

// usedUp is a unit, or all units of a gang, whose attempts are used up although the job has not failed.
type usedUp struct {
	units []batch.UnitRef
	run   int // number of the next run
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
		units = append(units, g.Ref(j.ID, i))
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
