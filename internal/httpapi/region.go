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
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/region"
)

// HeaderKey carries a customer's key.
const HeaderKey = "X-Api-Key"

// regionPatience bounds the search for a leader on behalf of one request. An
// election takes about a second.
const regionPatience = 3 * time.Second

// RegionAPI serves the interface of one instance of a deployment with the extent
// region. docs/api.md describes it.
type RegionAPI struct {
	Router *region.Router
	Ready  func() bool
	Log    logr.Logger
	// MaxRequests is the number of requests in work at the same time; 0 means
	// 1024.
	MaxRequests int
}

// BatchJob is a job of a region as callers see it.
type BatchJob struct {
	ID    string          `json:"id"`
	Queue string          `json:"queue"`
	State string          `json:"state"`
	Units *batch.Progress `json:"units,omitempty"`
}

// Pending is the number of jobs of a queue of which nothing has started.
type Pending struct {
	Queue   string `json:"queue"`
	Pending int    `json:"pending"`
}

// RegionWorker is a worker of a region as operators see it.
type RegionWorker struct {
	batch.Worker
	Runs int `json:"runs"`
}

// Handler returns the routes.
func (a *RegionAPI) Handler() http.Handler {
	r := newRoutes(a.Log, a.Ready)
	r.Group(func(r chi.Router) {
		r.Use(limit(orDefault(a.MaxRequests)))
		r.Put("/v1/queues/{queue}/jobs/{id}", a.submit)
		r.Get("/v1/queues/{queue}/jobs/{id}", a.status)
		r.Delete("/v1/queues/{queue}/jobs/{id}", a.cancel)
		r.Get("/v1/queues/{queue}", a.pending)
		r.Put("/v1/config", a.publish)
		r.Get("/v1/config", a.config)
		r.Get("/v1/workers", a.workers)
	})
	r.Group(func(r chi.Router) {
		r.Use(limit(maxWorkerRequests))
		r.Post("/v1/workers/announce", a.announce(false))
		r.Post("/v1/workers/leave", a.announce(true))
	})
	return r
}

// queuePrefix is the prefix under which a queue of the given name is found.
func queuePrefix(name string) string { return "/" + name + "/" }

func callOf(r *http.Request) batch.Call {
	return batch.Call{Path: queuePrefix(chi.URLParam(r, "queue")) + chi.URLParam(r, "id"), Key: r.Header.Get(HeaderKey)}
}

func (a *RegionAPI) submit(w http.ResponseWriter, r *http.Request) {
	var spec batch.Spec
	if err := decode(w, r, &spec); err != nil {
		writeError(w, err)
		return
	}
	id := chi.URLParam(r, "id")
	if ref := first(checkName("id", id), checked(spec.Check())); ref != nil {
		refuse(w, ref)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), regionPatience)
	defer cancel()
	rep, err := a.Router.Submit(ctx, &batch.Submit{Call: callOf(r), ID: id, Spec: spec, AtMS: time.Now().UnixMilli()})
	if a.answered(w, r, rep, err) {
		writeJSON(w, http.StatusOK, a.job(r, rep))
	}
}

func (a *RegionAPI) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), regionPatience)
	defer cancel()
	rep, err := a.Router.Job(ctx, &region.JobQuery{Call: callOf(r), ID: chi.URLParam(r, "id"), Progress: true})
	if a.answered(w, r, rep, err) {
		writeJSON(w, http.StatusOK, a.job(r, rep))
	}
}

// cancel answers with the state that the job has then.
func (a *RegionAPI) cancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), regionPatience)
	defer cancel()
	rep, err := a.Router.Cancel(ctx, &batch.Cancel{Call: callOf(r), ID: chi.URLParam(r, "id"), AtMS: time.Now().UnixMilli()})
	if a.answered(w, r, rep, err) {
		a.status(w, r)
	}
}

func (a *RegionAPI) job(r *http.Request, rep *region.Reply) *BatchJob {
	return &BatchJob{ID: chi.URLParam(r, "id"), Queue: chi.URLParam(r, "queue"), State: rep.State.String(), Units: rep.Progress}
}

func (a *RegionAPI) pending(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), regionPatience)
	defer cancel()
	call := callOf(r)
	rep, err := a.Router.Pending(ctx, &call)
	if a.answered(w, r, rep, err) {
		writeJSON(w, http.StatusOK, &Pending{Queue: chi.URLParam(r, "queue"), Pending: rep.Pending})
	}
}

func (a *RegionAPI) publish(w http.ResponseWriter, r *http.Request) {
	var c batch.Config
	if err := decode(w, r, &c); err != nil {
		writeError(w, err)
		return
	}
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
	if ref := checked(c.Check()); ref != nil {
		refuse(w, ref)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), regionPatience)
	defer cancel()
	rep, err := a.Router.Publish(ctx, &c)
	if !a.answered(w, r, rep, err) {
		return
	}
	a.config(w, r)
}

func (a *RegionAPI) config(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), regionPatience)
	defer cancel()
	rep, err := a.Router.Config(ctx)
	switch {
	case !a.answered(w, r, rep, err):
	case rep.Document == nil:
		refuse(w, verdicts[batch.NoConfig]())
	default:
		writeJSON(w, http.StatusOK, json.RawMessage(rep.Document))
	}
}

func (a *RegionAPI) workers(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), regionPatience)
	defer cancel()
	rep, err := a.Router.Workers(ctx)
	if !a.answered(w, r, rep, err) {
		return
	}
	out := make([]RegionWorker, 0, len(rep.Workers))
	for _, v := range rep.Workers {
		out = append(out, RegionWorker{Worker: v.Worker, Runs: v.Runs})
	}
	writeJSON(w, http.StatusOK, out)
}

// announce takes what a worker says of itself. The answer to a drain or a leave
// means that it is committed.
func (a *RegionAPI) announce(leaving bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var wk batch.Worker
		if err := decode(w, r, &wk); err != nil {
			writeError(w, err)
			return
		}
		ref := first(checkName("name", wk.ID), checkName("service", wk.Service))
		if ref == nil && wk.Life < 1 {
			ref = model.RefuseField("life", "must be the Unix time of the worker's start in ms, not %d", wk.Life)
		}
		if ref != nil {
			refuse(w, ref)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), regionPatience)
		defer cancel()
		rep, err := a.Router.Announce(ctx, &region.Announcement{Worker: wk, Leaving: leaving})
		if a.answered(w, r, rep, err) {
			w.WriteHeader(http.StatusNoContent)
		}
	}
}

// checked turns an unacceptable job or configuration into a refusal.
func checked(err error) *model.Refusal {
	if err == nil {
		return nil
	}
	return model.Refuse(model.ReasonInvalid, "%v", err)
}

// verdicts are the refusals for the group's verdicts. A submission with one of them
// was not accepted.
var verdicts = map[batch.Verdict]func() *model.Refusal{
	batch.NoConfig: func() *model.Refusal {
		return model.Refuse(model.ReasonNoConfiguration, "no configuration was accepted yet")
	},
	batch.NoQueue: func() *model.Refusal {
		return model.Refuse(model.ReasonNotFound, "the queue is not in the configuration")
	},
	batch.BadKey:   func() *model.Refusal { return model.Refuse(model.ReasonUnknownKey, "the key belongs to no customer") },
	batch.NoJob:    func() *model.Refusal { return model.Refuse(model.ReasonNotFound, "the job is not known") },
	batch.Conflict: func() *model.Refusal { return model.Refuse(model.ReasonKeyConflict, "the id or version is in use") },
	batch.Closed:   func() *model.Refusal { return model.Refuse(model.ReasonNotSupported, "the queue takes no jobs") },
}

// answered answers a request that was refused or not answered by a leader, and
// returns false then.
func (a *RegionAPI) answered(w http.ResponseWriter, r *http.Request, rep *region.Reply, err error) bool {
	if err == nil && rep.Verdict == batch.OK {
		return true
	}
	var ref *model.Refusal
	var u *region.UnavailableError
	switch {
	case err == nil:
		ref = verdicts[rep.Verdict]()
	case errors.As(err, &u) && u.MayHaveRun && r.Method != http.MethodGet:
		ref = model.Refuse(model.ReasonOutcomeUnknown, "no leader has confirmed the request")
	default:
		ref = model.Refuse(model.ReasonNoLeader, "no leader can be reached")
	}
	if err != nil {
		a.Log.Info("request not answered by a leader", "method", r.Method, "path", r.URL.Path, "error", err.Error())
	}
	a.Log.Info("request refused", "job", chi.URLParam(r, "id"), "method", r.Method, "path", r.URL.Path, "reason", ref.Reason,
		"leader", a.Router.Leader(), "leaderHeardMS", a.Router.LeaderAge().Milliseconds())
	refuse(w, ref)
	return false
}
