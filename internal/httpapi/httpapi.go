// Package httpapi implements the HTTP interface for callers, workers and operators.
package httpapi

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/routing"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// maxWait bounds the wait parameter of a request for a job.
const maxWait = 60 * time.Second

// API serves the HTTP interface of one instance of a deployment with the extent zone.
type API struct {
	Router   *routing.Router
	Announce func(w model.Worker)
	Ready    func() bool
	Log      logr.Logger
	// MaxRequests is the limit of concurrent requests from callers and operators; 0
	// means 1024.
	MaxRequests int
}

// Handler returns the routes.
func (a *API) Handler() http.Handler {
	r := newRoutes(a.Log, func() bool { return a.Ready() })
	r.Group(func(r chi.Router) {
		r.Use(limitConcurrency(maxRequestsOrDefault(a.MaxRequests)))
		a.routes(r)
	})
	// Workers' requests have a limit of their own: callers that wait for results
	// must not block the workers that report them.
	r.Group(func(r chi.Router) {
		r.Use(limitConcurrency(maxWorkerRequests))
		r.Post("/v1/workers/announce", a.announce)
		r.Post("/v1/workers/reports", a.report)
	})
	return r
}

func (a *API) routes(r chi.Router) {
	r.Post("/v1/jobs", a.submit)
	r.Get("/v1/jobs", a.listJobs)
	r.Get("/v1/jobs/{id}", a.getJob)
	r.Delete("/v1/jobs/{id}", a.cancel)
	a.operatorRoutes(r)
}

// refuse counts a refusal and answers with it.
func refuse(w http.ResponseWriter, ref *model.Refusal) {
	telemetry.CountRefusal(ref.Reason)
	writeError(w, ref)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// newRoutes returns a router with the routes that every instance has: errors for
// unknown paths and methods, health probes, and metrics. Probes are answered even
// when the instance is overloaded.
func newRoutes(log logr.Logger, ready func() bool) chi.Router {
	r := chi.NewRouter()
	r.Use(recoverPanics(log))
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, model.Refuse(model.ReasonNotFound, "path %q does not exist", r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, model.Refuse(model.ReasonMethodNotAllowed, "%s is not allowed on %q", r.Method, r.URL.Path))
	})
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			refuse(w, model.Refuse(model.ReasonStopping, "not ready").WithRetryAfter(time.Second))
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return r
}

func maxRequestsOrDefault(maxRequests int) int {
	if maxRequests == 0 {
		return defaultMaxRequests
	}
	return maxRequests
}
