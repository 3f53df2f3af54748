// Package standin is a stand-in for the platform's workers. It implements the
// workers' side of workerapi with tasks that sleep and answer, keeps its own
// record of what ran, and can be told to misbehave.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Options are the stand-in's command line.
type Options struct {
	Name         string   `arg:"--name,required" help:"worker's name"`
	Address      string   `arg:"--address,required" help:"IP:port to listen on"`
	Zone         string   `arg:"--zone,required" help:"availability zone"`
	Rack         string   `arg:"--rack,required"`
	Entries      []string `arg:"--entries,required" help:"client addresses of entry instances"`
	Accelerators int      `arg:"--accelerators" default:"8"`
	Cores        int      `arg:"--cores" default:"64"`
	MemoryMiB    int      `arg:"--memory-mib" default:"262144"`
	Slots        int      `arg:"--slots" default:"8"`
	Journal      string   `arg:"--journal" help:"file that records each task's start and end"`
}

// Times of the stand-in.
const (
	announcePeriod = 2 * time.Second
	reportRetry    = 200 * time.Millisecond
	callTimeout    = 2 * time.Second
	reserveTimeout = 10 * time.Second // an unused reservation ends after this
)

// key identifies one task of one attempt.
type key struct {
	fence uint64
	task  int
}

// entry is the worker's knowledge of a task.
type entry struct {
	job    model.JobID
	state  workerapi.TaskState
	accel  []int
	spec   *model.JobSpec
	lease  time.Time
	cancel context.CancelFunc
	result *model.TaskResult
}

// Worker is one stand-in worker.
type Worker struct {
	o       *Options
	journal *os.File
	client  *http.Client

	mu    sync.Mutex // guards the fields below
	term  uint64
	tasks map[key]*entry
	seq   uint64
	began uint64
	epoch time.Time // zero of the worker's clock
}

// Run serves until ctx ends.
func Run(ctx context.Context, o *Options) error {
	w := &Worker{o: o, tasks: map[key]*entry{}, began: uint64(time.Now().UnixNano()), epoch: time.Now().Add(-time.Millisecond), client: &http.Client{Timeout: callTimeout}}
	if o.Journal != "" {
		f, err := os.OpenFile(o.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return errors.Trace(err)
		}
		w.journal = f
	}
	ln, err := net.Listen("tcp", o.Address)
	if err != nil {
		return errors.Trace(err)
	}
	srv := &http.Server{Handler: w, ReadHeaderTimeout: callTimeout}
	go func() { _ = srv.Serve(ln) }()
	go w.expireLeases(ctx)
	w.announceLoop(ctx)
	return srv.Close()
}

func (w *Worker) announceLoop(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		w.mu.Lock()
		w.seq++
		a := model.Worker{
			Name: w.o.Name, Address: w.o.Address, AvailabilityZone: w.o.Zone, Rack: w.o.Rack,
			Cores: w.o.Cores, MemoryMiB: w.o.MemoryMiB, Accelerators: w.o.Accelerators,
			Slots: w.o.Slots, Incarnation: w.began, Seq: w.seq,
		}
		w.mu.Unlock()
		for k := range w.o.Entries {
			if w.post(ctx, w.o.Entries[(i+k)%len(w.o.Entries)], "/v1/workers/announce", &a) {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(announcePeriod):
		}
	}
}

// post sends v to an entry instance and reports whether it was taken.
func (w *Worker) post(ctx context.Context, to, path string, v any) bool {
	body, err := json.Marshal(v)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// ServeHTTP answers the commands of the zone's leader.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c workerapi.Command
	if !strings.HasPrefix(r.URL.Path, "/v1/tasks/") || json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(rw).Encode(w.do(&c))
}

func (w *Worker) do(c *workerapi.Command) *workerapi.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	rep := &workerapi.Reply{
		Number: c.Number, Term: w.term, Incarnation: w.began, Clock: time.Since(w.epoch).Milliseconds(),
	}
	if c.Term < w.term {
		rep.Refused = model.ReasonStaleTerm
		return rep
	}
	w.term = c.Term
	rep.Term = c.Term
	if c.Op == workerapi.Renew {
		w.renew(c, rep)
		return rep
	}
	k := key{c.Fence, c.Task}
	e := w.tasks[k]
	switch c.Op {
	case workerapi.Reserve:
		e = w.reserve(k, e, c, rep)
	case workerapi.Start:
		w.start(k, e, c, rep)
	case workerapi.Stop:
		e = w.stop(k, e, c)
	}
	rep.State = workerapi.TaskAbsent
	if e != nil {
		rep.State = e.state
		rep.Result = e.result
	}
	return rep
}

func (w *Worker) renew(c *workerapi.Command, rep *workerapi.Reply) {
	until := w.leaseEnd(c)
	for _, f := range c.Fences {
		known := false
		for k, e := range w.tasks {
			if k.fence == f {
				known = true
				e.extend(until)
			}
		}
		if !known {
			rep.Unknown = append(rep.Unknown, f)
		}
	}
}

// leaseEnd returns the end of the lease that a command grants.
func (w *Worker) leaseEnd(c *workerapi.Command) time.Time {
	if c.Echo == 0 || c.EchoIncarnation != w.began {
		return time.Time{}
	}
	return w.epoch.Add(time.Duration(c.Echo) * time.Millisecond).Add(seconds(c.LeaseSeconds))
}

func (e *entry) extend(until time.Time) {
	if until.After(e.lease) {
		e.lease = until
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (e *entry) holds() bool {
	return e.state == workerapi.TaskReserved || e.state == workerapi.TaskRunning
}

func (w *Worker) reserve(k key, e *entry, c *workerapi.Command, rep *workerapi.Reply) *entry {
	if e != nil {
		if !e.holds() {
			rep.Refused = model.ReasonStaleFence
		}
		return e
	}
	if !w.room(c) {
		rep.Refused = model.ReasonWorkerFull
		return nil
	}
	e = &entry{
		job: c.Job, state: workerapi.TaskReserved, accel: c.Accelerators, spec: c.Spec,
		lease: time.Now().Add(max(reserveTimeout, seconds(c.LeaseSeconds))),
	}
	w.tasks[k] = e
	return e
}

// room reports whether slots, cores, memory and the named accelerators are free.
func (w *Worker) room(c *workerapi.Command) bool {
	slots, cores, mem := w.o.Slots, w.o.Cores, w.o.MemoryMiB
	used := map[int]bool{}
	for _, e := range w.tasks {
		if !e.holds() {
			continue
		}
		slots--
		cores -= e.spec.CPU
		mem -= e.spec.MemoryMiB
		for _, a := range e.accel {
			used[a] = true
		}
	}
	for _, a := range c.Accelerators {
		if used[a] || a >= w.o.Accelerators {
			return false
		}
	}
	return slots >= 1 && cores >= c.Spec.CPU && mem >= c.Spec.MemoryMiB
}

func (w *Worker) start(k key, e *entry, c *workerapi.Command, rep *workerapi.Reply) {
	if e == nil || (!e.holds() && e.state != workerapi.TaskFinished) {
		rep.Refused = model.ReasonStaleFence
		return
	}
	if e.state != workerapi.TaskReserved {
		e.extend(w.leaseEnd(c))
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.state = workerapi.TaskRunning
	e.cancel = cancel
	e.lease = w.leaseEnd(c)
	w.record("start", e.job, k)
	go w.run(ctx, k, e)
}

// run carries out a task: the payload "sleep=<duration>" makes it last longer.
func (w *Worker) run(ctx context.Context, k key, e *entry) {
	d := 20 * time.Millisecond
	if s, ok := strings.CutPrefix(e.spec.Payload, "sleep="); ok {
		if p, err := time.ParseDuration(s); err == nil {
			d = p
		}
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(d):
	}
	w.mu.Lock()
	if e.state != workerapi.TaskRunning {
		w.mu.Unlock()
		return
	}
	e.state = workerapi.TaskFinished
	e.result = &model.TaskResult{Task: k.task, Worker: w.o.Name, OK: true, Output: "answer of " + string(e.job)}
	w.record("finish", e.job, k)
	w.mu.Unlock()
	w.report(k, e)
}

// report sends a result until an entry instance acknowledges it.
func (w *Worker) report(k key, e *entry) {
	rep := &workerapi.Report{Worker: w.o.Name, Job: e.job, Fence: k.fence, Result: e.result}
	for i := 0; ; i++ {
		if w.post(context.Background(), w.o.Entries[i%len(w.o.Entries)], "/v1/workers/reports", rep) {
			return
		}
		time.Sleep(reportRetry)
	}
}

// stop ends a task. A fencing number that the worker does not know is recorded,
// so that a late reserve or start under it is refused.
func (w *Worker) stop(k key, e *entry, c *workerapi.Command) *entry {
	if e == nil {
		e = &entry{job: c.Job, state: workerapi.TaskAbsent, spec: &model.JobSpec{}}
		w.tasks[k] = e
		return e
	}
	w.end(k, e)
	return e
}

func (w *Worker) end(k key, e *entry) {
	switch e.state {
	case workerapi.TaskReserved:
		e.state = workerapi.TaskNotStarted
	case workerapi.TaskRunning:
		e.state = workerapi.TaskStopped
		e.cancel()
		w.record("stop", e.job, k)
	}
}

// expireLeases ends tasks whose lease has run out.
func (w *Worker) expireLeases(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		for k, e := range w.tasks {
			if e.holds() && time.Now().After(e.lease) {
				w.end(k, e)
			}
		}
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// journalLine is one line of the worker's own record.
type journalLine struct {
	At    time.Time   `json:"at"`
	Event string      `json:"event"` // start, finish or stop
	Job   model.JobID `json:"job"`
	Fence uint64      `json:"fence"`
	Task  int         `json:"task"`
}

// record appends to the journal. w.mu is held.
func (w *Worker) record(event string, job model.JobID, k key) {
	if w.journal == nil {
		return
	}
	line, err := json.Marshal(&journalLine{At: time.Now(), Event: event, Job: job, Fence: k.fence, Task: k.task})
	if err == nil {
		_, _ = w.journal.Write(append(line, '\n'))
	}
}
