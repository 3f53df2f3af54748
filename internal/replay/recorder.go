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

// recorderBuffer is the number of events that wait to be written. Beyond it
// events are dropped and counted, so that recording never holds up the daemon.
const recorderBuffer = 4096

// Recorder writes the inputs of the decisions as a trace. Its methods do not
// block and may be called by any goroutine. A nil Recorder records nothing.
type Recorder struct {
	start   time.Time
	events  chan Event
	done    chan struct{}
	dropped atomic.Uint64

	mu     sync.RWMutex // guards closed and err; held for reading while sending
	closed bool
	err    error
}

// NewRecorder returns a recorder that writes to w until Close.
func NewRecorder(w io.Writer, start time.Time) *Recorder {
	r := &Recorder{start: start, events: make(chan Event, recorderBuffer), done: make(chan struct{})}
	go r.write(w)
	return r
}

func (r *Recorder) write(w io.Writer) {
	defer close(r.done)
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	last := int64(0)
	for e := range r.events {
		// Goroutines may hand over their events in another order than their times.
		e.At = max(e.At, last)
		last = e.At
		err := enc.Encode(&e)
		if err == nil && len(r.events) == 0 {
			err = b.Flush()
		}
		r.fail(err)
	}
	r.fail(b.Flush())
}

// fail keeps the first error.
func (r *Recorder) fail(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = errors.Trace(err)
	}
}

func (r *Recorder) put(when time.Time, e Event) {
	if r == nil {
		return
	}
	e.At = at(when.Sub(r.start))
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

// Config records that a zone adopted a configuration. It must not change
// afterwards.
func (r *Recorder) Config(when time.Time, zone string, c *model.Configuration) {
	r.put(when, Event{Kind: KindConfig, Zone: zone, Config: c})
}

// Announce records the first announcement of a worker, and those that change
// something.
func (r *Recorder) Announce(when time.Time, w model.Worker) {
	r.put(when, Event{Kind: KindAnnounce, Zone: w.AvailabilityZone, Worker: &w})
}

// Silent records that a worker has fallen silent.
func (r *Recorder) Silent(when time.Time, w model.Worker) {
	r.put(when, Event{Kind: KindSilent, Zone: w.AvailabilityZone, Worker: &w})
}

// Submit records an accepted job. The payload is left out.
func (r *Recorder) Submit(when time.Time, id model.JobID, s model.JobSpec) {
	s.Payload = ""
	r.put(when, Event{Kind: KindSubmit, Zone: id.Zone(), Job: id, Spec: &s})
}

// Cancel records that a caller cancelled a job.
func (r *Recorder) Cancel(when time.Time, id model.JobID) {
	r.put(when, Event{Kind: KindCancel, Zone: id.Zone(), Job: id})
}

// Report records the end of an attempt that ran to its end, with its run time
// and the largest memory use of a task (0 if not known).
func (r *Recorder) Report(when time.Time, id model.JobID, ran time.Duration, usedMemoryMiB int, ok bool) {
	r.put(when, Event{
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

// Close writes what is buffered. It returns the first error of writing.
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
