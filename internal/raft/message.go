package raft

// MessageKind is the kind of a message.
type MessageKind uint8

// The kinds of messages.
const (
	MsgAppend        MessageKind = iota + 1 // entries after (Index, LogTerm)
	MsgAppendResp                           // Index: last matching index, or a hint if Reject
	MsgHeartbeat                            // Seq is echoed
	MsgHeartbeatResp                        // Seq of the heartbeat; Index: last entry
	MsgPreVote                              // asks whether a vote would be granted in Term
	MsgPreVoteResp                          //
	MsgVote                                 // Force: the leader requested the election
	MsgVoteResp                             //
	MsgSnapshot                             // one chunk of a snapshot
	MsgSnapshotResp                         // Offset: bytes received
	MsgTimeoutNow                           // start an election at once
	MsgReadIndex                            // Seq is echoed
	MsgReadIndexResp                        // Index that must be applied before the read
	MsgJoin                                 // sender is not a voter, or has no leader
	MsgSuperseded                           // the vote was requested from an older, dead incarnation of the sender
	MsgRecovery                             // recovery election, Round 0 to 2
	MsgRecoveryResp                         //
)

// Message is a message between members. From and To are not encoded: the
// transport knows the instances and transmits the incarnations.
type Message struct {
	From ID `cbor:"-"`
	To   ID `cbor:"-"`

	Kind    MessageKind `cbor:"1,keyasint"`
	Term    uint64      `cbor:"2,keyasint,omitempty"`
	Index   uint64      `cbor:"3,keyasint,omitempty"`
	LogTerm uint64      `cbor:"4,keyasint,omitempty"` // term of the entry at Index
	Entries []Entry     `cbor:"5,keyasint,omitempty"`
	Commit  uint64      `cbor:"6,keyasint,omitempty"`
	Decided uint64      `cbor:"7,keyasint,omitempty"` // see HardState
	Seq     uint64      `cbor:"8,keyasint,omitempty"` // heartbeat or read number
	Reject  bool        `cbor:"9,keyasint,omitempty"`
	Force   bool        `cbor:"10,keyasint,omitempty"`
	Round   uint8       `cbor:"11,keyasint,omitempty"` // round of a recovery election
	Disk    bool        `cbor:"12,keyasint,omitempty"` // the joining member has a disk

	// Fields of a snapshot chunk. Index and LogTerm are those of the snapshot.
	Membership *Membership `cbor:"13,keyasint,omitempty"`
	Offset     uint64      `cbor:"14,keyasint,omitempty"`
	Total      uint64      `cbor:"15,keyasint,omitempty"`
	Data       []byte      `cbor:"16,keyasint,omitempty"`
}

// requiresStore reports whether the message may be sent only after the state it
// refers to is stored. Messages of a leader may be sent earlier: its term and
// vote were stored before it requested votes, and its own copy of an entry counts
// towards a quorum only once it is stored. Pre-votes, joins and reads acknowledge
// nothing that must survive a crash. Everything else acknowledges entries, a term
// or a vote.
func (m *Message) requiresStore() bool {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot, MsgTimeoutNow, MsgPreVote, MsgReadIndex,
		MsgReadIndexResp, MsgJoin, MsgSuperseded:
		return false
	}
	return true
}
