package httpapi

import (
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/routing"
	"teaselpaddle.example/teaselpaddle/internal/view"
)

// Bounds on the number of records in one history response.
const (
	defaultHistory = 50
	maxHistory     = 2048
)

// Published is the response to an accepted publish request.
type Published struct {
	config.Record
	// Again is set if an earlier request with the same publish key was accepted.
	Again bool `json:"again"`
}

// ZoneViews is a response that holds one view for each availability zone.
type ZoneViews struct {
	Instance string      `json:"instance"`
	Zones    []view.Zone `json:"zones"`
	// Partial is set if a zone could not be reached; its view has the error.
	Partial bool `json:"partial"`
}

// JobList is the response to a request for the list of jobs.
type JobList struct {
	Jobs    []*Job `json:"jobs"`
	Partial bool   `json:"partial"`
	// Unreachable holds the zones whose jobs are missing.
	Unreachable []view.Zone `json:"unreachable,omitempty"`
}

// operatorRoutes adds the routes for operators.
func (a *API) operatorRoutes(r chi.Router) {
	r.Put("/v1/config", a.publish)
	r.Get("/v1/config", a.getConfig)
	r.Get("/v1/config/history", a.getConfigHistory)
	r.Get("/v1/workers", a.getZoneViews(routing.PartWorkers))
	r.Get("/v1/customers", a.getZoneViews(routing.PartCustomers))
	r.Get("/v1/fragmentation", a.getZoneViews(routing.PartFragmentation))
	r.Get("/v1/status", a.getZoneViews(routing.PartStatus))
}

func (a *API) publish(w http.ResponseWriter, r *http.Request) {
	var p config.Publish
	end, err := decode(w, r, &p)
	if err != nil {
		writeError(w, err)
		return
	}
	defer end()
	resp, err := a.Router.Publish(r.Context(), &p)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, &Published{Record: *resp.Record, Again: resp.Existing})
}

// getConfig answers with the configuration in force in this instance's zone. With
// source=accepted it answers with the one that the configuration group has
// accepted.
func (a *API) getConfig(w http.ResponseWriter, r *http.Request) {
	cfg := a.Router.Machine.Config()
	switch source := r.URL.Query().Get("source"); source {
	case "", "zone":
		if !a.Ready() {
			// After a restart, the replica may hold an older version than before the
			// restart.
			refuse(w, model.Refuse(model.ReasonStopping, "this instance has not caught up or is stopping"))
			return
		}
	case "accepted":
		var err error
		if cfg, err = a.Router.Accepted(r.Context()); err != nil {
			writeError(w, err)
			return
		}
	default:
		refuse(w, model.RefuseField("source", "must be %q or %q", "zone", "accepted"))
		return
	}
	if cfg == nil {
		refuse(w, model.Refuse(model.ReasonNoConfiguration, "no configuration was accepted yet"))
		return
	}
	writeJSON(w, http.StatusOK, cfg)
}

func (a *API) getConfigHistory(w http.ResponseWriter, r *http.Request) {
	limit := defaultHistory
	if s := r.URL.Query().Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxHistory {
			refuse(w, model.RefuseField("limit", "must be a whole number from 1 to %d", maxHistory))
			return
		}
		limit = n
	}
	records, err := a.Router.History(r.Context(), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	if records == nil {
		records = []config.Record{}
	}
	writeJSON(w, http.StatusOK, records)
}

// getZoneViews returns a handler that answers with the views of all zones.
func (a *API) getZoneViews(part routing.Part) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out := &ZoneViews{Instance: a.Router.Self, Zones: a.Router.Views(r.Context(), part)}
		for i := range out.Zones {
			out.Partial = out.Partial || out.Zones[i].Error != nil
		}
		writeJSON(w, http.StatusOK, out)
	}
}

// listJobs answers with the jobs of all reachable zones.
func (a *API) listJobs(w http.ResponseWriter, r *http.Request) {
	out := &JobList{Jobs: []*Job{}}
	req := &routing.Request{List: &routing.List{Customer: r.URL.Query().Get("customer")}}
	for _, z := range a.Router.DoAllZones(r.Context(), req) {
		if z.Refusal == nil {
			for _, j := range z.Response.Jobs {
				out.Jobs = append(out.Jobs, jobSummary(j))
			}
			continue
		}
		out.Partial = true
		out.Unreachable = append(out.Unreachable, view.Zone{
			AvailabilityZone: z.Zone, Error: &view.Unreachable{Code: z.Refusal.Reason, Detail: z.Refusal.Detail},
		})
	}
	writeJSON(w, http.StatusOK, out)
}
