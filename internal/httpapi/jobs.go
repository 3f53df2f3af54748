package httpapi

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/routing"
)

// Job is a job as callers see it. docs/api.md describes it.
type Job struct {
	ID              model.JobID    `json:"id"`
	Spec            model.JobSpec  `json:"spec"`
	State           model.JobState `json:"state"`
	Reason          model.Reason   `json:"reason,omitempty"`
	SubmittedAt     time.Time      `json:"submitted_at"`
	FinishedAt      time.Time      `json:"finished_at,omitzero"`
	Attempts        int            `json:"attempts"`
	CancelRequested bool           `json:"cancel_requested,omitempty"`
	// Expired is set when the results were dropped after the retention time.
	Expired bool     `json:"expired,omitempty"`
	Attempt *Attempt `json:"attempt,omitempty"`
	// Results is complete or absent: one entry per task, in task order.
	Results []model.TaskResult `json:"results,omitempty"`
}

// Attempt is the current attempt of a job.
type Attempt struct {
	Number    int                   `json:"number"`
	Placement []model.TaskPlacement `json:"placement"`
	StartedAt time.Time             `json:"started_at,omitzero"`
}

// NewJob returns the callers' view of a job's record. Results of a job that is not
// final are left out because they are incomplete.
func NewJob(j *model.Job) *Job {
	out := &Job{
		ID: j.ID, Spec: j.Spec, State: j.State, Reason: j.Reason, SubmittedAt: j.SubmittedAt,
		FinishedAt: j.FinishedAt, Attempts: j.Attempts, CancelRequested: j.CancelRequested,
		Expired: j.Expired, Results: j.Results,
	}
	if a := j.Attempt; a != nil {
		out.Attempt = &Attempt{Number: a.Number, Placement: a.Placement, StartedAt: a.StartedAt}
	}
	return out
}

// jobSummary returns the view of a job in a list: without payload and results,
// which can be large.
func jobSummary(j *model.Job) *Job {
	out := NewJob(j)
	out.Spec.Payload = ""
	out.Results = nil
	return out
}

func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	var spec model.JobSpec
	end, err := decode(w, r, &spec)
	if err != nil {
		writeError(w, err)
		return
	}
	defer end()
	if ref := checkSpec(&spec); ref != nil {
		refuse(w, ref)
		return
	}
	resp, err := a.Router.Submit(r.Context(), &spec)
	if err != nil {
		writeError(w, withoutUncertainState(err, &spec))
		return
	}
	status := http.StatusAccepted
	if resp.Existing {
		status = http.StatusOK
	}
	writeJSON(w, status, NewJob(resp.Job))
}

// withoutUncertainState removes the state not_run from the refusal of a repeatable
// job. The state is not certain: another zone may have accepted an earlier request
// with the same key while the owner zone was unreachable.
func withoutUncertainState(err error, spec *model.JobSpec) error {
	var ref *model.Refusal
	if !spec.Repeatable || !errors.As(err, &ref) || ref.State != model.NotRun {
		return err
	}
	out := *ref
	out.State = ""
	return &out
}

func (a *API) getJob(w http.ResponseWriter, r *http.Request) {
	id, zone, ref := a.jobIDFromPath(r)
	if ref != nil {
		refuse(w, ref)
		return
	}
	req := &routing.Get{ID: id}
	if s := r.URL.Query().Get("wait"); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d < 0 || d > maxWait {
			refuse(w, model.RefuseField("wait", "must be a duration between 0s and %s", maxWait))
			return
		}
		req.WaitMillis = d.Milliseconds()
	}
	a.answerWithJob(w, r, zone, &routing.Request{Get: req})
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	id, zone, ref := a.jobIDFromPath(r)
	if ref != nil {
		refuse(w, ref)
		return
	}
	a.answerWithJob(w, r, zone, &routing.Request{Cancel: &routing.Cancel{ID: id}})
}

// answerWithJob forwards a request about one job to its zone and answers with the
// job's record.
func (a *API) answerWithJob(w http.ResponseWriter, r *http.Request, zone string, req *routing.Request) {
	resp, err := a.Router.Do(r.Context(), zone, req)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, NewJob(resp.Job))
}

func (a *API) jobIDFromPath(r *http.Request) (model.JobID, string, *model.Refusal) {
	id := model.JobID(chi.URLParam(r, "id"))
	if !a.isDeploymentJobID(id) {
		return "", "", model.Refuse(model.ReasonNotFound, "job %.200q is not known", id)
	}
	return id, id.Zone(), nil
}

// isDeploymentJobID reports whether id has the form of a job id of this
// deployment.
func (a *API) isDeploymentJobID(id model.JobID) bool {
	zone := id.Zone()
	if zone == "" || !slices.Contains(a.Router.Zones, zone) {
		return false
	}
	return strings.Trim(string(id[len(zone)+1:]), "0123456789abcdef") == ""
}
