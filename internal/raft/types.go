// Package raft is the consensus core: a pure state machine that is fed with
// messages and ticks and hands out what its caller must store and send. It does
// no I/O, reads no clock and makes no random numbers of its own.
package raft

// ID identifies a member: one incarnation of an instance. An instance that
// returns with an empty memory or disk is a new member.
type ID struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Member is one member of a group.
type Member struct {
	ID ID `cbor:"1,keyasint"`
	// Disk is true if the member syncs entries to a disk before it acknowledges
	// them.
	Disk bool `cbor:"2,keyasint,omitempty"`
}

// Membership is the set of members. At most one change is uncommitted at a time.
type Membership struct {
	Voters   []Member `cbor:"1,keyasint"`
	Learners []Member `cbor:"2,keyasint,omitempty"`
}

// EntryKind says what an entry carries.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand    EntryKind = iota // Data is for the state machine
	EntryNoop                        // a leader's first entry
	EntryMembership                  // Membership is in force once appended
	EntryRecovery                    // membership after a recovery election
)

// Entry is one log entry. Index and Term start at 1.
type Entry struct {
	Index      uint64      `cbor:"1,keyasint"`
	Term       uint64      `cbor:"2,keyasint"`
	Kind       EntryKind   `cbor:"3,keyasint,omitempty"`
	Data       []byte      `cbor:"4,keyasint,omitempty"`
	Membership *Membership `cbor:"5,keyasint,omitempty"`
}

// HardState must be stored before messages of the same Ready are sent.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}
