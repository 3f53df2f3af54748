package routing

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Submit requests that the owner zone's leader accept a job.
type Submit struct {
	ID   model.JobID    `cbor:"1,keyasint"`
	Spec *model.JobSpec `cbor:"2,keyasint"`
	// Submission identifies this submission, or is 0; see jobs.Command.
	Submission uint64 `cbor:"3,keyasint,omitempty"`
}

// Cancel requests that the owner zone's leader cancel a job.
type Cancel struct {
	ID model.JobID `cbor:"1,keyasint"`
}

// Get requests a job's record from any instance of the owner zone.
type Get struct {
	ID model.JobID `cbor:"1,keyasint"`
	// WaitMillis is how long to wait for a final state, in milliseconds.
	WaitMillis int64 `cbor:"2,keyasint,omitempty"`
}

// List requests a customer's jobs in a zone from any instance of the zone. An empty
// Customer requests all jobs.
type List struct {
	Customer string `cbor:"1,keyasint,omitempty"`
}

// Submit submits a job to its owner zone, or returns the record of an earlier
// request with the same customer and key. The error is a *model.Refusal.
func (r *Router) Submit(ctx context.Context, spec *model.JobSpec) (*Response, error) {
	zone := model.OwnerZone(r.Zones, spec.Customer, spec.Key)
	id := model.NewJobID(zone, spec.Customer, spec.Key)
	resp, err := r.Do(ctx, zone, &Request{Submit: &Submit{ID: id, Spec: spec, Submission: rand.Uint64() | 1}})
	var ref *model.Refusal
	ownerUnreachable := errors.As(err, &ref) && ref.Reason == model.ReasonOwnerUnreachable
	if ownerUnreachable && spec.Repeatable && zone != r.Zone && ctx.Err() == nil {
		// A repeatable job may run twice without harm, so this zone accepts it instead.
		// It does not if the caller has gone: the owner zone may then be reachable.
		telemetry.CountRetry(model.ReasonOwnerUnreachable)
		id = model.NewJobID(r.Zone, spec.Customer, spec.Key)
		return r.Do(ctx, r.Zone, &Request{Submit: &Submit{ID: id, Spec: spec}})
	}
	return resp, err
}

// Report handles a worker's report. Memory usage of a job of this zone is dropped
// here if it is within the job's declaration or this instance has no record of the
// job: forwarding it from every task to the leader would cost more than all other
// messages together. The error is a *model.Refusal.
func (r *Router) Report(ctx context.Context, rep *workerapi.Report) error {
	if rep.Result == nil && rep.Job.Zone() == r.Zone {
		j := r.Machine.Get(rep.Job)
		if j == nil || rep.Usage == nil || rep.Usage.MemoryMiB <= j.Spec.MemoryMiB {
			return nil
		}
	}
	_, err := r.Do(ctx, rep.Job.Zone(), &Request{Report: rep})
	return err
}

// executeAsLeader executes a request as the zone's leader.
func (r *Router) executeAsLeader(ctx context.Context, req *Request) *Response {
	switch {
	case req.Submit != nil && req.Submit.Spec != nil:
		return r.submit(ctx, req.Submit)
	case req.Cancel != nil:
		return r.propose(ctx, &jobs.Command{Kind: jobs.KindCancel, At: time.Now().UTC(), ID: req.Cancel.ID})
	case req.Report != nil:
		return r.report(ctx, req.Report)
	default:
		return &Response{Refusal: model.Refuse(model.ReasonInvalid, "the request has no operation that this instance knows")}
	}
}

func (r *Router) submit(ctx context.Context, s *Submit) *Response {
	cmd := &jobs.Command{Kind: jobs.KindSubmit, At: time.Now().UTC(), ID: s.ID, Spec: s.Spec, Submission: s.Submission}
	if !s.Spec.Repeatable {
		return r.submitNonRepeatable(ctx, cmd)
	}
	return r.propose(ctx, cmd)
}

// submitNonRepeatable accepts a job that is not repeatable. Its record must survive
// the loss of every process of the zone; otherwise a resend could run it a second
// time.
func (r *Router) submitNonRepeatable(ctx context.Context, cmd *jobs.Command) *Response {
	if r.Machine.Get(cmd.ID) == nil && !r.Group.Status().Durable {
		// Nothing was proposed, but a deposed leader that has not yet noticed may lack
		// the record of an earlier request, so the refusal does not claim not_run.
		return &Response{Refusal: noDurableReplica(r.Zone)}
	}
	resp := r.propose(ctx, cmd)
	if resp.Job == nil || resp.Refusal != nil {
		return resp
	}
	ctx, cancel := context.WithTimeout(ctx, durableTimeout)
	defer cancel()
	if err := r.Group.WaitDurable(ctx); err != nil {
		return &Response{Refusal: noDurableReplica(r.Zone).WithState(model.Unknown)}
	}
	return resp
}

// noDurableReplica returns the refusal of a job that is not repeatable while no
// replica with a disk is up to date.
func noDurableReplica(zone string) *model.Refusal {
	return model.Refuse(model.ReasonNoDurableReplica,
		"no replica with a disk is up to date in availability zone %q", zone).WithRetryAfter(retryAfter)
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
	if resp.Refusal != nil && isObsoleteReport(resp.Refusal.Reason) {
		telemetry.CountRefusal(resp.Refusal.Reason)
		return &Response{}
	}
	return resp
}

// isObsoleteReport reports whether a report was refused because its attempt has
// ended or its job has expired. Such a report is acknowledged; otherwise the worker
// would resend it forever.
func isObsoleteReport(reason model.Reason) bool {
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
		return &Response{NotLeader: true} // the entry was not and will not be applied
	}
	if err != nil {
		return &Response{Refusal: model.Refuse(model.ReasonOutcomeUnknown, "%v", err).
			WithRetryAfter(retryAfter).WithState(model.Unknown)}
	}
	res, ok := out.(*jobs.Result)
	if !ok {
		return &Response{Refusal: model.Refuse(model.ReasonInternal, "unexpected result %T", out)}
	}
	return &Response{Job: res.Job, Refusal: res.Refusal, Existing: res.Existing}
}

// get answers from the local replica. If the record is missing, get reads it again
// after all committed entries have been applied; if it is not final, get waits for
// the final state for up to WaitMillis.
func (r *Router) get(ctx context.Context, req *Get) *Response {
	j := r.Machine.Get(req.ID)
	if j == nil {
		if err := r.Group.ReadIndex(ctx); err != nil {
			return &Response{Refusal: model.Refuse(model.ReasonNoLeader, "%v", err).
				WithRetryAfter(retryAfter).WithState(model.Unknown)}
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
