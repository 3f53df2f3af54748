package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// localGroup is a group of one replica that applies every entry immediately.
type localGroup struct {
	mu          sync.Mutex
	machine     *batch.Machine
	index       uint64
	commitDelay atomic.Int64 // before each entry is applied, ns
	resultDelay atomic.Int64 // between applying an entry and returning its result, ns
	results     sync.RWMutex // while it is locked, the results of its leader's entries wait
	proposals   atomic.Int64 // number of entries proposed
	cutOff      atomic.Bool  // rejects the entries of its leader
}

func (g *localGroup) Propose(_ context.Context, entry []byte) (any, error) {
	g.proposals.Add(1)
	var c batch.Command
	byLeader := codec.Unmarshal(entry, &c) == nil && c.Epoch > 0
	if g.cutOff.Load() && byLeader {
		return nil, &replica.NotLeaderError{}
	}
	time.Sleep(time.Duration(g.commitDelay.Load()))
	g.mu.Lock()
	g.index++
	result := g.machine.Apply(g.index, entry)
	g.mu.Unlock()
	time.Sleep(time.Duration(g.resultDelay.Load()))
	if byLeader {
		g.results.RLock()
		defer g.results.RUnlock()
	}
	return result, nil
}

func (g *localGroup) ReadIndex(context.Context) error {
	if g.cutOff.Load() {
		return &replica.NotLeaderError{}
	}
	return nil
}
func (g *localGroup) WaitDurable(context.Context) error { return nil }
func (g *localGroup) Transfer(context.Context) error    { return nil }
func (g *localGroup) Status() replica.Status            { return replica.Status{Leads: true} }
func (g *localGroup) Stop()                             {}

// fakeWorker implements the workers' protocol with injected faults.
type fakeWorker struct {
	incarnation      int64
	began            time.Time
	running          map[runKey]time.Time  // when each run completes
	fenced           map[batch.UnitRef]int // highest run number that is refused, by unit
	ends             []workerapi.UnitEnd
	lastEndNumber    int64
	epoch            uint64
	leaseUntil       int64
	dropCalls        bool // leaves all calls unanswered
	replaced         bool // another worker answers at its address
	loseStartAnswers int  // number of answers to starts to lose
	withholdStarts   int  // number of starts that are not answered and may be carried out late
	stall            bool // runs make no progress
	lasting          bool // runs do not end, and are at work at once
	failRuns         bool // every run fails
	stopsAt          map[runKey]time.Time
	dropHolds        bool // leaves holds unanswered
	loseHoldAnswers  int  // number of answers to holds to lose
	holdDelay        time.Duration
	refusal          workerapi.OrderRefusal // with which starts are refused
	answerDelay      time.Duration          // of holds, after their report is made
	maxReportedEnds  int                    // number of ends in one report; 0 means no limit
	speed            float64                // against which runs take longer or shorter and report progress; 0 means 1 without progress
}

// fakeWorkers implements workerapi.UnitClient.
type fakeWorkers struct {
	mu           sync.Mutex
	t            *testing.T
	byID         map[string]*fakeWorker
	duration     time.Duration
	starts       map[batch.UnitRef][]string     // workers on which each unit was started
	slowWorker   string                         // worker on which runs and stops take three times as long
	exclusive    bool                           // a worker runs only one unit at a time
	stopDuration time.Duration                  // time that a stop takes
	deadly       map[batch.UnitRef]bool         // units that crash each worker that starts them
	crashed      []string                       // workers that have crashed and are not back yet
	delayed      map[string]workerapi.UnitStart // the last start to each worker that left it unanswered
	lostTogether map[batch.UnitRef]int          // number of crashes of workers that ran each unit

	waitingHolds, maxWaitingHolds int // number of holds that wait for an end
}

func newFakeWorkers(t *testing.T, duration time.Duration, ids ...string) *fakeWorkers {
	f := &fakeWorkers{t: t, byID: map[string]*fakeWorker{}, duration: duration, starts: map[batch.UnitRef][]string{}, lostTogether: map[batch.UnitRef]int{}, delayed: map[string]workerapi.UnitStart{}}
	for _, id := range ids {
		f.byID[id] = newFakeWorker(1)
	}
	return f
}

func newFakeWorker(incarnation int64) *fakeWorker {
	return &fakeWorker{incarnation: incarnation, began: time.Now(), running: map[runKey]time.Time{}, fenced: map[batch.UnitRef]int{}, stopsAt: map[runKey]time.Time{}}
}

func (w *fakeWorker) clock() int64 { return time.Since(w.began).Milliseconds() }

func (w *fakeWorker) end(k runKey, how batch.Ending) {
	delete(w.running, k)
	w.lastEndNumber++
	w.ends = append(w.ends, workerapi.UnitEnd{Number: w.lastEndNumber, Unit: k.unit, Run: k.run, How: how})
	w.fenced[k.unit] = max(w.fenced[k.unit], k.run)
}

func (w *fakeWorker) advance() {
	for k, at := range w.running {
		stop, stopped := w.stopsAt[k]
		switch {
		case stopped && !time.Now().Before(stop):
			w.end(k, batch.EndStopped)
		case w.clock() > w.leaseUntil:
			w.end(k, batch.EndLeaseExpired)
		case w.failRuns:
			w.end(k, batch.EndFailed)
		case !w.stall && !w.lasting && time.Now().After(at):
			w.end(k, batch.EndDone)
		}
	}
}

func (f *fakeWorkers) reachableWorker(id string) (*fakeWorker, error) {
	w := f.byID[id]
	if w == nil || w.dropCalls {
		return nil, &workerapi.NoAnswerError{Cause: context.DeadlineExceeded}
	}
	if w.replaced {
		return nil, &workerapi.WrongWorkerError{Worker: id}
	}
	w.advance()
	return w, nil
}

func (f *fakeWorkers) Start(_ context.Context, t workerapi.UnitWorker, o workerapi.UnitStart) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.reachableWorker(t.ID)
	if err != nil {
		f.delayed[t.ID] = o
		return err
	}
	if w.withholdStarts > 0 {
		w.withholdStarts--
		f.delayed[t.ID] = o
		return &workerapi.NoAnswerError{Cause: context.DeadlineExceeded}
	}
	k := runKey{o.Unit, o.Run}
	w.leaseUntil = max(w.leaseUntil, o.UntilMS)
	if _, there := w.running[k]; there {
		return nil
	}
	switch {
	case w.refusal != "":
		return &workerapi.OrderRefusedError{Reason: w.refusal}
	case o.Epoch < w.epoch:
		return &workerapi.OrderRefusedError{Reason: workerapi.RefusedStaleEpoch}
	case o.Run <= w.fenced[o.Unit]:
		return &workerapi.OrderRefusedError{Reason: workerapi.RefusedEndedRun}
	case w.clock() > o.UntilMS:
		return &workerapi.OrderRefusedError{Reason: workerapi.RefusedExpiredLease}
	}
	f.recordStart(t.ID, k)
	if f.deadly[k.unit] {
		return f.crash(t.ID, w, k)
	}
	if f.exclusive && len(w.running) > 0 {
		f.t.Errorf("%v starts on %s, which already runs a unit", k, t.ID)
	}
	w.running[k] = time.Now().Add(f.duration)
	if t.ID == f.slowWorker {
		w.running[k] = time.Now().Add(3 * f.duration)
	}
	if w.speed > 0 {
		w.running[k] = time.Now().Add(f.durationOn(w))
	}
	if w.loseStartAnswers > 0 {
		w.loseStartAnswers--
		return &workerapi.NoAnswerError{Cause: context.DeadlineExceeded}
	}
	return nil
}

// hasDelayed returns a condition that holds once a worker has left a start unanswered.
func (f *fakeWorkers) hasDelayed(id string) func() bool {
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		_, ok := f.delayed[id]
		return ok
	}
}

// deliverDelayed carries out a start late that a worker has left unanswered.
func (f *fakeWorkers) deliverDelayed(id string) {
	if err := f.tryDelayed(id); err != nil {
		f.t.Errorf("delayed start on %s: %v", id, err)
	}
}

// tryDelayed hands a worker a start late that it has left unanswered, and returns its answer.
func (f *fakeWorkers) tryDelayed(id string) error {
	f.mu.Lock()
	o := f.delayed[id]
	f.mu.Unlock()
	return f.Start(context.Background(), workerapi.UnitWorker{ID: id}, o)
}

// crash ends a worker that begins a run. The start is still answered unless the worker
// loses answers.
func (f *fakeWorkers) crash(id string, w *fakeWorker, k runKey) error {
	w.dropCalls = true
	f.crashed = append(f.crashed, id)
	f.lostTogether[k.unit]++
	for r := range w.running {
		f.lostTogether[r.unit]++
	}
	clear(w.running)
	if w.loseStartAnswers > 0 {
		return &workerapi.NoAnswerError{Cause: context.DeadlineExceeded}
	}
	return nil
}

// durationOn returns how long a run takes on a worker with a speed.
func (f *fakeWorkers) durationOn(w *fakeWorker) time.Duration {
	return time.Duration(float64(f.duration) / w.speed)
}

// startedOnce returns a condition that holds if a unit has been started exactly once.
func (f *fakeWorkers) startedOnce(unit batch.UnitRef) func() bool {
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.starts[unit]) == 1
	}
}

// recordStart records a start. It fails the test if the unit already runs on any
// worker.
func (f *fakeWorkers) recordStart(id string, k runKey) {
	f.starts[k.unit] = append(f.starts[k.unit], id)
	for other, w := range f.byID {
		w.advance()
		for r := range w.running {
			if r.unit == k.unit {
				f.t.Errorf("unit %v runs on %s and starts on %s", k.unit, other, id)
			}
		}
	}
}

func (f *fakeWorkers) Stop(_ context.Context, t workerapi.UnitWorker, o workerapi.UnitStop) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.reachableWorker(t.ID)
	if err != nil {
		return err
	}
	if _, there := w.running[runKey{o.Unit, o.Run}]; there {
		duration := f.stopDuration
		if t.ID == f.slowWorker {
			duration *= 3
		}
		w.stopsAt[runKey{o.Unit, o.Run}] = time.Now().Add(duration)
	}
	w.advance()
	w.fenced[o.Unit] = max(w.fenced[o.Unit], o.Run)
	return nil
}

func (f *fakeWorkers) Hold(ctx context.Context, t workerapi.UnitWorker, o workerapi.UnitHold) (*workerapi.UnitReport, error) {
	until := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	if o.WaitMS > 0 {
		f.mu.Lock()
		f.waitingHolds++
		f.maxWaitingHolds = max(f.maxWaitingHolds, f.waitingHolds)
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			f.waitingHolds--
			f.mu.Unlock()
		}()
	}
	f.mu.Lock()
	var delay time.Duration
	if w := f.byID[t.ID]; w != nil {
		delay = w.holdDelay
	}
	f.mu.Unlock()
	time.Sleep(delay)
	for first := true; ; first = false {
		f.mu.Lock()
		w, err := f.reachableWorker(t.ID)
		if err == nil && w.dropHolds {
			err = &workerapi.NoAnswerError{Cause: context.DeadlineExceeded}
		}
		if err != nil {
			f.mu.Unlock()
			return nil, err
		}
		if first {
			w.epoch = max(w.epoch, o.Epoch)
			w.leaseUntil = max(w.leaseUntil, o.UntilMS)
			for len(w.ends) > 0 && w.ends[0].Number <= o.AckedEnds {
				w.ends = w.ends[1:]
			}
		}
		if len(w.ends) > 0 || time.Now().After(until) {
			rep := &workerapi.UnitReport{Incarnation: w.incarnation, ClockMS: w.clock()}
			for k, at := range w.running {
				r := workerapi.UnitRun{Unit: k.unit, Run: k.run}
				if w.lasting {
					r.Percent = 100
				} else if w.speed > 0 {
					r.Percent = int(100 - 100*time.Until(at)/f.durationOn(w))
				}
				rep.Runs = append(rep.Runs, r)
			}
			rep.Ends = append(rep.Ends, w.ends...)
			if n := w.maxReportedEnds; n > 0 && len(rep.Ends) > n {
				rep.Ends, rep.MoreEnds = rep.Ends[:n], true
			}
			if w.loseHoldAnswers > 0 {
				w.loseHoldAnswers--
				rep, err = nil, &workerapi.NoAnswerError{Cause: context.DeadlineExceeded}
			}
			delay := w.answerDelay
			f.mu.Unlock()
			if delay > 0 && !retry.Sleep(ctx, delay) {
				return nil, &workerapi.NoAnswerError{Cause: ctx.Err()}
			}
			return rep, err
		}
		f.mu.Unlock()
		if !retry.Sleep(ctx, 5*time.Millisecond) {
			return nil, &workerapi.NoAnswerError{Cause: ctx.Err()}
		}
	}
}

// readHistogram returns the number of observations of a histogram and their sum in
// seconds.
func readHistogram(t *testing.T, name string) (count, sum float64) {
	t.Helper()
	var b bytes.Buffer
	metrics.WritePrometheus(&b, false)
	for line := range strings.Lines(b.String()) {
		_, _ = fmt.Sscanf(line, name+"_count %f", &count)
		_, _ = fmt.Sscanf(line, name+"_sum %f", &sum)
	}
	return count, sum
}

// Guards against a metric for the time from the report of an end to its commit that
// leaves out the commit itself.
func TestEndNotedMetricIncludesCommit(t *testing.T) {
	const commit = 150 * time.Millisecond
	count, sum := readHistogram(t, "teaselpaddle_end_noted_seconds")
	f := newFakeWorkers(t, 50*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.submit("/b/", "j1", unitStep(1, 1))
	b.group.commitDelay.Store(int64(commit))
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.waitFor(time.Second, "end counted with its commit time", func() bool {
		c, s := readHistogram(t, "teaselpaddle_end_noted_seconds")
		return c == count+1 && s-sum >= commit.Seconds()
	})
}
