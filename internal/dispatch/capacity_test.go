package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// shrink records that a worker has fewer accelerators.
func (b *testBed) shrink(id string, accelerators int64) {
	b.t.Helper()
	var w batch.Worker
	b.machine.View(func(v *batch.View) { w = *v.Workers()[id] })
	w.Capacity.Accelerators = accelerators
	b.apply(&batch.Command{Worker: &batch.WorkerChange{Worker: w}})
}

// A worker shrinks while it runs units, and grows again. Guards against starts that exceed the
// smaller capacity, and against stopping what runs there.
func TestNothingStartsBeyondShrunkCapacity(t *testing.T) {
	is := is.New(t)
	f := newFakeWorkers(t, 700*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.waitForFirstReports("w1")
	b.submit("/b/", "first", unitStep(4, 1))
	b.waitFor(time.Second, "started", func() bool { return b.startsAnswered("w1") && b.state("first") == batch.Running })
	b.shrink("w1", 4)
	b.submit("/b/", "second", unitStep(3, 2))
	started := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		n := 0
		for u, workers := range f.starts {
			if u.Job == "second" {
				n += len(workers)
			}
		}
		return n
	}
	time.Sleep(300 * time.Millisecond) // for plans that would start it, or stop the first for it
	is.Equal(started(), 0)
	is.Equal(b.state("first"), batch.Running)
	b.waitFor(2*time.Second, "first completed", func() bool { return b.state("first") == batch.Completed })
	b.waitFor(time.Second, "as many as fit", func() bool { return started() == 2 })
	time.Sleep(100 * time.Millisecond)
	is.Equal(started(), 2)
	b.shrink("w1", 8)
	b.waitFor(300*time.Millisecond, "the rest started", func() bool { return started() == 3 })
}

// A worker shrinks while a start on it is not answered. Guards against sending the start
// again, and against a unit that waits for the worker until the lease has expired.
func TestUnansweredStartOnShrunkWorkerIsFenced(t *testing.T) {
	f := newFakeWorkers(t, 100*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.waitForFirstReports("w1")
	f.setDropCalls("w1", true)
	b.submit("/b/", "j1", unitStep(1, 8))
	b.waitFor(3*time.Second, "start not answered", func() bool {
		a := b.leadership.agent("w1")
		a.mu.Lock()
		defer a.mu.Unlock()
		od := a.orders[runKey{batch.UnitRef{Job: "j1"}, 1}]
		return od != nil && !od.startUnansweredAt.IsZero()
	})
	b.shrink("w1", 4)
	b.addWorker("w2")
	f.setDropCalls("w1", false)
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.is.Equal(f.startedOn(batch.UnitRef{Job: "j1"}), "[w2]")
}
