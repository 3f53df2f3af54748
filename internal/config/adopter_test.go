package config

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
)

// fakeVoters answers calls from in-memory voters. A voter that is not in byName never
// answers.
type fakeVoters struct {
	byName       map[string]*Voter
	messageBytes int // size of the last request and reply together
}

func (v *fakeVoters) Call(ctx context.Context, to string, _ link.Kind, body []byte) ([]byte, error) {
	voter := v.byName[to]
	if voter == nil {
		<-ctx.Done()
		return nil, &link.NoReplyError{To: to, Cause: ctx.Err()}
	}
	out, err := voter.handle(ctx, "", body)
	v.messageBytes = len(body) + len(out)
	return out, err
}

func (*fakeVoters) Send(string, link.Kind, []byte) {}
func (*fakeVoters) Handle(link.Kind, link.Handler) {}

func (v *fakeVoters) add(name string, m *Machine) { v.byName[name] = &Voter{Machine: m} }

func newAdopter(p link.Peers, vs ...string) *Adopter { return newZone(p, true, vs) }

// follower is a group that another instance leads.
type follower struct{ *replica.Local }

func (follower) Status() replica.Status { return replica.Status{Leader: "other"} }

func newZone(p link.Peers, leads bool, vs []string) *Adopter {
	m := jobs.New()
	a := &Adopter{Self: "self", Zone: "z", Voters: vs, Machine: m, Peers: p, Log: logr.Discard()}
	local := replica.NewLocal("self", m)
	a.Group = local
	if !leads {
		a.Group = follower{local}
	}
	return a
}

// publishAll publishes the same n versions to each machine.
func publishAll(t *testing.T, n int, ms ...*Machine) {
	for _, m := range ms {
		for i := range n {
			publishTo(t, m, uint64(i+1), Publish{
				Expected: uint64(i), Key: fmt.Sprint("k", i), Publisher: "op",
				Changed: []model.Service{service(fmt.Sprint("s", i), 1)},
			})
		}
	}
}

// Guards against a zone that misses a change, and against replies that contain more
// than the changed services.
func TestAdopterFollowsChanges(t *testing.T) {
	is := is.New(t)
	m := NewMachine(FitSums)
	peers := &fakeVoters{byName: map[string]*Voter{}}
	peers.add("v1", m)
	a := newAdopter(peers, "v1")
	a.pollVoters(t.Context(), time.Now())
	is.Equal(a.Version(), uint64(0)) // nothing published yet
	publishAll(t, 30, m)
	a.pollVoters(t.Context(), time.Now())
	is.Equal(a.Machine.Config(), m.Current())
	wholeBytes := peers.messageBytes
	publishTo(t, m, 31, Publish{Expected: 30, Key: "x", Publisher: "op", Changed: []model.Service{service("s3", 9)}, Removed: []string{"s4"}})
	a.pollVoters(t.Context(), time.Now())
	is.Equal(a.Machine.Config(), m.Current())
	is.True(peers.messageBytes*10 < wholeBytes) // the change has one service, not 30
	a.pollVoters(t.Context(), time.Now())
	is.True(peers.messageBytes < 16) // nothing changed
	is.True(time.Since(a.LastConfirmed()) < time.Minute)
}

// Guards against a silent or lagging voter that keeps a zone from adopting a change or
// reverts its configuration.
func TestAdopterAsksVotersInTurn(t *testing.T) {
	is := is.New(t)
	fresh, lagging := NewMachine(FitSums), NewMachine(FitSums)
	publishAll(t, 5, fresh)
	publishAll(t, 3, lagging)
	peers := &fakeVoters{byName: map[string]*Voter{}}
	peers.add("v2", lagging)
	peers.add("v3", fresh)
	a := newAdopter(peers, "v1", "v2", "v3") // v1 is silent
	begin := time.Now()
	for a.Version() < 5 {
		a.pollVoters(t.Context(), time.Now())
		is.True(time.Since(begin) < 8*time.Second)
	}
	confirmed := a.LastConfirmed()
	a.nextFirst = 1
	a.pollVoters(t.Context(), time.Now())
	is.Equal(a.Version(), uint64(5))
	is.Equal(a.LastConfirmed(), confirmed) // a lagging voter confirms nothing

	a.recordFailure("v1", begin)
	is.Equal(a.voterOrder(begin)[2], "v1") // a failed voter is asked last
	a.nextFirst = 0
	is.Equal(a.voterOrder(begin.Add(time.Minute))[0], "v1") // until its back-off has ended
	for range 9 {
		a.recordFailure("v1", begin)
	}
	is.Equal(a.backoff["v1"].delay, maxBackoff)
}

// Guards against an adopter that proposes on an instance that does not lead its zone.
func TestOnlyTheLeaderAdopts(t *testing.T) {
	is := is.New(t)
	m := NewMachine(FitSums)
	publishAll(t, 1, m)
	peers := &fakeVoters{byName: map[string]*Voter{}}
	peers.add("v1", m)
	lead, follow := newZone(peers, true, []string{"v1"}), newZone(peers, false, []string{"v1"})
	ctx, cancel := context.WithTimeout(t.Context(), adoptPeriod+adoptPeriod/2)
	defer cancel()
	done := make(chan struct{})
	go func() {
		lead.Run(ctx)
		close(done)
	}()
	follow.Run(ctx)
	<-done
	is.Equal(lead.Version(), uint64(1))
	is.Equal(follow.Version(), uint64(0))
}

// Guards against a damaged message that makes a voter panic.
func TestVoterRefusesDamagedRequest(t *testing.T) {
	is := is.New(t)
	v := &Voter{Machine: NewMachine(FitSums)}
	_, err := v.handle(t.Context(), "x", []byte{0xff, 0x00})
	_, ok := err.(*codec.DecodeError)
	is.True(ok)
}

// The only voters that answer are behind the zone. Guards against a zone whose log never
// says that its configuration may be out of date.
func TestVotersBehindTheZoneConfirmNothing(t *testing.T) {
	is := is.New(t)
	fresh, lagging := NewMachine(FitSums), NewMachine(FitSums)
	publishAll(t, 5, fresh)
	publishAll(t, 3, lagging)
	peers := &fakeVoters{byName: map[string]*Voter{}}
	peers.add("v1", fresh)
	a := newAdopter(peers, "v1", "v2")
	a.pollVoters(t.Context(), time.Now())
	is.Equal(a.Version(), uint64(5))
	peers.add("v1", lagging)
	peers.add("v2", lagging)
	a.pollVoters(t.Context(), time.Now().Add(maxUnconfirmed+time.Second))
	is.True(a.isolated)
	peers.add("v2", fresh)
	for range a.Voters {
		a.pollVoters(t.Context(), time.Now())
	}
	is.True(!a.isolated)
}
