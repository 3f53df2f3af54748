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
	retryRatio = 0.2 // retries per request
	retryBurst = 20
	backoff    = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// giveUp is the time after which a zone is not asked in another round: the
	// instances were silent, and the caller is told at once.
	giveUp = time.Second
	// failFast is how long a zone counts as unreachable after every one of its
	// instances failed: requests in this time are answered at once.
	failFast = time.Second
)

// zoneHealth is what this instance knows of its way to another zone.
type zoneHealth struct {
	budget *retry.Budget

	mu        sync.Mutex // guards downUntil
	downUntil time.Time
}

func newZoneHealth() *zoneHealth {
	return &zoneHealth{budget: retry.NewBudget(retryRatio, retryBurst)}
}

func (z *zoneHealth) down(now time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return now.Before(z.downUntil)
}

func (z *zoneHealth) setDown(until time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.downUntil = until
}

// health returns the entry of a zone, making it at first use.
func (r *Router) health(zone string) *zoneHealth {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.zones == nil {
		r.zones = map[string]*zoneHealth{}
	}
	h := r.zones[zone]
	if h == nil {
		h = newZoneHealth()
		r.zones[zone] = h
	}
	return h
}

// remote sends a request to the instances of another zone in turn. The same
// request may be sent several times: every operation is idempotent.
func (r *Router) remote(ctx context.Context, zone string, req *Request) *Response {
	h := r.health(zone)
	if h.down(time.Now()) {
		return unreachable(zone)
	}
	h.budget.Request()
	begun := time.Now()
	for try := 0; ; try++ {
		if resp := r.anyInstance(ctx, zone, req, h.budget); resp != nil {
			h.setDown(time.Time{})
			return resp
		}
		if ctx.Err() != nil || time.Since(begun) > giveUp || !h.budget.Allow() || !retry.Sleep(ctx, retry.Backoff(try, backoff, maxBackoff)) {
			break
		}
		telemetry.Retried(model.ReasonOwnerUnreachable)
		if try+1 >= maxTries {
			break
		}
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		// A caller that gave up says nothing about the zone.
		h.setDown(time.Now().Add(failFast))
	}
	return unreachable(zone)
}

// maxTries is how often the instances of a zone are asked in turn.
const maxTries = 2

// unreachable is the answer when a zone cannot be reached. An earlier request
// with the same key may have run, so nothing better than unknown is certain.
func unreachable(zone string) *Response {
	return &Response{Refusal: model.Refuse(model.ReasonOwnerUnreachable,
		"availability zone %q cannot be reached", zone).After(retryAfter).With(model.Unknown)}
}

// hedgeDelay is the time without an answer after which the next instance of a
// zone is asked as well. One after the other, three silent instances kept a
// caller waiting for 4.8 s.
const hedgeDelay = 300 * time.Millisecond

// anyInstance returns the first answer of a zone's instances, or nil. The next
// instance is asked when one has failed or has been silent for a while; every
// operation is idempotent, so several may carry it out. The retry budget bounds
// the extra load when a whole zone is slow.
func (r *Router) anyInstance(ctx context.Context, zone string, req *Request, budget *retry.Budget) *Response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	names := r.InZone(zone)
	answers := make(chan *Response, len(names))
	asked, open := 0, 0
	ask := func() {
		if asked < len(names) {
			to := names[asked]
			asked++
			open++
			go func() { answers <- r.conclusive(ctx, to, req) }()
		}
	}
	ask()
	patience := hedgeDelay + req.wait()
	for {
		hedge := time.NewTimer(patience)
		select {
		case resp := <-answers:
			hedge.Stop()
			open--
			if resp != nil || (open == 0 && asked == len(names)) {
				return resp
			}
			ask()
		case <-hedge.C:
			if asked < len(names) && budget.Allow() {
				telemetry.Retried(model.ReasonTimeout)
				ask()
			}
		}
	}
}

// conclusive asks one instance. It returns nil if it gave no answer or found no
// leader.
func (r *Router) conclusive(ctx context.Context, to string, req *Request) *Response {
	resp, err := r.call(ctx, to, req)
	if err == nil && !noLeader(resp) {
		return resp
	}
	if err != nil && ctx.Err() == nil {
		r.Log.V(1).Info("request failed", "to", to, "job", req.job(), "error", err.Error())
	}
	return nil
}

// noLeader reports whether the instance answered only that it found no leader;
// another instance of the zone may.
func noLeader(resp *Response) bool {
	return resp.NotLeader || (resp.Refusal != nil && resp.Refusal.Reason == model.ReasonNoLeader)
}

// call sends a request to one instance.
func (r *Router) call(ctx context.Context, to string, req *Request) (*Response, error) {
	body, err := codec.Marshal(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+req.wait())
	defer cancel()
	out, err := r.Peers.Call(ctx, to, link.KindRequest, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var resp Response
	return &resp, codec.Unmarshal(out, &resp)
}
