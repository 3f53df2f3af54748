package region

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// order sends an order once through an instance, as the operator's call does, and returns
// its verdict.
func (c *cluster) order(instance, zone string, cordon bool) (batch.Verdict, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 900*time.Millisecond)
	defer cancel()
	rep, err := c.routers[instance].SetCordon(ctx, zone, cordon, "10.9.9.9")
	if err != nil {
		return 0, err
	}
	return rep.Verdict, nil
}

// orderUntilAnswered repeats an order until an instance answers it.
func (c *cluster) orderUntilAnswered(instance, zone string, cordon bool) batch.Verdict {
	c.t.Helper()
	for end := time.Now().Add(clusterTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if v, err := c.order(instance, zone, cordon); err == nil {
			return v
		}
	}
	c.t.Fatal("order not answered")
	return 0
}

// zone returns a zone as the leader confirms it.
func (c *cluster) zone(name string) ZoneView {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), clusterTimeout)
	defer cancel()
	rep, err := c.routers["e0"].Zones(ctx, name)
	if err != nil || len(rep.Zones) != 1 {
		c.t.Fatalf("zone %s: %v, %v", name, rep, err)
	}
	return rep.Zones[0]
}

// Guards against a zone that cannot be cordoned because no worker is there, one that is
// forgotten once its workers have left, and an order for a zone that does not exist.
func TestKnownZones(t *testing.T) {
	is := is.New(t)
	m := batch.New(nil)
	apply := func(cmd *batch.Command) {
		entry, err := codec.Marshal(cmd)
		is.NoErr(err)
		m.Apply(1, entry)
	}
	for id, zone := range map[string]string{"w1": "z1", "w2": "z2", "w3": "z2", "w4": ""} {
		apply(&batch.Command{Worker: &batch.WorkerChange{Worker: batch.Worker{ID: id, Incarnation: 1, Zone: zone}}})
	}
	apply(&batch.Command{Zone: &batch.ZoneChange{Zone: "z1", Cordon: true}})
	apply(&batch.Command{Worker: &batch.WorkerChange{Worker: batch.Worker{ID: "w1", Incarnation: 1}, Removed: true}})
	c := &Control{cfg: ControlConfig{Zones: []string{"z3", "z2"}}}
	m.View(func(v *batch.View) {
		cordoned := batch.ZoneState{Cordoned: true, Generation: 1}
		var rep Reply
		c.readZones(&rep, v, &ZoneQuery{})
		is.Equal(rep.Zones, []ZoneView{{Name: "z1", State: cordoned}, {Name: "z2", Workers: 2}, {Name: "z3"}})
		for name, verdict := range map[string]batch.Verdict{"z1": batch.OK, "z2": batch.OK, "z3": batch.OK, "z4": batch.UnknownZone} {
			rep = Reply{}
			c.readZones(&rep, v, &ZoneQuery{Name: name})
			is.Equal(rep.Verdict, verdict)
			is.Equal(len(rep.Zones) == 1, verdict == batch.OK)
		}
	})
}

// Guards against an order that is lost with the leader that committed it, and against one
// that is carried out twice when the operator sends it again.
func TestLeaderIsLostBeforeAcknowledgement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := openCluster(t)
	first := c.leader()
	ctx, giveUp := context.WithTimeout(t.Context(), clusterTimeout)
	defer giveUp()
	c.net.hooks(nil, func(to string, req *request) {
		if req.Zone != nil && to == first {
			c.net.setCut(first, true)
			giveUp()
		}
	})
	_, err := c.routers["e0"].SetCordon(ctx, "z1", true, "10.9.9.9")
	var u *UnavailableError
	is.True(errors.As(err, &u) && u.MayHaveRun)
	is.Equal(c.orderUntilAnswered("e1", "z1", true), batch.OK)
	is.True(c.leader() != first)
	z := c.zone("z1")
	is.True(z.State.Cordoned)
	is.Equal(z.State.Generation, uint64(1))
	is.Equal(z.State.By, "10.9.9.9 through e0") // committed by the first leader
}

// Guards against a first copy of an order that is delayed on a link and cordons the zone
// again after it was uncordoned.
func TestDelayedOrderAfterItsRevocation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := openCluster(t)
	c.leader()
	held, release := make(chan struct{}, 1), make(chan struct{})
	c.net.hooks(func(_ string, req *request) {
		if req.Zone != nil && req.Zone.By == "10.9.9.9 through e0" {
			held <- struct{}{}
			<-release
		}
	}, nil)
	done := make(chan batch.Verdict)
	go func() {
		rep, err := c.routers["e0"].SetCordon(context.Background(), "z1", true, "10.9.9.9")
		if err != nil {
			t.Error(err)
			rep = &Reply{}
		}
		done <- rep.Verdict
	}()
	<-held
	is.Equal(c.orderUntilAnswered("e1", "z1", true), batch.OK)
	is.Equal(c.orderUntilAnswered("e1", "z1", false), batch.OK)
	close(release)
	is.Equal(<-done, batch.ZoneChanged)
	is.True(!c.zone("z1").State.Cordoned)
}

// Guards against opposite orders at two instances at once that are both acknowledged as
// the last one, and against equal ones that count as two changes.
func TestOrdersAtTwoInstancesAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := openCluster(t)
	c.leader()
	both := func(zone string, first, second bool) (batch.Verdict, batch.Verdict) {
		arrived := make(chan struct{}, 8)
		c.net.hooks(func(_ string, req *request) { // until both have read the zone
			if req.Zone != nil {
				arrived <- struct{}{}
				for end := time.Now().Add(time.Second); len(arrived) < 2 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
			}
		}, nil)
		other := make(chan batch.Verdict)
		go func() { other <- c.orderUntilAnswered("e1", zone, second) }()
		v := c.orderUntilAnswered("e0", zone, first)
		return v, <-other
	}
	v0, v1 := both("z1", true, true)
	is.Equal([]batch.Verdict{v0, v1}, []batch.Verdict{batch.OK, batch.OK})
	is.Equal(c.zone("z1").State.Generation, uint64(1))

	v0, v1 = both("z1", true, false)
	is.Equal(v1, batch.OK)
	is.True(v0 == batch.OK || v0 == batch.ZoneChanged) // before or after the change
	c.net.hooks(nil, nil)
	z := c.zone("z1")
	is.True(!z.State.Cordoned)
	is.Equal(z.State.Generation, uint64(2))
	is.Equal(c.orderUntilAnswered("e0", "z1", true), batch.OK)
	is.True(c.zone("z1").State.Cordoned)
}

// Guards against an order that is acknowledged by a leader which is cut off from the
// others, or that takes effect when the cut is over although it was answered 503.
func TestPartitionedLeaderAcknowledgesNoOrder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := openCluster(t)
	old := c.leader()
	c.net.setCut(old, true)
	_, err := c.order(old, "z1", true)
	var u *UnavailableError
	is.True(errors.As(err, &u)) // through the leader's own instance: the read is not confirmed
	body, err := codec.Marshal(&request{Zone: &batch.ZoneChange{Zone: "z1", Cordon: true}})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	rep := c.controls[old].handleRequest(ctx, body) // the zone was read before the cut
	is.True(rep.NotLeader || rep.OutcomeUnknown)
	is.Equal(c.orderUntilAnswered("e0", "z2", true), batch.OK) // the others go on
	c.net.setCut(old, false)
	is.Equal(c.orderUntilAnswered(old, "z2", true), batch.OK)
	is.True(!c.zone("z1").State.Cordoned)
	is.True(c.zone("z2").State.Cordoned)
}

// Guards against an acknowledged order that is not on the disks of a majority.
func TestOrderSurvivesLossOfAllPower(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := openCluster(t)
	is.Equal(c.orderUntilAnswered("e0", "z1", true), batch.OK)
	c.losePower()
	is.True(c.zone("z1").State.Cordoned)
	is.Equal(c.orderUntilAnswered("e0", "z1", false), batch.OK)
	c.losePower()
	z := c.zone("z1")
	is.True(!z.State.Cordoned)
	is.Equal(z.State.Generation, uint64(2))
}

// pausedContext is a context whose deadline has passed while its process was paused, so
// that its timer has not fired yet.
type pausedContext struct{ context.Context }

func (pausedContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// Guards against an order that is sent for a caller who has disconnected or whose time is
// over. It may have been acknowledged elsewhere and revoked since.
func TestNoOrderForCallerThatIsGone(t *testing.T) {
	is := is.New(t)
	sent := 0
	var gone context.CancelFunc
	r := &Router{Self: "a", Log: logr.Discard(), Local: func(_ context.Context, body []byte) *Reply {
		var req request
		is.NoErr(codec.Unmarshal(body, &req))
		if req.Zone != nil {
			sent++
		}
		gone()
		return &Reply{Zones: []ZoneView{{Name: "z1"}}}
	}}
	r.SetSeeds([]string{"a"})
	var ctx context.Context
	ctx, gone = context.WithCancel(t.Context())
	_, err := r.SetCordon(ctx, "z1", true, "x")
	var g *CallerGoneError
	is.True(errors.As(err, &g))
	gone = func() {}
	_, err = r.SetCordon(pausedContext{t.Context()}, "z1", true, "x")
	is.True(errors.As(err, &g))
	is.Equal(sent, 0)
	_, err = r.SetCordon(t.Context(), "z1", true, "x")
	is.NoErr(err)
	is.Equal(sent, 1)
}
