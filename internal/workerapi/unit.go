package workerapi

import (
	"context"
	"fmt"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// UnitWorker addresses one life of a worker that runs units.
type UnitWorker struct {
	ID      string
	Address string // IP:port
}

// UnitStart is the order to begin a run.
type UnitStart struct {
	Unit       batch.UnitRef
	Run        int
	Payload    string
	UntilMS    int64  // end of the lease on the worker's clock, ms
	Epoch      uint64 // a worker refuses epochs below the highest it has seen
	Checkpoint string // to go on from; "" for none
}

// UnitStop is the order to end a run, and to refuse it if it comes later.
type UnitStop struct {
	Unit  batch.UnitRef
	Run   int
	Epoch uint64
}

// UnitHold extends the lease of all runs on a worker and asks what it runs.
type UnitHold struct {
	UntilMS int64  // end of the lease on the worker's clock, ms; 0 extends nothing
	Epoch   uint64 // as in UnitStart
	Noted   int64  // ends up to this number are committed; the worker forgets them
	WaitMS  int64  // the answer waits this long for an end
}

// UnitRun is a run in progress.
type UnitRun struct {
	Unit    batch.UnitRef
	Run     int
	Saved   string // last checkpoint; "" for none
	Percent int    // progress
}

// UnitEnd is an end that the worker has not been told to forget.
type UnitEnd struct {
	Number int64 // counts the ends of this life from 1
	Unit   batch.UnitRef
	Run    int
	How    batch.Ending
	Saved  string
}

// UnitReport answers a hold.
type UnitReport struct {
	Life    int64 // start of the worker's process, Unix ms; 0 if it does not say
	ClockMS int64 // the worker's clock
	Runs    []UnitRun
	Ends    []UnitEnd
}

// UnitClient drives the workers of a region. Its errors are *OrderRefusedError,
// *WrongLifeError, *UnhealthyError and *NoAnswerError.
type UnitClient interface {
	// Start also succeeds if the run is there already.
	Start(ctx context.Context, w UnitWorker, o UnitStart) error
	Stop(ctx context.Context, w UnitWorker, o UnitStop) error
	Hold(ctx context.Context, w UnitWorker, o UnitHold) (*UnitReport, error)
}

// OrderRefusal is a worker's reason to refuse an order.
type OrderRefusal string

// The reasons.
const (
	RefusedEpoch OrderRefusal = "epoch" // the worker has seen a later epoch
	RefusedOld   OrderRefusal = "old"   // the run has ended or was stopped there
	RefusedLate  OrderRefusal = "late"  // its lease is over already
	RefusedRoom  OrderRefusal = "room"  // it does not fit
	RefusedOrder OrderRefusal = "order" // the order itself is not acceptable
)

// OrderRefusedError is an order that the worker will never carry out.
type OrderRefusedError struct{ Reason OrderRefusal }

func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("worker refused the order: %s", e.Reason)
}

// WrongLifeError says that another life of a worker answers at the address.
type WrongLifeError struct{ Worker string }

func (e *WrongLifeError) Error() string {
	return fmt.Sprintf("worker %q is not the one at this address", e.Worker)
}

// UnhealthyError is a worker that has done nothing because it is not healthy.
type UnhealthyError struct{ Status int }

func (e *UnhealthyError) Error() string {
	return fmt.Sprintf("worker is unhealthy: status %d", e.Status)
}

// NoAnswerError is an order without a usable answer. It may be carried out
// later, even after later orders.
type NoAnswerError struct{ Cause error }

func (e *NoAnswerError) Error() string { return "worker did not answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }
