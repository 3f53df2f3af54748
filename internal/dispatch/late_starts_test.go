package dispatch

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// withholdFirstStart starts a job whose first start w1 does not answer and may carry out late. The
// start is sent again, and the run begins.
func withholdFirstStart(t *testing.T) (*testBed, batch.UnitRef) {
	f := newFakeWorkers(t, time.Minute, "w1")
	f.byID["w1"].withholdStarts = 1
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(1, 8))
	ref := batch.UnitRef{Job: "j1"}
	b.waitForRun("w1", runKey{ref, 1})
	return b, ref
}

// leave drains w1 and removes it. Its next life does not announce itself yet.
func (b *testBed) leave() {
	b.t.Helper()
	b.apply(&batch.Command{Worker: &batch.WorkerChange{Worker: batch.Worker{ID: "w1", Incarnation: 1, Address: "w1", Service: "desk", Draining: true}}})
	b.workers.mu.Lock()
	b.workers.byID["w1"] = newFakeWorker(2)
	b.workers.mu.Unlock()
	b.apply(&batch.Command{Worker: &batch.WorkerChange{Worker: batch.Worker{ID: "w1"}, Removed: true}})
	b.waitFor(time.Second, "removal seen", func() bool { return b.leadership.agent("w1") == nil })
}

// refusesDelayed hands w1 the late start and checks that the worker refuses it.
func (b *testBed) refusesDelayed() {
	b.t.Helper()
	var refused *workerapi.OrderRefusedError
	if err := b.workers.tryDelayed("w1"); !errors.As(err, &refused) {
		b.t.Fatalf("late start was answered with %v", err)
	}
}

// A worker leaves and starts again under its id, and a start for its earlier life is carried out late.
// Guards against two runs of the unit at the same time: it had been started elsewhere.
func TestLateStartReachesNextLifeOfWorkerThatLeft(t *testing.T) {
	b, ref := withholdFirstStart(t)
	b.addWorker("w2")
	b.waitForFirstReports("w2")
	b.leave()
	time.Sleep(2 * idleInterval) // for plans
	b.is.Equal(b.workers.startedOn(ref), "[w1]")
	b.announce("w1", 2)
	b.waitForFirstReports("w1")
	b.refusesDelayed()
	b.waitFor(2*time.Second, "started again", func() bool { return b.unit(ref).State == batch.Active && b.unit(ref).Run == 2 })
	b.is.Equal(b.unit(ref).Crashes, nil) // the worker left; it has not crashed
}

// The worker does not come back. Guards against a unit that waits for that without end.
func TestUnitOfWorkerThatLeftWaitsForLateStart(t *testing.T) {
	b, ref := withholdFirstStart(t)
	b.addWorker("w2")
	b.waitForFirstReports("w2")
	b.leave()
	time.Sleep(2 * idleInterval) // for plans
	b.is.Equal(b.workers.startedOn(ref), "[w1]")
	b.timeShift.Add(int64(maxOrderDelay))
	b.waitFor(2*time.Second, "started elsewhere", func() bool { return b.workers.startedOn(ref) == "[w1 w2]" })
}

// All starts were answered. Guards against a delay that has no reason.
func TestUnitOfWorkerThatLeftStartsAtOnce(t *testing.T) {
	f := newFakeWorkers(t, time.Minute, "w1")
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(1, 8))
	ref := batch.UnitRef{Job: "j1"}
	b.waitForRun("w1", runKey{ref, 1})
	b.addWorker("w2")
	b.waitForFirstReports("w2")
	b.leave()
	b.waitFor(time.Second, "started elsewhere", func() bool { return b.workers.startedOn(ref) == "[w1 w2]" })
}

// A run is stopped, or completes, and its worker crashes or leaves and starts again under its id.
// Guards against a late start of that run in the next life, which has seen neither its stop nor its end.
func TestLateStartOfEndedRunIsFenced(t *testing.T) {
	ends := map[string]func(b *testBed, k runKey){
		"stopped": func(b *testBed, k runKey) {
			b.addWorker("w2")
			b.waitForFirstReports("w2")
			b.leadership.agent("w1").stop(k)
		},
		"done": func(b *testBed, k runKey) {
			b.workers.mu.Lock()
			defer b.workers.mu.Unlock()
			b.workers.byID["w1"].end(k, batch.EndDone)
		},
	}
	for name, end := range ends {
		for _, leaves := range []bool{false, true} {
			t.Run(name+map[bool]string{false: "Crash", true: "Leave"}[leaves], func(t *testing.T) {
				b, ref := withholdFirstStart(t)
				k := runKey{ref, 1}
				end(b, k)
				b.waitFor(2*time.Second, "ended", func() bool { u := b.unit(ref); return u.State == batch.Done || u.Run > 1 })
				b.waitFor(2*time.Second, "order forgotten", func() bool {
					a := b.leadership.agent("w1")
					a.mu.Lock()
					defer a.mu.Unlock()
					return name == "done" || a.orders[k] == nil
				})
				if leaves {
					b.leave()
				} else {
					b.workers.mu.Lock()
					b.workers.byID["w1"] = newFakeWorker(2)
					b.workers.mu.Unlock()
				}
				b.announce("w1", 2)
				b.waitFor(2*time.Second, "next life in use", func() bool {
					a := b.leadership.agent("w1")
					return a != nil && a.workerRecord().Incarnation == 2
				})
				b.waitForFirstReports("w1")
				b.refusesDelayed()
			})
		}
	}
}

// Another leader has taken over before the worker leaves. Guards against a late start of the leader
// before, which the new one does not know of.
func TestLateStartOfEarlierLeaderIsRefused(t *testing.T) {
	b, _ := withholdFirstStart(t)
	b.leadership.Close()
	b.open()
	b.waitForFirstReports("w1")
	b.leave()
	b.announce("w1", 2)
	b.waitFor(2*time.Second, "next life in use", func() bool { return b.leadership.agent("w1") != nil })
	b.waitForFirstReports("w1")
	b.refusesDelayed()
}
