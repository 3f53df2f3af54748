package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Initial and longest interval between deliveries of a result that is not
// acknowledged.
const (
	reportRetry    = 100 * time.Millisecond
	maxReportRetry = time.Second
)

// delivery is the outcome of sending a message to an entry instance.
type delivery int

const (
	deliveryFailed delivery = iota // not acknowledged; may be retried
	deliveryAcknowledged
	deliveryRefused // permanently refused; not retried
)

// post sends v to an entry instance.
func (w *Worker) post(ctx context.Context, to, path string, v any) delivery {
	body, err := json.Marshal(v)
	if err != nil {
		return deliveryRefused
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		return deliveryRefused
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		return deliveryFailed
	}
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusGone, http.StatusUnprocessableEntity:
		return deliveryRefused
	}
	if resp.StatusCode/100 == 2 {
		return deliveryAcknowledged
	}
	return deliveryFailed
}

// deliverResult sends a result until an entry instance acknowledges it or
// permanently refuses it, as when its attempt is over. The result stays available
// to the status operation either way.
func (w *Worker) deliverResult(k taskKey, t *task) {
	rep := &workerapi.Report{Worker: w.opts.Name, Job: t.job, Fence: k.fence, Result: t.result}
	wait := reportRetry
	for i := int(k.fence) + k.task; !w.acknowledged(t); i++ {
		d := deliveryFailed
		if f := w.currentFaults(); !f.WithholdReports {
			d = w.sendReport(f, i, rep)
		}
		if d != deliveryFailed {
			w.acknowledge(t)
			return
		}
		time.Sleep(wait)
		wait = min(2*wait, maxReportRetry)
	}
}

// sendReport sends a report with the delay and duplication that the faults
// demand. It returns the outcome of the last delivery.
func (w *Worker) sendReport(f Faults, i int, rep *workerapi.Report) delivery {
	ctx := context.Background()
	if f.ReorderReports {
		w.mu.Lock()
		d := time.Duration(w.rng.Int64N(int64(reorderSpan)))
		w.mu.Unlock()
		pause(ctx, d)
	}
	to := w.opts.Entries[i%len(w.opts.Entries)]
	if f.DoubleReports {
		w.post(ctx, w.opts.Entries[(i+1)%len(w.opts.Entries)], "/v1/workers/reports", rep)
	}
	return w.post(ctx, to, "/v1/workers/reports", rep)
}

// currentFaults returns the faults in force.
func (w *Worker) currentFaults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

func (w *Worker) acknowledged(t *task) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return t.acked
}

// acknowledge marks a task's result as acknowledged.
func (w *Worker) acknowledge(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !t.acked {
		t.acked = true
		w.unacked--
	}
}

// reportUsage sends a running task's usage periodically until ctx ends. Each
// report is delayed by the usage lag and is not retried.
func (w *Worker) reportUsage(ctx context.Context, k taskKey, t *task) {
	if w.opts.UsagePeriod <= 0 {
		return
	}
	for i := 0; ; i++ {
		pause(ctx, w.opts.UsagePeriod)
		if ctx.Err() != nil {
			return
		}
		f := w.currentFaults()
		u := w.usageOf(f, k, t)
		pause(ctx, w.opts.UsageLag)
		if ctx.Err() != nil {
			return
		}
		w.sendReport(f, i, &workerapi.Report{Worker: w.opts.Name, Job: t.job, Fence: k.fence, Usage: u})
	}
}

func (w *Worker) usageOf(f Faults, k taskKey, t *task) *workerapi.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	mem := t.payload.MemoryMiB
	if mem == 0 {
		mem = t.spec.MemoryMiB
	}
	usageFactor := factorOrOne(f.UsageFactor)
	return &workerapi.Usage{
		Task: k.task, At: time.Now().UTC(),
		CPU: float64(t.spec.CPU) * t.rate * usageFactor, MemoryMiB: int(float64(mem) * usageFactor),
	}
}
