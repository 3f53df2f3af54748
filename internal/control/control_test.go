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

type noAnswerError struct{}

func (noAnswerError) Error() string { return "no answer" }

// fakeWorker reports its state truthfully, but can be set to fail in one way.
type fakeWorker struct {
	states map[uint64]workerapi.TaskState
	starts int
	// refuse is an operation that the worker refuses. loseReply is an operation
	// that it carries out without a reply, once. silentAfterStart makes it
	// ignore all commands after its first start.
	refuse, loseReply workerapi.Operation
	silentAfterStart  bool
	crashes           bool // restarts after each start
	incarnation       uint64
	clock             int64
}

// fakeClient is a workerapi.Client for fake workers, by address.
type fakeClient struct {
	mu      sync.Mutex
	workers map[string]*fakeWorker
}

func (f *fakeClient) Do(_ context.Context, address string, c *workerapi.Command) (*workerapi.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[address]
	if w.silentAfterStart && w.starts > 0 {
		return nil, &workerapi.UnreachableError{Address: address, Cause: noAnswerError{}}
	}
	w.clock++
	r := &workerapi.Reply{Number: c.Number, Incarnation: w.incarnation, Clock: w.clock}
	if c.Op == w.refuse {
		r.Refused = model.ReasonWorkerFull
		r.State = workerapi.TaskAbsent
		return r, nil
	}
	if c.Op == workerapi.Renew {
		r.Unknown = w.unknownFences(c.Fences)
		return r, nil
	}
	w.execute(c, r)
	if c.Op == workerapi.Start && w.crashes {
		w.states = map[uint64]workerapi.TaskState{}
		w.incarnation++
	}
	if c.Op == w.loseReply {
		w.loseReply = ""
		return nil, &workerapi.UnreachableError{Address: address, Cause: noAnswerError{}}
	}
	return r, nil
}

func (w *fakeWorker) unknownFences(fences []uint64) []uint64 {
	var out []uint64
	for _, f := range fences {
		if _, ok := w.states[f]; !ok {
			out = append(out, f)
		}
	}
	return out
}

func (w *fakeWorker) execute(c *workerapi.Command, r *workerapi.Reply) {
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

// fixture runs a controller with two fake workers.
type fixture struct {
	board      *blackboard.Board
	t          *testing.T
	machine    *jobs.Machine
	group      *replica.Local
	fakeClient *fakeClient
	id         model.JobID
}

const testLease = 300 * time.Millisecond

func newFixture(t *testing.T, prepare func(a, b *fakeWorker)) *fixture {
	m := jobs.New()
	f := &fixture{t: t, machine: m, group: replica.NewLocal("i", m), fakeClient: &fakeClient{workers: map[string]*fakeWorker{}}}
	board := blackboard.New()
	f.board = board
	for _, name := range []string{"a", "b"} {
		f.fakeClient.workers[name] = &fakeWorker{states: map[uint64]workerapi.TaskState{}, incarnation: 7}
		board.Announce(model.Worker{Name: name, Address: name, Rack: "r", Accelerators: 1, Slots: 1, Seq: 1}, time.Now())
	}
	prepare(f.fakeClient.workers["a"], f.fakeClient.workers["b"])
	f.propose(&jobs.Command{Kind: jobs.KindAdoptConfig, Config: &model.ConfigChange{
		To: 1, Changed: []model.Service{{Name: "s", Customers: []model.Customer{{Name: "c"}}}},
	}})
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		Zone: "z", Group: f.group, Machine: m, Board: board, Client: f.fakeClient,
		Decide: naive.Decide, Lease: testLease, Log: logr.Discard(),
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return f
}

func (f *fixture) propose(c *jobs.Command) {
	c.At = time.Now()
	entry, err := c.Encode()
	if err == nil {
		_, err = f.group.Propose(context.Background(), entry)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

// submit submits a job of two tasks.
func (f *fixture) submit(repeatable bool) {
	f.id = model.NewJobID("z", "c", "k")
	f.propose(&jobs.Command{Kind: jobs.KindSubmit, ID: f.id, Spec: &model.JobSpec{
		Customer: "c", Key: "k", Repeatable: repeatable, Tasks: 2, Accelerators: 1,
	}})
}

// waitFor waits until the job's record meets a condition.
func (f *fixture) waitFor(what string, condition func(*model.Job) bool) *model.Job {
	f.t.Helper()
	for range 1000 {
		if j := f.machine.Get(f.id); condition(j) {
			return j
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting for %s; job is %+v", what, f.machine.Get(f.id))
	return nil
}

func (f *fixture) waitForState(s model.JobState) *model.Job {
	f.t.Helper()
	return f.waitFor(fmt.Sprint("state ", s), func(j *model.Job) bool { return j.State == s })
}

func (f *fixture) starts() (a, b int) {
	f.fakeClient.mu.Lock()
	defer f.fakeClient.mu.Unlock()
	return f.fakeClient.workers["a"].starts, f.fakeClient.workers["b"].starts
}

// Guards against a partial start of a gang when one member's reservation is
// refused.
func TestRefusedReserveStartsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_, b *fakeWorker) { b.refuse = workerapi.Reserve })
	f.submit(false)
	f.waitFor("second attempt", func(j *model.Job) bool { return j.Attempts > 1 })
	a, b := f.starts()
	is.Equal(a+b, 0)
	f.propose(&jobs.Command{Kind: jobs.KindCancel, ID: f.id})
	f.waitForState(model.NotRun)
}

// Guards against starting a task twice when the reply to the start command is
// lost.
func TestLostStartReplyStartsOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(a, _ *fakeWorker) { a.loseReply = workerapi.Start })
	f.submit(false)
	j := f.waitForState(model.Running)
	is.Equal(j.Attempts, 1)
	a, b := f.starts()
	is.Equal(a, 1)
	is.Equal(b, 1)
}

// Guards against a gang whose other members keep running when one stops
// answering, and against reporting a definite outcome although it is not known
// what that member did.
func TestSilentMemberStopsGang(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(a, _ *fakeWorker) { a.silentAfterStart = true })
	f.submit(false)
	j := f.waitForState(model.Unknown)
	is.Equal(j.Attempts, 1)
	f.fakeClient.mu.Lock()
	defer f.fakeClient.mu.Unlock()
	for _, s := range f.fakeClient.workers["b"].states {
		is.Equal(s, workerapi.TaskStopped)
	}
}

// Guards against reporting a job as not run, or running it again, after a
// worker that received its start command has restarted and lost all knowledge
// of it.
func TestRestartedWorkerMakesOutcomeUnknown(t *testing.T) {
	f := newFixture(t, func(_, _ *fakeWorker) {})
	f.submit(false)
	f.waitForState(model.Running)
	f.fakeClient.mu.Lock()
	f.fakeClient.workers["a"].states = map[uint64]workerapi.TaskState{}
	f.fakeClient.workers["a"].incarnation = 8
	f.fakeClient.mu.Unlock()
	f.waitForState(model.Unknown)
}

// A repeatable job crashes a worker each time it is started. Guards against attempts that leave
// no trace.
func TestAttemptsThatCrashWorkersAreCounted(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(a, _ *fakeWorker) { a.crashes = true })
	f.submit(true)
	j := f.waitFor("a second crash", func(j *model.Job) bool { return j.Crashes == 2 })
	is.Equal(j.Attempts, 2)
}

// Guards against the state unknown where it is certain that nothing ran: every
// member refused its start or reports that it did not start.
func TestRefusedStartIsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(a, b *fakeWorker) {
		a.refuse = workerapi.Start
		b.refuse = workerapi.Start
	})
	f.submit(false)
	f.waitFor("second attempt", func(j *model.Job) bool { return j.Attempts > 1 })
	f.propose(&jobs.Command{Kind: jobs.KindCancel, ID: f.id})
	j := f.waitFor("a final state", func(j *model.Job) bool { return j.State.Final() })
	is.Equal(j.State, model.NotRun)
	a, b := f.starts()
	is.Equal(a+b, 0)
}

// Guards against leases that expire although the leader renews them.
func TestLeasesAreRenewed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_, _ *fakeWorker) {})
	f.submit(true)
	f.waitForState(model.Running)
	time.Sleep(5 * testLease)
	j := f.machine.Get(f.id)
	is.Equal(j.State, model.Running)
	is.Equal(j.Attempts, 1)
}

// Guards against a renewal that extends a lease beyond one lease time after the
// echoed clock reading of the worker.
func TestLeaseCountsFromEchoedClock(t *testing.T) {
	is := is.New(t)
	c := newClockReadings()
	now := time.Now()
	cmd := &workerapi.Command{}
	is.True(c.grantLease("w", cmd, time.Second).IsZero())
	is.Equal(cmd.Echo, int64(0))
	c.record("w", &workerapi.Reply{Incarnation: 1, Clock: 50}, now)
	c.record("w", &workerapi.Reply{Incarnation: 1, Clock: 40}, now.Add(time.Minute))
	is.Equal(c.grantLease("w", cmd, time.Second), now.Add(time.Second))
	is.Equal(cmd.Echo, int64(50))
	is.Equal(cmd.EchoIncarnation, uint64(1))
}

// Guards against losing a running job because a new leader takes it over before
// it has received an announcement of its workers.
func TestTakeoverBeforeWorkersAnnounce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_, _ *fakeWorker) {})
	f.submit(false)
	f.waitForState(model.Running)
	f.board.Prune(time.Now().Add(time.Hour))
	board := blackboard.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	next := &Controller{
		Zone: "z", Group: f.group, Machine: f.machine, Board: board, Client: f.fakeClient,
		Decide: naive.Decide, Lease: 10 * testLease, Log: logr.Discard(),
	}
	go next.Run(ctx)
	time.Sleep(testLease / 3)
	for _, name := range []string{"a", "b"} {
		w := model.Worker{Name: name, Address: name, Rack: "r", Accelerators: 1, Slots: 1, Seq: 2}
		board.Announce(w, time.Now())
		f.board.Announce(w, time.Now())
	}
	time.Sleep(4 * testLease)
	j := f.machine.Get(f.id)
	is.Equal(j.State, model.Running)
	is.Equal(j.Attempts, 1)
}

// Guards against placing jobs by an outdated configuration after a recovery
// election.
func TestPlacementWaitsAfterRecovery(t *testing.T) {
	is := is.New(t)
	confirmed := time.Time{}
	c := &Controller{ConfigConfirmed: func() time.Time { return confirmed }}
	now := time.Now()
	c.holdAfterRecovery(1<<32 + 1) // term of a normal election
	is.True(!c.placementOnHold(now))
	c.holdAfterRecovery(1 << 32)
	is.True(c.placementOnHold(time.Now()))
	confirmed = time.Now().Add(time.Second)
	is.True(!c.placementOnHold(time.Now()))
	c.holdAfterRecovery(1 << 32)
	confirmed = now
	is.True(!c.placementOnHold(time.Now().Add(recoveryHold))) // no voter confirms in time
}
