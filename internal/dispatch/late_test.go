package dispatch

import (
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// completeBehindCut starts the first step of a job, whose units need a worker each, on the
// given workers, cuts them off, and lets the runs complete there before the leases expire. It
// returns once the leader has ended the runs.
func (b *testBed) completeBehindCut(first batch.Step, ids ...string) {
	b.t.Helper()
	f := b.workers
	b.waitForFirstReports(ids...)
	second := unitStep(1, 8)
	second.DependsOn = []int{0}
	b.submit("/b/", "j1", first, second)
	onWorkers := func(done func(w *fakeWorker) bool) func() bool {
		return func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, id := range ids {
				f.byID[id].advance()
				if !done(f.byID[id]) {
					return false
				}
			}
			return true
		}
	}
	b.waitFor(time.Second, "started", onWorkers(func(w *fakeWorker) bool { return len(w.running) == 1 }))
	for _, id := range ids {
		f.setDropCalls(id, true)
	}
	b.waitFor(time.Second, "completed behind the cut", onWorkers(func(w *fakeWorker) bool { return len(w.ends) == 1 }))
	f.mu.Lock()
	for _, id := range ids {
		b.is.Equal(f.byID[id].ends[0].How, batch.EndDone)
	}
	f.duration = 20 * time.Second
	f.mu.Unlock()
	b.waitFor(5*time.Second, "ended by the leader", func() bool {
		active := 0
		b.machine.View(func(v *batch.View) {
			for _, u := range v.Job("j1", "").UnitGroup(0, 0).Units {
				if u.State == batch.Active && u.Run == 1 {
					active++
				}
			}
		})
		return active == 0
	})
}

// reconnect ends the cut, and lets later runs be short.
func (b *testBed) reconnect(ids ...string) {
	b.workers.mu.Lock()
	b.workers.duration = 20 * time.Millisecond
	b.workers.mu.Unlock()
	for _, id := range ids {
		b.workers.setDropCalls(id, false)
	}
}

// A zone is cut off for longer than a lease, a run completes behind the cut, and its unit runs
// again elsewhere when the completion is reported. Guards against forgetting the
// completion: the step that depends on it would wait until the second run is over.
func TestCompletionBehindCutEndsSecondRun(t *testing.T) {
	f := newFakeWorkers(t, 150*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.completeBehindCut(unitStep(1, 8), "w1")
	f.mu.Lock()
	f.byID["w2"] = newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w2", 1)
	ref := batch.UnitRef{Job: "j1"}
	b.waitFor(5*time.Second, "started elsewhere", func() bool { return f.startedOn(ref) == "[w1 w2]" })
	b.reconnect("w1")
	b.waitFor(3*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.waitFor(time.Second, "second run stopped", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.byID["w2"].running) == 0
	})
	b.is.Equal(f.startedOn(ref), "[w1 w2]")
}

// As above, with a unit that still waits for room. Guards against starting it again.
func TestCompletionBehindCutEndsWait(t *testing.T) {
	f := newFakeWorkers(t, 150*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.completeBehindCut(unitStep(1, 8), "w1")
	b.reconnect("w1")
	b.waitFor(3*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.is.Equal(f.startedOn(batch.UnitRef{Job: "j1"}), "[w1]")
}

// As above, with a gang. One completed member stands for all.
func TestGangCompletedBehindCut(t *testing.T) {
	f := newFakeWorkers(t, 150*time.Millisecond, "w1", "w2")
	b := newTestBed(t, f)
	b.completeBehindCut(wholeWorkerGang(2), "w1", "w2")
	b.reconnect("w2")
	b.waitFor(3*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	for i := range 2 {
		b.is.Equal(len(f.starts[batch.UnitRef{Job: "j1", Index: i}]), 1)
	}
}

// The worker that reports the completion drains, so no run can be recorded on it. Guards
// against acknowledging the completion, which the worker would forget: it counts once the unit
// runs elsewhere.
func TestCompletionBehindCutIsKeptByDrainingWorker(t *testing.T) {
	f := newFakeWorkers(t, 150*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.completeBehindCut(unitStep(1, 8), "w1")
	b.apply(&batch.Command{Worker: &batch.WorkerChange{Worker: batch.Worker{
		ID: "w1", Incarnation: 1, Address: "w1", Service: "desk", Rack: "r1", Draining: true,
	}}})
	f.setDropCalls("w1", false)
	b.waitFor(2*time.Second, "reported", func() bool {
		a := b.leadership.agent("w1")
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.lateCompletionsOpen
	})
	f.mu.Lock()
	b.is.Equal(len(f.byID["w1"].ends), 1)
	f.byID["w2"] = newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w2", 1)
	b.waitFor(5*time.Second, "started elsewhere", func() bool { return f.startedOn(batch.UnitRef{Job: "j1"}) == "[w1 w2]" })
	b.reconnect()
	b.waitFor(idleCheckInterval+2*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
}
