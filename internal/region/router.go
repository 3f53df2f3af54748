package region

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Times of a forwarded request.
const (
	// tryTimeout bounds the wait for one instance. A commit takes two syncs of a
	// disk, some 20 ms; a slow disk takes up to about half a second.
	tryTimeout = 800 * time.Millisecond
	// failedPause is the time for which an instance that did not answer is asked
	// after the others. Other instances may name it as the leader until they have
	// elected another one.
	failedPause = time.Second
	// roundPause is the time between two rounds over the known instances.
	roundPause = 60 * time.Millisecond
)

// UnavailableError says that no leader took a request.
type UnavailableError struct {
	// MayHaveRun is set if an instance may have carried it out.
	MayHaveRun bool
	Cause      error
}

func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return "no leader is known"
	}
	return fmt.Sprintf("no leader answered: %v", e.Cause)
}

// Unwrap returns the last failure.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Router brings requests to the leader of the region's group.
type Router struct {
	Self  string
	Peers link.Peers
	Log   logr.Logger
	// Local answers requests on an instance of the group; nil on the others.
	Local func(ctx context.Context, req []byte) *Reply

	mu       sync.Mutex // guards all below
	seeds    []string
	members  []string
	leader   string
	heardAt  time.Time            // last answer of a leader
	failedAt map[string]time.Time // last call without an answer, by instance
}

// SetSeeds replaces the instances that are asked first.
func (r *Router) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = slices.Clone(seeds)
}

// Contacts returns the instances that may belong to the group, each once.
func (r *Router) Contacts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Concat(r.members, r.seeds)
	slices.Sort(out)
	return slices.Compact(out)
}

// HeardLeader returns when a leader last answered.
func (r *Router) HeardLeader() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heardAt
}

// LeaderAge returns the time since a leader last answered; negative if none has.
func (r *Router) LeaderAge() time.Duration {
	at := r.HeardLeader()
	if at.IsZero() {
		return -time.Millisecond
	}
	return time.Since(at)
}

// Leader returns the leader that answered last, or "".
func (r *Router) Leader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// Submit hands a job in. Its errors, like those of the other methods, are
// *UnavailableError.
func (r *Router) Submit(ctx context.Context, s *batch.Submit) (*Reply, error) {
	return r.do(ctx, &request{Submit: s})
}

// Cancel cancels a job.
func (r *Router) Cancel(ctx context.Context, c *batch.Cancel) (*Reply, error) {
	return r.do(ctx, &request{Cancel: c})
}

// Job returns a job's state.
func (r *Router) Job(ctx context.Context, q *JobQuery) (*Reply, error) {
	return r.do(ctx, &request{Job: q})
}

// Pending counts the jobs of a queue of which nothing has started.
func (r *Router) Pending(ctx context.Context, c *batch.Call) (*Reply, error) {
	return r.do(ctx, &request{Pending: c})
}

// Publish puts a configuration in force.
func (r *Router) Publish(ctx context.Context, c *batch.Config) (*Reply, error) {
	return r.do(ctx, &request{Publish: c})
}

// Config returns the configuration in force.
func (r *Router) Config(ctx context.Context) (*Reply, error) {
	return r.do(ctx, &request{Config: &struct{}{}})
}

// Workers returns the workers that the group has recorded.
func (r *Router) Workers(ctx context.Context) (*Reply, error) {
	return r.do(ctx, &request{Workers: &struct{}{}})
}

// Announce passes on what a worker says of itself.
func (r *Router) Announce(ctx context.Context, a *Announcement) (*Reply, error) {
	return r.do(ctx, &request{Announce: a})
}

// Ping finds out whether a leader can be reached.
func (r *Router) Ping(ctx context.Context) error {
	_, err := r.do(ctx, &request{Ping: &struct{}{}})
	return err
}

// do asks the known leader, then every other instance in turn, until one leads
// or ctx ends.
func (r *Router) do(ctx context.Context, req *request) (*Reply, error) {
	body, err := codec.Marshal(req)
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	fail := &UnavailableError{}
	for round := 0; ; round++ {
		asked := map[string]bool{}
		for _, c := range r.inOrder() {
			for hinted := false; c != "" && !asked[c] && ctx.Err() == nil; hinted = true {
				if hinted && r.failedLately(c) {
					break
				}
				asked[c] = true
				rep, err := r.ask(ctx, c, body)
				if err == nil && !rep.NotLeader && !rep.Unsure {
					r.found(c)
					return rep, nil
				}
				c = r.note(fail, c, rep, err)
			}
		}
		select {
		case <-ctx.Done():
			if fail.Cause == nil {
				fail.Cause = ctx.Err()
			}
			return nil, fail
		case <-time.After(roundPause):
		}
		telemetry.Count("teaselpaddle_forward_retries_total")
	}
}

// inOrder returns the instances to ask: the known leader first, those that did
// not answer lately last.
func (r *Router) inOrder() []string {
	first, rest := []string{r.Leader()}, []string(nil)
	for _, c := range r.Contacts() {
		if r.failedLately(c) {
			rest = append(rest, c)
		} else {
			first = append(first, c)
		}
	}
	return append(first, rest...)
}

func (r *Router) failedLately(c string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.failedAt[c]) < failedPause
}

// failed notes that an instance did not answer. It is no longer taken for the
// leader.
func (r *Router) failed(c string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failedAt == nil {
		r.failedAt = map[string]time.Time{}
	}
	r.failedAt[c] = time.Now()
	if r.leader == c {
		r.Log.Info("leader does not answer; others are asked", "leader", c)
		r.leader = ""
	}
}

// note records a try of an instance that brought no answer and returns whom to
// ask next.
func (r *Router) note(fail *UnavailableError, c string, rep *Reply, err error) string {
	var unsent *link.NotSentError
	switch {
	case err != nil:
		r.failed(c)
		fail.Cause = err
		fail.MayHaveRun = fail.MayHaveRun || !errors.As(err, &unsent)
	case rep.Unsure:
		fail.MayHaveRun = true
	case rep.NotLeader:
		return rep.Leader
	}
	return ""
}

// ask sends a request to one instance.
func (r *Router) ask(ctx context.Context, to string, body []byte) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if to == r.Self {
		if r.Local == nil {
			return &Reply{NotLeader: true}, nil
		}
		return r.Local(ctx, body), nil
	}
	data, err := r.Peers.Call(ctx, to, link.KindRequest, body)
	if err != nil {
		return nil, err
	}
	var rep Reply
	if err := codec.Unmarshal(data, &rep); err != nil {
		return nil, err
	}
	if len(rep.Members) > 0 {
		r.mu.Lock()
		r.members = rep.Members
		r.mu.Unlock()
	}
	return &rep, nil
}

func (r *Router) found(leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heardAt = time.Now()
	delete(r.failedAt, leader)
	if r.leader != leader {
		r.Log.Info("leader answers", "leader", leader, "before", r.leader)
	}
	r.leader = leader
}
