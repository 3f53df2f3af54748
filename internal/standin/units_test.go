package standin

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// unitFixture is a worker with a service and a client that sends it orders.
type unitFixture struct {
	t      *testing.T
	is     *is.I
	worker *Worker
	target workerapi.UnitWorker
	client *workerapi.UnitHTTPClient
}

func newUnitFixture(t *testing.T) *unitFixture {
	is := is.New(t)
	w, err := New(&Options{Name: "w1", Service: "desk", Zone: "z1", Rack: "r1", Journal: filepath.Join(t.TempDir(), "j")})
	is.NoErr(err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Serve(ctx, ln)
	}()
	t.Cleanup(func() { w.Kill(); cancel(); <-done })
	return &unitFixture{
		t: t, is: is, worker: w, client: workerapi.NewUnitHTTPClient(),
		target: workerapi.UnitWorker{ID: "w1", Address: ln.Addr().String()},
	}
}

var unit0 = batch.UnitRef{Job: "j1"}

// start sends a start with a lease of the given duration from now.
func (b *unitFixture) start(run int, payload, checkpoint string, lease time.Duration) error {
	return b.client.Start(b.t.Context(), b.target, workerapi.UnitStart{
		Unit: unit0, Run: run, Payload: payload, Epoch: 2, Checkpoint: checkpoint, UntilMS: b.worker.clockMS() + lease.Milliseconds(),
	})
}

// ends acknowledges the ends up to acked, waits until the worker has another one
// and returns the worker's list.
func (b *unitFixture) ends(acked int64) []workerapi.UnitEnd {
	rep, err := b.client.Hold(b.t.Context(), b.target, workerapi.UnitHold{Epoch: 2, AckedEnds: acked, WaitMS: 2000})
	b.is.NoErr(err)
	return rep.Ends
}

// refusalReason returns the reason of an *OrderRefusedError, or "".
func refusalReason(err error) workerapi.OrderRefusal {
	var r *workerapi.OrderRefusedError
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// Guards against a stand-in that is more lenient than a real worker: runs end
// when their lease expires, orders of earlier leaders and late starts are refused,
// a stop refuses a start that arrives after it, and an end is listed until it is
// acknowledged.
func TestUnitOrders(t *testing.T) {
	b := newUnitFixture(t)
	b.is.NoErr(b.start(1, "sleep=50ms", "", time.Second))
	b.is.NoErr(b.start(1, "sleep=50ms", "", time.Second)) // sent again
	ends := b.ends(0)
	b.is.Equal(len(ends), 1)
	b.is.Equal(ends[0].How, batch.EndDone)
	b.is.Equal(len(b.ends(0)), 1) // not acknowledged yet
	b.is.Equal(refusalReason(b.start(1, "sleep=50ms", "", time.Second)), workerapi.RefusedEndedRun)

	b.is.NoErr(b.client.Stop(t.Context(), b.target, workerapi.UnitStop{Unit: unit0, Run: 2, Epoch: 2}))
	b.is.Equal(refusalReason(b.start(2, "sleep=50ms", "", time.Second)), workerapi.RefusedEndedRun)
	b.is.Equal(refusalReason(b.start(3, "sleep=50ms", "", -time.Second)), workerapi.RefusedExpiredLease)
	err := b.client.Stop(t.Context(), b.target, workerapi.UnitStop{Unit: unit0, Run: 2, Epoch: 1})
	b.is.Equal(refusalReason(err), workerapi.RefusedStaleEpoch)
	var wrong *workerapi.WrongWorkerError
	_, err = b.client.Hold(t.Context(), workerapi.UnitWorker{ID: "w2", Address: b.target.Address}, workerapi.UnitHold{Epoch: 2})
	b.is.True(errors.As(err, &wrong))

	// The lease of the first start is still valid for about a second.
	b.is.NoErr(b.start(4, "never-end", "", 100*time.Millisecond))
	ends = b.ends(1)
	b.is.Equal(len(ends), 1)
	b.is.Equal(ends[0].How, batch.EndLeaseExpired)
}

// Guards against a stop that loses the progress of a unit, and against a run that
// does not resume from its checkpoint.
func TestUnitResumesFromCheckpoint(t *testing.T) {
	b := newUnitFixture(t)
	b.is.NoErr(b.start(1, "sleep=1s", "", 10*time.Second))
	time.Sleep(300 * time.Millisecond)
	b.is.NoErr(b.client.Stop(t.Context(), b.target, workerapi.UnitStop{Unit: unit0, Run: 1, Epoch: 2}))
	ends := b.ends(0)
	b.is.Equal(len(ends), 1)
	b.is.Equal(ends[0].How, batch.EndStopped)
	progress, err := time.ParseDuration(ends[0].Checkpoint)
	b.is.NoErr(err)
	b.is.True(progress >= 300*time.Millisecond && progress < time.Second)
	b.is.NoErr(b.start(2, "sleep=1s", "990ms", 10*time.Second))
	began := time.Now()
	ends = b.ends(1)
	b.is.Equal(len(ends), 1)
	b.is.Equal(ends[0].How, batch.EndDone)
	b.is.True(time.Since(began) < 500*time.Millisecond)
}

// Guards against an answer that leaves out ends without saying so: the leader would take the runs
// for lost.
func TestAnswerTellsThatItLeavesOutEnds(t *testing.T) {
	b := newUnitFixture(t)
	b.worker.mu.Lock()
	for i := range maxEndsPerAnswer + 1 {
		b.worker.endUnit(runKey{batch.UnitRef{Job: "j1", Index: i}, 1}, batch.EndDone, 0)
	}
	b.worker.mu.Unlock()
	rep, err := b.client.Hold(t.Context(), b.target, workerapi.UnitHold{Epoch: 2})
	b.is.NoErr(err)
	b.is.Equal(len(rep.Ends), maxEndsPerAnswer)
	b.is.True(rep.MoreEnds)
	rep, err = b.client.Hold(t.Context(), b.target, workerapi.UnitHold{Epoch: 2, AckedEnds: maxEndsPerAnswer})
	b.is.NoErr(err)
	b.is.Equal(len(rep.Ends), 1)
	b.is.True(!rep.MoreEnds)
}
