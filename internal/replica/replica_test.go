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

// Guards against a group that does not form by itself, a proposal that is
// accepted away from the leader, and a read on a follower that misses an
// acknowledged entry.
func TestFormProposeRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false).open()
	ctx := context.Background()
	l := z.leader()
	out, err := l.Propose(ctx, word(7))
	is.NoErr(err)
	is.Equal(out, 1) // the result of Apply
	f := z.other(l)
	_, err = f.Propose(ctx, word(8))
	var nl *NotLeaderError
	is.True(errors.As(err, &nl))
	is.Equal(nl.Leader, l.cfg.Self)
	for i := uint64(10); i < 30; i++ {
		_, err = l.Propose(ctx, word(i))
		is.NoErr(err)
		is.NoErr(f.ReadIndex(ctx))
		is.True(f.sm.has(i))
	}
	is.True(!l.Status().Durable) // no voter has a disk
}

// Guards against an instance without a disk that does not come back by itself,
// or is ready before it holds what was acknowledged.
func TestRestartedInstanceReplacesItself(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false).open()
	for i := range uint64(120) { // enough for a snapshot
		z.put(i)
	}
	for _, s := range z.specs {
		before := z.daemons[s.Name].id
		z.kill(s.Name)
		d := z.start(s.Name)
		z.wait("ready", func() bool { return d.Status().Ready })
		is.True(d.sm.has(119))
		is.True(d.id != before)
		z.ready()
		is.Equal(len(z.leader().Status().Members), 3)
	}
}

// Guards against a group that stays without a leader, and loses entries, when
// its leader dies.
func TestLeaderDies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false).open()
	z.put(1)
	z.kill(z.leader().cfg.Self)
	z.put(2)
	is.True(z.leader().sm.has(1))
}

// Guards against a false answer about a proposal of an isolated leader: it must
// be uncertain as long as the entry may be applied, and certain once another
// entry has taken its place.
func TestIsolatedLeaderTellsTheTruth(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false).open()
	old := z.leader()
	z.setCut(old.cfg.Self, true)
	short, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := old.Propose(short, word(1))
	var uncertain *UncertainError
	is.True(errors.As(err, &uncertain))
	long := make(chan error, 1)
	go func() {
		_, err := old.Propose(context.Background(), word(2))
		long <- err
	}()
	z.wait("new leader", func() bool {
		for _, d := range z.daemons {
			if d != old && d.Status().Leads {
				_, err := d.Propose(context.Background(), word(3))
				return err == nil
			}
		}
		return false
	})
	z.wait("old leader steps down", func() bool { return !old.Status().Leads })
	z.setCut(old.cfg.Self, false)
	err = <-long
	var nl *NotLeaderError
	is.True(errors.As(err, &nl)) // overwritten, so certainly not applied
	is.NoErr(old.ReadIndex(context.Background()))
	is.True(old.sm.has(3) && !old.sm.has(1) && !old.sm.has(2))
}

// Guards against a planned stop that waits for an election timeout.
func TestTransfer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false)
	z.tick = 100 * time.Millisecond
	z.open()
	l := z.leader()
	start := time.Now()
	is.NoErr(l.Transfer(context.Background()))
	z.wait("another leader", func() bool { n := z.lead(); return n != nil && n != l })
	is.True(time.Since(start) < 500*time.Millisecond)
	is.NoErr(z.other(z.lead()).Transfer(context.Background())) // of a follower: nothing to do
}

// Guards against a group that forms again without an instance that may hold the
// state of the group.
func TestNoSecondFormation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false).open()
	z.put(1)
	z.kill("i0")
	z.kill("i1")
	z.setCut("i2", true)
	z.start("i0")
	z.start("i1")
	time.Sleep(60 * z.tick)
	is.Equal(z.lead(), nil)
	z.setCut("i2", false)
	z.ready() // i2 alone has the entries and recovers the group
	is.True(z.leader().sm.has(1))
}

// Guards against groups of one daemon that get each other's messages.
func TestTwoGroupsShareADaemon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	z := newZone(t, false, false, false).open()
	second := newZone(t)
	second.net = z.net
	second.specs = z.specs
	for _, s := range z.specs {
		d := &daemon{sm: &adder{}}
		r, err := Open(Config{
			Group: "config", Self: s.Name, Instances: z.specs, Machine: d.sm, Log: logr.Discard(),
			Dispatcher: z.daemons[s.Name].cfg.Dispatcher, TickInterval: z.tick,
		})
		is.NoErr(err)
		d.Replica = r
		defer r.Stop()
		second.daemons[s.Name] = d
	}
	second.ready()
	second.put(5)
	z.put(6)
	is.True(second.leader().sm.has(5) && !second.leader().sm.has(6))
	clear(second.daemons)
}

// Guards against idle traffic that exceeds the budget of 2 KB/s per daemon.
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
