package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/standin"
)

const zone = "z-1"

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after testStart.
func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// scenario is one request with its answers and the workers' journal events.
type scenario struct {
	outcome Outcome
	id      model.JobID
	events  []standin.Event
}

func newScenario(repeatable bool, tasks int) *scenario {
	s := &scenario{outcome: Outcome{Spec: model.JobSpec{Customer: "c", Key: "k", Repeatable: repeatable, Tasks: tasks}}}
	s.id = model.NewJobID(zone, "c", "k")
	return s
}

func (s *scenario) addEvent(kind standin.EventKind, fence uint64, task, ms int) *scenario {
	s.events = append(s.events, standin.Event{
		At: at(ms), Event: kind, Worker: "w", Job: s.id, Fence: fence, Task: task, OK: kind == standin.EventFinish,
	})
	return s
}

func (s *scenario) ranWhole(fence uint64, tasks int) *scenario {
	for t := range tasks {
		s.addEvent(standin.EventStart, fence, t, 10).addEvent(standin.EventFinish, fence, t, 20)
	}
	return s
}

func (s *scenario) addAnswer(state model.JobState, ms int, outputs ...string) *scenario {
	a := Answer{ID: s.id, State: state, At: at(ms)}
	for t, out := range outputs {
		if out == "" {
			out = standin.TaskOutput(s.id, t, "")
		}
		a.Results = append(a.Results, model.TaskResult{Task: t, Worker: "w", OK: true, Output: out})
	}
	s.outcome.Final = append(s.outcome.Final, a)
	return s
}

func (s *scenario) addRefusal(state model.JobState, ms int) *scenario {
	s.outcome.Problems = append(s.outcome.Problems, Problem{Status: 429, Code: model.ReasonQueueFull, State: state, At: at(ms), RetryAfter: time.Second})
	return s
}

// Guards against a checker that misses a contradiction, or reports one where
// there is none.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		s    *scenario
		want Anomaly
	}{
		"whole":                       {newScenario(false, 2).ranWhole(1, 2).addAnswer(model.Done, 30, "", ""), ""},
		"not started, then whole":     {newScenario(false, 1).addRefusal(model.NotRun, 5).ranWhole(3, 1).addAnswer(model.Done, 30, ""), ""},
		"second attempt started":      {newScenario(false, 1).addEvent(standin.EventStart, 1, 0, 5).ranWhole(2, 1).addAnswer(model.Done, 30, ""), Doubled},
		"task started twice":          {newScenario(false, 1).addEvent(standin.EventStart, 1, 0, 5).ranWhole(1, 1).addAnswer(model.Done, 30, ""), Doubled},
		"repeatable, ran twice":       {newScenario(true, 1).ranWhole(1, 1).ranWhole(2, 1).addAnswer(model.Done, 30, ""), Doubled},
		"repeatable, second attempt":  {newScenario(true, 1).addEvent(standin.EventStart, 1, 0, 5).ranWhole(2, 1).addAnswer(model.Done, 30, ""), ""},
		"result missing":              {newScenario(true, 2).ranWhole(1, 2).addAnswer(model.Done, 30, ""), Partial},
		"task never finished":         {newScenario(true, 2).ranWhole(1, 1).addAnswer(model.Done, 30, "", ""), Partial},
		"mixed from two attempts":     {newScenario(true, 2).addEvent(standin.EventFinish, 1, 0, 5).addEvent(standin.EventFinish, 2, 1, 5).addAnswer(model.Done, 30, "", ""), Partial},
		"not_run, but started":        {newScenario(true, 1).addEvent(standin.EventStart, 1, 0, 5).addAnswer(model.NotRun, 30), FalseNotRun},
		"refused as not_run, but ran": {newScenario(true, 1).ranWhole(1, 1).addRefusal(model.NotRun, 25).addAnswer(model.Done, 30, ""), FalseNotRun},
		"other job's output":          {newScenario(true, 1).ranWhole(1, 1).addAnswer(model.Done, 30, "other"), WrongOutput},
		"no answer":                   {newScenario(true, 1).ranWhole(1, 1), Missing},
		"two different answers":       {newScenario(true, 1).ranWhole(1, 1).addAnswer(model.Done, 30, "").addAnswer(model.Failed, 40), Conflicting},
		"started after the answer":    {newScenario(false, 1).addAnswer(model.Unknown, 1).ranWhole(1, 1), LateStart},
		"finished after the answer":   {newScenario(true, 1).addAnswer(model.Cancelled, 1).addEvent(standin.EventFinish, 1, 0, 5), LateFinish},
		"cancelled before it began":   {newScenario(false, 1).addAnswer(model.NotRun, 1), ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var check Checker
			found := check.Check([]*Outcome{&c.s.outcome}, c.s.events)
			if c.want == "" {
				is.Equal(len(found), 0)
				return
			}
			is.True(found.Count(c.want) > 0)
		})
	}
	s := newScenario(true, 1).ranWhole(1, 1).ranWhole(2, 1).addAnswer(model.Done, 30, "")
	check := Checker{AllowReruns: true}
	is.New(t).Equal(len(check.Check([]*Outcome{&s.outcome}, s.events)), 0)
}

// fakeScheduler is an entry instance that completes every job at once, writes the
// workers' journal and fails every third request.
type fakeScheduler struct {
	mu      sync.Mutex
	calls   int
	jobs    map[string]*Answer
	journal *os.File
}

func (e *fakeScheduler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls++; e.calls%3 == 0 {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"code":"no_leader","state":"unknown"}`))
		return
	}
	var s model.JobSpec
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&s) != nil {
		for _, a := range e.jobs {
			if strings.Contains(r.URL.Path, string(a.ID)) {
				_ = json.NewEncoder(w).Encode(a)
			}
		}
		return
	}
	if e.jobs[s.Key] == nil {
		e.jobs[s.Key] = e.run(&s)
	}
	_ = json.NewEncoder(w).Encode(e.jobs[s.Key])
}

func (e *fakeScheduler) run(s *model.JobSpec) *Answer {
	a := &Answer{ID: model.NewJobID(zone, s.Customer, s.Key), State: model.Done}
	for t := range s.Tasks {
		for _, kind := range []standin.EventKind{standin.EventStart, standin.EventFinish} {
			line, _ := json.Marshal(&standin.Event{
				At: time.Now(), Event: kind, Job: a.ID, Fence: uint64(len(e.jobs) + 1), Task: t, Worker: "w", OK: true,
			})
			_, _ = e.journal.Write(append(line, '\n'))
		}
		a.Results = append(a.Results, model.TaskResult{Task: t, Worker: "w", OK: true, Output: standin.TaskOutput(a.ID, t, s.Payload)})
	}
	return a
}

// Guards against modes that lose jobs, and against a changed format of the
// summary lines.
func TestRunModes(t *testing.T) {
	for _, mode := range []Mode{Demo, Steady, BurstSmall, BurstLarge, Cancel, Storm} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			f, err := os.Create(filepath.Join(dir, "w.journal"))
			is.NoErr(err)
			srv := httptest.NewServer(&fakeScheduler{jobs: map[string]*Answer{}, journal: f})
			defer srv.Close()
			host := srv.Listener.Addr().String()
			sum, err := Run(context.Background(), &Options{
				Entries: []string{host, host}, Mode: mode, Jobs: 20, Customers: []string{"a", "b"}, Journals: dir,
				Prefix: "t", Rate: 200, Lose: 0.1, Timeout: 5 * time.Second, CancelAfter: 20 * time.Millisecond,
			})
			is.NoErr(err)
			is.Equal(len(sum.Findings), 0)
			is.True(sum.Passed())
			is.Equal(sum.String(), "demo: 20 jobs, 20 whole answers, 0 doubled, 0 partial")
			is.True(strings.HasPrefix(sum.Times(), "completion times of 20 jobs: p50 "))
		})
	}
}

// Guards against a run without journals that counts as checked, and against
// invalid options that are accepted.
func TestInvalidOptionsAreRejected(t *testing.T) {
	is := is.New(t)
	o := &Options{Entries: []string{"x"}, Jobs: 1}
	_, err := Run(context.Background(), o)
	is.True(err != nil)
	_, err = ReadJournals(t.TempDir())
	is.True(err != nil)
	var m Mode
	is.True(m.UnmarshalText([]byte("none")) != nil)
}
