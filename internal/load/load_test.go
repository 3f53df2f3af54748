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

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after the runs began.
func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// scene is one request, its answers and the journal of the workers.
type scene struct {
	o      Outcome
	id     model.JobID
	events []standin.Event
}

func newScene(repeatable bool, tasks int) *scene {
	s := &scene{o: Outcome{Spec: model.JobSpec{Customer: "c", Key: "k", Repeatable: repeatable, Tasks: tasks}}}
	s.id = model.NewJobID(zone, "c", "k")
	return s
}

func (s *scene) event(kind standin.EventKind, fence uint64, task, ms int) *scene {
	s.events = append(s.events, standin.Event{
		At: at(ms), Event: kind, Worker: "w", Job: s.id, Fence: fence, Task: task, OK: kind == standin.EventFinish,
	})
	return s
}

func (s *scene) ran(fence uint64, tasks int) *scene {
	for t := range tasks {
		s.event(standin.EventStart, fence, t, 10).event(standin.EventFinish, fence, t, 20)
	}
	return s
}

func (s *scene) answer(state model.JobState, ms int, outputs ...string) *scene {
	a := Answer{ID: s.id, State: state, At: at(ms)}
	for t, out := range outputs {
		if out == "" {
			out = standin.TaskOutput(s.id, t, "")
		}
		a.Results = append(a.Results, model.TaskResult{Task: t, Worker: "w", OK: true, Output: out})
	}
	s.o.Final = append(s.o.Final, a)
	return s
}

func (s *scene) refusal(state model.JobState, ms int) *scene {
	s.o.Problems = append(s.o.Problems, Problem{Status: 429, Code: model.ReasonQueueFull, State: state, At: at(ms), RetryAfter: time.Second})
	return s
}

// Guards against a checker that passes over a contradiction, or that finds one
// where there is none.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		s    *scene
		want Fault
	}{
		"whole":                     {newScene(false, 2).ran(1, 2).answer(model.Done, 30, "", ""), ""},
		"not started, then whole":   {newScene(false, 1).refusal(model.NotRun, 5).ran(3, 1).answer(model.Done, 30, ""), ""},
		"second attempt started":    {newScene(false, 1).event(standin.EventStart, 1, 0, 5).ran(2, 1).answer(model.Done, 30, ""), Doubled},
		"task started twice":        {newScene(false, 1).event(standin.EventStart, 1, 0, 5).ran(1, 1).answer(model.Done, 30, ""), Doubled},
		"repeatable, second whole":  {newScene(true, 1).ran(1, 1).ran(2, 1).answer(model.Done, 30, ""), Doubled},
		"repeatable, second try":    {newScene(true, 1).event(standin.EventStart, 1, 0, 5).ran(2, 1).answer(model.Done, 30, ""), ""},
		"result missing":            {newScene(true, 2).ran(1, 2).answer(model.Done, 30, ""), Partial},
		"task never finished":       {newScene(true, 2).ran(1, 1).answer(model.Done, 30, "", ""), Partial},
		"mixed from two attempts":   {newScene(true, 2).event(standin.EventFinish, 1, 0, 5).event(standin.EventFinish, 2, 1, 5).answer(model.Done, 30, "", ""), Partial},
		"not_run, but started":      {newScene(true, 1).event(standin.EventStart, 1, 0, 5).answer(model.NotRun, 30), FalseNotRun},
		"refused as not_run, ran":   {newScene(true, 1).ran(1, 1).refusal(model.NotRun, 25).answer(model.Done, 30, ""), FalseNotRun},
		"other job's output":        {newScene(true, 1).ran(1, 1).answer(model.Done, 30, "other"), Wrong},
		"no answer":                 {newScene(true, 1).ran(1, 1), Missing},
		"two different answers":     {newScene(true, 1).ran(1, 1).answer(model.Done, 30, "").answer(model.Failed, 40), Conflicting},
		"started after the answer":  {newScene(false, 1).answer(model.Unknown, 1).ran(1, 1), LateStart},
		"ran on after the answer":   {newScene(true, 1).answer(model.Cancelled, 1).event(standin.EventFinish, 1, 0, 5), LateFinish},
		"cancelled before it began": {newScene(false, 1).answer(model.NotRun, 1), ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var check Checker
			found := check.Check([]*Outcome{&c.s.o}, c.s.events)
			if c.want == "" {
				is.Equal(len(found), 0)
				return
			}
			is.True(found.Count(c.want) > 0)
		})
	}
	s := newScene(true, 1).ran(1, 1).ran(2, 1).answer(model.Done, 30, "")
	check := Checker{AllowReruns: true}
	is.New(t).Equal(len(check.Check([]*Outcome{&s.o}, s.events)), 0)
}

// entry is a scheduler that runs every job at once and writes the journal. It
// fails every third request.
type entry struct {
	mu      sync.Mutex
	calls   int
	jobs    map[string]*Answer
	journal *os.File
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

func (e *entry) run(s *model.JobSpec) *Answer {
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

// Guards against modes that lose jobs, and against a summary line of another
// form.
func TestRunModes(t *testing.T) {
	for _, mode := range []Mode{Demo, Steady, BurstSmall, BurstLarge, Cancel, Storm} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			f, err := os.Create(filepath.Join(dir, "w.journal"))
			is.NoErr(err)
			srv := httptest.NewServer(&entry{jobs: map[string]*Answer{}, journal: f})
			defer srv.Close()
			host := srv.Listener.Addr().String()
			sum, err := Run(context.Background(), &Options{
				Entries: []string{host, host}, Mode: mode, Jobs: 20, Customers: []string{"a", "b"}, Journals: dir,
				Prefix: "t", Rate: 200, Lose: 0.1, Timeout: 5 * time.Second, CancelAfter: 20 * time.Millisecond,
			})
			is.NoErr(err)
			is.Equal(len(sum.Findings), 0)
			is.True(sum.Good())
			is.Equal(sum.String(), "demo: 20 jobs, 20 whole answers, 0 doubled, 0 partial")
			is.True(strings.HasPrefix(sum.Times(), "completion times of 20 jobs: p50 "))
		})
	}
}

// Guards against a run without journals that counts as checked.
func TestOptionsAreChecked(t *testing.T) {
	is := is.New(t)
	o := &Options{Entries: []string{"x"}, Jobs: 1}
	_, err := Run(context.Background(), o)
	is.True(err != nil)
	_, err = ReadJournals(t.TempDir())
	is.True(err != nil)
	var m Mode
	is.True(m.UnmarshalText([]byte("none")) != nil)
}
