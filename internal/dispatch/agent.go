package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Times of the calls to a worker.
const (
	// holdWait is the longest wait for an end that a hold asks for. Longer waits
	// cost fewer calls, but show late that a run stands still.
	holdWait = time.Second
	// renewals is the least number of holds within one lease, so that a lost one
	// does not end it.
	renewals = 4
	// callTimeout bounds a call that does not wait. Worker and leader are
	// milliseconds apart, so a later answer means a broken connection.
	callTimeout = 600 * time.Millisecond
	// retryPause is the time between two tries of a call.
	retryPause = 150 * time.Millisecond
	// noteDelay is how long the ends of a worker that has become idle stay listed
	// there. A new run takes the news along at no cost of its own; workers that leave
	// wait for it.
	noteDelay = time.Second
	// maxLate is the longest time after which an order without an answer may
	// still be carried out.
	maxLate = 13 * time.Second
	// clockRate is the slowest rate of a worker's clock.
	clockRate = 0.98
	// leaseSlack covers the rounding of the clocks to milliseconds.
	leaseSlack = 100 * time.Millisecond
	// handover is the longest time for which a deposed leader may still extend
	// leases before it notices that it has no majority.
	handover = 3 * time.Second
)

// agent drives one life of a worker.
type agent struct {
	o      *Leadership
	log    logr.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}

	mu             sync.Mutex // guards all below
	w              batch.Worker
	looked         bool      // the worker has answered this leader
	gone           bool      // another life runs at its address
	replaced       bool      // so does another worker: nothing sent to this one arrives any more
	noted          int64     // ends up to this number are committed
	told           int64     // the worker has been told so of ends up to this number
	clockMS        int64     // the worker's clock
	clockAt        time.Time // when clockMS arrived
	untilMS        int64     // latest lease that was sent
	lastAnswer     time.Time
	failures       int // calls without an answer since the last answer
	suspendedUntil time.Time
	orders         map[runKey]*order
	reported       map[runKey]workerapi.UnitRun
	reportAt       time.Time            // when the request of the last report was sent
	endSeen        map[runKey]time.Time // when an end that is not committed was first reported
	pace           map[runKey]*progress
	past           record
	fences         []runKey // runs that may still begin although their worker's life ended
}

func (o *Leadership) newAgent(w batch.Worker, fences []runKey) *agent {
	ctx, cancel := context.WithCancel(o.ctx)
	a := &agent{
		o: o, log: o.log.WithValues("worker", w.ID, "life", w.Life), ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), w: w,
		orders: map[runKey]*order{}, reported: map[runKey]workerapi.UnitRun{}, pace: map[runKey]*progress{},
		endSeen: map[runKey]time.Time{},
		fences:  fences,
	}
	o.wg.Add(1)
	go a.run()
	return a
}

func (a *agent) rec() batch.Worker {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.w
}

func (a *agent) update(w batch.Worker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.w = w
}

// unanswered returns the runs whose start may still be carried out.
func (a *agent) unanswered() []runKey {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []runKey
	for k, od := range a.orders {
		if !od.missedAt.IsZero() && a.o.cfg.Now().Sub(od.missedAt) < maxLate {
			out = append(out, k)
		}
	}
	return append(out, a.fences...)
}

func (a *agent) target() workerapi.UnitWorker {
	return workerapi.UnitWorker{ID: a.w.ID, Address: a.w.Address}
}

func (a *agent) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run holds the leases until the agent ends.
func (a *agent) run() {
	defer a.o.wg.Done()
	if !a.fence() {
		return
	}
	for a.ctx.Err() == nil {
		if a.isReplaced() {
			a.endAll(batch.EndLost)
		}
		wait, needed := a.next()
		if !needed {
			select {
			case <-a.ctx.Done():
				return
			case <-a.wake:
			case <-time.After(idleInterval * 5):
			}
			continue
		}
		if !a.poll(wait) && !retry.Sleep(a.ctx, a.pause()) {
			return
		}
	}
}

// poll holds the lease, and waits for an end on the worker if a slot is free. If
// none is, it asks at once and waits here, where the end is noticed later.
func (a *agent) poll(wait time.Duration) bool {
	if wait == 0 {
		return a.hold(0)
	}
	if a.o.takeWait() {
		defer a.o.giveWait()
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

// pause grows with the failures, so that a dead worker costs few calls.
func (a *agent) pause() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(retryPause*time.Duration(max(a.failures, 1)), time.Second)
}

func (a *agent) isReplaced() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.replaced
}

// fence makes sure that starts sent to an earlier life are refused by this one.
func (a *agent) fence() bool {
	for len(a.fences) > 0 {
		k := a.fences[0]
		ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
		err := a.o.cfg.Client.Stop(ctx, a.target(), workerapi.UnitStop{Unit: k.unit, Run: k.run, Epoch: a.o.cfg.Epoch})
		cancel()
		var refused *workerapi.OrderRefusedError
		if err != nil && !errors.As(err, &refused) {
			a.log.V(1).Info("run of an earlier life could not be fenced yet", "run", k, "error", err.Error())
			if !retry.Sleep(a.ctx, retryPause) {
				return false
			}
			continue
		}
		a.mu.Lock()
		a.fences = a.fences[1:]
		a.mu.Unlock()
	}
	return true
}

// next returns how long the next hold waits, and whether one is needed.
func (a *agent) next() (time.Duration, bool) {
	active := len(a.activeRuns())
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gone {
		return 0, false
	}
	if !a.looked {
		return 0, true
	}
	open := 0
	for _, od := range a.orders {
		if !od.startAt.IsZero() && !od.over {
			open++
		}
	}
	if active == 0 && len(a.reported) == 0 && open == 0 {
		return 0, a.noted > a.told && a.o.cfg.Now().Sub(a.reportAt) >= noteDelay
	}
	for _, od := range a.orders {
		if !od.stoppedAt.IsZero() && od.stoppedAt.After(a.reportAt) {
			return 0, true
		}
	}
	return min(holdWait, a.o.cfg.MaxLease/renewals), true
}

// activeRuns returns the runs that the group records for this life.
func (a *agent) activeRuns() map[runKey]bool {
	active, _ := a.recordedRuns()
	return active
}

// recordedRuns returns the runs that the group records for this life, and for
// any life under this id. A start that was sent to an earlier life may have been
// carried out by this one.
func (a *agent) recordedRuns() (active, anyLife map[runKey]bool) {
	w := a.rec()
	active, anyLife = map[runKey]bool{}, map[runKey]bool{}
	a.o.cfg.Machine.View(func(v *batch.View) {
		v.EachActive(w.ID, func(ref batch.UnitRef, u *batch.Unit) {
			k := runKey{ref, u.Run}
			anyLife[k] = true
			if u.Life == w.Life {
				active[k] = true
			}
		})
	})
	return active, anyLife
}

// nowMS returns a lower bound of the worker's clock. The caller holds mu.
func (a *agent) nowMS(now time.Time) int64 {
	return a.clockMS + int64(clockRate*float64(now.Sub(a.clockAt).Milliseconds()))
}

// lease returns the end of a lease from now on, on the worker's clock, and notes
// that it was sent. It is 0, which extends nothing, before the worker's clock is
// known. A worker that does not answer is not sent a later end: any call may
// reach it, so its lease would never be known to be over.
func (a *agent) lease(now time.Time) int64 {
	if a.clockAt.IsZero() {
		return 0
	}
	if a.failures > 0 {
		return a.untilMS
	}
	until := a.nowMS(now) + a.o.cfg.MaxLease.Milliseconds()
	a.untilMS = max(a.untilMS, until)
	return until
}

// lapsed reports whether everything that this life ran before has certainly
// ended because its lease is over.
func (a *agent) lapsed(now time.Time) bool {
	if a.clockAt.IsZero() {
		// Leases of earlier offices are not known. They are no longer than the
		// longest one after the last moment at which a deposed leader gave one.
		limit := a.o.cfg.MaxLease.Seconds() / clockRate
		return now.Sub(a.o.began).Seconds() > limit+handover.Seconds()
	}
	return a.nowMS(now) > a.untilMS+leaseSlack.Milliseconds()
}

// hold extends the lease and takes in the report. It returns false if the call
// should not be repeated at once.
func (a *agent) hold(wait time.Duration) bool {
	now := a.o.cfg.Now()
	a.mu.Lock()
	h := workerapi.UnitHold{UntilMS: a.lease(now), Epoch: a.o.cfg.Epoch, Noted: a.noted, WaitMS: wait.Milliseconds()}
	t := a.target()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(a.ctx, wait+callTimeout)
	rep, err := a.o.cfg.Client.Hold(ctx, t, h)
	cancel()
	if err != nil {
		a.noteError(err)
		a.endLapsed()
		return false
	}
	return a.take(rep, now, h.Noted)
}

// noteError records a failed call.
func (a *agent) noteError(err error) {
	if a.ctx.Err() != nil {
		return
	}
	now := a.o.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var wrong *workerapi.WrongLifeError
	var sick *workerapi.UnhealthyError
	var refused *workerapi.OrderRefusedError
	switch {
	case errors.As(err, &wrong):
		if !a.gone {
			a.log.Info("another life answers at the worker's address")
		}
		a.gone, a.replaced = true, true
		a.o.Wake()
	case errors.As(err, &sick):
		a.suspendedUntil = now.Add(suspension)
		a.failures++
	case errors.As(err, &refused):
		a.lastAnswer = now
		if refused.Reason == workerapi.RefusedEpoch {
			a.log.Info("worker has seen a later epoch")
		}
	default:
		a.failures++
		if a.failures == 1 {
			a.log.Info("worker does not answer", "error", err.Error(), "answered", !a.lastAnswer.IsZero(),
				"lastAnswerMS", now.Sub(a.lastHeard()).Milliseconds())
			telemetry.Count("teaselpaddle_workers_lost_total")
		}
	}
}

// lastHeard is the time of the last answer to this leader, or the beginning of its leadership.
func (a *agent) lastHeard() time.Time {
	if a.lastAnswer.IsZero() {
		return a.o.began
	}
	return a.lastAnswer
}

func (a *agent) noteAnswer(now time.Time) {
	if a.failures > 0 {
		a.log.Info("worker answers again", "failures", a.failures)
	}
	a.failures = 0
	a.lastAnswer = now
}

// endLapsed ends the recorded runs of a worker whose lease is over.
func (a *agent) endLapsed() {
	now := a.o.cfg.Now()
	a.mu.Lock()
	over := a.lapsed(now)
	a.mu.Unlock()
	if over {
		a.endAll(batch.EndLapsed)
	}
}

// endAll ends the recorded runs of this life.
func (a *agent) endAll(how batch.Ending) {
	var ends []batch.End
	for k := range a.activeRuns() {
		a.mu.Lock()
		saved := a.reported[k].Saved
		a.mu.Unlock()
		ends = append(ends, batch.End{Unit: k.unit, Run: k.run, How: how, Saved: saved})
	}
	if len(ends) == 0 {
		return
	}
	a.log.Info("runs of the worker are over", "runs", len(ends), "how", how.String())
	if a.o.commitEnds(a.rec().ID, ends) {
		a.mu.Lock()
		a.looked = false // it is asked before anything starts there
		a.mu.Unlock()
		a.o.Wake()
	}
}
