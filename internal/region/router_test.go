package region

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
)

// fakePeers answers for the control instances of a test.
type fakePeers struct {
	mu     sync.Mutex
	leader string            // answers
	dead   map[string]bool   // swallow calls
	hint   map[string]string // leader that an instance names
	asked  []string
}

func (f *fakePeers) Send(string, link.Kind, []byte)        {}
func (f *fakePeers) Handle(kind link.Kind, h link.Handler) {}

func (f *fakePeers) Call(ctx context.Context, to string, _ link.Kind, _ []byte) ([]byte, error) {
	f.mu.Lock()
	f.asked = append(f.asked, to)
	dead, leads, hint := f.dead[to], f.leader == to, f.hint[to]
	f.mu.Unlock()
	if dead {
		<-ctx.Done()
		return nil, &link.NoReplyError{To: to, Cause: ctx.Err()}
	}
	return codec.Marshal(&Reply{NotLeader: !leads, Leader: hint, Members: []string{"a", "b", "c"}})
}

func testRouter(f *fakePeers) *Router {
	r := &Router{Self: "entry", Peers: f, Log: logr.Discard()}
	r.SetSeeds([]string{"a", "b", "c"})
	return r
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// Pattern: the leader's instance goes silent under load. Guards against every
// request waiting for it in turn, and against following the others' hints to it.
func TestSilentLeaderIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	f := &fakePeers{leader: "a", dead: map[string]bool{}, hint: map[string]string{"b": "a", "c": "a"}}
	r := testRouter(f)
	is.NoErr(r.Ping(within(t, time.Second)))
	f.mu.Lock()
	f.dead["a"], f.leader = true, ""
	f.mu.Unlock()
	time.AfterFunc(900*time.Millisecond, func() {
		f.mu.Lock()
		f.leader = "b"
		f.mu.Unlock()
	})
	is.NoErr(r.Ping(within(t, 3*time.Second)))
	began := time.Now()
	is.NoErr(r.Ping(within(t, time.Second)))
	is.True(time.Since(began) < 50*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, to := range f.asked {
		if to == "a" {
			n++
		}
	}
	is.True(n <= 3) // the first answer, the silence, and one more try at most
}

// Guards against a 503, which says that a job never runs, for a submission that
// a leader may have taken.
func TestUnansweredSubmissionMayHaveRun(t *testing.T) {
	is := is.New(t)
	f := &fakePeers{leader: "a", dead: map[string]bool{"a": true}}
	_, err := testRouter(f).Submit(within(t, 300*time.Millisecond), &batch.Submit{ID: "x"})
	var u *UnavailableError
	is.True(errors.As(err, &u))
	is.True(u.MayHaveRun)
}

// Guards against a submission that stays uncertain although no instance had it.
func TestSubmissionWithoutLeaderNeverRuns(t *testing.T) {
	is := is.New(t)
	_, err := testRouter(&fakePeers{}).Submit(within(t, 200*time.Millisecond), &batch.Submit{ID: "x"})
	var u *UnavailableError
	is.True(errors.As(err, &u))
	is.True(!u.MayHaveRun)
}

// Guards against a gauge that does not show that an instance is cut off from the
// leader.
func TestAgeOfLeaderIsMeasured(t *testing.T) {
	is := is.New(t)
	f := &fakePeers{leader: "a", dead: map[string]bool{}, hint: map[string]string{}}
	r := testRouter(f)
	go r.Watch(t.Context())
	for r.HeardLeader().IsZero() || heardGauge.Get() < 0 {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(heardGauge.Get() < readyAge.Seconds())
	f.mu.Lock()
	f.leader = ""
	f.mu.Unlock()
	for end := time.Now().Add(3 * readyAge); heardGauge.Get() < readyAge.Seconds(); time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}
