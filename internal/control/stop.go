package control

import (
	"context"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// defaultCheckpointBound is the time a task has to checkpoint if the plan does not
// say.
const defaultCheckpointBound = 5 * time.Second

// end stops every task, then concludes the attempt with what is certain.
func (a *attempt) end(ctx context.Context, reason model.Reason) {
	begun := a.phase != model.PhaseReserve
	a.stopping.Store(true)
	if reason == model.ReasonReclaimed {
		a.checkpoint(ctx)
	}
	a.each(ctx, func(ctx context.Context, t *task) bool {
		a.stop(ctx, t, begun)
		a.record(ctx, t)
		return true
	})
	if ctx.Err() != nil || a.current() == nil {
		return
	}
	out := a.outcome(begun)
	a.c.Log.Info("attempt ended", "job", a.job, "customer", a.spec.Customer, "zone", a.c.Zone,
		"reason", reason, "outcome", out.String())
	telemetry.Retried(reason)
	cmd := &jobs.Command{Kind: jobs.KindEndAttempt, Outcome: out, Reason: reason}
	if reason == model.ReasonDeadlinePassed || reason == a.overusedReason() {
		cmd.State = model.Failed // not queued again
	}
	a.conclude(ctx, cmd)
}

// conclude commits the end of the attempt. It is tried until it is committed or
// the attempt is no longer the current one, since nobody else will do it.
func (a *attempt) conclude(ctx context.Context, cmd *jobs.Command) {
	for ctx.Err() == nil && a.current() != nil {
		if a.propose(ctx, cmd) {
			return
		}
		sleep(ctx, commandRetry)
	}
}

// checkpoint asks every task to save its state, within the policy's bound. A
// worker answers once the checkpoint is saved.
func (a *attempt) checkpoint(ctx context.Context) {
	bound := time.Duration(a.bound.Load())
	if bound <= 0 {
		bound = defaultCheckpointBound
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	a.each(ctx, func(ctx context.Context, t *task) bool {
		cmd := a.command(workerapi.Checkpoint, t)
		for ctx.Err() == nil {
			if a.ask(ctx, t, cmd) != nil {
				return true
			}
			sleep(ctx, commandRetry)
		}
		return true
	})
}

// stop tells a worker to stop a task. Before a start was sent one answer or
// none is enough; afterwards it asks until the lease has certainly run out.
func (a *attempt) stop(ctx context.Context, t *task, begun bool) {
	if !begun {
		a.ask(ctx, t, a.command(workerapi.Stop, t))
		return
	}
	a.mu.Lock()
	limit := time.Until(t.leaseEnd)
	a.mu.Unlock()
	a.until(ctx, t, workerapi.Stop, max(limit, commandTimeout))
}

// outcome sums up what the workers have said.
func (a *attempt) outcome(begun bool) jobs.Outcome {
	if !begun {
		return jobs.NotStarted
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	notStarted, failed, unknown := 0, 0, 0
	for _, t := range a.tasks {
		switch {
		case t.result != nil && !t.result.OK:
			failed++
		case t.result != nil || ended(t.state):
		case t.state == workerapi.TaskNotStarted:
			notStarted++
		default:
			unknown++
		}
	}
	switch {
	case notStarted == len(a.tasks):
		return jobs.NotStarted
	case unknown > 0:
		return jobs.Lost
	case failed > 0:
		return jobs.TaskFailed
	}
	return jobs.Stopped
}

// ended reports whether a worker has said that a task ran and has ended.
func ended(s workerapi.TaskState) bool {
	return s == workerapi.TaskStopped || s == workerapi.TaskFinished
}
