// Package httpapi is the HTTP interface for callers, workers and operators.
package httpapi

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/routing"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// maxWait bounds the wait of one get.
const maxWait = 60 * time.Second

// Publisher accepts a new configuration.
type Publisher interface {
	Publish(r *http.Request, cfg *model.Configuration) (*model.Configuration, error)
}

// API serves the interface of one instance.
type API struct {
	Router    *routing.Router
	Board     *blackboard.Board
	Announce  func(w model.Worker)
	Publisher Publisher
	Ready     func() bool
	Log       logr.Logger
}

// Handler returns the routes.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, model.Refuse(model.ReasonNotFound, "path %q does not exist", r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, model.Refuse(model.ReasonMethodNotAllowed, "%s is not allowed on %q", r.Method, r.URL.Path))
	})
	r.Post("/v1/jobs", a.submit)
	r.Get("/v1/jobs", a.list)
	r.Get("/v1/jobs/{id}", a.get)
	r.Delete("/v1/jobs/{id}", a.cancel)
	r.Put("/v1/config", a.publish)
	r.Get("/v1/config", a.config)
	r.Get("/v1/workers", a.workers)
	r.Post("/v1/workers/announce", a.announce)
	r.Post("/v1/workers/reports", a.report)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", a.ready)
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return r
}

func refuse(w http.ResponseWriter, ref *model.Refusal) {
	telemetry.Refused(ref.Reason)
	writeError(w, ref)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.Ready() {
		refuse(w, model.Refuse(model.ReasonStopping, "not ready").After(time.Second))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	var spec model.JobSpec
	if err := decode(w, r, &spec); err != nil {
		telemetry.Refused(model.ReasonInvalid)
		writeError(w, err)
		return
	}
	if err := checkSpec(&spec); err != nil {
		telemetry.Refused(model.ReasonInvalid)
		writeError(w, err)
		return
	}
	resp, err := a.Router.Submit(r.Context(), &spec)
	if err != nil {
		writeError(w, err)
		return
	}
	status := http.StatusAccepted
	if resp.Existing {
		status = http.StatusOK
	}
	writeJSON(w, status, resp.Job)
}

func (a *API) get(w http.ResponseWriter, r *http.Request) {
	id, zone, err := a.jobID(r)
	if err != nil {
		refuse(w, err)
		return
	}
	req := &routing.Request{Op: routing.OpGet, ID: id}
	if s := r.URL.Query().Get("wait"); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d < 0 || d > maxWait {
			refuse(w, model.RefuseField("wait", "must be a duration between 0s and %s", maxWait))
			return
		}
		req.WaitMillis = d.Milliseconds()
	}
	a.job(w, r, zone, req)
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	id, zone, err := a.jobID(r)
	if err != nil {
		refuse(w, err)
		return
	}
	a.job(w, r, zone, &routing.Request{Op: routing.OpCancel, ID: id})
}

// job answers a request about one job with its record.
func (a *API) job(w http.ResponseWriter, r *http.Request, zone string, req *routing.Request) {
	resp, err := a.Router.Do(r.Context(), zone, req)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, resp.Job)
}

func (a *API) jobID(r *http.Request) (model.JobID, string, *model.Refusal) {
	id := model.JobID(chi.URLParam(r, "id"))
	zone := id.Zone()
	for _, z := range a.Router.Zones {
		if z == zone {
			return id, zone, nil
		}
	}
	return "", "", model.Refuse(model.ReasonNotFound, "job %q is not known", id)
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	out := []*model.Job{}
	for _, z := range a.Router.Zones {
		resp, err := a.Router.Do(r.Context(), z, &routing.Request{
			Op: routing.OpList, Customer: r.URL.Query().Get("customer"),
		})
		if err != nil {
			writeError(w, err)
			return
		}
		out = append(out, resp.Jobs...)
	}
	writeJSON(w, http.StatusOK, out)
}

func (a *API) announce(w http.ResponseWriter, r *http.Request) {
	var wk model.Worker
	if err := decode(w, r, &wk); err != nil {
		writeError(w, err)
		return
	}
	a.Announce(wk)
	w.WriteHeader(http.StatusNoContent)
}

func (a *API) report(w http.ResponseWriter, r *http.Request) {
	var rep workerapi.Report
	if err := decode(w, r, &rep); err != nil {
		writeError(w, err)
		return
	}
	if err := a.Router.Report(r.Context(), &rep); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *API) publish(w http.ResponseWriter, r *http.Request) {
	var cfg model.Configuration
	if err := decode(w, r, &cfg); err != nil {
		writeError(w, err)
		return
	}
	got, err := a.Publisher.Publish(r, &cfg)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, got)
}

func (a *API) config(w http.ResponseWriter, _ *http.Request) {
	cfg := a.Router.Machine.Config()
	if cfg == nil {
		refuse(w, model.Refuse(model.ReasonNoConfiguration, "no configuration was accepted yet"))
		return
	}
	writeJSON(w, http.StatusOK, cfg)
}

func (a *API) workers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.Board.List())
}
