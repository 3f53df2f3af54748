package raft

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed, so that a failure can be repeated.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261203")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "1000")
	}
	os.Exit(m.Run())
}

var layouts = map[string][]bool{
	"no disk":     {false, false, false},
	"one disk":    {true, false, false},
	"three disks": {true, true, true},
	"mixed":       {true, true, true, false, false},
	"one voter":   {true},
}

// Guards against two leaders in a term, lost or changed committed entries and
// unequal state machines under loss, reordering, repetition, one-way cuts,
// restarts with and without a disk, crashes around the store, and replacement.
// Restarts stay within what the two quorums promise: memory may be lost at any
// time if all voters with a disk keep theirs; without any disk, or for a disk
// itself, one at a time in a whole group.
func TestRandomFaults(t *testing.T) {
	for name, disks := range layouts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				// Single bits, because rapid draws small numbers more often.
				seed := uint64(0)
				for _, bit := range rapid.SliceOfN(rapid.Bool(), 32, 32).Draw(t, "seed") {
					seed *= 2
					if bit {
						seed++
					}
				}
				c := newCluster(t, seed, disks...)
				ops := rand.New(rand.NewPCG(seed, 2))
				c.run(30)
				for i := range rapid.IntRange(300, 600).Draw(t, "operations") {
					c.random(i, uint16(ops.Uint32()))
				}
				c.settle()
			})
		})
	}
}

// random does one random thing.
func (c *cluster) random(number int, op uint16) {
	arg := int(op >> 5)
	h := c.hosts[c.names[arg%len(c.names)]]
	other := c.names[arg/8%len(c.names)]
	switch op % 32 {
	case 0, 1, 2:
		c.propose(h, number)
	case 3:
		c.restartMemory(h)
	case 4:
		c.loseOne(h)
	case 5:
		c.cut[[2]string{h.name, other}] = arg%2 == 0
	case 6:
		clear(c.cut)
	case 7:
		c.compact(h)
	case 8:
		if h.hasDisk {
			h.node.Tick()
			c.pump(h, 1+arg/64%2)
		}
	case 9:
		_ = h.node.TransferLeader(ID{})
		c.pump(h, 0)
	case 10:
		c.run(1 + arg%15)
	case 11, 12:
		for range 12 {
			c.tick(h)
		}
	case 13:
		if len(c.net) > 0 {
			c.deliver(arg%len(c.net), true)
		}
	case 14:
		if len(c.net) > 0 {
			c.net = append(c.net[:arg%len(c.net)], c.net[arg%len(c.net)+1:]...)
		}
	case 15:
		if len(c.net) > 200 {
			c.net = c.net[len(c.net)-100:]
		}
	default:
		for range 5 {
			if len(c.net) > 0 {
				c.deliver(c.rnd.IntN(len(c.net)), false)
			}
		}
		if arg%3 == 0 {
			c.tick(h)
		}
	}
}

// restartMemory restarts a host that keeps its disk if it has one.
func (c *cluster) restartMemory(h *host) {
	if h.hasDisk {
		c.crash(h, false)
		return
	}
	c.repaired()
	// With one voter with a disk, or none, a loss of the disk or of a memory
	// leaves no other disk that could recover the group.
	few := len(c.names) == 3 && !c.hosts[c.names[1]].hasDisk
	if c.repairing && few || !c.hosts[c.names[0]].hasDisk {
		return
	}
	c.crash(h, false)
}

// loseOne restarts a host without its state, in a whole group only.
func (c *cluster) loseOne(h *host) {
	c.repaired()
	if c.repairing || len(c.names) == 1 || !c.healthy() {
		return
	}
	c.repairing = true
	c.crash(h, true)
}

func (c *cluster) repaired() { c.repairing = c.repairing && !c.healthy() }

// Guards against an instance that returns after a partition and deposes a live
// leader by its higher term, with or without a pre-vote.
func TestReturningInstanceDoesNotDisturb(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, true, true, true)
	c.run(40)
	l := c.lead()
	term := l.node.term
	c.isolate(c.after(l).name)
	c.run(200)
	clear(c.cut)
	c.run(40)
	is.Equal(c.lead(), l)
	c.after(l).node.Step(Message{Kind: MsgVote, From: ID{"x", 1}, Term: term + 9, Index: 99, LogTerm: term + 8})
	is.Equal(c.after(l).node.term, term)
	is.Equal(l.node.term, term)
}

// Guards against an isolated leader that goes on to call itself leader, and
// against a commit by it.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, true, true, true)
	c.run(40)
	old := c.lead()
	c.isolate(old.name)
	c.propose(old, 1)
	c.run(25)
	is.True(old.node.role != leader) // stepped down within two election timeouts
	c.run(40)
	is.True(c.lead() != nil && c.lead() != old)
	is.Equal(len(c.acked), 0)
	c.settle()
}

// after returns the host that follows h.
func (c *cluster) after(h *host) *host {
	return c.hosts[c.names[(slices.Index(c.names, h.name)+1)%len(c.names)]]
}

func (c *cluster) isolate(name string) {
	for _, other := range c.names {
		c.cut[[2]string{name, other}] = true
		c.cut[[2]string{other, name}] = true
	}
}

// Guards against a repair that leaves the group unable to bear the next loss.
func TestSecondLossRightAfterRepair(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		c := newCluster(t, seed, false, false, false)
		c.run(40)
		l := c.lead()
		c.propose(l, 1)
		c.run(3)
		c.crash(c.after(l), true)
		for !c.healthy() {
			c.run(1)
		}
		c.propose(l, 2)
		c.run(1)
		c.crash(l, true) // the leader itself, without a tick in between
		c.settle()
		is.Equal(len(c.acked), 2)
	}
}

// Guards against the loss of acknowledged entries when every process dies and
// only the voter with a disk keeps its log.
func TestDiskVoterRecoversAll(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		c := newCluster(t, seed, true, false, false)
		c.run(40)
		for i := range 20 {
			c.propose(c.lead(), i)
			c.run(1)
		}
		is.True(len(c.acked) >= 19)
		for _, name := range c.names {
			c.crash(c.hosts[name], false)
		}
		c.net = nil
		c.settle()
		is.True(c.lead().node.term>>epochShift > 0) // by a recovery election
	}
}

// Guards against a group that stops because its only voter with a disk is down,
// and against calling entries durable that this voter lacks.
func TestGroupGoesOnWithoutDiskVoter(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		c := newCluster(t, seed, true, false, false)
		c.run(40)
		c.isolate("n0")
		c.run(60)
		l := c.lead()
		is.True(l != nil && l.name != "n0")
		for i := range 5 {
			c.propose(l, i)
			c.run(1)
		}
		is.Equal(len(l.applied), 5)
		is.Equal(len(c.acked), 0)
		clear(c.cut)
		c.settle()
		c.pump(c.lead(), 0)
		if c.lead() == l {
			is.Equal(len(c.acked), 5)
		}
	}
}

// Guards against a recovery election while a voter that may hold a newer log or
// follow another leader does not consent.
func TestRecoveryNeedsEveryInstance(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, true, false, false)
	c.run(40)
	c.isolate("n2")
	c.crash(c.hosts["n0"], false)
	c.crash(c.hosts["n1"], false)
	c.run(300)
	is.Equal(c.lead(), nil) // n2 may be alive and is not asked
	c.settle()
}

// Guards against a vote or an acknowledgement of a dead incarnation that is
// counted after its successor has taken its place.
func TestOldIncarnationHasNoVote(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, true, false, false)
	c.run(40)
	l := c.lead()
	h := c.hosts["n2"]
	if h == l {
		h = c.hosts["n1"] // n0 has the disk
	}
	old := h.node.id
	c.crash(h, true)
	for !c.healthy() {
		c.run(1)
	}
	term := l.node.term
	for _, kind := range []MessageKind{MsgAppend, MsgHeartbeat, MsgVote, MsgAppendResp} {
		l.node.Step(Message{Kind: kind, From: old, To: l.node.id, Term: term + 5, Force: true, Index: 99})
	}
	is.Equal(l.node.term, term)
	is.Equal(l.node.peers[old], nil)
	h.node.Step(Message{Kind: MsgVote, From: l.node.id, To: old, Term: term + 5, Force: true, Index: 99, LogTerm: term + 4})
	is.Equal(h.node.vote.IsZero(), true) // a vote asked of the predecessor is not given by the successor
}

// Guards against two leaders in one term after a replacement: the voter that
// elected the later leader is dead and its successor does not know its vote.
func TestReplacementNeedsOldQuorum(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, true, false, true)
	c.run(40)
	c.hosts["n2"].node.campaign(true)
	c.run(5)
	stale := c.hosts["n2"]
	is.Equal(c.lead(), stale)
	c.isolate("n2")
	c.net = nil
	c.hosts["n0"].node.campaign(true) // wins with the vote of n1
	c.run(1)
	is.Equal(c.hosts["n0"].node.role, leader)
	c.crash(c.hosts["n1"], false)
	c.net = nil
	c.isolate("n0")
	delete(c.cut, [2]string{"n1", "n2"})
	delete(c.cut, [2]string{"n2", "n1"})
	for range 9 {
		c.run(1)
		c.propose(stale, 7)
	}
	is.True(stale.node.pendingChange() != 0) // replacement appended
	is.Equal(len(c.acked), 0)                // and nothing committed by it
	c.settle()
}

// Guards against a change that is proposed before the leader has committed an
// entry of its own term, for a learner that lacks acknowledged entries or whose
// request was a late message of a dead incarnation, or while another one is
// undecided.
func TestMembershipChangesOneAtATime(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6, true, true, true)
	c.run(40)
	l := c.lead()
	gone := c.after(l)
	add := Change{Kind: ChangeAdd, Member: ID{"n9", 9}}
	reason := func(c Change) ChangeReason { return l.node.ProposeMembership(c).(*ChangeError).Reason }
	l.node.Step(Message{Kind: MsgJoin, From: add.Member, Disk: true})
	is.Equal(reason(add), ChangeNotCaughtUp)
	l.node.Step(Message{Kind: MsgAppendResp, From: add.Member, Term: l.node.term, Index: l.node.log.last()})
	is.Equal(reason(add), ChangeNotCaughtUp) // no heartbeat answered since it joined
	is.NoErr(l.node.ProposeMembership(Change{Kind: ChangeRemove, Member: gone.node.id}))
	is.Equal(reason(Change{Kind: ChangeRemove, Member: l.node.id}), ChangePending)
	c.pump(l, 0)
	for l.node.pendingChange() != 0 {
		c.run(1)
	}
	is.Equal(len(l.node.config().cur.Voters), 2)
	c.settle() // it asks to join and is added again
	gone.node.campaign(true)
	gone.node.Step(Message{Kind: MsgVoteResp, From: l.node.id, Term: gone.node.term})
	_, notReady := gone.node.ProposeMembership(Change{Kind: ChangeRemove, Member: l.node.id}).(*NotReadyError)
	is.True(notReady)
}

// Guards against a planned stop that leaves the group without a leader for an
// election timeout.
func TestTransferIsQuick(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 7, true, true, true)
	c.run(40)
	l := c.lead()
	is.NoErr(l.node.TransferLeader(ID{}))
	_, _, err := l.node.Propose([]byte("x"))
	is.True(err != nil) // not accepted during the transfer
	c.pump(l, 0)
	c.run(2)
	is.True(c.lead() != nil && c.lead() != l)
}

// Guards against a read that misses a committed entry, on a follower too, and
// against an answer by an isolated leader.
func TestReadIndex(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8, true, true, true)
	c.run(40)
	l := c.lead()
	c.propose(l, 1)
	c.run(5)
	for i, name := range c.names {
		h := c.hosts[name]
		is.NoErr(h.node.ReadIndex(uint64(100 + i)))
		c.pump(h, 0)
		c.run(1)
		is.Equal(h.reads, []ReadState{{Seq: uint64(100 + i), Index: l.node.commit}})
	}
	c.isolate(l.name)
	is.NoErr(l.node.ReadIndex(1))
	c.pump(l, 0)
	c.run(5)
	is.Equal(len(l.node.pendingReads), 1)
}

// Guards against a member that lost what it had acknowledged, its log having
// taken a damaged last write for a torn one, and that is never repaired.
func TestLostTailIsSentAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 9, true, true, true)
	c.run(40)
	l := c.lead()
	for i := range 5 {
		c.propose(l, i)
	}
	c.run(5)
	h := c.after(l)
	h.disk.entries = h.disk.entries[:len(h.disk.entries)-2]
	h.disk.hs.Commit = 1
	c.crash(h, false)
	c.settle()
	is.Equal(c.lead(), l)
}

// Guards against a log that grows without bound while the only voter with a
// disk is away.
func TestProposalsAreBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 10, true, false, false)
	c.run(40)
	l := c.hosts["n1"]
	l.node.campaign(true)
	c.run(5)
	is.Equal(c.lead(), l)
	c.isolate("n0")
	var err error
	for i := 0; err == nil; i++ {
		_, _, err = l.node.Propose(nil)
		is.True(i <= maxUncommitted)
	}
	is.True(err.(*BusyError).Uncommitted >= maxUncommitted)
}
