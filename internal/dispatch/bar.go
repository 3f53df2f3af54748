package dispatch

import (
	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// A run is barred if it must not be started although it is recorded: an operator has cordoned
// its availability zone to empty it, its worker has shrunk and has no room for it, or the attempts of
// its unit are used up. What runs there continues. A barred run that was not started is fenced by a
// stop, after which its unit waits for room elsewhere. A leader that was replaced cannot start anything that it decided
// before: it sends a start only after its commit, which fails under an old epoch, and none
// once its leadership has been unconfirmed for maxUnconfirmed; workers that have seen the new
// epoch refuse it.
const (
	barCordoned = "cordoned"
	barNoRoom   = "no_room"
	barAttempts = "attempts_used_up"
)

// mayStart reports whether a run is still recorded for the worker, its job not final, and the run not barred. A plan may
// be older than the commit of the run's end, and a start that went unanswered may have been
// carried out; the worker need not refuse a start of a run whose end was acknowledged. The
// caller must not hold mu: the state machine may be locked by a reader that waits for it.
func (a *agent) mayStart(k runKey) bool {
	w := a.workerRecord()
	ok := false
	ended := func(ref batch.UnitRef, run int) bool { return a.awaitsQueue(runKey{ref, run}) }
	a.leadership.cfg.Machine.View(func(v *batch.View) {
		u := v.ActiveUnit(k.unit, k.run)
		if u == nil || u.Worker != w.ID || u.Incarnation != w.Incarnation {
			return
		}
		j := v.LiveJobs()[k.unit.Job]
		g := j.UnitGroup(k.unit.Occurrence, k.unit.Step)
		ok = !j.State.Final() && !v.AttemptsUsedUp(j, g, u) && !v.Cordoned(w.Zone) && !v.Overfull(w.ID, ended)
	})
	return ok
}

// notStarted reports whether neither an answer nor a report shows that the worker has
// begun a recorded run, and no stop was sent for it. Before the worker's first report to
// this leader that is not known of runs that an earlier leader recorded.
func (a *agent) notStarted(k runKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, reported := a.reportedRuns[k]; reported || a.superseded {
		return false
	}
	od := a.orders[k]
	if od == nil {
		return a.synced
	}
	return od.startAckedAt.IsZero() && od.stopSentAt.IsZero()
}

// fenceBarred stops a run that has not been started and must not be.
func (a *agent) fenceBarred(k runKey, reason string) {
	a.log.Info("run fenced before it started", "job", k.unit.Job, "unit", k.unit, "run", k.run, "reason", reason)
	telemetry.CountBy("teaselpaddle_barred_runs_total", "reason", reason)
	a.stop(k)
}
