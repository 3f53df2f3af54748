package standin

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// EventKind is what happened to a task.
type EventKind string

// The events of a journal. A task that ended with its worker's process has a
// start and nothing after it.
const (
	EventReserve    EventKind = "reserve"
	EventStart      EventKind = "start"
	EventFinish     EventKind = "finish"
	EventStop       EventKind = "stop"
	EventCheckpoint EventKind = "checkpoint"
	EventThrottle   EventKind = "throttle"
	EventRefuse     EventKind = "refuse"
)

// Event is one line of a journal.
type Event struct {
	At          time.Time   `json:"at"`
	Event       EventKind   `json:"event"`
	Worker      string      `json:"worker"`
	Incarnation uint64      `json:"incarnation"`
	Job         model.JobID `json:"job"`
	Fence       uint64      `json:"fence"`
	Task        int         `json:"task"`
	// Unit names a unit within its job; Fence is its run then. Empty for a task.
	Unit string `json:"unit,omitempty"`
	// OK is set on the finish of a task that succeeded.
	OK bool `json:"ok,omitempty"`
	// Detail is the reason of a refusal or a stop.
	Detail string `json:"detail,omitempty"`
}

// Journal is a worker's own record. Each event is one write, not buffered, so
// that it can be read after the process was killed.
type Journal struct{ f *os.File }

// OpenJournal opens a journal for appending. An empty name gives a journal that
// records nothing.
func OpenJournal(name string) (*Journal, error) {
	if name == "" {
		return &Journal{}, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return &Journal{f: f}, errors.Trace(err)
}

// Close closes the journal; later events are not recorded.
func (j *Journal) Close() error {
	if j.f == nil {
		return nil
	}
	return errors.Trace(j.f.Close())
}

func (j *Journal) write(e *Event) {
	if j.f == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, _ = j.f.Write(append(line, '\n'))
	}
}

// JournalError is a journal line that cannot be read.
type JournalError struct {
	File  string
	Line  int
	Cause error
}

func (e *JournalError) Error() string {
	return "journal " + e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *JournalError) Unwrap() error { return e.Cause }

// ReadJournal returns the events of a journal. A last line without its end is
// left out: its worker was killed while it wrote.
func ReadJournal(name string) ([]Event, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var out []Event
	for n := 1; ; n++ {
		line, rest, whole := bytes.Cut(raw, []byte{'\n'})
		if !whole {
			return out, nil
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, &JournalError{File: name, Line: n, Cause: err}
		}
		out = append(out, e)
		raw = rest
	}
}

// record appends an event of a task.
func (w *Worker) record(kind EventKind, k taskKey, job model.JobID, detail string) {
	w.journal.write(w.event(kind, k, job, detail))
}

func (w *Worker) event(kind EventKind, k taskKey, job model.JobID, detail string) *Event {
	return &Event{
		At: time.Now().UTC(), Event: kind, Worker: w.o.Name, Incarnation: w.incarnation,
		Job: job, Fence: k.fence, Task: k.task, Detail: detail,
	}
}
