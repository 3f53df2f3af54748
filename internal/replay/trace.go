// Package replay records the inputs of the scheduling decisions and replays
// them through the same decision code. It replays decisions: workers, messages
// and failures of instances are not simulated.
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
	KindSilent   Kind = "silent"   // a worker fell silent
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
	// Faulty workers fail every task; only generated traces know them.
	Faulty bool `json:"faulty,omitempty"`

	Job  model.JobID    `json:"job,omitempty"`
	Spec *model.JobSpec `json:"spec,omitempty"`
	// RunSeconds is the real run time: known at submission in generated traces,
	// and from reports in recorded ones. 0 is not known.
	RunSeconds float64 `json:"run_seconds,omitempty"`
	// Endless jobs never end by themselves.
	Endless bool `json:"endless,omitempty"`
	// UsedMemoryMiB is the real memory use of a task; 0 is as declared.
	UsedMemoryMiB int  `json:"used_memory_mib,omitempty"`
	OK            bool `json:"ok,omitempty"`
}

// maxLine bounds a line of a trace; a configuration of 570 customers is about
// 85 KB.
const maxLine = 8 << 20

// LineError is a line of a trace that cannot be read.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("trace line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// OrderError is an event that is earlier than the one before it.
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

// attachReports copies the run times in reports to the submissions, so that a
// recorded trace can be replayed. Jobs without a report never end.
func attachReports(events []Event) []Event {
	seen := map[model.JobID]*Event{}
	for i := range events {
		if e := &events[i]; e.Kind == KindReport && (e.OK || seen[e.Job] == nil) {
			seen[e.Job] = e
		}
	}
	out := append([]Event(nil), events...)
	for i := range out {
		e := &out[i]
		if e.Kind != KindSubmit || e.RunSeconds > 0 || e.Endless {
			continue
		}
		if r := seen[e.Job]; r != nil {
			e.RunSeconds, e.UsedMemoryMiB = max(r.RunSeconds, 0.001), r.UsedMemoryMiB
		} else {
			e.Endless = true
		}
	}
	return out
}

func at(d time.Duration) int64 { return d.Milliseconds() }
