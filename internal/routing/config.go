package routing

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// History requests the most recently accepted changes from a voter.
type History struct {
	// Limit is the maximum number of changes; 0 requests all that the voter keeps.
	Limit int `cbor:"1,keyasint"`
}

// publishTimeout bounds a publish including all retries. It is shorter than
// requestTimeout, so that the caller gets the outcome instead of a timeout.
const publishTimeout = 5 * time.Second

// voterTimeout bounds the wait for one voter. Accepting a change takes two disk
// syncs, about 20 ms, or up to about half a second on a slow disk. If the answer
// comes later than that, the retry finds the accepted change by its publish key.
const voterTimeout = time.Second

// ConfigGroup is the configuration group as seen from one instance.
type ConfigGroup struct {
	Voters []string
	// Group and Machine are nil on instances that are not voters.
	Group   replica.Group
	Machine *config.Machine
}

// Publish submits a change to the configuration group. It is idempotent: calls
// with the same publish key are applied once. The error is a *model.Refusal.
func (r *Router) Publish(ctx context.Context, p *config.Publish) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	req := &Request{Publish: p}
	uncertain := false
	leader := ""
	for {
		resp, maybeProposed := r.publishRound(ctx, req, &leader)
		if resp != nil {
			return refusalAsError(resp)
		}
		uncertain = uncertain || maybeProposed
		telemetry.CountRetry(model.ReasonNoLeader)
		if !retry.Sleep(ctx, retryPause) {
			return refusalAsError(&Response{Refusal: unansweredPublish(uncertain)})
		}
	}
}

// refusalAsError returns the refusal of resp, if any, as an error and counts it.
func refusalAsError(resp *Response) (*Response, error) {
	if resp.Refusal != nil {
		telemetry.CountRefusal(resp.Refusal.Reason)
		return nil, resp.Refusal
	}
	return resp, nil
}

// unansweredPublish returns the refusal for a publish that got no conclusive
// answer. uncertain is true if a voter may have proposed the change.
func unansweredPublish(uncertain bool) *model.Refusal {
	if uncertain {
		return model.Refuse(model.ReasonOutcomeUnknown,
			"the configuration group did not answer; the change may have been accepted or may be accepted later; "+
				"publish again with the same publish key").WithRetryAfter(retryAfter)
	}
	return model.Refuse(model.ReasonNoLeader,
		"no leader of the configuration group can be reached; nothing was published").WithRetryAfter(retryAfter)
}

// publishRound sends the change to each voter once, the known leader first. It
// returns nil if no voter gave a conclusive answer, and whether any of them may
// have proposed the change.
func (r *Router) publishRound(ctx context.Context, req *Request, leader *string) (resp *Response, maybeProposed bool) {
	for _, to := range leaderFirst(r.Config.Voters, *leader) {
		resp, err := r.callVoter(ctx, to, req)
		var ns *link.NotSentError
		switch {
		case errors.As(err, &ns):
		case err != nil:
			maybeProposed = true
			r.Log.V(1).Info("publish request got no answer", "to", to, "error", err.Error())
		case resp.NotLeader:
			*leader = resp.Leader
		case resp.Refusal != nil && resp.Refusal.Reason == model.ReasonOutcomeUnknown:
			maybeProposed = true
		default:
			return resp, maybeProposed
		}
	}
	return nil, maybeProposed
}

// leaderFirst returns the voters with leader moved to the front.
func leaderFirst(voters []string, leader string) []string {
	i := slices.Index(voters, leader)
	if i <= 0 {
		return voters
	}
	return append([]string{leader}, slices.Delete(slices.Clone(voters), i, i+1)...)
}

// callVoter sends a request to a voter, which may be this instance.
func (r *Router) callVoter(ctx context.Context, to string, req *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, voterTimeout)
	defer cancel()
	if to != r.Self {
		return r.call(ctx, to, req)
	}
	return r.configLocal(ctx, req), nil
}

// Accepted returns the configuration that the group has accepted, or nil if there
// is none; a zone may still be adopting it. The error is a *model.Refusal.
func (r *Router) Accepted(ctx context.Context) (*model.Configuration, error) {
	resp, err := r.readConfig(ctx, &Request{Accepted: &struct{}{}})
	if err != nil {
		return nil, err
	}
	return resp.Accepted, nil
}

// History returns the last limit accepted changes, newest first; see History.Limit.
// The error is a *model.Refusal.
func (r *Router) History(ctx context.Context, limit int) ([]config.Record, error) {
	resp, err := r.readConfig(ctx, &Request{History: &History{Limit: limit}})
	if err != nil {
		return nil, err
	}
	return resp.History, nil
}

// readConfig sends a read to the voters in turn until one answers, starting with
// this instance if it is a voter.
func (r *Router) readConfig(ctx context.Context, req *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for _, to := range leaderFirst(r.Config.Voters, r.Self) {
		resp, err := r.callVoter(ctx, to, req)
		if err == nil && !resp.NotLeader && (resp.Refusal == nil || resp.Refusal.Reason != model.ReasonNoLeader) {
			return refusalAsError(resp)
		}
		telemetry.CountRetry(model.ReasonNoLeader)
	}
	return refusalAsError(&Response{Refusal: model.Refuse(model.ReasonNoLeader,
		"no voter of the configuration group could read the accepted configuration").WithRetryAfter(retryAfter)})
}

// configLocal executes a request as a voter of the configuration group.
func (r *Router) configLocal(ctx context.Context, req *Request) *Response {
	if r.Config.Group == nil {
		return &Response{NotLeader: true}
	}
	if req.Publish != nil {
		return r.publishLocal(ctx, req.Publish)
	}
	ctx, cancel := context.WithTimeout(ctx, voterTimeout)
	defer cancel()
	if err := r.Config.Group.ReadIndex(ctx); err != nil {
		return &Response{Refusal: model.Refuse(model.ReasonNoLeader, "%v", err).WithRetryAfter(retryAfter)}
	}
	if req.History != nil {
		return &Response{History: r.Config.Machine.History(req.History.Limit)}
	}
	return &Response{Accepted: r.Config.Machine.Current()}
}

// publishLocal proposes a change if this instance leads the configuration group.
func (r *Router) publishLocal(ctx context.Context, p *config.Publish) *Response {
	if p == nil {
		return &Response{Refusal: model.Refuse(model.ReasonInvalid, "the publish request has no content")}
	}
	st := r.Config.Group.Status()
	if st.Leader != r.Self {
		return &Response{NotLeader: true, Leader: st.Leader}
	}
	if ref := r.checkZones(p); ref != nil {
		return &Response{Refusal: ref}
	}
	stamped := *p
	stamped.At = time.Now().UTC()
	entry, err := stamped.Encode()
	if err != nil {
		return &Response{Refusal: model.Refuse(model.ReasonInternal, "%v", err)}
	}
	out, err := r.Config.Group.Propose(ctx, entry)
	var nl *replica.NotLeaderError
	if errors.As(err, &nl) {
		return &Response{NotLeader: true, Leader: nl.Leader}
	}
	if err != nil {
		return &Response{Refusal: model.Refuse(model.ReasonOutcomeUnknown, "%v", err).WithRetryAfter(retryAfter)}
	}
	a, ok := out.(*config.Answer)
	if !ok {
		return &Response{Refusal: model.Refuse(model.ReasonInternal, "unexpected result %T", out)}
	}
	return &Response{Record: a.Record, Refusal: a.Refusal, Existing: a.Duplicate}
}

// checkZones refuses racks in availability zones that the deployment does not
// have. It runs before the proposal because the zones come from the instance's
// settings and are not part of the replicated state.
func (r *Router) checkZones(p *config.Publish) *model.Refusal {
	for i := range p.Changed {
		for j, rack := range p.Changed[i].Racks {
			if !slices.Contains(r.Zones, rack.AvailabilityZone) {
				return model.Refuse(model.ReasonInvalid, "service %q, racks[%d]: the deployment has no availability zone %q, only %q",
					p.Changed[i].Name, j, rack.AvailabilityZone, r.Zones)
			}
		}
	}
	return nil
}
