package dispatch

import (
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
)

// A unit that lasts runs on one of two workers, and a gang waits for both of them. Guards against a
// reservation for the gang that is renewed for as long as the unit lasts: jobs behind it would
// never start on idle workers.
func TestGangBehindLastingUnitBlocksNoOtherJob(t *testing.T) {
	f := newFakeWorkers(t, 20*time.Second, "w1", "w2")
	f.byID["w1"].lasting, f.byID["w2"].lasting = true, true
	b := newTestBed(t, f)
	b.waitForFirstReports("w1", "w2")
	b.apply(&batch.Command{Publish: &batch.Config{
		Version: 2, Services: []batch.Service{{Name: "desk"}}, Document: []byte("{}"),
		Queues: []batch.Queue{
			{Name: "gangs", Host: "h", Prefix: "/g/", Priority: 1, Service: "desk", Public: true},
			{Name: "batch", Host: "h", Prefix: "/b/", Priority: 2, Service: "desk", Public: true},
		},
	}})
	lasting := unitStep(1, 1)
	lasting.LongRunning = true
	b.submit("/g/", "lasting", lasting)
	b.waitFor(time.Second, "started", f.startedOnce(batch.UnitRef{Job: "lasting"}))
	b.submit("/g/", "gang", wholeWorkerGang(2))
	time.Sleep(2 * idleInterval) // for plans that reserve room for the gang
	b.submit("/b/", "other", unitStep(1, 1))
	b.waitFor(2*time.Second, "the other job started", f.startedOnce(batch.UnitRef{Job: "other"}))
	b.is.Equal(b.state("gang"), batch.Queued)
}

// The only run of a unit fails, and the only other worker is taken by a unit that lasts. Guards against
// a unit that is never started again although the worker of that run is idle, also by the next leader.
func TestUnitReturnsToWorkerOfItsFailure(t *testing.T) {
	for _, nextLeader := range []bool{false, true} {
		t.Run(map[bool]string{false: "sameLeader", true: "nextLeader"}[nextLeader], func(t *testing.T) {
			f := newFakeWorkers(t, time.Minute, "w1")
			b := newTestBed(t, f)
			b.submit("/b/", "j1", unitStep(1, 1))
			ref := batch.UnitRef{Job: "j1"}
			b.waitForRun("w1", runKey{ref, 1})
			b.addWorker("w2")
			b.waitForFirstReports("w2")
			f.mu.Lock()
			f.byID["w2"].lasting = true
			f.mu.Unlock()
			lasting := unitStep(1, 8)
			lasting.LongRunning = true
			b.submit("/b/", "lasting", lasting)
			b.waitForRun("w2", runKey{batch.UnitRef{Job: "lasting"}, 1})
			b.failNextRun("w1", runKey{ref, 1})
			b.waitFor(2*time.Second, "failed", func() bool { return b.unit(ref).Failed == 1 })
			if nextLeader {
				b.leadership.Close()
				b.open()
				b.waitForFirstReports("w1", "w2")
			}
			time.Sleep(2 * idleInterval) // for plans
			b.is.Equal(f.startedOn(ref), "[w1]")
			b.timeShift.Add(place.AvoidanceMS * int64(time.Millisecond))
			b.waitForRun("w1", runKey{ref, 2})
		})
	}
}
