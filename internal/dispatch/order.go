package dispatch

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

var startCallTime = metrics.GetOrCreateHistogram("teaselpaddle_start_call_seconds")

// runKey identifies a run.
type runKey struct {
	unit batch.UnitRef
	run  int
}

// order tracks the start and stop messages that this leader has sent for one run.
type order struct {
	startSentAt       time.Time // when the first start message was sent; zero if none was
	startAckedAt      time.Time // when a start was acknowledged; zero if none was
	stopSentAt        time.Time // when the first stop message was sent; zero if none was
	stopAckedAt       time.Time // when a stop was acknowledged; zero if none was
	startUnansweredAt time.Time // when a start message last went unanswered; zero if none did
	sending           bool      // a goroutine is sending start messages
	refused           bool      // the worker will never carry out the start
	staleEpoch        bool      // a later leader has spoken to the worker
	finished          bool      // the run has ended on the worker or will never begin there
	need              batch.Resources
}

// start sends start messages in the background until one is answered, the run's lease
// has expired, or a stop is sent. Calls for a run whose start is in progress, was
// answered, or was followed by a stop are ignored.
func (a *agent) start(k runKey, need batch.Resources, payload, checkpoint string) {
	a.mu.Lock()
	od := a.orders[k]
	if od == nil {
		od = &order{}
		a.orders[k] = od
	}
	if od.sending || !od.stopSentAt.IsZero() || od.refused || !od.startAckedAt.IsZero() {
		a.mu.Unlock()
		return
	}
	od.sending = true
	od.need = need
	if od.startSentAt.IsZero() {
		od.startSentAt = a.leadership.cfg.Now()
	}
	a.mu.Unlock()
	a.leadership.wg.Add(1)
	go func() {
		defer a.leadership.wg.Done()
		failed := a.leadership.contain("start", func() { a.sendStart(k, od, payload, checkpoint) }) != nil
		if failed {
			retry.Sleep(a.ctx, panicDelay)
		}
		a.mu.Lock()
		if failed && od.startAckedAt.IsZero() {
			od.startUnansweredAt = a.leadership.cfg.Now() // it may have been sent
		}
		od.sending = false
		a.mu.Unlock()
		a.notify()
	}()
}

func (a *agent) sendStart(k runKey, od *order, payload, checkpoint string) {
	for tries := 0; a.ctx.Err() == nil; tries++ {
		known := tries == 0 || a.isSameIncarnation()
		if !a.leadership.waitConfirmed(a.ctx) || !a.mayStart(k) || !a.mayRepeat(od, tries) {
			return // the next pass fences a barred run
		}
		if !known {
			if !retry.Sleep(a.ctx, retryInterval) {
				return
			}
			continue
		}
		release := a.acquireCall(a.ctx, callForRuns, 0)
		if release == nil {
			return
		}
		// The call may have waited for seconds.
		if !a.leadership.confirmed() || !a.mayStart(k) || !a.mayRepeat(od, tries) || a.isTooLate(od) {
			release()
			return
		}
		a.mu.Lock()
		s := workerapi.UnitStart{
			Unit: k.unit, Run: k.run, Payload: payload, UntilMS: a.extendLease(a.leadership.cfg.Now()),
			Epoch: a.leadership.cfg.Epoch, Checkpoint: checkpoint,
		}
		t := a.target()
		a.mu.Unlock()
		err := a.callStart(k, t, &s, release)
		if !a.recordStartResult(k, od, err) {
			return
		}
		telemetry.Count("teaselpaddle_start_retries_total")
		if !retry.Sleep(a.ctx, retryInterval) {
			return
		}
	}
}

// callStart sends one start message and releases the call.
func (a *agent) callStart(k runKey, t workerapi.UnitWorker, s *workerapi.UnitStart, release func()) error {
	defer release()
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	defer startCallTime.UpdateDuration(time.Now())
	known := false // stays false if the call panics
	a.leadership.lateStarts.begin(t.ID, k)
	defer func() { a.leadership.lateStarts.end(t.ID, k, known, a.leadership.cfg.Now()) }()
	err := a.leadership.cfg.Client.Start(ctx, t, *s)
	known = answered(err)
	return err
}

// maxDrainingDelay is the time for which a start may wait for its turn if the worker drains
// meanwhile. Nothing may be started there some seconds after its announcement.
const maxDrainingDelay = time.Second

// isTooLate reports whether a start has waited so long that its worker, which drains, must not get
// it any more. The next pass fences the run.
func (a *agent) isTooLate(od *order) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.worker.Draining || a.leadership.cfg.Now().Sub(od.startSentAt) < maxDrainingDelay {
		return false
	}
	od.refused = true
	return true
}

// mayRepeat reports whether a start may be sent after the given number of tries: no stop was
// sent, no other incarnation is known, and the lease under which it was sent is in force.
func (a *agent) mayRepeat(od *order, tries int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return od.stopSentAt.IsZero() && !a.superseded && (tries == 0 || !a.leaseExpired(a.leadership.cfg.Now()))
}

// isSameIncarnation asks the worker whether it is still the incarnation of this agent. A
// start that was not answered may have crashed the worker. If it is back under its id, it
// would take the start again, which no record counts.
func (a *agent) isSameIncarnation() bool {
	a.mu.Lock()
	t, incarnation := a.target(), a.worker.Incarnation
	a.mu.Unlock()
	release := a.acquireCall(a.ctx, callForRuns, 0)
	if release == nil {
		return false
	}
	defer release()
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	rep, err := a.leadership.cfg.Client.Hold(ctx, t, workerapi.UnitHold{Epoch: a.leadership.cfg.Epoch})
	var refused *workerapi.OrderRefusedError
	var unhealthy *workerapi.UnhealthyError
	if errors.As(err, &refused) || errors.As(err, &unhealthy) {
		return true // it refuses the start as well
	}
	if err != nil {
		a.recordCallError(err)
		return false
	}
	if rep.Incarnation != 0 && rep.Incarnation != incarnation {
		a.supersede(rep.Incarnation)
		return false
	}
	return true
}

// recordStartResult records the result of a start call. It returns true if the start
// must be sent again.
func (a *agent) recordStartResult(k runKey, od *order, err error) bool {
	now := a.leadership.cfg.Now()
	if err == nil {
		a.mu.Lock()
		od.startAckedAt = now
		a.recordAnswer(now)
		a.mu.Unlock()
		return false
	}
	a.recordCallError(err)
	a.log.Info("start not taken", "job", k.unit.Job, "unit", k.unit, "run", k.run, "error", err.Error())
	var refused *workerapi.OrderRefusedError
	var unhealthy *workerapi.UnhealthyError
	var noAnswer *workerapi.NoAnswerError
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case errors.As(err, &refused):
		// The worker refused this message but may still carry out an earlier,
		// unanswered one, so the run is stopped before it counts as never begun.
		od.refused, od.staleEpoch = true, refused.Reason == workerapi.RefusedStaleEpoch
		if !refused.Reason.Known() {
			a.recordFailure(k.unit.Job, now) // or the unit would be sent there again and again
		}
		telemetry.CountBy("teaselpaddle_starts_refused_total", "reason", string(refused.Reason))
		return false
	case errors.As(err, &unhealthy):
		od.refused = true
		return false
	case errors.As(err, &noAnswer):
		od.startUnansweredAt = now
		return true
	}
	return false
}

// stop sends stop messages in the background until one is answered. It is idempotent:
// further calls for the same run are ignored.
func (a *agent) stop(k runKey) {
	a.mu.Lock()
	od := a.orders[k]
	if od == nil {
		od = &order{}
		a.orders[k] = od
	}
	if !od.stopSentAt.IsZero() || a.superseded {
		a.mu.Unlock()
		return
	}
	od.stopSentAt = a.leadership.cfg.Now()
	a.mu.Unlock()
	a.leadership.wg.Add(1)
	go func() {
		defer a.leadership.wg.Done()
		for a.leadership.contain("stop", func() { a.sendStop(k, od) }) != nil && retry.Sleep(a.ctx, panicDelay) {
		}
		a.notify()
	}()
}

// callStop sends one stop message. ok is false if the agent was cancelled before.
func (a *agent) callStop(t workerapi.UnitWorker, k runKey) (ok bool, err error) {
	release := a.acquireCall(a.ctx, callStop, 0)
	if release == nil {
		return false, nil
	}
	defer release()
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	return true, a.leadership.cfg.Client.Stop(ctx, t, workerapi.UnitStop{Unit: k.unit, Run: k.run, Epoch: a.leadership.cfg.Epoch})
}

func (a *agent) sendStop(k runKey, od *order) {
	for a.ctx.Err() == nil {
		a.mu.Lock()
		t := a.target()
		superseded := a.superseded
		a.mu.Unlock()
		if superseded {
			return
		}
		ok, err := a.callStop(t, k)
		if !ok {
			return
		}
		var refused *workerapi.OrderRefusedError
		if err == nil || errors.As(err, &refused) {
			a.mu.Lock()
			od.stopAckedAt = a.leadership.cfg.Now()
			a.mu.Unlock()
			return
		}
		a.recordCallError(err)
		telemetry.Count("teaselpaddle_stop_retries_total")
		if !retry.Sleep(a.ctx, retryInterval) {
			return
		}
	}
}
