package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/speed"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// endManyBehindCut runs the units of a job on w1, cuts it off until all have ended there, and
// lets its reports list only a few of the ends from then on. An idle worker w2 joins meanwhile.
func (b *testBed) endManyBehindCut(units, maxReportedEnds int) {
	b.t.Helper()
	f := b.workers
	b.leadership.Close()
	b.lease = 10 * time.Second
	b.open()
	b.waitForFirstReports("w1")
	b.submit("/b/", "j1", unitStep(units, 1))
	b.waitFor(2*time.Second, "started", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.starts) == units
	})
	time.Sleep(2 * idleInterval) // for the answers to the starts
	f.setDropCalls("w1", true)
	b.waitFor(5*time.Second, "ended behind the cut", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.byID["w1"].advance()
		return len(f.byID["w1"].running) == 0
	})
	f.mu.Lock()
	f.byID["w1"].maxReportedEnds = maxReportedEnds
	f.byID["w2"] = newFakeWorker(1)
	f.mu.Unlock()
	b.announce("w2", 1)
}

// startedTwice returns the units that were started more than once.
func (f *fakeWorkers) startedTwice() (out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for unit, workers := range f.starts {
		if len(workers) > 1 {
			out = append(out, fmt.Sprint(unit, workers))
		}
	}
	return out
}

// A worker that was cut off reports more ends than fit into one report. Guards against taking the
// runs that the first report leaves out for lost and starting their units again.
func TestRunsLeftOutOfAFullReportAreNotLost(t *testing.T) {
	f := newFakeWorkers(t, time.Second, "w1")
	b := newTestBed(t, f)
	b.endManyBehindCut(8, 3)
	f.setDropCalls("w1", false)
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.is.Equal(len(f.startedTwice()), 0)
}

// As above, with a new leader, whose first report is a full one.
func TestNewLeaderDoesNotLoseRunsLeftOutOfAFullReport(t *testing.T) {
	f := newFakeWorkers(t, time.Second, "w1")
	b := newTestBed(t, f)
	b.endManyBehindCut(8, 1)
	b.leadership.Close()
	f.mu.Lock()
	f.byID["w1"].answerDelay = 50 * time.Millisecond // for plans between two reports
	f.mu.Unlock()
	f.setDropCalls("w1", false)
	b.open()
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.is.Equal(len(f.startedTwice()), 0)
}

// A worker reports ends of runs that are not recorded, more than fit into one report. Guards against
// a wait of idleAckDelay before each further report, in which a late completion may be.
func TestFurtherEndsAreRequestedAtOnce(t *testing.T) {
	const reports = 4
	f := newFakeWorkers(t, time.Second, "w1")
	b := newTestBed(t, f)
	b.waitForFirstReports("w1")
	f.mu.Lock()
	w := f.byID["w1"]
	for i := range 3 * reports {
		w.end(runKey{batch.UnitRef{Job: "earlier", Index: i}, 1}, batch.EndDone)
	}
	w.maxReportedEnds = 3
	f.mu.Unlock()
	b.leadership.agent("w1").recordCallError(&workerapi.NoAnswerError{Cause: context.DeadlineExceeded})
	allAcked := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(w.ends) == 0
	}
	b.waitFor(idleCheckInterval+2*idleAckDelay, "all ends acknowledged", allAcked)
}

// A worker restarts, and an earlier run was carried out late by its next incarnation. Guards against
// declaring that run lost because a full report leaves out its end.
func TestEarlierRunLeftOutOfAFullReportIsNotLost(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, time.Second, "w1"))
	b.waitForFirstReports("w1")
	k := runKey{batch.UnitRef{Job: "j1"}, 1}
	p := &b.leadership.planner
	earlier := &batch.Unit{Worker: "w1", Incarnation: 0, Run: 1, State: batch.Active}
	b.is.True(p.canDeclareLost(k, earlier, true))
	a := b.leadership.agent("w1")
	a.processReport(&workerapi.UnitReport{Incarnation: 1, MoreEnds: true}, time.Now(), 0)
	b.is.True(!p.canDeclareLost(k, earlier, true))
}

// Two runs end behind a cut, and only one fits into the first report. Guards against taking the
// time of the second report for the time of the other's end: its worker would look slow.
func TestRateOfRunLeftOutOfAFullReportIsNotMeasured(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, time.Second, "w1"))
	b.leadership.Close()
	b.submit("/b/", "j1", unitStep(2, 1))
	began := time.Now()
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	keys := []runKey{{batch.UnitRef{Job: "j1"}, 1}, {batch.UnitRef{Job: "j1", Index: 1}, 1}}
	a := &agent{
		leadership: &Leadership{cfg: Config{Machine: b.machine}, speeds: &workerSpeeds{model: speed.New()}},
		worker:     batch.Worker{ID: "w1", Incarnation: 1, Rack: "r1"}, rates: map[runKey]*runRate{}, orders: map[runKey]*order{},
	}
	var starts []batch.Start
	var ends []workerapi.UnitEnd
	for i, k := range keys {
		a.orders[k] = &order{startAckedAt: began}
		starts = append(starts, batch.Start{Unit: k.unit, Run: k.run, Worker: "w1", Incarnation: 1})
		ends = append(ends, workerapi.UnitEnd{Number: int64(i + 1), Unit: k.unit, Run: k.run, How: batch.EndDone})
	}
	b.apply(&batch.Command{Starts: &batch.Starts{Starts: starts}})
	observed := metrics.GetOrCreateCounter("teaselpaddle_speed_observations_total")
	before := observed.Get()
	a.observeRates(&workerapi.UnitReport{}, began, began)
	a.observeRates(&workerapi.UnitReport{Ends: ends[:1], MoreEnds: true}, at(10), at(10))
	a.observeRates(&workerapi.UnitReport{Ends: ends[1:]}, at(10.02), at(10.02))
	b.is.Equal(observed.Get(), before)
}
