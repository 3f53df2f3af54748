package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/sched/naive"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

type silentError struct{}

func (silentError) Error() string { return "no answer" }

// fakeWorker answers truthfully, but can be told to fail in one way.
type fakeWorker struct {
	states map[uint64]workerapi.TaskState
	starts int
	// refuse makes it refuse the operation, lose makes it carry the operation out
	// without an answer, silent makes it ignore everything after its start.
	refuse, lose workerapi.Operation
	silent       bool
	incarnation  uint64
	clock        int64
}

// fakes is a workerapi.Client for workers by address.
type fakes struct {
	mu      sync.Mutex
	workers map[string]*fakeWorker
}

func (f *fakes) Do(_ context.Context, address string, c *workerapi.Command) (*workerapi.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[address]
	if w.silent && w.starts > 0 {
		return nil, &workerapi.UnreachableError{Address: address, Cause: silentError{}}
	}
	w.clock++
	r := &workerapi.Reply{Number: c.Number, Incarnation: w.incarnation, Clock: w.clock}
	if c.Op == w.refuse {
		r.Refused = model.ReasonWorkerFull
		r.State = workerapi.TaskAbsent
		return r, nil
	}
	if c.Op == workerapi.Renew {
		r.Unknown = w.unknown(c.Fences)
		return r, nil
	}
	w.do(c, r)
	if c.Op == w.lose {
		w.lose = ""
		return nil, &workerapi.UnreachableError{Address: address, Cause: silentError{}}
	}
	return r, nil
}

func (w *fakeWorker) unknown(fences []uint64) []uint64 {
	var out []uint64
	for _, f := range fences {
		if _, ok := w.states[f]; !ok {
			out = append(out, f)
		}
	}
	return out
}

func (w *fakeWorker) do(c *workerapi.Command, r *workerapi.Reply) {
	s, known := w.states[c.Fence]
	switch {
	case c.Op == workerapi.Reserve && !known:
		s = workerapi.TaskReserved
	case c.Op == workerapi.Start && s == workerapi.TaskReserved:
		s = workerapi.TaskRunning
		w.starts++
	case c.Op == workerapi.Stop && s == workerapi.TaskRunning:
		s = workerapi.TaskStopped
	case c.Op == workerapi.Stop && s == workerapi.TaskReserved:
		s = workerapi.TaskNotStarted
	case !known:
		s = workerapi.TaskAbsent
	}
	w.states[c.Fence] = s
	r.State = s
}

// rig runs a controller over two fake workers.
type rig struct {
	board *blackboard.Board
	t     *testing.T
	m     *jobs.Machine
	group *replica.Local
	fakes *fakes
	id    model.JobID
}

const testLease = 300 * time.Millisecond

func newRig(t *testing.T, prepare func(a, b *fakeWorker)) *rig {
	m := jobs.New()
	r := &rig{t: t, m: m, group: replica.NewLocal("i", m), fakes: &fakes{workers: map[string]*fakeWorker{}}}
	board := blackboard.New()
	r.board = board
	for _, name := range []string{"a", "b"} {
		r.fakes.workers[name] = &fakeWorker{states: map[uint64]workerapi.TaskState{}, incarnation: 7}
		board.Announce(model.Worker{Name: name, Address: name, Rack: "r", Accelerators: 1, Slots: 1, Seq: 1}, time.Now())
	}
	prepare(r.fakes.workers["a"], r.fakes.workers["b"])
	r.propose(&jobs.Command{Kind: jobs.KindAdoptConfig, Config: &model.ConfigChange{
		To: 1, Changed: []model.Service{{Name: "s", Customers: []model.Customer{{Name: "c"}}}},
	}})
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		Zone: "z", Group: r.group, Machine: m, Board: board, Client: r.fakes,
		Decide: naive.Decide, Lease: testLease, Log: logr.Discard(),
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return r
}

func (r *rig) propose(c *jobs.Command) {
	c.At = time.Now()
	entry, err := c.Encode()
	if err == nil {
		_, err = r.group.Propose(context.Background(), entry)
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

// submit submits a gang of two tasks.
func (r *rig) submit(repeatable bool) {
	r.id = model.NewJobID("z", "c", "k")
	r.propose(&jobs.Command{Kind: jobs.KindSubmit, ID: r.id, Spec: &model.JobSpec{
		Customer: "c", Key: "k", Repeatable: repeatable, Tasks: 2, Accelerators: 1,
	}})
}

// until waits for a condition on the job's record.
func (r *rig) until(what string, f func(*model.Job) bool) *model.Job {
	r.t.Helper()
	for range 1000 {
		if j := r.m.Get(r.id); f(j) {
			return j
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("never: %s; job is %+v", what, r.m.Get(r.id))
	return nil
}

func (r *rig) state(s model.JobState) *model.Job {
	r.t.Helper()
	return r.until(fmt.Sprint("state ", s), func(j *model.Job) bool { return j.State == s })
}

func (r *rig) starts() (a, b int) {
	r.fakes.mu.Lock()
	defer r.fakes.mu.Unlock()
	return r.fakes.workers["a"].starts, r.fakes.workers["b"].starts
}

// Guards against a gang that starts in part when a member cannot be reserved.
func TestRefusedReserveStartsNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(_, b *fakeWorker) { b.refuse = workerapi.Reserve })
	r.submit(false)
	r.until("second attempt", func(j *model.Job) bool { return j.Attempts > 1 })
	a, b := r.starts()
	is.Equal(a+b, 0)
	r.propose(&jobs.Command{Kind: jobs.KindCancel, ID: r.id})
	r.state(model.NotRun)
}

// Guards against a second start after a lost answer.
func TestLostStartAnswerDoesNotDouble(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(a, _ *fakeWorker) { a.lose = workerapi.Start })
	r.submit(false)
	j := r.state(model.Running)
	is.Equal(j.Attempts, 1)
	a, b := r.starts()
	is.Equal(a, 1)
	is.Equal(b, 1)
}

// Guards against the rest of a gang running on when a member goes silent, and
// against a definite answer when it is not known what the member did.
func TestSilentMemberEndsTheGang(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(a, _ *fakeWorker) { a.silent = true })
	r.submit(false)
	j := r.state(model.Unknown)
	is.Equal(j.Attempts, 1)
	r.fakes.mu.Lock()
	defer r.fakes.mu.Unlock()
	for _, s := range r.fakes.workers["b"].states {
		is.Equal(s, workerapi.TaskStopped)
	}
}

// Guards against calling a job not run, or running it again, when a worker that
// was asked to start it has restarted and knows nothing of it.
func TestRestartedWorkerMakesOutcomeUnknown(t *testing.T) {
	r := newRig(t, func(_, _ *fakeWorker) {})
	r.submit(false)
	r.state(model.Running)
	r.fakes.mu.Lock()
	r.fakes.workers["a"].states = map[uint64]workerapi.TaskState{}
	r.fakes.workers["a"].incarnation = 8
	r.fakes.mu.Unlock()
	r.state(model.Unknown)
}

// Guards against unknown where it is certain that nothing ran: every member
// refused its start or says that it did not start.
func TestRefusedStartIsNotRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(a, b *fakeWorker) {
		a.refuse = workerapi.Start
		b.refuse = workerapi.Start
	})
	r.submit(false)
	r.until("second attempt", func(j *model.Job) bool { return j.Attempts > 1 })
	r.propose(&jobs.Command{Kind: jobs.KindCancel, ID: r.id})
	j := r.until("a final state", func(j *model.Job) bool { return j.State.Final() })
	is.Equal(j.State, model.NotRun)
	a, b := r.starts()
	is.Equal(a+b, 0)
}

// Guards against leases that end although the leader renews them.
func TestLeasesAreRenewed(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(_, _ *fakeWorker) {})
	r.submit(true)
	r.state(model.Running)
	time.Sleep(5 * testLease)
	j := r.m.Get(r.id)
	is.Equal(j.State, model.Running)
	is.Equal(j.Attempts, 1)
}

// Guards against a renewal that extends a lease beyond the echoed reading of
// the worker's clock.
func TestGrantCountsFromTheEcho(t *testing.T) {
	is := is.New(t)
	c := newContacts()
	now := time.Now()
	cmd := &workerapi.Command{}
	is.True(c.grant("w", cmd, time.Second).IsZero())
	is.Equal(cmd.Echo, int64(0))
	c.note("w", &workerapi.Reply{Incarnation: 1, Clock: 50}, now)
	c.note("w", &workerapi.Reply{Incarnation: 1, Clock: 40}, now.Add(time.Minute))
	is.Equal(c.grant("w", cmd, time.Second), now.Add(time.Second))
	is.Equal(cmd.Echo, int64(50))
	is.Equal(cmd.EchoIncarnation, uint64(1))
}

// Guards against losing a running job because a new leader takes it over before
// it has heard of its workers.
func TestTakeoverBeforeAnnouncement(t *testing.T) {
	is := is.New(t)
	r := newRig(t, func(_, _ *fakeWorker) {})
	r.submit(false)
	r.state(model.Running)
	r.board.Prune(time.Now().Add(time.Hour))
	board := blackboard.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next := &Controller{
		Zone: "z", Group: r.group, Machine: r.m, Board: board, Client: r.fakes,
		Decide: naive.Decide, Lease: 10 * testLease, Log: logr.Discard(),
	}
	go next.Run(ctx)
	time.Sleep(testLease / 3)
	for _, name := range []string{"a", "b"} {
		w := model.Worker{Name: name, Address: name, Rack: "r", Accelerators: 1, Slots: 1, Seq: 2}
		board.Announce(w, time.Now())
		r.board.Announce(w, time.Now())
	}
	time.Sleep(4 * testLease)
	j := r.m.Get(r.id)
	is.Equal(j.State, model.Running)
	is.Equal(j.Attempts, 1)
}
