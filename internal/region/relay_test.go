package region

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
)

func announcementOf(worker string, clockMS int64) *Announcement {
	return &Announcement{ClockMS: clockMS, Worker: batch.Worker{
		ID: worker, Incarnation: 1, Address: "127.0.0.1:1", Service: "s", Capacity: batch.Resources{Accelerators: 8},
	}}
}

// announceUntilRelayed announces a worker to an instance until the instance takes it as a sign of
// life, and returns the number of the announcements.
func (c *cluster) announceUntilRelayed(via, worker string) int64 {
	c.t.Helper()
	for n := int64(1); n < 200; n++ {
		a := announcementOf(worker, 1000*n)
		if c.routers[via].relay.take(a) {
			return n
		}
		ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
		_, err := c.routers[via].Announce(ctx, a)
		cancel()
		if err != nil {
			c.t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatal("the instance relays no announcements")
	return 0
}

// follower returns a control instance that does not lead.
func (c *cluster) follower(leader string) string {
	for name := range c.controls {
		if name != leader {
			return name
		}
	}
	return ""
}

// Thousands of workers announce themselves every 1.5 s. Guards against a leader that takes each
// announcement itself, and against a worker that counts as silent because others take them.
func TestFollowersRelaySignsOfLife(t *testing.T) {
	is := is.New(t)
	c := openRelayingCluster(t, 1)
	leader := c.leader()
	via := c.follower(leader)
	for _, w := range []string{"w1", "w2"} {
		_, err := c.routers[via].Announce(t.Context(), announcementOf(w, 1))
		is.NoErr(err)
	}
	c.announceUntilRelayed(via, "w1")
	var forwarded atomic.Int64
	c.net.hooks(func(_ string, req *request) {
		if req.Announce != nil {
			forwarded.Add(1)
		}
	}, nil)
	heartbeats := &c.controls[leader].heartbeats
	before := heartbeats.LastSeen("w2", 1)
	for i := range int64(30) {
		_, err := c.routers[via].Announce(t.Context(), announcementOf("w2", 500000+i))
		is.NoErr(err)
	}
	is.Equal(forwarded.Load(), int64(0))
	for end := time.Now().Add(clusterTimeout); !heartbeats.LastSeen("w2", 1).After(before); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the leader has not heard of the worker")
		}
	}

	changed := announcementOf("w2", 600000)
	changed.Worker.Capacity.Accelerators = 4
	_, err := c.routers[via].Announce(t.Context(), changed)
	is.NoErr(err)
	is.Equal(forwarded.Load(), int64(1)) // a change of the record
	draining := announcementOf("w1", 700000)
	draining.Worker.Draining = true
	_, err = c.routers[via].Announce(t.Context(), draining)
	is.NoErr(err)
	is.Equal(forwarded.Load(), int64(2))
}

// The leader is cut off. Guards against telling workers that they were heard while no leader
// hears them.
func TestNothingIsRelayedWithoutLeader(t *testing.T) {
	is := is.New(t)
	c := openRelayingCluster(t, 1)
	leader := c.leader()
	via := c.follower(leader)
	for _, w := range []string{"w1", "w2"} {
		_, err := c.routers[via].Announce(t.Context(), announcementOf(w, 1))
		is.NoErr(err)
	}
	n := c.announceUntilRelayed(via, "w1")
	for name := range c.controls {
		c.net.setCut(name, true)
	}
	time.Sleep(relayTimeout + relayInterval)
	is.True(!c.routers[via].relay.take(announcementOf("w1", 1000*n+1000)))
	for name := range c.controls {
		c.net.setCut(name, false)
	}
	c.announceUntilRelayed(c.follower(c.leader()), "w2")
}

// earlierLeader is a link.Peers on which a leader of an earlier build answers.
type earlierLeader struct{ noPeers }

func (earlierLeader) Call(context.Context, string, link.Kind, []byte) ([]byte, error) {
	return codec.Marshal(&Reply{})
}

// A leader of an earlier build ignores signs of life. Guards against workers that it takes for
// silent.
func TestLeaderOfEarlierBuildGetsAnnouncements(t *testing.T) {
	is := is.New(t)
	c := openSingleControl(t)
	handle(t, c, &request{Announce: announcementOf("w1", 1)})
	r := &Router{Self: "f", Peers: earlierLeader{}, Log: logr.Discard()}
	r.recordLeader("l")
	r.relay = &relay{
		router: r, machine: c.machine, log: logr.Discard(), above: 0, pending: map[string]signOfLife{},
		members: func() []string { return nil }, leads: func() bool { return false },
	}
	is.True(!r.relay.take(announcementOf("w1", 2000))) // not enabled
	r.relay.above = 1
	handle(t, c, &request{Announce: announcementOf("w2", 1)})
	r.relay.flush(t.Context(), "l")
	is.True(!r.relay.take(announcementOf("w1", 3000)))
}

// Guards against a leader that keeps the announcements, and against shares of unlike size.
func TestLeaderDividesAnnouncements(t *testing.T) {
	is := is.New(t)
	r := &relay{
		router: &Router{Self: "c0"}, leads: func() bool { return true },
		members: func() []string { return []string{"c0", "c1", "c2", "c3", "c4"} },
	}
	shares := map[string]int{}
	for i := range 4000 {
		shares[r.instanceFor(fmt.Sprintf("w%d", i))]++
	}
	is.Equal(shares["c0"], 0)
	is.Equal(len(shares), 4)
	for m, n := range shares {
		if n < 800 || n > 1200 {
			t.Errorf("%s has %d workers", m, n)
		}
	}
	r.leads = func() bool { return false }
	is.Equal(r.instanceFor("w1"), "c0")
}
