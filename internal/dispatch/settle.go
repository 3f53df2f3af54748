package dispatch

import "time"

// A new leader knows the committed runs but not which of them have ended meanwhile: it
// learns that from the first answer of each worker. A plan from the answers of a few
// workers takes the others for unusable and what ran there for running. It stops runs to
// make room that is already free elsewhere, and starts units away from their data.
const (
	// settleTimeout bounds the time in which a new leader only listens.
	settleTimeout = 500 * time.Millisecond
	// settledShare is the share of the workers whose first call must have ended. The
	// calls to workers that are cut off end only with callTimeout.
	settledShare = 0.95
	// maxSettleTimeout bounds the time in which a new leader listens while first calls still
	// wait for their turn: a worker that was not asked yet is not one that does not answer.
	maxSettleTimeout = 2 * time.Second
	// partlySettledShare is the share of the workers that does after settleTimeout if the calls to all
	// workers with runs have had their turn: the others are idle, and so many are room enough.
	partlySettledShare = 0.35
)

// settle reports whether the leader may start and stop runs: its first calls to the
// workers have ended, or it has waited for settleTimeout. Once true, it stays true.
// Only the goroutine of run calls it.
func (l *Leadership) settle() bool {
	if l.settled {
		return true
	}
	waited := l.cfg.Now().Sub(l.startedAt)
	contacted, recorded := l.countContacted()
	share := settledShare
	if waited >= settleTimeout && l.calls.queued(callForRuns) == 0 {
		share = partlySettledShare
		if l.calls.queued(callOther) == 0 {
			share = 0
		}
	}
	l.settled = waited >= maxSettleTimeout || float64(contacted) >= share*float64(recorded)
	if l.settled {
		l.log.Info("planning begins", "workers", recorded, "contacted", contacted, "waitedMS", waited.Milliseconds(), "lagMS", l.load.current().Milliseconds())
	}
	return l.settled
}

// countContacted returns the number of recorded workers, and of those whose first call
// has ended.
func (l *Leadership) countContacted() (contacted, recorded int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.agents {
		a.mu.Lock()
		if a.synced || a.superseded || a.unansweredCalls > 0 {
			contacted++
		}
		a.mu.Unlock()
	}
	return contacted, len(l.agents)
}
