package dispatch

import (
	"context"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// A leader that was paused for seconds may have been replaced without knowing it. Commits
// fail under its epoch, but a worker that the next leader cannot reach would still follow
// its orders. The next leader counts the earlier leases as expired after one maximum lease
// and maxStepDownTime, so an earlier one must not extend them later than that. Hence a
// leader extends leases and sends starts only for a while after it was certainly the leader.
// That while includes the time for which its machine was suspended, which the clock of
// package time leaves out.
const (
	// confirmInterval is the time after which an idle leader confirms its leadership again.
	// Each confirmation costs a round of heartbeats.
	confirmInterval = 500 * time.Millisecond
	// confirmTimeout bounds one confirmation.
	confirmTimeout = time.Second
	// maxUnconfirmed is the time since the last confirmation after which no lease is extended
	// and no start is sent. It is shorter than maxStepDownTime, and longer than a leader that
	// is connected to a quorum takes for a confirmation.
	maxUnconfirmed = 2 * time.Second
)

// confirmed reports whether this was the leader at most maxUnconfirmed ago.
func (l *Leadership) confirmed() bool {
	at := l.confirmedAt.Load()
	return at != nil && l.cfg.Steady()-*at < maxUnconfirmed
}

// waitConfirmed waits until the leadership is confirmed. It returns false if ctx ends.
func (l *Leadership) waitConfirmed(ctx context.Context) bool {
	for !l.confirmed() {
		if !retry.Sleep(ctx, confirmInterval/5) {
			return false
		}
	}
	return true
}

// recordConfirmed records that this was the leader at a time of cfg.Steady.
func (l *Leadership) recordConfirmed(at time.Duration) {
	for {
		last := l.confirmedAt.Load()
		if last != nil && at <= *last || l.confirmedAt.CompareAndSwap(last, &at) {
			return
		}
	}
}

// keepConfirmed confirms the leadership whenever no commit has done so for a while.
func (l *Leadership) keepConfirmed() {
	defer l.wg.Done()
	for l.ctx.Err() == nil {
		if at := l.confirmedAt.Load(); at == nil || l.cfg.Steady()-*at >= confirmInterval {
			l.confirm()
		}
		retry.Sleep(l.ctx, confirmInterval/5)
	}
}

// confirm asks the group whether this is still the leader: the state that it confirms
// shows the epoch of each later leader.
func (l *Leadership) confirm() {
	began := l.cfg.Steady()
	ctx, cancel := context.WithTimeout(l.ctx, confirmTimeout)
	defer cancel()
	if err := l.cfg.Group.ReadIndex(ctx); err != nil {
		telemetry.Count("teaselpaddle_leadership_unconfirmed_total")
		l.log.V(1).Info("leadership could not be confirmed", "error", err.Error())
		return
	}
	var epoch uint64
	l.cfg.Machine.View(func(v *batch.View) { epoch, _ = v.Epoch() })
	if epoch == l.cfg.Epoch {
		l.recordConfirmed(began)
	}
}
