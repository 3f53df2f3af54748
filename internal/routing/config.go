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

// History asks a voter for the last accepted changes.
type History struct {
	Limit int `cbor:"1,keyasint"`
}

// publishLimit bounds a publish with all its tries; it is shorter than
// requestTimeout, so that the caller gets the outcome and not a timeout.
const publishLimit = 5 * time.Second

// voterTimeout bounds the wait for one voter. An accepted change takes two syncs of
// a disk, some 20 ms, and on a slow disk up to about half a second. A change whose
// answer comes later is found again by its publish key.
const voterTimeout = time.Second

// ConfigGroup is the configuration group as seen from one instance.
type ConfigGroup struct {
	Voters []string
	// Group and Machine are nil on instances that are not voters.
	Group   replica.Group
	Machine *config.Machine
}

// Publish has the configuration group accept a change. It may be called again
// with the same publish key: the group applies it once. The error is a
// *model.Refusal.
func (r *Router) Publish(ctx context.Context, p *config.Publish) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, publishLimit)
	defer cancel()
	req := &Request{Publish: p}
	uncertain := false
	leader := ""
	for {
		resp, sent := r.publishRound(ctx, req, &leader)
		if resp != nil {
			return settle(resp)
		}
		uncertain = uncertain || sent
		telemetry.Retried(model.ReasonNoLeader)
		if !retry.Sleep(ctx, retryPause) {
			return settle(&Response{Refusal: notPublished(uncertain)})
		}
	}
}

func settle(resp *Response) (*Response, error) {
	if resp.Refusal != nil {
		telemetry.Refused(resp.Refusal.Reason)
		return nil, resp.Refusal
	}
	return resp, nil
}

// notPublished says what is certain after all tries were without an answer.
func notPublished(uncertain bool) *model.Refusal {
	if uncertain {
		return model.Refuse(model.ReasonOutcomeUnknown,
			"the configuration group did not answer; the change may have been accepted or may be accepted later; "+
				"publish again with the same publish key").After(retryAfter)
	}
	return model.Refuse(model.ReasonNoLeader,
		"no leader of the configuration group can be reached; nothing was published").After(retryAfter)
}

// publishRound asks each voter once, the known leader first. It returns nil if
// none gave a certain answer, and whether one of them may have proposed the
// change.
func (r *Router) publishRound(ctx context.Context, req *Request, leader *string) (resp *Response, sent bool) {
	for _, to := range leaderFirst(r.Config.Voters, *leader) {
		resp, err := r.callConfig(ctx, to, req)
		var ns *link.NotSentError
		switch {
		case errors.As(err, &ns):
		case err != nil:
			sent = true
			r.Log.V(1).Info("publish without an answer", "to", to, "error", err.Error())
		case resp.NotLeader:
			*leader = resp.Leader
		case resp.Refusal != nil && resp.Refusal.Reason == model.ReasonOutcomeUnknown:
			sent = true
		default:
			return resp, sent
		}
	}
	return nil, sent
}

// leaderFirst returns the voters with leader in the first place.
func leaderFirst(voters []string, leader string) []string {
	i := slices.Index(voters, leader)
	if i <= 0 {
		return voters
	}
	return append([]string{leader}, slices.Delete(slices.Clone(voters), i, i+1)...)
}

// callConfig sends a request to a voter, which may be this instance.
func (r *Router) callConfig(ctx context.Context, to string, req *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, voterTimeout)
	defer cancel()
	if to != r.Self {
		return r.call(ctx, to, req)
	}
	return r.configLocal(ctx, req), nil
}

// Accepted returns the configuration that the group has accepted; a zone may
// still be adopting it. The error is a *model.Refusal.
func (r *Router) Accepted(ctx context.Context) (*model.Configuration, error) {
	resp, err := r.readConfig(ctx, &Request{Accepted: &struct{}{}})
	if err != nil {
		return nil, err
	}
	return resp.Accepted, nil
}

// History returns the last limit accepted changes, newest first. The error is a
// *model.Refusal.
func (r *Router) History(ctx context.Context, limit int) ([]config.Record, error) {
	resp, err := r.readConfig(ctx, &Request{History: &History{Limit: limit}})
	if err != nil {
		return nil, err
	}
	return resp.History, nil
}

// readConfig asks the voters in turn, this instance first if it is one.
func (r *Router) readConfig(ctx context.Context, req *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for _, to := range leaderFirst(r.Config.Voters, r.Self) {
		resp, err := r.callConfig(ctx, to, req)
		if err == nil && !resp.NotLeader && (resp.Refusal == nil || resp.Refusal.Reason != model.ReasonNoLeader) {
			return settle(resp)
		}
		telemetry.Retried(model.ReasonNoLeader)
	}
	return settle(&Response{Refusal: model.Refuse(model.ReasonNoLeader,
		"no voter of the configuration group could read the accepted configuration").After(retryAfter)})
}

// configLocal carries out a request as a voter of the configuration group.
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
		return &Response{Refusal: model.Refuse(model.ReasonNoLeader, "%v", err).After(retryAfter)}
	}
	if req.History != nil {
		return &Response{History: r.Config.Machine.History(req.History.Limit)}
	}
	return &Response{Accepted: r.Config.Machine.Current()}
}

// publishLocal proposes a change if this instance leads the configuration group.
func (r *Router) publishLocal(ctx context.Context, p *config.Publish) *Response {
	if p == nil {
		return &Response{Refusal: model.Refuse(model.ReasonInvalid, "a publish without content")}
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
		return &Response{Refusal: model.Refuse(model.ReasonOutcomeUnknown, "%v", err).After(retryAfter)}
	}
	a, ok := out.(*config.Answer)
	if !ok {
		return &Response{Refusal: model.Refuse(model.ReasonInternal, "unexpected result %T", out)}
	}
	return &Response{Record: a.Record, Refusal: a.Refusal, Existing: a.Again}
}

// checkZones refuses racks in availability zones that the deployment does not
// have. It runs before the proposal because the zones are a setting of the
// instance and not part of the replicated state.
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
