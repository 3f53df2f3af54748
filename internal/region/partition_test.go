package region

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// oneWorker is the workerapi.UnitClient of one control instance, and the worker that it
// reaches. The worker runs everything for ever.
type oneWorker struct {
	reachable atomic.Bool
	began     time.Time

	mu     sync.Mutex
	runs   []workerapi.UnitRun
	starts []string // jobs in the order of their first starts
}

func (w *oneWorker) Start(_ context.Context, _ workerapi.UnitWorker, o workerapi.UnitStart) error {
	if !w.reachable.Load() {
		return &workerapi.NoAnswerError{Cause: errors.Timeout}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.Unit == o.Unit && r.Run == o.Run {
			return nil
		}
	}
	w.runs = append(w.runs, workerapi.UnitRun{Unit: o.Unit, Run: o.Run})
	w.starts = append(w.starts, o.Unit.Job)
	return nil
}

func (w *oneWorker) Stop(context.Context, workerapi.UnitWorker, workerapi.UnitStop) error {
	return &workerapi.NoAnswerError{Cause: errors.Timeout}
}

func (w *oneWorker) Hold(ctx context.Context, _ workerapi.UnitWorker, o workerapi.UnitHold) (*workerapi.UnitReport, error) {
	select {
	case <-ctx.Done():
	case <-time.After(min(time.Duration(o.WaitMS)*time.Millisecond, 50*time.Millisecond)):
	}
	if !w.reachable.Load() || ctx.Err() != nil {
		return nil, &workerapi.NoAnswerError{Cause: errors.Timeout}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return &workerapi.UnitReport{Incarnation: 1, ClockMS: time.Since(w.began).Milliseconds(), Runs: append([]workerapi.UnitRun{}, w.runs...)}, nil
}

func (w *oneWorker) started() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string{}, w.starts...)
}

// Guards against a start that a leader decides while it is cut off from the others, which
// cordon the zone meanwhile. It must not send the start, because the start is sent only
// after its commit, which the leader cannot get.
func TestPartitionedLeaderStartsNothingInCordonedZone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := openCluster(t)
	old := c.leader()
	w := c.workers[old] // no other instance reaches the worker
	w.reachable.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), clusterTimeout)
	defer cancel()
	e := c.routers["e0"]
	_, err := e.Publish(ctx, &batch.Config{
		Version: 1, Services: []batch.Service{{Name: "s"}}, Queues: []batch.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Public: true}},
	})
	is.NoErr(err)
	_, err = e.Announce(ctx, &Announcement{Worker: batch.Worker{ID: "w", Incarnation: 1, Address: "127.0.0.1:1", Service: "s", Zone: "z1", Capacity: batch.Resources{Accelerators: 8}}})
	is.NoErr(err)
	submit := func(id string, startMS int64) {
		spec := batch.Spec{Steps: []batch.Step{{Count: 1, Need: batch.Resources{Accelerators: 1}, EstimateMS: 60000}}, Occurrences: 1, StartMS: startMS}
		rep, err := e.Submit(ctx, &batch.Submit{Call: batch.Call{Host: "h", Path: "/q/" + id}, ID: id, Spec: spec})
		is.NoErr(err)
		is.Equal(rep.Verdict, batch.OK)
	}
	submit("before", 0)
	for len(w.started()) == 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(w.started(), []string{"before"})

	// The job is due while the old leader still leads and before the others have elected
	// one, which takes at least 600 ms.
	submit("during", time.Now().Add(200*time.Millisecond).UnixMilli())
	c.net.setCut(old, true)
	is.Equal(c.orderUntilAnswered("e0", "z1", true), batch.OK)
	time.Sleep(2 * time.Second) // until the old leader has stepped down
	c.net.setCut(old, false)
	is.True(c.zone("z1").State.Cordoned)
	time.Sleep(time.Second)
	is.Equal(w.started(), []string{"before"})
}
