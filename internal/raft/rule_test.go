package raft

import (
	"testing"

	"github.com/matryer/is"
)

var a, b, c = ID{"a", 1}, ID{"b", 1}, ID{"c", 1}

// member returns b, one of three voters of which only a has a disk, with one
// entry of term 2 after the first membership.
func member() *Node {
	m := Membership{Voters: []Member{{ID: a, Disk: true}, {ID: b}, {ID: c}}}
	return New(Config{
		ID: b, Random: func(int) int { return 0 }, HardState: HardState{Term: 3},
		Snapshot: First(m, 1), Entries: []Entry{{Index: 2, Term: 2}},
	})
}

// Guards against the commit of an entry of an earlier term that a later leader
// can still overwrite in a normal election, and against calling one durable that
// a member with a newer last term can overwrite in a recovery election.
func TestCommitNeedsOwnTermInBothQuorums(t *testing.T) {
	is := is.New(t)
	n := member()
	n.campaign(true)
	n.Step(Message{Kind: MsgVoteResp, From: a, Term: 4})
	n.Advance() // stores the first entry of term 4 at index 3
	type indexes struct{ commit, durable uint64 }
	ack := func(from ID, index uint64) indexes {
		n.Step(Message{Kind: MsgAppendResp, From: from, Term: 4, Index: index})
		return indexes{n.commit, n.durable}
	}
	is.Equal(ack(a, 2), indexes{1, 0}) // both quorums hold index 2, of term 2
	is.Equal(ack(c, 3), indexes{3, 0}) // the voters hold index 3, the disk only 2
	is.Equal(ack(a, 3), indexes{3, 3})

	// The same for a replacement, which the voters alone decide.
	next := &Membership{Voters: []Member{{ID: a, Disk: true}, {ID: b}, {ID: ID{"c", 2}}}}
	n = member()
	n.log.entries = nil
	n.log.add(Entry{Index: 2, Term: 2, Kind: EntryMembership, Membership: next})
	n.campaign(true)
	n.Step(Message{Kind: MsgVoteResp, From: a, Term: 4})
	n.Advance()
	ack(a, 2)
	is.Equal(n.pendingChange(), uint64(2))
	ack(a, 3)
	is.Equal(n.pendingChange(), uint64(0))
}

// Guards against consent to a recovery by a member that holds a newer log or
// hears a leader.
func TestRecoveryIsRefused(t *testing.T) {
	is := is.New(t)
	term := uint64(1) << epochShift
	consents := func(n *Node, round uint8, index, logTerm uint64) bool {
		n.Step(Message{Kind: MsgRecovery, From: a, Term: term, Round: round, Index: index, LogTerm: logTerm})
		return !n.after[len(n.after)-1].Reject
	}
	n := member()
	for round := range uint8(2) {
		is.True(!consents(n, round, 1, 1))
		is.True(!consents(n, round, 9, 1))
	}
	is.Equal(n.term, uint64(3))
	is.True(consents(n, 0, 2, 2))
	n.Step(Message{Kind: MsgHeartbeat, From: c, Term: 3})
	is.True(!consents(n, 1, 2, 2))
	n = member()
	is.True(consents(n, 1, 2, 2))
	is.True(consents(n, lastRound, 2, 2))
	is.Equal(n.vote, a)
}

// Guards against a recovery election won by incarnations that were not alive
// together, and without a majority of the disk voters.
func TestRecoveryTally(t *testing.T) {
	for _, last := range []struct {
		disk, other ID
		wins        bool
	}{{a, ID{"c", 2}, true}, {a, ID{"c", 3}, false}, {ID{"a", 2}, ID{"c", 2}, false}} {
		is := is.New(t)
		n := member()
		n.startRecovery()
		for round := range uint8(lastRound + 1) {
			other := ID{"c", 2}
			if round == lastRound {
				other = last.other
			}
			for _, from := range []ID{last.disk, other} {
				n.Step(Message{Kind: MsgRecoveryResp, From: from, Term: n.rec.term, Round: round})
			}
		}
		is.Equal(n.role == leader, last.wins)
		if last.wins {
			is.Equal(n.config().cur.Voters, []Member{{ID: a, Disk: true}, {ID: b}})
		}
	}
}
