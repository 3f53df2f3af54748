package dispatch

import (
	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
)

// holding is what the runs of a customer hold.
type holding struct {
	all      batch.Resources
	borrowed int64 // accelerators of runs outside the guarantee
}

// updateShares updates what customers hold, and their use, from all recorded runs. The
// snapshot gets the use if the groups of a priority are to be ordered by it.
func (p *planner) updateShares(s *place.Snapshot, workers map[string]*place.Worker) {
	p.held = map[string]holding{}
	var capacity batch.Resources
	for _, w := range workers {
		capacity = capacity.Add(w.Capacity)
		for _, r := range w.Running {
			h := p.held[r.Customer]
			h.all = h.all.Add(r.Need)
			if !r.Guaranteed {
				h.borrowed += r.Need.Accelerators
			}
			p.held[r.Customer] = h
		}
	}
	held := make(map[string]batch.Resources, len(p.held))
	for customer, h := range p.held {
		held[customer] = h.all
	}
	p.shares.Update(s.NowMS, held, capacity)
	if p.leadership.cfg.FairShareHalfLifeMS > 0 {
		s.Use = p.shares.Use()
	}
}
