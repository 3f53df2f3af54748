package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// testBed is a state machine with fake workers, two queues and a leader.
type testBed struct {
	is               *is.I
	t                *testing.T
	machine          *batch.Machine
	group            *localGroup
	workers          *fakeWorkers
	heartbeats       *Heartbeats
	leadership       *Leadership
	notified         atomic.Pointer[Leadership] // leadership, for the goroutines that apply entries
	waitingHoldLimit int
	measureSpeeds    bool
	preemption       place.Preemption
	client           workerapi.UnitClient // nil means workers
	log              logr.Logger
	lease            time.Duration
	timeShift        atomic.Int64 // by which the leader's clock is ahead, ns
	suspended        atomic.Int64 // time for which the leader's machine was suspended, ns
}

const testLease = 400 * time.Millisecond

func newTestBed(t *testing.T, workers *fakeWorkers) *testBed {
	b := &testBed{is: is.New(t), t: t, workers: workers, heartbeats: &Heartbeats{}, log: logr.Discard(), lease: testLease}
	b.machine = batch.New(b.wake)
	b.group = &localGroup{machine: b.machine}
	b.apply(&batch.Command{Publish: &batch.Config{
		Version: 1, Services: []batch.Service{{Name: "desk"}}, Document: []byte("{}"),
		Queues: []batch.Queue{
			{Name: "urgent", Host: "h", Prefix: "/u/", Priority: 0, MaxAttempts: 2, Service: "desk", Public: true},
			{Name: "batch", Host: "h", Prefix: "/b/", Priority: 2, MaxAttempts: 2, Service: "desk", Public: true},
		},
	}})
	for id := range workers.byID {
		b.announce(id, 1)
	}
	b.open()
	return b
}

// nextEpoch begins a leadership in the state machine.
func (b *testBed) nextEpoch() uint64 {
	return b.apply(&batch.Command{Lead: &batch.Lead{Instance: "test"}}).(uint64)
}

func (b *testBed) open() {
	epoch := b.nextEpoch()
	var client workerapi.UnitClient = b.workers
	if b.client != nil {
		client = b.client
	}
	b.leadership = Open(Config{
		Machine: b.machine, Group: b.group, Client: client, Epoch: epoch, Heartbeats: b.heartbeats, Log: b.log,
		MaxLease: b.lease, MaxWaitingHolds: b.waitingHoldLimit, Now: b.now, Steady: b.steady,
		MeasureSpeeds: b.measureSpeeds, Preemption: b.preemption,
	})
	b.notified.Store(b.leadership)
	b.t.Cleanup(b.leadership.Close)
}

func (b *testBed) wake() {
	if l := b.notified.Load(); l != nil {
		l.Wake()
	}
}

// now returns the leader's time.
func (b *testBed) now() time.Time { return time.Now().Add(time.Duration(b.timeShift.Load())) }

// waitForFirstReports waits until the leader has a report of each of the workers.
func (b *testBed) waitForFirstReports(ids ...string) {
	b.t.Helper()
	b.waitFor(time.Second, "first reports processed", func() bool {
		for _, id := range ids {
			a := b.leadership.agent(id)
			if a == nil {
				return false
			}
			a.mu.Lock()
			synced := a.synced
			a.mu.Unlock()
			if !synced {
				return false
			}
		}
		return true
	})
}

func (b *testBed) announce(id string, incarnation int64) { b.announceIn("", id, incarnation) }

// announceIn announces a worker in an availability zone.
func (b *testBed) announceIn(zone, id string, incarnation int64) {
	b.apply(&batch.Command{Worker: &batch.WorkerChange{Worker: batch.Worker{
		ID: id, Incarnation: incarnation, Address: id, Service: "desk", Rack: "r1", Zone: zone,
		Capacity: batch.Resources{CPU: 8000, MemoryMB: 8000, Accelerators: 8},
	}}})
	b.heartbeats.Record(id, incarnation, 0, time.Now().Add(time.Hour))
}

func (b *testBed) apply(c *batch.Command) any {
	b.t.Helper()
	entry, err := codec.Marshal(c)
	b.is.NoErr(err)
	result, err := b.group.Propose(context.Background(), entry)
	b.is.NoErr(err)
	return result
}

func (b *testBed) submit(path, id string, steps ...batch.Step) {
	b.t.Helper()
	v := b.apply(&batch.Command{Submit: &batch.Submit{
		Call: batch.Call{Host: "h", Path: path + id}, ID: id, Spec: batch.Spec{Payload: "p", Steps: steps}, AtMS: time.Now().UnixMilli(),
	}})
	b.is.Equal(v, batch.OK)
}

func (b *testBed) state(id string) batch.State {
	var s batch.State
	b.machine.View(func(v *batch.View) { s = v.Job(id, "").State })
	return s
}

// waitFor polls the condition and fails the test if it does not hold in time.
func (b *testBed) waitFor(d time.Duration, condition string, cond func() bool) {
	b.t.Helper()
	for end := time.Now().Add(d); !cond(); {
		if time.Now().After(end) {
			b.t.Fatalf("condition not met within %v: %s", d, condition)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func unitStep(n int, accelerators int64) batch.Step {
	return batch.Step{Count: n, Need: batch.Resources{CPU: 1000, MemoryMB: 100, Accelerators: accelerators}}
}

// Guards against a job that is completed before all of its units are, and against a
// step that starts before the step it depends on has ended.
func TestStepsRunInOrder(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, 50*time.Millisecond, "w1", "w2"))
	second := unitStep(3, 1)
	second.DependsOn = []int{0}
	b.submit("/b/", "j1", unitStep(4, 1), second)
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.is.Equal(len(b.workers.starts), 7)
}

// Guards against runs that stay recorded forever on a worker that stops answering,
// because each unanswered call extended the lease.
func TestRunsOfSilentWorkerStartElsewhere(t *testing.T) {
	f := newFakeWorkers(t, time.Second, "w1")
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(1, 8))
	ref := batch.UnitRef{Job: "j1"}
	b.waitFor(5*time.Second, "started", f.startedOnce(ref))
	f.mu.Lock()
	f.byID["w1"].dropCalls = true
	f.byID["w2"] = newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w2", 1)
	b.waitFor(5*time.Second, "completed on the other worker", func() bool { return b.state("j1") == batch.Completed })
	b.is.Equal(fmt.Sprint(f.starts[ref]), "[w1 w2]")
}

// Guards against a second run of a unit when the worker carried out the start but its
// answer was lost.
func TestLostStartAnswerStartsNoSecondRun(t *testing.T) {
	f := newFakeWorkers(t, 100*time.Millisecond, "w1", "w2")
	f.byID["w1"].loseStartAnswers = 2
	f.byID["w2"].loseStartAnswers = 2
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(2, 8))
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	for ref, workers := range f.starts {
		if len(workers) != 1 {
			t.Errorf("unit %v was started on %v", ref, workers)
		}
	}
}

// Guards against a new leader that restarts units whose runs from the previous leader
// are still in progress.
func TestNextLeaderTakesRunsOver(t *testing.T) {
	f := newFakeWorkers(t, 300*time.Millisecond, "w1", "w2")
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(4, 2))
	b.waitFor(5*time.Second, "started", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.starts) == 4
	})
	b.leadership.Close()
	b.open()
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	for ref, workers := range f.starts {
		if len(workers) != 1 {
			t.Errorf("unit %v was started on %v", ref, workers)
		}
	}
}

// Guards against a run of an earlier incarnation that stays recorded after its worker has
// restarted under the same id.
func TestWorkerRestart(t *testing.T) {
	f := newFakeWorkers(t, 200*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(1, 8))
	ref := batch.UnitRef{Job: "j1"}
	b.waitFor(5*time.Second, "started", f.startedOnce(ref))
	f.mu.Lock()
	f.byID["w1"] = newFakeWorker(2)
	f.mu.Unlock()
	b.announce("w1", 2)
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.is.Equal(len(f.starts[ref]), 2)
}

// Guards against an urgent job that waits although preemption could free its
// capacity, and against a preemption that counts as a failed attempt.
func TestUrgentJobPreempts(t *testing.T) {
	f := newFakeWorkers(t, 400*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.submit("/b/", "slow", unitStep(8, 1))
	b.waitFor(5*time.Second, "started", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.starts) == 8
	})
	gang := unitStep(2, 2)
	gang.Gang = true
	b.submit("/u/", "quick", gang)
	b.waitFor(300*time.Millisecond, "urgent job started", func() bool { return b.state("quick") == batch.Running })
	b.waitFor(5*time.Second, "both completed", func() bool {
		return b.state("quick") == batch.Completed && b.state("slow") == batch.Completed
	})
}

// Guards against a job that is retried forever because its units fail on every worker.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1", "w2")
	f.byID["w1"].failRuns = true
	f.byID["w2"].failRuns = true
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(1, 1))
	b.waitFor(5*time.Second, "failed", func() bool { return b.state("j1") == batch.Failed })
	b.is.Equal(len(f.starts[batch.UnitRef{Job: "j1"}]), 2)
}

// Guards against units that keep running after their job was cancelled.
func TestCancelledJobStops(t *testing.T) {
	f := newFakeWorkers(t, 5*time.Second, "w1")
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(3, 1))
	b.waitFor(5*time.Second, "started", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.byID["w1"].running) == 3
	})
	v := b.apply(&batch.Command{Cancel: &batch.Cancel{Call: batch.Call{Host: "h", Path: "/b/j1"}, ID: "j1", AtMS: 1}})
	b.is.Equal(v, batch.OK)
	b.waitFor(time.Second, "stopped", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.byID["w1"].running) == 0
	})
}

// Guards against a job that uses up its attempts on a worker that fails every run, and
// against that worker attracting every new unit because it is always free.
func TestFailingWorkerIsSuspended(t *testing.T) {
	f := newFakeWorkers(t, 100*time.Millisecond, "bad", "good")
	f.byID["bad"].failRuns = true
	b := newTestBed(t, f)
	for i := range 12 {
		b.submit("/b/", fmt.Sprint("j", i), unitStep(1, 4))
	}
	b.waitFor(10*time.Second, "all completed", func() bool {
		for i := range 12 {
			if b.state(fmt.Sprint("j", i)) != batch.Completed {
				return false
			}
		}
		return true
	})
	badRuns := 0
	for _, workers := range f.starts {
		for _, w := range workers {
			if w == "bad" {
				badRuns++
			}
		}
	}
	if badRuns > 6 {
		t.Errorf("%d runs were started on the failing worker", badRuns)
	}
}

// Guards against a job that waits forever for a run that makes no progress although
// its worker answers.
func TestStalledRunIsRescheduled(t *testing.T) {
	f := newFakeWorkers(t, 100*time.Millisecond, "w1")
	f.byID["w1"].stall = true
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(1, 8))
	b.waitFor(time.Second, "started", func() bool { return b.state("j1") == batch.Running })
	f.mu.Lock()
	f.byID["w2"] = newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w2", 1)
	b.waitFor(minStallTimeout+2*time.Second, "completed elsewhere", func() bool { return b.state("j1") == batch.Completed })
}

// Guards against overcommitting a worker: the first reported end completes a whole
// gang while the runs of its other units may take a little longer to end.
func TestGangCapacityIsHeldUntilEachRunEnds(t *testing.T) {
	f := newFakeWorkers(t, 30*time.Millisecond, "w1", "w2")
	f.exclusive, f.slowWorker = true, "w2"
	b := newTestBed(t, f)
	gang := unitStep(2, 8)
	gang.Gang = true
	b.submit("/b/", "gang", gang)
	b.submit("/b/", "next", unitStep(6, 8))
	b.waitFor(10*time.Second, "both completed", func() bool {
		return b.state("gang") == batch.Completed && b.state("next") == batch.Completed
	})
}

// An urgent gang preempts other runs, which end at different times. Guards against
// further preemptions for the same gang: between the commit of an end and the
// agent's update, the capacity counted neither as free nor as being released.
func TestCapacityOfCommittedEndCountsAsReleasing(t *testing.T) {
	f := newFakeWorkers(t, 3*time.Second, "w1", "w2")
	f.stopDuration, f.slowWorker = 100*time.Millisecond, "w2"
	b := newTestBed(t, f)
	wholeWorkers := func(accelerators int64) batch.Step { // each unit needs all cores of a worker
		st := unitStep(2, accelerators)
		st.Need.CPU, st.Gang = 8000, true
		return st
	}
	b.submit("/b/", "cheap", wholeWorkers(1))
	b.waitFor(time.Second, "gang started", f.startedOnce(batch.UnitRef{Job: "cheap", Index: 1}))
	f.mu.Lock()
	f.byID["w3"], f.byID["w4"] = newFakeWorker(1), newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w3", 1)
	b.announce("w4", 1)
	costly := wholeWorkers(8)
	costly.Gang = false
	b.submit("/b/", "dear", costly)
	b.waitFor(time.Second, "other runs started", f.startedOnce(batch.UnitRef{Job: "dear", Index: 1}))
	time.Sleep(300 * time.Millisecond) // so that preempting either loses about the same work
	b.group.resultDelay.Store(int64(30 * time.Millisecond))
	b.submit("/u/", "urgent", wholeWorkers(1))
	b.waitFor(2*time.Second, "urgent gang started", f.startedOnce(batch.UnitRef{Job: "urgent"}))
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.byID {
		for unit := range w.fenced {
			if unit.Job == "dear" {
				t.Errorf("unit %v was preempted on %s", unit, id)
			}
		}
	}
}

// Guards against capacity that is never released: a run whose start went unanswered
// until its lease expired must be fenced once its worker answers again.
func TestCapacityOfUnansweredStartIsReleased(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.waitForFirstReports("w1")
	f.mu.Lock()
	f.byID["w1"].dropCalls = true
	f.mu.Unlock()
	b.submit("/b/", "j1", unitStep(1, 8))
	b.waitFor(time.Second, "recorded", func() bool { return b.state("j1") == batch.Running })
	b.waitFor(5*time.Second, "run ended", func() bool {
		active := 0
		b.machine.View(func(v *batch.View) { active = v.Job("j1", "").Active })
		return active == 0
	})
	f.mu.Lock()
	f.byID["w1"].dropCalls = false
	f.mu.Unlock()
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
}

// Guards against two concurrent runs of a unit: a start that was sent to a worker's
// earlier incarnation is carried out by the next one, which is still stopping the run
// when the leader declares it lost. Found by the soak test with seed 47.
func TestStartReachesNextIncarnation(t *testing.T) {
	f := newFakeWorkers(t, 500*time.Millisecond, "w1", "w2")
	f.stopDuration = 150 * time.Millisecond
	b := newTestBed(t, f)
	b.waitForFirstReports("w1", "w2")
	f.mu.Lock()
	f.byID["w1"].dropCalls, f.byID["w2"].dropCalls = true, true
	f.mu.Unlock()
	b.submit("/b/", "j1", unitStep(2, 8))
	b.waitFor(time.Second, "start left unanswered", f.hasDelayed("w1"))
	f.mu.Lock()
	f.byID["w1"], f.byID["w2"].dropCalls = newFakeWorker(2), false
	f.byID["w1"].dropHolds = true // else the leader learns of the next incarnation first
	f.byID["w3"] = newFakeWorker(1)
	f.mu.Unlock()
	f.deliverDelayed("w1")
	b.announce("w3", 1)
	b.waitFor(time.Second, "the start reached the next incarnation", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.byID["w1"].running) > 0
	})
	f.mu.Lock()
	f.byID["w1"].dropHolds = false
	f.mu.Unlock()
	b.announce("w1", 2)
	b.waitFor(10*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
}

// A worker restarts under its id while the leader tries to start a run there; the next
// incarnation carries out the start, and its ends are numbered from 1 again. Guards
// against a hold that acknowledges that run's end by the number of an end of the earlier
// incarnation: the worker forgets the end unseen, and the unit is started again. Found by
// the soak test with seed 526.
func TestEndOfNextIncarnationIsNotAcknowledgedUnseen(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(1, 8))
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	f.mu.Lock()
	f.byID["w1"].dropCalls = true
	f.mu.Unlock()
	b.submit("/b/", "j2", unitStep(1, 8))
	b.waitFor(time.Second, "start left unanswered", f.hasDelayed("w1"))
	f.mu.Lock()
	next := newFakeWorker(2)
	next.dropHolds = true // else the leader learns of the next incarnation first
	f.byID["w1"] = next
	f.mu.Unlock()
	f.deliverDelayed("w1")
	b.waitFor(time.Second, "the run ended on the next incarnation", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		next.advance()
		return len(next.ends) == 1
	})
	f.mu.Lock()
	next.dropHolds = false
	f.mu.Unlock()
	a := b.leadership.agent("w1")
	b.waitFor(2*time.Second, "the leader noticed the next incarnation", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.superseded
	})
	b.announce("w1", 2)
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j2") == batch.Completed })
	f.mu.Lock()
	defer f.mu.Unlock()
	b.is.Equal(f.starts[batch.UnitRef{Job: "j2"}], []string{"w1"})
}

// The group's disks become slow. Guards against a planner that pauses in proportion to
// the time of a commit instead of the time of a decision.
func TestSlowCommitsDoNotSlowPlans(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1", "w2")
	b := newTestBed(t, f)
	b.group.commitDelay.Store(int64(200 * time.Millisecond))
	began := time.Now()
	for i := range 3 {
		id := fmt.Sprint("j", i)
		b.submit("/b/", id, unitStep(1, 8))
		b.waitFor(3*time.Second, "completed", func() bool { return b.state(id) == batch.Completed })
	}
	// Each job takes three commits of 200 ms and its own 50 ms, 1.95 s in all. The
	// limit leaves each job 0.15 s for plans and calls.
	if took := time.Since(began); took > 2400*time.Millisecond {
		t.Errorf("three jobs took %v", took)
	}
}

// Workers become idle after their runs end. Guards against ends that stay
// unacknowledged on an idle worker until its next run, because a worker that leaves
// never gets one.
func TestEndsOfIdleWorkersAreAcknowledged(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1", "w2")
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(4, 4))
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.waitFor(3*time.Second, "ends acknowledged", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.byID["w1"].ends)+len(f.byID["w2"].ends) == 0
	})
}

// There are far more busy workers than wait slots. Guards against a leader that keeps
// a connection to each of them until it runs out of file descriptors, and against
// leases that expire because of the limit.
func TestWaitingHoldsAreBounded(t *testing.T) {
	ids := []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}
	f := newFakeWorkers(t, 900*time.Millisecond, ids...)
	b := newTestBed(t, f)
	b.leadership.Close()
	b.waitingHoldLimit = 2
	b.open()
	b.submit("/b/", "j1", unitStep(8, 8))
	b.waitFor(10*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.maxWaitingHolds > 2 {
		t.Errorf("%d holds waited at the same time", f.maxWaitingHolds)
	}
	for ref, workers := range f.starts {
		if len(workers) != 1 {
			t.Errorf("unit %v was started on %v", ref, workers)
		}
	}
}

// Guards against a gauge that still shows an instance as leader after its leadership
// has ended.
func TestEpochGaugeIsClearedOnClose(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, 50*time.Millisecond, "w1"))
	b.is.True(epochGauge.Get() > 0)
	b.leadership.Close()
	b.is.Equal(epochGauge.Get(), 0.0)
}

// Hundreds of workers are lost at once while commits are slow. Guards against a removal
// that each plan proposes again until it is committed.
func TestSilentWorkerIsRemovedByOneProposal(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, 50*time.Millisecond, "w1"))
	b.waitFor(time.Second, "agent", func() bool { return b.leadership.agent("w1") != nil })
	b.group.commitDelay.Store(int64(200 * time.Millisecond))
	before := b.group.proposals.Load()
	for range 20 {
		b.leadership.removeSilentWorker(b.leadership.agent("w1").workerRecord())
	}
	b.waitFor(2*time.Second, "removed", func() bool {
		removed := false
		b.machine.View(func(v *batch.View) { removed = v.Workers()["w1"] == nil })
		return removed
	})
	b.is.Equal(b.group.proposals.Load()-before, int64(1))
}

// Guards against a data race: the worker's record changes while its new incarnation is
// fenced against the runs of the earlier one. Only the race detector shows it.
func TestFencingReadsWorkerRecordUnderLock(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.waitFor(time.Second, "agent", func() bool { return b.leadership.agent("w1") != nil })
	w := b.leadership.agent("w1").workerRecord()
	f.mu.Lock()
	f.byID["w1"].dropCalls = true
	f.mu.Unlock()
	a := b.leadership.newAgent(w, []runKey{{unit: batch.UnitRef{Job: "j1"}, run: 1}}, nil)
	defer a.cancel()
	for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.Draining = !w.Draining
		a.setWorkerRecord(w)
	}
}

// A worker announces that it leaves soon. Guards against a run that is lost with it: its
// unit would start elsewhere only after the lease has expired.
func TestRunMovesBeforeItsWorkerLeaves(t *testing.T) {
	f := newFakeWorkers(t, 5*time.Second, "w1")
	b := newTestBed(t, f)
	long := unitStep(1, 8)
	long.EstimateMS = 5000
	b.submit("/b/", "j1", long)
	ref := batch.UnitRef{Job: "j1"}
	b.waitFor(time.Second, "started", f.startedOnce(ref))
	f.mu.Lock()
	f.byID["w2"] = newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w2", 1)
	w := b.leadership.agent("w1").workerRecord()
	w.Draining = true
	b.apply(&batch.Command{Worker: &batch.WorkerChange{Worker: w}})
	b.heartbeats.RecordLeaving("w1", 1, time.Now().Add(time.Second))
	b.waitFor(900*time.Millisecond, "started elsewhere", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.starts[ref]) == 2 && f.starts[ref][1] == "w2"
	})
}
