package dispatch

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Limits that distinguish faulty workers from faulty jobs. A few percent of all runs
// fail on healthy workers, so a single failure only makes the worker the last
// choice for placement, and failures of two different jobs in a row suspend it.
const (
	// initialSuspension is the length of a worker's first suspension, during which it
	// gets no new runs. Each further suspension without a success in between is twice
	// as long as the one before, up to maxSuspension.
	initialSuspension = 2 * time.Second
	maxSuspension     = 10 * time.Second
	// suspectTime is how long a worker remains the last choice for placement.
	suspectTime         = 4 * time.Second
	failedJobsToSuspend = 2
)

// Limits that distinguish a stalled run from a slow one. stallTimeoutPercent is a
// percentage of the estimated run time: even a worker that is several times too slow
// and far from the data advances by one percent within that time.
const (
	stallTimeoutPercent = 24
	minStallTimeout     = 2 * time.Second
	maxStallTimeout     = 4 * time.Second
)

// failureHistory holds the recent failures and suspensions of a worker. A successful
// run clears it.
type failureHistory struct {
	failedJobs   map[string]bool // jobs that failed since the last success
	suspensions  int
	suspectUntil time.Time
}

// recordOutcomes updates the worker's failure history with ended runs. The caller
// holds mu.
func (a *agent) recordOutcomes(ends []batch.End, now time.Time) {
	for i := range ends {
		switch ends[i].How {
		case batch.EndDone:
			a.history = failureHistory{}
		case batch.EndFailed:
			a.recordFailure(ends[i].Unit.Job, now)
		}
	}
}

func (a *agent) recordFailure(job string, now time.Time) {
	if a.history.failedJobs == nil {
		a.history.failedJobs = map[string]bool{}
	}
	a.history.failedJobs[job] = true
	a.history.suspectUntil = now.Add(suspectTime)
	if len(a.history.failedJobs) < failedJobsToSuspend {
		return
	}
	pause := min(initialSuspension<<a.history.suspensions, maxSuspension)
	// The count is bounded because of the shift; three doublings exceed maxSuspension.
	a.history.suspensions = min(a.history.suspensions+1, 3)
	a.history.failedJobs = nil
	a.suspendedUntil = now.Add(pause)
	telemetry.Count("teaselpaddle_workers_suspended_total")
	a.log.Info("worker fails different jobs; it gets no runs for a while", "pause", pause.String(), "suspensions", a.history.suspensions)
}

// isStalled reports whether a run has made no progress for longer than its stall
// timeout, as of the last report. If so, the worker becomes suspect.
func (a *agent) isStalled(k runKey, estimateMS int64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stalled(k, estimateMS) {
		return false
	}
	a.history.suspectUntil = now.Add(suspectTime)
	return true
}

// stalled reports the same without an effect. The caller holds mu.
func (a *agent) stalled(k runKey, estimateMS int64) bool {
	p := a.progress[k]
	if p == nil || p.percent >= 100 {
		return false
	}
	limit := time.Duration(estimateMS) * time.Millisecond * stallTimeoutPercent / 100
	limit = min(max(limit, minStallTimeout), maxStallTimeout)
	return a.reportSentAt.Sub(p.advancedAt)-p.silence >= limit
}

// runProgress tracks the progress of a run over several reports.
type runProgress struct {
	firstPercent int // percent in the first report, at firstSeenAt
	firstSeenAt  time.Time
	percent      int
	advancedAt   time.Time
	// silence is the time since advancedAt in which the worker did not answer. It does not
	// count as time without progress, because the worker may have been suspended.
	silence time.Duration
}

// silenceBefore returns the time since the last report if a call has gone unanswered
// since then, else 0. The caller holds mu.
func (a *agent) silenceBefore(now time.Time) time.Duration {
	if a.mayHaveRestartedAt.IsZero() || a.clockReadAt.IsZero() {
		return 0
	}
	return now.Sub(a.clockReadAt)
}

// updateProgress records the progress of the reported runs. silence is the time before
// the report in which the worker did not answer. The caller holds mu.
func (a *agent) updateProgress(reported map[runKey]workerapi.UnitRun, now time.Time, silence time.Duration) {
	for k, r := range reported {
		p := a.progress[k]
		if p == nil {
			a.progress[k] = &runProgress{firstPercent: r.Percent, firstSeenAt: now, percent: r.Percent, advancedAt: now}
			continue
		}
		p.silence += silence
		if r.Percent > p.percent {
			p.percent = r.Percent
			p.advancedAt = now
			p.silence = 0
		}
	}
	for k := range a.progress {
		if _, ok := reported[k]; !ok {
			delete(a.progress, k)
		}
	}
}

// minProjectionPercent is the progress that a run must have made under observation
// before its remaining time is projected.
const minProjectionPercent = 5

// estimateRemaining reports whether a stop was sent for a run, and how long the run
// will take to complete at its observed speed; 0 if that is not known yet.
func (a *agent) estimateRemaining(k runKey, now time.Time) (stopping bool, left time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if od := a.orders[k]; od != nil && !od.stopSentAt.IsZero() {
		stopping = true
	}
	p := a.progress[k]
	if p == nil || p.percent-p.firstPercent < minProjectionPercent {
		return stopping, 0
	}
	perPercent := p.advancedAt.Sub(p.firstSeenAt) / time.Duration(p.percent-p.firstPercent)
	return stopping, perPercent*time.Duration(100-p.percent) - now.Sub(p.advancedAt)
}
