package dispatch

import (
	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
)

// updateShares updates the use of each customer from all recorded runs. The snapshot gets it
// if the groups of a priority are to be ordered by it.
func (p *planner) updateShares(s *place.Snapshot, workers map[string]*place.Worker) {
	held := map[string]batch.Resources{}
	var capacity batch.Resources
	for _, w := range workers {
		capacity = capacity.Add(w.Capacity)
		for _, r := range w.Running {
			held[r.Customer] = held[r.Customer].Add(r.Need)
		}
	}
	p.shares.Update(s.NowMS, held, capacity)
	if p.leadership.cfg.FairShareHalfLifeMS > 0 {
		s.Use = p.shares.Use()
	}
}
