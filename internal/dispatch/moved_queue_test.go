package dispatch

import (
	"fmt"
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// publishQueues publishes a configuration with the given queues, all of them public.
func (b *testBed) publishQueues(version uint64, queues ...batch.Queue) {
	b.t.Helper()
	c := &batch.Config{Version: version, Services: []batch.Service{{Name: "desk"}, {Name: "other"}}, Document: fmt.Append(nil, version)}
	for _, q := range queues {
		q.Host, q.Public = "h", true
		c.Queues = append(c.Queues, q)
	}
	b.is.Equal(b.apply(&batch.Command{Publish: c}), batch.OK)
}

// plansQueue returns the queue "plans" at a prefix, which allows a number of failed runs.
func plansQueue(prefix string, maxAttempts int) batch.Queue {
	return batch.Queue{Name: "plans", Prefix: prefix, MaxAttempts: maxAttempts, Service: "desk"}
}

// endRun waits until a run of a unit has begun on a worker and ends it.
func (b *testBed) endRun(id string, k runKey, how batch.Ending) {
	b.t.Helper()
	b.waitForRun(id, k)
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	b.workers.byID[id].end(k, how)
}

// A queue gets another path prefix while the first step of a job runs. Guards against later steps that
// never start.
func TestStepsStartAfterQueueMoves(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, time.Minute, "w1"))
	b.publishQueues(2, plansQueue("/old/", 2))
	second := unitStep(1, 8)
	second.DependsOn = []int{0}
	b.submit("/old/", "j1", unitStep(1, 8), second)
	b.waitForRun("w1", runKey{batch.UnitRef{Job: "j1"}, 1})
	b.publishQueues(3, plansQueue("/new/", 2))
	b.endRun("w1", runKey{batch.UnitRef{Job: "j1"}, 1}, batch.EndDone)
	b.endRun("w1", runKey{batch.UnitRef{Job: "j1", Step: 1}, 1}, batch.EndDone)
	b.waitFor(2*time.Second, "job completed", func() bool { return b.state("j1") == batch.Completed })
}

// A queue is renamed while the first step of a job runs, and its address stays. Guards against later
// steps that never start.
func TestStepsStartAfterQueueIsRenamed(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, time.Minute, "w1"))
	b.publishQueues(2, plansQueue("/old/", 2))
	second := unitStep(1, 8)
	second.DependsOn = []int{0}
	b.submit("/old/", "j1", unitStep(1, 8), second)
	renamed := plansQueue("/old/", 2)
	renamed.Name = "schemes"
	b.publishQueues(3, renamed)
	b.endRun("w1", runKey{batch.UnitRef{Job: "j1"}, 1}, batch.EndDone)
	b.waitForRun("w1", runKey{batch.UnitRef{Job: "j1", Step: 1}, 1})
}

// A unit that lasts ends after its queue has got another prefix, a new leader has begun and its state has been
// restored from a snapshot. Guards against a lasting unit that is not started again.
func TestLongRunningUnitRestartsAfterQueueMoves(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, time.Minute, "w1"))
	b.publishQueues(2, plansQueue("/old/", 2))
	lasting := unitStep(1, 8)
	lasting.LongRunning = true
	b.submit("/old/", "j1", lasting)
	ref := batch.UnitRef{Job: "j1"}
	b.waitForRun("w1", runKey{ref, 1})
	b.publishQueues(3, plansQueue("/new/", 2))
	b.leadership.Close()
	snapshot, err := b.machine.Snapshot()
	b.is.NoErr(err)
	b.is.NoErr(b.machine.Restore(snapshot))
	b.open()
	b.endRun("w1", runKey{ref, 1}, batch.EndFailed)
	b.waitForRun("w1", runKey{ref, 2})
}

// Another queue takes over the address of a queue that moves. Guards against jobs that go on under the
// configuration of the other queue.
func TestJobStaysWithQueueWhoseAddressIsReused(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, time.Minute, "w1"))
	b.publishQueues(2, plansQueue("/old/", 4))
	second := unitStep(1, 8)
	second.DependsOn = []int{0}
	b.submit("/old/", "j1", unitStep(1, 8), second)
	b.waitForRun("w1", runKey{batch.UnitRef{Job: "j1"}, 1})
	b.publishQueues(3, plansQueue("/new/", 4), batch.Queue{Name: "drafts", Prefix: "/old/", MaxAttempts: 1, Service: "other"})
	b.endRun("w1", runKey{batch.UnitRef{Job: "j1"}, 1}, batch.EndDone)
	ref := batch.UnitRef{Job: "j1", Step: 1}
	for run := 1; run <= 3; run++ {
		b.endRun("w1", runKey{ref, run}, batch.EndFailed)
	}
	b.endRun("w1", runKey{ref, 4}, batch.EndDone)
	b.waitFor(2*time.Second, "job completed", func() bool { return b.state("j1") == batch.Completed })
}

// A queue that allows five failed runs gets another prefix after two. Guards against a job that fails
// by the state machine's default, which is lower, and against a start beyond the limit.
func TestMovedQueueAllowsItsAttempts(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, time.Minute, "w1"))
	b.publishQueues(2, plansQueue("/old/", 5))
	b.submit("/old/", "j1", unitStep(1, 8))
	ref := batch.UnitRef{Job: "j1"}
	for run := 1; run <= 5; run++ {
		b.waitForRun("w1", runKey{ref, run})
		if run == 3 {
			b.publishQueues(3, plansQueue("/new/", 5))
		}
		b.endRun("w1", runKey{ref, run}, batch.EndFailed)
	}
	b.waitFor(2*time.Second, "failed by its limit", func() bool { return b.state("j1") == batch.Failed })
	b.is.Equal(b.workers.startedOn(ref), "[w1 w1 w1 w1 w1]")
}

// As above, with a gang, of which each run counts once however many members report a failure.
func TestMovedQueueAllowsAttemptsOfGang(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, time.Minute, "w1"))
	b.publishQueues(2, plansQueue("/old/", 5))
	gang := unitStep(2, 4)
	gang.Gang = true
	b.submit("/old/", "j1", gang)
	members := []batch.UnitRef{{Job: "j1"}, {Job: "j1", Index: 1}}
	for run := 1; run <= 5; run++ {
		for _, ref := range members {
			b.waitForRun("w1", runKey{ref, run})
		}
		if run == 2 {
			b.publishQueues(3, plansQueue("/new/", 5))
		}
		for _, ref := range members {
			b.endRun("w1", runKey{ref, run}, batch.EndFailed)
		}
	}
	b.waitFor(2*time.Second, "failed by its limit", func() bool { return b.state("j1") == batch.Failed })
	b.is.Equal(b.workers.startedOn(members[0]), "[w1 w1 w1 w1 w1]")
}

// A queue that allows one failed run gets another prefix before it. Guards against further attempts by
// the state machine's default, which is higher.
func TestMovedQueueLimitsAttempts(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, time.Minute, "w1"))
	b.publishQueues(2, plansQueue("/old/", 1))
	b.submit("/old/", "j1", unitStep(1, 8))
	ref := batch.UnitRef{Job: "j1"}
	b.waitForRun("w1", runKey{ref, 1})
	b.publishQueues(3, plansQueue("/new/", 1))
	b.endRun("w1", runKey{ref, 1}, batch.EndFailed)
	b.waitFor(2*time.Second, "failed by its limit", func() bool { return b.state("j1") == batch.Failed })
	b.is.Equal(b.workers.startedOn(ref), "[w1]")
}
