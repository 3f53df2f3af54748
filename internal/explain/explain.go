// Package explain tells the story of one job from the logs of several
// instances.
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

// maxLine bounds a line of a log; longer ones are skipped.
const maxLine = 1 << 20

// Event is one line of a log that has to do with the job.
type Event struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
	// Context is set for what happened around the job, such as a change of the
	// leader, and not to the job itself.
	Context bool `json:"context,omitempty"`
}

// Story is what the logs say about one job.
type Story struct {
	Job    string  `json:"job"`
	Events []Event `json:"events"`
	// Skipped counts the lines that could not be read: cut ones, and lines of
	// other programs.
	Skipped int `json:"skipped"`
	// LeftOut counts the lines that instances did not write because their reader
	// was slow. What is missing may be among them.
	LeftOut int `json:"leftOut"`
}

// surroundings are the messages that matter to every job of their time.
var surroundings = []string{
	"leadership begun", "leadership ended", "configuration in force", "leader does not answer", "settings reloaded",
}

// aroundTime is how long before the first and after the last line of the job the
// surroundings are shown.
const aroundTime = 2 * time.Second

// Read makes the story of a job from logs in any order. The error is that of a
// reader.
func Read(job string, logs ...io.Reader) (*Story, error) {
	s := &Story{Job: job}
	var all []Event
	for _, l := range logs {
		if err := s.scan(l, &all); err != nil {
			return nil, err
		}
	}
	s.pick(all)
	return s, nil
}

func (s *Story) scan(log io.Reader, all *[]Event) error {
	skipped, leftOut, err := Scan(log, func(e Event) { *all = append(*all, e) })
	s.Skipped += skipped
	s.LeftOut += leftOut
	return err
}

// Scan calls f with each line of a log. It returns the number of lines that could
// not be read, and of those that the instance did not write because its reader
// was slow. The error is that of the reader.
func Scan(log io.Reader, f func(Event)) (skipped, leftOut int, err error) {
	sc := bufio.NewScanner(log)
	sc.Buffer(make([]byte, 64<<10), maxLine)
	for sc.Scan() {
		e, ok := parse(sc.Bytes())
		if !ok {
			skipped++
			continue
		}
		if e.Message == "log lines left out" {
			leftOut += int(e.Number("lines"))
		}
		f(e)
	}
	return skipped, leftOut, sc.Err()
}

// Text returns a field that is a text, or "".
func (e *Event) Text(name string) string {
	s, _ := e.Fields[name].(string)
	return s
}

// Number returns a field that is a whole number, or 0.
func (e *Event) Number(name string) int64 {
	n, _ := e.Fields[name].(json.Number)
	v, err := n.Int64()
	if err != nil {
		return 0
	}
	return v
}

// parse reads a line. Anything before its JSON object, such as a collector's
// stamp, is passed over.
func parse(line []byte) (Event, bool) {
	i := bytes.IndexByte(line, '{')
	if i < 0 {
		return Event{}, false
	}
	var f map[string]any
	d := json.NewDecoder(bytes.NewReader(line[i:]))
	d.UseNumber() // lives and terms are too large for a float
	if err := d.Decode(&f); err != nil {
		return Event{}, false
	}
	ts, _ := f["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, ts)
	msg, _ := f["msg"].(string)
	if err != nil || msg == "" {
		return Event{}, false
	}
	instance, _ := f["instance"].(string)
	for _, k := range []string{"ts", "msg", "level", "instance", "logger"} {
		delete(f, k)
	}
	return Event{Time: at, Instance: instance, Message: msg, Fields: f}, true
}

// pick keeps the lines of the job, of its workers while it ran there, and of the
// surroundings.
func (s *Story) pick(all []Event) {
	var from, to time.Time
	workers := map[string]bool{}
	for _, e := range all {
		if !s.about(&e) {
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
	from, to = from.Add(-aroundTime), to.Add(aroundTime)
	for _, e := range all {
		about := s.about(&e)
		if e.Time.Before(from) || e.Time.After(to) {
			continue
		}
		w, _ := e.Fields["worker"].(string)
		_, ofJob := e.Fields["job"]
		if !about && !slices.Contains(surroundings, e.Message) && (!workers[w] || ofJob) {
			continue
		}
		e.Context = !about
		s.Events = append(s.Events, e)
	}
	slices.SortStableFunc(s.Events, func(a, b Event) int { return a.Time.Compare(b.Time) })
}

func (s *Story) about(e *Event) bool { return e.Fields["job"] == s.Job || e.Fields["for"] == s.Job }

// Details returns the fields as text, in a fixed order, without the job itself.
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
