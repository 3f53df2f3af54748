package cell

import (
	"math/bits"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Request asks for a place for a whole job on free resources.
type Request struct {
	Spec  *model.JobSpec
	Avoid []string // names of workers
	// Preserve is set for work that cannot be preempted: the placement leaves
	// the cells of this binding reclaimable.
	Preserve *Binding
	// Reserved reports whether a worker is reserved for another job; nil if
	// none is.
	Reserved func(worker int) bool
	// FirstFit takes the first place instead of the best.
	FirstFit bool
}

// Place returns a placement of all tasks, or nil. It changes nothing.
//
// The best placement is the one that splits the least: on the worker with the
// fewest free accelerators that hold the task, or in the rack with the fewest
// free accelerators that hold the job.
func (z *Zone) Place(q *Request) []model.TaskPlacement {
	s := q.Spec
	if s.Tasks < 1 {
		return nil
	}
	if s.Tasks == 1 {
		return z.placeSingleTask(q)
	}
	if !s.Adjacent {
		return z.placeIn(q, 0, len(z.Racks))
	}
	best := -1
	need := s.TotalAccelerators()
	for i := range z.Racks {
		r := &z.Racks[i]
		if r.free < need || r.freeSlots < s.Tasks || (best >= 0 && r.free >= z.Racks[best].free) {
			continue
		}
		if z.tasksIn(q, r.First, r.Last, s.Tasks) < s.Tasks {
			continue
		}
		best = i
		if q.FirstFit {
			break
		}
	}
	if best >= 0 {
		return z.placeIn(q, best, best+1)
	}
	return z.placeNeighbours(q)
}

// placeNeighbours places an adjacent gang that is larger than any rack on
// neighbouring racks.
func (z *Zone) placeNeighbours(q *Request) []model.TaskPlacement {
	if z.fitsSingleRack(q.Spec) {
		return nil
	}
	first, last := smallestRackGroup(len(z.Racks), func(i int) int {
		return z.tasksIn(q, z.Racks[i].First, z.Racks[i].Last, q.Spec.Tasks)
	}, q.Spec.Tasks)
	if first < 0 {
		return nil
	}
	return z.placeIn(q, first, last)
}

// fitsSingleRack reports whether a single empty rack could hold the job.
func (z *Zone) fitsSingleRack(s *model.JobSpec) bool {
	for i := range z.Racks {
		n := 0
		for k := z.Racks[i].First; k < z.Racks[i].Last; k++ {
			n += z.Workers[k].EmptyTasks(s)
		}
		if n >= s.Tasks {
			return true
		}
	}
	return false
}

// placeSingleTask places a job of one task.
func (z *Zone) placeSingleTask(q *Request) []model.TaskPlacement {
	if q.FirstFit {
		return z.placeIn(q, 0, len(z.Racks))
	}
	need := q.Spec.Accelerators
	if need > maxAccelerators {
		return nil
	}
	best := -1
	if need == 0 {
		best = z.workerWithLeastFree(q)
	} else if best = z.bestFitInLeastReclaimableRack(q, func(r *Rack) uint64 { return r.splitMask }); best < 0 {
		best = z.bestFitInLeastReclaimableRack(q, func(r *Rack) uint64 { return r.freeMask })
	}
	if best < 0 {
		return nil
	}
	return z.placeAssignments(q.Spec, []Assignment{{best, 1}})
}

// workerWithLeastFree returns the worker with the fewest free accelerators for
// a task that needs none, or -1.
func (z *Zone) workerWithLeastFree(q *Request) int {
	best, bestFree := -1, maxAccelerators+1
	for i := range z.Racks {
		r := &z.Racks[i]
		if r.freeMask == 0 || r.freeSlots < 1 || bits.TrailingZeros64(r.freeMask) >= bestFree {
			continue
		}
		for k := r.First; k < r.Last; k++ {
			if w := &z.Workers[k]; w.free < bestFree && z.tasksOn(q, k) > 0 {
				best, bestFree = k, w.free
			}
		}
		if bestFree == 0 {
			break
		}
	}
	return best
}

// bestFitInLeastReclaimableRack returns the worker that a task fills best, in
// the rack with the fewest reclaimable accelerators among those where it fits,
// or -1. Such a rack has the least to offer to a large job, even if all its
// borrowers are preempted. mask has a bit for each number of free accelerators
// of the workers to consider.
func (z *Zone) bestFitInLeastReclaimableRack(q *Request, mask func(*Rack) uint64) int {
	need := q.Spec.Accelerators
	best, bestReclaim := -1, 0
	for i := range z.Racks {
		r := &z.Racks[i]
		m := mask(r)
		if m>>need == 0 || r.freeSlots < 1 || (best >= 0 && r.reclaimable >= bestReclaim) {
			continue
		}
		tightest := maxAccelerators + 1
		for k := r.First; k < r.Last; k++ {
			w := &z.Workers[k]
			if w.free >= need && w.free < tightest && m>>w.free&1 == 1 && z.tasksOn(q, k) > 0 {
				best, bestReclaim, tightest = k, r.reclaimable, w.free
			}
		}
	}
	return best
}

// tasksIn counts the tasks that fit on workers [first, last), up to limit.
func (z *Zone) tasksIn(q *Request, first, last, limit int) int {
	n := 0
	for k := first; k < last && n < limit; k++ {
		n += z.tasksOn(q, k)
	}
	return n
}

// placeIn places all tasks on racks [first, last): on the workers that they
// fill best, so that whole workers stay whole.
func (z *Zone) placeIn(q *Request, first, last int) []model.TaskPlacement {
	var candidates []Assignment
	found := 0
	for i := first; i < last; i++ {
		r := &z.Racks[i]
		if r.freeSlots < 1 || bits.Len64(r.freeMask)-1 < q.Spec.Accelerators {
			continue
		}
		for k := r.First; k < r.Last; k++ {
			n := z.tasksOn(q, k)
			if n == 0 {
				continue
			}
			candidates = append(candidates, Assignment{k, n})
			found += n
		}
		if q.FirstFit && found >= q.Spec.Tasks {
			break
		}
	}
	if found < q.Spec.Tasks {
		return nil
	}
	if !q.FirstFit {
		slices.SortStableFunc(candidates, func(a, b Assignment) int {
			return z.Workers[a.Worker].free - z.Workers[b.Worker].free
		})
		candidates = z.fewestWorkers(candidates, q.Spec.Tasks)
	}
	return z.placeAssignments(q.Spec, candidates)
}

// fewestWorkers returns as few of the candidates as hold all tasks, so that a
// large gang takes whole workers.
func (z *Zone) fewestWorkers(candidates []Assignment, tasks int) []Assignment {
	byTasks := slices.Clone(candidates)
	slices.SortStableFunc(byTasks, func(a, b Assignment) int { return b.Tasks - a.Tasks })
	n, sum := 0, 0
	for sum < tasks {
		sum += byTasks[n].Tasks
		n++
	}
	// The last worker is the one that the remaining tasks fill best.
	rest := tasks - (sum - byTasks[n-1].Tasks)
	last := byTasks[n-1]
	for _, c := range byTasks[n:] {
		if c.Tasks >= rest && z.Workers[c.Worker].free < z.Workers[last.Worker].free {
			last = c
		}
	}
	return append(byTasks[:n-1:n-1], last)
}

// placeAssignments numbers the tasks of the job and picks their accelerators, in
// the order of the assignments. It ends with the last task, even if more could be
// assigned.
func (z *Zone) placeAssignments(s *model.JobSpec, assignments []Assignment) []model.TaskPlacement {
	out := make([]model.TaskPlacement, 0, s.Tasks)
	for _, a := range assignments {
		w := &z.Workers[a.Worker]
		used := w.used
		for n := 0; n < a.Tasks && len(out) < s.Tasks; n++ {
			accelerators := pickAccelerators(&used, w.Accelerators, s.Accelerators)
			out = append(out, model.TaskPlacement{Task: len(out), Worker: w.Name, Accelerators: accelerators})
		}
	}
	return out
}

// pickAccelerators takes n free accelerators: an aligned group if one is free,
// preferably one whose buddy has the fewest free accelerators, and else the
// lowest free ones.
func pickAccelerators(used *uint64, all, n int) []int {
	out := make([]int, 0, n)
	if n == 0 {
		return out
	}
	size := 1
	for size < n {
		size *= 2
	}
	group := uint64(1)<<size - 1
	best, bestFree := -1, maxAccelerators+1
	for at := 0; at+size <= all; at += size {
		if *used>>at&group != 0 {
			continue
		}
		// The fewer accelerators of the next larger cell are free, the more
		// that cell is split already.
		parent := at / (2 * size) * (2 * size)
		wide := uint64(1)<<(2*size) - 1
		free := 2*size - bits.OnesCount64(*used>>parent&wide)
		if free < bestFree {
			best, bestFree = at, free
		}
	}
	for a := max(best, 0); a < all && len(out) < n; a++ {
		if *used>>a&1 == 0 {
			*used |= 1 << a
			out = append(out, a)
		}
	}
	return out
}

// tasksOn returns how many tasks of the request fit on a worker now.
func (z *Zone) tasksOn(q *Request, k int) int {
	w := &z.Workers[k]
	s := q.Spec
	if !w.Usable || w.freeSlots < 1 || w.free < s.Accelerators {
		return 0
	}
	if (q.Reserved != nil && q.Reserved(k)) || slices.Contains(q.Avoid, w.Name) {
		return 0
	}
	n := tasksThatFit(s, w.free, w.freeCores, w.freeMem, w.freeSlots)
	if q.Preserve == nil {
		return n
	}
	return z.TasksPreserving(q.Preserve, s, k, n)
}

func tasksThatFit(s *model.JobSpec, accel, cores, mem, slots int) int {
	n := slots
	if s.Accelerators > 0 {
		n = min(n, accel/s.Accelerators)
	}
	if s.CPU > 0 {
		n = min(n, cores/s.CPU)
	}
	if s.MemoryMiB > 0 {
		n = min(n, mem/s.MemoryMiB)
	}
	return max(n, 0)
}

// availWith returns what avail would be with n more tasks that cannot be
// preempted.
func (w *Worker) availWith(s *model.JobSpec, n int) int {
	c := *w
	c.pinnedAccel += n * s.Accelerators
	c.pinnedCores += n * s.CPU
	c.pinnedMem += n * s.MemoryMiB
	c.pinnedSlots += n
	c.updateAvail()
	return c.avail
}

// EmptyTasks returns how many tasks of spec fit on the worker if nothing else
// runs on it, whether it is usable or not.
func (w *Worker) EmptyTasks(s *model.JobSpec) int {
	return tasksThatFit(s, w.Accelerators, w.Cores, w.MemoryMiB, w.Slots)
}

// FreeTasks returns how many tasks of spec fit on the worker now if extra is
// added to its free resources.
func (w *Worker) FreeTasks(s *model.JobSpec, extra Amount) int {
	return tasksThatFit(s, w.free+extra.Accelerators, w.freeCores+extra.Cores, w.freeMem+extra.MemoryMiB, w.freeSlots+extra.Slots)
}

// Amount is an amount of resources of one worker.
type Amount struct{ Accelerators, Cores, MemoryMiB, Slots int }

// Add adds the resources of n tasks of spec.
func (a *Amount) Add(s *model.JobSpec, n int) {
	a.Accelerators += n * s.Accelerators
	a.Cores += n * s.CPU
	a.MemoryMiB += n * s.MemoryMiB
	a.Slots += n
}

// Free returns the number of free accelerators of the worker.
func (w *Worker) Free() int { return w.free }

// Avail returns the number of accelerators that guarantees can reclaim: those
// left when all borrowers are preempted.
func (w *Worker) Avail() int { return w.avail }

// RackIndex returns the index of the worker's rack.
func (w *Worker) RackIndex() int { return w.rack }

// FitsEmpty reports whether the zone could hold the job if nothing ran on it,
// unusable workers included.
func (z *Zone) FitsEmpty(s *model.JobSpec) bool {
	total := 0
	for i := range z.Workers {
		total += z.Workers[i].EmptyTasks(s)
		if total >= s.Tasks && !s.Adjacent {
			return true
		}
	}
	if total < s.Tasks {
		return false
	}
	if s.Tasks == 1 || z.fitsSingleRack(s) {
		return true
	}
	first, _ := smallestRackGroup(len(z.Racks), func(i int) int {
		n := 0
		for k := z.Racks[i].First; k < z.Racks[i].Last; k++ {
			n += z.Workers[k].EmptyTasks(s)
		}
		return n
	}, s.Tasks)
	return first >= 0
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.Accelerators + b.Accelerators, a.Cores + b.Cores, a.MemoryMiB + b.MemoryMiB, a.Slots + b.Slots}
}

// Minus returns a less b; no resource falls below 0.
func (a Amount) Minus(b Amount) Amount {
	return Amount{
		max(a.Accelerators-b.Accelerators, 0), max(a.Cores-b.Cores, 0),
		max(a.MemoryMiB-b.MemoryMiB, 0), max(a.Slots-b.Slots, 0),
	}
}

// RackSpan returns how many neighbouring racks the job needs in an empty zone: 1 if
// it fits on a rack, else the size of the smallest aligned group that holds it.
func (z *Zone) RackSpan(s *model.JobSpec) int {
	if len(z.Racks) == 0 || z.fitsSingleRack(s) {
		return 1
	}
	for n := 2; n < 2*len(z.Racks); n *= 2 {
		for i := 0; i < len(z.Racks); i += n {
			tasks := 0
			for k := z.Racks[i].First; k < z.Racks[min(i+n, len(z.Racks))-1].Last; k++ {
				tasks += z.Workers[k].EmptyTasks(s)
			}
			if tasks >= s.Tasks {
				return n
			}
		}
	}
	return len(z.Racks)
}
