package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/sched/speed"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// newSpeedTestBed returns a test bed with n workers, of which a third each runs at 0.6, 1.0
// and 1.6 times the common speed, and a leader that measures speeds.
func newSpeedTestBed(t *testing.T, n int) *testBed {
	f := newFakeWorkers(t, 300*time.Millisecond)
	for i := range n {
		w := newFakeWorker(1)
		w.speed = []float64{0.6, 1, 1.6}[i%3]
		f.byID[fmt.Sprintf("w%02d", i)] = w
	}
	b := newTestBed(t, f)
	b.measureSpeeds = true
	b.reopen()
	return b
}

func (b *testBed) reopen() {
	b.leadership.Close()
	b.open()
}

// runOnAll runs jobs with steps that fill all workers.
func (b *testBed) runOnAll(name string, jobs int) {
	b.t.Helper()
	for i := range jobs {
		id := fmt.Sprint(name, i)
		b.submit("/b/", id, unitStep(4*len(b.workers.byID), 2))
		b.waitFor(10*time.Second, "completed", func() bool { return b.state(id) == batch.Completed })
	}
}

// areTold reports whether all workers are estimated on the right side of the limits between
// slow, common and fast ones.
func (b *testBed) areTold() bool {
	for id, w := range b.workers.byID {
		s := b.leadership.Speed(id, w.incarnation)
		if s == nil || (s.LogMilli < -200) != (w.speed < 1) || (s.LogMilli > 200) != (w.speed > 1) {
			return false
		}
	}
	return true
}

// Guards against a new leader that forgets the speeds that were half learnt, that counts
// the runs which it takes over twice, or that learns nothing more.
func TestSpeedsSurviveChangeOfLeader(t *testing.T) {
	b := newSpeedTestBed(t, 12)
	b.runOnAll("first", 1)
	recorded := func() (n int) {
		b.machine.View(func(v *batch.View) {
			for _, w := range v.Workers() {
				if w.Speed != nil {
					n++
				}
			}
		})
		return n
	}
	b.waitFor(5*time.Second, "speeds recorded", func() bool { return recorded() >= 8 })
	b.submit("/b/", "across", unitStep(4*len(b.workers.byID), 2))
	b.waitFor(time.Second, "all units started", func() bool {
		b.workers.mu.Lock()
		defer b.workers.mu.Unlock()
		return len(b.workers.starts) == 8*len(b.workers.byID)
	})
	b.leadership.Close()
	before := map[string]*batch.WorkerSpeed{}
	b.machine.View(func(v *batch.View) {
		for id, w := range v.Workers() {
			before[id] = w.Speed
		}
	})
	b.open()
	b.waitFor(time.Second, "recorded speeds known", func() bool {
		for id, s := range before {
			if s != nil && b.leadership.Speed(id, 1) == nil {
				return false
			}
		}
		return true
	})
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("across") == batch.Completed })
	time.Sleep(2 * minFitInterval) // for an estimate that would include the runs taken over
	for id, s := range before {
		if s != nil {
			b.is.Equal(b.leadership.Speed(id, 1).Observations, s.Observations)
		}
	}
	b.runOnAll("second", 2)
	b.waitFor(2*time.Second, "all told", b.areTold)
}

// Guards against a worker that comes back with another speed and is taken for what it was.
func TestRestartedWorkerIsMeasuredAnew(t *testing.T) {
	b := newSpeedTestBed(t, 12)
	b.runOnAll("first", 2)
	b.waitFor(5*time.Second, "all told", b.areTold)
	f := b.workers
	f.mu.Lock()
	f.byID["w00"] = newFakeWorker(2)
	f.byID["w00"].speed = 1.6
	f.mu.Unlock()
	b.announce("w00", 2)
	b.is.True(b.leadership.Speed("w00", 2) == nil)
	b.runOnAll("second", 2)
	b.waitFor(2*time.Second, "all told", b.areTold)
}

// Guards against rates that do not show the speed of a worker: those of runs away from
// their data, and of members of a gang that wait for slower ones.
func TestUnsuitableRunsAreNotMeasured(t *testing.T) {
	b := newSpeedTestBed(t, 6)
	dropped := func(reason string) uint64 {
		return metrics.GetOrCreateCounter("teaselpaddle_speed_observations_dropped_total{reason=\"" + reason + "\"}").Get()
	}
	observed := metrics.GetOrCreateCounter("teaselpaddle_speed_observations_total")
	away, before := dropped(dropAwayFromData), observed.Get()
	remote := unitStep(4, 2)
	remote.DataRack = "r2"
	b.submit("/b/", "remote", remote)
	b.waitFor(20*time.Second, "completed", func() bool { return b.state("remote") == batch.Completed })
	b.is.Equal(dropped(dropAwayFromData), away+4)
	b.is.Equal(observed.Get(), before)

	now := time.Now()
	m := &runRate{gang: true, from: now.Add(-time.Second)}
	a := &agent{leadership: b.leadership, rates: map[runKey]*runRate{{unit: batch.UnitRef{Job: "gang"}, run: 1}: m}}
	a.observeRates(&workerapi.UnitReport{Runs: []workerapi.UnitRun{{Unit: batch.UnitRef{Job: "gang"}, Run: 1, Percent: 100}}}, now, now)
	a.observeRates(&workerapi.UnitReport{Ends: []workerapi.UnitEnd{{Unit: batch.UnitRef{Job: "gang"}, Run: 1, How: batch.EndDone}}}, now, now)
	b.is.True(m.ended)
	b.is.Equal(observed.Get(), before)
}

// Guards against records of speeds that take more than 2 KB per second of the replicated
// log.
func TestSpeedRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	s := &workerSpeeds{}
	fitted := &fittedSpeeds{spread: 0.4, byWorker: map[string]fittedSpeed{}}
	workers := map[string]*batch.Worker{}
	for i := range 350 {
		id := fmt.Sprint("worker-", i, strings.Repeat("x", i%50))
		workers[id] = &batch.Worker{ID: id, Incarnation: time.Now().UnixMilli()}
		fitted.byWorker[id] = fittedSpeed{workers[id].Incarnation, speed.Estimate{Log: -0.5, SD: 0.2, Observations: 1000}}
	}
	s.fitted.Store(fitted)
	speeds := s.changedSpeeds(workers)
	raw, err := codec.Marshal(&batch.Command{Epoch: 1 << 40, Speeds: &batch.WorkerSpeeds{Speeds: speeds}})
	is.NoErr(err)
	is.True(len(raw) <= 2000*int(recordInterval/time.Second))
	is.True(len(speeds) >= 40)
}
