package control

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// preempt starts the preemption of a running attempt.
func (c *Controller) preempt(p *sched.Preemption) {
	a := c.attempt(p.ID)
	if a == nil || a.preempted.Load() {
		return
	}
	c.Log.Info("job preempted", "job", p.ID, "customer", a.spec.Customer, "zone", c.Zone, "for", p.For)
	a.preempt(p.For, p.Bound)
}

// applyAction throttles, checkpoints or stops an attempt that exceeds its
// declared time or memory.
func (c *Controller) applyAction(p *sched.Action) {
	a := c.attempt(p.ID)
	if a == nil || a.stopping.Load() {
		return
	}
	c.Log.Info("job exceeds its declared time or memory", "job", p.ID, "customer", a.spec.Customer, "zone", c.Zone,
		"action", p.Kind, "reason", p.Reason)
	telemetry.CountRefusal(p.Reason)
	switch p.Kind {
	case sched.Throttle:
		if a.throttled.CompareAndSwap(false, true) {
			go a.sendToAllTasks(workerapi.Throttle)
		}
	case sched.Checkpoint:
		if a.checkpointed.CompareAndSwap(false, true) {
			go a.sendToAllTasks(workerapi.Checkpoint)
		}
	case sched.Stop:
		reason := p.Reason
		a.overuse.CompareAndSwap(nil, &reason)
		a.wakeWatch()
	}
}

// sendToAllTasks sends a command to every task. It is not repeated if it has no
// effect: a later decision then takes the next stronger action.
func (a *attempt) sendToAllTasks(op workerapi.Operation) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	a.forEachTask(ctx, func(ctx context.Context, t *task) bool {
		a.sendUntilAnswered(ctx, t, op, reserveTimeout)
		return true
	})
}

// preempt makes watch end the attempt in favour of another job. The tasks get
// the time checkpointBound to write a checkpoint.
func (a *attempt) preempt(other model.JobID, checkpointBound time.Duration) {
	a.stoppingFor.Store(&other)
	a.checkpointBound.Store(int64(checkpointBound))
	a.preempted.Store(true)
	a.wakeWatch()
}

// wakeWatch makes watch check the attempt again immediately.
func (a *attempt) wakeWatch() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// overuseReason returns the limit that the attempt exceeded if it is being
// stopped for that, and "" otherwise.
func (a *attempt) overuseReason() model.Reason {
	if r := a.overuse.Load(); r != nil {
		return *r
	}
	return ""
}

// reportShortfalls publishes and logs the guaranteed shapes for which too few
// healthy workers remain, whenever their number changes.
func (c *Controller) reportShortfalls(list []sched.Shortfall) {
	missing := 0
	for i := range list {
		missing += list[i].Missing
	}
	if missing == c.missingShapes {
		return
	}
	c.missingShapes = missing
	metrics.GetOrCreateGauge(`teaselpaddle_guaranteed_shapes_missing`, nil).Set(float64(missing))
	for i := range list {
		s := &list[i]
		c.Log.Info("guarantee has too few healthy workers", "zone", c.Zone, "customer", s.Customer,
			"accelerators", s.Shape.Accelerators, "missing", s.Missing)
	}
}
