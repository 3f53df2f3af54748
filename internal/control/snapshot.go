package control

import (
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/estimate"
)

// snapshot copies the present state for a decision.
func (c *Controller) snapshot(cfg *model.Configuration, now time.Time) *sched.Snapshot {
	s := &sched.Snapshot{Now: now, Zone: c.Zone, Config: cfg, Estimates: c.learned.corrections()}
	for _, e := range c.Board.List() {
		w := &e.Worker
		usable := c.Usable(&e, now)
		s.Workers = append(s.Workers, sched.Worker{
			Name: w.Name, Rack: w.Rack, Cores: w.Cores, MemoryMiB: w.MemoryMiB,
			Accelerators: w.Accelerators, Slots: w.Slots, Usable: usable,
		})
	}
	durable := c.Group.Status().Durable
	for _, j := range c.Machine.Active() {
		if j.Attempt == nil {
			if !j.Spec.Repeatable && !durable {
				continue // its start could not be made durable
			}
			s.Waiting = append(s.Waiting, sched.Waiting{
				ID: j.ID, Spec: j.Spec, Seq: j.Seq, SubmittedAt: j.SubmittedAt, Avoid: j.FailedOn,
			})
			continue
		}
		s.Running = append(s.Running, c.running(j))
	}
	return s
}

// running describes an attempt for a decision.
func (c *Controller) running(j *model.Job) sched.Running {
	r := sched.Running{
		ID: j.ID, Customer: j.Spec.Customer, Spec: j.Spec, Seq: j.Seq,
		Placement: j.Attempt.Placement, Borrowed: j.Attempt.Borrowed, Claim: j.Attempt.Claim,
		StartedAt: j.Attempt.StartedAt, UsedMemoryMiB: c.usage.memory(j.ID),
	}
	if a := c.attempt(j.ID); a != nil {
		r.Stopping = a.preempted.Load() || a.stopping.Load()
		if other := a.stoppingFor.Load(); other != nil {
			r.StoppingFor = *other
		}
		r.Throttled = a.throttled.Load()
		r.Checkpointed = a.checkpointed.Load()
	}
	return r
}

// attempt returns the driver of a job's attempt, or nil.
func (c *Controller) attempt(id model.JobID) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts[id]
}

// estimates learns from finished jobs how declared run times differ from real
// ones; mu guards table.
type estimates struct {
	mu    sync.Mutex
	table estimate.Table
}

// observe is the hook on the jobs machine.
func (e *estimates) observe(old, j *model.Job) {
	if j.State != model.Done || old == nil || old.Attempt == nil || old.Attempt.StartedAt.IsZero() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Add(j.Spec.Customer, j.Spec.EstimatedSeconds, j.FinishedAt.Sub(old.Attempt.StartedAt))
}

func (e *estimates) corrections() map[string]sched.Correction {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Corrections()
}

// usageTable holds the largest memory use reported for a task of each running
// job that uses more than it declared; mu guards used.
type usageTable struct {
	mu   sync.Mutex
	used map[model.JobID]int
}

// NoteUsage takes a usage report that an instance forwarded.
func (c *Controller) NoteUsage(id model.JobID, fence uint64, memoryMiB int) {
	j := c.Machine.Get(id)
	if j == nil || j.Attempt == nil || j.Attempt.Fence != fence {
		return
	}
	u := &c.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.used == nil {
		u.used = map[model.JobID]int{}
	}
	u.used[id] = max(u.used[id], memoryMiB)
}

// observe is the hook on the jobs machine: usage ends with the attempt.
func (u *usageTable) observe(_, j *model.Job) {
	if j.Attempt != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.used, j.ID)
}

func (u *usageTable) memory(id model.JobID) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.used[id]
}

// Usable reports whether a worker takes new work at now.
func (c *Controller) Usable(e *blackboard.Entry, now time.Time) bool {
	return !e.Worker.Leaving && !c.health.suspended(e.Worker.Name, now) && now.Sub(e.Health.LastSeen) < workerSilence
}
