package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/explain"
	"teaselpaddle.example/teaselpaddle/internal/replay"
)

// tracePrefixBytes is how many bytes of a file IsTrace reads ahead. The first fields of
// a line tell a trace from a log.
const tracePrefixBytes = 64

// IsTrace reports whether r is at the start of a recorded trace. It consumes nothing.
func IsTrace(r *bufio.Reader) bool {
	head, err := r.Peek(tracePrefixBytes)
	if err != nil && len(head) == 0 {
		return false // an empty or unreadable log, which Read reports
	}
	return bytes.HasPrefix(head, []byte(`{"at_ms":`))
}

// ReadTrace replays a recorded trace and makes a report of the replay. Its error is a
// *NoEventsError, or that of replay.Read or replay.Run.
func ReadTrace(trace io.Reader) (*Report, error) {
	recorded, err := replay.Read(trace)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var events []explain.Event
	watch := func(s replay.Step) { events = append(events, logEvent(&s)) }
	if _, err := replay.Run(replay.Options{Events: recorded, OnStep: watch}); err != nil {
		return nil, errors.Trace(err)
	}
	if len(events) == 0 {
		return nil, &NoEventsError{}
	}
	r := &Report{Replayed: true}
	r.build(events)
	return r, nil
}

// logEvent returns the log line that an instance would have written for a step of the
// replay.
func logEvent(s *replay.Step) explain.Event {
	e := explain.Event{Time: s.At, Fields: map[string]any{"job": string(s.Job), "run": jsonNumber(int64(s.Attempt))}}
	switch s.Kind {
	case replay.StepConfig:
		e.Message = "configuration in force"
		e.Fields["version"] = jsonNumber(int64(s.Version))
	case replay.StepQueued:
		e.Message = "submission judged"
		e.Fields["verdict"], e.Fields["notLeader"], e.Fields["unsure"] = "ok", false, false
	case replay.StepRejected:
		e.Message = "request refused"
		e.Fields["reason"] = string(s.Reason)
	case replay.StepStarted:
		e.Message = "run started"
		e.Fields["customer"], e.Fields["guaranteed"] = s.Customer, !s.Borrowed
		e.Fields["accelerators"] = jsonNumber(int64(s.Accelerators))
		e.Fields["waitedMS"] = jsonNumber(s.Waited.Milliseconds())
		e.Fields["priority"] = "normal"
		if s.Urgent {
			e.Fields["priority"] = "urgent"
		}
	case replay.StepPreempted:
		e.Message = "run stopped to make room"
	case replay.StepEnded:
		e.Message, e.Fields["how"] = "run ended", "stopped or failed"
	case replay.StepFinished:
		e.Message, e.Fields["state"] = "job concluded", "not completed"
		if s.Done {
			e.Fields["state"] = "completed"
		}
	}
	return e
}

func jsonNumber(n int64) json.Number { return json.Number(strconv.FormatInt(n, 10)) }
