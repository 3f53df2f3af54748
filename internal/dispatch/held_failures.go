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
// configured again. A failure that the queue allows, under another address, is committed as a lost
// run (uncounted.go).

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

// unappliedFailure is a failure in a report that must not be committed as one.
type unappliedFailure struct {
	number int64 // of the end
	effect batch.FailureEffect
	owner  batch.UnitRef // unit that the failure counts for
}

// unappliedFailures returns the failures in a report that must not be committed as such.
func (a *agent) unappliedFailures(rep *workerapi.UnitReport) map[runKey]unappliedFailure {
	if !listsFailures(rep) {
		return nil
	}
	var out map[runKey]unappliedFailure
	a.leadership.cfg.Machine.View(func(v *batch.View) {
		for _, e := range rep.Ends {
			if e.How != batch.EndFailed {
				continue
			}
			owner := v.AttemptsOwner(e.Unit)
			effect := v.EffectOfFailure(e.Unit, e.Run, a.leadership.uncounted.before(owner, e.Run))
			if effect == batch.FailureApplies {
				continue
			}
			if out == nil {
				out = map[runKey]unappliedFailure{}
			}
			out[runKey{e.Unit, e.Run}] = unappliedFailure{e.Number, effect, owner}
		}
	})
	return out
}

// replaceUnapplied takes the undecided failures out of the ends to commit, and the numbers from the
// first of them on out of those to acknowledge. Failures that would conclude their job early become
// lost runs. It reports whether any failure is held back. The caller holds mu.
func (a *agent) replaceUnapplied(r *receivedReport, unapplied map[runKey]unappliedFailure, now time.Time) bool {
	since := a.heldFailures
	a.heldFailures = nil
	ends := r.ends[:0]
	for _, e := range r.ends {
		k := runKey{e.Unit, e.Run}
		f, found := unapplied[k]
		switch {
		case !found || e.How != batch.EndFailed:
			ends = append(ends, e)
		case f.effect == batch.FailureConcludesEarly:
			ends = append(ends, a.uncount(e, f.owner, now))
		default:
			if at, held := a.holdBack(k, since, r.MoreEnds, now); held {
				a.heldFailures[k] = at
				r.lastEnd = min(r.lastEnd, f.number-1)
				continue
			}
			e.How = batch.EndLost
			ends = append(ends, e)
		}
	}
	r.ends = ends
	return len(a.heldFailures) > 0
}

// holdBack reports whether an undecided failure is held back, and since when. since has the failures
// that already were. The caller holds mu.
func (a *agent) holdBack(k runKey, since map[runKey]time.Time, moreEnds bool, now time.Time) (time.Time, bool) {
	at, known := since[k]
	if !known {
		at = now
		telemetry.Count("teaselpaddle_failures_held_back_total")
		a.log.Info("failure held back: the queue that sets the number of attempts is not configured", "job", k.unit.Job, "unit", k.unit, "run", k.run)
	}
	if now.Sub(at) >= maxHoldBackTime || moreEnds {
		telemetry.Count("teaselpaddle_failures_not_counted_total")
		a.log.Info("failure is not counted: its queue is still not configured", "job", k.unit.Job, "unit", k.unit, "run", k.run)
		return at, false
	}
	if a.heldFailures == nil {
		a.heldFailures = map[runKey]time.Time{}
	}
	return at, true
}
