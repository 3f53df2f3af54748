package dispatch

import (
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/timeofday"
)

// steady returns the leader's time with that for which its machine was suspended.
func (b *testBed) steady() time.Duration {
	return timeofday.Steady() + time.Duration(b.timeShift.Load()+b.suspended.Load())
}

// A worker is suspended for longer than a run may be without progress, but for less than
// its lease. Guards against giving up the run as stalled in the first report after that:
// it cannot have made progress meanwhile.
func TestSilenceOfWorkerIsNoStall(t *testing.T) {
	f := newFakeWorkers(t, 10*time.Second, "w1")
	b := newTestBed(t, f)
	b.leadership.Close()
	b.lease = 3 * minStallTimeout
	b.open()
	b.waitForFirstReports("w1")
	b.submit("/b/", "j1", unitStep(1, 8))
	k := runKey{batch.UnitRef{Job: "j1"}, 1}
	agentState := func(cond func(a *agent) bool) func() bool {
		return func() bool {
			a := b.leadership.agent("w1")
			a.mu.Lock()
			defer a.mu.Unlock()
			return cond(a)
		}
	}
	b.waitFor(2*time.Second, "reported", agentState(func(a *agent) bool { return a.progress[k] != nil }))
	f.setDropCalls("w1", true)
	b.waitFor(3*time.Second, "silence noticed", agentState(func(a *agent) bool { return a.unansweredCalls > 0 }))
	b.timeShift.Store(int64(minStallTimeout))
	f.setDropCalls("w1", false)
	b.waitFor(2*time.Second, "answers again", agentState(func(a *agent) bool { return a.unansweredCalls == 0 }))
	time.Sleep(2 * idleInterval) // for plans that look for stalled runs
	f.mu.Lock()
	defer f.mu.Unlock()
	b.is.Equal(len(f.byID["w1"].fenced), 0)
	b.is.Equal(f.starts[k.unit], []string{"w1"})
}

// Guards against a leader that was paused, is cut off, and acts on a leadership that it may
// have lost meanwhile: it would extend leases beyond the time after which the next leader
// counts them as expired, and send a start that it had recorded before the pause.
func TestPausedLeaderExtendsNoLeaseAndStartsNothing(t *testing.T) {
	f := newFakeWorkers(t, 10*time.Second, "w1", "w2")
	b := newTestBed(t, f)
	b.leadership.Close()
	b.lease = 10 * time.Second
	b.open()
	b.waitForFirstReports("w1", "w2")
	b.submit("/b/", "j1", unitStep(1, 8))
	b.waitFor(time.Second, "started", f.startedOnce(batch.UnitRef{Job: "j1"}))
	b.group.results.Lock()
	b.submit("/b/", "j2", unitStep(1, 8))
	b.waitFor(time.Second, "recorded", func() bool { return b.state("j2") == batch.Running })
	b.group.cutOff.Store(true)
	b.timeShift.Store(int64(maxUnconfirmed))
	b.group.results.Unlock()
	time.Sleep(50 * time.Millisecond) // for holds that were on their way
	leases := func() (until []int64) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, id := range []string{"w1", "w2"} {
			until = append(until, f.byID[id].leaseUntil)
		}
		return until
	}
	before := leases()
	b.leadership.agent("w1").notify()
	time.Sleep(3 * time.Second / 2) // for the next holds, and for the delayed result
	b.is.Equal(leases(), before)
	b.is.Equal(f.startedOn(batch.UnitRef{Job: "j2"}), "[]")
	b.group.cutOff.Store(false)
	b.waitFor(2*time.Second, "started once the leadership is confirmed", f.startedOnce(batch.UnitRef{Job: "j2"}))
}

// A leader's machine is suspended for longer than a confirmation is valid; the clock of
// package time does not count that time. Guards against leases and starts by the leader
// after it has woken, although it may have been replaced meanwhile.
func TestSuspendedLeaderExtendsNoLeaseAndStartsNothing(t *testing.T) {
	f := newFakeWorkers(t, 10*time.Second, "w1")
	b := newTestBed(t, f)
	b.leadership.Close()
	b.lease = 10 * time.Second
	b.open()
	b.waitForFirstReports("w1")
	b.submit("/b/", "j1", unitStep(1, 4))
	b.waitFor(time.Second, "started", f.startedOnce(batch.UnitRef{Job: "j1"}))
	b.group.results.Lock()
	b.submit("/b/", "j2", unitStep(1, 4))
	b.waitFor(time.Second, "recorded", func() bool { return b.state("j2") == batch.Running })
	b.group.cutOff.Store(true)
	b.suspended.Store(int64(maxUnconfirmed))
	b.group.results.Unlock()
	time.Sleep(50 * time.Millisecond) // for holds that were on their way
	lease := func() int64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.byID["w1"].leaseUntil
	}
	before := lease()
	b.leadership.agent("w1").notify()
	time.Sleep(3 * time.Second / 2) // for the next holds, and for the delayed result
	b.is.Equal(lease(), before)
	b.is.Equal(f.startedOn(batch.UnitRef{Job: "j2"}), "[]")
	b.group.cutOff.Store(false)
	b.waitFor(2*time.Second, "started once the leadership is confirmed", f.startedOnce(batch.UnitRef{Job: "j2"}))
}

// During a handover two leaders are active for a moment. Guards against a run that both of
// them start, and against a stop by the next leader of what the first has just started.
func TestTwoActiveLeadersStartEachRunOnce(t *testing.T) {
	f := newFakeWorkers(t, 100*time.Millisecond, "w1", "w2")
	f.byID["w1"].loseStartAnswers, f.byID["w2"].loseStartAnswers = 1, 1 // orders that both send
	b := newTestBed(t, f)
	b.waitForFirstReports("w1", "w2")
	b.submit("/b/", "j1", unitStep(8, 4))
	b.waitFor(time.Second, "the first leader starts runs", func() bool { return b.state("j1") == batch.Running })
	first := b.leadership
	b.open()
	first.Wake()
	b.submit("/b/", "j2", unitStep(4, 4))
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed && b.state("j2") == batch.Completed })
	f.mu.Lock()
	defer f.mu.Unlock()
	b.is.Equal(len(f.starts), 12)
	for _, workers := range f.starts {
		b.is.Equal(len(workers), 1) // each unit ran once
	}
}

// Guards against a second run of a unit whose end was reported in answers that were lost.
func TestLostEndReportStartsNoSecondRun(t *testing.T) {
	f := newFakeWorkers(t, 100*time.Millisecond, "w1", "w2")
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(1, 8))
	ref := batch.UnitRef{Job: "j1"}
	b.waitFor(2*time.Second, "started", f.startedOnce(ref))
	f.mu.Lock()
	for _, w := range f.byID {
		w.loseHoldAnswers = 2
	}
	f.mu.Unlock()
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.is.True(f.startedOnce(ref)())
}

// Guards against a new leader whose leadership is not confirmed yet and that counts the
// lease of a worker as expired after one call without an answer, because it has granted none
// itself: what runs there would be started again elsewhere.
func TestNewLeaderKeepsRunsUnderEarlierLeases(t *testing.T) {
	f := newFakeWorkers(t, 10*time.Second, "w1", "w2")
	b := newTestBed(t, f)
	b.leadership.Close()
	b.lease = 10 * time.Second
	b.open()
	b.waitForFirstReports("w1", "w2")
	b.submit("/b/", "j1", unitStep(2, 8))
	b.waitFor(time.Second, "started", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.starts) == 2
	})
	b.leadership.Close()
	b.open()
	b.group.cutOff.Store(true)
	b.waitForFirstReports("w1", "w2")
	f.setDropCalls("w1", true)
	b.waitFor(3*time.Second, "silence noticed", func() bool {
		a := b.leadership.agent("w1")
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.unansweredCalls > 1
	})
	b.group.cutOff.Store(false)
	time.Sleep(2 * idleInterval) // for ends that would be committed
	b.machine.View(func(v *batch.View) {
		n := 0
		v.EachActiveUnit("w1", func(batch.UnitRef, *batch.Unit) { n++ })
		b.is.Equal(n, 1)
	})
}
