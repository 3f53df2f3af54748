package dispatch

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// sickPause is how long a worker that says it is unhealthy gets no new runs.
const sickPause = 2 * time.Second

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
