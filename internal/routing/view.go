package routing

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/view"
)

// View requests a part of a zone's view.
type View struct {
	Part Part `cbor:"1,keyasint"`
}

// Part is a part of a zone's view.
type Part string

// Parts of a zone's view.
const (
	PartWorkers       Part = "workers"
	PartCustomers     Part = "customers"
	PartFragmentation Part = "fragmentation"
	PartStatus        Part = "status"
)

// allZonesTimeout bounds a request to all zones, so that one unreachable zone delays the
// answers of the others only a little.
const allZonesTimeout = 3 * time.Second

// leaderViewTimeout bounds the request for the leader's view; after it, the instance
// answers with its own view.
const leaderViewTimeout = time.Second

// ZoneResponse is one zone's answer. Exactly one of Response and Refusal is set.
type ZoneResponse struct {
	Zone     string
	Response *Response
	Refusal  *model.Refusal
}

// DoAllZones sends the request to all zones concurrently and returns their answers in the
// order of Zones. A zone that cannot be reached in time has a refusal.
func (r *Router) DoAllZones(ctx context.Context, req *Request) []ZoneResponse {
	ctx, cancel := context.WithTimeout(ctx, allZonesTimeout)
	defer cancel()
	out := make([]ZoneResponse, len(r.Zones))
	var wg sync.WaitGroup
	for i, zone := range r.Zones {
		wg.Go(func() {
			q := *req
			resp, err := r.Do(ctx, zone, &q)
			out[i] = ZoneResponse{Zone: zone, Response: resp}
			if err != nil && !errors.As(err, &out[i].Refusal) {
				out[i].Refusal = model.Refuse(model.ReasonInternal, "%v", err)
			}
		})
	}
	wg.Wait()
	return out
}

// Views requests a part of the view from all zones. The entry of a zone that cannot be
// reached has Error set.
func (r *Router) Views(ctx context.Context, part Part) []view.Zone {
	var out []view.Zone
	for _, a := range r.DoAllZones(ctx, &Request{View: &View{Part: part}}) {
		switch {
		case a.Refusal != nil:
			out = append(out, view.Zone{
				AvailabilityZone: a.Zone, Error: &view.Unreachable{Code: a.Refusal.Reason, Detail: a.Refusal.Detail},
			})
		case a.Response.View == nil:
			telemetry.CountRefusal(model.ReasonInternal)
			out = append(out, view.Zone{
				AvailabilityZone: a.Zone, Error: &view.Unreachable{Code: model.ReasonInternal, Detail: "empty answer"},
			})
		default:
			out = append(out, *a.Response.View)
		}
	}
	return out
}

// view returns the zone's view from its leader, whose copy of the soft state is
// authoritative, or from this instance if the leader does not answer.
func (r *Router) view(ctx context.Context, req *Request) *Response {
	leader := r.Group.Status().Leader
	if leader != "" && leader != r.Self && !req.LeaderOnly {
		fwd := *req
		fwd.LeaderOnly = true
		leaderCtx, cancel := context.WithTimeout(ctx, leaderViewTimeout)
		defer cancel()
		if resp, err := r.call(leaderCtx, leader, &fwd); err == nil && resp.View != nil {
			return resp
		}
	}
	return &Response{View: r.View(req.View.Part)}
}
