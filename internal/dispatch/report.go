package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// endCommitTime measures the time from the first report of an end to its commit.
var endCommitTime = metrics.GetOrCreateHistogram("teaselpaddle_end_noted_seconds")

// receivedReport is a report with what was found in it.
type receivedReport struct {
	*workerapi.UnitReport
	sent     time.Time // when the hold was sent
	ackedEnd int64     // number of the last end that the hold acknowledged
	active   map[runKey]bool
	reported map[runKey]workerapi.UnitRun
	listed   map[runKey]bool // runs in progress and ended ones
	ends     []batch.End     // to commit
	lastEnd  int64
	first    bool // of this agent
	heldBack bool // it lists failures that are held back
}

// processReport commits the ends in a report and updates the worker's state. sent is
// when the hold was sent; ackedEnd is the number of the last end that the hold
// acknowledged. It returns false if the hold should not be repeated at once.
func (a *agent) processReport(rep *workerapi.UnitReport, sent time.Time, ackedEnd int64) bool {
	if listsFailures(rep) { // their limit must not change between its check and the commit
		a.leadership.cfg.ConfigChange.RLock()
		defer a.leadership.cfg.ConfigChange.RUnlock()
	}
	active, anyIncarnation := a.recordedRuns()
	late := a.lateCompletions(rep, anyIncarnation)
	unapplied := a.unappliedFailures(rep)
	now := a.leadership.cfg.Now()
	r := &receivedReport{UnitReport: rep, sent: sent, ackedEnd: ackedEnd, active: active}
	if !a.takeReport(r, anyIncarnation, unapplied, now) {
		a.supersede(rep.Incarnation)
		return false
	}
	a.observeRates(rep, sent, now)

	if !a.leadership.commitEnds(a.workerRecord().ID, r.ends) {
		return false
	}
	lateCommitted := a.commitLateCompletions(late)
	if !lateCommitted {
		r.lastEnd = min(r.lastEnd, late[0].Number-1)
	}
	capacityFreed, toFence := a.finishReport(r, lateCommitted, now)
	a.stopUnrecorded(r.reported, toFence, active)
	if r.first || capacityFreed || len(r.ends) > 0 || len(late) > 0 {
		a.leadership.Wake()
	}
	return lateCommitted && !r.heldBack // what is not acknowledged makes the next hold return at once
}

// takeReport records the answer and the progress of the runs, and sets the ends to commit, with the
// unapplied failures replaced. It returns false if another incarnation has answered.
func (a *agent) takeReport(r *receivedReport, anyIncarnation map[runKey]bool, unapplied map[runKey]unappliedFailure, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Incarnation != 0 && r.Incarnation != a.worker.Incarnation {
		return false
	}
	silence := a.silenceBefore(now)
	a.recordAnswer(now)
	if r.sent.After(a.mayHaveRestartedAt) {
		a.mayHaveRestartedAt = time.Time{}
	}
	a.workerClockMS = r.ClockMS
	a.clockReadAt = now
	a.leadership.cfg.Heartbeats.RecordAnswer(a.worker.ID, a.worker.Incarnation, r.ClockMS, now)
	r.first = !a.synced
	r.listed, r.reported = map[runKey]bool{}, map[runKey]workerapi.UnitRun{}
	for _, run := range r.Runs {
		k := runKey{run.Unit, run.Run}
		r.reported[k], r.listed[k] = run, true
	}
	r.ends, r.lastEnd = recordedEnds(r.UnitReport, anyIncarnation, r.listed)
	r.heldBack = a.replaceUnapplied(r, unapplied, now)
	for k := range r.active {
		if r.listed[k] || r.MoreEnds || !a.isCertainlyAbsent(k, r.sent) {
			continue
		}
		r.ends = append(r.ends, batch.End{Unit: k.unit, Run: k.run, How: batch.EndLost, Checkpoint: a.reportedRuns[k].Checkpoint})
	}
	a.updateProgress(r.reported, now, silence)
	a.recordOutcomes(r.ends, now)
	for i := range r.ends {
		k := runKey{r.ends[i].Unit, r.ends[i].Run}
		if _, seen := a.endFirstReported[k]; !seen {
			a.endFirstReported[k] = now
		}
	}
	return true
}

// finishReport updates the state of the agent and its orders once the ends are committed. It reports
// whether orders have finished, and returns the runs that may still begin and must not.
func (a *agent) finishReport(r *receivedReport, lateCommitted bool, now time.Time) (capacityFreed bool, toFence []runKey) {
	committed := a.leadership.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range r.ends {
		endCommitTime.Update(committed.Sub(a.endFirstReported[runKey{r.ends[i].Unit, r.ends[i].Run}]).Seconds())
	}
	clear(a.endFirstReported)
	a.lastCommittedEnd = max(a.lastCommittedEnd, r.lastEnd)
	a.lastAckedEnd = max(a.lastAckedEnd, r.ackedEnd)
	a.lateCompletionsOpen = !lateCommitted
	a.reportedRuns = r.reported
	a.reportSentAt = r.sent
	a.moreEnds = r.MoreEnds
	if r.MoreEnds {
		telemetry.Count("teaselpaddle_partial_reports_total")
	}
	a.synced = a.synced || !r.MoreEnds
	for _, e := range r.Ends {
		if od := a.orders[runKey{e.Unit, e.Run}]; od != nil && !od.finished {
			od.finished, capacityFreed = true, true
		}
	}
	for k, od := range a.orders {
		if !od.finished && !r.listed[k] && !r.MoreEnds && a.isCertainlyAbsent(k, r.sent) {
			od.finished, capacityFreed = true, true
		}
	}
	for k, od := range a.orders {
		switch {
		case r.active[k] || r.listed[k]:
		case od.isSettled(now):
			delete(a.orders, k)
		case !od.startSentAt.IsZero() && !od.finished && !od.sending && !r.MoreEnds:
			toFence = append(toFence, k) // its start may still be carried out
		}
	}
	for _, e := range r.ends {
		delete(a.progress, runKey{e.Unit, e.Run})
	}
	return capacityFreed, toFence
}

// supersede stops the calls to the worker, because another incarnation answers under its id.
func (a *agent) supersede(reported int64) {
	a.mu.Lock()
	a.superseded = true
	a.mu.Unlock()
	a.log.Info("worker lives another life", "reported", reported)
	a.leadership.Wake()
}

// recordedEnds returns the ends of recorded runs in a report and the highest end
// number in it. It adds the runs of all ends to listed. An end also counts if the report
// lists the run as in progress: it is acknowledged with the others, and would be lost.
func recordedEnds(rep *workerapi.UnitReport, recorded, listed map[runKey]bool) ([]batch.End, int64) {
	var ends []batch.End
	lastEnd := int64(0)
	ended := map[runKey]bool{}
	for _, e := range rep.Ends {
		lastEnd = max(lastEnd, e.Number)
		k := runKey{e.Unit, e.Run}
		if recorded[k] && !ended[k] {
			ends = append(ends, batch.End{Unit: e.Unit, Run: e.Run, How: e.How, Checkpoint: e.Checkpoint})
		}
		listed[k], ended[k] = true, true
	}
	return ends, lastEnd
}

// isCertainlyAbsent reports whether a run that is missing from a report of all ends is certainly
// not on the worker and never will be. sent is when the hold was sent. The caller holds
// mu.
func (a *agent) isCertainlyAbsent(k runKey, sent time.Time) bool {
	od := a.orders[k]
	if od == nil {
		return false // nothing was sent yet; reconcileRun sends the start
	}
	if !od.stopAckedAt.IsZero() && od.stopAckedAt.Before(sent) {
		return true // fenced by the stop
	}
	if !od.startAckedAt.IsZero() && od.startAckedAt.Before(sent) {
		return true // the worker had begun it and refuses late starts of it
	}
	return od.refused && od.startUnansweredAt.IsZero()
}

// isSettled reports whether the order can have no further effect on the worker.
func (od *order) isSettled(now time.Time) bool {
	return !od.sending && (od.startSentAt.IsZero() || od.finished) && (od.startUnansweredAt.IsZero() || now.Sub(od.startUnansweredAt) > maxOrderDelay || !od.stopAckedAt.IsZero())
}

// stopUnrecorded stops the reported runs that the group has not recorded, and those whose start may
// still be carried out. active holds the runs that were recorded when the report arrived; those that
// were recorded since then are not stopped either.
func (a *agent) stopUnrecorded(reported map[runKey]workerapi.UnitRun, mayBegin []runKey, active map[runKey]bool) {
	current := a.activeRuns()
	for k := range reported {
		if !active[k] && !current[k] {
			a.stop(k)
		}
	}
	for _, k := range mayBegin {
		if !current[k] {
			a.stop(k)
		}
	}
}
