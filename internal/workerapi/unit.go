package workerapi

import (
	"context"
	"fmt"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// UnitWorker identifies a worker that runs units.
type UnitWorker struct {
	ID      string
	Address string // IP:port
}

// UnitStart is the order to start a run.
type UnitStart struct {
	Unit       batch.UnitRef
	Run        int
	Payload    string
	UntilMS    int64  // end of the lease on the worker's clock, ms
	Epoch      uint64 // fencing token; a worker refuses epochs below the highest it has seen
	Checkpoint string // the checkpoint to resume from; "" for none
}

// UnitStop is the order to stop a run. If the run's start arrives later, the
// worker must refuse it.
type UnitStop struct {
	Unit  batch.UnitRef
	Run   int
	Epoch uint64
}

// UnitHold is the order to extend a worker's lease, which covers all of its runs,
// and to report its runs and their ends.
type UnitHold struct {
	UntilMS   int64  // end of the lease on the worker's clock, ms; 0 extends nothing
	Epoch     uint64 // as in UnitStart
	AckedEnds int64  // acknowledges the ends up to this number: they are committed and the worker may delete them
	WaitMS    int64  // how long the worker may delay its answer to wait for an end
}

// UnitRun is a run in progress.
type UnitRun struct {
	Unit       batch.UnitRef
	Run        int
	Checkpoint string // latest checkpoint; "" for none
	Percent    int    // progress of the run
}

// UnitEnd is an ended run that has not been acknowledged.
type UnitEnd struct {
	Number     int64 // sequence number of the end in this incarnation, from 1
	Unit       batch.UnitRef
	Run        int
	How        batch.Ending
	Checkpoint string
}

// UnitReport is a worker's answer to a UnitHold.
type UnitReport struct {
	Incarnation int64     // the worker's incarnation: the start of its process, Unix ms; 0 if not reported
	ClockMS     int64     // reading of the worker's clock, ms
	Runs        []UnitRun // all runs in progress
	Ends        []UnitEnd // the first ends that are not acknowledged
	// MoreEnds is set if further ends may have been left out. A run that is missing from such a
	// report may have ended. The others follow once the listed ends are acknowledged.
	MoreEnds bool
}

// UnitClient sends orders to the workers of a region. Its errors are
// *OrderRefusedError, *WrongWorkerError, *UnhealthyError and *NoAnswerError.
type UnitClient interface {
	// Start is idempotent: it also succeeds if the worker already has the run.
	Start(ctx context.Context, w UnitWorker, o UnitStart) error
	Stop(ctx context.Context, w UnitWorker, o UnitStop) error
	Hold(ctx context.Context, w UnitWorker, o UnitHold) (*UnitReport, error)
}

// OrderRefusal is the reason why a worker refused an order.
type OrderRefusal string

// The reasons to refuse an order.
const (
	RefusedStaleEpoch   OrderRefusal = "epoch" // the worker has seen a later epoch
	RefusedEndedRun     OrderRefusal = "old"   // the run has already ended or was stopped on this worker
	RefusedExpiredLease OrderRefusal = "late"  // the lease in the order has already expired
	RefusedCapacity     OrderRefusal = "room"  // the worker lacks the capacity for the run
	RefusedInvalidOrder OrderRefusal = "order" // the order is invalid
	RefusedOther        OrderRefusal = "other" // a reason that is not known here; see Detail of OrderRefusedError
)

var knownRefusals = map[OrderRefusal]bool{
	RefusedStaleEpoch: true, RefusedEndedRun: true, RefusedExpiredLease: true, RefusedCapacity: true, RefusedInvalidOrder: true,
}

// Known reports whether r is one of the reasons that the scheduler acts on.
func (r OrderRefusal) Known() bool { return knownRefusals[r] }

// maxDetailBytes bounds the text of an unknown reason that is kept for the log.
const maxDetailBytes = 200

// NewUnknownRefusal returns the error for a refusal with a reason that is not known.
func NewUnknownRefusal(reason string) *OrderRefusedError {
	return &OrderRefusedError{Reason: RefusedOther, Detail: reason[:min(len(reason), maxDetailBytes)]}
}

// OrderRefusedError is returned for an order that the worker will never carry
// out.
type OrderRefusedError struct {
	Reason OrderRefusal
	Detail string // what the worker said, if the reason is RefusedOther
}

func (e *OrderRefusedError) Error() string {
	if e.Reason == RefusedOther {
		return fmt.Sprintf("worker refused the order: %q", e.Detail)
	}
	return fmt.Sprintf("worker refused the order: %s", e.Reason)
}

// WrongWorkerError is returned if a process with another worker id answers at the
// worker's address.
type WrongWorkerError struct{ Worker string }

func (e *WrongWorkerError) Error() string {
	return fmt.Sprintf("a process other than worker %q answers at this address", e.Worker)
}

// UnhealthyError is returned if the worker did not carry out the order because
// it is unhealthy.
type UnhealthyError struct{ Status int }

func (e *UnhealthyError) Error() string {
	return fmt.Sprintf("worker is unhealthy: status %d", e.Status)
}

// NoAnswerError is returned for an order without a usable answer. The worker
// may still carry it out, even after later orders.
type NoAnswerError struct{ Cause error }

func (e *NoAnswerError) Error() string { return "worker did not answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }
