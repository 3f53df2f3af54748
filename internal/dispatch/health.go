package dispatch

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// sickPause is how long a worker that says it is unhealthy gets no new runs.
const sickPause = 2 * time.Second

// progress is how far a run was when it last moved.
type progress struct {
	percent int
	movedAt time.Time
	began   time.Time
}

// observe notes the progress of the reported runs. The caller holds mu.
func (a *agent) observe(reported map[runKey]workerapi.UnitRun, now time.Time) {
	for k, r := range reported {
		p := a.pace[k]
		if p == nil {
			a.pace[k] = &progress{percent: r.Percent, movedAt: now, began: now}
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
