package control

import (
	"context"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// defaultCheckpointBound is the time that a task gets to checkpoint if the plan
// sets none.
const defaultCheckpointBound = 5 * time.Second

// end stops every task and then concludes the attempt with an outcome that is
// certain.
func (a *attempt) end(ctx context.Context, reason model.Reason) {
	startCommitted := a.phase != model.PhaseReserve
	a.stopping.Store(true)
	if reason == model.ReasonReclaimed {
		a.checkpointTasks(ctx)
	}
	a.forEachTask(ctx, func(ctx context.Context, t *task) bool {
		a.stopTask(ctx, t, startCommitted)
		a.commitResult(ctx, t)
		return true
	})
	if ctx.Err() != nil || a.currentJob() == nil {
		return
	}
	out := a.outcome(startCommitted)
	a.controller.Log.Info("attempt ended", "job", a.job, "customer", a.spec.Customer, "zone", a.controller.Zone,
		"reason", reason, "outcome", out.String())
	telemetry.CountRetry(reason)
	cmd := &jobs.Command{Kind: jobs.KindEndAttempt, Outcome: out, Reason: reason, Crashed: out == jobs.Lost && a.hasCrashedWorker()}
	if reason == model.ReasonDeadlinePassed || reason == a.overuseReason() {
		cmd.State = model.Failed // do not queue it again if all tasks have stopped
	}
	a.proposeUntilCommitted(ctx, cmd)
}

// proposeUntilCommitted proposes the command that ends the attempt until it is
// committed or the attempt is no longer the current one. It must not give up
// earlier, since nothing else ends the attempt.
func (a *attempt) proposeUntilCommitted(ctx context.Context, cmd *jobs.Command) {
	for ctx.Err() == nil && a.currentJob() != nil {
		if a.propose(ctx, cmd) {
			return
		}
		sleep(ctx, commandRetryPause)
	}
}

// checkpointTasks asks every task to save its state, within the policy's time
// bound. A worker replies once the checkpoint is saved.
func (a *attempt) checkpointTasks(ctx context.Context) {
	checkpointBound := time.Duration(a.checkpointBound.Load())
	if checkpointBound <= 0 {
		checkpointBound = defaultCheckpointBound
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointBound)
	defer cancel()
	a.forEachTask(ctx, func(ctx context.Context, t *task) bool {
		cmd := a.newCommand(workerapi.Checkpoint, t)
		for ctx.Err() == nil {
			if a.send(ctx, t, cmd) != nil {
				return true
			}
			sleep(ctx, commandRetryPause)
		}
		return true
	})
}

// stopTask tells a worker to stop a task. If the start was not committed, no
// start command was sent, and one stop command is enough, answered or not;
// otherwise it is retried until the worker answers or the task's lease has
// certainly expired.
func (a *attempt) stopTask(ctx context.Context, t *task, startCommitted bool) {
	if !startCommitted {
		a.send(ctx, t, a.newCommand(workerapi.Stop, t))
		return
	}
	a.mu.Lock()
	leaseLeft := time.Until(t.leaseEnd)
	a.mu.Unlock()
	a.sendUntilAnswered(ctx, t, workerapi.Stop, max(leaseLeft, commandTimeout))
}

// outcome derives the attempt's outcome from the task states that the workers
// reported.
func (a *attempt) outcome(startCommitted bool) jobs.Outcome {
	if !startCommitted {
		return jobs.NotStarted
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	notStarted, failed, unknown := 0, 0, 0
	for _, t := range a.tasks {
		switch {
		case t.result != nil && !t.result.OK:
			failed++
		case t.result != nil || hasEnded(t.state):
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

// hasCrashedWorker reports whether a worker has restarted under a task without a result.
func (a *attempt) hasCrashedWorker() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.tasks, func(t *task) bool { return t.crashed && t.result == nil })
}

// hasEnded reports whether a worker has confirmed that a task ran and has
// ended.
func hasEnded(s workerapi.TaskState) bool {
	return s == workerapi.TaskStopped || s == workerapi.TaskFinished
}
