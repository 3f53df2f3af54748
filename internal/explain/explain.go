// Package explain collects the timeline of one job from the logs of several instances.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLine is the longest line of a log that can be read, in bytes. Scan stops with
// bufio.ErrTooLong at a longer one.
const maxLine = 1 << 20

// Event is one line of a log.
type Event struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
	// Context is set for an event that does not name the job but may explain what
	// happened to it, such as a change of the leader.
	Context bool `json:"context,omitempty"`
}

// Timeline holds the events of one job and their context, in order of time.
type Timeline struct {
	Job    string  `json:"job"`
	Events []Event `json:"events"`
	// Skipped counts the lines that could not be read: cut ones, and lines of
	// other programs.
	Skipped int `json:"skipped"`
	// LeftOut counts the lines that instances dropped because the reader of their log
	// was slow. Events that are missing from the timeline may be among them.
	LeftOut int `json:"leftOut"`
}

// contextMessages are the messages that concern every job of their time.
var contextMessages = []string{
	"leadership begun", "leadership ended", "configuration in force", "leader does not answer", "settings reloaded",
}

// contextWindow is the time before the first and after the last line of the job from
// which context is shown.
const contextWindow = 2 * time.Second

// Read makes the timeline of a job from logs in any order. The error is that of a
// reader.
func Read(job string, logs ...io.Reader) (*Timeline, error) {
	t := &Timeline{Job: job}
	var events []Event
	for _, l := range logs {
		if err := t.collect(l, &events); err != nil {
			return nil, err
		}
	}
	t.selectEvents(events)
	return t, nil
}

func (t *Timeline) collect(log io.Reader, events *[]Event) error {
	skipped, leftOut, err := Scan(log, func(e Event) { *events = append(*events, e) })
	t.Skipped += skipped
	t.LeftOut += leftOut
	return err
}

// Scan calls visit with each line of a log. It returns the number of lines that could
// not be read, and of those that the instance dropped because the reader of its log was
// slow. The error is that of log, or bufio.ErrTooLong.
func Scan(log io.Reader, visit func(Event)) (skipped, leftOut int, err error) {
	sc := bufio.NewScanner(log)
	sc.Buffer(make([]byte, 64<<10), maxLine)
	for sc.Scan() {
		e, ok := parseLine(sc.Bytes())
		if !ok {
			skipped++
			continue
		}
		if e.Message == "log lines left out" {
			leftOut += int(e.Number("lines"))
		}
		visit(e)
	}
	return skipped, leftOut, sc.Err()
}

// Text returns the value of a string field, or "" if there is none.
func (e *Event) Text(name string) string {
	s, _ := e.Fields[name].(string)
	return s
}

// Number returns the value of an integer field, or 0 if there is none.
func (e *Event) Number(name string) int64 {
	n, _ := e.Fields[name].(json.Number)
	v, err := n.Int64()
	if err != nil {
		return 0
	}
	return v
}

// parseLine parses a line. Anything before its JSON object, such as the timestamp of a
// log collector, is ignored.
func parseLine(line []byte) (Event, bool) {
	i := bytes.IndexByte(line, '{')
	if i < 0 {
		return Event{}, false
	}
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(line[i:]))
	d.UseNumber() // the values of the keys life and term may exceed the integers that a float64 represents exactly
	if err := d.Decode(&fields); err != nil {
		return Event{}, false
	}
	ts, _ := fields["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, ts)
	msg, _ := fields["msg"].(string)
	if err != nil || msg == "" {
		return Event{}, false
	}
	instance, _ := fields["instance"].(string)
	for _, k := range []string{"ts", "msg", "level", "instance", "logger"} {
		delete(fields, k)
	}
	return Event{Time: at, Instance: instance, Message: msg, Fields: fields}, true
}

// selectEvents adds to the timeline the lines that name the job and, within the context
// window, the context messages and the lines of its workers that name no job.
func (t *Timeline) selectEvents(events []Event) {
	var from, to time.Time
	workers := map[string]bool{}
	for _, e := range events {
		if !t.names(&e) {
			continue
		}
		if from.IsZero() || e.Time.Before(from) {
			from = e.Time
		}
		if e.Time.After(to) {
			to = e.Time
		}
		if w, ok := e.Fields["worker"].(string); ok {
			workers[w] = true
		}
	}
	if from.IsZero() {
		return
	}
	from, to = from.Add(-contextWindow), to.Add(contextWindow)
	for _, e := range events {
		names := t.names(&e)
		if e.Time.Before(from) || e.Time.After(to) {
			continue
		}
		w, _ := e.Fields["worker"].(string)
		_, hasJob := e.Fields["job"]
		if !names && !slices.Contains(contextMessages, e.Message) && (!workers[w] || hasJob) {
			continue
		}
		e.Context = !names
		t.Events = append(t.Events, e)
	}
	slices.SortStableFunc(t.Events, func(a, b Event) int { return a.Time.Compare(b.Time) })
}

// names reports whether a line names the job, also as the job for which another one
// was preempted.
func (t *Timeline) names(e *Event) bool { return e.Fields["job"] == t.Job || e.Fields["for"] == t.Job }

// Details returns the fields as text in order of their names, without empty ones and
// without the given job.
func (e *Event) Details(job string) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		v := e.Fields[k]
		if k == "job" && v == job || v == "" || v == nil {
			continue
		}
		switch v.(type) {
		case map[string]any, []any:
			b, err := json.Marshal(v)
			if err == nil {
				v = string(b)
			}
		}
		parts = append(parts, fmt.Sprintf("%s=%v", k, v))
	}
	return strings.Join(parts, " ")
}
