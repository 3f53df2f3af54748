package region

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/sched/mechanism"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Timing of forwarded requests.
const (
	// attemptTimeout bounds the wait for the answer of one instance. A commit takes two
	// disk syncs, about 20 ms; on a slow disk it takes up to about half a second.
	attemptTimeout = 800 * time.Millisecond
	// failureBackoff is the time for which an instance that did not answer is tried
	// after all others. Until the others have elected a new leader, they may still name
	// it as the leader.
	failureBackoff = time.Second
	// roundInterval is the pause between two rounds over the known instances.
	roundInterval = 60 * time.Millisecond
)

// UnavailableError reports that no leader answered a request.
type UnavailableError struct {
	// MayHaveRun is set if an instance may have carried out the request.
	MayHaveRun bool
	Cause      error
}

func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return "no leader is known"
	}
	return fmt.Sprintf("no leader answered: %v", e.Cause)
}

// Unwrap returns the error of the last failed attempt.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Router forwards requests to the leader of the region's group.
type Router struct {
	Self  string
	Peers link.Peers
	Log   logr.Logger
	// Local handles requests on this instance if it is a member of the group, and is nil
	// otherwise.
	Local func(ctx context.Context, req []byte) *Reply
	// Off are the mechanisms that are switched off.
	Off mechanism.Set
	// LimitsChanged, if not nil, is called by Watch with the limits of callers' requests in the
	// configuration in force whenever they differ from those before.
	LimitsChanged func(*RequestLimits)

	limits atomic.Pointer[RequestLimits] // in the last answer to a ping

	cutOff cutOff
	relay  *relay // nil on entry instances

	mu               sync.Mutex // guards the fields below
	seeds            []string
	members          []string
	leader           string
	leaderAnsweredAt time.Time            // when a leader last answered
	failedAt         map[string]time.Time // time of the last unanswered call, by instance
}

// SetSeeds replaces the seeds, the instances through which the members of the group are
// found.
func (r *Router) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = slices.Clone(seeds)
}

// Contacts returns the known members and the seeds without duplicates.
func (r *Router) Contacts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Concat(r.members, r.seeds)
	slices.Sort(out)
	return slices.Compact(out)
}

// LastLeaderAnswer returns when a leader last answered, or the zero time if none has.
func (r *Router) LastLeaderAnswer() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaderAnsweredAt
}

// LeaderAge returns the time since a leader last answered. It is negative if none has.
func (r *Router) LeaderAge() time.Duration {
	at := r.LastLeaderAnswer()
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

// Submit submits a job. Its errors, like those of the other methods, are
// *UnavailableError.
func (r *Router) Submit(ctx context.Context, s *batch.Submit) (*Reply, error) {
	return r.forward(ctx, &request{Submit: s})
}

// Cancel cancels a job.
func (r *Router) Cancel(ctx context.Context, c *batch.Cancel) (*Reply, error) {
	return r.forward(ctx, &request{Cancel: c})
}

// Job returns a job's state.
func (r *Router) Job(ctx context.Context, q *JobQuery) (*Reply, error) {
	return r.forward(ctx, &request{Job: q})
}

// Pending returns the number of jobs of a queue of which no unit has started.
func (r *Router) Pending(ctx context.Context, c *batch.Call) (*Reply, error) {
	return r.forward(ctx, &request{Pending: c})
}

// Publish puts a configuration in force.
func (r *Router) Publish(ctx context.Context, c *batch.Config) (*Reply, error) {
	return r.forward(ctx, &request{Publish: c})
}

// Config returns the configuration in force.
func (r *Router) Config(ctx context.Context) (*Reply, error) {
	return r.forward(ctx, &request{Config: &struct{}{}})
}

// Workers returns the workers recorded by the group.
func (r *Router) Workers(ctx context.Context) (*Reply, error) {
	return r.forward(ctx, &request{Workers: &struct{}{}})
}

// Customers returns what the customers hold and wait for.
func (r *Router) Customers(ctx context.Context) (*Reply, error) {
	return r.forward(ctx, &request{Customers: &struct{}{}})
}

// Announce forwards a worker's announcement, or takes it as a sign of life.
func (r *Router) Announce(ctx context.Context, a *Announcement) (*Reply, error) {
	if r.relay.take(a) {
		return &Reply{}, nil
	}
	return r.forward(ctx, &request{Announce: a})
}

// AnnounceTo returns the instance to which a worker should send its later announcements, or ""
// if it should stay with this one.
func (r *Router) AnnounceTo(worker string) string {
	if r.relay.enabled() {
		return r.relay.instanceFor(worker)
	}
	if l := r.Leader(); l != r.Self {
		return l
	}
	return ""
}

// Ping checks whether a leader can be reached.
func (r *Router) Ping(ctx context.Context) error {
	rep, err := r.forward(ctx, &request{Ping: &struct{}{}})
	if err != nil {
		return err
	}
	if rep.Limits != nil {
		r.limits.Store(rep.Limits)
	}
	return nil
}

// forward sends a request to the known leader, then to every other instance in turn,
// until the leader answers or ctx ends. A leader that an instance names is tried next,
// unless it recently failed to answer.
//
// While no leader has answered for so long that this is no ordinary election, there is
// only one round: the request cannot be expected to be served in its time, and its caller
// is told at once when to come back.
func (r *Router) forward(ctx context.Context, req *request) (*Reply, error) {
	body, err := codec.Marshal(req)
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	failure := &UnavailableError{}
	oneRound := r.leaderLost() && !r.Off[mechanism.EarlyRefusal]
	// A worker tries another instance by itself. Thousands of announcements that are repeated here
	// as well would keep the instances from electing a leader, or a leader from answering.
	announces := req.Announce != nil && r.relay.enabled()
	for round := 0; ; round++ {
		if r.cutOff.cut.Load() {
			failure.Cause = &CutOffError{}
			return nil, failure
		}
		asked := map[string]bool{}
		for _, c := range r.candidates() {
			for hinted := false; c != "" && !asked[c] && ctx.Err() == nil && !r.cutOff.cut.Load(); hinted = true {
				if hinted && r.recentlyFailed(c) {
					break
				}
				asked[c] = true
				rep, err := r.send(ctx, c, body)
				if err == nil && !rep.NotLeader && !rep.OutcomeUnknown {
					r.recordLeader(c)
					if req.Submit != nil && failure.MayHaveRun && refusesAdmission(rep.Verdict) {
						failure.Cause = &RefusedAgainError{Verdict: rep.Verdict}
						return nil, failure
					}
					return rep, nil
				}
				c = r.recordAttempt(failure, c, rep, err)
			}
		}
		if announces || oneRound && r.leaderLost() {
			return nil, failure
		}
		select {
		case <-ctx.Done():
			if failure.Cause == nil {
				failure.Cause = ctx.Err()
			}
			return nil, failure
		case <-time.After(roundInterval):
		}
		telemetry.Count("teaselpaddle_forward_retries_total")
	}
}

// RefusedAgainError reports that a repeated submission was refused after an earlier
// attempt may have been accepted under another configuration.
type RefusedAgainError struct{ Verdict batch.Verdict }

func (e *RefusedAgainError) Error() string {
	return "the repeated submission was refused: " + e.Verdict.String()
}

// refusesAdmission reports whether a verdict depends on the configuration in force and
// says nothing of a job that was accepted before.
func refusesAdmission(v batch.Verdict) bool { return v != batch.OK && v != batch.IDInUse }

// candidates returns the instances to try in order: the known leader first, those that
// recently failed to answer last.
func (r *Router) candidates() []string {
	first, rest := []string{r.Leader()}, []string(nil)
	for _, c := range r.Contacts() {
		if r.recentlyFailed(c) {
			rest = append(rest, c)
		} else {
			first = append(first, c)
		}
	}
	return append(first, rest...)
}

func (r *Router) recentlyFailed(c string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.failedAt[c]) < failureBackoff
}

// recordFailure records that an instance did not answer. If it was the known leader,
// the leader becomes unknown.
func (r *Router) recordFailure(c string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failedAt == nil {
		r.failedAt = map[string]time.Time{}
	}
	r.failedAt[c] = time.Now()
	if r.leader == c {
		r.Log.Info("leader does not answer; trying other instances", "leader", c)
		r.leader = ""
	}
}

// recordAttempt records a failed attempt in failure. It returns the leader that the
// instance named, to be tried next, or "".
func (r *Router) recordAttempt(failure *UnavailableError, c string, rep *Reply, err error) string {
	var notSent *link.NotSentError
	var remote *link.RemoteError
	switch {
	case errors.As(err, &remote) && remote.Busy: // it has not handled the request, and lives
		failure.Cause = err
	case err != nil:
		r.recordFailure(c)
		failure.Cause = err
		failure.MayHaveRun = failure.MayHaveRun || !errors.As(err, &notSent)
	case rep.OutcomeUnknown:
		failure.MayHaveRun = true
	case rep.NotLeader:
		return rep.Leader
	}
	return ""
}

// send sends a request to one instance and returns its reply.
func (r *Router) send(ctx context.Context, to string, body []byte) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if to == r.Self {
		if r.Local == nil {
			return &Reply{NotLeader: true}, nil
		}
		return r.Local(ctx, body), nil
	}
	stop := r.watchCall()
	data, err := r.Peers.Call(ctx, to, link.KindRequest, body)
	stop()
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

func (r *Router) recordLeader(leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaderAnsweredAt = time.Now()
	delete(r.failedAt, leader)
	if r.leader != leader {
		r.Log.Info("leader answers", "leader", leader, "before", r.leader)
	}
	r.leader = leader
}
