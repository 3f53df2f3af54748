package routing

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// fakePeers answers calls with reply and counts them.
type fakePeers struct {
	reply func(ctx context.Context, to string) ([]byte, error)
	calls atomic.Int64
}

func (p *fakePeers) Call(ctx context.Context, to string, _ link.Kind, _ []byte) ([]byte, error) {
	p.calls.Add(1)
	return p.reply(ctx, to)
}
func (p *fakePeers) Send(string, link.Kind, []byte) {}
func (p *fakePeers) Handle(link.Kind, link.Handler) {}
func notSent(to string) error                       { return &link.NotSentError{To: to, Cause: context.DeadlineExceeded} }

func notLeader() []byte         { b, _ := codec.Marshal(&Response{NotLeader: true}); return b }
func instances(string) []string { return []string{"a", "b"} }
func newTestRouter(p *fakePeers) *Router {
	return &Router{Zone: "here", Zones: []string{"here", "there"}, InZone: instances, Peers: p, Log: logr.Discard()}
}

// Guards against a late refusal when a zone is unreachable, and against calling the
// zone again for every request in the fail-fast period.
func TestUnreachableZoneFailsFast(t *testing.T) {
	is := is.New(t)
	p := &fakePeers{reply: func(_ context.Context, to string) ([]byte, error) { return nil, notSent(to) }}
	r := newTestRouter(p)
	start := time.Now()
	resp := r.callZone(context.Background(), "there", &Request{Get: &Get{}})
	is.Equal(resp.Refusal.Reason, model.ReasonOwnerUnreachable)
	is.Equal(resp.Refusal.State, model.Unknown)
	is.True(resp.Refusal.RetryAfter > 0)
	is.True(time.Since(start) < time.Second)
	tries := p.calls.Load()
	r.callZone(context.Background(), "there", &Request{Get: &Get{}})
	is.Equal(p.calls.Load(), tries)
}

// Guards against a cancelled request after which the zone counts as unreachable for
// other callers.
func TestCancelledCallerDoesNotMarkZoneDown(t *testing.T) {
	is := is.New(t)
	p := &fakePeers{reply: func(ctx context.Context, to string) ([]byte, error) {
		<-ctx.Done()
		return nil, &link.NoReplyError{To: to, Cause: ctx.Err()}
	}}
	r := newTestRouter(p)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { time.Sleep(20 * time.Millisecond); cancel() }()
	r.callZone(ctx, "there", &Request{Get: &Get{}})
	is.True(!r.health("there").isDown(time.Now()))
}

// Guards against giving up on a zone when only one of its instances has no
// leader to forward to.
func TestNoLeaderTriesNextInstance(t *testing.T) {
	is := is.New(t)
	want, err := codec.Marshal(&Response{Job: &model.Job{ID: "j"}})
	is.NoErr(err)
	p := &fakePeers{reply: func(_ context.Context, to string) ([]byte, error) {
		if to == "a" {
			return notLeader(), nil
		}
		return want, nil
	}}
	resp := newTestRouter(p).callZone(context.Background(), "there", &Request{Get: &Get{}})
	is.Equal(resp.Job.ID, model.JobID("j"))
}

// Guards against waiting for a silent instance while another instance can answer.
func TestSilentInstanceIsHedged(t *testing.T) {
	is := is.New(t)
	want, err := codec.Marshal(&Response{Job: &model.Job{ID: "j"}})
	is.NoErr(err)
	p := &fakePeers{reply: func(ctx context.Context, to string) ([]byte, error) {
		if to == "a" {
			<-ctx.Done()
			return nil, &link.NoReplyError{To: to, Cause: ctx.Err()}
		}
		return want, nil
	}}
	start := time.Now()
	resp := newTestRouter(p).callZone(context.Background(), "there", &Request{Get: &Get{}})
	is.Equal(resp.Job.ID, model.JobID("j"))
	is.True(time.Since(start) < time.Second)
}

// Guards against a refusal that waits for a retry which is never made, and against
// counting that retry.
func TestNoBackOffAfterLastRound(t *testing.T) {
	is := is.New(t)
	p := &fakePeers{reply: func(_ context.Context, to string) ([]byte, error) { return nil, notSent(to) }}
	retries := metrics.GetOrCreateCounter("teaselpaddle_retries_total{reason=\"" + string(model.ReasonOwnerUnreachable) + "\"}")
	before := retries.Get()
	newTestRouter(p).callZone(context.Background(), "there", &Request{Get: &Get{}})
	is.Equal(p.calls.Load(), int64(4)) // two rounds over two instances
	is.Equal(retries.Get()-before, uint64(maxRounds-1))
}
