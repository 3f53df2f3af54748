package control

import (
	"context"
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/raft"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Limits of placement.
const (
	// idleDecisionPeriod is the interval between decisions while no job waits;
	// they then only report guarantees that lack healthy workers. A decision
	// takes 2.6 ms for 500 workers, too long to run five times per second
	// without need.
	idleDecisionPeriod = 5 * time.Second
	// maxParallelProposals bounds the proposals of one plan in flight.
	// Sequential proposals would each wait for a log sync of their own.
	maxParallelProposals = 64
)

// place makes one scheduling decision and applies its plan. It returns once
// every command of the plan is committed or has failed, so that the next
// snapshot reflects them.
func (c *Controller) place(ctx context.Context) {
	cfg := c.Machine.Config()
	if cfg == nil {
		return
	}
	now := time.Now()
	active := c.Machine.Active()
	c.concludePastDeadline(ctx, active, now)
	if c.placementOnHold(now) {
		return
	}
	if !anyWaiting(active) && now.Sub(c.lastDecision) < idleDecisionPeriod {
		return
	}
	c.lastDecision = now
	plan := c.Decide(c.snapshot(cfg, now))
	for i := range plan.Preemptions {
		c.preempt(&plan.Preemptions[i])
	}
	c.proposeAll(ctx, planCommands(&plan))
	for i := range plan.Starts {
		c.logPlacement(&plan.Starts[i])
	}
	for i := range plan.Rejections {
		r := &plan.Rejections[i]
		c.Log.Info("job concluded", "job", r.ID, "zone", c.Zone, "reason", r.Reason)
		telemetry.CountRefusal(r.Reason)
	}
	for i := range plan.Actions {
		c.applyAction(&plan.Actions[i])
	}
	c.reportShortfalls(plan.Shortfalls)
}

// recoveryHold bounds the wait for a configuration voter after a recovery
// election; a zone that is cut off from all voters then proceeds with its own
// configuration.
const recoveryHold = 5 * time.Second

// holdAfterRecovery delays placement if this leader won a recovery election. A
// configuration that was adopted while the voters with a disk were down may
// have been lost, and the zone must not place jobs by the previous one.
func (c *Controller) holdAfterRecovery(term uint64) {
	c.holdSince = time.Time{}
	if c.ConfigConfirmed != nil && raft.IsRecoveryTerm(term) {
		c.holdSince = time.Now()
	}
}

// placementOnHold reports whether placement waits for a configuration voter to
// confirm the configuration.
func (c *Controller) placementOnHold(now time.Time) bool {
	if c.holdSince.IsZero() {
		return false
	}
	if now.Sub(c.holdSince) < recoveryHold && !c.ConfigConfirmed().After(c.holdSince) {
		return true
	}
	c.holdSince = time.Time{}
	return false
}

// logPlacement logs a placement, unless the job has been cancelled in the
// meantime.
func (c *Controller) logPlacement(s *sched.Start) {
	j := c.Machine.Get(s.ID)
	if j == nil || j.Attempt == nil {
		return
	}
	reason := "fair_share"
	if !s.Borrowed {
		reason = "guarantee"
	}
	c.Log.Info("job placed", "job", s.ID, "customer", j.Spec.Customer, "zone", c.Zone, "reason", reason,
		"attempt", j.Attempts, "tasks", len(s.Placement))
}

func anyWaiting(active []*model.Job) bool {
	for _, j := range active {
		if j.Attempt == nil {
			return true
		}
	}
	return false
}

// planCommands returns the commands that apply a plan. Each is for a different
// job, so their order does not matter.
func planCommands(plan *sched.Plan) []*jobs.Command {
	var out []*jobs.Command
	for i := range plan.Rejections {
		r := &plan.Rejections[i]
		out = append(out, &jobs.Command{Kind: jobs.KindConclude, ID: r.ID, Reason: r.Reason})
	}
	for i := range plan.Starts {
		s := &plan.Starts[i]
		out = append(out, &jobs.Command{
			Kind: jobs.KindRecordIntent, ID: s.ID,
			Intent: &jobs.Intent{Placement: s.Placement, Borrowed: s.Borrowed, Claim: s.Claim},
		})
	}
	return out
}

// proposeAll proposes commands concurrently, so that many of them share one
// sync of the log.
func (c *Controller) proposeAll(ctx context.Context, list []*jobs.Command) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelProposals)
	for _, cmd := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			c.propose(ctx, cmd)
		})
	}
	wg.Wait()
}

// concludePastDeadline concludes queued jobs whose deadline has passed.
func (c *Controller) concludePastDeadline(ctx context.Context, active []*model.Job, now time.Time) {
	var list []*jobs.Command
	for _, j := range active {
		if j.State == model.Queued && !j.Spec.Deadline.IsZero() && now.After(j.Spec.Deadline) {
			c.Log.Info("job concluded", "job", j.ID, "customer", j.Spec.Customer, "reason", model.ReasonDeadlinePassed)
			telemetry.CountRefusal(model.ReasonDeadlinePassed)
			list = append(list, &jobs.Command{Kind: jobs.KindConclude, ID: j.ID, Reason: model.ReasonDeadlinePassed})
		}
	}
	c.proposeAll(ctx, list)
}
