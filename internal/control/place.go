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
	// idleDecision is the time between two decisions while no job waits. They only
	// report guarantees that lack healthy workers then; one decision takes 2.6 ms
	// for 500 workers, too much for five in each second.
	idleDecision = 5 * time.Second
	// parallelProposals bounds the proposals of one plan in flight. One after the
	// other, each waits for its own sync of the log.
	parallelProposals = 64
)

// place runs one decision and applies its plan. It returns when every command
// of the plan is decided, so the next snapshot contains them.
func (c *Controller) place(ctx context.Context) {
	cfg := c.Machine.Config()
	if cfg == nil {
		return
	}
	now := time.Now()
	active := c.Machine.Active()
	c.concludeLate(ctx, active, now)
	if c.onHold(now) {
		return
	}
	if !anyWaiting(active) && now.Sub(c.decided) < idleDecision {
		return
	}
	c.decided = now
	plan := c.Decide(c.snapshot(cfg, now))
	for i := range plan.Preemptions {
		c.preempt(&plan.Preemptions[i])
	}
	c.proposeAll(ctx, commands(&plan))
	for i := range plan.Starts {
		c.logStart(&plan.Starts[i])
	}
	for i := range plan.Rejections {
		r := &plan.Rejections[i]
		c.Log.Info("job concluded", "job", r.ID, "zone", c.Zone, "reason", r.Reason)
		telemetry.Refused(r.Reason)
	}
	for i := range plan.Actions {
		c.act(&plan.Actions[i])
	}
	c.reportShortfalls(plan.Shortfalls)
}

// recoveryHold bounds the wait for a configuration voter after a recovery; a zone
// that is cut off goes on with what it has.
const recoveryHold = 5 * time.Second

// holdAfterRecovery delays placement if this leader won a recovery election: a
// configuration that was adopted while the voters with a disk were down may be
// lost, and the zone must not act on the one before.
func (c *Controller) holdAfterRecovery(term uint64) {
	c.holdFrom = time.Time{}
	if c.ConfigConfirmed != nil && raft.RecoveryTerm(term) {
		c.holdFrom = time.Now()
	}
}

// onHold reports whether placement waits for a configuration voter.
func (c *Controller) onHold(now time.Time) bool {
	if c.holdFrom.IsZero() {
		return false
	}
	if now.Sub(c.holdFrom) < recoveryHold && !c.ConfigConfirmed().After(c.holdFrom) {
		return true
	}
	c.holdFrom = time.Time{}
	return false
}

// logStart logs a placement, unless its job was cancelled meanwhile.
func (c *Controller) logStart(s *sched.Start) {
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

// commands returns the commands of a plan. Each concerns another job, so their
// order does not matter.
func commands(plan *sched.Plan) []*jobs.Command {
	var out []*jobs.Command
	for i := range plan.Rejections {
		r := &plan.Rejections[i]
		out = append(out, &jobs.Command{Kind: jobs.KindConclude, ID: r.ID, Reason: r.Reason})
	}
	for i := range plan.Starts {
		s := &plan.Starts[i]
		out = append(out, &jobs.Command{
			Kind: jobs.KindIntend, ID: s.ID,
			Intend: &jobs.Intend{Placement: s.Placement, Borrowed: s.Borrowed, Claim: s.Claim},
		})
	}
	return out
}

// proposeAll proposes commands at the same time, so that one sync of the log
// serves many of them.
func (c *Controller) proposeAll(ctx context.Context, list []*jobs.Command) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallelProposals)
	for _, cmd := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			c.propose(ctx, cmd)
		})
	}
	wg.Wait()
}

// concludeLate gives queued jobs whose deadline has passed their final answer.
func (c *Controller) concludeLate(ctx context.Context, active []*model.Job, now time.Time) {
	var list []*jobs.Command
	for _, j := range active {
		if j.State == model.Queued && !j.Spec.Deadline.IsZero() && now.After(j.Spec.Deadline) {
			c.Log.Info("job concluded", "job", j.ID, "customer", j.Spec.Customer, "reason", model.ReasonDeadlinePassed)
			telemetry.Refused(model.ReasonDeadlinePassed)
			list = append(list, &jobs.Command{Kind: jobs.KindConclude, ID: j.ID, Reason: model.ReasonDeadlinePassed})
		}
	}
	c.proposeAll(ctx, list)
}
