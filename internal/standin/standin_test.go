package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

const testJob = model.JobID("z-1.0123456789abcdef01234567")

// fakeEntry stands in for the entry instances. It records announcements and
// reports, and answers with the given status.
type fakeEntry struct {
	mu       sync.Mutex
	status   int
	announce []model.Worker
	reports  []workerapi.Report
}

func (s *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/v1/workers/announce" {
		var a model.Worker
		_ = json.NewDecoder(r.Body).Decode(&a)
		s.announce = append(s.announce, a)
	} else {
		var rep workerapi.Report
		_ = json.NewDecoder(r.Body).Decode(&rep)
		s.reports = append(s.reports, rep)
	}
	w.WriteHeader(s.status)
}

func (s *fakeEntry) setStatus(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = n
}

func (s *fakeEntry) counts() (announcements, reports int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.announce), len(s.reports)
}

// fixture is a worker that runs in the test process, with its client and entry
// instance.
type fixture struct {
	worker      *Worker
	fakeEntry   *fakeEntry
	leave       context.CancelFunc
	ended       chan struct{}
	client      *workerapi.HTTPClient
	number      uint64
	journalPath string
}

func startWorker(t *testing.T, configure func(*Options)) *fixture {
	t.Helper()
	is := is.New(t)
	f := &fixture{fakeEntry: &fakeEntry{status: http.StatusNoContent}, ended: make(chan struct{}), client: workerapi.NewHTTPClient()}
	entry := httptest.NewServer(f.fakeEntry)
	f.journalPath = filepath.Join(t.TempDir(), "w.journal")
	o := &Options{
		Name: "w-1", Zone: "z-1", Rack: "r-1", Entries: []string{entry.Listener.Addr().String()},
		Accelerators: 8, Cores: 64, MemoryMiB: 1024, Slots: 8, Journal: f.journalPath, AnnouncePeriod: 50 * time.Millisecond,
		UsagePeriod: 30 * time.Millisecond, UsageLag: 10 * time.Millisecond, CheckpointTime: 10 * time.Millisecond,
	}
	if configure != nil {
		configure(o)
	}
	var err error
	f.worker, err = New(o)
	is.NoErr(err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	f.leave = cancel
	go func() {
		defer close(f.ended)
		_ = f.worker.Serve(ctx, ln)
	}()
	t.Cleanup(func() {
		cancel()
		f.worker.endAllNow()
		<-f.ended
		entry.Close()
	})
	waitFor(t, func() bool { n, _ := f.fakeEntry.counts(); return n > 0 })
	return f
}

// endAllNow ends all tasks and drops their results, so that a leaving worker ends
// at once.
func (w *Worker) endAllNow() {
	w.endAllTasks()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		t.acked = true
	}
	w.unacked = 0
}

func waitFor(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("condition was not met in 5 s")
}

func (f *fixture) newCommand(op workerapi.Operation, fence uint64, payload string) *workerapi.Command {
	f.number++
	return &workerapi.Command{
		Op: op, Number: f.number, Zone: "z-1", Term: 1, Fence: fence, Job: testJob,
		Spec: &model.JobSpec{Payload: payload, CPU: 1, MemoryMiB: 100}, Accelerators: []int{int(fence) % 8}, LeaseSeconds: 5,
		Echo: time.Since(f.worker.clockStart).Milliseconds(), EchoIncarnation: f.worker.incarnation,
	}
}

func (f *fixture) do(op workerapi.Operation, fence uint64, payload string) *workerapi.Reply {
	return f.worker.Do(context.Background(), f.newCommand(op, fence, payload))
}

func (f *fixture) countEvents(t *testing.T, kind EventKind) int {
	t.Helper()
	list, err := ReadJournal(f.journalPath)
	is.New(t).NoErr(err)
	n := 0
	for i := range list {
		if list[i].Event == kind {
			n++
		}
	}
	return n
}

// Guards against a task that starts after a stop of it was answered: the leader
// concludes not_started from that answer.
func TestStopMakesLaterStartImpossible(t *testing.T) {
	is := is.New(t)
	f := startWorker(t, nil)
	r := f.do(workerapi.Stop, 7, "")
	is.Equal(r.State, workerapi.TaskAbsent)
	is.Equal(r.Incarnation, f.worker.incarnation)
	is.Equal(f.do(workerapi.Reserve, 7, "").Refused, model.ReasonStaleFence)
	is.Equal(f.do(workerapi.Start, 7, "").Refused, model.ReasonStaleFence)

	is.Equal(f.do(workerapi.Reserve, 8, "").State, workerapi.TaskReserved)
	is.Equal(f.do(workerapi.Stop, 8, "").State, workerapi.TaskNotStarted)
	is.Equal(f.do(workerapi.Start, 8, "").Refused, model.ReasonStaleFence)
	is.Equal(f.countEvents(t, EventStart), 0)
	is.Equal(f.countEvents(t, EventRefuse), 3)

	is.Equal(f.do(workerapi.Reserve, 9, "never-end").State, workerapi.TaskReserved)
	is.Equal(f.do(workerapi.Start, 9, "").State, workerapi.TaskRunning)
	is.Equal(f.do(workerapi.Stop, 9, "").State, workerapi.TaskStopped)
	is.Equal(f.countEvents(t, EventStart), 1)
	is.Equal(f.countEvents(t, EventStop), 1)
}

// Guards against the answer "absent" for a fencing token whose task ran but was
// forgotten.
func TestForgottenFencingNumberHasNoState(t *testing.T) {
	is := is.New(t)
	f := startWorker(t, nil)
	is.Equal(f.do(workerapi.Reserve, 1, "never-end").Refused, model.Reason(""))
	is.Equal(f.do(workerapi.Start, 1, "").State, workerapi.TaskRunning)
	is.Equal(f.do(workerapi.Stop, 1, "").State, workerapi.TaskStopped)
	for i := range uint64(maxEndedTasks) {
		f.do(workerapi.Stop, 10+i, "")
	}
	f.worker.mu.Lock()
	n := len(f.worker.tasks)
	f.worker.mu.Unlock()
	is.Equal(n, maxEndedTasks)
	r := f.do(workerapi.Stop, 1, "")
	is.Equal(r.State, workerapi.TaskState(""))
	is.Equal(r.Refused, model.ReasonStaleFence)
}

// Guards against executing commands of a leader of an earlier term, and against
// executing a resent command twice.
func TestTermsAndDuplicates(t *testing.T) {
	is := is.New(t)
	f := startWorker(t, nil)
	c := f.newCommand(workerapi.Reserve, 3, "never-end")
	first := f.worker.Do(context.Background(), c)
	f.do(workerapi.Stop, 3, "")
	is.Equal(f.worker.Do(context.Background(), c), first) // the same answer again
	next := f.newCommand(workerapi.Reserve, 4, "")
	next.Term = 5
	is.Equal(f.worker.Do(context.Background(), next).Refused, model.Reason(""))
	r := f.do(workerapi.Start, 4, "")
	is.Equal(r.Refused, model.ReasonStaleTerm)
	is.Equal(r.Term, uint64(5))
	is.Equal(f.countEvents(t, EventStart), 0)
	other := f.newCommand(workerapi.Start, 4, "")
	other.Term, other.Job = 5, "z-1.aaaaaaaaaaaaaaaaaaaaaaaa"
	is.Equal(f.worker.Do(context.Background(), other).Refused, model.ReasonStaleFence)
	other.Zone = "z-2"
	is.Equal(f.worker.Do(context.Background(), other).Refused, model.ReasonInvalid)
}

// Guards against a task that keeps running after its lease has expired.
func TestLeaseEndsTask(t *testing.T) {
	is := is.New(t)
	f := startWorker(t, nil)
	f.do(workerapi.Reserve, 1, "never-end")
	c := f.newCommand(workerapi.Start, 1, "")
	c.LeaseSeconds = 0.15
	is.Equal(f.worker.Do(context.Background(), c).State, workerapi.TaskRunning)
	renew := f.newCommand(workerapi.Renew, 0, "")
	renew.Fences, renew.LeaseSeconds = []uint64{1, 2}, 0.3
	is.Equal(f.worker.Do(context.Background(), renew).Unknown, []uint64{2})
	time.Sleep(170 * time.Millisecond)
	is.Equal(f.do(workerapi.Status, 1, "").State, workerapi.TaskRunning)
	waitFor(t, func() bool { return f.do(workerapi.Status, 1, "").State == workerapi.TaskStopped })
	is.Equal(f.do(workerapi.Start, 1, "").Refused, model.ReasonStaleFence)
}

// Guards against a start that is delayed in transit, or meant for another
// incarnation of the worker, and grants a lease beyond the time that its sender
// assumes.
func TestDelayedStartGrantsNoLease(t *testing.T) {
	is := is.New(t)
	f := startWorker(t, nil)
	f.do(workerapi.Reserve, 1, "never-end")
	c := f.newCommand(workerapi.Start, 1, "")
	c.LeaseSeconds = 0.05
	time.Sleep(60 * time.Millisecond)
	is.Equal(f.worker.Do(context.Background(), c).Refused, model.ReasonTimeout)
	c = f.newCommand(workerapi.Start, 1, "")
	c.EchoIncarnation++
	is.Equal(f.worker.Do(context.Background(), c).Refused, model.ReasonTimeout)
	is.Equal(f.countEvents(t, EventStart), 0)
	is.Equal(f.do(workerapi.Stop, 1, "").State, workerapi.TaskNotStarted)
}

// Guards against a lost result: it is resent until acknowledged and stays
// available to the status operation.
func TestResultsAreResentAndKept(t *testing.T) {
	is := is.New(t)
	f := startWorker(t, nil)
	f.fakeEntry.setStatus(http.StatusServiceUnavailable)
	f.do(workerapi.Reserve, 1, "sleep=1ms")
	f.do(workerapi.Start, 1, "")
	waitFor(t, func() bool { _, n := f.fakeEntry.counts(); return n >= 2 })
	f.leave()
	time.Sleep(50 * time.Millisecond)
	r := f.do(workerapi.Status, 1, "")
	is.Equal(r.State, workerapi.TaskFinished)
	is.Equal(r.Result.Output, TaskOutput(testJob, 0, "sleep=1ms"))
	f.fakeEntry.setStatus(http.StatusNoContent)
	<-f.ended // a leaving worker ends once its results are acknowledged
}

// Guards against a leaving worker that accepts new work or interrupts a task.
func TestLeavingWorkerFinishesItsTasks(t *testing.T) {
	is := is.New(t)
	f := startWorker(t, nil)
	f.do(workerapi.Reserve, 1, "sleep=200ms")
	f.do(workerapi.Start, 1, "")
	f.leave()
	waitFor(t, func() bool {
		f.worker.mu.Lock()
		defer f.worker.mu.Unlock()
		return f.worker.leaving
	})
	is.Equal(f.do(workerapi.Reserve, 2, "").Refused, model.ReasonWorkerLeaving)
	<-f.ended
	is.Equal(f.countEvents(t, EventFinish), 1)
	f.fakeEntry.mu.Lock()
	defer f.fakeEntry.mu.Unlock()
	is.True(f.fakeEntry.announce[len(f.fakeEntry.announce)-1].Leaving)
}

// Guards against progress that a checkpoint does not save or that the next
// attempt does not resume from.
func TestCheckpointAndThrottle(t *testing.T) {
	is := is.New(t)
	f := startWorker(t, func(o *Options) { o.Checkpoints = t.TempDir() })
	f.do(workerapi.Reserve, 1, "sleep=10s")
	f.do(workerapi.Start, 1, "")
	time.Sleep(50 * time.Millisecond)
	is.Equal(f.do(workerapi.Throttle, 1, "").State, workerapi.TaskRunning)
	is.Equal(f.do(workerapi.Checkpoint, 1, "").State, workerapi.TaskRunning)
	is.Equal(f.do(workerapi.Stop, 1, "").State, workerapi.TaskStopped)
	is.Equal(f.countEvents(t, EventCheckpoint), 1)
	is.Equal(f.countEvents(t, EventThrottle), 1)
	is.True(f.worker.restoreCheckpoint(testJob, 0) >= 50*time.Millisecond)
	f.do(workerapi.Reserve, 2, "sleep=10s")
	f.do(workerapi.Start, 2, "")
	f.worker.mu.Lock()
	defer f.worker.mu.Unlock()
	is.True(f.worker.tasks[taskKey{2, 0}].done >= 50*time.Millisecond)
}

// Guards against faults that are not injected or that affect more than they name: a
// command whose answer is lost is still executed, a failing task still reports its
// result, connections opened after silence_open work, and unknown faults are refused.
func TestFaults(t *testing.T) {
	is := is.New(t)
	f := startWorker(t, nil)
	set := func(body string) {
		resp, err := http.Post("http://"+f.worker.address+"/standin/faults", "application/json", strings.NewReader(body))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		_ = resp.Body.Close()
	}
	send := func(op workerapi.Operation, fence uint64) (*workerapi.Reply, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		return f.client.Do(ctx, f.worker.address, f.newCommand(op, fence, "sleep=1ms"))
	}
	set(`{"lose_answers":1,"operations":["reserve"],"fail_all":true,"double_reports":true}`)
	_, err := send(workerapi.Reserve, 1)
	is.True(err != nil)
	is.Equal(f.countEvents(t, EventReserve), 1)
	_, err = send(workerapi.Start, 1)
	is.NoErr(err)
	waitFor(t, func() bool { _, n := f.fakeEntry.counts(); return n >= 2 })
	is.True(!f.do(workerapi.Status, 1, "").Result.OK)

	_, err = send(workerapi.Status, 1) // leaves a connection open
	is.NoErr(err)
	set(`{"silence_open":true}`)
	_, err = send(workerapi.Status, 1) // on the silent connection
	is.True(err != nil)
	_, err = send(workerapi.Status, 1) // on a new one
	is.NoErr(err)

	resp, err := http.Post("http://"+f.worker.address+"/standin/faults", "application/json", strings.NewReader(`{"no_such":1}`))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	_ = resp.Body.Close()
}

// Guards against reservations of resources that are in use.
func TestReserveRefusesResourcesInUse(t *testing.T) {
	is := is.New(t)
	f := startWorker(t, nil)
	is.Equal(f.do(workerapi.Reserve, 1, "").Refused, model.Reason(""))
	is.Equal(f.do(workerapi.Reserve, 9, "").Refused, model.ReasonWorkerFull) // accelerator 1
	c := f.newCommand(workerapi.Reserve, 2, "")
	c.Spec.MemoryMiB = 1000
	is.Equal(f.worker.Do(context.Background(), c).Refused, model.ReasonWorkerFull)
}

// Guards against usage reports that the usage_factor fault does not change.
func TestUsageFactor(t *testing.T) {
	is := is.New(t)
	f := startWorker(t, func(o *Options) { o.Faults = `{"usage_factor":3}` })
	f.do(workerapi.Reserve, 1, "never-end,memory=200")
	f.do(workerapi.Start, 1, "")
	waitFor(t, func() bool { _, n := f.fakeEntry.counts(); return n > 0 })
	f.fakeEntry.mu.Lock()
	defer f.fakeEntry.mu.Unlock()
	is.Equal(f.fakeEntry.reports[0].Usage.MemoryMiB, 600)
	is.Equal(f.fakeEntry.reports[0].Usage.CPU, 3.0)
}

// Guards against a renewal that is delayed in transit and extends a lease beyond
// the time that the leader assumes.
func TestDelayedRenewalDoesNotExtendLease(t *testing.T) {
	is := is.New(t)
	f := startWorker(t, nil)
	reserve := f.newCommand(workerapi.Reserve, 1, "never-end")
	f.worker.Do(context.Background(), reserve)
	c := f.newCommand(workerapi.Start, 1, "")
	c.LeaseSeconds = 0.2
	is.Equal(f.worker.Do(context.Background(), c).State, workerapi.TaskRunning)
	renew := f.newCommand(workerapi.Renew, 0, "")
	renew.Fences = []uint64{1}
	renew.LeaseSeconds = 0.2
	time.Sleep(150 * time.Millisecond)
	f.worker.Do(context.Background(), renew)
	time.Sleep(150 * time.Millisecond)
	is.Equal(f.do(workerapi.Status, 1, "").State, workerapi.TaskStopped)
}
