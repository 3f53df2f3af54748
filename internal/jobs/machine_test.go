package jobs

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// fixture applies commands to a machine with one customer.
type fixture struct {
	t       *testing.T
	machine *Machine
	index   uint64
	now     time.Time
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, machine: New(), now: time.Unix(1000, 0).UTC()}
	f.apply(&Command{Kind: KindAdoptConfig, Config: &model.ConfigChange{
		To:      1,
		Changed: []model.Service{{Name: "s", Customers: []model.Customer{{Name: "c", QueueLimit: 2}}}},
	}})
	return f
}

func (f *fixture) apply(c *Command) *Result {
	f.t.Helper()
	f.index++
	f.now = f.now.Add(time.Second)
	c.At = f.now
	entry, err := c.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	return f.machine.Apply(f.index, entry).(*Result)
}

func (f *fixture) submit(key string, repeatable bool, tasks int) *Result {
	spec := &model.JobSpec{Customer: "c", Key: key, Repeatable: repeatable, Tasks: tasks, Accelerators: 1}
	return f.apply(&Command{Kind: KindSubmit, ID: model.NewJobID("z", "c", key), Spec: spec})
}

// startAttempt brings a job to the start phase of a new attempt and returns the
// attempt's fencing token.
func (f *fixture) startAttempt(id model.JobID, workers ...string) uint64 {
	var p []model.TaskPlacement
	for i, w := range workers {
		p = append(p, model.TaskPlacement{Task: i, Worker: w, Accelerators: []int{0}})
	}
	r := f.apply(&Command{Kind: KindRecordIntent, ID: id, Intent: &Intent{Placement: p}})
	if r.Refusal != nil {
		f.t.Fatal(r.Refusal)
	}
	fence := r.Job.Attempt.Fence
	f.apply(&Command{Kind: KindCommitStart, ID: id, Fence: fence})
	return fence
}

// Guards against a resent request that creates a second job, and against a key
// that is accepted for two different requests.
func TestSubmitIsIdempotentByKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	first := f.submit("k", false, 1)
	again := f.submit("k", false, 1)
	is.True(again.Existing)
	is.Equal(first.Job.Seq, again.Job.Seq)
	is.Equal(f.submit("k", false, 2).Refusal.Reason, model.ReasonKeyConflict)
}

// Guards against a queue that grows without bound.
func TestQueueLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.submit("a", true, 1)
	f.submit("b", true, 1)
	r := f.submit("c", true, 1)
	is.Equal(r.Refusal.Reason, model.ReasonQueueFull)
	is.Equal(r.Refusal.State, model.NotRun)
}

// Guards against the state not_run for a job that ran, and against a second run
// of a not-repeatable job.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		repeatable bool
		cancel     bool
		outcome    Outcome
		want       model.JobState
	}{
		{"not started is queued again", false, false, NotStarted, model.Queued},
		{"not started and cancelled is not run", false, true, NotStarted, model.NotRun},
		{"not started, cancelled and repeatable may have run in another zone", true, true, NotStarted, model.Cancelled},
		{"lost and not repeatable is unknown", false, false, Lost, model.Unknown},
		{"lost, cancelled and not repeatable is unknown", false, true, Lost, model.Unknown},
		{"lost and repeatable is queued again", true, false, Lost, model.Queued},
		{"stopped and not repeatable has failed", false, false, Stopped, model.Failed},
		{"stopped and cancelled is cancelled", true, true, Stopped, model.Cancelled},
		{"failed and not repeatable has failed", false, false, TaskFailed, model.Failed},
		{"failed and repeatable is queued again", true, false, TaskFailed, model.Queued},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			id := f.submit("k", c.repeatable, 1).Job.ID
			fence := f.startAttempt(id, "w")
			if c.cancel {
				f.apply(&Command{Kind: KindCancel, ID: id})
			}
			r := f.apply(&Command{Kind: KindEndAttempt, ID: id, Fence: fence, Outcome: c.outcome, Reason: model.ReasonWorkerLost})
			is.Equal(r.Refusal, nil)
			is.Equal(r.Job.State, c.want)
		})
	}
}

// Guards against a job that crashes one worker after the other, and against two jobs that were
// lost with the same worker and start together again.
func TestJobThatCrashesWorkersIsGivenUp(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a, b := f.submit("a", true, 1).Job.ID, f.submit("b", true, 1).Job.ID
	// crash ends an attempt and returns the job and the delay of its next one.
	crash := func(id model.JobID, crashed bool) (*model.Job, time.Duration) {
		fence := f.startAttempt(id, "w")
		j := f.apply(&Command{Kind: KindEndAttempt, ID: id, Fence: fence, Outcome: Lost, Reason: model.ReasonWorkerLost, Crashed: crashed}).Job
		return j, j.RetryAt.Sub(f.now)
	}
	for range 2 * maxCrashes {
		j, _ := crash(b, false) // the worker is only silent
		is.Equal(j.State, model.Queued)
	}
	apart := false
	for n := 1; n < maxCrashes; n++ {
		j, delay := crash(a, true)
		_, otherDelay := crash(b, true)
		is.Equal(j.State, model.Queued)
		is.True(delay >= 0 && delay <= time.Duration(n)*crashDelayStep)
		apart = apart || (delay-otherDelay).Abs() > crashDelayStep/2
	}
	is.True(apart)
	j, _ := crash(a, true)
	is.Equal(j.State, model.Failed)
	is.Equal(j.Reason, model.ReasonCrashesWorkers)
}

// Guards against a job that is done although a task's result is missing, and
// against late or duplicate reports that change a recorded result.
func TestIncompleteLateAndDuplicateResults(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	id := f.submit("k", true, 2).Job.ID
	old := f.startAttempt(id, "w1", "w2")
	f.apply(&Command{Kind: KindEndAttempt, ID: id, Fence: old, Outcome: Lost})
	fence := f.startAttempt(id, "w1", "w2")

	report := func(fence uint64, task int, worker, output string) *Result {
		return f.apply(&Command{
			Kind: KindTaskResult, ID: id, Fence: fence,
			Result: &model.TaskResult{Task: task, Worker: worker, OK: true, Output: output},
		})
	}
	is.Equal(report(old, 1, "w2", "late").Refusal.Reason, model.ReasonStaleFence)
	is.Equal(report(fence, 1, "w2", "two").Job.State, model.Starting)
	is.Equal(report(fence, 1, "w2", "double").Job.State, model.Starting)
	r := report(fence, 0, "w1", "one")
	is.Equal(r.Job.State, model.Done)
	is.Equal(r.Job.Results[0].Output, "one")
	is.Equal(r.Job.Results[1].Output, "two")
}

// Guards against state that is missing from a snapshot.
func TestSnapshotRestore(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	id := f.submit("k", true, 1).Job.ID
	f.startAttempt(id, "w")
	f.submit("l", true, 1)
	data, err := f.machine.Snapshot()
	is.NoErr(err)
	m := New()
	is.NoErr(m.Restore(data))
	again, err := m.Snapshot()
	is.NoErr(err)
	is.Equal(data, again)
	is.Equal(m.Queued("c"), 1)
}

// Guards against a configuration version that decreases.
func TestConfigurationNeverReverts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	r := f.apply(&Command{Kind: KindAdoptConfig, Config: &model.ConfigChange{To: 1}})
	is.Equal(r.Refusal.Reason, model.ReasonVersionConflict)
	is.Equal(len(f.machine.Config().Services), 1)
}

// Guards against a change that is applied to another version than the one it
// was made for, and against services that a change drops or keeps wrongly.
func TestConfigurationChanges(t *testing.T) {
	service := func(name string) model.Service { return model.Service{Name: name} }
	cases := []struct {
		name     string
		change   *model.ConfigChange
		refused  bool
		version  uint64
		services []string
	}{
		{"no change", nil, true, 3, []string{"s", "t"}},
		{"complete and newer", &model.ConfigChange{To: 4, Changed: []model.Service{service("u")}}, false, 4, []string{"u"}},
		{"complete and equal", &model.ConfigChange{To: 3, Changed: []model.Service{service("u")}}, true, 3, []string{"s", "t"}},
		{"complete and older", &model.ConfigChange{To: 2, Changed: []model.Service{service("u")}}, true, 3, []string{"s", "t"}},
		{"from the version in force", &model.ConfigChange{From: 3, To: 5, Changed: []model.Service{service("a")}, Removed: []string{"s"}}, false, 5, []string{"a", "t"}},
		{"from an older version", &model.ConfigChange{From: 2, To: 4, Changed: []model.Service{service("a")}}, true, 3, []string{"s", "t"}},
		{"from a newer version", &model.ConfigChange{From: 4, To: 5, Changed: []model.Service{service("a")}}, true, 3, []string{"s", "t"}},
		{"back to an older version", &model.ConfigChange{From: 3, To: 2, Changed: []model.Service{service("a")}}, true, 3, []string{"s", "t"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.apply(&Command{Kind: KindAdoptConfig, Config: &model.ConfigChange{From: 1, To: 3, Changed: []model.Service{service("t")}}})
			r := f.apply(&Command{Kind: KindAdoptConfig, Config: c.change})
			is.Equal(r.Refusal != nil, c.refused)
			is.Equal(f.machine.Config().Version, c.version)
			var names []string
			for _, s := range f.machine.Config().Services {
				names = append(names, s.Name)
			}
			is.Equal(names, c.services)
		})
	}
}

// Guards against accepting a change of single services as a zone's first
// configuration.
func TestFirstConfigurationIsComplete(t *testing.T) {
	is := is.New(t)
	f := &fixture{t: t, machine: New(), now: time.Unix(1000, 0).UTC()}
	r := f.apply(&Command{Kind: KindAdoptConfig, Config: &model.ConfigChange{From: 1, To: 2}})
	is.Equal(r.Refusal.Reason, model.ReasonVersionConflict)
	is.Equal(f.machine.Config(), nil)
}

// Guards against a result whose output was truncated, and against outputs that
// exhaust the memory of every replica.
func TestOversizedOutputFailsTheTask(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	id := f.submit("k", false, 1).Job.ID
	fence := f.startAttempt(id, "w")
	big := strings.Repeat("x", model.MaxOutputBytes+1)
	r := f.apply(&Command{
		Kind: KindTaskResult, ID: id, Fence: fence,
		Result: &model.TaskResult{Task: 0, Worker: "w", OK: true, Output: big},
	})
	is.Equal(r.Refusal, nil)
	res := r.Job.Attempt.Results[0]
	is.True(!res.OK)
	is.Equal(res.Output, "")
	is.True(res.Error != "")
}

// Guards against accepting a job whose caller was answered not_run: a copy of
// the refused submission arrives when the queue has free capacity again.
func TestCopyOfRefusedSubmissionIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	first := f.submit("a", false, 1).Job.ID
	f.submit("b", false, 1)
	submit := func(number uint64) *Result {
		return f.apply(&Command{
			Kind: KindSubmit, ID: model.NewJobID("z", "c", "late"), Submission: number,
			Spec: &model.JobSpec{Customer: "c", Key: "late", Tasks: 1},
		})
	}
	is.Equal(submit(7).Refusal.Reason, model.ReasonQueueFull)
	f.apply(&Command{Kind: KindCancel, ID: first})
	data, err := f.machine.Snapshot()
	is.NoErr(err)
	is.NoErr(f.machine.Restore(data))
	copied := submit(7)
	is.Equal(copied.Refusal.Reason, model.ReasonQueueFull)
	is.Equal(copied.Refusal.State, model.NotRun)
	is.Equal(submit(8).Refusal, nil) // the caller's retry is a new submission
}

// Guards against a job that is queued again although it was stopped for exceeding what it
// declared: its worker was lost while it was being stopped.
func TestJobStoppedForOveruseIsNotQueuedAgainWhenLost(t *testing.T) {
	for _, outcome := range []Outcome{Stopped, Lost} {
		is := is.New(t)
		f := newFixture(t)
		id := f.submit("k", true, 1).Job.ID
		fence := f.startAttempt(id, "w1")
		r := f.apply(&Command{Kind: KindEndAttempt, ID: id, Fence: fence, Outcome: outcome, State: model.Failed, Reason: model.ReasonOverMemory})
		is.Equal(r.Job.State, model.Failed)
		is.Equal(r.Job.Reason, model.ReasonOverMemory)
	}
}
