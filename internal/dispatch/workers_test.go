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
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// localGroup applies every entry at once.
type localGroup struct {
	mu    sync.Mutex
	m     *batch.Machine
	index uint64
	delay atomic.Int64 // of each commit, ns
	lag   atomic.Int64 // from the application of a commit to the answer, ns
}

func (g *localGroup) Propose(_ context.Context, entry []byte) (any, error) {
	time.Sleep(time.Duration(g.delay.Load()))
	g.mu.Lock()
	g.index++
	result := g.m.Apply(g.index, entry)
	g.mu.Unlock()
	time.Sleep(time.Duration(g.lag.Load()))
	return result, nil
}
func (g *localGroup) ReadIndex(context.Context) error   { return nil }
func (g *localGroup) WaitDurable(context.Context) error { return nil }
func (g *localGroup) Transfer(context.Context) error    { return nil }
func (g *localGroup) Status() replica.Status            { return replica.Status{Leads: true} }
func (g *localGroup) Stop()                             {}

// fakeWorker keeps to the workers' protocol.
type fakeWorker struct {
	life    int64
	began   time.Time
	running map[runKey]time.Time  // by when they are done
	fenced  map[batch.UnitRef]int // highest run that is refused
	ends    []workerapi.UnitEnd
	next    int64
	epoch   uint64
	until   int64
	silent  bool // swallows calls
	lose    int  // answers to starts that are lost
	hang    bool // what it runs stands still
	fail    bool // all that it starts fails
	stops   map[runKey]time.Time
	mute    bool // swallows holds
}

// fakeWorkers implements workerapi.UnitClient.
type fakeWorkers struct {
	mu       sync.Mutex
	t        *testing.T
	by       map[string]*fakeWorker
	duration time.Duration
	starts   map[batch.UnitRef][]string // workers on which a unit began
	slow     string                     // a worker on which units and stops take three times as long
	alone    bool                       // each unit needs a whole worker
	stopping time.Duration              // that a stop takes

	waiting, mostWaiting int // holds that wait for an end
}

func newFakeWorkers(t *testing.T, duration time.Duration, ids ...string) *fakeWorkers {
	f := &fakeWorkers{t: t, by: map[string]*fakeWorker{}, duration: duration, starts: map[batch.UnitRef][]string{}}
	for _, id := range ids {
		f.by[id] = newFakeWorker(1)
	}
	return f
}

func newFakeWorker(life int64) *fakeWorker {
	return &fakeWorker{life: life, began: time.Now(), running: map[runKey]time.Time{}, fenced: map[batch.UnitRef]int{}, stops: map[runKey]time.Time{}}
}

func (w *fakeWorker) clock() int64 { return time.Since(w.began).Milliseconds() }

func (w *fakeWorker) end(k runKey, how batch.Ending) {
	delete(w.running, k)
	w.next++
	w.ends = append(w.ends, workerapi.UnitEnd{Number: w.next, Unit: k.unit, Run: k.run, How: how})
	w.fenced[k.unit] = max(w.fenced[k.unit], k.run)
}

func (w *fakeWorker) advance() {
	for k, at := range w.running {
		stop, stopped := w.stops[k]
		switch {
		case stopped && !time.Now().Before(stop):
			w.end(k, batch.EndStopped)
		case w.clock() > w.until:
			w.end(k, batch.EndLapsed)
		case w.fail:
			w.end(k, batch.EndFailed)
		case !w.hang && time.Now().After(at):
			w.end(k, batch.EndDone)
		}
	}
}

func (f *fakeWorkers) worker(id string) (*fakeWorker, error) {
	w := f.by[id]
	if w == nil || w.silent {
		return nil, &workerapi.NoAnswerError{Cause: context.DeadlineExceeded}
	}
	w.advance()
	return w, nil
}

func (f *fakeWorkers) Start(_ context.Context, t workerapi.UnitWorker, o workerapi.UnitStart) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.worker(t.ID)
	if err != nil {
		return err
	}
	k := runKey{o.Unit, o.Run}
	w.until = max(w.until, o.UntilMS)
	if _, there := w.running[k]; there {
		return nil
	}
	switch {
	case o.Epoch < w.epoch:
		return &workerapi.OrderRefusedError{Reason: workerapi.RefusedEpoch}
	case o.Run <= w.fenced[o.Unit]:
		return &workerapi.OrderRefusedError{Reason: workerapi.RefusedOld}
	case w.clock() > o.UntilMS:
		return &workerapi.OrderRefusedError{Reason: workerapi.RefusedLate}
	}
	f.noteStart(t.ID, k)
	if f.alone && len(w.running) > 0 {
		f.t.Errorf("%v starts on %s, which is full", k, t.ID)
	}
	w.running[k] = time.Now().Add(f.duration)
	if t.ID == f.slow {
		w.running[k] = time.Now().Add(3 * f.duration)
	}
	if w.lose > 0 {
		w.lose--
		return &workerapi.NoAnswerError{Cause: context.DeadlineExceeded}
	}
	return nil
}

// began reports whether a unit has begun once.
func (f *fakeWorkers) began(unit batch.UnitRef) func() bool {
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.starts[unit]) == 1
	}
}

// noteStart fails the test if the unit runs on another worker.
func (f *fakeWorkers) noteStart(id string, k runKey) {
	f.starts[k.unit] = append(f.starts[k.unit], id)
	for other, w := range f.by {
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
	w, err := f.worker(t.ID)
	if err != nil {
		return err
	}
	if _, there := w.running[runKey{o.Unit, o.Run}]; there {
		takes := f.stopping
		if t.ID == f.slow {
			takes *= 3
		}
		w.stops[runKey{o.Unit, o.Run}] = time.Now().Add(takes)
	}
	w.advance()
	w.fenced[o.Unit] = max(w.fenced[o.Unit], o.Run)
	return nil
}

func (f *fakeWorkers) Hold(ctx context.Context, t workerapi.UnitWorker, o workerapi.UnitHold) (*workerapi.UnitReport, error) {
	until := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	if o.WaitMS > 0 {
		f.mu.Lock()
		f.waiting++
		f.mostWaiting = max(f.mostWaiting, f.waiting)
		f.mu.Unlock()
		defer func() {
			f.mu.Lock()
			f.waiting--
			f.mu.Unlock()
		}()
	}
	for first := true; ; first = false {
		f.mu.Lock()
		w, err := f.worker(t.ID)
		if err == nil && w.mute {
			err = &workerapi.NoAnswerError{Cause: context.DeadlineExceeded}
		}
		if err != nil {
			f.mu.Unlock()
			return nil, err
		}
		if first {
			w.epoch = max(w.epoch, o.Epoch)
			w.until = max(w.until, o.UntilMS)
			for len(w.ends) > 0 && w.ends[0].Number <= o.Noted {
				w.ends = w.ends[1:]
			}
		}
		if len(w.ends) > 0 || time.Now().After(until) {
			rep := &workerapi.UnitReport{Life: w.life, ClockMS: w.clock()}
			for k := range w.running {
				rep.Runs = append(rep.Runs, workerapi.UnitRun{Unit: k.unit, Run: k.run})
			}
			rep.Ends = append(rep.Ends, w.ends...)
			f.mu.Unlock()
			return rep, nil
		}
		f.mu.Unlock()
		if !retry.Sleep(ctx, 5*time.Millisecond) {
			return nil, &workerapi.NoAnswerError{Cause: ctx.Err()}
		}
	}
}

// histogram returns the number of values and the sum in seconds that a histogram
// has taken.
func histogram(t *testing.T, name string) (count, sum float64) {
	t.Helper()
	var b bytes.Buffer
	metrics.WritePrometheus(&b, false)
	for line := range strings.Lines(b.String()) {
		_, _ = fmt.Sscanf(line, name+"_count %f", &count)
		_, _ = fmt.Sscanf(line, name+"_sum %f", &sum)
	}
	return count, sum
}

// Guards against a time to note an end that leaves out the wait for its commit.
func TestTimeToNoteAnEndCountsTheCommit(t *testing.T) {
	const commit = 150 * time.Millisecond
	count, sum := histogram(t, "teaselpaddle_end_noted_seconds")
	f := newFakeWorkers(t, 50*time.Millisecond, "w1")
	b := newBed(t, f)
	b.submit("/b/", "j1", units(1, 1))
	b.group.delay.Store(int64(commit))
	b.within(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	b.within(time.Second, "counted", func() bool {
		c, s := histogram(t, "teaselpaddle_end_noted_seconds")
		return c == count+1 && s-sum >= commit.Seconds()
	})
}
