package cell

import "teaselpaddle.example/teaselpaddle/internal/model"

// Fragmentation returns the number of free accelerators that none of the
// waiting jobs could use, and whether a job that needs at least largeJobSize
// accelerators is starved: enough accelerators are free, but it fits nowhere.
func (z *Zone) Fragmentation(waiting []*model.JobSpec, largeJobSize int) (unusable int, starved bool) {
	if len(waiting) == 0 {
		return 0, false
	}
	type key struct {
		tasks, accelerators, cpu, memory int
		adjacent                         bool
	}
	seen := map[key]bool{}
	usable := make([]bool, len(z.Workers))
	free := z.FreeAccelerators()
	for _, s := range waiting {
		k := key{s.Tasks, s.Accelerators, s.CPU, s.MemoryMiB, s.Adjacent}
		if seen[k] {
			continue
		}
		seen[k] = true
		fits := z.markUsable(s, usable)
		if n := s.TotalAccelerators(); !fits && n >= largeJobSize && n <= free {
			starved = true
		}
	}
	for i := range z.Workers {
		if z.Workers[i].Usable && !usable[i] {
			unusable += z.Workers[i].free
		}
	}
	return unusable, starved
}

// markUsable marks the workers that the job could use and reports whether it
// fits.
func (z *Zone) markUsable(s *model.JobSpec, usable []bool) bool {
	q := &Request{Spec: s}
	span := 1
	if s.Tasks > 1 && !s.Adjacent {
		span = max(len(z.Racks), 1)
	} else if s.Tasks > 1 {
		span = z.RackSpan(s)
	}
	fits := false
	for i := 0; i < len(z.Racks); i += span {
		first, last := z.Racks[i].First, z.Racks[min(i+span, len(z.Racks))-1].Last
		if z.tasksIn(q, first, last, s.Tasks) < s.Tasks {
			continue
		}
		fits = true
		for k := first; k < last; k++ {
			usable[k] = usable[k] || z.tasksOn(q, k) > 0
		}
	}
	return fits
}
