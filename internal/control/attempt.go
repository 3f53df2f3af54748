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

// Times of one attempt.
const (
	commandTimeout = time.Second     // one command to one worker
	reserveTimeout = 2 * time.Second // the whole reserve phase
	// startTimeout bounds the time in which a gang runs incomplete because a
	// member does not answer its start.
	startTimeout = 2 * time.Second
	commandRetry = 50 * time.Millisecond // pause before a command is sent again
	statusPeriod = 2 * time.Second       // how often running tasks are asked
)

// task is the driver's knowledge of one task. The attempt's mu guards all
// fields but place.
type task struct {
	place model.TaskPlacement
	state workerapi.TaskState
	// reservedBy is the worker's incarnation that reserved the task under this
	// leader; 0 if it is not known.
	reservedBy uint64
	// started is set once the worker has said that it started the task.
	started bool
	// leaseEnd is the latest time at which the worker may still run the task.
	leaseEnd time.Time
	result   *model.TaskResult
}

// attempt drives one attempt of a job for one leader's term. All messages carry
// the attempt's fencing number, so a driver of an earlier term does no harm.
type attempt struct {
	c     *Controller
	job   model.JobID
	fence uint64
	term  uint64
	spec  model.JobSpec
	phase model.Phase

	preempted    atomic.Bool                  // a reclaim takes the attempt off
	bound        atomic.Int64                 // time to checkpoint before the stop, in ns
	stoppingFor  atomic.Pointer[model.JobID]  // the job that a reclaim makes room for
	stopping     atomic.Bool                  // the tasks are being stopped
	throttled    atomic.Bool                  // the tasks were told to throttle
	checkpointed atomic.Bool                  // the tasks were told to checkpoint
	overuse      atomic.Pointer[model.Reason] // set once the attempt is stopped for good
	wake         chan struct{}                // makes watch look again

	mu    sync.Mutex // guards the tasks' fields
	tasks []*task
}

func newAttempt(c *Controller, j *model.Job, term uint64) *attempt {
	a := &attempt{
		c: c, job: j.ID, fence: j.Attempt.Fence, term: term, spec: j.Spec, phase: j.Attempt.Phase,
		wake: make(chan struct{}, 1),
	}
	var leaseEnd time.Time
	if a.phase != model.PhaseReserve {
		leaseEnd = time.Now().Add(c.Lease + takeoverMargin)
	}
	for _, p := range j.Attempt.Placement {
		a.tasks = append(a.tasks, &task{place: p, leaseEnd: leaseEnd, started: a.phase == model.PhaseRun})
	}
	return a
}

// drive carries the attempt from its present phase to its end.
func (a *attempt) drive(ctx context.Context) {
	if a.phase == model.PhaseReserve {
		if !a.reserve(ctx) || !a.propose(ctx, &jobs.Command{Kind: jobs.KindCommitStart}) {
			a.end(ctx, model.ReasonReserveFailed)
			return
		}
		a.phase = model.PhaseStart
	}
	if a.phase == model.PhaseStart {
		if !a.startIsDurable(ctx) {
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
	if reason, over := a.watch(ctx); !over {
		a.end(ctx, reason)
	}
}

// startIsDurable waits until the record that start messages may leave survives
// the loss of every process of the zone: a not-repeatable job could otherwise be
// started again. A repeatable job does not wait.
func (a *attempt) startIsDurable(ctx context.Context) bool {
	if a.spec.Repeatable {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return a.c.Group.WaitDurable(ctx) == nil
}

func (a *attempt) propose(ctx context.Context, cmd *jobs.Command) bool {
	cmd.ID = a.job
	cmd.Fence = a.fence
	return a.c.propose(ctx, cmd)
}

// current returns the job's record while this attempt is its current one.
func (a *attempt) current() *model.Job {
	j := a.c.Machine.Get(a.job)
	if j == nil || j.Attempt == nil || j.Attempt.Fence != a.fence {
		return nil
	}
	return j
}

func (a *attempt) command(op workerapi.Operation, t *task) *workerapi.Command {
	cmd := &workerapi.Command{
		Op: op, Number: a.c.number.Add(1), Zone: a.c.Zone, Term: a.term, Fence: a.fence,
		Job: a.job, Task: t.place.Task,
	}
	if op == workerapi.Reserve || op == workerapi.Start {
		cmd.Spec = &a.spec
		cmd.Accelerators = t.place.Accelerators
		cmd.LeaseSeconds = a.c.Lease.Seconds()
	}
	return cmd
}

// each runs f for every task at the same time and reports whether all
// succeeded. The context that f gets ends at the first failure.
func (a *attempt) each(ctx context.Context, f func(context.Context, *task) bool) bool {
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

// ask sends one command and notes the answer.
func (a *attempt) ask(ctx context.Context, t *task, cmd *workerapi.Command) *workerapi.Reply {
	e, known := a.c.Board.Get(t.place.Worker)
	if !known {
		// A new leader may take attempts over before it has heard of the worker.
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if cmd.Op == workerapi.Start {
		a.granted(t, a.c.contacts.grant(t.place.Worker, cmd, a.c.Lease))
	}
	r, err := a.c.Client.Do(ctx, e.Worker.Address, cmd)
	if err != nil || r.Refused == model.ReasonStaleTerm {
		return nil
	}
	a.c.contacts.note(t.place.Worker, r, time.Now())
	a.noteReply(t, cmd, r)
	return r
}

// noteReply keeps what a reply says about a task.
func (a *attempt) noteReply(t *task, cmd *workerapi.Command, r *workerapi.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.state = r.State
	if r.State == workerapi.TaskAbsent && r.Incarnation == t.reservedBy && t.reservedBy != 0 && !t.started {
		t.state = workerapi.TaskNotStarted
	}
	if cmd.Op == workerapi.Reserve && r.Refused == "" {
		t.reservedBy = r.Incarnation
	}
	if r.State == workerapi.TaskRunning || r.State == workerapi.TaskFinished {
		t.started = true
	}
	if r.Result != nil {
		t.result = r.Result
	}
}

// until sends the command again under the same number until the worker answers
// or limit has passed.
func (a *attempt) until(ctx context.Context, t *task, op workerapi.Operation, limit time.Duration) *workerapi.Reply {
	cmd := a.command(op, t)
	deadline := time.Now().Add(limit)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if r := a.ask(ctx, t, cmd); r != nil {
			return r
		}
		telemetry.Retried(model.ReasonTimeout)
		sleep(ctx, commandRetry)
	}
	return nil
}

// reserve reserves all tasks; it fails as soon as one refuses.
func (a *attempt) reserve(ctx context.Context) bool {
	return a.each(ctx, func(ctx context.Context, t *task) bool {
		r := a.until(ctx, t, workerapi.Reserve, reserveTimeout)
		if r != nil && r.Refused != "" {
			telemetry.Refused(r.Refused)
		}
		return r != nil && r.Refused == ""
	})
}

// start starts all tasks; it fails as soon as one worker refuses.
func (a *attempt) start(ctx context.Context) bool {
	return a.each(ctx, func(ctx context.Context, t *task) bool {
		r := a.until(ctx, t, workerapi.Start, startTimeout)
		return r != nil && (r.State == workerapi.TaskRunning || r.State == workerapi.TaskFinished)
	})
}

// watch follows the running tasks. It returns over if the job is final or the
// leadership was lost, otherwise the reason to end the attempt.
func (a *attempt) watch(ctx context.Context) (reason model.Reason, over bool) {
	poll := time.NewTicker(statusPeriod)
	defer poll.Stop()
	for {
		changed, unwatch := a.c.Machine.WatchChange(a.job)
		j := a.current()
		if j == nil || ctx.Err() != nil {
			unwatch()
			return "", true
		}
		if r := a.verdict(j, time.Now()); r != "" {
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

// verdict returns the reason to stop a running attempt, or "".
func (a *attempt) verdict(j *model.Job, now time.Time) model.Reason {
	switch {
	case j.CancelRequested:
		return model.ReasonCancelled
	case a.preempted.Load():
		return model.ReasonReclaimed
	case a.overusedReason() != "":
		return a.overusedReason()
	case anyFailed(j.Attempt.Results):
		return model.ReasonTaskFailed
	case !j.Spec.Deadline.IsZero() && now.After(j.Spec.Deadline):
		return model.ReasonDeadlinePassed
	case a.lost(j, now):
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

// poll asks for the state of the tasks without a result, so that a lost report
// is found.
func (a *attempt) poll(ctx context.Context, j *model.Job) {
	a.each(ctx, func(ctx context.Context, t *task) bool {
		if !hasResult(j.Attempt.Results, t.place.Task) {
			a.ask(ctx, t, a.command(workerapi.Status, t))
			a.record(ctx, t)
		}
		return true
	})
}

// record commits a result that the worker gave in a reply.
func (a *attempt) record(ctx context.Context, t *task) {
	a.mu.Lock()
	res := t.result
	a.mu.Unlock()
	if res != nil {
		a.propose(ctx, &jobs.Command{Kind: jobs.KindTaskResult, Result: res})
	}
}

// lost reports whether a task without a result is gone: its worker has
// restarted or stopped it, or its lease has run out.
func (a *attempt) lost(j *model.Job, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.tasks {
		if hasResult(j.Attempt.Results, t.place.Task) {
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
