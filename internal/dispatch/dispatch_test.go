package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// bed is a machine with workers, a queue and a leader.
type bed struct {
	is         *is.I
	t          *testing.T
	m          *batch.Machine
	group      *localGroup
	workers    *fakeWorkers
	beats      *Beats
	leadership *Leadership
	maxWaits   int
}

const testLease = 400 * time.Millisecond

func newBed(t *testing.T, workers *fakeWorkers) *bed {
	b := &bed{is: is.New(t), t: t, workers: workers, beats: &Beats{}}
	b.m = batch.New(func() {
		if b.leadership != nil {
			b.leadership.Wake()
		}
	})
	b.group = &localGroup{m: b.m}
	b.apply(&batch.Command{Publish: &batch.Config{
		Version: 1, Services: []batch.Service{{Name: "desk"}}, Document: []byte("{}"),
		Queues: []batch.Queue{
			{Name: "urgent", Host: "h", Prefix: "/u/", Priority: 0, MaxAttempts: 2, Service: "desk", Public: true},
			{Name: "batch", Host: "h", Prefix: "/b/", Priority: 2, MaxAttempts: 2, Service: "desk", Public: true},
		},
	}})
	for id := range workers.by {
		b.announce(id, 1)
	}
	b.open()
	return b
}

func (b *bed) open() {
	epoch := b.apply(&batch.Command{Lead: &batch.Lead{Instance: "test"}}).(uint64)
	b.leadership = Open(Config{
		Machine: b.m, Group: b.group, Client: b.workers, Epoch: epoch, Beats: b.beats, Log: logr.Discard(),
		MaxLease: testLease, MaxWaits: b.maxWaits,
	})
	b.t.Cleanup(b.leadership.Close)
}

func (b *bed) announce(id string, life int64) {
	b.apply(&batch.Command{Worker: &batch.WorkerChange{Worker: batch.Worker{
		ID: id, Life: life, Address: id, Service: "desk", Rack: "r1",
		Capacity: batch.Resources{CPU: 8000, MemoryMB: 8000, Accelerators: 8},
	}}})
	b.beats.Note(id, life, time.Now().Add(time.Hour))
}

func (b *bed) apply(c *batch.Command) any {
	b.t.Helper()
	entry, err := codec.Marshal(c)
	b.is.NoErr(err)
	result, err := b.group.Propose(context.Background(), entry)
	b.is.NoErr(err)
	return result
}

func (b *bed) submit(path, id string, steps ...batch.Step) {
	b.t.Helper()
	v := b.apply(&batch.Command{Submit: &batch.Submit{
		Call: batch.Call{Host: "h", Path: path + id}, ID: id, Spec: batch.Spec{Payload: "p", Steps: steps}, AtMS: time.Now().UnixMilli(),
	}})
	b.is.Equal(v, batch.OK)
}

func (b *bed) state(id string) batch.State {
	var s batch.State
	b.m.View(func(v *batch.View) { s = v.Job(id, "").State })
	return s
}

// within fails the test unless the condition holds in time.
func (b *bed) within(d time.Duration, what string, cond func() bool) {
	b.t.Helper()
	for end := time.Now().Add(d); !cond(); {
		if time.Now().After(end) {
			b.t.Fatalf("not within %v: %s", d, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func units(n int, accelerators int64) batch.Step {
	return batch.Step{Count: n, Need: batch.Resources{CPU: 1000, MemoryMB: 100, Accelerators: accelerators}}
}

// Guards against a job that is shown as completed before all of its units are,
// and a step that starts before the step it depends on has ended.
func TestStepsRunInOrder(t *testing.T) {
	b := newBed(t, newFakeWorkers(t, 50*time.Millisecond, "w1", "w2"))
	second := units(3, 1)
	second.DependsOn = []int{0}
	b.submit("/b/", "j1", units(4, 1), second)
	b.within(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.is.Equal(len(b.workers.starts), 7)
}

// Guards against runs of a worker that never answers again staying recorded for
// ever: each call without an answer must not move the end of its lease.
func TestRunsOfSilentWorkerStartElsewhere(t *testing.T) {
	f := newFakeWorkers(t, time.Second, "w1")
	b := newBed(t, f)
	b.submit("/b/", "j1", units(1, 8))
	ref := batch.UnitRef{Job: "j1"}
	b.within(5*time.Second, "started", f.began(ref))
	f.mu.Lock()
	f.by["w1"].silent = true
	f.by["w2"] = newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w2", 1)
	b.within(5*time.Second, "completed on the other worker", func() bool { return b.state("j1") == batch.Completed })
	b.is.Equal(fmt.Sprint(f.starts[ref]), "[w1 w2]")
}

// Guards against a second run of a unit whose start was carried out although its
// answer was lost.
func TestLostAnswerOfStart(t *testing.T) {
	f := newFakeWorkers(t, 100*time.Millisecond, "w1", "w2")
	f.by["w1"].lose = 2
	f.by["w2"].lose = 2
	b := newBed(t, f)
	b.submit("/b/", "j1", units(2, 8))
	b.within(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	for ref, on := range f.starts {
		if len(on) != 1 {
			t.Errorf("unit %v began on %v", ref, on)
		}
	}
}

// Guards against a new leader that starts again what its predecessor's workers
// still run.
func TestNextLeaderTakesRunsOver(t *testing.T) {
	f := newFakeWorkers(t, 300*time.Millisecond, "w1", "w2")
	b := newBed(t, f)
	b.submit("/b/", "j1", units(4, 2))
	b.within(5*time.Second, "started", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.starts) == 4
	})
	b.leadership.Close()
	b.open()
	b.within(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	for ref, on := range f.starts {
		if len(on) != 1 {
			t.Errorf("unit %v began on %v", ref, on)
		}
	}
}

// Guards against a unit of an earlier life that stays recorded after its worker
// has started again under the same id.
func TestRebornWorker(t *testing.T) {
	f := newFakeWorkers(t, 200*time.Millisecond, "w1")
	b := newBed(t, f)
	b.submit("/b/", "j1", units(1, 8))
	ref := batch.UnitRef{Job: "j1"}
	b.within(5*time.Second, "started", f.began(ref))
	f.mu.Lock()
	f.by["w1"] = newFakeWorker(2)
	f.mu.Unlock()
	b.announce("w1", 2)
	b.within(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.is.Equal(len(f.starts[ref]), 2)
}

// Guards against an urgent job that waits behind less urgent ones when its room
// could be made, and against a stop that is taken for a failed attempt.
func TestUrgentJobTakesRoom(t *testing.T) {
	f := newFakeWorkers(t, 400*time.Millisecond, "w1")
	b := newBed(t, f)
	b.submit("/b/", "slow", units(8, 1))
	b.within(5*time.Second, "started", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.starts) == 8
	})
	gang := units(2, 2)
	gang.Gang = true
	b.submit("/u/", "quick", gang)
	b.within(300*time.Millisecond, "urgent job began", func() bool { return b.state("quick") == batch.Running })
	b.within(5*time.Second, "both completed", func() bool {
		return b.state("quick") == batch.Completed && b.state("slow") == batch.Completed
	})
}

// Guards against a job without an end: its units fail wherever they run.
func TestHopelessJobFails(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1", "w2")
	f.by["w1"].fail = true
	f.by["w2"].fail = true
	b := newBed(t, f)
	b.submit("/b/", "j1", units(1, 1))
	b.within(5*time.Second, "failed", func() bool { return b.state("j1") == batch.Failed })
	b.is.Equal(len(f.starts[batch.UnitRef{Job: "j1"}]), 2)
}

// Guards against units that run on after their job was cancelled.
func TestCancelledJobStops(t *testing.T) {
	f := newFakeWorkers(t, 5*time.Second, "w1")
	b := newBed(t, f)
	b.submit("/b/", "j1", units(3, 1))
	b.within(5*time.Second, "started", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.by["w1"].running) == 3
	})
	v := b.apply(&batch.Command{Cancel: &batch.Cancel{Call: batch.Call{Host: "h", Path: "/b/j1"}, ID: "j1", AtMS: 1}})
	b.is.Equal(v, batch.OK)
	b.within(time.Second, "stopped", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.by["w1"].running) == 0
	})
}

// Guards against a job that uses up its attempts on a worker which fails all it
// starts, and against that worker drawing every new unit because it is free.
func TestWorkerThatFailsEverythingIsLeftOut(t *testing.T) {
	f := newFakeWorkers(t, 100*time.Millisecond, "bad", "good")
	f.by["bad"].fail = true
	b := newBed(t, f)
	for i := range 12 {
		b.submit("/b/", fmt.Sprint("j", i), units(1, 4))
	}
	b.within(10*time.Second, "all completed", func() bool {
		for i := range 12 {
			if b.state(fmt.Sprint("j", i)) != batch.Completed {
				return false
			}
		}
		return true
	})
	bad := 0
	for _, on := range f.starts {
		for _, w := range on {
			if w == "bad" {
				bad++
			}
		}
	}
	if bad > 6 {
		t.Errorf("%d runs began on the bad worker", bad)
	}
}

// Guards against a job that waits for a run which stands still although its
// worker answers.
func TestRunThatStandsStillMoves(t *testing.T) {
	f := newFakeWorkers(t, 100*time.Millisecond, "w1")
	f.by["w1"].hang = true
	b := newBed(t, f)
	b.submit("/b/", "j1", units(1, 8))
	b.within(time.Second, "started", func() bool { return b.state("j1") == batch.Running })
	f.mu.Lock()
	f.by["w2"] = newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w2", 1)
	b.within(minStall+2*time.Second, "completed elsewhere", func() bool { return b.state("j1") == batch.Completed })
}

// Guards against a worker that is filled beyond its capacity: one end stands for
// a whole gang, and the run of another unit may be there a little longer.
func TestRoomOfGangUntilEachRunHasEnded(t *testing.T) {
	f := newFakeWorkers(t, 30*time.Millisecond, "w1", "w2")
	f.alone, f.slow = true, "w2"
	b := newBed(t, f)
	gang := units(2, 8)
	gang.Gang = true
	b.submit("/b/", "gang", gang)
	b.submit("/b/", "next", units(6, 8))
	b.within(10*time.Second, "both completed", func() bool {
		return b.state("gang") == batch.Completed && b.state("next") == batch.Completed
	})
}

// Pattern: an urgent gang takes the room of other runs, which end at different
// times. Guards against further runs that are stopped for it: an end is in the
// committed state a little before the agent that reported it knows, and for that
// time the room counted neither as free nor as being given back.
func TestRoomOfCommittedEndIsBeingGivenBack(t *testing.T) {
	f := newFakeWorkers(t, 3*time.Second, "w1", "w2")
	f.stopping, f.slow = 100*time.Millisecond, "w2"
	b := newBed(t, f)
	whole := func(accelerators int64) batch.Step { // each unit takes all cores of a worker
		st := units(2, accelerators)
		st.Need.CPU, st.Gang = 8000, true
		return st
	}
	b.submit("/b/", "cheap", whole(1))
	b.within(time.Second, "gang began", f.began(batch.UnitRef{Job: "cheap", Index: 1}))
	f.mu.Lock()
	f.by["w3"], f.by["w4"] = newFakeWorker(1), newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w3", 1)
	b.announce("w4", 1)
	dear := whole(8)
	dear.Gang = false
	b.submit("/b/", "dear", dear)
	b.within(time.Second, "others began", f.began(batch.UnitRef{Job: "dear", Index: 1}))
	time.Sleep(300 * time.Millisecond) // both lose about the same time
	b.group.lag.Store(int64(30 * time.Millisecond))
	b.submit("/u/", "urgent", whole(1))
	b.within(2*time.Second, "urgent gang began", f.began(batch.UnitRef{Job: "urgent"}))
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.by {
		for unit := range w.fenced {
			if unit.Job == "dear" {
				t.Errorf("unit %v was stopped on %s", unit, id)
			}
		}
	}
}

// Guards against room that is never given back: the start of a run that was
// given up without an answer is fenced once its worker answers again.
func TestRoomOfUnansweredStartIsGivenBack(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1")
	b := newBed(t, f)
	b.within(time.Second, "looked at", func() bool {
		a := b.leadership.agent("w1")
		if a == nil {
			return false
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.looked
	})
	f.mu.Lock()
	f.by["w1"].silent = true
	f.mu.Unlock()
	b.submit("/b/", "j1", units(1, 8))
	b.within(time.Second, "recorded", func() bool { return b.state("j1") == batch.Running })
	b.within(5*time.Second, "given up", func() bool {
		active := 0
		b.m.View(func(v *batch.View) { active = v.Job("j1", "").Active })
		return active == 0
	})
	f.mu.Lock()
	f.by["w1"].silent = false
	f.mu.Unlock()
	b.within(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
}

// Guards against two runs of a unit at the same time: a start that was sent to a
// worker's earlier life is carried out by the next one, which still stops it when
// the run is called lost. Soak seed 47.
func TestStartReachesNextLife(t *testing.T) {
	f := newFakeWorkers(t, 500*time.Millisecond, "w1", "w2")
	f.stopping = 150 * time.Millisecond
	b := newBed(t, f)
	b.within(time.Second, "looked at", func() bool {
		for _, id := range []string{"w1", "w2"} {
			a := b.leadership.agent(id)
			if a == nil {
				return false
			}
			a.mu.Lock()
			looked := a.looked
			a.mu.Unlock()
			if !looked {
				return false
			}
		}
		return true
	})
	f.mu.Lock()
	f.by["w1"].silent, f.by["w2"].silent = true, true
	f.mu.Unlock()
	b.submit("/b/", "j1", units(2, 8))
	b.within(time.Second, "recorded", func() bool { return b.state("j1") == batch.Running })
	f.mu.Lock()
	f.by["w1"], f.by["w2"].silent = newFakeWorker(2), false
	f.by["w1"].mute = true // or the leader hears of the next life first
	f.by["w3"] = newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w3", 1)
	b.within(time.Second, "the start reached the next life", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.by["w1"].running) > 0
	})
	f.mu.Lock()
	f.by["w1"].mute = false
	f.mu.Unlock()
	b.announce("w1", 2)
	b.within(10*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
}

// Pattern: the disks of the group turn slow. Guards against a planner that rests
// in proportion to the time of a commit instead of that of a decision.
func TestSlowCommitsDoNotSlowPlans(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1", "w2")
	b := newBed(t, f)
	b.group.delay.Store(int64(200 * time.Millisecond))
	began := time.Now()
	for i := range 3 {
		id := fmt.Sprint("j", i)
		b.submit("/b/", id, units(1, 8))
		b.within(3*time.Second, "completed", func() bool { return b.state(id) == batch.Completed })
	}
	// Each job takes three commits of 200 ms and its own 50 ms, 1.95 s in all, and
	// 0.15 s are left to each for plans and calls.
	if took := time.Since(began); took > 2400*time.Millisecond {
		t.Errorf("three jobs took %v", took)
	}
}

// Pattern: work ends and the workers become idle. Guards against ends that stay
// listed on an idle worker until its next run, which a worker that leaves never
// has.
func TestEndsOfIdleWorkersAreNoted(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1", "w2")
	b := newBed(t, f)
	b.submit("/b/", "j1", units(4, 4))
	b.within(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.within(3*time.Second, "ends forgotten", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.by["w1"].ends)+len(f.by["w2"].ends) == 0
	})
}

// Pattern: far more busy workers than connections. Guards against a leader that
// keeps a connection to each of them until it has no descriptors left, and against
// leases that lapse because of the bound.
func TestWaitsForEndsAreBounded(t *testing.T) {
	ids := []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}
	f := newFakeWorkers(t, 900*time.Millisecond, ids...)
	b := newBed(t, f)
	b.leadership.Close()
	b.maxWaits = 2
	b.open()
	b.submit("/b/", "j1", units(8, 8))
	b.within(10*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mostWaiting > 2 {
		t.Errorf("%d holds waited at the same time", f.mostWaiting)
	}
	for ref, on := range f.starts {
		if len(on) != 1 {
			t.Errorf("%v began on %v", ref, on)
		}
	}
}

// Guards against a gauge by which an instance that has ended its leadership still
// leads.
func TestEpochIsMeasured(t *testing.T) {
	b := newBed(t, newFakeWorkers(t, 50*time.Millisecond, "w1"))
	b.is.True(epochGauge.Get() > 0)
	b.leadership.Close()
	b.is.Equal(epochGauge.Get(), 0.0)
}
