package standin

import (
	"context"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Bounds of what a worker remembers.
const (
	maxEnded   = 4096 // tasks that have ended
	maxUnacked = 4096 // results without an acknowledgement; more work is refused
)

// minReservation is the shortest time for which a reservation holds.
const minReservation = 10 * time.Second

// throttledRate is the speed of a throttled task.
const throttledRate = 0.5

// taskKey identifies one task of one attempt.
type taskKey struct {
	fence uint64
	task  int
}

// task is the worker's knowledge of a task. Worker.mu guards it.
type task struct {
	job     model.JobID
	state   workerapi.TaskState
	accel   []int
	spec    model.JobSpec
	payload Payload
	lease   time.Time
	cancel  context.CancelFunc
	wake    chan struct{} // tells the task's goroutine that its rate changed
	need    time.Duration // whole time of the task at rate 1
	done    time.Duration // part of need that has passed
	since   time.Time     // when done was brought up to date
	rate    float64
	saving  chan struct{} // closed when the checkpoint in progress is complete
	result  *model.TaskResult
	acked   bool
}

// holds reports whether the task uses the worker's resources.
func (t *task) holds() bool {
	return t.state == workerapi.TaskReserved || t.state == workerapi.TaskRunning
}

// advance brings t.done up to date.
func (t *task) advance(now time.Time) {
	t.done += time.Duration(float64(now.Sub(t.since)) * t.rate)
	t.since = now
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// reserve sets resources aside. A number that was used and released is refused.
func (w *Worker) reserve(k taskKey, t *task, c *workerapi.Command, rep *workerapi.Reply) {
	switch {
	case t != nil && t.holds():
		return
	case t != nil:
		w.refuse(c, rep, model.ReasonStaleFence, "")
		return
	case w.leaving:
		w.refuse(c, rep, model.ReasonWorkerLeaving, "")
		return
	case !w.room(c) || w.unacked >= maxUnacked:
		w.refuse(c, rep, model.ReasonWorkerFull, "")
		return
	}
	w.tasks[k] = &task{
		job: c.Job, state: workerapi.TaskReserved, accel: c.Accelerators, spec: *c.Spec,
		payload: ParsePayload(c.Spec.Payload), rate: 1, wake: make(chan struct{}, 1),
		lease: time.Now().Add(max(minReservation, seconds(c.LeaseSeconds))),
	}
	w.record(EventReserve, k, c.Job, "")
}

// room reports whether slots, cores, memory and the named accelerators are free.
func (w *Worker) room(c *workerapi.Command) bool {
	slots, cores, mem := w.o.Slots, w.o.Cores, w.o.MemoryMiB
	used := map[int]bool{}
	for _, t := range w.tasks {
		if !t.holds() {
			continue
		}
		slots--
		cores -= t.spec.CPU
		mem -= t.spec.MemoryMiB
		for _, a := range t.accel {
			used[a] = true
		}
	}
	for _, a := range c.Accelerators {
		if a < 0 || a >= w.o.Accelerators || used[a] {
			return false
		}
		used[a] = true
	}
	return slots >= 1 && cores >= c.Spec.CPU && mem >= c.Spec.MemoryMiB
}

// extend moves the lease's end; a message that arrives late never shortens it.
func (t *task) extend(until time.Time) {
	if until.After(t.lease) {
		t.lease = until
	}
}

// start starts a reserved task. A number without a reservation is refused, and
// so is a start whose lease has already ended: the task would run without one.
func (w *Worker) start(k taskKey, t *task, c *workerapi.Command, rep *workerapi.Reply) {
	if t == nil || (!t.holds() && t.state != workerapi.TaskFinished) {
		w.refuse(c, rep, model.ReasonStaleFence, "")
		return
	}
	lease := w.leaseEnd(c)
	if t.state != workerapi.TaskReserved {
		t.extend(lease)
		return
	}
	now := time.Now()
	if !lease.After(now) {
		w.refuse(c, rep, model.ReasonTimeout, "the lease that the start grants has ended")
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.state = workerapi.TaskRunning
	t.cancel = cancel
	t.lease = lease
	t.need = time.Duration(float64(t.payload.Time) * factor(w.faults.TaskFactor))
	t.done = w.restore(t.job, k.task)
	t.since = now
	w.record(EventStart, k, t.job, "")
	go w.run(ctx, k, t)
	go w.reportUsage(ctx, k, t)
}

// stop ends a task. A number that the worker does not know is remembered, so
// that a late reserve or start under it is refused.
func (w *Worker) stop(k taskKey, t *task, c *workerapi.Command) {
	if t == nil {
		w.tasks[k] = &task{job: c.Job, state: workerapi.TaskAbsent, acked: true}
		w.ended = append(w.ended, k)
		w.forget()
		return
	}
	w.end(k, t, "stopped")
}

// end releases a task that holds resources.
func (w *Worker) end(k taskKey, t *task, why string) {
	switch t.state {
	case workerapi.TaskReserved:
		t.state = workerapi.TaskNotStarted
	case workerapi.TaskRunning:
		t.state = workerapi.TaskStopped
		t.cancel()
		w.record(EventStop, k, t.job, why)
	default:
		return
	}
	t.acked = true
	w.ended = append(w.ended, k)
	w.forget()
}

// forget drops the oldest ended tasks beyond the bound. A result that was not
// acknowledged is kept.
func (w *Worker) forget() {
	if len(w.ended) <= maxEnded {
		return
	}
	kept := w.ended[:0]
	over := len(w.ended) - maxEnded
	for _, k := range w.ended {
		if over > 0 && w.tasks[k].acked {
			delete(w.tasks, k)
			w.floor = max(w.floor, k.fence)
			over--
			continue
		}
		kept = append(kept, k)
	}
	w.ended = kept
}

// endLeases ends the tasks whose lease has run out.
func (w *Worker) endLeases(now time.Time) {
	for k, t := range w.tasks {
		if t.holds() && now.After(t.lease) {
			w.end(k, t, "lease ran out")
		}
	}
}

// endAll ends every task when the process ends.
func (w *Worker) endAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, t := range w.tasks {
		w.end(k, t, "worker ends")
	}
}

func (w *Worker) checkLeases(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.endLeases(time.Now())
		w.mu.Unlock()
		pause(ctx, leaseCheck)
	}
}
