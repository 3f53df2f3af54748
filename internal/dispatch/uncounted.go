package dispatch

import (
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// A queue whose address has changed may allow more failed runs than the state machine applies to the
// jobs that were submitted before. A failure that would conclude such a job early is committed as a
// lost run, and only this leader counts it: the next one may allow that many attempts more.

// uncountedFailures holds the failed runs that were committed as lost ones.
type uncountedFailures struct {
	mu   sync.Mutex // guards runs
	runs map[batch.UnitRef]map[int]struct{}
}

// before returns the number of uncounted failures other than that of the given run.
func (f *uncountedFailures) before(owner batch.UnitRef, run int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.runs[owner])
	if _, found := f.runs[owner][run]; found {
		n--
	}
	return n
}

// add records a failure. Adding it again has no effect.
func (f *uncountedFailures) add(owner batch.UnitRef, run int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs == nil {
		f.runs = map[batch.UnitRef]map[int]struct{}{}
	}
	if f.runs[owner] == nil {
		f.runs[owner] = map[int]struct{}{}
	}
	f.runs[owner][run] = struct{}{}
}

// retain drops the failures of jobs that are not live any more.
func (f *uncountedFailures) retain(live map[string]*batch.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for owner := range f.runs {
		if live[owner.Job] == nil {
			delete(f.runs, owner)
		}
	}
}

// uncount records the failure of a run with this leader and returns the end to commit in its place. The
// worker's health and the unit's next placement take account of the failure. The caller holds mu.
func (a *agent) uncount(e batch.End, owner batch.UnitRef, now time.Time) batch.End {
	l := a.leadership
	l.uncounted.add(owner, e.Run)
	l.failures.add(a.worker.ID, []batch.End{e}, l.cfg.TimeOfDayMS())
	a.recordFailure(e.Unit.Job, now)
	telemetry.Count("teaselpaddle_failures_counted_by_leader_total")
	a.log.Info("failure counted by the leader: the queue has moved and allows more attempts", "job", e.Unit.Job, "unit", e.Unit, "run", e.Run)
	e.How = batch.EndLost
	return e
}
