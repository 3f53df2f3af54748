package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/work"
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

var startTime = metrics.GetOrCreateHistogram("teaselpaddle_start_call_seconds")

// runKey names a run.
type runKey struct {
	unit work.UnitRef
	run  int
}

// order is a run that this office has told the worker to start or to stop.
type order struct {
	startAt   time.Time // first start message; zero if none was sent
	startedAt time.Time // answer to a start; zero if there was none
	stopAt    time.Time // first stop message; zero if none was sent
	stoppedAt time.Time // answer to a stop; zero if there was none
	missedAt  time.Time // last start message without an answer
	busy      bool      // a goroutine is sending
	refused   bool      // the worker will never carry out the start
	over      bool      // the run has ended there, or never will begin
	need      work.Resources
}

// agent drives one life of a worker.
type agent struct {
	o      *Office
	log    logr.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}

	mu         sync.Mutex // guards all below
	w          work.Worker
	looked     bool // the worker has answered this office
	gone       bool // another life runs at its address
	replaced   bool // so does another worker: nothing sent to this one arrives any more
	noted      int64
	clockMS    int64     // the worker's clock
	clockAt    time.Time // when clockMS arrived
	untilMS    int64     // latest lease that was sent
	lastAnswer time.Time
	failures   int // calls without an answer since the last answer
	sickUntil  time.Time
	orders     map[runKey]*order
	reported   map[runKey]workerapi.UnitRun
	reportAt   time.Time // when the request of the last report was sent
	pace       map[runKey]*progress
	past       record
	fences     []runKey // runs that may still begin although their worker's life ended
}

func (o *Office) newAgent(w work.Worker, fences []runKey) *agent {
	ctx, cancel := context.WithCancel(o.ctx)
	a := &agent{
		o: o, log: o.log.WithValues("worker", w.ID, "life", w.Life), ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), w: w,
		orders: map[runKey]*order{}, reported: map[runKey]workerapi.UnitRun{}, pace: map[runKey]*progress{},
		fences: fences,
	}
	o.wg.Add(1)
	go a.run()
	return a
}

func (a *agent) rec() work.Worker {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.w
}

func (a *agent) update(w work.Worker) {
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

func (a *agent) poke() {
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
			a.endAll(work.EndLost)
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
		if !a.hold(wait) && !sleep(a.ctx, a.pause()) {
			return
		}
	}
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
			if !sleep(a.ctx, retryPause) {
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
		return 0, false
	}
	for _, od := range a.orders {
		if !od.stoppedAt.IsZero() && od.stoppedAt.After(a.reportAt) {
			return 0, true
		}
	}
	return min(holdWait, a.o.cfg.Bounds.MaxLease/renewals), true
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
	a.o.cfg.Machine.View(func(v *work.View) {
		v.EachActive(w.ID, func(ref work.UnitRef, u *work.Unit) {
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
	until := a.nowMS(now) + a.o.cfg.Bounds.MaxLease.Milliseconds()
	a.untilMS = max(a.untilMS, until)
	return until
}

// lapsed reports whether everything that this life ran before has certainly
// ended because its lease is over.
func (a *agent) lapsed(now time.Time) bool {
	if a.clockAt.IsZero() {
		// Leases of earlier offices are not known. They are no longer than the
		// longest one after the last moment at which a deposed leader gave one.
		limit := a.o.cfg.Bounds.MaxLease.Seconds() / clockRate
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
	return a.take(rep, now)
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
		a.sickUntil = now.Add(sickPause)
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

// lastHeard is the time of the last answer to this office, or its beginning.
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

// take commits what a report says and notes the rest.
func (a *agent) take(rep *workerapi.UnitReport, sent time.Time) bool {
	active, anyLife := a.recordedRuns()
	now := a.o.cfg.Now()
	a.mu.Lock()
	if rep.Life != 0 && rep.Life != a.w.Life {
		a.gone = true
		a.mu.Unlock()
		a.log.Info("worker lives another life", "reported", rep.Life)
		a.o.Wake()
		return false
	}
	a.noteAnswer(now)
	a.clockMS = rep.ClockMS
	a.clockAt = now
	first := !a.looked
	listed := map[runKey]bool{}
	reported := map[runKey]workerapi.UnitRun{}
	for _, r := range rep.Runs {
		reported[runKey{r.Unit, r.Run}] = r
		listed[runKey{r.Unit, r.Run}] = true
	}
	ends, noted := endsOf(rep, anyLife, listed)
	for k := range active {
		if listed[k] || !a.missing(k, sent) {
			continue
		}
		ends = append(ends, work.End{Unit: k.unit, Run: k.run, How: work.EndLost, Saved: a.reported[k].Saved})
	}
	a.observe(reported, now)
	a.judgeEnds(ends, now)
	a.mu.Unlock()

	if !a.o.commitEnds(a.rec().ID, ends) {
		return false
	}
	a.mu.Lock()
	a.noted = max(a.noted, noted)
	a.reported = reported
	a.reportAt = sent
	a.looked = true
	freed := false
	for _, e := range rep.Ends {
		if od := a.orders[runKey{e.Unit, e.Run}]; od != nil && !od.over {
			od.over, freed = true, true
		}
	}
	for k, od := range a.orders {
		if !od.over && !listed[k] && a.missing(k, sent) {
			od.over, freed = true, true
		}
	}
	var fence []runKey
	for k, od := range a.orders {
		switch {
		case active[k] || listed[k]:
		case od.settled(now):
			delete(a.orders, k)
		case !od.startAt.IsZero() && !od.over && !od.busy:
			fence = append(fence, k) // its start may still arrive
		}
	}
	for _, e := range ends {
		delete(a.pace, runKey{e.Unit, e.Run})
	}
	a.mu.Unlock()
	for _, k := range fence {
		a.stop(k)
	}
	a.stopStrays(reported, active)
	if first || freed || len(ends) > 0 {
		a.o.Wake()
	}
	return true
}

// endsOf returns the ends of recorded runs and the highest number listed.
func endsOf(rep *workerapi.UnitReport, recorded, listed map[runKey]bool) ([]work.End, int64) {
	var ends []work.End
	noted := int64(0)
	for _, e := range rep.Ends {
		noted = max(noted, e.Number)
		k := runKey{e.Unit, e.Run}
		if recorded[k] && !listed[k] {
			ends = append(ends, work.End{Unit: e.Unit, Run: e.Run, How: e.How, Saved: e.Saved})
		}
		listed[k] = true
	}
	return ends, noted
}

// missing reports whether a recorded run that a report does not list is
// certainly not there and never will be. sent is when the report was asked for.
func (a *agent) missing(k runKey, sent time.Time) bool {
	od := a.orders[k]
	if od == nil {
		return false // not told yet; redeliver sends it
	}
	if !od.stoppedAt.IsZero() && od.stoppedAt.Before(sent) {
		return true // fenced by the stop
	}
	if !od.startedAt.IsZero() && od.startedAt.Before(sent) {
		return true // it was there, and no late start can bring it back
	}
	return od.refused && od.missedAt.IsZero()
}

// settled reports whether nothing of an order can still happen.
func (od *order) settled(now time.Time) bool {
	return !od.busy && (od.startAt.IsZero() || od.over) && (od.missedAt.IsZero() || now.Sub(od.missedAt) > maxLate || !od.stoppedAt.IsZero())
}

// stopStrays stops what the worker runs without a record.
func (a *agent) stopStrays(reported map[runKey]workerapi.UnitRun, active map[runKey]bool) {
	fresh := a.activeRuns()
	for k := range reported {
		if !active[k] && !fresh[k] {
			a.stop(k)
		}
	}
}

// endLapsed ends the recorded runs of a worker whose lease is over.
func (a *agent) endLapsed() {
	now := a.o.cfg.Now()
	a.mu.Lock()
	over := a.lapsed(now)
	a.mu.Unlock()
	if over {
		a.endAll(work.EndLapsed)
	}
}

// endAll ends the recorded runs of this life.
func (a *agent) endAll(how work.Ending) {
	var ends []work.End
	for k := range a.activeRuns() {
		a.mu.Lock()
		saved := a.reported[k].Saved
		a.mu.Unlock()
		ends = append(ends, work.End{Unit: k.unit, Run: k.run, How: how, Saved: saved})
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

// start sends a start until it is answered, the run is over, or a stop is sent.
func (a *agent) start(k runKey, need work.Resources, payload, checkpoint string) {
	a.mu.Lock()
	od := a.orders[k]
	if od == nil {
		od = &order{}
		a.orders[k] = od
	}
	if od.busy || !od.stopAt.IsZero() || od.refused || !od.startedAt.IsZero() {
		a.mu.Unlock()
		return
	}
	od.busy = true
	od.need = need
	if od.startAt.IsZero() {
		od.startAt = a.o.cfg.Now()
	}
	a.mu.Unlock()
	a.o.wg.Add(1)
	go func() {
		defer a.o.wg.Done()
		a.sendStart(k, od, payload, checkpoint)
		a.mu.Lock()
		od.busy = false
		a.mu.Unlock()
		a.poke()
	}()
}

func (a *agent) sendStart(k runKey, od *order, payload, checkpoint string) {
	for tries := 0; a.ctx.Err() == nil; tries++ {
		a.mu.Lock()
		if !od.stopAt.IsZero() || a.gone || tries > 0 && a.lapsed(a.o.cfg.Now()) {
			a.mu.Unlock()
			return
		}
		s := workerapi.UnitStart{
			Unit: k.unit, Run: k.run, Payload: payload, UntilMS: a.lease(a.o.cfg.Now()),
			Epoch: a.o.cfg.Epoch, Checkpoint: checkpoint,
		}
		t := a.target()
		a.mu.Unlock()
		ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
		began := time.Now()
		err := a.o.cfg.Client.Start(ctx, t, s)
		cancel()
		startTime.UpdateDuration(began)
		if !a.noteStart(k, od, err) {
			return
		}
		telemetry.Count("teaselpaddle_start_retries_total")
		if !sleep(a.ctx, retryPause) {
			return
		}
	}
}

// noteStart records the answer to a start. It returns true if it is sent again.
func (a *agent) noteStart(k runKey, od *order, err error) bool {
	now := a.o.cfg.Now()
	if err == nil {
		a.mu.Lock()
		od.startedAt = now
		a.noteAnswer(now)
		a.mu.Unlock()
		return false
	}
	a.noteError(err)
	a.log.Info("start not taken", "job", k.unit.Job, "unit", k.unit, "run", k.run, "error", err.Error())
	var refused *workerapi.OrderRefusedError
	var sick *workerapi.UnhealthyError
	var none *workerapi.NoAnswerError
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case errors.As(err, &refused):
		// A refusal of one message says nothing of an earlier one without an
		// answer, so such a run is stopped before it counts as not begun.
		od.refused = true
		telemetry.Count("teaselpaddle_starts_refused_total{reason=\"" + string(refused.Reason) + "\"}")
		return false
	case errors.As(err, &sick):
		od.refused = true
		return false
	case errors.As(err, &none):
		od.missedAt = now
		return true
	}
	return false
}

// stop sends a stop until it is answered. Several calls send one.
func (a *agent) stop(k runKey) {
	a.mu.Lock()
	od := a.orders[k]
	if od == nil {
		od = &order{}
		a.orders[k] = od
	}
	if !od.stopAt.IsZero() || a.gone {
		a.mu.Unlock()
		return
	}
	od.stopAt = a.o.cfg.Now()
	a.mu.Unlock()
	a.o.wg.Add(1)
	go func() {
		defer a.o.wg.Done()
		a.sendStop(k, od)
		a.poke()
	}()
}

func (a *agent) sendStop(k runKey, od *order) {
	for a.ctx.Err() == nil {
		a.mu.Lock()
		t := a.target()
		over := a.gone
		a.mu.Unlock()
		if over {
			return
		}
		ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
		err := a.o.cfg.Client.Stop(ctx, t, workerapi.UnitStop{Unit: k.unit, Run: k.run, Epoch: a.o.cfg.Epoch})
		cancel()
		var refused *workerapi.OrderRefusedError
		if err == nil || errors.As(err, &refused) {
			a.mu.Lock()
			od.stoppedAt = a.o.cfg.Now()
			a.mu.Unlock()
			return
		}
		a.noteError(err)
		telemetry.Count("teaselpaddle_stop_retries_total")
		if !sleep(a.ctx, retryPause) {
			return
		}
	}
}
