package standin

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// EventKind is the kind of a journal event.
type EventKind string

// The kinds of journal events. A task whose worker process was killed has a start
// event and no finish or stop.
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
	// Unit names a unit within its job; it is empty for a task. For a unit, Fence is
	// the number of the run and Task is the unit's index.
	Unit string `json:"unit,omitempty"`
	// OK is set on the finish of a task that succeeded.
	OK bool `json:"ok,omitempty"`
	// Detail is the operation and reason of a refusal, the reason of a stop, or the
	// progress that a checkpoint saved. For a unit it is the payload of a start or the
	// way in which the run ended.
	Detail string `json:"detail,omitempty"`
}

// Journal is a worker's own record of what it ran. Each event is one unbuffered
// write, so that the journal can be read after the process was killed.
type Journal struct{ file *os.File }

// OpenJournal opens a journal for appending. An empty name gives a journal that
// records nothing.
func OpenJournal(name string) (*Journal, error) {
	if name == "" {
		return &Journal{}, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return &Journal{file: f}, errors.Trace(err)
}

// Close closes the journal. Later events are not recorded.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return errors.Trace(j.file.Close())
}

// write appends an event. Errors are ignored.
func (j *Journal) write(e *Event) {
	if j.file == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, _ = j.file.Write(append(line, '\n'))
	}
}

// JournalError reports a journal line that cannot be parsed.
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

// ReadJournal returns the events of a journal. An incomplete last line is
// ignored: its worker was killed while writing it.
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

// recordTask appends an event of a task to the journal.
func (w *Worker) recordTask(kind EventKind, k taskKey, job model.JobID, detail string) {
	w.journal.write(w.newEvent(kind, k, job, detail))
}

func (w *Worker) newEvent(kind EventKind, k taskKey, job model.JobID, detail string) *Event {
	return &Event{
		At: time.Now().UTC(), Event: kind, Worker: w.opts.Name, Incarnation: w.incarnation,
		Job: job, Fence: k.fence, Task: k.task, Detail: detail,
	}
}
