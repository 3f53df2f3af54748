package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Timeouts and periods of an attempt.
const (
	commandTimeout = time.Second     // for one command to one worker
	reserveTimeout = 2 * time.Second // for the whole reserve phase
	// startTimeout bounds how long a gang runs incomplete because one member
	// does not answer its start command.
	startTimeout      = 2 * time.Second
	commandRetryPause = 50 * time.Millisecond // pause before a command is retried
	statusPeriod      = 2 * time.Second       // interval of status requests to running tasks
)

// task holds what the driver knows about one task. The attempt's mu guards all
// fields except placement.
type task struct {
	placement model.TaskPlacement
	state     workerapi.TaskState
	// reservedIncarnation is the incarnation of the worker that confirmed the
	// reservation to this leader; 0 if it is not known.
	reservedIncarnation uint64
	// started is set once the worker has confirmed that it started the task.
	started bool
	// crashed is set if another incarnation of the worker answers than reserved the task.
	crashed bool
	// leaseEnd is the latest time at which the worker may still run the task.
	leaseEnd time.Time
	result   *model.TaskResult
}

// attempt drives one attempt of a job during one term of this leader. All
// commands carry the attempt's fencing token, so commands from the driver of an
// earlier term are harmless.
type attempt struct {
	controller *Controller
	job        model.JobID
	fence      uint64
	term       uint64
	spec       model.JobSpec
	phase      model.Phase

	preempted       atomic.Bool                  // the attempt is to end in favour of another job
	checkpointBound atomic.Int64                 // time for the tasks to checkpoint before they are stopped, in ns
	stoppingFor     atomic.Pointer[model.JobID]  // the job that preempts this one
	stopping        atomic.Bool                  // the tasks are being stopped
	throttled       atomic.Bool                  // the throttle command was sent
	checkpointed    atomic.Bool                  // the checkpoint command was sent
	overuse         atomic.Pointer[model.Reason] // the exceeded limit, once the attempt is to be stopped for it
	wake            chan struct{}                // makes watch check the attempt again

	mu    sync.Mutex // guards the tasks' fields
	tasks []*task
}

func newAttempt(c *Controller, j *model.Job, term uint64) *attempt {
	a := &attempt{
		controller: c, job: j.ID, fence: j.Attempt.Fence, term: term, spec: j.Spec, phase: j.Attempt.Phase,
		wake: make(chan struct{}, 1),
	}
	var leaseEnd time.Time
	if a.phase != model.PhaseReserve {
		leaseEnd = time.Now().Add(c.Lease + takeoverMargin)
	}
	for _, p := range j.Attempt.Placement {
		a.tasks = append(a.tasks, &task{placement: p, leaseEnd: leaseEnd, started: a.phase == model.PhaseRun})
	}
	return a
}

// drive runs the attempt from its current phase to its end.
func (a *attempt) drive(ctx context.Context) {
	if a.phase == model.PhaseReserve {
		if !a.reserve(ctx) || !a.propose(ctx, &jobs.Command{Kind: jobs.KindCommitStart}) {
			a.end(ctx, model.ReasonReserveFailed)
			return
		}
		a.phase = model.PhaseStart
	}
	if a.phase == model.PhaseStart {
		if !a.waitStartDurable(ctx) {
			a.end(ctx, model.ReasonNoDurableReplica)
			return
		}
		if !a.start(ctx) {
			a.end(ctx, model.ReasonStartFailed)
			return
		}
		a.propose(ctx, &jobs.Command{Kind: jobs.KindMarkRunning})
		a.phase = model.PhaseRun
	}
	if reason, concluded := a.watch(ctx); !concluded {
		a.end(ctx, reason)
	}
}

// waitStartDurable waits until the log record that precedes the start commands
// is durable, that is, survives the loss of every process of the zone. Without
// it a not-repeatable job could be started a second time. It returns
// immediately for repeatable jobs.
func (a *attempt) waitStartDurable(ctx context.Context) bool {
	if a.spec.Repeatable {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return a.controller.Group.WaitDurable(ctx) == nil
}

func (a *attempt) propose(ctx context.Context, cmd *jobs.Command) bool {
	cmd.ID = a.job
	cmd.Fence = a.fence
	return a.controller.propose(ctx, cmd)
}

// currentJob returns the job's record, or nil if this attempt is no longer the
// job's current one.
func (a *attempt) currentJob() *model.Job {
	j := a.controller.Machine.Get(a.job)
	if j == nil || j.Attempt == nil || j.Attempt.Fence != a.fence {
		return nil
	}
	return j
}

func (a *attempt) newCommand(op workerapi.Operation, t *task) *workerapi.Command {
	cmd := &workerapi.Command{
		Op: op, Number: a.controller.lastCommandNumber.Add(1), Zone: a.controller.Zone, Term: a.term, Fence: a.fence,
		Job: a.job, Task: t.placement.Task,
	}
	if op == workerapi.Reserve || op == workerapi.Start {
		cmd.Spec = &a.spec
		cmd.Accelerators = t.placement.Accelerators
		cmd.LeaseSeconds = a.controller.Lease.Seconds()
	}
	return cmd
}

// forEachTask runs f for all tasks concurrently and reports whether all calls
// succeeded. The first failure cancels the context passed to f.
func (a *attempt) forEachTask(ctx context.Context, f func(context.Context, *task) bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	var failed atomic.Bool
	for _, t := range a.tasks {
		wg.Go(func() {
			if !f(ctx, t) {
				failed.Store(true)
				cancel()
			}
		})
	}
	wg.Wait()
	return !failed.Load()
}

// send sends one command and records the reply. It returns nil if the worker is
// not known, did not answer or has seen a later term.
func (a *attempt) send(ctx context.Context, t *task, cmd *workerapi.Command) *workerapi.Reply {
	e, known := a.controller.Board.Get(t.placement.Worker)
	if !known {
		// A new leader may take over attempts before it has received an
		// announcement of the worker.
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if cmd.Op == workerapi.Start {
		a.extendLease(t, a.controller.clockReadings.grantLease(t.placement.Worker, cmd, a.controller.Lease))
	}
	r, err := a.controller.Client.Do(ctx, e.Worker.Address, cmd)
	if err != nil || r.Refused == model.ReasonStaleTerm {
		return nil
	}
	a.controller.clockReadings.record(t.placement.Worker, r, time.Now())
	a.recordReply(t, cmd, r)
	return r
}

// recordReply updates a task from a worker's reply. A task that the incarnation
// which reserved it no longer knows never started there, unless it is known to
// have started.
func (a *attempt) recordReply(t *task, cmd *workerapi.Command, r *workerapi.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.state = r.State
	if r.State == workerapi.TaskAbsent && r.Incarnation == t.reservedIncarnation && t.reservedIncarnation != 0 && !t.started {
		t.state = workerapi.TaskNotStarted
	}
	if cmd.Op == workerapi.Reserve && r.Refused == "" {
		t.reservedIncarnation = r.Incarnation
	}
	t.crashed = t.reservedIncarnation != 0 && r.Incarnation != t.reservedIncarnation
	if r.State == workerapi.TaskRunning || r.State == workerapi.TaskFinished {
		t.started = true
	}
	if r.Result != nil {
		t.result = r.Result
	}
}

// sendUntilAnswered sends a command and retries it under the same operation
// number until the worker answers. It returns nil if the worker does not answer
// within timeout.
func (a *attempt) sendUntilAnswered(ctx context.Context, t *task, op workerapi.Operation, timeout time.Duration) *workerapi.Reply {
	cmd := a.newCommand(op, t)
	deadline := time.Now().Add(timeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if r := a.send(ctx, t, cmd); r != nil {
			return r
		}
		telemetry.CountRetry(model.ReasonTimeout)
		sleep(ctx, commandRetryPause)
	}
	return nil
}

// reserve reserves all tasks. It fails as soon as one worker refuses or does
// not answer in time.
func (a *attempt) reserve(ctx context.Context) bool {
	return a.forEachTask(ctx, func(ctx context.Context, t *task) bool {
		r := a.sendUntilAnswered(ctx, t, workerapi.Reserve, reserveTimeout)
		if r != nil && r.Refused != "" {
			telemetry.CountRefusal(r.Refused)
		}
		return r != nil && r.Refused == ""
	})
}

// start starts all tasks. It fails as soon as one worker refuses or does not
// answer in time.
func (a *attempt) start(ctx context.Context) bool {
	return a.forEachTask(ctx, func(ctx context.Context, t *task) bool {
		r := a.sendUntilAnswered(ctx, t, workerapi.Start, startTimeout)
		return r != nil && (r.State == workerapi.TaskRunning || r.State == workerapi.TaskFinished)
	})
}

// watch monitors the running tasks. It returns concluded if the job has reached
// a final state or the leadership was lost, and otherwise the reason to end the
// attempt.
func (a *attempt) watch(ctx context.Context) (reason model.Reason, concluded bool) {
	poll := time.NewTicker(statusPeriod)
	defer poll.Stop()
	for {
		changed, unwatch := a.controller.Machine.WatchChange(a.job)
		j := a.currentJob()
		if j == nil || ctx.Err() != nil {
			unwatch()
			return "", true
		}
		if r := a.stopReason(j, time.Now()); r != "" {
			unwatch()
			return r, false
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-a.wake:
		case <-poll.C:
			a.poll(ctx, j)
		}
		unwatch()
	}
}

// stopReason returns why a running attempt must be stopped, or "" if it must go
// on.
func (a *attempt) stopReason(j *model.Job, now time.Time) model.Reason {
	switch {
	case j.CancelRequested:
		return model.ReasonCancelled
	case a.preempted.Load():
		return model.ReasonReclaimed
	case a.overuseReason() != "":
		return a.overuseReason()
	case anyFailed(j.Attempt.Results):
		return model.ReasonTaskFailed
	case !j.Spec.Deadline.IsZero() && now.After(j.Spec.Deadline):
		return model.ReasonDeadlinePassed
	case a.hasLostTask(j, now):
		return model.ReasonWorkerLost
	}
	return ""
}

func anyFailed(rs []model.TaskResult) bool {
	for i := range rs {
		if !rs[i].OK {
			return true
		}
	}
	return false
}

func hasResult(rs []model.TaskResult, task int) bool {
	for i := range rs {
		if rs[i].Task == task {
			return true
		}
	}
	return false
}

// poll requests the status of every task that has no result yet, which
// recovers results whose report was lost.
func (a *attempt) poll(ctx context.Context, j *model.Job) {
	a.forEachTask(ctx, func(ctx context.Context, t *task) bool {
		if !hasResult(j.Attempt.Results, t.placement.Task) {
			a.send(ctx, t, a.newCommand(workerapi.Status, t))
			a.commitResult(ctx, t)
		}
		return true
	})
}

// commitResult commits the result that a worker returned in a reply, if there
// is one.
func (a *attempt) commitResult(ctx context.Context, t *task) {
	a.mu.Lock()
	res := t.result
	a.mu.Unlock()
	if res != nil {
		a.propose(ctx, &jobs.Command{Kind: jobs.KindTaskResult, Result: res})
	}
}

// hasLostTask reports whether a task without a result no longer runs: its
// worker has restarted or has stopped it, or its lease has expired.
func (a *attempt) hasLostTask(j *model.Job, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.tasks {
		if hasResult(j.Attempt.Results, t.placement.Task) {
			continue
		}
		switch t.state {
		case workerapi.TaskAbsent, workerapi.TaskStopped, workerapi.TaskNotStarted:
			return true
		}
		if now.After(t.leaseEnd) {
			return true
		}
	}
	return false
}
