// Package routing routes each request to an instance that can answer it: the leader
// of the job's owner zone, or for reads any instance of that zone. The operations
// themselves are in jobs.go, config.go and view.go.
package routing

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

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

// Request is a request to a zone. Exactly one of its operations is set. The CBOR
// keys 1 to 4, 6, 9 and 10 were used by earlier versions.
type Request struct {
	Submit  *Submit           `cbor:"11,keyasint,omitempty"`
	Cancel  *Cancel           `cbor:"12,keyasint,omitempty"`
	Get     *Get              `cbor:"13,keyasint,omitempty"`
	List    *List             `cbor:"14,keyasint,omitempty"`
	Report  *workerapi.Report `cbor:"5,keyasint,omitempty"`
	View    *View             `cbor:"15,keyasint,omitempty"`
	Publish *config.Publish   `cbor:"8,keyasint,omitempty"`
	// Accepted requests the configuration that the configuration group has accepted.
	Accepted *struct{} `cbor:"16,keyasint,omitempty"`
	History  *History  `cbor:"17,keyasint,omitempty"`

	// LeaderOnly is set on a request that was forwarded within its zone. It prevents
	// a forwarding loop between instances that disagree about the leader.
	LeaderOnly bool `cbor:"7,keyasint,omitempty"`
}

// job returns the ID of the job that the request concerns, or "".
func (r *Request) job() model.JobID {
	switch {
	case r.Submit != nil:
		return r.Submit.ID
	case r.Cancel != nil:
		return r.Cancel.ID
	case r.Get != nil:
		return r.Get.ID
	case r.Report != nil:
		return r.Report.Job
	default:
		return ""
	}
}

// maxWait returns how long the answering instance may hold the request.
func (r *Request) maxWait() time.Duration {
	if r.Get == nil {
		return 0
	}
	return time.Duration(r.Get.WaitMillis) * time.Millisecond
}

// Response is the answer to a request.
type Response struct {
	Job     *model.Job     `cbor:"1,keyasint,omitempty"`
	Jobs    []*model.Job   `cbor:"2,keyasint,omitempty"`
	Refusal *model.Refusal `cbor:"3,keyasint,omitempty"`
	// Existing is set if Job or Record belongs to an earlier request with the same key.
	Existing bool `cbor:"4,keyasint,omitempty"`
	// NotLeader is set if the request needs the leader and the answering instance is
	// not the leader, or if it needs a configuration voter and the instance is not one.
	NotLeader bool `cbor:"5,keyasint,omitempty"`
	// Leader is the leader known to the instance if NotLeader was set by a voter of
	// the configuration group.
	Leader string `cbor:"6,keyasint,omitempty"`
	// The answers to the operations of the same name; Record answers Publish.
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
	leaderTimeout  = 3 * time.Second        // wait for a leader; longer than an election
	retryPause     = 100 * time.Millisecond // between two attempts
	retryAfter     = 2 * time.Second        // retry delay suggested to callers
)

// Router routes the requests that arrive at one instance.
type Router struct {
	Self    string                     // this instance's name
	Zone    string                     // this instance's availability zone
	Zones   []string                   // all availability zones
	InZone  func(zone string) []string // returns the names of a zone's instances
	Peers   link.Peers
	Group   replica.Group // the zone's group
	Machine *jobs.Machine // the zone's state
	// Config is the configuration group as seen from this instance.
	Config ConfigGroup
	// View returns this instance's view of its own zone.
	View func(Part) *view.Zone
	Log  logr.Logger
	// Usage handles usage reports on the leader; nil drops them.
	Usage func(id model.JobID, fence uint64, memoryMiB int)

	mu           sync.Mutex // guards healthByZone
	healthByZone map[string]*zoneHealth
}

// Register installs the handler for requests from other instances.
func (r *Router) Register() {
	r.Peers.Handle(link.KindRequest, func(ctx context.Context, _ string, body []byte) ([]byte, error) {
		var req Request
		if err := codec.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		return codec.Marshal(r.executeInOwnZone(ctx, &req))
	})
}

// Do executes a request in a zone. The error is a *model.Refusal.
func (r *Router) Do(ctx context.Context, zone string, req *Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+req.maxWait())
	defer cancel()
	var resp *Response
	if zone == r.Zone {
		resp = r.executeInOwnZone(ctx, req)
	} else {
		resp = r.callZone(ctx, zone, req)
	}
	if resp.Refusal != nil {
		telemetry.CountRefusal(resp.Refusal.Reason)
		return nil, resp.Refusal
	}
	return resp, nil
}

// executeInOwnZone executes a request in this instance's own zone, here or on the
// zone's leader.
func (r *Router) executeInOwnZone(ctx context.Context, req *Request) *Response {
	switch {
	case req.Publish != nil, req.Accepted != nil, req.History != nil:
		return r.configLocal(ctx, req)
	case req.View != nil:
		return r.view(ctx, req)
	case req.Get != nil:
		return r.get(ctx, req.Get)
	case req.List != nil:
		return &Response{Jobs: r.Machine.ByCustomer(req.List.Customer)}
	}
	deadline := time.Now().Add(leaderTimeout)
	for {
		resp := r.tryLeader(ctx, req)
		if resp != nil {
			return resp
		}
		telemetry.CountRetry(model.ReasonNoLeader)
		if time.Now().After(deadline) || !retry.Sleep(ctx, retryPause) {
			return &Response{Refusal: model.Refuse(model.ReasonNoLeader,
				"availability zone %q has no leader", r.Zone).WithRetryAfter(retryAfter).WithState(model.Unknown)}
		}
	}
}

// tryLeader executes the request as the zone's leader or forwards it to the leader.
// It returns nil if there is no known leader or the leader did not answer.
func (r *Router) tryLeader(ctx context.Context, req *Request) *Response {
	st := r.Group.Status()
	if st.Leader == r.Self {
		resp := r.executeAsLeader(ctx, req)
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
