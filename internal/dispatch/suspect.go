package dispatch

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
)

const (
	// longTest is the time for which a unit that was suspected more than once has its worker
	// to itself. A unit that was suspected once has it for provenAfter.
	longTest = time.Minute
	// silentStartsFree is the number of workers that may stop answering under a unit before
	// its starts are delayed. It may be the cause although no crash is ever seen.
	silentStartsFree = 3
	// initialSilentDelay is the first delay, from the last start; it doubles with each
	// further worker, up to maxSilentDelay.
	initialSilentDelay = 15 * time.Second
	maxSilentDelay     = 4 * time.Minute
)

// suspectTests are the runs of suspected units that have not proved themselves.
type suspectTests struct {
	workers map[string]bool // workers on which they run; nothing else starts there
	jobs    map[string]bool
}

func newSuspectTests() *suspectTests {
	return &suspectTests{workers: map[string]bool{}, jobs: map[string]bool{}}
}

// add adds an active run if it is a test.
func (t *suspectTests) add(p *planner, r *runInfo) {
	suspicion := r.unit.Crashes.Suspicion()
	if suspicion == 0 {
		return
	}
	if suspicion > 1 {
		if p.leadership.cfg.TimeOfDayMS()-r.unit.RecordedMS >= longTest.Milliseconds() {
			return
		}
	} else if a := p.leadership.agent(r.unit.Worker); a != nil && a.atWork(r.key) >= provenAfter {
		return
	}
	t.workers[r.unit.Worker] = true
	t.jobs[r.key.unit.Job] = true
}

// mark marks the groups whose job has a test in progress.
func (t *suspectTests) mark(groups []*place.Group) {
	for _, g := range groups {
		g.Tested = t.jobs[g.Job]
	}
}

// atWork returns for how long the worker's reports have shown a run.
func (a *agent) atWork(k runKey) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evidenceOf(k).atWork
}

// restartAfterMS returns the time before which a waiting unit does not start, Unix ms; 0 if
// it may start at once.
func restartAfterMS(u *batch.Unit) int64 {
	n := u.Crashes.SilentWorkers() - silentStartsFree
	if n < 0 {
		return 0
	}
	delay := maxSilentDelay
	if n < 4 { // later doublings exceed the limit
		delay = min(initialSilentDelay<<n, maxSilentDelay)
	}
	return u.RecordedMS + delay.Milliseconds()
}
