package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// panicking is a client whose calls to one worker panic.
type panicking struct {
	workerapi.UnitClient
	worker                  string
	onStart, onStop, onHold atomic.Bool
}

func (p *panicking) check(w workerapi.UnitWorker, on *atomic.Bool) {
	if w.ID == p.worker && on.Load() {
		panic("unexpected answer")
	}
}

func (p *panicking) Start(ctx context.Context, w workerapi.UnitWorker, o workerapi.UnitStart) error {
	p.check(w, &p.onStart)
	return p.UnitClient.Start(ctx, w, o)
}

func (p *panicking) Stop(ctx context.Context, w workerapi.UnitWorker, o workerapi.UnitStop) error {
	p.check(w, &p.onStop)
	return p.UnitClient.Stop(ctx, w, o)
}

func (p *panicking) Hold(ctx context.Context, w workerapi.UnitWorker, o workerapi.UnitHold) (*workerapi.UnitReport, error) {
	p.check(w, &p.onHold)
	return p.UnitClient.Hold(ctx, w, o)
}

// The handler of one worker meets an unexpected error at each call. Guards against a process that ends
// for it, against a lock that stays held, and against a worker that is never called again.
func TestUnexpectedErrorOfOneWorkerIsContained(t *testing.T) {
	panics := func(handler string) uint64 {
		return metrics.GetOrCreateCounter(`teaselpaddle_handler_panics_total{handler="` + handler + `"}`).Get()
	}
	for _, tc := range []struct {
		handler string
		on      func(p *panicking) *atomic.Bool
	}{
		{"worker", func(p *panicking) *atomic.Bool { return &p.onHold }},
		{"start", func(p *panicking) *atomic.Bool { return &p.onStart }},
		{"stop", func(p *panicking) *atomic.Bool { return &p.onStop }},
	} {
		t.Run(tc.handler, func(t *testing.T) {
			f := newFakeWorkers(t, 50*time.Millisecond, "w1", "w2")
			b := newTestBed(t, f)
			b.leadership.Close()
			p := &panicking{UnitClient: f, worker: "w1"}
			b.client = p
			b.lease = 5 * time.Second
			before := panics(tc.handler)
			if tc.handler == "stop" {
				f.byID["w1"].refusal = workerapi.RefusedCapacity // refused starts are fenced by stops
			}
			tc.on(p).Store(true)
			b.open()
			b.submit("/b/", "j1", unitStep(2, 8))
			b.waitFor(5*time.Second, "panics counted", func() bool { return panics(tc.handler) > before })
			tc.on(p).Store(false)
			f.mu.Lock()
			f.byID["w1"].refusal = ""
			f.mu.Unlock()
			b.waitFor(10*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
			b.is.Equal(len(f.startedTwice()), 0)
		})
	}
}

// Guards against a plan that meets an unexpected error and ends the process.
func TestUnexpectedErrorOfPlannerIsContained(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, 50*time.Millisecond, "w1"))
	err := b.leadership.contain("planner", func() { panic("unexpected state") })
	b.is.Equal(err.(*PanicError).Handler, "planner")
	b.is.NoErr(b.leadership.contain("planner", func() {}))
}
