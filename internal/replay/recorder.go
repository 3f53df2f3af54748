package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// recorderBuffer is the number of events buffered for writing. If the buffer is
// full, events are dropped and counted, so that recording never blocks the
// daemon.
const recorderBuffer = 4096

// Recorder writes the inputs of the decisions as a trace. Its methods other than
// Close do not block, and all are safe for concurrent use. A nil Recorder records
// nothing.
type Recorder struct {
	start   time.Time
	events  chan Event
	done    chan struct{}
	dropped atomic.Uint64

	mu     sync.RWMutex // guards closed and err; held for reading while sending
	closed bool
	err    error
}

// NewRecorder returns a recorder that writes to w until Close. Times in the trace
// are relative to start.
func NewRecorder(w io.Writer, start time.Time) *Recorder {
	r := &Recorder{start: start, events: make(chan Event, recorderBuffer), done: make(chan struct{})}
	go r.write(w)
	return r
}

// write encodes the events until the recorder is closed, and flushes whenever the
// buffer is empty.
func (r *Recorder) write(w io.Writer) {
	defer close(r.done)
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	last := int64(0)
	for e := range r.events {
		// Concurrent callers may enqueue their events out of order.
		e.At = max(e.At, last)
		last = e.At
		err := enc.Encode(&e)
		if err == nil && len(r.events) == 0 {
			err = b.Flush()
		}
		r.keepError(err)
	}
	r.keepError(b.Flush())
}

// keepError stores the first write error for Close.
func (r *Recorder) keepError(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = errors.Trace(err)
	}
}

// enqueue buffers an event for writing, or drops it if the buffer is full.
func (r *Recorder) enqueue(when time.Time, e Event) {
	if r == nil {
		return
	}
	e.At = toMillis(when.Sub(r.start))
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.closed {
		return
	}
	select {
	case r.events <- e:
	default:
		r.dropped.Add(1)
	}
}

// Config records that a zone adopted a configuration. The caller must not modify
// c afterwards.
func (r *Recorder) Config(when time.Time, zone string, c *model.Configuration) {
	r.enqueue(when, Event{Kind: KindConfig, Zone: zone, Config: c})
}

// Announce records an announcement of a worker. Callers leave out announcements
// that change nothing.
func (r *Recorder) Announce(when time.Time, w model.Worker) {
	r.enqueue(when, Event{Kind: KindAnnounce, Zone: w.AvailabilityZone, Worker: &w})
}

// Silent records that a worker stopped answering.
func (r *Recorder) Silent(when time.Time, w model.Worker) {
	r.enqueue(when, Event{Kind: KindSilent, Zone: w.AvailabilityZone, Worker: &w})
}

// Submit records an accepted job. The payload is left out.
func (r *Recorder) Submit(when time.Time, id model.JobID, s model.JobSpec) {
	s.Payload = ""
	r.enqueue(when, Event{Kind: KindSubmit, Zone: id.Zone(), Job: id, Spec: &s})
}

// Cancel records that a caller cancelled a job.
func (r *Recorder) Cancel(when time.Time, id model.JobID) {
	r.enqueue(when, Event{Kind: KindCancel, Zone: id.Zone(), Job: id})
}

// Report records the end of an attempt that succeeded or failed, with its run
// time and the largest memory use of a task (0 if unknown).
func (r *Recorder) Report(when time.Time, id model.JobID, ran time.Duration, usedMemoryMiB int, ok bool) {
	r.enqueue(when, Event{
		Kind: KindReport, Zone: id.Zone(), Job: id, RunSeconds: ran.Seconds(), UsedMemoryMiB: usedMemoryMiB, OK: ok,
	})
}

// Dropped returns the number of events that were dropped.
func (r *Recorder) Dropped() uint64 {
	if r == nil {
		return 0
	}
	return r.dropped.Load()
}

// Close writes the buffered events and returns the first write error. Later
// events are ignored.
func (r *Recorder) Close() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.events)
	}
	r.mu.Unlock()
	<-r.done
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.err
}
