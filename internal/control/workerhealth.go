package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/health"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// suspensionPeriod is the interval at which the suspensions on the blackboard
// are updated.
const suspensionPeriod = time.Second

// workerHealth feeds a health.Tracker with the changes of job records. It
// exists on every replica for the daemon's whole run time, so a new leader
// knows which workers are unhealthy. The zero value is ready for use.
type workerHealth struct {
	mu      sync.Mutex // guards tracker
	tracker health.Tracker
}

// observe is a jobs.Hook that records on which workers jobs failed and
// succeeded.
func (w *workerHealth) observe(old, j *model.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range j.FailedOn {
		if old == nil || !slices.Contains(old.FailedOn, name) {
			w.tracker.RecordFailure(j.ID, name, time.Now())
		}
	}
	if !j.State.Final() {
		return
	}
	for i := range j.Results {
		if j.Results[i].OK {
			w.tracker.RecordSuccess(j.Results[i].Worker)
		}
	}
	if j.Reason == model.ReasonTooManyFails {
		w.tracker.ClearJobFailures(j.ID)
	}
}

func (w *workerHealth) suspended(name string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Suspended(name, now)
}

// applySuspensions periodically copies the tracker's suspensions to the
// blackboard.
func (c *Controller) applySuspensions(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		for _, e := range c.Board.List() {
			name := e.Worker.Name
			s := c.health.suspended(name, now)
			if s == e.Health.Suspended {
				continue
			}
			c.Log.Info("worker suspension changed", "worker", name, "zone", c.Zone, "suspended", s)
			c.Board.Update(name, func(h *model.WorkerHealth) { h.Suspended = s })
		}
		sleep(ctx, suspensionPeriod)
	}
}
