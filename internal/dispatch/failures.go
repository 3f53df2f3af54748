package dispatch

import (
	"sync"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
)

// recentFailures holds the last failure of each unit for as long as a plan may avoid its worker. A new
// leader learns of failures from then on; for earlier ones, see planner.avoid.
type recentFailures struct {
	mu     sync.Mutex // guards byUnit
	byUnit map[batch.UnitRef]failure
}

type failure struct {
	worker string
	atMS   int64 // Unix ms
}

// add records the failed runs among the ends on a worker.
func (r *recentFailures) add(worker string, ends []batch.End, atMS int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range ends {
		if ends[i].How != batch.EndFailed {
			continue
		}
		if r.byUnit == nil {
			r.byUnit = map[batch.UnitRef]failure{}
		}
		r.byUnit[ends[i].Unit] = failure{worker, atMS}
	}
}

// current returns the failures that are recent enough, and drops the others.
func (r *recentFailures) current(nowMS int64) map[batch.UnitRef]failure {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out map[batch.UnitRef]failure
	for ref, f := range r.byUnit {
		if nowMS-f.atMS >= place.AvoidanceMS {
			delete(r.byUnit, ref)
			continue
		}
		if out == nil {
			out = map[batch.UnitRef]failure{}
		}
		out[ref] = f
	}
	return out
}

// avoid returns the worker that a waiting unit avoids, and since when, Unix ms. A unit that an earlier
// leader has seen fail avoids the worker of its last run, as if it had failed when this leader
// began.
func (p *planner) avoid(ref batch.UnitRef, u *batch.Unit) (worker string, sinceMS int64, ok bool) {
	if u.Failed == 0 {
		return "", 0, false
	}
	if f, known := p.failures[ref]; known {
		return f.worker, f.atMS, true
	}
	if u.RecordedMS < p.leadership.startedMS {
		return u.Worker, p.leadership.startedMS, true
	}
	return "", 0, false
}
