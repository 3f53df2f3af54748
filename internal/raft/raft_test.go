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
	// A fixed seed makes failures reproducible.
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
// diverging state machines under message loss, reordering and duplication, one-way
// partitions, restarts with and without a disk, crashes before and after storing,
// and replacement. Restarts stay within what the two quorums guarantee: memory may
// be lost at any time if all voters with a disk keep it; a disk, or a memory in a
// group without any disk, only one at a time while the group is healthy.
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
					c.randomOperation(i, uint16(ops.Uint32()))
				}
				c.healAndCheck()
			})
		})
	}
}

// randomOperation performs the operation that op selects: a command, a restart, a
// network fault, a snapshot, a leadership transfer, ticks or deliveries.
func (c *cluster) randomOperation(number int, op uint16) {
	arg := int(op >> 5)
	h := c.hosts[c.names[arg%len(c.names)]]
	other := c.names[arg/8%len(c.names)]
	switch op % 32 {
	case 0, 1, 2:
		c.propose(h, number)
	case 3:
		c.restartKeepingDisk(h)
	case 4:
		c.restartWithoutState(h)
	case 5:
		c.blocked[[2]string{h.name, other}] = arg%2 == 0
	case 6:
		clear(c.blocked)
	case 7:
		c.compact(h)
	case 8:
		if h.hasDisk {
			h.node.Tick()
			c.processReady(h, 1+arg/64%2)
		}
	case 9:
		_ = h.node.TransferLeader(ID{})
		c.processReady(h, 0)
	case 10:
		c.run(1 + arg%15)
	case 11, 12:
		for range 12 {
			c.tick(h)
		}
	case 13:
		if len(c.inFlight) > 0 {
			c.deliver(arg%len(c.inFlight), true)
		}
	case 14:
		if len(c.inFlight) > 0 {
			c.inFlight = append(c.inFlight[:arg%len(c.inFlight)], c.inFlight[arg%len(c.inFlight)+1:]...)
		}
	case 15:
		if len(c.inFlight) > 200 {
			c.inFlight = c.inFlight[len(c.inFlight)-100:]
		}
	default:
		for range 5 {
			if len(c.inFlight) > 0 {
				c.deliver(c.rnd.IntN(len(c.inFlight)), false)
			}
		}
		if arg%3 == 0 {
			c.tick(h)
		}
	}
}

// restartKeepingDisk restarts a host. It keeps its disk if it has one; otherwise it
// loses its state, unless the group could not recover from that.
func (c *cluster) restartKeepingDisk(h *host) {
	if h.hasDisk {
		c.crash(h, false)
		return
	}
	c.updateRepairing()
	// With a single voter with a disk, or none, the loss of that disk or of a
	// memory leaves no other disk from which the group could recover.
	singleDisk := len(c.names) == 3 && !c.hosts[c.names[1]].hasDisk
	if c.repairing && singleDisk || !c.hosts[c.names[0]].hasDisk {
		return
	}
	c.crash(h, false)
}

// restartWithoutState restarts a host without its state if the group is healthy.
func (c *cluster) restartWithoutState(h *host) {
	c.updateRepairing()
	if c.repairing || len(c.names) == 1 || !c.healthy() {
		return
	}
	c.repairing = true
	c.crash(h, true)
}

// updateRepairing clears repairing once the group is healthy again.
func (c *cluster) updateRepairing() { c.repairing = c.repairing && !c.healthy() }

// Guards against an instance that returns after a partition and deposes a live
// leader with its higher term, with or without a pre-vote.
func TestReturningInstanceDoesNotDeposeLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, true, true, true)
	c.run(40)
	l := c.readyLeader()
	term := l.node.term
	c.isolate(c.nextHost(l).name)
	c.run(200)
	clear(c.blocked)
	c.run(40)
	is.Equal(c.readyLeader(), l)
	c.nextHost(l).node.Step(Message{Kind: MsgVote, From: ID{"x", 1}, Term: term + 9, Index: 99, LogTerm: term + 8})
	is.Equal(c.nextHost(l).node.term, term)
	is.Equal(l.node.term, term)
}

// Guards against an isolated leader that does not step down, and against a commit
// by it.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2, true, true, true)
	c.run(40)
	old := c.readyLeader()
	c.isolate(old.name)
	c.propose(old, 1)
	c.run(25)
	is.True(old.node.role != leader) // stepped down within two election timeouts
	c.run(40)
	is.True(c.readyLeader() != nil && c.readyLeader() != old)
	is.Equal(len(c.acked), 0)
	c.healAndCheck()
}

// nextHost returns the host after h in the order of names, or the first one after
// the last.
func (c *cluster) nextHost(h *host) *host {
	return c.hosts[c.names[(slices.Index(c.names, h.name)+1)%len(c.names)]]
}

// isolate blocks both directions of every link of a host.
func (c *cluster) isolate(name string) {
	for _, other := range c.names {
		c.blocked[[2]string{name, other}] = true
		c.blocked[[2]string{other, name}] = true
	}
}

// Guards against a repair after which the group does not tolerate another loss.
func TestSecondLossRightAfterRepair(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		c := newCluster(t, seed, false, false, false)
		c.run(40)
		l := c.readyLeader()
		c.propose(l, 1)
		c.run(3)
		c.crash(c.nextHost(l), true)
		for !c.healthy() {
			c.run(1)
		}
		c.propose(l, 2)
		c.run(1)
		c.crash(l, true) // the leader itself, without a tick in between
		c.healAndCheck()
		is.Equal(len(c.acked), 2)
	}
}

// Guards against the loss of acknowledged entries when every process crashes and
// only the voter with a disk keeps its log.
func TestDiskVoterRecoversAcknowledgedEntries(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		c := newCluster(t, seed, true, false, false)
		c.run(40)
		for i := range 20 {
			c.propose(c.readyLeader(), i)
			c.run(1)
		}
		is.True(len(c.acked) >= 19)
		for _, name := range c.names {
			c.crash(c.hosts[name], false)
		}
		c.inFlight = nil
		c.healAndCheck()
		is.True(c.readyLeader().node.term>>epochShift > 0) // elected by a recovery election
	}
}

// Guards against a group that stops committing because its only voter with a disk
// is down, and against reporting entries as durable that this voter lacks.
func TestGroupCommitsWithoutDiskVoter(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		c := newCluster(t, seed, true, false, false)
		c.run(40)
		c.isolate("n0")
		c.run(60)
		l := c.readyLeader()
		is.True(l != nil && l.name != "n0")
		for i := range 5 {
			c.propose(l, i)
			c.run(1)
		}
		is.Equal(len(l.applied), 5)
		is.Equal(len(c.acked), 0)
		clear(c.blocked)
		c.healAndCheck()
		c.processReady(c.readyLeader(), 0)
		if c.readyLeader() == l {
			is.Equal(len(c.acked), 5)
		}
	}
}

// Guards against a recovery election that is won without the consent of a voter
// that may hold a newer log or follow another leader.
func TestRecoveryNeedsEveryInstance(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, true, false, false)
	c.run(40)
	c.isolate("n2")
	c.crash(c.hosts["n0"], false)
	c.crash(c.hosts["n1"], false)
	c.run(300)
	is.Equal(c.readyLeader(), nil) // n2 may be alive and cannot be reached
	c.healAndCheck()
}

// Guards against counting a vote or an acknowledgement of a dead incarnation after
// its successor has replaced it.
func TestDeadIncarnationHasNoVote(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, true, false, false)
	c.run(40)
	l := c.readyLeader()
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
	is.Equal(h.node.vote.IsZero(), true) // the successor does not answer a vote request to its predecessor
}

// Guards against commits by the leader of an earlier term after a replacement: the
// voter that elected the later leader is dead and its successor does not know of
// the vote, so it would support the earlier leader.
func TestReplacementNeedsOldQuorum(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, true, false, true)
	c.run(40)
	c.hosts["n2"].node.campaign(true)
	c.run(5)
	stale := c.hosts["n2"]
	is.Equal(c.readyLeader(), stale)
	c.isolate("n2")
	c.inFlight = nil
	c.hosts["n0"].node.campaign(true) // wins with the vote of n1
	c.run(1)
	is.Equal(c.hosts["n0"].node.role, leader)
	c.crash(c.hosts["n1"], false)
	c.inFlight = nil
	c.isolate("n0")
	delete(c.blocked, [2]string{"n1", "n2"})
	delete(c.blocked, [2]string{"n2", "n1"})
	for range 9 {
		c.run(1)
		c.propose(stale, 7)
	}
	is.True(stale.node.pendingChange() != 0) // the replacement is appended
	is.Equal(len(c.acked), 0)                // but commits nothing
	c.healAndCheck()
}

// Guards against a membership change that is accepted before the leader has
// committed an entry of its own term, for a learner that lacks acknowledged
// entries or whose request was a delayed message of a dead incarnation, or while
// another change is undecided.
func TestMembershipChangesOneAtATime(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6, true, true, true)
	c.run(40)
	l := c.readyLeader()
	removed := c.nextHost(l)
	add := Change{Kind: ChangeAdd, Member: ID{"n9", 9}}
	reason := func(c Change) ChangeReason { return l.node.ProposeMembership(c).(*ChangeError).Reason }
	l.node.Step(Message{Kind: MsgJoin, From: add.Member, Disk: true})
	is.Equal(reason(add), ChangeNotCaughtUp)
	l.node.Step(Message{Kind: MsgAppendResp, From: add.Member, Term: l.node.term, Index: l.node.log.last()})
	is.Equal(reason(add), ChangeNotCaughtUp) // it has not answered a heartbeat since it joined
	is.NoErr(l.node.ProposeMembership(Change{Kind: ChangeRemove, Member: removed.node.id}))
	is.Equal(reason(Change{Kind: ChangeRemove, Member: l.node.id}), ChangePending)
	c.processReady(l, 0)
	for l.node.pendingChange() != 0 {
		c.run(1)
	}
	is.Equal(len(l.node.activeMembership().current.Voters), 2)
	c.healAndCheck() // the removed voter asks to join and is added again
	removed.node.campaign(true)
	removed.node.Step(Message{Kind: MsgVoteResp, From: l.node.id, Term: removed.node.term})
	_, notReady := removed.node.ProposeMembership(Change{Kind: ChangeRemove, Member: l.node.id}).(*NotReadyError)
	is.True(notReady)
}

// Guards against a planned shutdown of the leader that leaves the group without a
// leader for an election timeout.
func TestLeaderTransferIsQuick(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 7, true, true, true)
	c.run(40)
	l := c.readyLeader()
	is.NoErr(l.node.TransferLeader(ID{}))
	_, _, err := l.node.Propose([]byte("x"))
	is.True(err != nil) // proposals are refused during the transfer
	c.processReady(l, 0)
	c.run(2)
	is.True(c.readyLeader() != nil && c.readyLeader() != l)
}

// Guards against a stale read, on the leader or a follower, and against an answer
// by an isolated leader.
func TestReadIndex(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 8, true, true, true)
	c.run(40)
	l := c.readyLeader()
	c.propose(l, 1)
	c.run(5)
	for i, name := range c.names {
		h := c.hosts[name]
		is.NoErr(h.node.ReadIndex(uint64(100 + i)))
		c.processReady(h, 0)
		c.run(1)
		is.Equal(h.reads, []ReadState{{Seq: uint64(100 + i), Index: l.node.commit}})
	}
	c.isolate(l.name)
	is.NoErr(l.node.ReadIndex(1))
	c.processReady(l, 0)
	c.run(5)
	is.Equal(len(l.node.pendingReads), 1)
}

// Guards against a member that stays incomplete after it lost acknowledged
// entries because its log mistook a damaged last write for a torn one.
func TestLostTailIsResent(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 9, true, true, true)
	c.run(40)
	l := c.readyLeader()
	for i := range 5 {
		c.propose(l, i)
	}
	c.run(5)
	h := c.nextHost(l)
	h.disk.entries = h.disk.entries[:len(h.disk.entries)-2]
	h.disk.hardState.Commit = 1
	c.crash(h, false)
	c.healAndCheck()
	is.Equal(c.readyLeader(), l)
}

// Guards against a log that grows without bound while the only voter with a disk
// is unreachable.
func TestProposalsAreBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 10, true, false, false)
	c.run(40)
	l := c.hosts["n1"]
	l.node.campaign(true)
	c.run(5)
	is.Equal(c.readyLeader(), l)
	c.isolate("n0")
	var err error
	for i := 0; err == nil; i++ {
		_, _, err = l.node.Propose(nil)
		is.True(i <= maxUncommitted)
	}
	is.True(err.(*BusyError).Uncommitted >= maxUncommitted)
}

// Guards against a leader that panics when the acknowledgement that decides a removal
// comes from the removed voter: it was silent only for a while.
func TestRemovedVoterDecidesItsRemoval(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 11, true, true, true, true)
	c.run(40)
	l := c.readyLeader()
	removed := c.nextHost(l)
	c.isolate(c.nextHost(removed).name) // leaves three of four voters, among them the removed one
	is.NoErr(l.node.ProposeMembership(Change{Kind: ChangeRemove, Member: removed.node.id}))
	c.blocked[[2]string{removed.name, l.name}] = true
	c.processReady(l, 0)
	c.run(5)
	is.True(l.node.pendingChange() != 0) // the acknowledgement of the removed voter is missing
	delete(c.blocked, [2]string{removed.name, l.name})
	c.run(10)
	is.Equal(l.node.pendingChange(), uint64(0))
	c.healAndCheck()
}

// Guards against an outage that lasts for a whole election timeout after all members were
// restarted at once: none of them leads, so there is no leader to wait for.
func TestRestartedGroupElectsBeforeAnElectionTimeout(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		c := newCluster(t, seed, true, true, true, true, true)
		c.run(40)
		for _, name := range c.names {
			c.crash(c.hosts[name], false)
		}
		c.inFlight = nil
		c.run(c.hosts["n0"].node.cfg.ElectionTicks)
		is.True(c.readyLeader() != nil)
	}
}
