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

// runTask waits for a task's duration, then finishes the task and delivers its
// result. It returns early if ctx ends.
func (w *Worker) runTask(ctx context.Context, k taskKey, t *task) {
	for {
		w.mu.Lock()
		t.advance(time.Now())
		left := time.Duration(float64(t.totalTime-t.done) / t.rate)
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
		case <-t.rateChanged:
		case <-time.After(left):
		}
	}
	if w.finishTask(k, t) {
		w.deliverResult(k, t)
	}
}

// finishTask records a task's end. It returns false for a task that was stopped
// or whose lease has expired, which does not finish.
func (w *Worker) finishTask(k taskKey, t *task) bool {
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
	e := w.newEvent(EventFinish, k, t.job, "")
	e.OK = t.result.OK
	w.journal.write(e)
	w.forgetOldTasks()
	return true
}

func (w *Worker) resultOf(k taskKey, t *task) *model.TaskResult {
	r := &model.TaskResult{Task: k.task, Worker: w.opts.Name}
	if reason := w.failureReason(t); reason != "" {
		r.Error = reason
		return r
	}
	r.OK = true
	r.Output = TaskOutput(t.job, k.task, t.spec.Payload)
	return r
}

// failureReason returns the reason why a task fails, or "" if it succeeds.
func (w *Worker) failureReason(t *task) string {
	if w.faults.FailAll {
		return "the worker fails every task"
	}
	if t.payload.Fail {
		return "the payload says fail"
	}
	for _, name := range t.payload.FailOn {
		if name == w.opts.Name {
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
	case t.rateChanged <- struct{}{}:
	default:
	}
	w.recordTask(EventThrottle, k, t.job, "")
}

// maxCheckpoints bounds the checkpoints in memory. All are dropped when the bound
// is reached.
const maxCheckpoints = 1024

// checkpointKey identifies a task across all attempts of its job.
type checkpointKey struct {
	job  model.JobID
	task int
}

// checkpoint saves a running task's progress while the task keeps running. The
// channel is closed when the checkpoint is complete; it is nil if there is
// nothing to save.
func (w *Worker) checkpoint(k taskKey, t *task) <-chan struct{} {
	if t == nil || t.state != workerapi.TaskRunning {
		return nil
	}
	if t.checkpointDone != nil {
		return t.checkpointDone
	}
	done := make(chan struct{})
	t.checkpointDone = done
	go func() {
		time.Sleep(w.opts.CheckpointTime)
		w.mu.Lock()
		defer w.mu.Unlock()
		t.checkpointDone = nil
		if t.state == workerapi.TaskRunning {
			t.advance(time.Now())
			w.saveCheckpoint(checkpointKey{t.job, k.task}, t.done)
			w.recordTask(EventCheckpoint, k, t.job, t.done.String())
		}
		close(done)
	}()
	return done
}

func (w *Worker) checkpointFile(k checkpointKey) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%s %d", k.job, k.task)))
	return filepath.Join(w.opts.Checkpoints, hex.EncodeToString(sum[:12])+".checkpoint")
}

// saveCheckpoint stores the progress of a task in the shared folder or in memory.
func (w *Worker) saveCheckpoint(k checkpointKey, done time.Duration) {
	if w.opts.Checkpoints != "" {
		_ = os.WriteFile(w.checkpointFile(k), []byte(strconv.FormatInt(int64(done), 10)), 0o644)
		return
	}
	if len(w.savedProgress) >= maxCheckpoints {
		clear(w.savedProgress)
	}
	w.savedProgress[k] = done
}

// restoreCheckpoint returns the saved progress of a task, or 0 if there is none.
func (w *Worker) restoreCheckpoint(job model.JobID, task int) time.Duration {
	k := checkpointKey{job, task}
	if w.opts.Checkpoints == "" {
		return w.savedProgress[k]
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
