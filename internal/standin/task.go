package standin

import (
	"context"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Limits of what a worker remembers.
const (
	maxEndedTasks = 4096
	// maxUnackedResults is the number of unacknowledged results at which
	// reservations are refused.
	maxUnackedResults = 4096
)

// minReservation is the shortest lease of a reservation.
const minReservation = 10 * time.Second

// throttledRate is the rate of a throttled task; the normal rate is 1.
const throttledRate = 0.5

// taskKey identifies one task of one attempt.
type taskKey struct {
	fence uint64
	task  int
}

// task is the worker's record of a task. Worker.mu guards it.
type task struct {
	job            model.JobID
	state          workerapi.TaskState
	accelerators   []int
	spec           model.JobSpec
	payload        Payload
	leaseUntil     time.Time
	cancel         context.CancelFunc
	rateChanged    chan struct{} // wakes the task's goroutine after a change of its rate
	totalTime      time.Duration // duration of the whole task at rate 1
	done           time.Duration // progress: part of totalTime completed at doneAt
	doneAt         time.Time
	rate           float64
	checkpointDone chan struct{} // closed when the checkpoint in progress is complete
	result         *model.TaskResult
	acked          bool
}

// holdsResources reports whether the task is reserved or running.
func (t *task) holdsResources() bool {
	return t.state == workerapi.TaskReserved || t.state == workerapi.TaskRunning
}

// advance updates t.done to now.
func (t *task) advance(now time.Time) {
	t.done += time.Duration(float64(now.Sub(t.doneAt)) * t.rate)
	t.doneAt = now
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// reserve reserves resources for a task. A fencing token whose resources were
// released is refused.
func (w *Worker) reserve(k taskKey, t *task, c *workerapi.Command, rep *workerapi.Reply) {
	switch {
	case t != nil && t.holdsResources():
		return
	case t != nil:
		w.refuse(c, rep, model.ReasonStaleFence, "")
		return
	case w.leaving:
		w.refuse(c, rep, model.ReasonWorkerLeaving, "")
		return
	case !w.fits(c) || w.unacked >= maxUnackedResults:
		w.refuse(c, rep, model.ReasonWorkerFull, "")
		return
	}
	w.tasks[k] = &task{
		job: c.Job, state: workerapi.TaskReserved, accelerators: c.Accelerators, spec: *c.Spec,
		payload: ParsePayload(c.Spec.Payload), rate: 1, rateChanged: make(chan struct{}, 1),
		leaseUntil: time.Now().Add(max(minReservation, toDuration(c.LeaseSeconds))),
	}
	w.recordTask(EventReserve, k, c.Job, "")
}

// fits reports whether a slot and the cores, memory and accelerators that a
// command names are free.
func (w *Worker) fits(c *workerapi.Command) bool {
	slots, cores, mem := w.opts.Slots, w.opts.Cores, w.opts.MemoryMiB
	used := map[int]bool{}
	for _, t := range w.tasks {
		if !t.holdsResources() {
			continue
		}
		slots--
		cores -= t.spec.CPU
		mem -= t.spec.MemoryMiB
		for _, a := range t.accelerators {
			used[a] = true
		}
	}
	for _, a := range c.Accelerators {
		if a < 0 || a >= w.opts.Accelerators || used[a] {
			return false
		}
		used[a] = true
	}
	return slots >= 1 && cores >= c.Spec.CPU && mem >= c.Spec.MemoryMiB
}

// extend extends the lease. A late message never shortens it.
func (t *task) extend(until time.Time) {
	if until.After(t.leaseUntil) {
		t.leaseUntil = until
	}
}

// start starts a reserved task. A fencing token without a reservation is refused,
// and so is a start whose lease has already expired, because the task would run
// without a lease.
func (w *Worker) start(k taskKey, t *task, c *workerapi.Command, rep *workerapi.Reply) {
	if t == nil || (!t.holdsResources() && t.state != workerapi.TaskFinished) {
		w.refuse(c, rep, model.ReasonStaleFence, "")
		return
	}
	leaseUntil := w.leaseEnd(c)
	if t.state != workerapi.TaskReserved {
		t.extend(leaseUntil)
		return
	}
	now := time.Now()
	if !leaseUntil.After(now) {
		w.refuse(c, rep, model.ReasonTimeout, "the lease that the start grants has ended")
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.state = workerapi.TaskRunning
	t.cancel = cancel
	t.leaseUntil = leaseUntil
	t.totalTime = time.Duration(float64(t.payload.Time) * factorOrOne(w.faults.TaskFactor))
	t.done = w.restoreCheckpoint(t.job, k.task)
	t.doneAt = now
	w.recordTask(EventStart, k, t.job, "")
	go w.runTask(ctx, k, t)
	go w.reportUsage(ctx, k, t)
}

// stop ends a task. For an unknown task it keeps a tombstone, so that a late
// reserve or start under its fencing token is refused.
func (w *Worker) stop(k taskKey, t *task, c *workerapi.Command) {
	if t == nil {
		w.tasks[k] = &task{job: c.Job, state: workerapi.TaskAbsent, acked: true}
		w.ended = append(w.ended, k)
		w.forgetOldTasks()
		return
	}
	w.endTask(k, t, "stopped")
}

// endTask ends a task that holds resources and releases them. Other tasks are
// left as they are.
func (w *Worker) endTask(k taskKey, t *task, reason string) {
	switch t.state {
	case workerapi.TaskReserved:
		t.state = workerapi.TaskNotStarted
	case workerapi.TaskRunning:
		t.state = workerapi.TaskStopped
		t.cancel()
		w.recordTask(EventStop, k, t.job, reason)
	default:
		return
	}
	t.acked = true
	w.ended = append(w.ended, k)
	w.forgetOldTasks()
}

// forgetOldTasks drops the oldest ended tasks beyond maxEndedTasks. Tasks with an
// unacknowledged result are kept.
func (w *Worker) forgetOldTasks() {
	if len(w.ended) <= maxEndedTasks {
		return
	}
	kept := w.ended[:0]
	excess := len(w.ended) - maxEndedTasks
	for _, k := range w.ended {
		if excess > 0 && w.tasks[k].acked {
			delete(w.tasks, k)
			w.fenceFloor = max(w.fenceFloor, k.fence)
			excess--
			continue
		}
		kept = append(kept, k)
	}
	w.ended = kept
}

// endLeases ends the tasks whose lease has expired.
func (w *Worker) endLeases(now time.Time) {
	for k, t := range w.tasks {
		if t.holdsResources() && now.After(t.leaseUntil) {
			w.endTask(k, t, "lease ran out")
		}
	}
}

// endAllTasks ends every task, because the worker ends.
func (w *Worker) endAllTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, t := range w.tasks {
		w.endTask(k, t, "worker ends")
	}
}

// checkLeases ends the tasks with an expired lease periodically until ctx ends.
func (w *Worker) checkLeases(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.endLeases(time.Now())
		w.mu.Unlock()
		pause(ctx, leaseCheckInterval)
	}
}
