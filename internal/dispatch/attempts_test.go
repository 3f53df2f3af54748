package dispatch

import (
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// publishBatchQueue publishes a configuration in which the queue "batch" allows a number of failed
// runs, or in which there is no such queue if maxAttempts is 0.
func (b *testBed) publishBatchQueue(version uint64, maxAttempts int) {
	b.t.Helper()
	c := &batch.Config{Version: version, Services: []batch.Service{{Name: "desk"}}, Document: []byte("{}")}
	if maxAttempts > 0 {
		c.Queues = []batch.Queue{{Name: "batch", Host: "h", Prefix: "/b/", Priority: 2, MaxAttempts: maxAttempts, Service: "desk", Public: true}}
	}
	b.is.Equal(b.apply(&batch.Command{Publish: c}), batch.OK)
}

// failNextRun waits until the given run of a unit has begun on a worker and lets it fail there.
func (b *testBed) failNextRun(id string, k runKey) {
	b.t.Helper()
	b.waitForRun(id, k)
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	b.workers.byID[id].end(k, batch.EndFailed)
}

func (b *testBed) waitForRun(id string, k runKey) {
	b.t.Helper()
	b.waitFor(5*time.Second, "run begun", func() bool {
		b.workers.mu.Lock()
		defer b.workers.mu.Unlock()
		_, running := b.workers.byID[id].running[k]
		return running
	})
}

func (b *testBed) unit(ref batch.UnitRef) batch.Unit {
	var u batch.Unit
	b.machine.View(func(v *batch.View) { u = v.Job(ref.Job, "").UnitGroup(ref.Occurrence, ref.Step).Units[ref.Index] })
	return u
}

// heldFailure waits until the leader holds back the end of a failed run.
func (b *testBed) heldFailure(id string, k runKey) {
	b.t.Helper()
	b.waitFor(2*time.Second, "failure reported", func() bool {
		a := b.leadership.agent(id)
		return a != nil && a.awaitsQueue(k)
	})
}

// failThirdRunWithoutQueue lets the third run of a job fail while its queue, which allows four,
// is removed from the configuration.
func failThirdRunWithoutQueue(t *testing.T) (*testBed, batch.UnitRef) {
	f := newFakeWorkers(t, time.Minute, "w1")
	b := newTestBed(t, f)
	b.publishBatchQueue(2, 4)
	b.submit("/b/", "j1", unitStep(1, 8))
	ref := batch.UnitRef{Job: "j1"}
	b.failNextRun("w1", runKey{ref, 1})
	b.failNextRun("w1", runKey{ref, 2})
	b.waitForRun("w1", runKey{ref, 3})
	b.publishBatchQueue(3, 0)
	b.failNextRun("w1", runKey{ref, 3})
	return b, ref
}

// A queue is removed and added again, and a run fails in between. Guards against a job that fails by
// the default limit although its queue allows more attempts.
func TestFailureWithoutQueueDoesNotFailJob(t *testing.T) {
	b, ref := failThirdRunWithoutQueue(t)
	b.heldFailure("w1", runKey{ref, 3})
	b.is.Equal(b.state("j1"), batch.Running)
	b.publishBatchQueue(4, 4)
	b.waitForRun("w1", runKey{ref, 4})
	b.is.Equal(b.unit(ref).Failed, 3)
	b.failNextRun("w1", runKey{ref, 4})
	b.waitFor(2*time.Second, "failed by its limit", func() bool { return b.state("j1") == batch.Failed })
}

// As above, with another leader meanwhile. Guards against a failure that only the memory of a leader
// holds: the unit would get one attempt too many.
func TestNextLeaderCountsFailureWithoutQueue(t *testing.T) {
	b, ref := failThirdRunWithoutQueue(t)
	b.heldFailure("w1", runKey{ref, 3})
	b.leadership.Close()
	b.open()
	b.heldFailure("w1", runKey{ref, 3})
	b.publishBatchQueue(4, 4)
	b.waitForRun("w1", runKey{ref, 4})
	b.is.Equal(b.unit(ref).Failed, 3)
	b.is.Equal(b.workers.startedOn(ref), "[w1 w1 w1 w1]")
}

// A run has failed on all accelerators of a worker, and its queue is removed. Guards against room that
// is held for a run that has ended.
func TestRoomOfFailureWithoutQueueIsFree(t *testing.T) {
	b, ref := failThirdRunWithoutQueue(t)
	b.heldFailure("w1", runKey{ref, 3})
	b.is.Equal(b.apply(&batch.Command{Publish: &batch.Config{
		Version: 4, Services: []batch.Service{{Name: "desk"}}, Document: []byte("{}"),
		Queues: []batch.Queue{{Name: "urgent", Host: "h", Prefix: "/u/", MaxAttempts: 2, Service: "desk", Public: true}},
	}}), batch.OK)
	b.submit("/u/", "j2", unitStep(1, 8))
	b.waitForRun("w1", runKey{batch.UnitRef{Job: "j2"}, 1})
	b.is.Equal(b.state("j1"), batch.Running)
}

// The queue is not added again. Guards against a worker whose ends are never acknowledged.
func TestFailureWithoutQueueIsHeldForLimitedTime(t *testing.T) {
	b, ref := failThirdRunWithoutQueue(t)
	b.heldFailure("w1", runKey{ref, 3})
	b.timeShift.Add(int64(maxHoldBackTime))
	b.waitFor(2*time.Second, "run ended", func() bool { return b.unit(ref).State == batch.Waiting })
	b.is.Equal(b.state("j1"), batch.Running)
	b.is.Equal(b.unit(ref).Failed, 2)
}

// The worker crashes while a failure on it is held back. Guards against blaming the run for the crash,
// which it did not live to see.
func TestFailedRunIsNotBlamedForLaterCrash(t *testing.T) {
	b, ref := failThirdRunWithoutQueue(t)
	b.heldFailure("w1", runKey{ref, 3})
	b.workers.mu.Lock()
	b.workers.byID["w1"] = newFakeWorker(2)
	b.workers.mu.Unlock()
	b.announce("w1", 2)
	b.waitFor(5*time.Second, "run ended", func() bool { return b.unit(ref).State == batch.Waiting })
	b.is.Equal(b.unit(ref).Crashes, nil)
}

// A configuration lowers the limit to the number of failures so far. Guards against a further start,
// and against a job that waits forever.
func TestLoweredLimitFailsJob(t *testing.T) {
	f := newFakeWorkers(t, time.Minute, "w1")
	b := newTestBed(t, f)
	b.publishBatchQueue(2, 4)
	b.submit("/b/", "j1", unitStep(1, 8))
	ref := batch.UnitRef{Job: "j1"}
	b.failNextRun("w1", runKey{ref, 1})
	b.failNextRun("w1", runKey{ref, 2})
	b.waitForRun("w1", runKey{ref, 3})
	b.publishBatchQueue(3, 2)
	b.leadership.agent("w1").stop(runKey{ref, 3})
	b.waitFor(5*time.Second, "failed by the new limit", func() bool { return b.state("j1") == batch.Failed })
	b.is.Equal(f.startedOn(ref), "[w1 w1 w1]")
	b.machine.View(func(v *batch.View) { b.is.Equal(v.Job("j1", "").FailedBy, batch.FailedByAttempts) })
}

// As above, with a gang. Its members stay on one worker, so one report lists their ends.
func TestLoweredLimitFailsGang(t *testing.T) {
	f := newFakeWorkers(t, time.Minute, "w1")
	b := newTestBed(t, f)
	b.publishBatchQueue(2, 4)
	gang := unitStep(2, 4)
	gang.Gang = true
	b.submit("/b/", "j1", gang)
	members := []batch.UnitRef{{Job: "j1"}, {Job: "j1", Index: 1}}
	for run := 1; run <= 2; run++ {
		for _, ref := range members {
			b.waitForRun("w1", runKey{ref, run})
		}
		f.mu.Lock()
		f.byID["w1"].end(runKey{members[0], run}, batch.EndFailed)
		f.byID["w1"].end(runKey{members[1], run}, batch.EndGangBroken)
		f.mu.Unlock()
	}
	for _, ref := range members {
		b.waitForRun("w1", runKey{ref, 3})
	}
	b.publishBatchQueue(3, 2)
	for _, ref := range members {
		b.leadership.agent("w1").stop(runKey{ref, 3})
	}
	b.waitFor(5*time.Second, "failed by the new limit", func() bool { return b.state("j1") == batch.Failed })
	b.is.Equal(f.startedOn(members[0]), "[w1 w1 w1]")
	b.machine.View(func(v *batch.View) { b.is.Equal(v.Job("j1", "").Active, 0) })
}

// The queue of a guaranteed job is removed while the job runs, and an urgent job needs the room. Guards
// against stopping guaranteed work because its queue, which has its priority, is not configured.
func TestGuaranteeHoldsWhileQueueIsRemoved(t *testing.T) {
	f := newFakeWorkers(t, time.Minute, "w1")
	b := newTestBed(t, f)
	config := func(version uint64, queues ...batch.Queue) {
		b.is.Equal(b.apply(&batch.Command{Publish: &batch.Config{
			Version: version, Services: []batch.Service{{Name: "desk"}}, Document: []byte("{}"), Queues: queues,
			Customers: []batch.Customer{{Name: "c1", Keys: []string{"k1"}, Guaranteed: 8}, {Name: "c2", Keys: []string{"k2"}}},
		}}), batch.OK)
	}
	submit := func(path, id, key string) {
		b.is.Equal(b.apply(&batch.Command{Submit: &batch.Submit{
			Call: batch.Call{Host: "h", Path: path + id, Key: key}, ID: id, Spec: batch.Spec{Steps: []batch.Step{unitStep(1, 8)}}, AtMS: time.Now().UnixMilli(),
		}}), batch.OK)
	}
	first := batch.Queue{Name: "first", Host: "h", Prefix: "/1/", Service: "desk"}
	second := batch.Queue{Name: "second", Host: "h", Prefix: "/2/", Service: "desk"}
	config(2, first, second)
	submit("/1/", "j1", "k1")
	k := runKey{batch.UnitRef{Job: "j1"}, 1}
	b.waitForRun("w1", k)
	config(3, second)
	submit("/2/", "j2", "k2")
	time.Sleep(2 * idleInterval) // for plans that make room
	b.waitForRun("w1", k)
	b.is.Equal(f.startedOn(batch.UnitRef{Job: "j2"}), "[]")
	config(4, first, second)
	time.Sleep(2 * idleInterval)
	b.waitForRun("w1", k)
}
