// Package routing brings each request to the instance that can answer it: the
// leader of the job's owner zone, or for reads any instance of that zone.
package routing

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/view"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Op is what a request asks for.
type Op string

// The operations on a zone.
const (
	OpSubmit Op = "submit"
	OpCancel Op = "cancel"
	OpGet    Op = "get"
	OpList   Op = "list"
	OpReport Op = "report"
)

// Request is a request for a zone.
type Request struct {
	Op       Op                `cbor:"1,keyasint"`
	ID       model.JobID       `cbor:"2,keyasint,omitempty"`
	Spec     *model.JobSpec    `cbor:"3,keyasint,omitempty"`
	Customer string            `cbor:"4,keyasint,omitempty"`
	Report   *workerapi.Report `cbor:"5,keyasint,omitempty"`
	// WaitMillis is how long a get waits for a final state.
	WaitMillis int64 `cbor:"6,keyasint,omitempty"`
	// Submission is the number of a submit; see jobs.Command.
	Submission uint64 `cbor:"9,keyasint,omitempty"`
	// LeaderOnly is set when a request was forwarded inside its zone, so that
	// two instances that disagree about the leader do not forward it in a loop.
	LeaderOnly bool `cbor:"7,keyasint,omitempty"`
	// Publish goes with OpPublish.
	Publish *config.Publish `cbor:"8,keyasint,omitempty"`
	// Limit bounds the records of OpHistory.
	Limit int `cbor:"10,keyasint,omitempty"`
}

// Response is the answer to a request.
type Response struct {
	Job      *model.Job     `cbor:"1,keyasint,omitempty"`
	Jobs     []*model.Job   `cbor:"2,keyasint,omitempty"`
	Refusal  *model.Refusal `cbor:"3,keyasint,omitempty"`
	Existing bool           `cbor:"4,keyasint,omitempty"`
	// NotLeader is set if LeaderOnly was and this instance does not lead.
	NotLeader bool `cbor:"5,keyasint,omitempty"`
	// Leader is the leader that the instance knows, if NotLeader is set by the
	// configuration group.
	Leader string `cbor:"6,keyasint,omitempty"`
	// Record answers OpPublish, Accepted OpAccepted, History OpHistory and View
	// the operations on views.
	Record   *config.Record       `cbor:"7,keyasint,omitempty"`
	Accepted *model.Configuration `cbor:"8,keyasint,omitempty"`
	History  []config.Record      `cbor:"9,keyasint,omitempty"`
	View     *view.Zone           `cbor:"10,keyasint,omitempty"`
}

// Time limits of one request.
const (
	callTimeout    = 4 * time.Second        // one call to one instance
	requestTimeout = 10 * time.Second       // all calls of one request
	durableTimeout = 2 * time.Second        // wait for the replicas with a disk
	leaderTimeout  = 3 * time.Second        // wait for a leader: longer than an election
	retryPause     = 100 * time.Millisecond // between two tries
	retryAfter     = 2 * time.Second        // told to callers
)

// Router routes the requests that arrive at one instance.
type Router struct {
	Self    string
	Zone    string
	Zones   []string
	InZone  func(zone string) []string
	Peers   link.Peers
	Group   replica.Group
	Machine *jobs.Machine
	// Config is the configuration group as seen from here.
	Config ConfigGroup
	// View returns the view of the own zone from this instance.
	View func(Op) *view.Zone
	Log  logr.Logger
	// Usage takes usage reports on the leader; nil drops them.
	Usage func(id model.JobID, fence uint64, memoryMiB int)

	mu    sync.Mutex // guards zones
	zones map[string]*zoneHealth
}

// Register makes the router answer other instances' requests.
func (r *Router) Register() {
	r.Peers.Handle(link.KindRequest, func(ctx context.Context, _ string, body []byte) ([]byte, error) {
		var req Request
		if err := codec.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		return codec.Marshal(r.local(ctx, &req))
	})
}

// Submit accepts a job or returns the record of an earlier request with the
// same identity. The error is a *model.Refusal.
func (r *Router) Submit(ctx context.Context, spec *model.JobSpec) (*Response, error) {
	zone := model.OwnerZone(r.Zones, spec.Customer, spec.Key)
	id := model.NewJobID(zone, spec.Customer, spec.Key)
	resp, err := r.Do(ctx, zone, &Request{Op: OpSubmit, ID: id, Spec: spec, Submission: rand.Uint64() | 1})
	var ref *model.Refusal
	lost := errors.As(err, &ref) && ref.Reason == model.ReasonOwnerUnreachable
	if lost && spec.Repeatable && zone != r.Zone && ctx.Err() == nil {
		// A repeatable job may run twice without harm, so this zone takes it. If the
		// caller has gone, the owner may well be reachable.
		telemetry.Retried(model.ReasonOwnerUnreachable)
		id = model.NewJobID(r.Zone, spec.Customer, spec.Key)
		return r.Do(ctx, r.Zone, &Request{Op: OpSubmit, ID: id, Spec: spec})
	}
	return resp, err
}

// Report takes a worker's report. Usage within the job's declaration ends here:
// forwarding it from every task to the leader would cost more than all other
// messages together. The error is a *model.Refusal.
func (r *Router) Report(ctx context.Context, rep *workerapi.Report) error {
	if rep.Result == nil && rep.Job.Zone() == r.Zone {
		j := r.Machine.Get(rep.Job)
		if j == nil || rep.Usage == nil || rep.Usage.MemoryMiB <= j.Spec.MemoryMiB {
			return nil
		}
	}
	_, err := r.Do(ctx, rep.Job.Zone(), &Request{Op: OpReport, Report: rep})
	return err
}

// Do carries out a request in a zone. The error is a *model.Refusal.
func (r *Router) Do(ctx context.Context, zone string, req *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+time.Duration(req.WaitMillis)*time.Millisecond)
	defer cancel()
	var resp *Response
	if zone == r.Zone {
		resp = r.local(ctx, req)
	} else {
		resp = r.remote(ctx, zone, req)
	}
	if resp.Refusal != nil {
		telemetry.Refused(resp.Refusal.Reason)
		return nil, resp.Refusal
	}
	return resp, nil
}

// local carries out a request in this instance's own zone.
func (r *Router) local(ctx context.Context, req *Request) *Response {
	switch req.Op {
	case OpPublish, OpAccepted, OpHistory:
		return r.configLocal(ctx, req)
	case OpWorkers, OpCustomers, OpFragmentation, OpStatus:
		return r.view(ctx, req)
	case OpGet:
		return r.get(ctx, req)
	case OpList:
		return &Response{Jobs: r.Machine.ByCustomer(req.Customer)}
	}
	limit := time.Now().Add(leaderTimeout)
	for {
		resp := r.tryLeader(ctx, req)
		if resp != nil {
			return resp
		}
		telemetry.Retried(model.ReasonNoLeader)
		if time.Now().After(limit) || !retry.Sleep(ctx, retryPause) {
			return &Response{Refusal: model.Refuse(model.ReasonNoLeader,
				"availability zone %q has no leader", r.Zone).After(retryAfter).With(model.Unknown)}
		}
	}
}

// tryLeader returns nil if the leader was not found.
func (r *Router) tryLeader(ctx context.Context, req *Request) *Response {
	st := r.Group.Status()
	if st.Leader == r.Self {
		resp := r.lead(ctx, req)
		if resp.NotLeader && !req.LeaderOnly {
			return nil
		}
		return resp
	}
	if req.LeaderOnly {
		return &Response{NotLeader: true}
	}
	if st.Leader == "" {
		return nil
	}
	fwd := *req
	fwd.LeaderOnly = true
	resp, err := r.call(ctx, st.Leader, &fwd)
	if err != nil || resp.NotLeader {
		return nil
	}
	return resp
}

// lead carries out a request as the zone's leader.
func (r *Router) lead(ctx context.Context, req *Request) *Response {
	cmd := &jobs.Command{At: time.Now().UTC(), ID: req.ID}
	switch req.Op {
	case OpSubmit:
		cmd.Kind = jobs.KindSubmit
		cmd.Spec = req.Spec
		cmd.Submission = req.Submission
		if !req.Spec.Repeatable {
			return r.submitOnce(ctx, cmd)
		}
	case OpCancel:
		cmd.Kind = jobs.KindCancel
	case OpReport:
		return r.report(ctx, req.Report)
	default:
		return &Response{Refusal: model.Refuse(model.ReasonInvalid, "operation %q is not known", req.Op)}
	}
	return r.propose(ctx, cmd)
}

// submitOnce accepts a not-repeatable job. Its record must survive the loss of
// every process of the zone, or a resend could run it a second time.
func (r *Router) submitOnce(ctx context.Context, cmd *jobs.Command) *Response {
	if r.Machine.Get(cmd.ID) == nil && !r.Group.Status().Durable {
		// Nothing was proposed, but a leader that was deposed without knowing may
		// lack the record of an earlier request, so not_run is not claimed.
		return &Response{Refusal: notDurable(r.Zone)}
	}
	resp := r.propose(ctx, cmd)
	if resp.Job == nil || resp.Refusal != nil {
		return resp
	}
	ctx, cancel := context.WithTimeout(ctx, durableTimeout)
	defer cancel()
	if err := r.Group.WaitDurable(ctx); err != nil {
		return &Response{Refusal: notDurable(r.Zone).With(model.Unknown)}
	}
	return resp
}

// notDurable refuses a not-repeatable job.
func notDurable(zone string) *model.Refusal {
	return model.Refuse(model.ReasonNoDurableReplica,
		"no replica with a disk keeps up in availability zone %q", zone).After(retryAfter)
}

func (r *Router) report(ctx context.Context, rep *workerapi.Report) *Response {
	if rep.Usage != nil && r.Usage != nil {
		r.Usage(rep.Job, rep.Fence, rep.Usage.MemoryMiB)
	}
	if rep.Result == nil {
		return &Response{}
	}
	cmd := &jobs.Command{
		Kind: jobs.KindTaskResult, At: time.Now().UTC(),
		ID: rep.Job, Fence: rep.Fence, Result: rep.Result,
	}
	resp := r.propose(ctx, cmd)
	if resp.Refusal != nil && obsolete(resp.Refusal.Reason) {
		telemetry.Refused(resp.Refusal.Reason)
		return &Response{}
	}
	return resp
}

// obsolete reports whether a report concerns an attempt that has ended or a job
// that has expired. Such a report is acknowledged, or the worker would send it
// for ever.
func obsolete(reason model.Reason) bool {
	return reason == model.ReasonStaleFence || reason == model.ReasonNotFound
}

func (r *Router) propose(ctx context.Context, cmd *jobs.Command) *Response {
	entry, err := cmd.Encode()
	if err != nil {
		return &Response{Refusal: model.Refuse(model.ReasonInternal, "%v", err)}
	}
	out, err := r.Group.Propose(ctx, entry)
	var nl *replica.NotLeaderError
	var np *replica.NotProposedError
	if errors.As(err, &nl) || errors.As(err, &np) {
		return &Response{NotLeader: true} // the entry will never be applied
	}
	if err != nil {
		return &Response{Refusal: model.Refuse(model.ReasonOutcomeUnknown, "%v", err).
			After(retryAfter).With(model.Unknown)}
	}
	res, ok := out.(*jobs.Result)
	if !ok {
		return &Response{Refusal: model.Refuse(model.ReasonInternal, "unexpected result %T", out)}
	}
	return &Response{Job: res.Job, Refusal: res.Refusal, Existing: res.Existing}
}

// get answers from the local replica. A record that is not there or not final
// is read again after everything committed has been applied.
func (r *Router) get(ctx context.Context, req *Request) *Response {
	j := r.Machine.Get(req.ID)
	if j == nil {
		if err := r.Group.ReadIndex(ctx); err != nil {
			return &Response{Refusal: model.Refuse(model.ReasonNoLeader, "%v", err).
				After(retryAfter).With(model.Unknown)}
		}
		j = r.Machine.Get(req.ID)
	}
	if j == nil {
		return &Response{Refusal: model.Refuse(model.ReasonNotFound, "job %q is not known", req.ID)}
	}
	if req.WaitMillis > 0 && !j.State.Final() {
		final, stop := r.Machine.WatchFinal(req.ID)
		defer stop()
		select {
		case <-final:
		case <-time.After(time.Duration(req.WaitMillis) * time.Millisecond):
		case <-ctx.Done():
		}
		if latest := r.Machine.Get(req.ID); latest != nil {
			j = latest
		}
	}
	return &Response{Job: j}
}
