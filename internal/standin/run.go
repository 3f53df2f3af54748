package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// run passes a task's time, then finishes it.
func (w *Worker) run(ctx context.Context, k taskKey, t *task) {
	for {
		w.mu.Lock()
		t.advance(time.Now())
		left := time.Duration(float64(t.need-t.done) / t.rate)
		w.mu.Unlock()
		if t.payload.NeverEnd {
			<-ctx.Done()
			return
		}
		if left <= 0 {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-time.After(left):
		}
	}
	if w.finish(k, t) {
		w.deliver(k, t)
	}
}

// finish records a task's end. A task that was stopped or whose lease has run
// out does not finish.
func (w *Worker) finish(k taskKey, t *task) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLeases(time.Now())
	if t.state != workerapi.TaskRunning {
		return false
	}
	t.cancel()
	t.state = workerapi.TaskFinished
	t.result = w.resultOf(k, t)
	w.unacked++
	w.ended = append(w.ended, k)
	e := w.event(EventFinish, k, t.job, "")
	e.OK = t.result.OK
	w.journal.write(e)
	w.forget()
	return true
}

func (w *Worker) resultOf(k taskKey, t *task) *model.TaskResult {
	r := &model.TaskResult{Task: k.task, Worker: w.o.Name}
	if why := w.failure(t); why != "" {
		r.Error = why
		return r
	}
	r.OK = true
	r.Output = TaskOutput(t.job, k.task, t.spec.Payload)
	return r
}

// failure returns why a task fails, or "".
func (w *Worker) failure(t *task) string {
	if w.faults.FailAll {
		return "the worker fails every task"
	}
	if t.payload.Fail {
		return "the payload says fail"
	}
	for _, name := range t.payload.FailOn {
		if name == w.o.Name {
			return "the payload says fail-on=" + name
		}
	}
	return ""
}

// throttle slows a running task down.
func (w *Worker) throttle(k taskKey, t *task) {
	if t == nil || t.state != workerapi.TaskRunning || t.rate == throttledRate {
		return
	}
	t.advance(time.Now())
	t.rate = throttledRate
	select {
	case t.wake <- struct{}{}:
	default:
	}
	w.record(EventThrottle, k, t.job, "")
}

// maxCheckpoints bounds the checkpoints in memory.
const maxCheckpoints = 1024

// checkpointKey identifies a task over all attempts of its job.
type checkpointKey struct {
	job  model.JobID
	task int
}

// checkpoint saves a running task's progress; the task goes on. The channel is closed
// when that is complete; it is nil if there is nothing to save.
func (w *Worker) checkpoint(k taskKey, t *task) <-chan struct{} {
	if t == nil || t.state != workerapi.TaskRunning {
		return nil
	}
	if t.saving != nil {
		return t.saving
	}
	done := make(chan struct{})
	t.saving = done
	go func() {
		time.Sleep(w.o.CheckpointTime)
		w.mu.Lock()
		defer w.mu.Unlock()
		t.saving = nil
		if t.state == workerapi.TaskRunning {
			t.advance(time.Now())
			w.save(checkpointKey{t.job, k.task}, t.done)
			w.record(EventCheckpoint, k, t.job, t.done.String())
		}
		close(done)
	}()
	return done
}

func (w *Worker) checkpointFile(k checkpointKey) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%s %d", k.job, k.task)))
	return filepath.Join(w.o.Checkpoints, hex.EncodeToString(sum[:12])+".checkpoint")
}

func (w *Worker) save(k checkpointKey, done time.Duration) {
	if w.o.Checkpoints != "" {
		_ = os.WriteFile(w.checkpointFile(k), []byte(strconv.FormatInt(int64(done), 10)), 0o644)
		return
	}
	if len(w.saved) >= maxCheckpoints {
		clear(w.saved)
	}
	w.saved[k] = done
}

// restore returns the saved progress of a task.
func (w *Worker) restore(job model.JobID, task int) time.Duration {
	k := checkpointKey{job, task}
	if w.o.Checkpoints == "" {
		return w.saved[k]
	}
	raw, err := os.ReadFile(w.checkpointFile(k))
	if err != nil {
		return 0
	}
	n, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n)
}
