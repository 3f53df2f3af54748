package routing

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Limits on retries to another zone.
const (
	retryRatio  = 0.2 // retries per request
	retryBurst  = 20
	baseBackoff = 50 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
	// retryWindow is the time after which there is no further round of calls: the
	// zone's instances did not answer, and the caller gets the refusal immediately.
	retryWindow = time.Second
	// failFastPeriod is how long a zone counts as unreachable after all of its
	// instances failed. Requests in this period are refused without a call.
	failFastPeriod = time.Second
)

// zoneHealth is what this instance knows about the reachability of another zone.
type zoneHealth struct {
	budget *retry.Budget

	mu        sync.Mutex // guards downUntil
	downUntil time.Time
}

func newZoneHealth() *zoneHealth {
	return &zoneHealth{budget: retry.NewBudget(retryRatio, retryBurst)}
}

func (z *zoneHealth) isDown(now time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return now.Before(z.downUntil)
}

func (z *zoneHealth) setDown(until time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.downUntil = until
}

// health returns the health entry of a zone and creates it on first use.
func (r *Router) health(zone string) *zoneHealth {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healthByZone == nil {
		r.healthByZone = map[string]*zoneHealth{}
	}
	h := r.healthByZone[zone]
	if h == nil {
		h = newZoneHealth()
		r.healthByZone[zone] = h
	}
	return h
}

// callZone sends a request to the instances of another zone, with retries. The same
// request may be sent several times, because every operation is idempotent.
func (r *Router) callZone(ctx context.Context, zone string, req *Request) *Response {
	h := r.health(zone)
	if h.isDown(time.Now()) {
		return unreachableResponse(zone)
	}
	h.budget.AddRequest()
	start := time.Now()
	for round := 0; ; round++ {
		if resp := r.callAnyInstance(ctx, zone, req, h.budget); resp != nil {
			h.setDown(time.Time{})
			return resp
		}
		if round+1 >= maxRounds || ctx.Err() != nil || time.Since(start) > retryWindow || !h.budget.Allow() ||
			!retry.Sleep(ctx, retry.Backoff(round, baseBackoff, maxBackoff)) {
			break
		}
		telemetry.CountRetry(model.ReasonOwnerUnreachable)
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		// A request that its caller cancelled says nothing about the zone's health.
		h.setDown(time.Now().Add(failFastPeriod))
	}
	return unreachableResponse(zone)
}

// maxRounds is the maximum number of rounds over the instances of a zone.
const maxRounds = 2

// unreachableResponse returns the answer for a zone that cannot be reached. An earlier
// request with the same key may have run, so the job's state is unknown.
func unreachableResponse(zone string) *Response {
	return &Response{Refusal: model.Refuse(model.ReasonOwnerUnreachable,
		"availability zone %q cannot be reached", zone).WithRetryAfter(retryAfter).WithState(model.Unknown)}
}

// hedgeDelay is the time without an answer after which the request is also sent to
// the next instance of the zone. Without hedging, three silent instances called one
// after the other kept a caller waiting for 4.8 s.
const hedgeDelay = 300 * time.Millisecond

// callAnyInstance returns the first conclusive answer of a zone's instances, or nil.
// The next instance is called when one has failed or has not answered within
// hedgeDelay plus the request's own wait. Every operation is idempotent, so several
// instances may execute the request. The retry budget bounds the extra load when a
// whole zone is slow.
func (r *Router) callAnyInstance(ctx context.Context, zone string, req *Request, budget *retry.Budget) *Response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	names := r.InZone(zone)
	answers := make(chan *Response, len(names))
	started, inFlight := 0, 0
	startNext := func() {
		if started < len(names) {
			to := names[started]
			started++
			inFlight++
			go func() { answers <- r.tryInstance(ctx, to, req) }()
		}
	}
	startNext()
	hedgeAfter := hedgeDelay + req.maxWait()
	for {
		hedge := time.NewTimer(hedgeAfter)
		select {
		case resp := <-answers:
			hedge.Stop()
			inFlight--
			if resp != nil || (inFlight == 0 && started == len(names)) {
				return resp
			}
			startNext()
		case <-hedge.C:
			if started < len(names) && budget.Allow() {
				telemetry.CountRetry(model.ReasonTimeout)
				startNext()
			}
		}
	}
}

// tryInstance calls one instance. It returns nil if the instance did not answer or
// found no leader.
func (r *Router) tryInstance(ctx context.Context, to string, req *Request) *Response {
	resp, err := r.call(ctx, to, req)
	if err == nil && !noLeader(resp) {
		return resp
	}
	if err != nil && ctx.Err() == nil {
		r.Log.V(1).Info("request failed", "to", to, "job", req.job(), "error", err.Error())
	}
	return nil
}

// noLeader reports whether the instance found no leader; another instance of the
// zone may find one.
func noLeader(resp *Response) bool {
	return resp.NotLeader || (resp.Refusal != nil && resp.Refusal.Reason == model.ReasonNoLeader)
}

// call sends a request to one instance.
func (r *Router) call(ctx context.Context, to string, req *Request) (*Response, error) {
	body, err := codec.Marshal(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+req.maxWait())
	defer cancel()
	out, err := r.Peers.Call(ctx, to, link.KindRequest, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var resp Response
	return &resp, codec.Unmarshal(out, &resp)
}
