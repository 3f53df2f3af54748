package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
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

// startGangOnLostWorker starts a gang of two, of which one member's worker is lost by lose,
// and waits until the other member is stopped.
func (b *testBed) startGangOnLostWorker(lose func(w *fakeWorker)) {
	b.t.Helper()
	f := b.workers
	b.waitForFirstReports("w1", "w2")
	f.mu.Lock()
	lose(f.byID["w2"])
	f.mu.Unlock()
	b.submit("/u/", "gang", wholeWorkerGang(2))
	b.waitFor(2*time.Second, "the member that began is stopped", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.byID["w1"].fenced) == 1
	})
}

// The start of one member reaches another worker, which now has the address. Guards
// against the other members waiting for it until they give up, and against the gang
// waiting for that.
func TestGangIsStoppedOnceAMemberIsLost(t *testing.T) {
	f := newFakeWorkers(t, 10*time.Second, "w1", "w2")
	b := newTestBed(t, f)
	b.startGangOnLostWorker(func(w *fakeWorker) { w.replaced = true })
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

// A worker is suspended for ten seconds, and its clock stands still meanwhile: all of its
// announcements look late after that. Guards against a worker that gets no more runs
// although it lives.
func TestSuspendedWorkerIsAskedAndUsedAgain(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.waitForFirstReports("w1")
	f.mu.Lock()
	clock := f.byID["w1"].clock()
	f.mu.Unlock()
	b.heartbeats.Forget("w1")
	b.heartbeats.Record("w1", 1, clock+1, b.now())
	b.timeShift.Store(int64(10 * time.Second))
	b.heartbeats.Record("w1", 1, clock+100, b.now())
	b.submit("/b/", "j1", unitStep(1, 8))
	b.waitFor(idleCheckInterval+time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
}

// Guards against an idle worker that stays unusable after a call to it went unanswered once.
func TestIdleWorkerIsAskedUntilItAnswers(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.waitForFirstReports("w1")
	a := b.leadership.agent("w1")
	a.recordCallError(&workerapi.NoAnswerError{Cause: context.DeadlineExceeded})
	b.submit("/b/", "j1", unitStep(1, 8))
	b.waitFor(idleCheckInterval+time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
}

// Guards against wrong ages of announcements: a worker's clock runs up to 2% slow, reports
// overtake each other, and a restarted worker counts from 0.
func TestAgeOfAnnouncements(t *testing.T) {
	is := is.New(t)
	var h Heartbeats
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	is.Equal(h.Record("w", 1, 5000, at(0)), at(0))
	is.Equal(h.Record("w", 1, 5000+9800, at(10)), at(10)) // on time, by a slow clock
	is.Equal(h.Record("w", 1, 5000+9800+490, at(18)), at(10.5))
	is.Equal(h.LastSeen("w", 1), at(10.5))
	is.True(h.Unconfirmed("w", 1))
	is.Equal(h.Record("w", 1, 5000, at(18)), at(0)) // overtaken by the others
	is.Equal(h.LastSeen("w", 1), at(10.5))
	h.RecordAnswer("w", 1, 30000, at(20))
	is.True(!h.Unconfirmed("w", 1))
	is.Equal(h.LastSeen("w", 1), at(20))
	is.Equal(h.Record("w", 2, 100, at(21)), at(21)) // another incarnation
	h.Record("w", 1, 31000, at(22))
	is.Equal(h.LastSeen("w", 2), at(21))
}

// A worker is lost just before one member of a gang is started there. Guards against the
// other members waiting for it until they give up, which keeps their workers from other
// jobs for seconds.
func TestGangIsStoppedWhenAMemberDoesNotAnswer(t *testing.T) {
	f := newFakeWorkers(t, 10*time.Second, "w1", "w2")
	b := newTestBed(t, f)
	b.startGangOnLostWorker(func(w *fakeWorker) { w.dropCalls = true })
	b.submit("/b/", "other", unitStep(1, 8))
	b.waitFor(time.Second, "another job started", f.startedOnce(batch.UnitRef{Job: "other"}))
}

// An idle worker has missed an announcement and may be gone; another one has not. Guards
// against starts on the first, which may stay unanswered.
func TestOverdueWorkerIsUsedLast(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1", "w2")
	b := newTestBed(t, f)
	b.waitForFirstReports("w1", "w2")
	b.heartbeats.Forget("w1")
	b.heartbeats.Record("w1", 1, 0, b.now())
	b.timeShift.Store(int64(overdueAfter + 100*time.Millisecond))
	for i := range 4 {
		id := fmt.Sprint("j", i)
		b.submit("/b/", id, unitStep(1, 8))
		b.waitFor(time.Second, "completed", func() bool { return b.state(id) == batch.Completed })
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for unit, workers := range f.starts {
		if workers[0] != "w2" {
			t.Errorf("unit %v was started on %v", unit, workers)
		}
	}
}
