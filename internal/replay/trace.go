// Package replay records the inputs of the scheduling decisions as a trace and
// replays traces through the same decision code. Only the decisions are
// replayed: workers, messages and failures of instances are not simulated.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Kind is the kind of a trace event.
type Kind string

// The kinds of trace events.
const (
	KindConfig   Kind = "config"   // a configuration came into force
	KindAnnounce Kind = "announce" // a worker announced itself or changed
	KindSilent   Kind = "silent"   // a worker stopped answering
	KindSubmit   Kind = "submit"
	KindCancel   Kind = "cancel"
	KindReport   Kind = "report" // an attempt of a job ended
)

// Event is one line of a trace.
type Event struct {
	// At is the time since the start of the trace, in milliseconds.
	At   int64  `json:"at_ms"`
	Kind Kind   `json:"kind"`
	Zone string `json:"zone,omitempty"`

	Config *model.Configuration `json:"config,omitempty"`
	Worker *model.Worker        `json:"worker,omitempty"`
	// Faulty marks a worker that fails every task. Only generated traces set it.
	Faulty bool `json:"faulty,omitempty"`

	Job  model.JobID    `json:"job,omitempty"`
	Spec *model.JobSpec `json:"spec,omitempty"`
	// RunSeconds is the actual run time. Generated traces state it in the
	// submission, recorded traces in the report. 0 means unknown.
	RunSeconds float64 `json:"run_seconds,omitempty"`
	// Endless marks a job that never ends by itself.
	Endless bool `json:"endless,omitempty"`
	// UsedMemoryMiB is the actual memory use of a task; 0 means as declared.
	UsedMemoryMiB int  `json:"used_memory_mib,omitempty"`
	OK            bool `json:"ok,omitempty"`
}

// maxLine bounds the bytes of one line of a trace. A configuration of 570
// customers takes about 85 KB.
const maxLine = 8 << 20

// LineError reports a line of a trace that cannot be read.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("trace line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// OrderError reports an event that is earlier than the one before it.
type OrderError struct {
	At, Before int64
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("event at %d ms is earlier than the one before it at %d ms", e.At, e.Before)
}

// Read reads a trace. It returns a *LineError for a line that is not an event or
// is out of order.
func Read(r io.Reader) ([]Event, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	var out []Event
	for line := 1; sc.Scan(); line++ {
		if len(sc.Bytes()) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			return nil, &LineError{line, err}
		}
		if n := len(out); n > 0 && e.At < out[n-1].At {
			return nil, &LineError{line, &OrderError{e.At, out[n-1].At}}
		}
		out = append(out, e)
	}
	return out, errors.Trace(sc.Err())
}

// Write writes a trace.
func Write(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(b.Flush())
}

// attachReports copies run time and memory use from the reports to the
// submissions, so that a recorded trace can be replayed. A successful report
// takes precedence. Jobs without a report become endless.
func attachReports(events []Event) []Event {
	reports := map[model.JobID]*Event{}
	for i := range events {
		if e := &events[i]; e.Kind == KindReport && (e.OK || reports[e.Job] == nil) {
			reports[e.Job] = e
		}
	}
	out := append([]Event(nil), events...)
	for i := range out {
		e := &out[i]
		if e.Kind != KindSubmit || e.RunSeconds > 0 || e.Endless {
			continue
		}
		if r := reports[e.Job]; r != nil {
			e.RunSeconds, e.UsedMemoryMiB = max(r.RunSeconds, 0.001), r.UsedMemoryMiB
		} else {
			e.Endless = true
		}
	}
	return out
}

func toMillis(d time.Duration) int64 { return d.Milliseconds() }
