package httpapi

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/region"
)

// RegionZone is the operators' view of an availability zone of a region.
type RegionZone struct {
	Name     string `json:"name"`
	Cordoned bool   `json:"cordoned"`
	// Generation counts the changes of Cordoned.
	Generation uint64     `json:"generation"`
	Since      *time.Time `json:"since,omitempty"` // when Cordoned last changed
	By         string     `json:"by,omitempty"`    // who asked for that change
	Workers    int        `json:"workers"`
	Runs       int        `json:"runs"` // active runs on the zone's workers
}

func newRegionZone(z *region.ZoneView) RegionZone {
	out := RegionZone{
		Name: z.Name, Cordoned: z.State.Cordoned, Generation: z.State.Generation, By: z.State.By, Workers: z.Workers, Runs: z.Runs,
	}
	if z.State.Generation > 0 {
		since := time.UnixMilli(z.State.SinceMS).UTC()
		out.Since = &since
	}
	return out
}

func (a *RegionAPI) listZones(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), leaderTimeout)
	defer cancel()
	rep, err := a.Router.Zones(ctx, "")
	if !a.okOrRefuse(w, r, rep, err) {
		return
	}
	out := make([]RegionZone, 0, len(rep.Zones))
	for i := range rep.Zones {
		out = append(out, newRegionZone(&rep.Zones[i]))
	}
	writeJSON(w, http.StatusOK, out)
}

// setCordon returns a handler that cordons or uncordons a zone and answers with the zone
// once the change is committed.
func (a *RegionAPI) setCordon(cordon bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			refuse(w, model.Refuse(model.ReasonInvalid, "the request must have no body"))
			return
		}
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			host = r.RemoteAddr
		}
		// The request's context ends when the operator disconnects.
		ctx, cancel := context.WithTimeout(r.Context(), leaderTimeout)
		defer cancel()
		rep, err := a.Router.SetCordon(ctx, chi.URLParam(r, "zone"), cordon, host)
		if !a.okOrRefuse(w, r, rep, err) {
			return
		}
		writeJSON(w, http.StatusOK, newRegionZone(&rep.Zones[0]))
	}
}
