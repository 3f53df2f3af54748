package routing

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// fakePeers answers calls with f.
type fakePeers struct {
	f func(ctx context.Context, to string) ([]byte, error)
	n atomic.Int64
}

func (p *fakePeers) Call(ctx context.Context, to string, _ link.Kind, _ []byte) ([]byte, error) {
	p.n.Add(1)
	return p.f(ctx, to)
}
func (p *fakePeers) Send(string, link.Kind, []byte) {}
func (p *fakePeers) Handle(link.Kind, link.Handler) {}
func refusedCall(to string) error                   { return &link.NotSentError{To: to, Cause: context.DeadlineExceeded} }

func notLeader() []byte         { b, _ := codec.Marshal(&Response{NotLeader: true}); return b }
func instances(string) []string { return []string{"a", "b"} }
func newRouter(p *fakePeers) *Router {
	return &Router{Zone: "here", Zones: []string{"here", "there"}, InZone: instances, Peers: p, Log: logr.Discard()}
}

// Guards against holding back the answer about an unreachable zone, and against
// trying it again for every request.
func TestUnreachableZoneFailsFast(t *testing.T) {
	is := is.New(t)
	p := &fakePeers{f: func(_ context.Context, to string) ([]byte, error) { return nil, refusedCall(to) }}
	r := newRouter(p)
	begin := time.Now()
	resp := r.remote(context.Background(), "there", &Request{Get: &Get{}})
	is.Equal(resp.Refusal.Reason, model.ReasonOwnerUnreachable)
	is.Equal(resp.Refusal.State, model.Unknown)
	is.True(resp.Refusal.RetryAfter > 0)
	is.True(time.Since(begin) < time.Second)
	tries := p.n.Load()
	r.remote(context.Background(), "there", &Request{Get: &Get{}})
	is.Equal(p.n.Load(), tries)
}

// Guards against a caller that gives up and thereby makes the zone count as
// unreachable for the others.
func TestCancelledCallerDoesNotMarkZoneDown(t *testing.T) {
	is := is.New(t)
	p := &fakePeers{f: func(ctx context.Context, to string) ([]byte, error) {
		<-ctx.Done()
		return nil, &link.NoReplyError{To: to, Cause: ctx.Err()}
	}}
	r := newRouter(p)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { time.Sleep(20 * time.Millisecond); cancel() }()
	r.remote(ctx, "there", &Request{Get: &Get{}})
	is.True(!r.health("there").down(time.Now()))
}

// Guards against giving up on a zone when only one of its instances has no
// leader to forward to.
func TestNextInstanceIsAsked(t *testing.T) {
	is := is.New(t)
	want, err := codec.Marshal(&Response{Job: &model.Job{ID: "j"}})
	is.NoErr(err)
	p := &fakePeers{f: func(_ context.Context, to string) ([]byte, error) {
		if to == "a" {
			return notLeader(), nil
		}
		return want, nil
	}}
	resp := newRouter(p).remote(context.Background(), "there", &Request{Get: &Get{}})
	is.Equal(resp.Job.ID, model.JobID("j"))
}

// Guards against waiting for a silent instance while another one can answer.
func TestSilentInstanceIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	want, err := codec.Marshal(&Response{Job: &model.Job{ID: "j"}})
	is.NoErr(err)
	p := &fakePeers{f: func(ctx context.Context, to string) ([]byte, error) {
		if to == "a" {
			<-ctx.Done()
			return nil, &link.NoReplyError{To: to, Cause: ctx.Err()}
		}
		return want, nil
	}}
	begin := time.Now()
	resp := newRouter(p).remote(context.Background(), "there", &Request{Get: &Get{}})
	is.Equal(resp.Job.ID, model.JobID("j"))
	is.True(time.Since(begin) < time.Second)
}
