package dispatch

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Limits by which bad workers are told from bad jobs. A few in a hundred runs
// fail on sound workers, so one failure alone makes a worker the last choice,
// and failures of two different jobs in a row take it out of use.
const (
	// suspension is how long a worker gets no new runs at first; it doubles up to
	// maxSuspension each time the worker fails again at once.
	suspension    = 2 * time.Second
	maxSuspension = 10 * time.Second
	// suspectPause is how long a worker is the last choice.
	suspectPause = 4 * time.Second
	suspectJobs  = 2
)

// Limits by which a run that stands still is told from a slow one. A worker
// several times too slow, away from the data, still moves on by a percent within
// stallPercents of the estimated time.
const (
	stallPercents = 24
	minStall      = 2 * time.Second
	maxStall      = 4 * time.Second
)

// record is how the last runs on a worker ended.
type record struct {
	failed       map[string]bool // jobs that failed since the last success
	suspensions  int
	suspectUntil time.Time
}

// judgeEnds notes how runs on the worker ended. The caller holds mu.
func (a *agent) judgeEnds(ends []batch.End, now time.Time) {
	for i := range ends {
		switch ends[i].How {
		case batch.EndDone:
			a.past = record{}
		case batch.EndFailed:
			a.noteFailed(ends[i].Unit.Job, now)
		}
	}
}

func (a *agent) noteFailed(job string, now time.Time) {
	if a.past.failed == nil {
		a.past.failed = map[string]bool{}
	}
	a.past.failed[job] = true
	a.past.suspectUntil = now.Add(suspectPause)
	if len(a.past.failed) < suspectJobs {
		return
	}
	pause := min(suspension<<a.past.suspensions, maxSuspension)
	a.past.suspensions = min(a.past.suspensions+1, 3)
	a.past.failed = nil
	a.suspendedUntil = now.Add(pause)
	telemetry.Count("teaselpaddle_workers_suspended_total")
	a.log.Info("worker fails different jobs; it gets no runs for a while", "pause", pause.String(), "suspensions", a.past.suspensions)
}

// stalled reports whether a run has made no progress for long, by a report
// that is new enough to tell.
func (a *agent) stalled(k runKey, estimateMS int64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pace[k]
	if p == nil || p.percent >= 100 {
		return false
	}
	limit := time.Duration(estimateMS) * time.Millisecond * stallPercents / 100
	limit = min(max(limit, minStall), maxStall)
	if a.reportAt.Sub(p.movedAt) < limit {
		return false
	}
	a.past.suspectUntil = now.Add(suspectPause)
	return true
}

// progress is how far a run was when it last moved.
type progress struct {
	first   int // percent when it was first reported, at began
	began   time.Time
	percent int
	movedAt time.Time
}

// observe notes the progress of the reported runs. The caller holds mu.
func (a *agent) observe(reported map[runKey]workerapi.UnitRun, now time.Time) {
	for k, r := range reported {
		p := a.pace[k]
		if p == nil {
			a.pace[k] = &progress{first: r.Percent, began: now, percent: r.Percent, movedAt: now}
			continue
		}
		if r.Percent > p.percent {
			p.percent = r.Percent
			p.movedAt = now
		}
	}
	for k := range a.pace {
		if _, ok := reported[k]; !ok {
			delete(a.pace, k)
		}
	}
}

// outlookPercent is the progress from which a run's pace is projected.
const outlookPercent = 5

// outlook reports whether a run was told to stop, and how long it is expected to
// go on by its pace; 0 if that is not known yet.
func (a *agent) outlook(k runKey, now time.Time) (stopping bool, left time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if od := a.orders[k]; od != nil && !od.stopAt.IsZero() {
		stopping = true
	}
	p := a.pace[k]
	if p == nil || p.percent-p.first < outlookPercent {
		return stopping, 0
	}
	perPercent := p.movedAt.Sub(p.began) / time.Duration(p.percent-p.first)
	return stopping, perPercent*time.Duration(100-p.percent) - now.Sub(p.movedAt)
}
