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

// maxHoldBackTime bounds the time for which a failure is held back. Meanwhile the worker's later ends
// are committed but not acknowledged, and a worker lists 500 ends at most. After it, the run ends
// without being counted: a further attempt does less harm than a job that fails without cause.
const maxHoldBackTime = time.Minute

// isHeldBack reports whether the failure of a run on this worker is held back. Such a run has
// ended, although it is recorded as active. The caller holds mu.
func (a *agent) isHeldBack(k runKey) bool {
	_, ok := a.heldFailures[k]
	return ok
}

// awaitsQueue reports the same for callers that do not hold mu.
func (a *agent) awaitsQueue(k runKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isHeldBack(k)
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
	since := a.heldFailures
	a.heldFailures = nil
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
		if now.Sub(at) >= maxHoldBackTime || r.MoreEnds {
			telemetry.Count("teaselpaddle_failures_not_counted_total")
			a.log.Info("failure is not counted: its queue is still not configured", "job", e.Unit.Job, "unit", e.Unit, "run", e.Run)
			e.How = batch.EndLost
			ends = append(ends, e)
			continue
		}
		if a.heldFailures == nil {
			a.heldFailures = map[runKey]time.Time{}
		}
		a.heldFailures[k] = at
		r.lastEnd = min(r.lastEnd, number-1)
	}
	r.ends = ends
	return len(a.heldFailures) > 0
}
