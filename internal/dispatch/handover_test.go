package dispatch

import (
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// A worker's address changes a while after the leader began to lead, and the worker does
// not answer at first. Guards against ending its runs at once: the lease that the leader
// extended before the change is still valid.
func TestLeaseOutlivesChangeOfAddress(t *testing.T) {
	f := newFakeWorkers(t, 20*time.Second, "w1")
	f.byID["w1"].speed = 1 // reports progress
	b := newTestBed(t, f)
	b.leadership.Close()
	b.lease = time.Second
	b.open()
	b.waitForFirstReports("w1")
	b.submit("/b/", "j1", unitStep(1, 8))
	ref := batch.UnitRef{Job: "j1"}
	b.waitFor(time.Second, "started", f.startedOnce(ref))
	f.mu.Lock()
	f.byID["w2"] = newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w2", 1)
	b.waitForFirstReports("w2")
	time.Sleep(b.lease*102/100 + maxStepDownTime + 100*time.Millisecond) // beyond the leases of earlier leaders
	f.setDropCalls("w1", true)
	b.apply(&batch.Command{Worker: &batch.WorkerChange{Worker: batch.Worker{
		ID: "w1", Incarnation: 1, Address: "other", Service: "desk", Rack: "r1",
		Capacity: batch.Resources{CPU: 8000, MemoryMB: 8000, Accelerators: 8},
	}}})
	time.Sleep(b.lease / 2) // for calls to the new address; the lease is longer
	b.is.Equal(f.startedOn(ref), "[w1]")
	b.waitFor(10*time.Second, "started elsewhere once the lease has expired", func() bool { return f.startedOn(ref) == "[w1 w2]" })
}

// A plan was made before a report showed that a run had ended, and is carried out after the
// end was committed. Guards against a start of that run.
func TestEndedRunIsNotStartedByOlderPlan(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(1, 8))
	b.waitFor(time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.leadership.Close()
	f.mu.Lock()
	f.byID["w1"].fenced = map[batch.UnitRef]int{} // the worker has forgotten the acknowledged end
	f.mu.Unlock()
	b.open()
	b.waitForFirstReports("w1")
	k := runKey{batch.UnitRef{Job: "j1"}, 1}
	b.leadership.planner.reconcileRun(&runInfo{
		key: k, step: unitStep(1, 8), unit: batch.Unit{State: batch.Active, Run: 1, Worker: "w1", Incarnation: 1},
	})
	time.Sleep(200 * time.Millisecond) // for the start
	b.is.Equal(f.startedOn(k.unit), "[w1]")
}

// A worker lists a run both as in progress and as ended. Guards against acknowledging the
// end without committing it: the next report lists neither, and the run is started again.
func TestEndOfRunThatIsAlsoListedAsRunning(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, time.Second))
	k := runKey{batch.UnitRef{Job: "j1"}, 1}
	rep := &workerapi.UnitReport{Ends: []workerapi.UnitEnd{
		{Number: 1, Unit: k.unit, Run: k.run, How: batch.EndDone}, {Number: 2, Unit: k.unit, Run: k.run, How: batch.EndStopped},
	}}
	ends, last := recordedEnds(rep, map[runKey]bool{k: true}, map[runKey]bool{k: true})
	b.is.Equal(ends, []batch.End{{Unit: k.unit, Run: k.run, How: batch.EndDone}})
	b.is.Equal(last, int64(2))
}

// A worker reports that a run is done, and its leave or its next incarnation is recorded
// before the report arrives. Guards against declaring the run lost and starting it again.
func TestReportOnItsWayWhenWorkerIsGone(t *testing.T) {
	for name, restarted := range map[string]bool{"left": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			f := newFakeWorkers(t, 50*time.Millisecond, "w1")
			b := newTestBed(t, f)
			b.waitForFirstReports("w1")
			f.mu.Lock()
			w := f.byID["w1"]
			w.answerDelay = 250 * time.Millisecond
			f.byID["w2"] = newFakeWorker(1)
			f.mu.Unlock()
			b.submit("/b/", "j1", unitStep(1, 8))
			ref := batch.UnitRef{Job: "j1"}
			b.waitFor(time.Second, "run ended", func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return len(w.ends) == 1
			})
			b.announce("w2", 1)
			f.mu.Lock()
			f.byID["w1"] = newFakeWorker(2)
			f.mu.Unlock()
			if restarted {
				b.announce("w1", 2)
			} else {
				b.apply(&batch.Command{Worker: &batch.WorkerChange{Worker: batch.Worker{ID: "w1", Incarnation: 1}, Removed: true}})
			}
			b.waitFor(3*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
			b.is.Equal(f.startedOn(ref), "[w1]")
		})
	}
}

// A worker restarts while the first start message of a run is on its way. Guards against a
// next incarnation that is not fenced against the message, carries it out late, and works on
// a unit that has been started elsewhere.
func TestStartOnItsWayIsFencedInNextIncarnation(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, time.Second, "w1"))
	b.waitForFirstReports("w1")
	a := b.leadership.agent("w1")
	k := runKey{batch.UnitRef{Job: "j1"}, 1}
	a.mu.Lock()
	a.orders[k] = &order{startSentAt: b.now(), sending: true}
	a.mu.Unlock()
	b.is.Equal(a.unfencedRuns(), []runKey{k})
}

// A worker refuses a start because a later leader has spoken to it. Guards against a stop by
// the leader that was replaced: the later one may have started the run.
func TestReplacedLeaderStopsNothing(t *testing.T) {
	f := newFakeWorkers(t, time.Second, "w1")
	b := newTestBed(t, f)
	b.waitForFirstReports("w1")
	f.mu.Lock()
	f.byID["w1"].epoch = 1 << 20
	f.mu.Unlock()
	b.group.results.Lock() // the start is sent after that
	b.submit("/b/", "j1", unitStep(1, 8))
	b.waitFor(time.Second, "recorded", func() bool { return b.state("j1") == batch.Running })
	b.group.cutOff.Store(true) // the group follows the later leader
	b.group.results.Unlock()
	time.Sleep(3 * idleInterval)
	f.mu.Lock()
	defer f.mu.Unlock()
	b.is.Equal(len(f.byID["w1"].fenced), 0)
}
