// Package health distinguishes unhealthy workers from faulty jobs. It does not
// read the clock: callers pass the current time.
//
// A single failed task does not show whether the worker or the job is at fault.
// A job that fails on several workers is at fault, and its failures no longer
// count against these workers. A worker on which several different jobs failed
// in a row, with no success in between, is suspended, and probed with a job
// after a delay.
package health

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Limits of suspension.
const (
	// failuresToSuspend is the number of different jobs that must fail in a row
	// on a worker to suspend it.
	failuresToSuspend = 3
	minProbeDelay     = 30 * time.Second
	maxProbeDelay     = 10 * time.Minute
)

// worker holds the failures and the suspension of one worker.
type worker struct {
	// failedJobs lists the different jobs that failed on the worker since its
	// last success, in order.
	failedJobs []model.JobID
	suspended  bool
	probeDelay time.Duration // delay before the next probe
	probeAfter time.Time     // time from which a suspended worker is probed
	probing    bool          // the suspension is over, but the next failure suspends it again
}

// Tracker tracks the health of the workers of one zone. The zero value is empty
// and ready for use. It is not safe for concurrent use.
type Tracker struct {
	workers      map[string]*worker
	workersByJob map[model.JobID][]string // workers against which a job's failures count
}

func (t *Tracker) worker(name string) *worker {
	if t.workers == nil {
		t.workers = map[string]*worker{}
		t.workersByJob = map[model.JobID][]string{}
	}
	w := t.workers[name]
	if w == nil {
		w = &worker{probeDelay: minProbeDelay}
		t.workers[name] = w
	}
	return w
}

// RecordSuccess records that a task succeeded on a worker. It clears the
// worker's failures and suspension.
func (t *Tracker) RecordSuccess(name string) {
	w := t.worker(name)
	for _, j := range w.failedJobs {
		t.unlink(j, name)
	}
	*w = worker{probeDelay: minProbeDelay}
}

// RecordFailure records that a task of a job failed on a worker. Further
// failures of the same job do not count.
func (t *Tracker) RecordFailure(id model.JobID, name string, now time.Time) {
	w := t.worker(name)
	for _, j := range w.failedJobs {
		if j == id {
			return
		}
	}
	w.failedJobs = append(w.failedJobs, id)
	t.workersByJob[id] = append(t.workersByJob[id], name)
	if w.probing || len(w.failedJobs) >= failuresToSuspend {
		t.suspend(w, now)
	}
}

func (t *Tracker) suspend(w *worker, now time.Time) {
	if w.suspended {
		return
	}
	w.suspended = true
	w.probing = false
	w.probeAfter = now.Add(w.probeDelay)
	w.probeDelay = min(2*w.probeDelay, maxProbeDelay)
}

// ClearJobFailures removes a job's failures from all workers, because the job
// is at fault: it failed on several of them. Workers that were suspended
// because of it are no longer suspended.
func (t *Tracker) ClearJobFailures(id model.JobID) {
	for _, name := range t.workersByJob[id] {
		w := t.workers[name]
		if w == nil {
			continue
		}
		w.failedJobs = withoutJob(w.failedJobs, id)
		if w.suspended && len(w.failedJobs) < failuresToSuspend {
			*w = worker{failedJobs: w.failedJobs, probeDelay: minProbeDelay}
		}
	}
	delete(t.workersByJob, id)
}

// unlink removes a worker from the workers against which a job's failures
// count.
func (t *Tracker) unlink(id model.JobID, name string) {
	rest := t.workersByJob[id][:0]
	for _, n := range t.workersByJob[id] {
		if n != name {
			rest = append(rest, n)
		}
	}
	if len(rest) == 0 {
		delete(t.workersByJob, id)
		return
	}
	t.workersByJob[id] = rest
}

func withoutJob(list []model.JobID, id model.JobID) []model.JobID {
	var out []model.JobID
	for _, j := range list {
		if j != id {
			out = append(out, j)
		}
	}
	return out
}

// Suspended reports whether a worker must get no work at now. Once the delay is
// over it ends the suspension and the worker gets work as a probe; if that
// fails, the next suspension is twice as long.
func (t *Tracker) Suspended(name string, now time.Time) bool {
	w := t.workers[name]
	if w == nil || !w.suspended {
		return false
	}
	if now.Before(w.probeAfter) {
		return true
	}
	w.suspended = false
	w.probing = true
	return false
}
