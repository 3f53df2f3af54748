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

// fakePeers answers calls on behalf of the control instances in a test.
type fakePeers struct {
	mu     sync.Mutex
	leader string            // the instance that answers as leader
	dead   map[string]bool   // instances that leave calls unanswered
	hint   map[string]string // leader that each instance names
	failed int               // calls of the leader to leave without a reply, which may have been carried out
	answer batch.Verdict     // of the leader
	busy   int               // calls of the leader to refuse because of its limits
	asked  []string
}

func (f *fakePeers) Send(string, link.Kind, []byte)        {}
func (f *fakePeers) Handle(kind link.Kind, h link.Handler) {}

func (f *fakePeers) Call(ctx context.Context, to string, _ link.Kind, _ []byte) ([]byte, error) {
	f.mu.Lock()
	f.asked = append(f.asked, to)
	dead, leads, hint := f.dead[to], f.leader == to, f.hint[to]
	busy := leads && f.busy > 0
	if busy {
		f.busy--
	}
	lost := leads && f.failed > 0
	if lost {
		f.failed--
	}
	f.mu.Unlock()
	if busy {
		return nil, &link.RemoteError{To: to, Busy: true}
	}
	if lost {
		return nil, &link.NoReplyError{To: to, Cause: context.Canceled}
	}
	if dead {
		<-ctx.Done()
		return nil, &link.NoReplyError{To: to, Cause: ctx.Err()}
	}
	return codec.Marshal(&Reply{NotLeader: !leads, Leader: hint, Members: []string{"a", "b", "c"}, Verdict: f.answer})
}

func testRouter(f *fakePeers) *Router {
	r := &Router{Self: "entry", Peers: f, Log: logr.Discard()}
	r.SetSeeds([]string{"a", "b", "c"})
	return r
}

func timeoutContext(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// The leader stops answering. Guards against every further request waiting for its
// timeout, and against following the other instances' hints to it.
func TestSilentLeaderIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	f := &fakePeers{leader: "a", dead: map[string]bool{}, hint: map[string]string{"b": "a", "c": "a"}}
	r := testRouter(f)
	is.NoErr(r.Ping(timeoutContext(t, time.Second)))
	f.mu.Lock()
	f.dead["a"], f.leader = true, ""
	f.mu.Unlock()
	time.AfterFunc(900*time.Millisecond, func() {
		f.mu.Lock()
		f.leader = "b"
		f.mu.Unlock()
	})
	is.NoErr(r.Ping(timeoutContext(t, 3*time.Second)))
	began := time.Now()
	is.NoErr(r.Ping(timeoutContext(t, time.Second)))
	is.True(time.Since(began) < 50*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := 0
	for _, to := range f.asked {
		if to == "a" {
			asked++
		}
	}
	is.True(asked <= 3) // one answer, one timeout, and at most one more attempt
}

// Guards against a 503 answer to a submission that a leader may have accepted. It would
// state that the job will never run.
func TestUnansweredSubmissionMayHaveRun(t *testing.T) {
	is := is.New(t)
	f := &fakePeers{leader: "a", dead: map[string]bool{"a": true}}
	_, err := testRouter(f).Submit(timeoutContext(t, 300*time.Millisecond), &batch.Submit{ID: "x"})
	var u *UnavailableError
	is.True(errors.As(err, &u))
	is.True(u.MayHaveRun)
}

// Guards against an unknown outcome of a submission that a busy leader has refused without handling it,
// and against taking that leader for lost.
func TestBusyLeaderHasNotRun(t *testing.T) {
	is := is.New(t)
	f := &fakePeers{leader: "a", busy: 1 << 20}
	r := testRouter(f)
	_, err := r.Submit(timeoutContext(t, 300*time.Millisecond), &batch.Submit{ID: "x"})
	var u *UnavailableError
	is.True(errors.As(err, &u))
	is.True(!u.MayHaveRun)
	is.True(!r.recentlyFailed("a"))
	f.mu.Lock()
	f.busy = 2
	f.mu.Unlock()
	_, err = r.Submit(timeoutContext(t, 2*time.Second), &batch.Submit{ID: "x"})
	is.NoErr(err)
}

// The answer to a submission is lost, and the repeated one is refused, because the key was
// revoked or the queue closed meanwhile. Guards against a refusal of a job that runs.
func TestRefusalAfterLostAnswerIsNoRefusal(t *testing.T) {
	is := is.New(t)
	for _, verdict := range []batch.Verdict{batch.UnknownKey, batch.NoQueue, batch.QueueClosed, batch.NoConfig} {
		f := &fakePeers{leader: "a", failed: 1, answer: verdict}
		_, err := testRouter(f).Submit(timeoutContext(t, 2*time.Second), &batch.Submit{ID: "x"})
		var u *UnavailableError
		is.True(errors.As(err, &u))
		is.True(u.MayHaveRun)
	}
	for _, verdict := range []batch.Verdict{batch.OK, batch.IDInUse} {
		f := &fakePeers{leader: "a", failed: 1, answer: verdict}
		rep, err := testRouter(f).Submit(timeoutContext(t, 2*time.Second), &batch.Submit{ID: "x"})
		is.NoErr(err)
		is.Equal(rep.Verdict, verdict)
	}
	rep, err := testRouter(&fakePeers{leader: "a", answer: batch.UnknownKey}).Submit(timeoutContext(t, 2*time.Second), &batch.Submit{ID: "x"})
	is.NoErr(err) // nothing was lost
	is.Equal(rep.Verdict, batch.UnknownKey)
}

// Guards against an unknown outcome for a submission that was sent to no instance.
func TestSubmissionWithoutLeaderNeverRuns(t *testing.T) {
	is := is.New(t)
	_, err := testRouter(&fakePeers{}).Submit(timeoutContext(t, 200*time.Millisecond), &batch.Submit{ID: "x"})
	var u *UnavailableError
	is.True(errors.As(err, &u))
	is.True(!u.MayHaveRun)
}

// Guards against a gauge that does not rise when the leader stops answering.
func TestLeaderAgeGaugeShowsLostLeader(t *testing.T) {
	is := is.New(t)
	f := &fakePeers{leader: "a", dead: map[string]bool{}, hint: map[string]string{}}
	r := testRouter(f)
	go r.Watch(t.Context())
	for r.LastLeaderAnswer().IsZero() || leaderHeardGauge.Get() < 0 {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(leaderHeardGauge.Get() < maxReadyAge.Seconds())
	f.mu.Lock()
	f.leader = ""
	f.mu.Unlock()
	for end := time.Now().Add(3 * maxReadyAge); leaderHeardGauge.Get() < maxReadyAge.Seconds(); time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}

// No leader answers for longer than an election takes: the control instances are cut in
// two. Guards against requests that are held although they cannot be served, and against
// callers who all come back at once or far too often.
func TestLostLeaderIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	f := &fakePeers{dead: map[string]bool{}}
	r := testRouter(f)
	r.leaderAnsweredAt = time.Now().Add(-time.Second) // an election may be going on
	is.True(r.Ping(timeoutContext(t, 300*time.Millisecond)) != nil)
	is.True(len(f.asked) > 3) // more than one round
	is.Equal(r.RetryAfter(), minRetryAfter)

	r.leaderAnsweredAt = time.Now().Add(-6 * time.Second)
	f.asked = nil
	began := time.Now()
	err := r.Ping(timeoutContext(t, 3*time.Second))
	is.True(time.Since(began) < 500*time.Millisecond)
	is.Equal(len(f.asked), 3) // each instance once
	var u *UnavailableError
	is.True(errors.As(err, &u))
	is.True(!u.MayHaveRun)
	spread := map[time.Duration]bool{}
	for range 20 {
		d := r.RetryAfter()
		is.True(d >= 3*time.Second && d <= maxRetryAfter+time.Second)
		spread[d.Truncate(100*time.Millisecond)] = true
	}
	is.True(len(spread) > 3)
}

// A zone is cut off while its callers go on. Guards against an entry instance there that keeps
// them waiting for a leader and stays ready, against one that is not ready or refuses at once
// because only the leader is missing, and against one that does not notice the end of the cut.
func TestEntryThatIsCutOffRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	f := &fakePeers{leader: "a", dead: map[string]bool{}, hint: map[string]string{}}
	r := testRouter(f)
	go r.Watch(t.Context())
	setDead := func(names ...string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		clear(f.dead)
		for _, n := range names {
			f.dead[n] = true
		}
	}
	is.NoErr(r.Ping(timeoutContext(t, time.Second)))
	is.True(r.Ready())

	setDead("a")
	is.True(r.Ping(timeoutContext(t, 900*time.Millisecond)) != nil)
	is.True(r.Ready()) // an election may be in progress

	setDead("a", "b", "c")
	time.Sleep(minCutOffInterval)
	began := time.Now()
	_, err := r.Submit(timeoutContext(t, 3*time.Second), &batch.Submit{ID: "x"})
	is.True(err != nil)
	is.True(time.Since(began) < attemptTimeout+cutOffCheckAfter)
	is.True(!r.Ready())
	began = time.Now()
	_, err = r.Submit(timeoutContext(t, 3*time.Second), &batch.Submit{ID: "y"})
	var u *UnavailableError
	var cutOff *CutOffError
	is.True(errors.As(err, &u) && errors.As(err, &cutOff))
	is.True(!u.MayHaveRun) // it was sent to nobody
	is.True(time.Since(began) < 100*time.Millisecond)
	is.True(r.RetryAfter() >= minRetryAfter)

	setDead()
	for end := time.Now().Add(2 * time.Second); !r.Ready() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(r.Ready())
}
