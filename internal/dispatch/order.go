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

var startTime = metrics.GetOrCreateHistogram("teaselpaddle_start_call_seconds")

// runKey names a run.
type runKey struct {
	unit batch.UnitRef
	run  int
}

// order is a run that this leader has told the worker to start or to stop.
type order struct {
	startAt   time.Time // first start message; zero if none was sent
	startedAt time.Time // answer to a start; zero if there was none
	stopAt    time.Time // first stop message; zero if none was sent
	stoppedAt time.Time // answer to a stop; zero if there was none
	missedAt  time.Time // last start message without an answer
	busy      bool      // a goroutine is sending
	refused   bool      // the worker will never carry out the start
	over      bool      // the run has ended there, or never will begin
	need      batch.Resources
}

// start sends a start until it is answered, the run is over, or a stop is sent.
func (a *agent) start(k runKey, need batch.Resources, payload, checkpoint string) {
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
		a.notify()
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
		if !retry.Sleep(a.ctx, retryPause) {
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
		a.notify()
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
		if !retry.Sleep(a.ctx, retryPause) {
			return
		}
	}
}
