// Package health tells bad workers from bad jobs. It is pure: the caller passes
// the time in.
//
// A failed task alone does not say whose fault it is. A job that fails on
// several workers is at fault, and its failures are then taken back from the
// workers. A worker on which several different jobs failed in a row, with no
// success between them, is suspended and probed later.
package health

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Rules of suspension.
const (
	// failuresToSuspend is the number of different jobs that must fail in a row.
	failuresToSuspend = 3
	firstProbe        = 30 * time.Second
	longestProbe      = 10 * time.Minute
)

// worker is what is known of one worker.
type worker struct {
	// failed are the different jobs that failed here since the last success, in
	// order.
	failed    []model.JobID
	suspended bool
	probe     time.Duration // pause before the next probe
	until     time.Time     // a suspended worker is probed after this time
	probing   bool          // one more failure suspends it again
}

// Tracker follows the workers of one zone. The zero value is empty and ready. It
// is not safe for concurrent use.
type Tracker struct {
	workers map[string]*worker
	jobs    map[model.JobID][]string // workers that a job's failures count against
}

func (t *Tracker) worker(name string) *worker {
	if t.workers == nil {
		t.workers = map[string]*worker{}
		t.jobs = map[model.JobID][]string{}
	}
	w := t.workers[name]
	if w == nil {
		w = &worker{probe: firstProbe}
		t.workers[name] = w
	}
	return w
}

// Succeeded notes that a task of a job succeeded on a worker.
func (t *Tracker) Succeeded(name string) {
	w := t.worker(name)
	for _, j := range w.failed {
		t.forget(j, name)
	}
	*w = worker{probe: firstProbe}
}

// Failed notes that a task of a job failed on a worker.
func (t *Tracker) Failed(id model.JobID, name string, now time.Time) {
	w := t.worker(name)
	for _, j := range w.failed {
		if j == id {
			return
		}
	}
	w.failed = append(w.failed, id)
	t.jobs[id] = append(t.jobs[id], name)
	if w.probing || len(w.failed) >= failuresToSuspend {
		t.suspend(w, now)
	}
}

func (t *Tracker) suspend(w *worker, now time.Time) {
	if w.suspended {
		return
	}
	w.suspended = true
	w.probing = false
	w.until = now.Add(w.probe)
	w.probe = min(2*w.probe, longestProbe)
}

// JobAtFault takes a job's failures back from the workers: it failed on several.
func (t *Tracker) JobAtFault(id model.JobID) {
	for _, name := range t.jobs[id] {
		w := t.workers[name]
		if w == nil {
			continue
		}
		w.failed = without(w.failed, id)
		if w.suspended && len(w.failed) < failuresToSuspend {
			*w = worker{failed: w.failed, probe: firstProbe}
		}
	}
	delete(t.jobs, id)
}

// forget drops the link from a job to a worker.
func (t *Tracker) forget(id model.JobID, name string) {
	rest := t.jobs[id][:0]
	for _, n := range t.jobs[id] {
		if n != name {
			rest = append(rest, n)
		}
	}
	if len(rest) == 0 {
		delete(t.jobs, id)
		return
	}
	t.jobs[id] = rest
}

func without(list []model.JobID, id model.JobID) []model.JobID {
	var out []model.JobID
	for _, j := range list {
		if j != id {
			out = append(out, j)
		}
	}
	return out
}

// Suspended reports whether a worker takes no work at now. After the pause it
// takes work again as a probe: the next failure suspends it for twice as long.
func (t *Tracker) Suspended(name string, now time.Time) bool {
	w := t.workers[name]
	if w == nil || !w.suspended {
		return false
	}
	if now.Before(w.until) {
		return true
	}
	w.suspended = false
	w.probing = true
	return false
}
