package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Timing of the calls to a worker. A hold is the call that extends the worker's lease
// and returns its report.
const (
	// maxHoldWait is the longest time for which a hold waits for a run to end. Longer
	// waits cost fewer calls but delay the detection of stalled runs.
	maxHoldWait = time.Second
	// holdsPerLease is the minimum number of holds within one lease, so that losing
	// one of them does not let the lease expire.
	holdsPerLease = 4
	// maxHoldWaitOfMany and holdsPerLeaseOfMany apply where there are more workers than
	// holds may wait.
	maxHoldWaitOfMany   = 2 * time.Second
	holdsPerLeaseOfMany = 3
	// callTimeout bounds a call that does not wait for an end. Worker and leader are
	// milliseconds apart, so a missing answer means a broken connection.
	callTimeout = 600 * time.Millisecond
	// retryInterval is the time between two attempts of a call.
	retryInterval = 150 * time.Millisecond
	// maxBackoff bounds the delay between calls to a worker that does not answer.
	maxBackoff = time.Second
	// idleCheckInterval is the time after which an agent that needed no hold checks again
	// whether it needs one.
	idleCheckInterval = idleInterval * 5
	// idleAckDelay is how long the leader waits before it acknowledges committed ends
	// to an idle worker. The delay lets the next hold for a new run carry the
	// acknowledgement at no extra cost. Workers that leave wait for it.
	idleAckDelay = time.Second
	// maxOrderDelay is the longest time after which a worker may still carry out an
	// order that it has not answered.
	maxOrderDelay = 13 * time.Second
	// minClockRate is the slowest rate of a worker's clock relative to the leader's.
	minClockRate = 0.98
	// leaseSlack covers the rounding of both clocks to milliseconds.
	leaseSlack = 100 * time.Millisecond
	// maxStepDownTime is the longest time for which a deposed leader may still extend
	// leases. It is above maxUnconfirmed, which bounds that.
	maxStepDownTime = 3 * time.Second
)

// agent drives one incarnation of a worker, that is, one start of its process.
type agent struct {
	leadership *Leadership
	log        logr.Logger
	ctx        context.Context
	cancel     context.CancelFunc
	holdCtx    context.Context // of holds; ends later than ctx, see retire
	abortHold  context.CancelFunc
	ended      chan struct{} // closed when run returns
	wake       chan struct{}
	begunAt    time.Time // when the agent was created
	// predecessor is the worker's earlier incarnation that this leader has driven, or nil.
	predecessor *lostIncarnation

	mu               sync.Mutex // guards the fields below
	worker           batch.Worker
	synced           bool  // a report shows what the worker runs and has ended, so runs may start there
	moreEnds         bool  // the last report may have left out ends
	superseded       bool  // another incarnation or another worker answers at the worker's address
	addressReused    bool  // the address belongs to a different worker, so no call reaches this one
	lastCommittedEnd int64 // number of the last end that is committed
	lastAckedEnd     int64 // number of the last end acknowledged to the worker
	// lateCompletionsOpen is set if the last report lists late completions that are not committed.
	lateCompletionsOpen bool
	workerClockMS       int64     // the worker's clock in its last report
	clockReadAt         time.Time // when workerClockMS was received
	leaseUntilMS        int64     // latest lease end that was sent, on the worker's clock
	lastAnswer          time.Time
	unansweredCalls     int       // calls without an answer since the last answer
	silentSince         time.Time // when the first of them failed; zero if there is none
	// mayHaveRestartedAt is when a call last went unanswered: the worker may have restarted
	// then. It is zero once a report to a hold sent later has shown this incarnation.
	mayHaveRestartedAt time.Time
	suspendedUntil     time.Time
	orders             map[runKey]*order
	reportedRuns       map[runKey]workerapi.UnitRun
	reportSentAt       time.Time            // when the hold that brought the last report was sent
	endFirstReported   map[runKey]time.Time // when each uncommitted end was first reported
	progress           map[runKey]*runProgress
	history            failureHistory
	pendingFences      []runKey // runs of earlier incarnations whose starts may still arrive
	// heldFailures holds the failures in the last report that are held back, see held_failures.go, and
	// when each was first reported.
	heldFailures map[runKey]time.Time

	// Used only by the goroutine of run.
	rates       map[runKey]*runRate // runs whose rate is measured
	ratesReadAt time.Time           // when the last report that left out no ends was read for rates
}

func (l *Leadership) newAgent(w batch.Worker, fences []runKey, predecessor *lostIncarnation) *agent {
	ctx, cancel := context.WithCancel(l.ctx)
	holdCtx, abortHold := context.WithCancel(l.ctx)
	a := &agent{
		holdCtx: holdCtx, abortHold: abortHold, ended: make(chan struct{}),
		leadership: l, log: l.log.WithValues("worker", w.ID, "life", w.Incarnation), ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), begunAt: l.cfg.Now(), worker: w,
		orders: map[runKey]*order{}, reportedRuns: map[runKey]workerapi.UnitRun{}, progress: map[runKey]*runProgress{},
		endFirstReported: map[runKey]time.Time{}, rates: map[runKey]*runRate{},
		pendingFences: fences, predecessor: predecessor,
	}
	l.wg.Add(1)
	go a.run()
	return a
}

func (a *agent) workerRecord() batch.Worker {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.worker
}

func (a *agent) setWorkerRecord(w batch.Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.worker = w
}

// unfencedRuns returns the runs whose start the worker, or its next incarnation, may still carry out.
func (a *agent) unfencedRuns() []runKey {
	w := a.workerRecord()
	out := a.leadership.lateStarts.runs(w.ID, a.leadership.cfg.Now())
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, od := range a.orders {
		if od.sending && !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}

// target returns the worker's address for a call. The caller holds mu.
func (a *agent) target() workerapi.UnitWorker {
	return workerapi.UnitWorker{ID: a.worker.ID, Address: a.worker.Address}
}

func (a *agent) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// retire ends the agent of a worker that was removed or has another incarnation or address.
// The report of a hold that is on its way may list ends, so the hold ends with callTimeout.
func (a *agent) retire() {
	a.cancel()
	time.AfterFunc(callTimeout, a.abortHold)
}

// hasEnded reports whether the agent can commit no more ends.
func (a *agent) hasEnded() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}

// run renews the lease and processes reports until the agent is cancelled.
func (a *agent) run() {
	defer a.leadership.wg.Done()
	defer a.leadership.Wake()
	defer close(a.ended)
	defer a.abortHold()
	for a.ctx.Err() == nil {
		if a.leadership.contain("worker", a.serve) != nil && !retry.Sleep(a.ctx, panicDelay) {
			return
		}
	}
}

// serve fences the earlier incarnations of the worker and then polls it until the agent is cancelled.
func (a *agent) serve() {
	if !a.fenceEarlierIncarnations() {
		return
	}
	for a.ctx.Err() == nil {
		if a.isAddressReused() {
			a.endRunsOfLostWorker()
		}
		wait, needed := a.nextHold()
		if !needed {
			select {
			case <-a.ctx.Done():
				return
			case <-a.wake:
			case <-time.After(idleCheckInterval):
			}
			continue
		}
		if !a.poll(wait) && !retry.Sleep(a.ctx, a.backoff()) {
			return
		}
	}
}

// poll sends a hold. If a wait slot is free, the hold waits on the worker for an
// end. Otherwise the hold returns at once and poll waits locally, which detects
// the end later. It returns false if the call failed.
func (a *agent) poll(wait time.Duration) bool {
	if wait == 0 {
		return a.hold(0)
	}
	if a.leadership.acquireWaitSlot() {
		defer a.leadership.releaseWaitSlot()
		return a.hold(wait)
	}
	telemetry.Count("teaselpaddle_holds_without_wait_total")
	if !a.hold(0) {
		return false
	}
	select {
	case <-a.ctx.Done():
	case <-a.wake:
	case <-time.After(wait / 2):
	}
	return true
}

// backoff returns the delay before the next call. It grows with the number of
// unanswered calls, so that a dead worker costs few calls.
func (a *agent) backoff() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(retryInterval*time.Duration(max(a.unansweredCalls, 1)), maxBackoff)
}

func (a *agent) isAddressReused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addressReused
}

// fenceEarlierIncarnations sends a stop for each start that was sent to an earlier
// incarnation, so that this incarnation refuses it. It returns false if the agent is
// cancelled.
func (a *agent) fenceEarlierIncarnations() bool {
	for {
		a.mu.Lock()
		if len(a.pendingFences) == 0 {
			a.mu.Unlock()
			return true
		}
		k, t := a.pendingFences[0], a.target()
		a.mu.Unlock()
		ok, err := a.callStop(t, k)
		if !ok {
			return false
		}
		var refused *workerapi.OrderRefusedError
		if err != nil && !errors.As(err, &refused) {
			a.log.V(1).Info("run of an earlier incarnation could not be fenced yet", "run", k, "error", err.Error())
			if !retry.Sleep(a.ctx, retryInterval) {
				return false
			}
			continue
		}
		a.log.Info("run of an earlier incarnation fenced", "job", k.unit.Job, "unit", k.unit, "run", k.run)
		telemetry.Count("teaselpaddle_incarnations_fenced_total")
		a.mu.Lock()
		a.pendingFences = a.pendingFences[1:]
		a.mu.Unlock()
	}
}

// nextHold returns how long the next hold waits for an end, and whether a hold is
// needed at all.
func (a *agent) nextHold() (time.Duration, bool) {
	active := len(a.activeRuns())
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.superseded {
		return 0, false
	}
	if !a.synced {
		return 0, true
	}
	if a.moreEnds && a.lastCommittedEnd > a.lastAckedEnd {
		return 0, true
	}
	unfinished := 0
	for _, od := range a.orders {
		if !od.startSentAt.IsZero() && !od.finished {
			unfinished++
		}
	}
	if active == 0 && len(a.reportedRuns) == 0 && unfinished == 0 {
		acksDue := (a.lastCommittedEnd > a.lastAckedEnd || a.lateCompletionsOpen) && a.leadership.cfg.Now().Sub(a.reportSentAt) >= idleAckDelay
		return 0, acksDue || a.unansweredCalls > 0 || a.leadership.cfg.Heartbeats.Unconfirmed(a.worker.ID, a.worker.Incarnation)
	}
	for _, od := range a.orders {
		if !od.stopAckedAt.IsZero() && od.stopAckedAt.After(a.reportSentAt) {
			return 0, true
		}
	}
	return a.leadership.holdWait(), true
}

// holdWait returns how long a hold may wait for an end. Where the workers outnumber the holds that
// may wait, each waits longer, so that calls do not use up the processor.
func (l *Leadership) holdWait() time.Duration {
	if limit := l.cfg.MaxWaitingHolds; limit > 0 && int(l.agentCount.Load()) > limit {
		return min(maxHoldWaitOfMany, l.cfg.MaxLease/holdsPerLeaseOfMany)
	}
	return min(maxHoldWait, l.cfg.MaxLease/holdsPerLease)
}

// activeRuns returns the active runs that the group has recorded for this incarnation.
func (a *agent) activeRuns() map[runKey]bool {
	active, _ := a.recordedRuns()
	return active
}

// recordedRuns returns the active runs that the group has recorded for this
// incarnation, and for any incarnation with this worker id. A start that was sent to
// an earlier incarnation may have been carried out by this one.
func (a *agent) recordedRuns() (active, anyIncarnation map[runKey]bool) {
	w := a.workerRecord()
	active, anyIncarnation = map[runKey]bool{}, map[runKey]bool{}
	a.leadership.cfg.Machine.View(func(v *batch.View) {
		v.EachActiveUnit(w.ID, func(ref batch.UnitRef, u *batch.Unit) {
			k := runKey{ref, u.Run}
			anyIncarnation[k] = true
			if u.Incarnation == w.Incarnation {
				active[k] = true
			}
		})
	})
	return active, anyIncarnation
}

// workerNowMS returns a lower bound of the worker's clock, ms. The caller holds mu.
func (a *agent) workerNowMS(now time.Time) int64 {
	return a.workerClockMS + int64(minClockRate*float64(now.Sub(a.clockReadAt).Milliseconds()))
}

// extendLease returns the end of a lease that begins now, in ms on the worker's
// clock, and records it as sent. Before the worker's clock is known, it returns 0,
// which extends nothing. While the worker does not answer, it repeats the last
// lease end: any call may still arrive, so with later lease ends the lease could
// never be known to have expired. It does so too while it is not certain that this is
// still the leader. The caller holds mu.
func (a *agent) extendLease(now time.Time) int64 {
	if a.clockReadAt.IsZero() {
		return 0
	}
	if a.unansweredCalls > 0 || !a.leadership.confirmed() {
		return a.leaseUntilMS
	}
	until := a.workerNowMS(now) + a.leadership.cfg.MaxLease.Milliseconds()
	a.leaseUntilMS = max(a.leaseUntilMS, until)
	return until
}

// leaseExpired reports whether the worker's lease has certainly expired, so that
// none of this incarnation's earlier runs is still in progress. The caller holds mu.
func (a *agent) leaseExpired(now time.Time) bool {
	if a.clockReadAt.IsZero() || a.leaseUntilMS == 0 {
		// This agent has granted no lease. Those of earlier leaders are not known, nor those of an
		// earlier agent for this incarnation, which ends when the worker's address changes. A
		// deposed leader may have granted one of the maximum length just before it stepped down.
		limit := a.leadership.cfg.MaxLease.Seconds() / minClockRate
		return now.Sub(a.begunAt).Seconds() > limit+maxStepDownTime.Seconds()
	}
	return a.workerNowMS(now) > a.leaseUntilMS+leaseSlack.Milliseconds()
}

// endsToAck returns the number of the last end that the next hold acknowledges, or 0 for
// none. A worker may restart under its id and numbers its ends from 1 again, so a number
// of this incarnation would make the next one forget ends that were never reported. Hence
// nothing is acknowledged twice, nor while the worker may have restarted. The caller
// holds mu.
func (a *agent) endsToAck() int64 {
	if a.lastCommittedEnd == a.lastAckedEnd || !a.mayHaveRestartedAt.IsZero() {
		return 0
	}
	return a.lastCommittedEnd
}

// hold sends a hold, which extends the lease, and processes the report. It returns
// false if the call should not be repeated at once.
func (a *agent) hold(wait time.Duration) bool {
	release := a.acquireCall(a.holdCtx, a.holdClass(), wait)
	if release == nil {
		return false
	}
	now := a.leadership.cfg.Now()
	a.mu.Lock()
	h := workerapi.UnitHold{UntilMS: a.extendLease(now), Epoch: a.leadership.cfg.Epoch, AckedEnds: a.endsToAck(), WaitMS: wait.Milliseconds()}
	t := a.target()
	a.mu.Unlock()
	rep, err := a.callHold(t, &h, wait, release)
	if err != nil && a.ctx.Err() != nil {
		return false // the next agent of the worker may have extended the lease
	}
	if err != nil {
		a.recordCallError(err)
		a.endRunsIfLeaseExpired()
		return false
	}
	return a.processReport(rep, now, h.AckedEnds)
}

// callHold sends one hold message and releases the call.
func (a *agent) callHold(t workerapi.UnitWorker, h *workerapi.UnitHold, wait time.Duration, release func()) (*workerapi.UnitReport, error) {
	defer release()
	ctx, cancel := context.WithTimeout(a.holdCtx, wait+callTimeout)
	defer cancel()
	return a.leadership.cfg.Client.Hold(ctx, t, *h)
}

// holdClass returns the class of a hold: leases of runs are extended first.
func (a *agent) holdClass() callClass {
	if len(a.activeRuns()) > 0 {
		return callForRuns
	}
	return callOther
}

// recordCallError updates the worker's state after a failed call.
func (a *agent) recordCallError(err error) {
	if a.ctx.Err() != nil {
		return
	}
	now := a.leadership.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var wrongWorker *workerapi.WrongWorkerError
	var unhealthy *workerapi.UnhealthyError
	var refused *workerapi.OrderRefusedError
	switch {
	case errors.As(err, &wrongWorker):
		if !a.superseded {
			a.log.Info("another worker answers at the worker's address")
		}
		a.superseded, a.addressReused = true, true
		a.leadership.Wake()
	case errors.As(err, &unhealthy):
		a.suspendedUntil = now.Add(initialSuspension)
		a.unansweredCalls++
		a.mayHaveRestartedAt = now
	case errors.As(err, &refused):
		a.lastAnswer = now
		if refused.Reason == workerapi.RefusedStaleEpoch {
			a.log.Info("worker has seen a later epoch")
		}
	default:
		a.unansweredCalls++
		a.mayHaveRestartedAt = now
		if a.unansweredCalls == 1 {
			a.silentSince = now
			a.leadership.silences.add(a.worker.ID, now, a.hasJustBegun(now))
			a.log.Info("worker does not answer", "error", err.Error(), "answered", !a.lastAnswer.IsZero(),
				"lastAnswerMS", now.Sub(a.lastContact()).Milliseconds())
			telemetry.Count("teaselpaddle_workers_lost_total")
		}
	}
}

// lastContact returns the time of the last answer to this leader, or the start of
// the leadership if there was none.
func (a *agent) lastContact() time.Time {
	if a.lastAnswer.IsZero() {
		return a.leadership.startedAt
	}
	return a.lastAnswer
}

func (a *agent) recordAnswer(now time.Time) {
	if a.unansweredCalls > 0 {
		a.log.Info("worker answers again", "failures", a.unansweredCalls)
	}
	a.unansweredCalls = 0
	a.silentSince = time.Time{}
	a.lastAnswer = now
}

// endRunsOfLostWorker commits the end of all recorded runs of a worker whose address belongs
// to another one.
func (a *agent) endRunsOfLostWorker() {
	w := a.workerRecord()
	active := a.activeRuns()
	if len(active) == 0 {
		return
	}
	if w.Draining {
		a.endRuns(active, func(runKey) batch.End { return batch.End{How: batch.EndLost} })
		return
	}
	a.mu.Lock()
	evidence := a.evidence()
	a.mu.Unlock()
	blame := a.leadership.recordCrash(&w, crashAddressReused, slices.Collect(maps.Keys(active)), evidence)
	a.endRuns(active, func(k runKey) batch.End { return crashEnd(k, blame) })
}

// endRunsIfLeaseExpired commits the end of the recorded runs if the worker's lease
// has expired.
func (a *agent) endRunsIfLeaseExpired() {
	now := a.leadership.cfg.Now()
	a.mu.Lock()
	expired := a.leaseExpired(now)
	a.mu.Unlock()
	if expired {
		a.endRuns(a.activeRuns(), func(k runKey) batch.End { return batch.End{How: batch.EndLeaseExpired, Silent: !a.isHeldBack(k)} })
	}
}

// endRuns commits the ends of runs of this incarnation with what endOf tells of each. It calls endOf
// with mu held.
func (a *agent) endRuns(runs map[runKey]bool, endOf func(runKey) batch.End) {
	if len(runs) == 0 {
		return
	}
	ends := make([]batch.End, 0, len(runs))
	a.mu.Lock()
	for k := range runs {
		e := endOf(k)
		e.Unit, e.Run, e.Checkpoint = k.unit, k.run, a.reportedRuns[k].Checkpoint
		ends = append(ends, e)
	}
	a.mu.Unlock()
	a.log.Info("ending all runs of the worker", "runs", len(ends), "how", ends[0].How.String())
	if a.leadership.commitEnds(a.workerRecord().ID, ends) {
		a.mu.Lock()
		a.synced = false // nothing starts there before the next report
		a.mu.Unlock()
		a.leadership.Wake()
	}
}
