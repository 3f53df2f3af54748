// Package raft is the consensus core: a pure state machine that takes messages
// and ticks as input and returns what its caller must store and send. It does
// no I/O, reads no clock and generates no random numbers of its own.
//
// The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote,
// check-quorum, leader transfer and joint membership changes. It differs in
// three points, each justified where it is implemented: an ordinary entry needs
// two quorums, one to be committed and one to be durable (replicate.go), a dead
// incarnation is replaced by its successor in a single entry (quorum.go), and a
// group that lost its majority can be recovered from the voters with a disk
// (recovery.go).
package raft

import "fmt"

// ID identifies a member: one incarnation of an instance. An instance that
// restarts with an empty memory or disk is a new member. At most one incarnation
// of an instance is alive at a time. Incarnation 0 addresses whichever is alive.
type ID struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// String returns the instance and the incarnation in hexadecimal.
func (id ID) String() string { return fmt.Sprintf("%s#%x", id.Instance, id.Incarnation) }

// IsZero reports whether the id names no member.
func (id ID) IsZero() bool { return id == ID{} }

// Member is one member of a group.
type Member struct {
	ID ID `cbor:"1,keyasint"`
	// Disk is true if the member syncs entries to a disk before it acknowledges
	// them.
	Disk bool `cbor:"2,keyasint,omitempty"`
}

// Membership is the set of voters. At most one change is undecided at a time.
// Learners are not part of it: only the leader tracks them, and a new leader
// learns of them when they ask to join again.
type Membership struct {
	Voters []Member `cbor:"1,keyasint"`
}

// EntryKind is the kind of an entry and determines what the entry carries.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand    EntryKind = iota // Data is for the state machine
	EntryNoop                        // a leader's first entry
	EntryMembership                  // Membership is in force, jointly with the previous one, once appended
	EntryRecovery                    // membership after a recovery election; in force alone once appended
)

// Entry is one log entry. Index and Term start at 1.
type Entry struct {
	Index      uint64      `cbor:"1,keyasint"`
	Term       uint64      `cbor:"2,keyasint"`
	Kind       EntryKind   `cbor:"3,keyasint,omitempty"`
	Data       []byte      `cbor:"4,keyasint,omitempty"`
	Membership *Membership `cbor:"5,keyasint,omitempty"`
}

// HardState is the state that must be stored before the messages in Ready.After
// are sent. A change of Commit alone need not be stored.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   ID     `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
	// Decided is the index of the last membership entry that is known to be
	// committed.
	Decided uint64 `cbor:"4,keyasint,omitempty"`
}

// Snapshot replaces the log up to and including Index. Data is empty if the
// state machine is still in its initial state.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// FirstSnapshot returns the snapshot that every member of a new group starts
// from. If a group is formed again, the term must differ from that of the
// earlier formation, so that delayed messages of the earlier group do not match
// the log.
func FirstSnapshot(m Membership, term uint64) Snapshot {
	return Snapshot{Index: 1, Term: term, Membership: m}
}

// epochShift splits a term: the upper half, the epoch, counts recovery elections;
// the lower half counts the normal elections since the last of them.
const epochShift = 32

// FirstTerm returns the initial term of a group that is formed at the given time.
// It is above all terms of an earlier group, provided that the earlier group had
// fewer recovery elections than seconds have passed since it was formed, so that
// workers which refuse lower terms accept the new group. salt makes the terms of
// groups formed within one second differ.
func FirstTerm(unixSeconds int64, salt uint16) uint64 {
	return uint64(uint32(unixSeconds))<<epochShift | uint64(salt) | 1
}

// Has reports whether id is a voter.
func (m *Membership) Has(id ID) bool {
	for i := range m.Voters {
		if m.Voters[i].ID == id {
			return true
		}
	}
	return false
}

// VoterOf returns the voter that is an incarnation of the named instance, or nil.
func (m *Membership) VoterOf(name string) *Member {
	for i := range m.Voters {
		if m.Voters[i].ID.Instance == name {
			return &m.Voters[i]
		}
	}
	return nil
}

// hasSuccessorOf reports whether another incarnation of the instance of id is a
// voter.
func (m *Membership) hasSuccessorOf(id ID) bool {
	v := m.VoterOf(id.Instance)
	return v != nil && v.ID != id
}

// HasDisk reports whether a voter has a disk.
func (m *Membership) HasDisk() bool {
	for i := range m.Voters {
		if m.Voters[i].Disk {
			return true
		}
	}
	return false
}
