package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// maxStartsOfDeadlyUnit is the most starts of a unit that crashes each worker: after three
// crashes it may be started twice more.
const maxStartsOfDeadlyUnit = 5

// restartCrashed restarts the workers that have crashed, under their ids or as new workers
// at their addresses.
func (b *testBed) restartCrashed(underNewIDs bool) {
	b.t.Helper()
	f := b.workers
	f.mu.Lock()
	crashed := f.crashed
	f.crashed = nil
	next := map[string]int64{}
	for _, id := range crashed {
		old := f.byID[id]
		if underNewIDs {
			old.dropCalls, old.replaced = false, true
			id += "'"
		}
		f.byID[id] = newFakeWorker(old.incarnation + 1)
		next[id] = old.incarnation + 1
	}
	f.mu.Unlock()
	for id, incarnation := range next {
		b.announce(id, incarnation)
	}
}

// runUntilFailed restarts crashed workers until a job has failed.
func (b *testBed) runUntilFailed(job string, underNewIDs bool) {
	b.t.Helper()
	b.waitFor(8*time.Second, "job failed", func() bool {
		b.restartCrashed(underNewIDs)
		f := b.workers
		f.mu.Lock()
		for u := range f.deadly {
			if n := len(f.starts[u]); n > maxStartsOfDeadlyUnit {
				f.mu.Unlock()
				b.t.Fatalf("unit %v of job %s was started %d times on %v", u, u.Job, n, f.starts[u])
			}
		}
		f.mu.Unlock()
		return b.state(job) == batch.Failed
	})
}

// A unit crashes each worker that starts it, and the workers come back. Guards against one
// unit that crashes worker after worker, and takes the same other units along each time.
func TestUnitThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, underNewIDs := range []bool{false, true} {
		t.Run(fmt.Sprint("newIDs=", underNewIDs), func(t *testing.T) {
			f := newFakeWorkers(t, 150*time.Millisecond, "w1", "w2", "w3", "w4")
			f.deadly = map[batch.UnitRef]bool{{Job: "deadly", Index: 1}: true}
			b := newTestBed(t, f)
			for i := range 4 {
				b.submit("/b/", fmt.Sprint("good", i), unitStep(1, 1))
			}
			b.submit("/b/", "deadly", unitStep(2, 1))
			b.runUntilFailed("deadly", underNewIDs)
			b.waitFor(5*time.Second, "the other jobs completed", func() bool {
				b.restartCrashed(underNewIDs)
				for i := range 4 {
					if b.state(fmt.Sprint("good", i)) != batch.Completed {
						return false
					}
				}
				return true
			})
			f.mu.Lock()
			defer f.mu.Unlock()
			for u, n := range f.lostTogether {
				if u.Job != "deadly" && n > 1 {
					t.Errorf("unit %v of job %s was lost %d times", u, u.Job, n)
				}
			}
		})
	}
}

// Guards against a new leader that does not know how many workers a unit has crashed.
func TestNextLeaderKnowsCrashes(t *testing.T) {
	f := newFakeWorkers(t, 150*time.Millisecond, "w1", "w2", "w3", "w4")
	ref := batch.UnitRef{Job: "deadly"}
	f.deadly = map[batch.UnitRef]bool{ref: true}
	b := newTestBed(t, f)
	b.submit("/b/", "deadly", unitStep(1, 1))
	for n := 1; n < maxStartsOfDeadlyUnit && b.state("deadly") != batch.Failed; n++ {
		b.waitFor(3*time.Second, "crashed again", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.crashed) > 0 || b.state("deadly") == batch.Failed
		})
		b.leadership.Close()
		b.restartCrashed(false)
		b.open()
	}
	b.runUntilFailed("deadly", false)
}

// Guards against a gang that is started again and again with a member that crashes its worker.
func TestGangThatCrashesWorkersIsGivenUp(t *testing.T) {
	f := newFakeWorkers(t, 5*time.Second, "w1", "w2", "w3", "w4")
	f.deadly = map[batch.UnitRef]bool{{Job: "gang", Index: 1}: true}
	b := newTestBed(t, f)
	b.submit("/u/", "gang", wholeWorkerGang(2))
	b.runUntilFailed("gang", true)
	b.waitFor(2*time.Second, "the other member stopped", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, w := range f.byID {
			if !w.dropCalls && len(w.running) > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against a lasting step, which is restarted however its runs end, that crashes
// worker after worker.
func TestLastingUnitThatCrashesWorkersIsGivenUp(t *testing.T) {
	f := newFakeWorkers(t, 5*time.Second, "w1", "w2", "w3")
	f.deadly = map[batch.UnitRef]bool{{Job: "lasting"}: true}
	b := newTestBed(t, f)
	st := unitStep(1, 1)
	st.LongRunning = true
	b.submit("/b/", "lasting", st)
	b.runUntilFailed("lasting", true)
}

// A worker crashes before it answers a start, and is back under its id. Guards against
// sending the start to the next incarnation, which would crash as well.
func TestUnansweredStartIsNotSentToNextIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFakeWorkers(t, 150*time.Millisecond, "w1")
	ref := batch.UnitRef{Job: "j1"}
	f.deadly = map[batch.UnitRef]bool{ref: true}
	f.byID["w1"].loseStartAnswers = 1
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(1, 8))
	b.waitFor(time.Second, "crashed", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.crashed) == 1
	})
	f.mu.Lock()
	f.byID["w1"] = newFakeWorker(2) // back, but neither an announcement nor a report has told yet
	f.byID["w1"].loseHoldAnswers = 100
	f.mu.Unlock()
	time.Sleep(4 * retryInterval)
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(len(f.starts[ref]), 1)
}

// Guards against blaming units that had been at work when another one crashed the worker, or
// when it crashed by itself, and against sure blame for what may be coincidence.
func TestBlameOfRunsOnCrashedWorker(t *testing.T) {
	now := time.Now()
	begun := runEvidence{startedAt: now, silentAfter: 10 * time.Millisecond}
	earlier := runEvidence{startedAt: now.Add(-time.Second), silentAfter: 1010 * time.Millisecond, atWork: 500 * time.Millisecond}
	proven := runEvidence{startedAt: now.Add(-5 * time.Second), silentAfter: 5010 * time.Millisecond, atWork: 4 * time.Second}
	notAcked := runEvidence{startedAt: now, silentAfter: -1}
	inWave := begun
	inWave.wave = true
	const sole, shared, none = batch.BlameSole, batch.BlameShared, batch.BlameNone
	for _, c := range []struct {
		name     string
		jobs     string // of each run
		evidence []runEvidence
		want     []batch.Blame
	}{
		{"one has begun", "ab", []runEvidence{begun, proven}, []batch.Blame{sole, none}},
		{"one has begun after another", "ab", []runEvidence{begun, earlier}, []batch.Blame{sole, none}},
		{"two of a job have begun", "aab", []runEvidence{begun, begun, proven}, []batch.Blame{sole, sole, none}},
		{"two jobs have begun", "abc", []runEvidence{begun, begun, earlier}, []batch.Blame{shared, shared, none}},
		{"alone, for a second", "a", []runEvidence{earlier}, []batch.Blame{shared}},
		{"alone, the start was not answered", "a", []runEvidence{notAcked}, []batch.Blame{shared}},
		{"alone, other workers were lost as well", "a", []runEvidence{inWave}, []batch.Blame{shared}},
		{"all at work", "ab", []runEvidence{proven, proven}, []batch.Blame{none, none}},
		{"not started by this leader", "ab", []runEvidence{{silentAfter: -1}, begun}, []batch.Blame{shared, shared}},
		{"alone, nothing is known", "a", []runEvidence{{}}, []batch.Blame{shared}},
		{"alone, not started by this leader", "a", []runEvidence{{silentAfter: -1}}, []batch.Blame{shared}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var runs []runKey
			evidence := map[runKey]runEvidence{}
			for i, e := range c.evidence {
				k := runKey{batch.UnitRef{Job: c.jobs[i : i+1], Index: i}, 1}
				runs = append(runs, k)
				evidence[k] = e
			}
			blame := blameRuns(runs, evidence)
			for i, want := range c.want {
				is.Equal(blame[runs[i]], want)
			}
		})
	}
}

// A rack loses its power just after starts on one of its workers. Guards against blaming the
// unit, and against clearing one whose worker is lost at the same time as that of another unit
// which has just begun.
func TestWorkersLostAtTheSameTime(t *testing.T) {
	is := is.New(t)
	var s silences
	at := time.Now()
	s.add("w1", at, true)
	is.True(!s.isWave("w1", at))
	s.add("w2", at.Add(waveWindow/2), true)
	is.True(!s.isWave("w1", at))
	s.add("w3", at.Add(2*waveWindow), false)
	is.True(!s.isWave("w1", at))
	s.add("w4", at.Add(waveWindow), false)
	is.True(s.isWave("w1", at))
	s.add("w5", at.Add(2*silenceMemory), false)
	is.Equal(len(s.recent), 1)
}
