package dispatch

import (
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// reconcileRuns reconciles the runs that need anything. There are many runs and few that do, so the
// agent of a worker is locked once for all of its runs.
func (p *planner) reconcileRuns(runs []runInfo) {
	byWorker := map[string][]*runInfo{}
	for i := range runs {
		byWorker[runs[i].unit.Worker] = append(byWorker[runs[i].unit.Worker], &runs[i])
	}
	now := p.leadership.cfg.Now()
	for worker, rs := range byWorker {
		a := p.agents[worker]
		if a == nil {
			continue
		}
		for _, r := range a.runsToReconcile(rs, now) {
			p.reconcileRun(r)
		}
	}
}

// runsToReconcile returns those of the worker's recorded runs that reconcileRun may have to act on.
func (a *agent) runsToReconcile(runs []*runInfo, now time.Time) []*runInfo {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.DeleteFunc(runs, func(r *runInfo) bool {
		od := a.orders[r.key]
		_, reported := a.reportedRuns[r.key]
		answered := od != nil && (!od.startAckedAt.IsZero() || !od.stopSentAt.IsZero() || od.sending)
		refused := od != nil && od.refused && !answered
		return (reported && !refused || answered) && !r.jobFinal && r.barred == "" && !a.stalled(r.key, r.step.EstimateMS)
	})
}

// reconcileRun sends a start to the worker of a recorded run that has not been started,
// or a stop if the run was refused, has stalled, is no longer needed, or is barred and has
// not been started.
func (p *planner) reconcileRun(r *runInfo) {
	a := p.leadership.agent(r.unit.Worker)
	if a == nil || a.workerRecord().Incarnation != r.unit.Incarnation {
		return
	}
	if r.jobFinal {
		a.stop(r.key)
		return
	}
	if r.barred != "" && a.notStarted(r.key) {
		r.fenced = true
		a.fenceBarred(r.key, r.barred)
		return
	}
	if a.needsStart(r.key) {
		a.start(r.key, r.step.Need, r.payload, r.checkpoint)
	}
	if a.needsFence(r.key) {
		a.stop(r.key)
	}
	if a.isStalled(r.key, r.step.EstimateMS, p.leadership.cfg.Now()) {
		a.stopStalled(r.key)
	}
}

// stopStalled stops a stalled run, so that its unit can start on another worker.
func (a *agent) stopStalled(k runKey) {
	if stopping, _ := a.estimateRemaining(k, a.leadership.cfg.Now()); stopping {
		return
	}
	a.log.Info("run stalled; stopped", "job", k.unit.Job, "unit", k.unit, "run", k.run)
	telemetry.Count("teaselpaddle_runs_stalled_total")
	a.stop(k)
}

// needsStart reports whether a start must be sent for a recorded run: this leader has
// not started it and the worker does not report it.
func (a *agent) needsStart(k runKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.synced || a.superseded {
		return false
	}
	if _, reported := a.reportedRuns[k]; reported {
		return false
	}
	od := a.orders[k]
	return od == nil || od.startAckedAt.IsZero() && od.stopSentAt.IsZero() && !od.sending && !od.refused
}

// needsFence reports whether a start was refused and a stop must be sent to fence off
// earlier start messages. A leader that was replaced must not stop what its successor runs.
func (a *agent) needsFence(k runKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	od := a.orders[k]
	return od != nil && od.refused && !od.staleEpoch && od.startAckedAt.IsZero() && od.stopSentAt.IsZero()
}
