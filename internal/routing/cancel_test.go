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

// slowPeers answers a call after a while, unless its context ends before.
type slowPeers struct{ calls atomic.Int32 }

func (p *slowPeers) Call(ctx context.Context, to string, _ link.Kind, _ []byte) ([]byte, error) {
	p.calls.Add(1)
	select {
	case <-ctx.Done():
		return nil, &link.NoReplyError{To: to, Cause: ctx.Err()}
	case <-time.After(30 * time.Millisecond):
		return codec.Marshal(&Response{Job: &model.Job{State: model.Done}})
	}
}

func (p *slowPeers) Send(string, link.Kind, []byte) {}
func (p *slowPeers) Handle(link.Kind, link.Handler) {}

// Guards against a caller that disconnects and makes this instance treat a
// healthy zone as unreachable, so that later callers are refused or repeatable
// jobs run in two zones.
func TestCancelledCallerDoesNotMarkZoneDown(t *testing.T) {
	is := is.New(t)
	r := &Router{
		Self: "a", Zone: "z-1", Zones: []string{"z-1", "z-2"}, Peers: &slowPeers{}, Log: logr.Discard(),
		InZone: func(string) []string { return []string{"b"} },
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(5*time.Millisecond, cancel)
	_, err := r.Do(ctx, "z-2", &Request{Op: OpGet})
	is.True(err != nil)
	resp, err := r.Do(context.Background(), "z-2", &Request{Op: OpGet})
	is.NoErr(err)
	is.Equal(resp.Job.State, model.Done)
}
