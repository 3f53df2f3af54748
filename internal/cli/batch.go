package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/tailscale/hujson"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/dispatch"
	"teaselpaddle.example/teaselpaddle/internal/httpapi"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/retry"
)

type batchCmd struct {
	Publish   *batchPublishCmd   `arg:"subcommand:publish" help:"put a configuration in force"`
	Config    *batchConfigCmd    `arg:"subcommand:config" help:"show the configuration in force"`
	Submit    *batchSubmitCmd    `arg:"subcommand:submit" help:"submit a job"`
	Status    *batchStatusCmd    `arg:"subcommand:status" help:"show a job"`
	Cancel    *batchCancelCmd    `arg:"subcommand:cancel" help:"cancel a job"`
	Pending   *batchPendingCmd   `arg:"subcommand:pending" help:"count the jobs of a queue that have not started"`
	Workers   *batchWorkersCmd   `arg:"subcommand:workers" help:"list the workers"`
	Customers *batchCustomersCmd `arg:"subcommand:customers" help:"show what customers hold, borrow and wait for"`
	Zones     *batchZonesCmd     `arg:"subcommand:zones" help:"list the availability zones"`
	Cordon    *batchCordonCmd    `arg:"subcommand:cordon" help:"start nothing more on the workers of an availability zone"`
	Uncordon  *batchUncordonCmd  `arg:"subcommand:uncordon" help:"use the workers of a cordoned availability zone again"`
}

func (c *batchCmd) run(context.Context, *env) error {
	return &UsageError{Detail: "batch requires a subcommand: publish, config, submit, status, cancel, pending, workers, customers, zones, cordon or uncordon"}
}

// readJSON reads a file of JSON with comments and returns it as plain JSON.
func readJSON(file string) (json.RawMessage, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, &UsageError{Detail: err.Error()}
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return nil, &UsageError{Detail: file + ": " + strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	return std, nil
}

type batchPublishCmd struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"configuration as JSON with comments; its version must be higher than the one in force"`
}

func (c *batchPublishCmd) run(ctx context.Context, e *env) error {
	body, err := readJSON(c.File)
	if err != nil {
		return err
	}
	var cfg batch.Config
	req := &request{method: http.MethodPut, path: "/v1/config", body: body}
	if err := e.client.doWithRetries(ctx, req, &cfg, e.reportRetry); err != nil {
		return err
	}
	return e.showBatchConfig(&cfg)
}

type batchConfigCmd struct{}

func (c *batchConfigCmd) run(ctx context.Context, e *env) error {
	var cfg batch.Config
	if err := e.client.do(ctx, &request{method: http.MethodGet, path: "/v1/config"}, &cfg); err != nil {
		return err
	}
	return e.showBatchConfig(&cfg)
}

func (e *env) showBatchConfig(cfg *batch.Config) error {
	if e.json {
		return writeJSON(e.out, cfg)
	}
	fmt.Fprintf(e.out, "version %d\n\n", cfg.Version)
	t := &table{head: []string{"QUEUE", "SERVICE", "PRIORITY", "MAX ATTEMPTS", "STRETCH", "PUBLIC"}}
	for i := range cfg.Queues {
		q := &cfg.Queues[i]
		t.row(q.Name, q.Service, q.Priority, q.MaxAttempts, q.Stretch, q.Public)
	}
	t.write(e.out)
	fmt.Fprintln(e.out)
	t = &table{head: []string{"CUSTOMER", "KEYS", "GUARANTEED ACCELERATORS"}}
	for i := range cfg.Customers {
		t.row(cfg.Customers[i].Name, len(cfg.Customers[i].Keys), cfg.Customers[i].Guaranteed)
	}
	t.write(e.out)
	return nil
}

func (e *env) reportRetry(err error) { fmt.Fprintf(e.errOut, "retrying: %v\n", err) }

// jobArgs identifies a job by its queue and id.
type jobArgs struct {
	Queue string `arg:"positional,required" placeholder:"QUEUE" help:"name of the queue"`
	Job   string `arg:"positional,required" placeholder:"JOB" help:"id of the job, chosen by its caller"`
	Key   string `arg:"--api-key,env:TEASELPADDLE_API_KEY" help:"key of the customer; a public queue needs none"`
}

func (a *jobArgs) request(method string, body any) *request {
	return &request{
		method: method, path: "/v1/queues/" + url.PathEscape(a.Queue) + "/jobs/" + url.PathEscape(a.Job), body: body, apiKey: a.Key,
	}
}

type batchSubmitCmd struct {
	jobArgs
	File string `arg:"positional,required" placeholder:"FILE" help:"job as JSON with comments"`
	Wait bool   `arg:"--wait" help:"wait for the end of the job"`
}

func (c *batchSubmitCmd) run(ctx context.Context, e *env) error {
	body, err := readJSON(c.File)
	if err != nil {
		return err
	}
	var j httpapi.BatchJob
	if err := e.client.doWithRetries(ctx, c.request(http.MethodPut, body), &j, e.reportRetry); err != nil {
		return err
	}
	for c.Wait && !finalState(j.State) {
		if !retry.Sleep(ctx, defaultRetryDelay) {
			return &NotDoneError{ID: model.JobID(j.ID), State: model.Unknown, Reason: model.ReasonTimeout}
		}
		err := e.client.do(ctx, c.request(http.MethodGet, nil), &j)
		if err != nil && (ctx.Err() != nil || !retryable(err)) {
			return err
		}
		if err != nil {
			fmt.Fprintf(e.errOut, "still waiting: %v\n", err)
		}
	}
	if err := e.showBatchJob(&j); err != nil {
		return err
	}
	if c.Wait && j.State != batch.Completed.String() {
		reason := model.ReasonTaskFailed
		switch {
		case j.State == batch.Cancelled.String():
			reason = model.ReasonCancelled
		case j.Reason == batch.FailedByCrashes.String():
			reason = model.ReasonCrashesWorkers
		}
		return &NotDoneError{ID: model.JobID(j.ID), State: model.JobState(j.State), Reason: reason}
	}
	return nil
}

func finalState(state string) bool {
	return state == batch.Completed.String() || state == batch.Failed.String() || state == batch.Cancelled.String()
}

type batchStatusCmd struct{ jobArgs }

func (c *batchStatusCmd) run(ctx context.Context, e *env) error {
	var j httpapi.BatchJob
	if err := e.client.do(ctx, c.request(http.MethodGet, nil), &j); err != nil {
		return err
	}
	return e.showBatchJob(&j)
}

type batchCancelCmd struct{ jobArgs }

func (c *batchCancelCmd) run(ctx context.Context, e *env) error {
	var j httpapi.BatchJob
	if err := e.client.doWithRetries(ctx, c.request(http.MethodDelete, nil), &j, e.reportRetry); err != nil {
		return err
	}
	return e.showBatchJob(&j)
}

func (e *env) showBatchJob(j *httpapi.BatchJob) error {
	if e.json {
		return writeJSON(e.out, j)
	}
	t := &table{head: []string{"JOB", "QUEUE", "STATE", "REASON", "UNITS", "ACTIVE", "DONE", "FAILED RUNS"}}
	reason := cmp.Or(j.Reason, "-")
	if u := j.Units; u != nil {
		t.row(j.ID, j.Queue, j.State, reason, u.Units, u.Active, u.Done, u.FailedRuns)
	} else {
		t.row(j.ID, j.Queue, j.State, reason, "", "", "", "")
	}
	t.write(e.out)
	return nil
}

type batchPendingCmd struct {
	Queue string `arg:"positional,required" placeholder:"QUEUE" help:"name of the queue"`
	Key   string `arg:"--api-key,env:TEASELPADDLE_API_KEY" help:"key of a customer; a public queue needs none"`
}

func (c *batchPendingCmd) run(ctx context.Context, e *env) error {
	var p httpapi.Pending
	req := &request{method: http.MethodGet, path: "/v1/queues/" + url.PathEscape(c.Queue), apiKey: c.Key}
	if err := e.client.do(ctx, req, &p); err != nil {
		return err
	}
	if e.json {
		return writeJSON(e.out, &p)
	}
	fmt.Fprintln(e.out, p.Pending)
	return nil
}

type batchWorkersCmd struct{}

func (c *batchWorkersCmd) run(ctx context.Context, e *env) error {
	var list []httpapi.RegionWorker
	if err := e.client.do(ctx, &request{method: http.MethodGet, path: "/v1/workers"}, &list); err != nil {
		return err
	}
	if e.json {
		return writeJSON(e.out, list)
	}
	t := &table{head: []string{"WORKER", "SERVICE", "ZONE", "RACK", "ACCELERATORS", "RUNS", "DRAINING", "SPEED", "DEVIATION"}}
	for i := range list {
		w := &list[i]
		speed, deviation := formatSpeed(w.Speed)
		t.row(w.ID, w.Service, w.Zone, w.Rack, w.Capacity.Accelerators, w.Runs, w.Draining, speed, deviation)
	}
	t.write(e.out)
	return nil
}

// formatSpeed returns a measured speed as a multiple of the typical worker's, and its
// standard deviation in percent. Both are empty if the speed was not measured.
func formatSpeed(s *batch.WorkerSpeed) (speed, deviation string) {
	if s == nil {
		return "", ""
	}
	return fmt.Sprintf("%.2f", math.Exp(float64(s.LogMilli)/1000)), fmt.Sprintf("%.0f%%", float64(s.SDMilli)/10)
}

type batchCustomersCmd struct{}

func (c *batchCustomersCmd) run(ctx context.Context, e *env) error {
	var list []dispatch.CustomerView
	if err := e.client.do(ctx, &request{method: http.MethodGet, path: "/v1/customers"}, &list); err != nil {
		return err
	}
	if e.json {
		return writeJSON(e.out, list)
	}
	t := &table{head: []string{"CUSTOMER", "GUARANTEE", "IN USE", "BORROWED", "WAITING UNITS", "SHARE"}}
	for i := range list {
		v := &list[i]
		t.row(v.Name, v.Guaranteed, v.InUse, v.Borrowed, v.WaitingUnits, fmt.Sprintf("%.1f%%", 100*v.Share))
	}
	t.write(e.out)
	return nil
}
