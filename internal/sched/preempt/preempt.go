// Package preempt chooses which borrowers to preempt so that a job fits, at the
// least cost.
package preempt

import (
	"cmp"
	"math"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/cell"
)

// Held is what one attempt holds on one worker.
type Held struct {
	Run                *sched.Running
	Amount             cell.Amount
	costPerAccelerator float64 // orders the victims of a worker
}

// Candidate is a worker with the largest number of tasks that may be placed on
// it.
type Candidate struct{ Worker, Limit int }

// Choice is a placement of a job, the attempts to preempt for it, and their
// total cost.
type Choice struct {
	Assignments []cell.Assignment
	Victims     []*sched.Running
	Cost        float64
}

// Finder finds the attempts to preempt so that a job fits.
type Finder struct {
	Zone *cell.Zone
	// AttemptsOn lists the attempts on a worker.
	AttemptsOn func(worker int) []Held
	// Allowed reports whether an attempt may be preempted.
	Allowed func(*sched.Running) bool
	// Cost returns the cost of preempting an attempt.
	Cost func(*sched.Running) float64
}

// candidateState is the state of one candidate during a search.
type candidateState struct {
	Candidate
	tasks   int
	victims []Held // attempts that may be preempted, cheapest per accelerator first
}

// Find returns the cheapest choice for the job on the given workers that a
// greedy search finds: it adds one task after the other where the next one
// costs least. It returns nil if the job does not fit or costs more than limit.
func (f *Finder) Find(s *model.JobSpec, candidates []Candidate, limit float64) *Choice {
	states := make([]candidateState, 0, len(candidates))
	for _, p := range candidates {
		if p.Limit > 0 {
			states = append(states, candidateState{Candidate: p, victims: f.victims(p.Worker)})
		}
	}
	c := &Choice{}
	for range s.Tasks {
		best, cost, add := f.cheapestNextTask(s, states, c.Victims)
		if best < 0 || c.Cost+cost > limit {
			return nil
		}
		states[best].tasks++
		c.Cost += cost
		c.Victims = append(c.Victims, add...)
	}
	f.prune(s, states, c)
	for i := range states {
		if states[i].tasks > 0 {
			c.Assignments = append(c.Assignments, cell.Assignment{Worker: states[i].Worker, Tasks: states[i].tasks})
		}
	}
	return c
}

// victims lists the attempts on a worker that may be preempted.
func (f *Finder) victims(worker int) []Held {
	var out []Held
	for _, h := range f.AttemptsOn(worker) {
		if f.Allowed(h.Run) {
			h.costPerAccelerator = f.Cost(h.Run) / float64(h.Amount.Accelerators+1)
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Held) int {
		if c := cmp.Compare(a.costPerAccelerator, b.costPerAccelerator); c != 0 {
			return c
		}
		return cmp.Compare(a.Run.ID, b.Run.ID)
	})
	return out
}

// cheapestNextTask finds the worker on which one more task costs least. add are
// the attempts to preempt for it.
func (f *Finder) cheapestNextTask(s *model.JobSpec, states []candidateState, preempted []*sched.Running) (best int, cost float64, add []*sched.Running) {
	best, cost = -1, math.Inf(1)
	for i := range states {
		if states[i].tasks >= states[i].Limit {
			continue
		}
		c, a, ok := f.costOfOneMore(s, &states[i], preempted)
		if ok && c < cost {
			best, cost, add = i, c, a
		}
		// Filling a worker that needs no victim leaves the others whole.
		if ok && c == 0 {
			break
		}
	}
	return best, cost, add
}

// costOfOneMore returns the cost of one more task on a worker and the attempts
// to preempt for it.
func (f *Finder) costOfOneMore(s *model.JobSpec, p *candidateState, preempted []*sched.Running) (float64, []*sched.Running, bool) {
	w := &f.Zone.Workers[p.Worker]
	var extra cell.Amount
	for _, h := range p.victims {
		if slices.Contains(preempted, h.Run) {
			extra = extra.Plus(h.Amount)
		}
	}
	if w.FreeTasks(s, extra) > p.tasks {
		return 0, nil, true
	}
	cost := 0.0
	var add []*sched.Running
	for _, h := range p.victims {
		if slices.Contains(preempted, h.Run) {
			continue
		}
		extra = extra.Plus(h.Amount)
		cost += f.Cost(h.Run)
		add = append(add, h.Run)
		if w.FreeTasks(s, extra) > p.tasks {
			return cost, add, true
		}
	}
	return 0, nil, false
}

// prune removes the victims that turned out not to be needed from a choice, the
// most expensive ones first.
func (f *Finder) prune(s *model.JobSpec, states []candidateState, c *Choice) {
	order := slices.Clone(c.Victims)
	slices.SortStableFunc(order, func(a, b *sched.Running) int {
		return cmp.Compare(f.Cost(b), f.Cost(a))
	})
	for _, v := range order {
		rest := slices.DeleteFunc(slices.Clone(c.Victims), func(r *sched.Running) bool { return r == v })
		if f.fitsAfter(s, states, rest) {
			c.Victims = rest
			c.Cost -= f.Cost(v)
		}
	}
}

// fitsAfter reports whether the tasks of all states fit once the given attempts
// are preempted.
func (f *Finder) fitsAfter(s *model.JobSpec, states []candidateState, preempted []*sched.Running) bool {
	for i := range states {
		p := &states[i]
		if p.tasks == 0 {
			continue
		}
		var extra cell.Amount
		for _, h := range p.victims {
			if slices.Contains(preempted, h.Run) {
				extra = extra.Plus(h.Amount)
			}
		}
		if f.Zone.Workers[p.Worker].FreeTasks(s, extra) < p.tasks {
			return false
		}
	}
	return true
}
