// Package preempt chooses which borrowers to take off so that a job fits, at the
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
	Run    *sched.Running
	Amount cell.Amount
	price  float64 // cost per accelerator
}

// Place is a worker with the largest number of tasks that may go there.
type Place struct{ Worker, Limit int }

// Choice is a way to make room for a job.
type Choice struct {
	Slots   []cell.Slot
	Victims []*sched.Running
	Cost    float64
}

// Finder looks for room.
type Finder struct {
	Zone *cell.Zone
	// On lists the attempts on a worker.
	On func(worker int) []Held
	// Allowed reports whether an attempt may be taken off.
	Allowed func(*sched.Running) bool
	// Cost is the price of taking an attempt off.
	Cost func(*sched.Running) float64
}

// spot is one worker during a search.
type spot struct {
	Place
	tasks   int
	victims []Held // cheapest first
}

// Find returns the cheapest room for the job on the given workers that it finds
// by adding task after task where the next one costs least, or nil. Costs above
// limit are not searched further.
func (f *Finder) Find(s *model.JobSpec, places []Place, limit float64) *Choice {
	spots := make([]spot, 0, len(places))
	for _, p := range places {
		if p.Limit > 0 {
			spots = append(spots, spot{Place: p, victims: f.victims(p.Worker)})
		}
	}
	c := &Choice{}
	for range s.Tasks {
		best, cost, add := f.next(s, spots, c.Victims)
		if best < 0 || c.Cost+cost > limit {
			return nil
		}
		spots[best].tasks++
		c.Cost += cost
		c.Victims = append(c.Victims, add...)
	}
	f.prune(s, spots, c)
	for i := range spots {
		if spots[i].tasks > 0 {
			c.Slots = append(c.Slots, cell.Slot{Worker: spots[i].Worker, Tasks: spots[i].tasks})
		}
	}
	return c
}

// victims lists the attempts on a worker that may be taken off.
func (f *Finder) victims(worker int) []Held {
	var out []Held
	for _, h := range f.On(worker) {
		if f.Allowed(h.Run) {
			h.price = f.Cost(h.Run) / float64(h.Amount.Accelerators+1)
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Held) int {
		if c := cmp.Compare(a.price, b.price); c != 0 {
			return c
		}
		return cmp.Compare(a.Run.ID, b.Run.ID)
	})
	return out
}

// next finds the worker on which one more task costs least.
func (f *Finder) next(s *model.JobSpec, spots []spot, gone []*sched.Running) (best int, cost float64, add []*sched.Running) {
	best, cost = -1, math.Inf(1)
	for i := range spots {
		if spots[i].tasks >= spots[i].Limit {
			continue
		}
		c, a, ok := f.oneMore(s, &spots[i], gone)
		if ok && c < cost {
			best, cost, add = i, c, a
		}
		// Filling a worker that needs no victim keeps the others whole.
		if ok && c == 0 {
			break
		}
	}
	return best, cost, add
}

// oneMore returns the price of one more task on a worker.
func (f *Finder) oneMore(s *model.JobSpec, p *spot, gone []*sched.Running) (float64, []*sched.Running, bool) {
	w := &f.Zone.Workers[p.Worker]
	var extra cell.Amount
	for _, h := range p.victims {
		if slices.Contains(gone, h.Run) {
			extra = extra.Plus(h.Amount)
		}
	}
	if w.FreeTasks(s, extra) > p.tasks {
		return 0, nil, true
	}
	cost := 0.0
	var add []*sched.Running
	for _, h := range p.victims {
		if slices.Contains(gone, h.Run) {
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

// prune spares the victims that turned out not to be needed, dearest first.
func (f *Finder) prune(s *model.JobSpec, spots []spot, c *Choice) {
	order := slices.Clone(c.Victims)
	slices.SortStableFunc(order, func(a, b *sched.Running) int {
		return cmp.Compare(f.Cost(b), f.Cost(a))
	})
	for _, v := range order {
		rest := slices.DeleteFunc(slices.Clone(c.Victims), func(r *sched.Running) bool { return r == v })
		if f.enough(s, spots, rest) {
			c.Victims = rest
			c.Cost -= f.Cost(v)
		}
	}
}

func (f *Finder) enough(s *model.JobSpec, spots []spot, gone []*sched.Running) bool {
	for i := range spots {
		p := &spots[i]
		if p.tasks == 0 {
			continue
		}
		var extra cell.Amount
		for _, h := range p.victims {
			if slices.Contains(gone, h.Run) {
				extra = extra.Plus(h.Amount)
			}
		}
		if f.Zone.Workers[p.Worker].FreeTasks(s, extra) < p.tasks {
			return false
		}
	}
	return true
}
