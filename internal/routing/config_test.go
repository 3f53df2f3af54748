package routing

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/view"
)

// lossyPeers drops the replies of the next repliesToDrop calls.
type lossyPeers struct {
	link.Peers
	repliesToDrop atomic.Int64
}

func (l *lossyPeers) Call(ctx context.Context, to string, kind link.Kind, body []byte) ([]byte, error) {
	out, err := l.Peers.Call(ctx, to, kind, body)
	if l.repliesToDrop.Add(-1) >= 0 {
		return nil, &link.NoReplyError{To: to, Cause: context.DeadlineExceeded}
	}
	return out, err
}

// deployment has one instance (a, b, c) in each of the zones z1 to z3. Instance a
// is the only configuration voter; instance c of z3 is down.
type deployment struct {
	a, b   *Router
	bPeers *lossyPeers // carries b's calls
	stop   func()      // stops instance a
}

func deploy(t *testing.T) *deployment {
	t.Helper()
	servers := map[string]*httptest.Server{}
	addresses := map[string]string{}
	for _, name := range []string{"a", "b", "c"} {
		servers[name] = httptest.NewUnstartedServer(nil)
		addresses[name] = servers[name].Listener.Addr().String()
		t.Cleanup(servers[name].Close)
	}
	servers["c"].Close()
	inZone := map[string][]string{"z1": {"a"}, "z2": {"b"}, "z3": {"c"}}
	links := map[string]*link.Links{}
	start := func(name, zone string) *Router {
		peers := link.New(link.Config{Self: name, Addresses: addresses, Logger: logr.Discard()})
		links[name] = peers
		t.Cleanup(peers.Close)
		m := jobs.New()
		r := &Router{
			Self: name, Zone: zone, Zones: []string{"z1", "z2", "z3"}, InZone: func(z string) []string { return inZone[z] },
			Peers: peers, Group: replica.NewLocal(name, m), Machine: m, Config: ConfigGroup{Voters: []string{"a"}}, Log: logr.Discard(),
		}
		r.View = func(Part) *view.Zone { return &view.Zone{AvailabilityZone: zone, Instance: name} }
		r.Register()
		servers[name].Config.Handler = peers.Handler()
		servers[name].Start()
		return r
	}
	d := &deployment{a: start("a", "z1"), b: start("b", "z2")}
	d.stop = func() {
		servers["a"].Close()
		links["a"].Close() // open links outlive the listener
	}
	d.a.Config.Machine = config.NewMachine(config.FitSums)
	d.a.Config.Group = replica.NewLocal("a", d.a.Config.Machine)
	d.bPeers = &lossyPeers{Peers: d.b.Peers}
	d.b.Peers = d.bPeers
	return d
}

func newPublish(expected uint64, key string, weight int) *config.Publish {
	return &config.Publish{Expected: expected, Key: key, Publisher: "op", Changed: []model.Service{{
		Name: "s", Customers: []model.Customer{{Name: "c", Weight: weight, QueueLimit: 1}},
		Policy: model.Policy{MaxFailures: 1, RetentionSeconds: 60},
	}}}
}

func requireRefusal(t *testing.T, err error) *model.Refusal {
	t.Helper()
	var ref *model.Refusal
	if !errors.As(err, &ref) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return ref
}

// Guards against two concurrent publishers at different instances that both
// succeed for the same expected version.
func TestConcurrentPublishers(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	var wg sync.WaitGroup
	var won, conflicts atomic.Int64
	for i := range 8 {
		wg.Go(func() {
			_, err := []*Router{d.a, d.b}[i%2].Publish(t.Context(), newPublish(0, fmt.Sprint("k", i), i+1))
			var ref *model.Refusal
			switch {
			case err == nil:
				won.Add(1)
			case errors.As(err, &ref) && ref.Reason == model.ReasonVersionConflict:
				conflicts.Add(1)
			}
		})
	}
	wg.Wait()
	is.Equal(won.Load(), int64(1))
	is.Equal(conflicts.Load(), int64(7))
	records, err := d.b.History(t.Context(), 10)
	is.NoErr(err)
	is.Equal(len(records), 1)
	cfg, err := d.b.Accepted(t.Context())
	is.NoErr(err)
	is.Equal(cfg.Version, uint64(1))
}

// Guards against a lost answer after which the retry creates a second version or
// is refused by mistake.
func TestPublishAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.bPeers.repliesToDrop.Store(2)
	resp, err := d.b.Publish(t.Context(), newPublish(0, "k", 1))
	is.NoErr(err)
	is.True(resp.Existing) // the third attempt found the change of the first
	is.Equal(resp.Record.Version, uint64(1))

	d.bPeers.repliesToDrop.Store(1 << 20)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = d.b.Publish(ctx, newPublish(1, "l", 2))
	ref := requireRefusal(t, err)
	is.Equal(ref.Reason, model.ReasonOutcomeUnknown)
	is.True(ref.RetryAfter > 0)
	d.bPeers.repliesToDrop.Store(0)
	resp, err = d.b.Publish(t.Context(), newPublish(1, "l", 2))
	is.NoErr(err)
	is.Equal(resp.Record.Version, uint64(2))
}

// Guards against outcome_unknown for a publish that was certainly never sent, and
// against partial answers that look complete.
func TestUnreachableInstances(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	zones := d.b.Views(t.Context(), PartWorkers)
	is.Equal(len(zones), 3)
	is.Equal(zones[0].Instance, "a")
	is.Equal(zones[0].Error, nil)
	is.Equal(zones[1].Instance, "b")
	is.Equal(zones[2].Error.Code, model.ReasonOwnerUnreachable)
	d.stop()
	// While b still considers its link to a open, a request could be sent on it, and
	// its outcome would correctly be unknown.
	for {
		callCtx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := d.b.Peers.Call(callCtx, "a", link.KindRequest, nil)
		stop()
		var ns *link.NotSentError
		if errors.As(err, &ns) {
			break
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := d.b.Publish(ctx, newPublish(0, "k", 1))
	ref := requireRefusal(t, err)
	is.Equal(ref.Reason, model.ReasonNoLeader)
	is.True(strings.Contains(ref.Detail, "nothing was published"))
	_, err = d.b.Accepted(t.Context())
	is.Equal(requireRefusal(t, err).Reason, model.ReasonNoLeader)
}

// followerGroup is a group that another instance leads.
type followerGroup struct {
	replica.Group
	leader string
}

func (g followerGroup) Status() replica.Status { return replica.Status{Leader: g.leader} }

// Guards against a view without the state that only the leader has, and against a
// forwarding loop or a missing view when the leader does not answer.
func TestViewComesFromTheLeader(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.b.Group = followerGroup{d.b.Group, "a"}
	is.Equal(d.b.executeInOwnZone(t.Context(), &Request{View: &View{Part: PartStatus}}).View.Instance, "a")
	d.a.Group = followerGroup{d.a.Group, "b"} // a and b disagree about the leader
	is.Equal(d.b.executeInOwnZone(t.Context(), &Request{View: &View{Part: PartStatus}}).View.Instance, "a")
	d.b.Group = followerGroup{d.b.Group, "c"} // instance c is down
	is.Equal(d.b.executeInOwnZone(t.Context(), &Request{View: &View{Part: PartStatus}}).View.Instance, "b")
}

// Guards against racks in an availability zone that does not exist, for example
// because of a typing error.
func TestPublishRefusesUnknownZone(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	p := newPublish(0, "k", 1)
	p.Changed[0].Racks = []model.RackSpec{{AvailabilityZone: "z4", Racks: 1, WorkersPerRack: 1, AcceleratorsPerWorker: 1}}
	_, err := d.b.Publish(t.Context(), p)
	is.Equal(requireRefusal(t, err).Reason, model.ReasonInvalid)
}

// silentPeers never gets an answer from one instance, as in a network partition
// that drops packets without an error.
type silentPeers struct {
	link.Peers
	silent string
}

func (s *silentPeers) Call(ctx context.Context, to string, kind link.Kind, body []byte) ([]byte, error) {
	if to != s.silent {
		return s.Peers.Call(ctx, to, kind, body)
	}
	<-ctx.Done()
	return nil, &link.NoReplyError{To: to, Cause: ctx.Err()}
}

// Guards against a publish or a read that spends most of its time waiting for one
// silent voter: the zone of the first voter is cut off, and packets to it are
// dropped without an error.
func TestSilentVoterTimesOutEarly(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.b.Peers = &silentPeers{Peers: d.b.Peers, silent: "c"}
	d.b.Config.Voters = []string{"c", "a"}
	start := time.Now()
	_, err := d.b.Publish(t.Context(), newPublish(0, "k", 1))
	is.NoErr(err)
	is.True(time.Since(start) < 2*time.Second)
	start = time.Now()
	_, err = d.b.Accepted(t.Context())
	is.NoErr(err)
	is.True(time.Since(start) < 2*time.Second)
}
