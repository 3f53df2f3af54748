package dispatch

import (
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

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
