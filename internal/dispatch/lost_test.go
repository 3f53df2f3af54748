package dispatch

import (
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

func wholeWorkerGang(units int) batch.Step {
	st := unitStep(units, 8)
	st.Gang = true
	return st
}

// An idle worker is lost behind a cut, and what it announced before arrives ten seconds
// later. Guards against a gang with a member on that worker: the others would wait for it
// until they give up.
func TestLateAnnouncementDoesNotReviveLostWorker(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1", "w2")
	b := newTestBed(t, f)
	b.waitForFirstReports("w1", "w2")
	f.mu.Lock()
	clock := f.byID["w2"].clock()
	f.byID["w2"].dropCalls = true
	f.mu.Unlock()
	b.heartbeats.Forget("w2")
	b.heartbeats.Record("w2", 1, clock+1, b.now())
	b.timeShift.Store(int64(10 * time.Second))
	b.heartbeats.Record("w2", 1, clock+100, b.now())
	b.submit("/u/", "gang", wholeWorkerGang(2))
	time.Sleep(300 * time.Millisecond) // for plans that place the gang
	b.is.Equal(b.state("gang"), batch.Queued)
	f.mu.Lock()
	f.byID["w3"] = newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w3", 1)
	b.waitFor(time.Second, "completed on the workers that live", func() bool { return b.state("gang") == batch.Completed })
}

// The start of one member reaches another worker, which now has the address. Guards
// against the other members waiting for it until they give up, and against the gang
// waiting for that.
func TestGangIsStoppedOnceAMemberIsLost(t *testing.T) {
	f := newFakeWorkers(t, 10*time.Second, "w1", "w2")
	b := newTestBed(t, f)
	b.waitForFirstReports("w1", "w2")
	f.mu.Lock()
	f.byID["w2"].replaced = true
	f.mu.Unlock()
	b.submit("/u/", "gang", wholeWorkerGang(2))
	b.waitFor(2*time.Second, "the member that began is stopped", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.byID["w1"].fenced) == 1
	})
	f.mu.Lock()
	f.byID["w3"] = newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w3", 1)
	b.waitFor(time.Second, "started on the workers that live", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.byID["w1"].running) == 1 && len(f.byID["w3"].running) == 1
	})
}
