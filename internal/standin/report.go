package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Pauses between deliveries of a result that was not acknowledged.
const (
	reportRetry    = 100 * time.Millisecond
	maxReportRetry = time.Second
)

// delivery is what became of a message to an entry instance.
type delivery int

const (
	failed  delivery = iota // not delivered; it may be sent again
	taken                   // acknowledged
	refused                 // refused for good
)

// post sends v to an entry instance.
func (w *Worker) post(ctx context.Context, to, path string, v any) delivery {
	body, err := json.Marshal(v)
	if err != nil {
		return refused
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		return refused
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		return failed
	}
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusGone, http.StatusUnprocessableEntity:
		return refused
	}
	if resp.StatusCode/100 == 2 {
		return taken
	}
	return failed
}

// deliver sends a result until an entry instance acknowledges it or says that
// its attempt is over. The result is kept for status either way.
func (w *Worker) deliver(k taskKey, t *task) {
	rep := &workerapi.Report{Worker: w.o.Name, Job: t.job, Fence: k.fence, Result: t.result}
	wait := reportRetry
	for i := int(k.fence) + k.task; !w.acknowledged(t); i++ {
		d := failed
		if f := w.reporting(); !f.WithholdReports {
			d = w.sendReport(f, i, rep)
		}
		if d != failed {
			w.acknowledge(t)
			return
		}
		time.Sleep(wait)
		wait = min(2*wait, maxReportRetry)
	}
}

// sendReport sends a report once, or as often as the faults say.
func (w *Worker) sendReport(f Faults, i int, rep *workerapi.Report) delivery {
	ctx := context.Background()
	if f.ReorderReports {
		w.mu.Lock()
		d := time.Duration(w.rng.Int64N(int64(reorderSpan)))
		w.mu.Unlock()
		pause(ctx, d)
	}
	to := w.o.Entries[i%len(w.o.Entries)]
	if f.DoubleReports {
		w.post(ctx, w.o.Entries[(i+1)%len(w.o.Entries)], "/v1/workers/reports", rep)
	}
	return w.post(ctx, to, "/v1/workers/reports", rep)
}

func (w *Worker) reporting() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

func (w *Worker) acknowledged(t *task) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return t.acked
}

func (w *Worker) acknowledge(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !t.acked {
		t.acked = true
		w.unacked--
	}
}

// reportUsage sends a running task's usage, each figure with a lag. Usage is
// not sent again.
func (w *Worker) reportUsage(ctx context.Context, k taskKey, t *task) {
	if w.o.UsagePeriod <= 0 {
		return
	}
	for i := 0; ; i++ {
		pause(ctx, w.o.UsagePeriod)
		if ctx.Err() != nil {
			return
		}
		f := w.reporting()
		u := w.usageOf(f, k, t)
		pause(ctx, w.o.UsageLag)
		if ctx.Err() != nil {
			return
		}
		w.sendReport(f, i, &workerapi.Report{Worker: w.o.Name, Job: t.job, Fence: k.fence, Usage: u})
	}
}

func (w *Worker) usageOf(f Faults, k taskKey, t *task) *workerapi.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	mem := t.payload.MemoryMiB
	if mem == 0 {
		mem = t.spec.MemoryMiB
	}
	lie := factor(f.UsageFactor)
	return &workerapi.Usage{
		Task: k.task, At: time.Now().UTC(),
		CPU: float64(t.spec.CPU) * t.rate * lie, MemoryMiB: int(float64(mem) * lie),
	}
}
