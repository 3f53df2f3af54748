package dispatch

import (
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// The return after a change of leader: an urgent job waits, one worker is busy and the
// other one has become free, but answers its new leader a little later. Guards against
// a leader that stops a run for room that it has not heard of yet.
func TestNewLeaderListensBeforeItStopsRuns(t *testing.T) {
	f := newFakeWorkers(t, 10*time.Second, "w1", "w2")
	b := newTestBed(t, f)
	b.submit("/b/", "long", unitStep(1, 8))
	long := batch.UnitRef{Job: "long"}
	b.waitFor(time.Second, "started", f.startedOnce(long))
	b.leadership.Close()
	f.mu.Lock()
	busy, free := f.starts[long][0], "w1"
	if busy == free {
		free = "w2"
	}
	f.byID[free].holdDelay = 100 * time.Millisecond
	f.mu.Unlock()
	b.submit("/u/", "urgent", unitStep(1, 8))
	b.open()
	b.waitFor(settleTimeout+time.Second, "urgent job started", f.startedOnce(batch.UnitRef{Job: "urgent"}))
	f.mu.Lock()
	defer f.mu.Unlock()
	b.is.Equal(f.starts[batch.UnitRef{Job: "urgent"}], []string{free})
	b.is.Equal(f.byID[busy].fenced[long], 0) // not stopped
}

// Guards against a leader that never plans because some workers do not answer.
func TestNewLeaderDoesNotWaitForLostWorkers(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1", "w2")
	f.byID["w2"].dropCalls = true
	f.byID["w2"].holdDelay = 1500 * time.Millisecond
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(1, 8))
	b.waitFor(settleTimeout+time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
}
