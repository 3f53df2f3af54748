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

// preempt takes a running attempt off its workers.
func (c *Controller) preempt(p *sched.Preemption) {
	a := c.attempt(p.ID)
	if a == nil || a.preempted.Load() {
		return
	}
	c.Log.Info("job preempted", "job", p.ID, "customer", a.spec.Customer, "zone", c.Zone, "for", p.For)
	a.preempt(p.For, p.Bound)
}

// act throttles, checkpoints or stops an attempt that uses more than it
// declared.
func (c *Controller) act(p *sched.Action) {
	a := c.attempt(p.ID)
	if a == nil || a.stopping.Load() {
		return
	}
	c.Log.Info("job over its declaration", "job", p.ID, "customer", a.spec.Customer, "zone", c.Zone,
		"action", p.Kind, "reason", p.Reason)
	telemetry.Refused(p.Reason)
	switch p.Kind {
	case sched.Throttle:
		if a.throttled.CompareAndSwap(false, true) {
			go a.tell(workerapi.Throttle)
		}
	case sched.Checkpoint:
		if a.checkpointed.CompareAndSwap(false, true) {
			go a.tell(workerapi.Checkpoint)
		}
	case sched.Stop:
		reason := p.Reason
		a.overuse.CompareAndSwap(nil, &reason)
		a.wakeUp()
	}
}

// tell sends a command to all tasks once; the decision is made again if it did
// not help.
func (a *attempt) tell(op workerapi.Operation) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	a.each(ctx, func(ctx context.Context, t *task) bool {
		a.until(ctx, t, op, reserveTimeout)
		return true
	})
}

// preempt makes watch end the attempt for another job; the tasks have bound to
// checkpoint.
func (a *attempt) preempt(other model.JobID, bound time.Duration) {
	a.stoppingFor.Store(&other)
	a.bound.Store(int64(bound))
	a.preempted.Store(true)
	a.wakeUp()
}

// wakeUp makes watch look again at once.
func (a *attempt) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// overusedReason returns why the attempt is stopped for good, or "".
func (a *attempt) overusedReason() model.Reason {
	if r := a.overuse.Load(); r != nil {
		return *r
	}
	return ""
}

// reportShortfalls says which guarantees have too few healthy workers left.
func (c *Controller) reportShortfalls(list []sched.Shortfall) {
	missing := 0
	for i := range list {
		missing += list[i].Missing
	}
	if missing == c.short {
		return
	}
	c.short = missing
	metrics.GetOrCreateGauge(`teaselpaddle_guaranteed_shapes_missing`, nil).Set(float64(missing))
	for i := range list {
		s := &list[i]
		c.Log.Info("guarantee has too few healthy workers", "zone", c.Zone, "customer", s.Customer,
			"accelerators", s.Shape.Accelerators, "missing", s.Missing)
	}
}
