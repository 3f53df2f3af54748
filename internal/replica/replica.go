// Package replica runs one member of a replicated group: it drives the
// consensus core, stores its state, sends its messages and applies committed
// entries to a state machine.
package replica

import (
	"context"
	"fmt"
)

// StateMachine is the replicated state machine. One goroutine calls its methods,
// with the committed entries in log order.
type StateMachine interface {
	// Apply executes a committed entry. Its result is returned to the proposer.
	Apply(index uint64, entry []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Group gives access to a replicated group from one of its instances.
type Group interface {
	// Propose replicates an entry and returns the result of applying it. It
	// returns *NotLeaderError if this instance is not the leader, and
	// *NotProposedError if the entry was not proposed for another reason; in both
	// cases the entry has not been applied and never will be. It returns
	// *UncertainError if the entry may or may not be applied later.
	Propose(ctx context.Context, entry []byte) (any, error)
	// ReadIndex returns once the local state machine has applied every entry that
	// was committed when ReadIndex was called.
	ReadIndex(ctx context.Context) error
	// WaitDurable returns once every entry applied when it was called is stored by
	// a majority of the voters with a disk, so that it survives the loss of all
	// processes. It returns *NotLeaderError if this instance is not the leader or
	// stops leading. In a group without such voters it returns at once.
	WaitDurable(ctx context.Context) error
	// Transfer hands the leadership to another voter if this instance is the
	// leader.
	Transfer(ctx context.Context) error
	Status() Status
	// Stop stops the member. It does not hand over the leadership.
	Stop()
}

// Status is a member's view of its group.
type Status struct {
	Leader  string // instance name; "" if none is known
	Leads   bool   // this instance leads and has applied an entry of its own term
	Term    uint64
	Applied uint64
	// Ready is true if this instance is a voter and has caught up since its start.
	Ready bool
	// Durable is true if the group has voters with a disk and a majority of them
	// keeps up with the log. Only the leader knows it.
	Durable bool
	// Members are the voters, followed by the learners.
	Members []Member
}

// Member is one member of a group.
type Member struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Voter       bool   `json:"voter"`
	Disk        bool   `json:"disk"`
}

// NotLeaderError reports that this instance does not lead the group.
type NotLeaderError struct {
	Leader string // "" if none is known
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "the group has no known leader"
	}
	return fmt.Sprintf("instance %q leads the group", e.Leader)
}

// UncertainError reports that an entry was proposed, but may or may not be
// applied.
type UncertainError struct{ Cause error }

func (e *UncertainError) Error() string { return "outcome of the entry is unknown: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }
