package control

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/sched/policy"
)

// A job fails on one worker, and the other one is taken by a job without a known end. Guards against a
// job that waits for the other worker without end while the first one is idle.
func TestJobReturnsToWorkerOfItsFailure(t *testing.T) {
	is := is.New(t)
	m := jobs.New()
	c := &Controller{Zone: "z", Group: replica.NewLocal("i", m), Machine: m, Board: blackboard.New(), Log: logr.Discard()}
	m.Subscribe(c.health.observe)
	now := time.Now()
	f := &fixture{t: t, machine: m, group: replica.NewLocal("i", m)}
	f.propose(&jobs.Command{Kind: jobs.KindAdoptConfig, Config: &model.ConfigChange{
		To: 1, Changed: []model.Service{{Name: "s", Customers: []model.Customer{{Name: "c"}}}},
	}})
	for _, name := range []string{"a", "b"} {
		c.Board.Announce(model.Worker{Name: name, Address: name, Rack: "r", Accelerators: 1, Slots: 1, Cores: 8, MemoryMiB: 1024, Seq: 1}, now)
	}
	startOn := func(key, worker string) (model.JobID, uint64) {
		id := model.NewJobID("z", "c", key)
		if m.Get(id) == nil {
			f.propose(&jobs.Command{Kind: jobs.KindSubmit, ID: id, Spec: &model.JobSpec{Customer: "c", Key: key, Repeatable: true, Tasks: 1, Accelerators: 1}})
		}
		f.propose(&jobs.Command{Kind: jobs.KindRecordIntent, ID: id, Intent: &jobs.Intent{
			Placement: []model.TaskPlacement{{Task: 0, Worker: worker, Accelerators: []int{0}}},
		}})
		fence := m.Get(id).Attempt.Fence
		f.propose(&jobs.Command{Kind: jobs.KindCommitStart, ID: id, Fence: fence})
		return id, fence
	}
	startOn("long", "b")
	id, fence := startOn("fails", "a")
	f.propose(&jobs.Command{Kind: jobs.KindTaskResult, ID: id, Fence: fence, Result: &model.TaskResult{Task: 0, Worker: "a"}})
	f.propose(&jobs.Command{Kind: jobs.KindEndAttempt, ID: id, Fence: fence, Outcome: jobs.TaskFailed})
	is.Equal(m.Get(id).State, model.Queued)
	startsAfter := func(d time.Duration) int {
		for _, e := range c.Board.List() {
			c.Board.Update(e.Worker.Name, func(h *model.WorkerHealth) { h.LastSeen = time.Now().Add(d) })
		}
		return len(policy.Decide(c.snapshot(m.Config(), time.Now().Add(d))).Starts)
	}
	is.Equal(startsAfter(0), 0)
	is.Equal(startsAfter(avoidancePeriod), 1)
}
