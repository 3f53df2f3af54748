package replica

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/raft"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a group that does not form by itself, a follower that accepts a
// proposal, and a stale read on a follower that misses an acknowledged entry.
func TestFormProposeRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false).open()
	ctx := context.Background()
	l := z.waitLeader()
	out, err := l.Propose(ctx, encodeValue(7))
	is.NoErr(err)
	is.Equal(out, 1) // the result of Apply
	f := z.otherThan(l)
	_, err = f.Propose(ctx, encodeValue(8))
	var nl *NotLeaderError
	is.True(errors.As(err, &nl))
	is.Equal(nl.Leader, l.cfg.Self)
	for i := uint64(10); i < 30; i++ {
		_, err = l.Propose(ctx, encodeValue(i))
		is.NoErr(err)
		is.NoErr(f.ReadIndex(ctx))
		is.True(f.recorder.has(i))
	}
	is.True(!l.Status().Durable) // no voter has a disk
}

// Guards against an instance without a disk that does not rejoin after a restart,
// or is ready before it has the acknowledged entries.
func TestRestartedInstanceRejoins(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false).open()
	for i := range uint64(120) { // more than SnapshotEntries
		z.proposeUntilAccepted(i)
	}
	for _, s := range z.specs {
		before := z.daemons[s.Name].id
		z.kill(s.Name)
		d := z.start(s.Name)
		z.waitFor("ready", func() bool { return d.Status().Ready })
		is.True(d.recorder.has(119))
		is.True(d.id != before)
		z.waitReady()
		is.Equal(len(z.waitLeader().Status().Members), 3)
	}
}

// Guards against a group that elects no new leader, or loses entries, when its
// leader crashes.
func TestLeaderFailover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false).open()
	z.proposeUntilAccepted(1)
	z.kill(z.waitLeader().cfg.Self)
	z.proposeUntilAccepted(2)
	is.True(z.waitLeader().recorder.has(1))
}

// Guards against a wrong outcome of a proposal to an isolated leader: it must be
// UncertainError as long as the entry may be applied, and NotLeaderError once
// another entry has been committed at its index.
func TestIsolatedLeaderProposalOutcomes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false).open()
	old := z.waitLeader()
	z.setIsolated(old.cfg.Self, true)
	short, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := old.Propose(short, encodeValue(1))
	var uncertain *UncertainError
	is.True(errors.As(err, &uncertain))
	long := make(chan error, 1)
	go func() {
		_, err := old.Propose(context.Background(), encodeValue(2))
		long <- err
	}()
	z.waitFor("new leader", func() bool {
		for _, d := range z.daemons {
			if d != old && d.Status().Leads {
				_, err := d.Propose(context.Background(), encodeValue(3))
				return err == nil
			}
		}
		return false
	})
	z.waitFor("old leader steps down", func() bool { return !old.Status().Leads })
	z.setIsolated(old.cfg.Self, false)
	err = <-long
	var nl *NotLeaderError
	is.True(errors.As(err, &nl)) // overwritten, so never applied
	is.NoErr(old.ReadIndex(context.Background()))
	is.True(old.recorder.has(3) && !old.recorder.has(1) && !old.recorder.has(2))
}

// Guards against a planned stop whose leadership transfer takes as long as an
// election timeout.
func TestTransfer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false)
	z.tick = 100 * time.Millisecond
	z.open()
	l := z.waitLeader()
	start := time.Now()
	is.NoErr(l.Transfer(context.Background()))
	z.waitFor("another leader", func() bool { n := z.currentLeader(); return n != nil && n != l })
	is.True(time.Since(start) < 500*time.Millisecond)
	is.NoErr(z.otherThan(z.currentLeader()).Transfer(context.Background())) // a no-op on a follower
}

// Guards against a group that is formed a second time while an instance that may
// have its state cannot be reached.
func TestNoSecondFormation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false).open()
	z.proposeUntilAccepted(1)
	z.kill("i0")
	z.kill("i1")
	z.setIsolated("i2", true)
	z.start("i0")
	z.start("i1")
	time.Sleep(60 * z.tick)
	is.Equal(z.currentLeader(), nil)
	z.setIsolated("i2", false)
	z.waitReady() // only i2 has the entries, from which the group recovers
	is.True(z.waitLeader().recorder.has(1))
}

// Guards against messages that are delivered to another group of the same daemon.
func TestTwoGroupsOnOneDaemon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false).open()
	second := newZone(t)
	second.net = z.net
	second.specs = z.specs
	for _, s := range z.specs {
		d := &daemon{recorder: &recorder{}}
		r, err := Open(Config{
			Group: "config", Self: s.Name, Instances: z.specs, Machine: d.recorder, Log: logr.Discard(),
			Dispatcher: z.daemons[s.Name].cfg.Dispatcher, TickInterval: z.tick,
		})
		is.NoErr(err)
		d.Replica = r
		defer r.Stop()
		second.daemons[s.Name] = d
	}
	second.waitReady()
	second.proposeUntilAccepted(5)
	z.proposeUntilAccepted(6)
	is.True(second.waitLeader().recorder.has(5) && !second.waitLeader().recorder.has(6))
	clear(second.daemons)
}

// Guards against idle traffic above the budget of 2 KB/s per daemon.
func TestIdleTraffic(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false)
	z.tick = 20 * time.Millisecond
	z.open()
	time.Sleep(10 * z.tick)
	z.net.bytes.Store(0)
	z.net.count.Store(0)
	const ticks = 60
	time.Sleep(ticks * z.tick)
	perSecond := float64(z.net.bytes.Load()) / ticks * float64(time.Second/defaultTick)
	t.Logf("whole group: %.0f bytes/s, %.1f bytes a message", perSecond,
		float64(z.net.bytes.Load())/float64(z.net.count.Load()))
	is.True(perSecond < 2000)
	hb := &raft.Message{Kind: raft.MsgHeartbeat, Term: raft.FirstTerm(1<<31, 9), Seq: 1 << 20, Commit: 1 << 20, Decided: 1 << 20}
	body, err := codec.Marshal(&frame{Group: "zone-a", From: 1 << 63, To: 1 << 63, Msg: hb})
	is.NoErr(err)
	is.True(len(body) < 72)
}
