package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// maxFaultsBytes bounds the body of POST /standin/faults.
const maxFaultsBytes = 64 << 10

// reorderSpan is the largest random delay of a report while ReorderReports is
// set.
const reorderSpan = 400 * time.Millisecond

// Faults holds the faults that a worker injects. POST /standin/faults replaces
// all of them; GET returns them.
type Faults struct {
	// Operations limits DelayMillis, AnswerDelayMillis and LoseAnswers to these
	// operations; empty means all.
	Operations []workerapi.Operation `json:"operations,omitempty"`
	// DelayMillis is the delay before a command is executed.
	DelayMillis int `json:"delay_ms,omitempty"`
	// AnswerDelayMillis is the delay between executing a command and answering it.
	AnswerDelayMillis int `json:"answer_delay_ms,omitempty"`
	// LoseAnswers is the number of commands that are executed and whose connection
	// is then closed without an answer; -1 means all.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// SilenceOpen makes the connections that are open now silent permanently:
	// received data is dropped and nothing is sent. New connections work.
	SilenceOpen bool `json:"silence_open,omitempty"`
	// TaskFactor multiplies the duration of the tasks that start from now on; 0
	// means 1.
	TaskFactor float64 `json:"task_factor,omitempty"`
	// FailAll makes every task that finishes from now on fail.
	FailAll bool `json:"fail_all,omitempty"`
	// WithholdReports stops the delivery of results; they are available only
	// through the status operation.
	WithholdReports bool `json:"withhold_reports,omitempty"`
	// DoubleReports sends each report twice.
	DoubleReports bool `json:"double_reports,omitempty"`
	// ReorderReports delays each report by a random time.
	ReorderReports bool `json:"reorder_reports,omitempty"`
	// UsageFactor multiplies the reported usage; 0 means 1.
	UsageFactor float64 `json:"usage_factor,omitempty"`
}

// FaultsError reports faults that cannot be parsed.
type FaultsError struct{ Cause error }

func (e *FaultsError) Error() string { return "faults are not valid: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FaultsError) Unwrap() error { return e.Cause }

// ParseFaults parses faults from JSON; empty input means none. The error is a
// *FaultsError.
func ParseFaults(raw []byte) (*Faults, error) {
	f := &Faults{}
	if len(bytes.TrimSpace(raw)) == 0 {
		return f, nil
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(f); err != nil {
		return nil, &FaultsError{Cause: err}
	}
	return f, nil
}

// SetFaults replaces the faults and silences all open connections if f says so.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	w.faults = f
	w.faults.SilenceOpen = false
	w.mu.Unlock()
	if f.SilenceOpen && w.conns != nil {
		w.conns.silenceOpen(nil)
	}
}

// serveFaults handles requests for /standin/faults. The connection of the request
// itself is not silenced.
func (w *Worker) serveFaults(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		raw, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxFaultsBytes))
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		f, err := ParseFaults(raw)
		if err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		silence := f.SilenceOpen
		f.SilenceOpen = false
		w.SetFaults(*f)
		if silence {
			w.conns.silenceOpen(connOf(r))
		}
	}
	w.mu.Lock()
	f := w.faults
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(&f)
}

// commandFaults holds the faults that apply to one command.
type commandFaults struct {
	delay, answerDelay time.Duration
	loseAnswer         bool
}

// takeCommandFaults returns the faults for one command. If the command loses its
// answer, the number of answers left to lose decreases by one.
func (w *Worker) takeCommandFaults(op workerapi.Operation) commandFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := &w.faults
	if len(f.Operations) > 0 && !slices.Contains(f.Operations, op) {
		return commandFaults{}
	}
	d := commandFaults{
		delay:       time.Duration(f.DelayMillis) * time.Millisecond,
		answerDelay: time.Duration(f.AnswerDelayMillis) * time.Millisecond,
		loseAnswer:  f.LoseAnswers != 0,
	}
	if f.LoseAnswers > 0 {
		f.LoseAnswers--
	}
	return d
}

// factorOrOne returns f, or 1 if f is not set.
func factorOrOne(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}
