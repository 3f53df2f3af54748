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

// avoidancePeriod is the longest time for which a job waits for other workers than those on
// which it has failed. They may be in use for as long as other jobs run. A worker that fails
// several jobs is suspended by then.
const avoidancePeriod = 30 * time.Second

// workerHealth feeds a health.Tracker with the changes of job records. It
// exists on every replica for the daemon's whole run time, so a new leader
// knows which workers are unhealthy. The zero value is ready for use.
type workerHealth struct {
	mu       sync.Mutex // guards the fields below
	tracker  health.Tracker
	failedAt map[model.JobID]map[string]time.Time // last failure of each unfinished job by worker
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
	w.recordFailures(old, j, time.Now())
	if !j.State.Final() {
		return
	}
	delete(w.failedAt, j.ID)
	for i := range j.Results {
		if j.Results[i].OK {
			w.tracker.RecordSuccess(j.Results[i].Worker)
		}
	}
	if j.Reason == model.ReasonTooManyFails {
		w.tracker.ClearJobFailures(j.ID)
	}
}

// recordFailures records the workers with a failed task in the results of a job that were not in
// its old record. The caller holds mu.
func (w *workerHealth) recordFailures(old, j *model.Job, now time.Time) {
	if j.Attempt == nil {
		return
	}
	known := 0
	if old != nil && old.Attempt != nil && old.Attempt.Fence == j.Attempt.Fence {
		known = len(old.Attempt.Results)
	}
	if len(j.Attempt.Results) == known {
		return
	}
	for i := range j.Attempt.Results {
		r := &j.Attempt.Results[i]
		if r.OK {
			continue
		}
		if w.failedAt == nil {
			w.failedAt = map[model.JobID]map[string]time.Time{}
		}
		if w.failedAt[j.ID] == nil {
			w.failedAt[j.ID] = map[string]time.Time{}
		}
		w.failedAt[j.ID][r.Worker] = now
	}
}

// avoided returns the workers on which a job has failed within avoidancePeriod, in the order
// of its record.
func (w *workerHealth) avoided(j *model.Job, now time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, name := range j.FailedOn {
		if at, known := w.failedAt[j.ID][name]; known && now.Sub(at) < avoidancePeriod {
			out = append(out, name)
		}
	}
	return out
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
