package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/dispatch"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/region"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// HeaderAPIKey is the request header that carries a customer's API key.
const HeaderAPIKey = "X-Api-Key"

// leaderTimeout bounds the time in which a request must be answered by a leader.
// An election takes about a second.
const leaderTimeout = 3 * time.Second

// RegionAPI serves the HTTP interface of one instance of a deployment with the
// extent region. docs/api.md describes it.
type RegionAPI struct {
	Router *region.Router
	Ready  func() bool
	Log    logr.Logger
	// MaxRequests is the limit of concurrent requests from callers and operators; 0
	// means 1024.
	MaxRequests int
}

// BatchJob is the callers' view of a job of a region.
type BatchJob struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	State string `json:"state"`
	// Reason tells why the job has failed; it is empty in other states.
	Reason string          `json:"reason,omitempty"`
	Units  *batch.Progress `json:"units,omitempty"`
}

// Pending is the number of jobs in a queue that have not started any unit.
type Pending struct {
	Queue   string `json:"queue"`
	Pending int    `json:"pending"`
}

// RegionWorker is the operators' view of a worker of a region.
type RegionWorker struct {
	batch.Worker
	Runs int `json:"runs"`
}

// Handler returns the routes.
func (a *RegionAPI) Handler() http.Handler {
	r := newRoutes(a.Log, a.Ready)
	r.Group(func(r chi.Router) {
		r.Use(limitConcurrency(maxRequestsOrDefault(a.MaxRequests)))
		r.Put("/v1/queues/{queue}/jobs/{id}", a.submit)
		r.Get("/v1/queues/{queue}/jobs/{id}", a.getJob)
		r.Delete("/v1/queues/{queue}/jobs/{id}", a.cancel)
		r.Get("/v1/queues/{queue}", a.getPending)
		r.Put("/v1/config", a.publish)
		r.Get("/v1/config", a.getConfig)
		r.Get("/v1/workers", a.listWorkers)
		r.Get("/v1/customers", a.listCustomers)
		r.Get("/v1/zones", a.listZones)
		r.Put("/v1/zones/{zone}/cordon", a.setCordon(true))
		r.Delete("/v1/zones/{zone}/cordon", a.setCordon(false))
	})
	r.Group(func(r chi.Router) {
		r.Use(limitConcurrency(maxWorkerRequests))
		r.Post("/v1/workers/announce", a.announce(false))
		r.Post("/v1/workers/leave", a.announce(true))
	})
	return r
}

// queuePrefix returns the path prefix of the queue with the given name.
func queuePrefix(name string) string { return "/" + name + "/" }

func callFromRequest(r *http.Request) batch.Call {
	return batch.Call{Path: queuePrefix(chi.URLParam(r, "queue")) + chi.URLParam(r, "id"), Key: r.Header.Get(HeaderAPIKey)}
}

func (a *RegionAPI) submit(w http.ResponseWriter, r *http.Request) {
	var spec batch.Spec
	end, err := decode(w, r, &spec)
	if err != nil {
		writeError(w, err)
		return
	}
	defer end()
	id := chi.URLParam(r, "id")
	if ref := firstRefusal(checkName("id", id), invalidRefusal(spec.Check())); ref != nil {
		refuse(w, ref)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), leaderTimeout)
	defer cancel()
	rep, err := a.Router.Submit(ctx, &batch.Submit{Call: callFromRequest(r), ID: id, Spec: spec})
	if a.okOrRefuse(w, r, rep, err) {
		writeJSON(w, http.StatusOK, a.jobView(r, rep))
	}
}

func (a *RegionAPI) getJob(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), leaderTimeout)
	defer cancel()
	rep, err := a.Router.Job(ctx, &region.JobQuery{Call: callFromRequest(r), ID: chi.URLParam(r, "id"), Progress: true})
	if a.okOrRefuse(w, r, rep, err) {
		writeJSON(w, http.StatusOK, a.jobView(r, rep))
	}
}

// cancel cancels a job and answers with its state after that.
func (a *RegionAPI) cancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), leaderTimeout)
	defer cancel()
	rep, err := a.Router.Cancel(ctx, &batch.Cancel{Call: callFromRequest(r), ID: chi.URLParam(r, "id")})
	if a.okOrRefuse(w, r, rep, err) {
		a.getJob(w, r)
	}
}

func (a *RegionAPI) jobView(r *http.Request, rep *region.Reply) *BatchJob {
	return &BatchJob{ID: chi.URLParam(r, "id"), Queue: chi.URLParam(r, "queue"), State: rep.State.String(), Reason: rep.FailedBy.String(), Units: rep.Progress}
}

func (a *RegionAPI) getPending(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), leaderTimeout)
	defer cancel()
	call := callFromRequest(r)
	rep, err := a.Router.Pending(ctx, &call)
	if a.okOrRefuse(w, r, rep, err) {
		writeJSON(w, http.StatusOK, &Pending{Queue: chi.URLParam(r, "queue"), Pending: rep.Pending})
	}
}

func (a *RegionAPI) publish(w http.ResponseWriter, r *http.Request) {
	var c batch.Config
	end, err := decode(w, r, &c)
	if err != nil {
		writeError(w, err)
		return
	}
	defer end()
	doc, err := json.Marshal(&c)
	if err != nil {
		writeError(w, err)
		return
	}
	c.Document = doc
	for i := range c.Queues {
		q := &c.Queues[i]
		if ref := checkName("queues.name", q.Name); ref != nil {
			refuse(w, ref)
			return
		}
		q.Prefix = queuePrefix(q.Name)
	}
	if ref := invalidRefusal(c.Check()); ref != nil {
		refuse(w, ref)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), leaderTimeout)
	defer cancel()
	rep, err := a.Router.Publish(ctx, &c)
	if !a.okOrRefuse(w, r, rep, err) {
		return
	}
	a.getConfig(w, r)
}

func (a *RegionAPI) getConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), leaderTimeout)
	defer cancel()
	rep, err := a.Router.Config(ctx)
	switch {
	case !a.okOrRefuse(w, r, rep, err):
	case rep.Document == nil:
		refuse(w, verdictRefusals[batch.NoConfig]())
	default:
		writeJSON(w, http.StatusOK, json.RawMessage(rep.Document))
	}
}

func (a *RegionAPI) listWorkers(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), leaderTimeout)
	defer cancel()
	rep, err := a.Router.Workers(ctx)
	if !a.okOrRefuse(w, r, rep, err) {
		return
	}
	out := make([]RegionWorker, 0, len(rep.Workers))
	for _, v := range rep.Workers {
		out = append(out, RegionWorker{Worker: v.Worker, Runs: v.Runs})
	}
	writeJSON(w, http.StatusOK, out)
}

func (a *RegionAPI) listCustomers(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), leaderTimeout)
	defer cancel()
	rep, err := a.Router.Customers(ctx)
	if !a.okOrRefuse(w, r, rep, err) {
		return
	}
	writeJSON(w, http.StatusOK, append([]dispatch.CustomerView{}, rep.Customers...))
}

// announce returns a handler for workers' announcements. The answer to a drain or
// a leave means that it is committed.
func (a *RegionAPI) announce(leaving bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body workerapi.UnitAnnouncement
		end, err := decode(w, r, &body)
		if err != nil {
			writeError(w, err)
			return
		}
		defer end()
		wk := body.Worker
		ref := firstRefusal(checkName("name", wk.ID), checkName("service", wk.Service))
		if ref == nil && wk.Incarnation < 1 {
			ref = model.RefuseField("life", "must be the Unix time of the worker's start in ms, not %d", wk.Incarnation)
		}
		announcement := &region.Announcement{Worker: wk, Leaving: leaving, ClockMS: body.ClockMS}
		if ref = firstRefusal(ref, invalidRefusal(announcement.Check())); ref != nil {
			refuse(w, ref)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), leaderTimeout)
		defer cancel()
		rep, err := a.Router.Announce(ctx, announcement)
		if a.okOrRefuse(w, r, rep, err) {
			w.WriteHeader(http.StatusNoContent)
		}
	}
}

// invalidRefusal turns the error of a check of a job or configuration into a
// refusal. It returns nil for a nil error.
func invalidRefusal(err error) *model.Refusal {
	if err == nil {
		return nil
	}
	return model.Refuse(model.ReasonInvalid, "%v", err)
}

// verdictRefusals maps the group's verdicts to refusals. A submission with one of
// these verdicts was not accepted.
var verdictRefusals = map[batch.Verdict]func() *model.Refusal{
	batch.NoConfig: func() *model.Refusal {
		return model.Refuse(model.ReasonNoConfiguration, "no configuration was accepted yet")
	},
	batch.NoQueue: func() *model.Refusal {
		return model.Refuse(model.ReasonNotFound, "the queue is not in the configuration")
	},
	batch.UnknownKey:  func() *model.Refusal { return model.Refuse(model.ReasonUnknownKey, "the key belongs to no customer") },
	batch.NoJob:       func() *model.Refusal { return model.Refuse(model.ReasonNotFound, "the job is not known") },
	batch.IDInUse:     func() *model.Refusal { return model.Refuse(model.ReasonKeyConflict, "the id or version is in use") },
	batch.QueueClosed: func() *model.Refusal { return model.Refuse(model.ReasonNotSupported, "the queue does not accept jobs") },
	batch.ZoneChanged: func() *model.Refusal {
		return model.Refuse(model.ReasonOvertaken, "the zone was changed by another order at the same time")
	},
	batch.UnknownZone: func() *model.Refusal {
		return model.Refuse(model.ReasonUnknownZone, "the zone is not in the settings and no worker has announced it")
	},
}

// okOrRefuse returns true if a leader carried out the request. Otherwise it writes
// and logs the refusal and returns false.
func (a *RegionAPI) okOrRefuse(w http.ResponseWriter, r *http.Request, rep *region.Reply, err error) bool {
	if err == nil && rep.Verdict == batch.OK {
		return true
	}
	var ref *model.Refusal
	var u *region.UnavailableError
	switch {
	case err == nil:
		ref = verdictRefusals[rep.Verdict]()
	case errors.As(err, &u) && u.MayHaveRun && r.Method != http.MethodGet:
		ref = model.Refuse(model.ReasonOutcomeUnknown, "no leader has confirmed the request")
	default:
		ref = model.Refuse(model.ReasonNoLeader, "no leader can be reached").WithRetryAfter(a.Router.RetryAfter())
	}
	if err != nil {
		a.Log.Info("request not answered by a leader", "method", r.Method, "path", telemetry.Cut(r.URL.Path), "error", err.Error())
	}
	a.Log.Info("request refused", "job", chi.URLParam(r, "id"), "method", r.Method, "path", telemetry.Cut(r.URL.Path), "reason", ref.Reason,
		"leader", a.Router.Leader(), "leaderHeardMS", a.Router.LeaderAge().Milliseconds())
	refuse(w, ref)
	return false
}
