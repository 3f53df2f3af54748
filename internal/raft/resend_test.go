package raft

import (
	"testing"

	"github.com/matryer/is"
)

// sentEntries counts the entries and the snapshot bytes in messages to a member.
func sentEntries(msgs []Message, to ID) (entries, snapshotBytes int) {
	for i := range msgs {
		if msgs[i].To == to {
			entries += len(msgs[i].Entries)
			snapshotBytes += len(msgs[i].Data)
		}
	}
	return entries, snapshotBytes
}

// leaderOfThree returns a leader whose messages the test answers by hand, with both
// followers known to hold its whole log.
func leaderOfThree() *Node {
	n := newVoter()
	n.campaign(true)
	n.Step(Message{Kind: MsgVoteResp, From: idA, Term: 4})
	for _, from := range []ID{idA, idC} {
		n.Step(Message{Kind: MsgAppendResp, From: from, Term: 4, Index: n.log.last()})
	}
	n.Advance()
	return n
}

// Many reads while the followers sync their disks: each read takes a heartbeat, and the
// answers to heartbeats overtake the acknowledgements of entries. Guards against a leader
// that takes the entries for lost and sends them again with each read, so that reads
// multiply the bytes of the log.
func TestReadsDoNotResendEntries(t *testing.T) {
	is := is.New(t)
	n := leaderOfThree()
	last := n.log.last()
	sent := 0
	for range 10 {
		_, _, err := n.Propose([]byte("command"))
		is.NoErr(err)
	}
	for seq := range uint64(50) {
		is.NoErr(n.ReadIndex(seq))
		entries, _ := sentEntries(n.beforeStore, idA)
		sent += entries
		n.Advance()
		n.Step(Message{Kind: MsgHeartbeatResp, From: idA, Term: 4, Seq: n.heartbeatSeq, Index: last})
	}
	is.Equal(sent, 10) // each entry once: no tick has passed
	for range n.cfg.HeartbeatTicks {
		n.Tick()
	}
	n.Step(Message{Kind: MsgHeartbeatResp, From: idA, Term: 4, Seq: n.heartbeatSeq, Index: last})
	entries, _ := sentEntries(n.beforeStore, idA)
	is.Equal(entries, 10) // without an acknowledgement for a heartbeat interval, they are sent again
}

// A member that joins gets a large snapshot while reads go on. Guards against a leader
// that sends the current chunk again with each read: a hundred reads a second would send
// a hundred chunks a second, and the group's other messages would wait behind them.
func TestReadsDoNotResendSnapshotChunks(t *testing.T) {
	is := is.New(t)
	n := leaderOfThree()
	n.cfg.MaxBytes = 1000
	n.Compact(n.applied, make([]byte, 10_000), 0, 0)
	joiner := ID{"d", 1}
	n.Step(Message{Kind: MsgJoin, From: joiner, Disk: true})
	n.Step(Message{Kind: MsgAppendResp, From: joiner, Term: 4, Reject: true})
	sent := 0
	for seq := range uint64(50) {
		is.NoErr(n.ReadIndex(seq))
		_, bytes := sentEntries(n.beforeStore, joiner)
		sent += bytes
		n.Advance()
		n.Step(Message{Kind: MsgHeartbeatResp, From: joiner, Term: 4, Seq: n.heartbeatSeq})
	}
	is.Equal(sent, 1000) // the first chunk once
}

// A member acknowledges nothing for a long time, because its disk or its link is slow.
// Guards against a leader that sends the same entries again at each heartbeat, which
// keeps the member from ever catching up.
func TestResendsBackOff(t *testing.T) {
	is := is.New(t)
	n := leaderOfThree()
	last := n.log.last()
	_, _, err := n.Propose([]byte("command"))
	is.NoErr(err)
	n.Advance()
	resends := 0
	for range 20 * n.cfg.HeartbeatTicks {
		n.Tick()
		n.Step(Message{Kind: MsgHeartbeatResp, From: idC, Term: 4, Seq: n.heartbeatSeq, Index: n.log.last()})
		n.Step(Message{Kind: MsgHeartbeatResp, From: idA, Term: 4, Seq: n.heartbeatSeq, Index: last})
		entries, _ := sentEntries(n.beforeStore, idA)
		resends += entries
		n.Advance()
	}
	is.True(resends >= 3)
	is.True(resends <= 8)
}

// The followers answer heartbeats but acknowledge no entry. Guards against a leader that
// keeps the leadership for as long as that lasts, which a new leader may cure, and
// against one that steps down while it has nothing to commit.
func TestLeaderThatCommitsNothingStepsDown(t *testing.T) {
	is := is.New(t)
	n := leaderOfThree()
	last := n.log.last()
	tick := func(times int) {
		for range times {
			n.Tick()
			n.Step(Message{Kind: MsgHeartbeatResp, From: idA, Term: 4, Seq: n.heartbeatSeq, Index: last})
			n.Step(Message{Kind: MsgHeartbeatResp, From: idC, Term: 4, Seq: n.heartbeatSeq, Index: last})
			n.Advance()
		}
	}
	tick(2 * commitStallTimeouts * n.cfg.ElectionTicks)
	is.Equal(n.role, leader) // nothing waits
	_, _, err := n.Propose([]byte("command"))
	is.NoErr(err)
	tick(commitStallTimeouts*n.cfg.ElectionTicks - 1)
	is.Equal(n.role, leader)
	tick(2)
	is.Equal(n.role, follower)
}
