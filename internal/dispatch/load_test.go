package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Guards against a limit that does not follow the load, or leaves its bounds.
func TestCallLimitFollowsLag(t *testing.T) {
	is := is.New(t)
	c := newCallLimit()
	for range 100 {
		c.adjust(2 * overloadLag)
	}
	is.Equal(int(c.limit), minCallLimit)
	for range 1000 {
		c.adjust(0)
	}
	is.True(c.limit >= initialCallLimit)
	is.True(c.limit <= maxCallLimit)
}

// Guards against leases and stops that wait behind first calls to idle workers, and against slots
// that are lost with the calls that gave up.
func TestCallsForRunsGoFirst(t *testing.T) {
	is := is.New(t)
	c := newCallLimit()
	c.limit = 1
	is.True(c.acquire(t.Context(), callOther))
	var mu sync.Mutex
	var order []callClass
	var wg sync.WaitGroup
	waiting := func() int { return c.queued(callStop) + c.queued(callForRuns) + c.queued(callOther) }
	queue := func(class callClass, queued int) {
		wg.Go(func() {
			if c.acquire(t.Context(), class) {
				mu.Lock()
				order = append(order, class)
				mu.Unlock()
				c.release()
			}
		})
		for waiting() < queued {
			time.Sleep(time.Millisecond)
		}
	}
	queue(callOther, 1)
	queue(callForRuns, 2)
	queue(callStop, 3)
	ctx, cancel := context.WithCancel(t.Context())
	wg.Go(func() { is.True(!c.acquire(ctx, callForRuns)) })
	for waiting() < 4 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	for waiting() > 3 {
		time.Sleep(time.Millisecond)
	}
	c.release()
	wg.Wait()
	is.Equal(order, []callClass{callStop, callForRuns, callOther})
	is.Equal(c.inFlight, 0)
}

// Calls wait for seconds under load. Guards against a start that is sent long after its job was
// cancelled or its worker has begun to drain.
func TestStartThatWaitedIsCheckedAgain(t *testing.T) {
	for _, what := range []string{"cancelled", "draining"} {
		t.Run(what, func(t *testing.T) {
			f := newFakeWorkers(t, time.Second, "w1")
			b := newTestBed(t, f)
			b.waitForFirstReports("w1")
			calls := b.leadership.calls
			occupy := func(slots int) {
				calls.mu.Lock()
				defer calls.mu.Unlock()
				calls.inFlight += slots
				calls.admit()
			}
			occupy(maxCallLimit)
			b.submit("/b/", "j1", unitStep(1, 8))
			b.waitFor(time.Second, "start waits", func() bool { return calls.queued(callForRuns) > 0 })
			if what == "cancelled" {
				b.apply(&batch.Command{Cancel: &batch.Cancel{Call: batch.Call{Host: "h", Path: "/b/j1"}, ID: "j1", AtMS: 1}})
			} else {
				b.apply(&batch.Command{Worker: &batch.WorkerChange{Worker: batch.Worker{
					ID: "w1", Incarnation: 1, Address: "w1", Service: "desk", Rack: "r1", Draining: true,
				}}})
				b.waitFor(time.Second, "drains", func() bool { return b.leadership.agent("w1").workerRecord().Draining })
				b.timeShift.Store(int64(maxDrainingDelay))
			}
			occupy(-maxCallLimit)
			time.Sleep(300 * time.Millisecond) // for the start
			b.is.Equal(f.startedOn(batch.UnitRef{Job: "j1"}), "[]")
		})
	}
}

// countingWorkers counts the holds that are in flight at the same time.
type countingWorkers struct {
	*fakeWorkers
	mu            sync.Mutex
	inFlight, max int
}

func (f *countingWorkers) Hold(ctx context.Context, t workerapi.UnitWorker, o workerapi.UnitHold) (*workerapi.UnitReport, error) {
	f.mu.Lock()
	f.inFlight++
	f.max = max(f.max, f.inFlight)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.inFlight--
		f.mu.Unlock()
	}()
	time.Sleep(20 * time.Millisecond)
	return f.fakeWorkers.Hold(ctx, t, o)
}

// A leader takes over more workers than it can call at once. Guards against a burst of calls that
// keeps its processor from the group's heartbeats, and against a plan that takes the workers that were
// not asked yet for silent.
func TestTakeoverOfManyWorkersIsPaced(t *testing.T) {
	var ids []string
	for i := range 3 * initialCallLimit {
		ids = append(ids, fmt.Sprintf("w%d", i))
	}
	b := newTestBed(t, newFakeWorkers(t, time.Second, ids...))
	b.leadership.Close()
	f := &countingWorkers{fakeWorkers: b.workers}
	l := Open(Config{
		Machine: b.machine, Group: b.group, Client: f, Epoch: b.nextEpoch(), Heartbeats: b.heartbeats, Log: b.log, MaxLease: b.lease,
	})
	t.Cleanup(l.Close)
	b.submit("/b/", "j1", unitStep(1, 1))
	b.waitFor(10*time.Second, "planning begins", func() bool { return b.state("j1") == batch.Running })
	contacted, recorded := l.countContacted()
	b.is.Equal(recorded, len(ids))
	b.is.True(float64(contacted) >= partlySettledShare*float64(recorded))
	f.mu.Lock()
	defer f.mu.Unlock()
	b.is.True(f.max <= maxCallLimit)
}
