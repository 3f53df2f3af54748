package dispatch

import (
	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// An operator cordons an availability zone to empty it: what runs there continues, and
// nothing more is started. A run that was recorded but not started when the zone was
// cordoned is fenced by a stop, after which its unit waits for room elsewhere. A leader that
// was replaced cannot start anything that it decided before the cordon: it sends a start
// only after its commit, which fails under an old epoch, and none once its leadership has
// been unconfirmed for maxUnconfirmed; workers that have seen the new epoch refuse it.

// mayStart reports whether a run is still recorded for the worker and its zone is not
// cordoned. A plan may be older than the commit of the run's end, and a start that went
// unanswered may have been carried out; the worker need not refuse a start of a run whose
// end was acknowledged. The caller must not hold mu: the state machine may be locked by a
// reader that waits for it.
func (a *agent) mayStart(k runKey) bool {
	w := a.workerRecord()
	ok := false
	a.leadership.cfg.Machine.View(func(v *batch.View) {
		u := v.ActiveUnit(k.unit, k.run)
		ok = u != nil && u.Worker == w.ID && u.Incarnation == w.Incarnation && !v.Cordoned(w.Zone)
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

// fenceCordoned stops a run that has not been started in a cordoned zone.
func (a *agent) fenceCordoned(k runKey) {
	a.log.Info("run fenced because its zone is cordoned", "job", k.unit.Job, "unit", k.unit, "run", k.run)
	telemetry.Count("teaselpaddle_cordon_fences_total")
	a.stop(k)
}
