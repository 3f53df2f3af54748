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

// Submit asks the owner zone's leader to accept a job.
type Submit struct {
	ID   model.JobID    `cbor:"1,keyasint"`
	Spec *model.JobSpec `cbor:"2,keyasint"`
	// Submission is the number of this submission, or 0; see jobs.Command.
	Submission uint64 `cbor:"3,keyasint,omitempty"`
}

// Cancel asks the owner zone's leader to cancel a job.
type Cancel struct {
	ID model.JobID `cbor:"1,keyasint"`
}

// Get asks any instance of the owner zone for a job.
type Get struct {
	ID model.JobID `cbor:"1,keyasint"`
	// WaitMillis is how long to wait for a final state, ms.
	WaitMillis int64 `cbor:"2,keyasint,omitempty"`
}

// List asks any instance of a zone for a customer's jobs there, or with "" for all.
type List struct {
	Customer string `cbor:"1,keyasint,omitempty"`
}

// Submit accepts a job or returns the record of an earlier request with the
// same identity. The error is a *model.Refusal.
func (r *Router) Submit(ctx context.Context, spec *model.JobSpec) (*Response, error) {
	zone := model.OwnerZone(r.Zones, spec.Customer, spec.Key)
	id := model.NewJobID(zone, spec.Customer, spec.Key)
	resp, err := r.Do(ctx, zone, &Request{Submit: &Submit{ID: id, Spec: spec, Submission: rand.Uint64() | 1}})
	var ref *model.Refusal
	lost := errors.As(err, &ref) && ref.Reason == model.ReasonOwnerUnreachable
	if lost && spec.Repeatable && zone != r.Zone && ctx.Err() == nil {
		// A repeatable job may run twice without harm, so this zone takes it. If the
		// caller has gone, the owner may well be reachable.
		telemetry.Retried(model.ReasonOwnerUnreachable)
		id = model.NewJobID(r.Zone, spec.Customer, spec.Key)
		return r.Do(ctx, r.Zone, &Request{Submit: &Submit{ID: id, Spec: spec}})
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
	_, err := r.Do(ctx, rep.Job.Zone(), &Request{Report: rep})
	return err
}

// lead carries out a request as the zone's leader.
func (r *Router) lead(ctx context.Context, req *Request) *Response {
	switch {
	case req.Submit != nil && req.Submit.Spec != nil:
		return r.submit(ctx, req.Submit)
	case req.Cancel != nil:
		return r.propose(ctx, &jobs.Command{Kind: jobs.KindCancel, At: time.Now().UTC(), ID: req.Cancel.ID})
	case req.Report != nil:
		return r.report(ctx, req.Report)
	default:
		return &Response{Refusal: model.Refuse(model.ReasonInvalid, "a request without an operation that is known here")}
	}
}

func (r *Router) submit(ctx context.Context, s *Submit) *Response {
	cmd := &jobs.Command{Kind: jobs.KindSubmit, At: time.Now().UTC(), ID: s.ID, Spec: s.Spec, Submission: s.Submission}
	if !s.Spec.Repeatable {
		return r.submitOnce(ctx, cmd)
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
func (r *Router) get(ctx context.Context, req *Get) *Response {
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
