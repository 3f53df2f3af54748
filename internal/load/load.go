// Package load stands in for the callers. It submits jobs, follows them to
// their answers, and compares what it was told with the workers' own records.
package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Options are the load tool's command line.
type Options struct {
	Entries   []string `arg:"--entries,required" help:"client addresses of entry instances"`
	Jobs      int      `arg:"--jobs" default:"200"`
	Customers []string `arg:"--customers,required"`
	Journals  string   `arg:"--journals" help:"folder with the workers' journals"`
	Prefix    string   `arg:"--prefix" default:"load" help:"start of each request key"`
	Verbose   bool     `arg:"--verbose" help:"print each job's answer"`
}

// Limits of one run.
const (
	jobTimeout  = 50 * time.Second
	callTimeout = 15 * time.Second
	retryPause  = 200 * time.Millisecond
	parallel    = 64
)

// Summary is the result of a run.
type Summary struct {
	Jobs    int
	Whole   int
	Doubled int
	Partial int
}

// Good reports whether every job was answered whole and none ran twice or in
// part.
func (s *Summary) Good() bool { return s.Whole == s.Jobs && s.Doubled == 0 && s.Partial == 0 }

func (s *Summary) String() string {
	return fmt.Sprintf("demo: %d jobs, %d whole answers, %d doubled, %d partial", s.Jobs, s.Whole, s.Doubled, s.Partial)
}

// runner holds the state of one run; mu guards answers.
type runner struct {
	o       *Options
	client  *http.Client
	mu      sync.Mutex
	answers map[model.JobID]*model.Job
}

// Run submits the jobs and waits for all answers.
func Run(o *Options) (*Summary, error) {
	r := &runner{o: o, client: &http.Client{Timeout: callTimeout}, answers: map[model.JobID]*model.Job{}}
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i := range o.Jobs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r.job(i)
		})
	}
	wg.Wait()
	return r.summary()
}

// spec returns the i-th request: mostly small jobs, every tenth a gang.
func (r *runner) spec(i int) *model.JobSpec {
	s := &model.JobSpec{
		Customer: r.o.Customers[i%len(r.o.Customers)], Key: fmt.Sprintf("%s-%d", r.o.Prefix, i),
		Repeatable: i%2 == 0, Accelerators: 1, Tasks: 1, CPU: 2, MemoryMiB: 1024,
		EstimatedSeconds: 1, Payload: "sleep=50ms",
	}
	if i%10 == 9 {
		s.Tasks = 4
		s.Accelerators = 4
		s.Adjacent = true
	}
	return s
}

// job submits one request and follows it to its final state, moving on to the
// next entry instance after each failure.
func (r *runner) job(i int) {
	spec := r.spec(i)
	deadline := time.Now().Add(jobTimeout)
	for try := 0; time.Now().Before(deadline); try++ {
		entry := r.o.Entries[(i+try)%len(r.o.Entries)]
		j, err := r.submit(entry, spec)
		if err == nil && !j.State.Final() {
			j, err = r.wait(entry, j.ID)
		}
		if err == nil && j.State.Final() {
			r.done(j)
			return
		}
		time.Sleep(retryPause)
	}
}

func (r *runner) done(j *model.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[j.ID] = j
	if r.o.Verbose {
		fmt.Printf("job %s customer %s state %s tasks answered %d of %d\n",
			j.ID, j.Spec.Customer, j.State, len(j.Results), j.Spec.Tasks)
	}
}

// StatusError is an answer other than success.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }

func (r *runner) submit(entry string, spec *model.JobSpec) (*model.Job, error) {
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return r.read(r.client.Post("http://"+entry+"/v1/jobs", "application/json", bytes.NewReader(body)))
}

func (r *runner) wait(entry string, id model.JobID) (*model.Job, error) {
	return r.read(r.client.Get("http://" + entry + "/v1/jobs/" + string(id) + "?wait=10s"))
}

func (r *runner) read(resp *http.Response, err error) (*model.Job, error) {
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return nil, &StatusError{Status: resp.StatusCode}
	}
	var j model.Job
	return &j, json.NewDecoder(resp.Body).Decode(&j)
}

// run is what the workers recorded of one attempt of a job.
type run struct {
	started  map[int]int // starts by task
	finished map[int]bool
}

type event struct {
	Event string      `json:"event"`
	Job   model.JobID `json:"job"`
	Fence uint64      `json:"fence"`
	Task  int         `json:"task"`
}

// summary compares the answers with the journals. A not-repeatable job is
// doubled if any of its tasks started twice, a repeatable one if two attempts
// finished whole. A job is partial if it is done without every task finished.
func (r *runner) summary() (*Summary, error) {
	runs, err := r.journals()
	if err != nil {
		return nil, err
	}
	s := &Summary{Jobs: r.o.Jobs}
	for id, j := range r.answers {
		if j.State == model.Done && len(j.Results) == j.Spec.Tasks {
			s.Whole++
		}
		if doubled(j, runs[id]) {
			s.Doubled++
		}
		if j.State == model.Done && !wholeRun(j, runs[id]) {
			s.Partial++
		}
	}
	return s, nil
}

func doubled(j *model.Job, attempts map[uint64]*run) bool {
	starts := map[int]int{}
	whole := 0
	for _, a := range attempts {
		for t, n := range a.started {
			starts[t] += n
		}
		if len(a.finished) == j.Spec.Tasks {
			whole++
		}
	}
	if j.Spec.Repeatable {
		return whole > 1
	}
	for _, n := range starts {
		if n > 1 {
			return true
		}
	}
	return false
}

func wholeRun(j *model.Job, attempts map[uint64]*run) bool {
	for _, a := range attempts {
		if len(a.finished) == j.Spec.Tasks {
			return true
		}
	}
	return false
}

func (r *runner) journals() (map[model.JobID]map[uint64]*run, error) {
	out := map[model.JobID]map[uint64]*run{}
	files, err := filepath.Glob(filepath.Join(r.o.Journals, "*.journal"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, name := range files {
		if err := readJournal(name, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func readJournal(name string, out map[model.JobID]map[uint64]*run) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	sc := bufio.NewScanner(f)
	for sc.Scan() {
		var e event
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			return errors.Trace(err)
		}
		if out[e.Job] == nil {
			out[e.Job] = map[uint64]*run{}
		}
		a := out[e.Job][e.Fence]
		if a == nil {
			a = &run{started: map[int]int{}, finished: map[int]bool{}}
			out[e.Job][e.Fence] = a
		}
		switch e.Event {
		case "start":
			a.started[e.Task]++
		case "finish":
			a.finished[e.Task] = true
		}
	}
	return errors.Trace(sc.Err())
}
