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

// processReport commits the ends in a report and updates the worker's state. sent is
// when the hold was sent; ackedEnd is the number of the last end that the hold
// acknowledged. It returns false if the hold should not be repeated at once.
func (a *agent) processReport(rep *workerapi.UnitReport, sent time.Time, ackedEnd int64) bool {
	active, anyIncarnation := a.recordedRuns()
	late := a.lateCompletions(rep, anyIncarnation)
	now := a.leadership.cfg.Now()
	a.mu.Lock()
	if rep.Incarnation != 0 && rep.Incarnation != a.worker.Incarnation {
		a.mu.Unlock()
		a.supersede(rep.Incarnation)
		return false
	}
	silence := a.silenceBefore(now)
	a.recordAnswer(now)
	if sent.After(a.mayHaveRestartedAt) {
		a.mayHaveRestartedAt = time.Time{}
	}
	a.workerClockMS = rep.ClockMS
	a.clockReadAt = now
	a.leadership.cfg.Heartbeats.RecordAnswer(a.worker.ID, a.worker.Incarnation, rep.ClockMS, now)
	firstReport := !a.synced
	listed := map[runKey]bool{}
	reported := map[runKey]workerapi.UnitRun{}
	for _, r := range rep.Runs {
		reported[runKey{r.Unit, r.Run}] = r
		listed[runKey{r.Unit, r.Run}] = true
	}
	ends, lastEnd := recordedEnds(rep, anyIncarnation, listed)
	for k := range active {
		if listed[k] || rep.MoreEnds || !a.isCertainlyAbsent(k, sent) {
			continue
		}
		ends = append(ends, batch.End{Unit: k.unit, Run: k.run, How: batch.EndLost, Checkpoint: a.reportedRuns[k].Checkpoint})
	}
	a.updateProgress(reported, now, silence)
	a.recordOutcomes(ends, now)
	for i := range ends {
		k := runKey{ends[i].Unit, ends[i].Run}
		if _, seen := a.endFirstReported[k]; !seen {
			a.endFirstReported[k] = now
		}
	}
	a.mu.Unlock()
	a.observeRates(rep, sent, now)

	if !a.leadership.commitEnds(a.workerRecord().ID, ends) {
		return false
	}
	lateCommitted := a.commitLateCompletions(late)
	if !lateCommitted {
		lastEnd = min(lastEnd, late[0].Number-1)
	}
	committed := a.leadership.cfg.Now()
	a.mu.Lock()
	for i := range ends {
		endCommitTime.Update(committed.Sub(a.endFirstReported[runKey{ends[i].Unit, ends[i].Run}]).Seconds())
	}
	clear(a.endFirstReported)
	a.lastCommittedEnd = max(a.lastCommittedEnd, lastEnd)
	a.lastAckedEnd = max(a.lastAckedEnd, ackedEnd)
	a.lateCompletionsOpen = !lateCommitted
	a.reportedRuns = reported
	a.reportSentAt = sent
	a.moreEnds = rep.MoreEnds
	if rep.MoreEnds {
		telemetry.Count("teaselpaddle_partial_reports_total")
	}
	a.synced = a.synced || !rep.MoreEnds
	capacityFreed := false
	for _, e := range rep.Ends {
		if od := a.orders[runKey{e.Unit, e.Run}]; od != nil && !od.finished {
			od.finished, capacityFreed = true, true
		}
	}
	for k, od := range a.orders {
		if !od.finished && !listed[k] && !rep.MoreEnds && a.isCertainlyAbsent(k, sent) {
			od.finished, capacityFreed = true, true
		}
	}
	var toFence []runKey
	for k, od := range a.orders {
		switch {
		case active[k] || listed[k]:
		case od.isSettled(now):
			delete(a.orders, k)
		case !od.startSentAt.IsZero() && !od.finished && !od.sending && !rep.MoreEnds:
			toFence = append(toFence, k) // its start may still be carried out
		}
	}
	for _, e := range ends {
		delete(a.progress, runKey{e.Unit, e.Run})
	}
	a.mu.Unlock()
	for _, k := range toFence {
		a.stop(k)
	}
	a.stopUnrecorded(reported, active)
	if firstReport || capacityFreed || len(ends) > 0 || len(late) > 0 {
		a.leadership.Wake()
	}
	return lateCommitted // what is not acknowledged makes the next hold return at once
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

// stopUnrecorded stops the reported runs that the group has not recorded. active holds
// the runs that were recorded when the report arrived; those that were recorded since
// then are not stopped either.
func (a *agent) stopUnrecorded(reported map[runKey]workerapi.UnitRun, active map[runKey]bool) {
	current := a.activeRuns()
	for k := range reported {
		if !active[k] && !current[k] {
			a.stop(k)
		}
	}
}
