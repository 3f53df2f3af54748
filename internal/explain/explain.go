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

// maxLine is the longest line of a log that is read, in bytes. A longer one is skipped.
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
	// Skipped counts the lines that could not be read, and SkippedBy counts them by
	// reason.
	Skipped   int        `json:"skipped"`
	SkippedBy SkipCounts `json:"skippedBy,omitempty"`
	// LeftOut counts the lines that instances dropped because the reader of their log
	// was slow. Events that are missing from the timeline may be among them.
	LeftOut int `json:"leftOut"`
}

// configMessage is the message with which an instance logs a configuration that takes
// effect.
const configMessage = "configuration in force"

// contextMessages are the messages that concern every job of their time.
var contextMessages = []string{
	"leadership begun", "leadership ended", configMessage, "leader does not answer", "settings reloaded",
	cordonedMessage, uncordonedMessage,
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
	t.SkippedBy = t.SkippedBy.Add(skipped)
	t.Skipped = t.SkippedBy.Total()
	t.LeftOut += leftOut
	return err
}

// Scan calls visit with each line of a log. It returns the lines that could not be read,
// and the number of those that the instance dropped because the reader of its log was
// slow. The error is that of log.
func Scan(log io.Reader, visit func(Event)) (skipped SkipCounts, leftOut int, err error) {
	r := bufio.NewReaderSize(log, 64<<10)
	for {
		line, tooLong, err := readLine(r)
		switch {
		case tooLong:
			skipped = skipped.Add(SkipCounts{SkipTooLong: 1})
		case len(line) > 0:
			e, reason := parseLine(line)
			if reason != "" {
				skipped = skipped.Add(SkipCounts{reason: 1})
				break
			}
			if e.Message == "log lines left out" {
				leftOut += int(e.Number("lines"))
			}
			visit(e)
		}
		if err == io.EOF {
			return skipped, leftOut, nil
		}
		if err != nil {
			return skipped, leftOut, err
		}
	}
}

// readLine returns the next line without its end. Of a line longer than maxLine it
// returns nothing but tooLong. The line is valid until the next call.
func readLine(r *bufio.Reader) (line []byte, tooLong bool, err error) {
	for {
		part, err := r.ReadSlice('\n')
		tooLong = tooLong || len(line)+len(part) > maxLine
		if tooLong {
			line = nil
		} else {
			line = append(line, part...)
		}
		if err != bufio.ErrBufferFull {
			return bytes.TrimRight(line, "\r\n"), tooLong, err
		}
	}
}

// SkipReason is the reason for which a line of a log could not be read.
type SkipReason string

// The reasons for which a line is skipped.
const (
	SkipTooLong   SkipReason = "longer than 1 MiB"
	SkipNoObject  SkipReason = "not of an instance" // without a JSON object: a line of another program
	SkipCutShort  SkipReason = "cut short"          // its JSON object cannot be decoded
	SkipNoMessage SkipReason = "without time or message"
)

// SkipCounts holds the number of skipped lines by reason. The zero value counts none.
type SkipCounts map[SkipReason]int

// Add returns the sum of two counts.
func (s SkipCounts) Add(o SkipCounts) SkipCounts {
	if len(o) == 0 {
		return s
	}
	sum := SkipCounts{}
	for _, c := range []SkipCounts{s, o} {
		for reason, n := range c {
			sum[reason] += n
		}
	}
	return sum
}

// Total returns the number of all skipped lines.
func (s SkipCounts) Total() int {
	total := 0
	for _, n := range s {
		total += n
	}
	return total
}

// String returns the number of skipped lines with their reasons.
func (s SkipCounts) String() string {
	text := fmt.Sprintf("%d lines could not be read", s.Total())
	var reasons []string
	for _, reason := range slices.Sorted(maps.Keys(s)) {
		reasons = append(reasons, fmt.Sprintf("%d %s", s[reason], reason))
	}
	if len(reasons) > 0 {
		text += " (" + strings.Join(reasons, ", ") + ")"
	}
	return text
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

// parseLine parses a line, or returns the reason to skip it. Anything before its JSON
// object, such as the timestamp of a log collector, is ignored.
func parseLine(line []byte) (Event, SkipReason) {
	i := bytes.IndexByte(line, '{')
	if i < 0 {
		return Event{}, SkipNoObject
	}
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(line[i:]))
	d.UseNumber() // the values of the keys life and term may exceed the integers that a float64 represents exactly
	if err := d.Decode(&fields); err != nil {
		return Event{}, SkipCutShort
	}
	ts, _ := fields["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, ts)
	msg, _ := fields["msg"].(string)
	if err != nil || msg == "" {
		return Event{}, SkipNoMessage
	}
	instance, _ := fields["instance"].(string)
	for _, k := range []string{"ts", "msg", "level", "instance", "logger"} {
		delete(fields, k)
	}
	return Event{Time: at, Instance: instance, Message: msg, Fields: fields}, ""
}

// selectEvents adds to the timeline the lines that name the job and, within the context
// window, the context messages and the lines of its workers that name no job. A zone that
// was cordoned before the window and still is at its beginning is shown too.
func (t *Timeline) selectEvents(events []Event) {
	from, to, workers := t.window(events)
	if from.IsZero() {
		return
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.Time.Compare(b.Time) })
	highestVersion := int64(0)
	var zones zoneHistory
	begun := false // the context window has been reached
	for _, e := range events {
		if !begun && !e.Time.Before(from) {
			begun = true
			t.addContext(zones.cordons())
		}
		if zones.isChange(&e) && !zones.record(e) {
			continue
		}
		if e.Message == configMessage {
			// An instance that restarts applies its whole log again and logs each
			// configuration in it, although later ones are in force.
			version := e.Number("version")
			if version < highestVersion {
				continue
			}
			highestVersion = version
		}
		if e.Time.Before(from) || e.Time.After(to) {
			continue
		}
		names := t.names(&e)
		w, _ := e.Fields["worker"].(string)
		_, hasJob := e.Fields["job"]
		if !names && !slices.Contains(contextMessages, e.Message) && (!workers[w] || hasJob) {
			continue
		}
		if names {
			zones.annotate(&e)
		}
		e.Context = !names
		t.Events = append(t.Events, e)
	}
}

// window returns the begin and the end of the context window, and the workers that the
// lines of the job name. The times are zero if no line names the job.
func (t *Timeline) window(events []Event) (from, to time.Time, workers map[string]bool) {
	workers = map[string]bool{}
	for i := range events {
		e := &events[i]
		if !t.names(e) {
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
		return from, to, workers
	}
	return from.Add(-contextWindow), to.Add(contextWindow), workers
}

// addContext adds lines from before the context window that still had an effect in it.
func (t *Timeline) addContext(events []Event) {
	for _, e := range events {
		e.Context = true
		t.Events = append(t.Events, e)
	}
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
