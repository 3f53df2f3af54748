package control

import (
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/estimate"
)

// snapshot copies the current state as input for a scheduling decision.
func (c *Controller) snapshot(cfg *model.Configuration, now time.Time) *sched.Snapshot {
	s := &sched.Snapshot{Now: now, Zone: c.Zone, Config: cfg, Estimates: c.estimates.corrections()}
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
				continue // its start could not be made durable now
			}
			if now.Before(j.RetryAt) {
				continue
			}
			s.Waiting = append(s.Waiting, sched.Waiting{
				ID: j.ID, Spec: j.Spec, Seq: j.Seq, SubmittedAt: j.SubmittedAt, Avoid: c.health.avoided(j, now),
			})
			continue
		}
		s.Running = append(s.Running, c.runningView(j))
	}
	return s
}

// runningView describes an active attempt for a scheduling decision.
func (c *Controller) runningView(j *model.Job) sched.Running {
	r := sched.Running{
		ID: j.ID, Customer: j.Spec.Customer, Spec: j.Spec, Seq: j.Seq,
		Placement: j.Attempt.Placement, Borrowed: j.Attempt.Borrowed, Claim: j.Attempt.Claim,
		StartedAt: j.Attempt.StartedAt, UsedMemoryMiB: c.usage.memoryMiB(j.ID),
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

// runTimeEstimates learns from finished jobs how their run times differ from
// the declared estimates; mu guards table.
type runTimeEstimates struct {
	mu    sync.Mutex
	table estimate.Table
}

// observe is a jobs.Hook that adds the run time of a job that is done.
func (e *runTimeEstimates) observe(old, j *model.Job) {
	if j.State != model.Done || old == nil || old.Attempt == nil || old.Attempt.StartedAt.IsZero() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Add(j.Spec.Customer, j.Spec.EstimatedSeconds, j.FinishedAt.Sub(old.Attempt.StartedAt))
}

func (e *runTimeEstimates) corrections() map[string]sched.Correction {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Corrections()
}

// usageTable holds, for each running job that exceeds its declared memory, the
// largest memory use reported for one of its tasks; mu guards maxMemoryMiB.
type usageTable struct {
	mu           sync.Mutex
	maxMemoryMiB map[model.JobID]int
}

// RecordUsage records a usage report that an instance forwarded. Reports for
// other attempts than the current one are ignored.
func (c *Controller) RecordUsage(id model.JobID, fence uint64, memoryMiB int) {
	j := c.Machine.Get(id)
	if j == nil || j.Attempt == nil || j.Attempt.Fence != fence {
		return
	}
	u := &c.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.maxMemoryMiB == nil {
		u.maxMemoryMiB = map[model.JobID]int{}
	}
	u.maxMemoryMiB[id] = max(u.maxMemoryMiB[id], memoryMiB)
}

// observe is a jobs.Hook that drops a job's usage when its attempt ends.
func (u *usageTable) observe(_, j *model.Job) {
	if j.Attempt != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.maxMemoryMiB, j.ID)
}

func (u *usageTable) memoryMiB(id model.JobID) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.maxMemoryMiB[id]
}

// Usable reports whether a worker can get new work at now.
func (c *Controller) Usable(e *blackboard.Entry, now time.Time) bool {
	return !e.Worker.Leaving && !c.health.suspended(e.Worker.Name, now) && now.Sub(e.Health.LastSeen) < workerSilenceTimeout
}
