package region

import (
	"context"
	"sync"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// maxRecordings bounds the records of workers that are committed at the same time. When thousands of
// workers start together, entries that wait for their commit would delay all others.
const maxRecordings = 128

// recordings bounds the commits of workers' records, in total and to one for each worker: a worker
// whose announcement is not answered in time repeats it through another instance.
type recordings struct {
	mu       sync.Mutex // guards the fields below
	byWorker map[string]chan struct{}
	slots    chan struct{}
}

// begin waits until the record of a worker may be committed, and returns the function that ends
// the commit. It fails if ctx ends before that.
func (r *recordings) begin(ctx context.Context, worker string) (done func(), err error) {
	for {
		r.mu.Lock()
		if r.slots == nil {
			r.slots, r.byWorker = make(chan struct{}, maxRecordings), map[string]chan struct{}{}
		}
		earlier := r.byWorker[worker]
		if earlier == nil {
			ended := make(chan struct{})
			r.byWorker[worker] = ended
			r.mu.Unlock()
			return r.acquire(ctx, worker, ended)
		}
		r.mu.Unlock()
		telemetry.Count("teaselpaddle_repeated_announcements_total")
		select {
		case <-earlier:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// acquire takes a slot for a worker that is in byWorker.
func (r *recordings) acquire(ctx context.Context, worker string, ended chan struct{}) (func(), error) {
	leave := func() {
		r.mu.Lock()
		delete(r.byWorker, worker)
		r.mu.Unlock()
		close(ended)
	}
	select {
	case r.slots <- struct{}{}:
		return func() { <-r.slots; leave() }, nil
	case <-ctx.Done():
		leave()
		return nil, ctx.Err()
	}
}

// isRecorded reports whether the record of a worker needs no change for an announcement.
func (c *Control) isRecorded(w *batch.Worker) bool {
	recorded := false
	c.machine.View(func(v *batch.View) {
		cur := v.Workers()[w.ID]
		recorded = cur != nil && cur.UpToDate(w, false)
	})
	return recorded
}
