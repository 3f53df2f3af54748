package raft

import "fmt"

// NotLeaderError is returned if this member is not the leader, or is
// transferring the leadership. Nothing was proposed.
type NotLeaderError struct{ Leader ID }

func (e *NotLeaderError) Error() string {
	if e.Leader.IsZero() {
		return "this member does not lead; no leader is known"
	}
	return fmt.Sprintf("this member does not lead; the leader is %s", e.Leader)
}

// NotReadyError is returned if the leader has not yet committed an entry of its
// own term.
type NotReadyError struct{}

func (e *NotReadyError) Error() string {
	return "the leader has not committed an entry of its own term"
}

// BusyError is returned if too many entries are uncommitted because a quorum is
// slow or lost. Nothing was proposed.
type BusyError struct{ Uncommitted uint64 }

func (e *BusyError) Error() string {
	return fmt.Sprintf("%d entries are not committed yet", e.Uncommitted)
}

// ChangeError is returned if a membership change is refused.
type ChangeError struct {
	Member ID
	Reason ChangeReason
}

// ChangeReason is a reason to refuse a membership change.
type ChangeReason string

// The reasons to refuse a membership change.
const (
	ChangePending      ChangeReason = "another change is undecided"
	ChangeNotCaughtUp  ChangeReason = "the member does not hold every acknowledged entry"
	ChangeNotLearner   ChangeReason = "the member has not asked to join"
	ChangeNotMember    ChangeReason = "the member is not a voter"
	ChangeIsVoter      ChangeReason = "the member is a voter already"
	ChangeDiskMismatch ChangeReason = "a voter with a disk and one without cannot replace each other"
	ChangeLastVoter    ChangeReason = "the last voter cannot be removed"
)

func (e *ChangeError) Error() string {
	return fmt.Sprintf("membership change for %s refused: %s", e.Member, e.Reason)
}

// InvariantError describes a state that the algorithm rules out. The core panics
// with it, because continuing could lose acknowledged entries.
type InvariantError struct {
	Member ID
	Detail string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("member %s: invariant violated: %s", e.Member, e.Detail)
}
