package raft

import (
	"testing"

	"github.com/matryer/is"
)

var idA, idB, idC = ID{"a", 1}, ID{"b", 1}, ID{"c", 1}

// newVoter returns the member idB, one of three voters of which only idA has a
// disk, with one entry of term 2 after the first membership.
func newVoter() *Node {
	m := Membership{Voters: []Member{{ID: idA, Disk: true}, {ID: idB}, {ID: idC}}}
	return New(Config{
		ID: idB, Random: func(int) int { return 0 }, HardState: HardState{Term: 3},
		Snapshot: FirstSnapshot(m, 1), Entries: []Entry{{Index: 2, Term: 2}},
	})
}

// Guards against committing an entry of an earlier term that a leader elected in a
// normal election can still overwrite, and against reporting one as durable that a
// member with a newer last term can overwrite after a recovery election.
func TestCommitNeedsOwnTermInBothQuorums(t *testing.T) {
	is := is.New(t)
	n := newVoter()
	n.campaign(true)
	n.Step(Message{Kind: MsgVoteResp, From: idA, Term: 4})
	n.Advance() // stores the first entry of term 4 at index 3
	type indexes struct{ commit, durable uint64 }
	ack := func(from ID, index uint64) indexes {
		n.Step(Message{Kind: MsgAppendResp, From: from, Term: 4, Index: index})
		return indexes{n.commit, n.durable}
	}
	is.Equal(ack(idA, 2), indexes{1, 0}) // both quorums hold index 2, which is of term 2
	is.Equal(ack(idC, 3), indexes{3, 0}) // a majority holds index 3, the disk voter only 2
	is.Equal(ack(idA, 3), indexes{3, 3})

	// The same applies to a replacement, which a majority of all voters decides.
	next := &Membership{Voters: []Member{{ID: idA, Disk: true}, {ID: idB}, {ID: ID{"c", 2}}}}
	n = newVoter()
	n.log.entries = nil
	n.log.add(Entry{Index: 2, Term: 2, Kind: EntryMembership, Membership: next})
	n.campaign(true)
	n.Step(Message{Kind: MsgVoteResp, From: idA, Term: 4})
	n.Advance()
	ack(idA, 2)
	is.Equal(n.pendingChange(), uint64(2))
	ack(idA, 3)
	is.Equal(n.pendingChange(), uint64(0))
}

// Guards against consent to a recovery election by a member that holds a newer log
// or has a live leader.
func TestRecoveryConsentIsRefused(t *testing.T) {
	is := is.New(t)
	term := uint64(1) << epochShift
	consents := func(n *Node, round uint8, index, logTerm uint64) bool {
		n.Step(Message{Kind: MsgRecovery, From: idA, Term: term, Round: round, Index: index, LogTerm: logTerm})
		return !n.afterStore[len(n.afterStore)-1].Reject
	}
	n := newVoter()
	for round := range uint8(2) {
		is.True(!consents(n, round, 1, 1))
		is.True(!consents(n, round, 9, 1))
	}
	is.Equal(n.term, uint64(3))
	is.True(consents(n, 0, 2, 2))
	n.Step(Message{Kind: MsgHeartbeat, From: idC, Term: 3})
	is.True(!consents(n, 1, 2, 2))
	n = newVoter()
	is.True(consents(n, 1, 2, 2))
	is.True(consents(n, roundConfirm, 2, 2))
	is.Equal(n.vote, idA)
}

// Guards against a recovery election that is won by incarnations that were not
// alive at the same time, or without a majority of the disk voters.
func TestRecoveryElectionOutcome(t *testing.T) {
	for _, tc := range []struct {
		disk, other ID
		wins        bool
	}{{idA, ID{"c", 2}, true}, {idA, ID{"c", 3}, false}, {ID{"a", 2}, ID{"c", 2}, false}} {
		is := is.New(t)
		n := newVoter()
		n.startRecovery()
		for round := range uint8(roundConfirm + 1) {
			other := ID{"c", 2}
			if round == roundConfirm {
				other = tc.other
			}
			for _, from := range []ID{tc.disk, other} {
				n.Step(Message{Kind: MsgRecoveryResp, From: from, Term: n.recovery.term, Round: round})
			}
		}
		is.Equal(n.role == leader, tc.wins)
		if tc.wins {
			is.Equal(n.activeMembership().current.Voters, []Member{{ID: idA, Disk: true}, {ID: idB}})
		}
	}
}
