// Package replica runs one member of a replicated group: it drives the
// consensus core, stores and sends what the core hands out, and applies
// committed entries to a state machine.
package replica

import (
	"context"
	"fmt"
)

// StateMachine is applied by one goroutine, in log order.
type StateMachine interface {
	// Apply executes a committed entry; the proposer gets its result.
	Apply(index uint64, entry []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Group is one replicated group as seen from one instance.
type Group interface {
	// Propose replicates an entry and returns the result of applying it. It
	// returns *NotLeaderError if this instance does not lead, and
	// *NotProposedError if the entry was not proposed for another reason; the
	// entry was not applied then and never will be. It returns *UncertainError if
	// the entry may or may not be applied later.
	Propose(ctx context.Context, entry []byte) (any, error)
	// ReadIndex returns once the local state machine holds everything that was
	// committed when ReadIndex was called.
	ReadIndex(ctx context.Context) error
	// WaitDurable returns once everything applied when it was called is on a
	// majority of the voters with a disk, so that it survives the loss of every
	// process. It returns *NotLeaderError if this instance does not lead or stops
	// leading. A group without such voters waits for nothing.
	WaitDurable(ctx context.Context) error
	// Transfer hands the leadership to another voter, if this instance leads.
	Transfer(ctx context.Context) error
	Status() Status
	// Stop ends the member; it does not hand over the leadership.
	Stop()
}

// Status is a member's view of its group.
type Status struct {
	Leader  string // instance name; "" if none is known
	Leads   bool   // this instance leads and has applied an entry of its own term
	Term    uint64
	Applied uint64
	// Ready is true once this instance is a voter that has caught up.
	Ready bool
	// Durable is true if the group has voters with a disk and a majority of them
	// keeps up with the log. It is known on the leader only.
	Durable bool
	// Members are the voters and learners by instance name.
	Members []Member
}

// Member is one member of a group.
type Member struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Voter       bool   `json:"voter"`
	Disk        bool   `json:"disk"`
}

// NotLeaderError says that another instance leads the group.
type NotLeaderError struct {
	Leader string // "" if none is known
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "the group has no known leader"
	}
	return fmt.Sprintf("instance %q leads the group", e.Leader)
}

// UncertainError says that an entry was proposed but its fate is not known.
type UncertainError struct{ Cause error }

func (e *UncertainError) Error() string { return "fate of the entry is not known: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }
