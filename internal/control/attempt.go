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
	commandTimeout = time.Second           // one command to one worker
	reserveTimeout = 2 * time.Second       // the whole reserve phase
	commandRetry   = 50 * time.Millisecond // pause before a command is sent again
	statusPeriod   = time.Second           // how often running tasks are asked
)

// task is the driver's knowledge of one task.
type task struct {
	place   model.TaskPlacement
	address string
	state   workerapi.TaskState
	// lastContact is when the worker last answered for this task; its lease ends
	// at most one lease time later.
	lastContact time.Time
	result      *model.TaskResult
}

// attempt drives one attempt of a job for one leader's term. All messages carry
// the attempt's fencing number, so a driver of an earlier term does no harm.
type attempt struct {
	c         *Controller
	job       model.JobID
	fence     uint64
	term      uint64
	spec      model.JobSpec
	phase     model.Phase
	preempted atomic.Bool

	mu    sync.Mutex // guards the tasks
	tasks []*task
}

func newAttempt(c *Controller, j *model.Job, term uint64) *attempt {
	a := &attempt{
		c: c, job: j.ID, fence: j.Attempt.Fence, term: term, spec: j.Spec, phase: j.Attempt.Phase,
	}
	for _, p := range j.Attempt.Placement {
		e, _ := c.Board.Get(p.Worker)
		a.tasks = append(a.tasks, &task{place: p, address: e.Worker.Address, lastContact: time.Now()})
	}
	return a
}

func (a *attempt) preempt() { a.preempted.Store(true) }

// drive carries the attempt from its present phase to its end.
func (a *attempt) drive(ctx context.Context) {
	if a.phase == model.PhaseReserve {
		if !a.reserve(ctx) {
			a.end(ctx, model.ReasonReserveFailed)
			return
		}
		if !a.propose(ctx, &jobs.Command{Kind: jobs.KindCommitStart}) {
			a.end(ctx, model.ReasonReserveFailed)
			return
		}
		a.phase = model.PhaseStart
	}
	if a.phase == model.PhaseStart {
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

// each runs f for every task at the same time and reports whether all succeeded.
func (a *attempt) each(f func(*task) bool) bool {
	var wg sync.WaitGroup
	var failed atomic.Bool
	for _, t := range a.tasks {
		wg.Go(func() {
			if !f(t) {
				failed.Store(true)
			}
		})
	}
	wg.Wait()
	return !failed.Load()
}

// ask sends one command and notes the answer.
func (a *attempt) ask(ctx context.Context, t *task, cmd *workerapi.Command) *workerapi.Reply {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	sent := time.Now()
	r, err := a.c.Client.Do(ctx, t.address, cmd)
	if err != nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t.state = r.State
	t.lastContact = sent
	if r.Result != nil {
		t.result = r.Result
	}
	return r
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
	return a.each(func(t *task) bool {
		r := a.until(ctx, t, workerapi.Reserve, reserveTimeout)
		if r != nil && r.Refused != "" {
			telemetry.Refused(r.Refused)
		}
		return r != nil && r.Refused == ""
	})
}

// start starts all tasks.
func (a *attempt) start(ctx context.Context) bool {
	return a.each(func(t *task) bool {
		r := a.until(ctx, t, workerapi.Start, a.c.Lease)
		return r != nil && (r.State == workerapi.TaskRunning || r.State == workerapi.TaskFinished)
	})
}

// watch follows the running tasks. It returns over if the job is final or the
// leadership was lost, otherwise the reason to end the attempt.
func (a *attempt) watch(ctx context.Context) (reason model.Reason, over bool) {
	for {
		changed := a.c.Machine.Changed()
		j := a.current()
		if j == nil || ctx.Err() != nil {
			return "", true
		}
		switch {
		case j.CancelRequested:
			return model.ReasonCancelled, false
		case a.preempted.Load():
			return model.ReasonReclaimed, false
		case anyFailed(j.Attempt.Results):
			return model.ReasonTaskFailed, false
		case a.lost(j):
			return model.ReasonWorkerLost, false
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(statusPeriod):
			a.poll(ctx, j)
		}
	}
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
	a.each(func(t *task) bool {
		if hasResult(j.Attempt.Results, t.place.Task) {
			return true
		}
		a.ask(ctx, t, a.command(workerapi.Status, t))
		a.record(ctx, t)
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
// restarted or stopped it, or has been silent for the lease time.
func (a *attempt) lost(j *model.Job) bool {
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
		if time.Since(t.lastContact) > a.c.Lease {
			return true
		}
	}
	return false
}

// end stops every task, then concludes the attempt with what is certain.
func (a *attempt) end(ctx context.Context, reason model.Reason) {
	begun := a.phase != model.PhaseReserve
	a.each(func(t *task) bool {
		a.stop(ctx, t, begun)
		a.record(ctx, t)
		return true
	})
	if ctx.Err() != nil || a.current() == nil {
		return
	}
	out := a.outcome(begun)
	a.c.Log.Info("attempt ended", "job", a.job, "customer", a.spec.Customer, "reason", reason, "outcome", out)
	telemetry.Retried(reason)
	a.propose(ctx, &jobs.Command{Kind: jobs.KindEndAttempt, Outcome: out, Reason: reason})
}

// stop tells a worker to stop a task. Before a start was sent one answer or none
// is enough; afterwards it asks until the lease has certainly run out.
func (a *attempt) stop(ctx context.Context, t *task, begun bool) {
	if !begun {
		a.ask(ctx, t, a.command(workerapi.Stop, t))
		return
	}
	a.mu.Lock()
	limit := a.c.Lease - time.Since(t.lastContact)
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
		case t.result != nil || t.state == workerapi.TaskStopped || t.state == workerapi.TaskFinished:
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
