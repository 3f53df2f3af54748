package routing_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/control"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/routing"
	"teaselpaddle.example/teaselpaddle/internal/sched/policy"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "20")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var zones = []string{"z1", "z2", "z3"}

// faults decides which messages are lost, duplicated and delayed.
type faults struct {
	mu  sync.Mutex // guards rnd
	rnd *rand.Rand
}

// oneIn returns true with probability 1/n.
func (f *faults) oneIn(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n) == 0
}

// randomDelay sleeps for less than 5 ms, which reorders concurrent messages.
func (f *faults) randomDelay() {
	f.mu.Lock()
	d := time.Duration(f.rnd.IntN(5)) * time.Millisecond
	f.mu.Unlock()
	time.Sleep(d)
}

// network connects the instances. Each zone has one instance, with the zone's name.
type network struct {
	faults   *faults
	handlers map[string]link.Handler
}

type endpoint struct {
	network *network
	self    string
}

func (p *endpoint) Call(ctx context.Context, to string, _ link.Kind, body []byte) ([]byte, error) {
	p.network.faults.randomDelay()
	errNoReply := &link.NoReplyError{To: to, Cause: context.DeadlineExceeded}
	if p.network.faults.oneIn(5) {
		return nil, errNoReply
	}
	if p.network.faults.oneIn(5) {
		go func() {
			p.network.faults.randomDelay()
			_, _ = p.network.handlers[to](context.WithoutCancel(ctx), p.self, body)
		}()
	}
	out, err := p.network.handlers[to](ctx, p.self, body)
	if p.network.faults.oneIn(5) {
		return nil, errNoReply
	}
	return out, err
}

func (p *endpoint) Send(string, link.Kind, []byte) {}

func (p *endpoint) Handle(kind link.Kind, h link.Handler) {
	if kind == link.KindRequest {
		p.network.handlers[p.self] = h
	}
}

// worker is the only worker of a zone and has unlimited capacity. Its answers are
// correct but may be lost, and its reports may arrive late and more than once.
type worker struct {
	deployment *deployment
	name       string

	mu     sync.Mutex // guards states and starts
	states map[uint64]workerapi.TaskState
	starts map[model.JobID]int
}

// Do implements workerapi.Client.
func (w *worker) Do(_ context.Context, address string, c *workerapi.Command) (*workerapi.Reply, error) {
	w.deployment.faults.randomDelay()
	errNoReply := &workerapi.UnreachableError{Address: address, Cause: context.DeadlineExceeded}
	if w.deployment.faults.oneIn(8) {
		return nil, errNoReply
	}
	r := w.execute(c)
	if w.deployment.faults.oneIn(8) {
		return nil, errNoReply
	}
	return r, nil
}

func (w *worker) execute(c *workerapi.Command) *workerapi.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &workerapi.Reply{Number: c.Number, Incarnation: 1, Clock: time.Now().UnixMilli()}
	if c.Op == workerapi.Renew {
		return r
	}
	s, known := w.states[c.Fence]
	switch {
	case c.Op == workerapi.Reserve && !known:
		s = workerapi.TaskReserved
	case c.Op == workerapi.Start && s == workerapi.TaskReserved:
		s = workerapi.TaskRunning
		w.starts[c.Job]++
		go w.reportResult(c.Job, c.Fence, c.Task)
	case c.Op == workerapi.Stop && s == workerapi.TaskReserved:
		s = workerapi.TaskNotStarted
	case c.Op == workerapi.Stop && s == workerapi.TaskRunning:
		s = workerapi.TaskStopped
	case !known:
		s = workerapi.TaskAbsent
	}
	w.states[c.Fence] = s
	r.State = s
	return r
}

// reportResult reports a result through random routers until it is acknowledged, and
// at random again after that.
func (w *worker) reportResult(id model.JobID, fence uint64, task int) {
	w.deployment.faults.randomDelay()
	rep := &workerapi.Report{Worker: w.name, Job: id, Fence: fence, Result: &model.TaskResult{
		Task: task, Worker: w.name, OK: true, Output: string(id),
	}}
	for range 200 {
		acked := w.deployment.randomRouter().Report(context.Background(), rep) == nil
		if acked && !w.deployment.faults.oneIn(3) {
			return
		}
	}
}

// deployment has a router and a controller in each zone.
type deployment struct {
	faults  *faults
	routers []*routing.Router
	workers []*worker
	stop    func()
}

func (d *deployment) randomRouter() *routing.Router {
	d.faults.mu.Lock()
	defer d.faults.mu.Unlock()
	return d.routers[d.faults.rnd.IntN(len(d.routers))]
}

func deploy(t *rapid.T, seed uint64) *deployment {
	d := &deployment{faults: &faults{rnd: rand.New(rand.NewPCG(seed, 3))}}
	n := &network{faults: d.faults, handlers: map[string]link.Handler{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, z := range zones {
		m := jobs.New()
		g := replica.NewLocal(z, m)
		r := &routing.Router{
			Self: z, Zone: z, Zones: zones, InZone: func(zone string) []string { return []string{zone} },
			Peers: &endpoint{n, z}, Group: g, Machine: m, Log: logr.Discard(),
		}
		r.Register()
		w := &worker{deployment: d, name: "w-" + z, states: map[uint64]workerapi.TaskState{}, starts: map[model.JobID]int{}}
		adopt := &jobs.Command{Kind: jobs.KindAdoptConfig, Config: &model.ConfigChange{
			To: 1, Changed: []model.Service{{Name: "s", Customers: []model.Customer{{Name: "c", Weight: 1}}}},
		}}
		if entry, err := adopt.Encode(); err != nil {
			t.Fatal(err)
		} else if _, err = g.Propose(ctx, entry); err != nil {
			t.Fatal(err)
		}
		board := blackboard.New()
		board.Announce(model.Worker{
			Name: w.name, Rack: "r", Cores: 1000, MemoryMiB: 1000, Accelerators: 100, Slots: 100, Seq: 1,
		}, time.Now())
		c := &control.Controller{
			Zone: z, Group: g, Machine: m, Board: board, Client: w, Decide: policy.Decide,
			Lease: 2 * time.Second, Log: logr.Discard(),
		}
		wg.Go(func() { c.Run(ctx) })
		d.routers = append(d.routers, r)
		d.workers = append(d.workers, w)
	}
	d.stop = func() { cancel(); wg.Wait() }
	return d
}

// submitAndWait submits a job through a random router and waits for its final state.
// It starts again after an error, and at random as if the answer were lost. It returns
// nil if there is no final state after 200 attempts.
func (d *deployment) submitAndWait(spec *model.JobSpec) *model.Job {
	ctx := context.Background()
	for range 200 {
		resp, err := d.randomRouter().Submit(ctx, spec)
		if err != nil || d.faults.oneIn(3) {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		get := &routing.Request{Get: &routing.Get{ID: resp.Job.ID, WaitMillis: 500}}
		got, err := d.randomRouter().Do(ctx, resp.Job.ID.Zone(), get)
		if err == nil && got.Job.State.Final() {
			return got.Job
		}
	}
	return nil
}

// Guards against a job that is not repeatable and runs twice, a job that ran and is
// reported as not_run, and an answer that belongs to another job. The same requests
// go through random routers while messages are lost, duplicated and reordered on
// every path.
func TestNotRepeatableJobsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		d := deploy(t, seed)
		defer d.stop()
		answers := make([]*model.Job, rapid.IntRange(1, 12).Draw(t, "requests"))
		var wg sync.WaitGroup
		for i := range answers {
			spec := &model.JobSpec{Customer: "c", Key: fmt.Sprint("k", i%8), Tasks: 1, Accelerators: 1, CPU: 1, MemoryMiB: 1}
			wg.Go(func() { answers[i] = d.submitAndWait(spec) })
		}
		wg.Wait()
		for i, j := range answers {
			d.checkAnswer(t, i, j)
		}
	})
}

func (d *deployment) checkAnswer(t *rapid.T, i int, j *model.Job) {
	if j == nil {
		t.Fatalf("request %d has no final answer", i)
	}
	starts := 0
	for _, w := range d.workers {
		w.mu.Lock()
		starts += w.starts[j.ID]
		w.mu.Unlock()
	}
	switch {
	case starts > 1:
		t.Fatalf("job %s started %d times", j.ID, starts)
	case j.State == model.NotRun && starts > 0:
		t.Fatalf("job %s is reported as not_run but started", j.ID)
	case j.State == model.Done && (starts != 1 || j.Results[0].Output != string(j.ID)):
		t.Fatalf("job %s has a wrong answer: %+v", j.ID, j.Results)
	}
}
