package replica

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/raft"
)

// A member that lost its disk gets a large snapshot while many callers read. Guards
// against a group whose leader is busy with sending the snapshot again for each read, so
// that the member never catches up and nothing is committed in time.
func TestMemberRejoinsUnderReads(t *testing.T) {
	const snapshotBytes = 4 << 20
	is := is.New(t)
	z := newZone(t, true, true, true)
	z.tick = 50 * time.Millisecond // a chunk counts as lost after three of them
	var sent atomic.Int64
	z.net.drop = func(m *raft.Message) bool {
		sent.Add(int64(len(m.Data)))
		return false
	}
	z.editConfig = func(c *Config) { c.Machine.(*recorder).padding = snapshotBytes }
	z.open()
	for i := range uint64(60) { // more than SnapshotEntries
		z.proposeUntilAccepted(i)
	}
	l := z.waitLeader()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for ctx.Err() == nil {
				_ = l.ReadIndex(ctx)
			}
		})
	}
	lost := z.otherThan(l).cfg.Self
	z.kill(lost)
	is.NoErr(os.RemoveAll(filepath.Join(z.folder, lost)))
	before := sent.Load()
	z.start(lost)
	z.waitReady()
	stop()
	wg.Wait()
	// Once, and once more for chunks whose acknowledgement is late.
	if got := sent.Load() - before; got > 2*snapshotBytes {
		t.Errorf("%d bytes were sent for a snapshot of %d", got, snapshotBytes)
	}
}

// Entries are not committed for a while, although the leader is heard. Callers give up
// long before and come back at once. Guards against a log that fills with entries of
// callers who have given up, and against a leader that refuses proposals for longer than
// that lasts. The test is the clock: no message or tick arrives by itself.
func TestSlowCommitsShedProposals(t *testing.T) {
	const electionTicks, callersPerTick = 10, 5
	is := is.New(t)
	n, members := electedLeader(electionTicks)
	r := &Replica{cfg: Config{Group: "g", ElectionTicks: electionTicks}, node: n, pending: map[uint64]*proposal{}}
	stored := n.Status().LastIndex
	propose := func() (accepted, refused int) {
		for range callersPerTick {
			p := &proposal{done: make(chan outcome, 1)}
			r.propose(p)
			select {
			case o := <-p.done:
				var slow *SlowCommitError
				is.True(errors.As(o.err, &slow))
				refused++
			default:
				accepted++
			}
		}
		return accepted, refused
	}
	for tick := range 3 * electionTicks {
		accepted, refused := propose()
		if tick <= electionTicks {
			is.Equal(accepted, callersPerTick)
		} else {
			is.Equal(refused, callersPerTick) // the oldest entry has waited for longer
		}
		r.ticks++
		n.Tick()
		for _, m := range members {
			n.Step(raft.Message{Kind: raft.MsgHeartbeatResp, From: m, Term: n.Status().Term, Index: stored})
		}
		n.Ready()
		n.Advance()
	}
	last := n.Status().LastIndex
	is.Equal(last-stored, uint64((electionTicks+1)*callersPerTick))
	n.Step(raft.Message{Kind: raft.MsgAppendResp, From: members[0], Term: n.Status().Term, Index: last})
	r.applied = n.Status().Commit
	is.Equal(r.applied, last)
	accepted, _ := propose()
	is.Equal(accepted, callersPerTick)
}

// electedLeader returns the leader of three voters, and the other two. They hold its log
// so far.
func electedLeader(electionTicks int) (*raft.Node, []raft.ID) {
	self, others := raft.ID{Instance: "a", Incarnation: 1}, []raft.ID{{Instance: "b", Incarnation: 1}, {Instance: "c", Incarnation: 1}}
	m := raft.Membership{Voters: []raft.Member{{ID: self}, {ID: others[0]}, {ID: others[1]}}}
	n := raft.New(raft.Config{ID: self, ElectionTicks: electionTicks, Random: func(int) int { return 0 }})
	n.Bootstrap(m, 1)
	for range electionTicks + 1 {
		n.Tick()
	}
	n.Step(raft.Message{Kind: raft.MsgPreVoteResp, From: others[0], Term: n.Status().Term + 1})
	n.Step(raft.Message{Kind: raft.MsgVoteResp, From: others[0], Term: n.Status().Term})
	n.Ready()
	n.Advance()
	for _, m := range others {
		n.Step(raft.Message{Kind: raft.MsgAppendResp, From: m, Term: n.Status().Term, Index: n.Status().LastIndex})
	}
	n.Ready()
	n.Advance()
	return n, others
}
