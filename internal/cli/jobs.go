package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/httpapi"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/retry"
)

// longPollWait is how long the server may hold one request while the tool waits for a
// job.
const longPollWait = 30 * time.Second

type submitCmd struct {
	Customer         string    `arg:"--customer,required" help:"customer that the job belongs to"`
	Key              string    `arg:"--key,required" help:"idempotency key; repeating a submission with the same key returns the first job"`
	Repeatable       bool      `arg:"--repeatable" help:"the job may run more than once; without it, it runs at most once"`
	Tasks            int       `arg:"--tasks" default:"1" help:"number of tasks, which run at the same time"`
	Accelerators     int       `arg:"--accelerators" help:"accelerators per task"`
	Adjacent         bool      `arg:"--adjacent" help:"all tasks in one rack or in neighbouring racks"`
	CPU              int       `arg:"--cpu" help:"cores per task"`
	MemoryMiB        int       `arg:"--memory-mib" help:"memory per task in MiB"`
	EstimatedSeconds float64   `arg:"--estimated-seconds" help:"expected run time"`
	Deadline         time.Time `arg:"--deadline" placeholder:"TIME" help:"latest useful end, RFC 3339"`
	Urgent           bool      `arg:"--urgent" help:"start before jobs that are not urgent"`
	Payload          string    `arg:"--payload" help:"text given to each task"`
	PayloadFile      string    `arg:"--payload-file" placeholder:"FILE" help:"file with the text given to each task"`
	Wait             bool      `arg:"--wait" help:"wait until the job has ended, and show its results"`
}

func (c *submitCmd) run(ctx context.Context, e *env) error {
	spec := &model.JobSpec{
		Customer: c.Customer, Key: c.Key, Repeatable: c.Repeatable, Tasks: c.Tasks, Accelerators: c.Accelerators,
		Adjacent: c.Adjacent, CPU: c.CPU, MemoryMiB: c.MemoryMiB, EstimatedSeconds: c.EstimatedSeconds,
		Deadline: c.Deadline, Urgent: c.Urgent, Payload: c.Payload,
	}
	if c.PayloadFile != "" {
		b, err := os.ReadFile(c.PayloadFile)
		if err != nil {
			return &UsageError{Detail: err.Error()}
		}
		spec.Payload = string(b)
	}
	var j httpapi.Job
	req := &request{method: http.MethodPost, path: "/v1/jobs", body: spec}
	err := e.client.doWithRetries(ctx, req, &j, func(err error) {
		fmt.Fprintf(e.errOut, "retrying with the same key: %v\n", err)
	})
	if err != nil {
		return err
	}
	if c.Wait {
		return e.waitForFinalState(ctx, &j)
	}
	return e.showJob(&j)
}

// waitForFinalState waits until a job has ended and shows it. It returns a
// *NotDoneError if the job did not succeed.
func (e *env) waitForFinalState(ctx context.Context, j *httpapi.Job) error {
	path := "/v1/jobs/" + url.PathEscape(string(j.ID)) + "?wait=" + longPollWait.String()
	for !j.State.Final() {
		var next httpapi.Job
		err := e.client.do(ctx, &request{method: http.MethodGet, path: path, extraWait: longPollWait}, &next)
		switch {
		case err == nil:
			*j = next
		case ctx.Err() != nil || !retryable(err):
			return err
		default:
			fmt.Fprintf(e.errOut, "still waiting: %v\n", err)
		}
		if !j.State.Final() && !retry.Sleep(ctx, defaultRetryDelay/4) {
			return &NotDoneError{ID: j.ID, State: model.Unknown, Reason: model.ReasonTimeout}
		}
	}
	if err := e.showJob(j); err != nil {
		return err
	}
	if j.State != model.Done {
		return &NotDoneError{ID: j.ID, State: j.State, Reason: j.Reason}
	}
	return nil
}

func (e *env) showJob(j *httpapi.Job) error {
	if e.json {
		return writeJSON(e.out, j)
	}
	jobTable([]*httpapi.Job{j}).write(e.out)
	if len(j.Results) == 0 {
		return nil
	}
	fmt.Fprintln(e.out)
	t := &table{head: []string{"TASK", "WORKER", "OK", "OUTPUT", "ERROR"}}
	for i := range j.Results {
		r := &j.Results[i]
		t.row(r.Task, r.Worker, r.OK, r.Output, r.Error)
	}
	t.write(e.out)
	return nil
}

func jobTable(jobs []*httpapi.Job) *table {
	t := &table{head: []string{"JOB", "CUSTOMER", "KEY", "STATE", "REASON", "TASKS", "ACCELERATORS", "ATTEMPTS", "SUBMITTED", "FINISHED"}}
	for _, j := range jobs {
		t.row(j.ID, j.Spec.Customer, j.Spec.Key, j.State, j.Reason, j.Spec.Tasks, j.Spec.TotalAccelerators(), j.Attempts,
			formatTime(j.SubmittedAt), formatTime(j.FinishedAt))
	}
	return t
}

type cancelCmd struct {
	Job string `arg:"positional,required" placeholder:"JOB" help:"job id"`
}

func (c *cancelCmd) run(ctx context.Context, e *env) error {
	var j httpapi.Job
	req := &request{method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(c.Job)}
	err := e.client.doWithRetries(ctx, req, &j, func(err error) { fmt.Fprintf(e.errOut, "retrying: %v\n", err) })
	if err != nil {
		return err
	}
	return e.showJob(&j)
}

type jobsCmd struct {
	Customer string `arg:"--customer" help:"only the jobs of this customer"`
	Active   bool   `arg:"--active" help:"only jobs without a final state"`
}

func (c *jobsCmd) run(ctx context.Context, e *env) error {
	var list httpapi.JobList
	path := "/v1/jobs?customer=" + url.QueryEscape(c.Customer)
	if err := e.client.do(ctx, &request{method: http.MethodGet, path: path}, &list); err != nil {
		return err
	}
	if c.Active {
		var active []*httpapi.Job
		for _, j := range list.Jobs {
			if !j.State.Final() {
				active = append(active, j)
			}
		}
		list.Jobs = active
	}
	if e.json {
		return writeJSON(e.out, &list)
	}
	jobTable(list.Jobs).write(e.out)
	e.warnMissingZones(list.Unreachable)
	return nil
}
