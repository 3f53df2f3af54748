package cell

import "teaselpaddle.example/teaselpaddle/internal/model"

// saved is a worker as it was before a trial.
type saved struct {
	index  int
	worker Worker
}

// trial remembers what to restore.
type trial struct {
	active  bool
	version uint64
	saved   []saved
	stamp   []uint64 // by worker: the trial in which it was saved
	number  uint64
}

// Begin starts a trial: Rollback undoes all changes from here on.
func (z *Zone) Begin() {
	t := &z.trial
	if t.stamp == nil {
		t.stamp = make([]uint64, len(z.Workers))
	}
	t.active = true
	t.number++
	t.version = z.version
	t.saved = t.saved[:0]
}

// Rollback restores the zone as it was at Begin.
func (z *Zone) Rollback() {
	t := &z.trial
	for _, s := range t.saved {
		z.Workers[s.index] = s.worker
		z.free(s.index)
	}
	for _, s := range t.saved {
		z.updateRack(s.worker.rack)
	}
	t.active = false
	z.version = t.version
}

// maxFreed bounds the list of workers on which something became free.
const maxFreed = 512

// free notes that something became free on a worker.
func (z *Zone) free(i int) {
	if len(z.freed) <= maxFreed {
		z.freed = append(z.freed, i)
	}
}

// TakeFreed returns the workers on which something became free since the last
// call; all is true if there were too many to list.
func (z *Zone) TakeFreed() (workers []int, all bool) {
	workers = z.freed
	z.freed = z.freed[:0]
	return workers, len(workers) > maxFreed
}

// RackFits reports whether the whole request fits on the rack of a worker now.
func (z *Zone) RackFits(q *Request, worker int) bool {
	if q.Spec.Tasks == 1 {
		return z.tasksOn(q, worker) > 0
	}
	r := &z.Racks[z.Workers[worker].rack]
	return z.tasksIn(q, r.First, r.Last, q.Spec.Tasks) >= q.Spec.Tasks
}

func (z *Zone) save(i int) {
	t := &z.trial
	if !t.active || t.stamp[i] == t.number {
		return
	}
	t.stamp[i] = t.number
	t.saved = append(t.saved, saved{i, z.Workers[i]})
}

// Block takes free resources of a worker out of use until the trial ends, as far
// as they are free: they are kept for a job that waits for borrowers to leave.
func (z *Zone) Block(k int, a Amount) {
	z.save(k)
	w := &z.Workers[k]
	w.freeCores -= min(a.Cores, max(w.freeCores, 0))
	w.freeMem -= min(a.MemoryMiB, max(w.freeMem, 0))
	w.freeSlots -= min(a.Slots, max(w.freeSlots, 0))
	for i := 0; i < w.Accelerators && a.Accelerators > 0; i++ {
		if w.used>>i&1 == 0 {
			w.used |= 1 << i
			a.Accelerators--
		}
	}
	z.touch(k)
}

// Slot is a number of tasks on one worker.
type Slot struct{ Worker, Tasks int }

// Fill turns slots into a placement on free accelerators. The slots must fit.
func (z *Zone) Fill(s *model.JobSpec, slots []Slot) []model.TaskPlacement {
	return z.fill(s, slots)
}

// Tasks returns how many tasks the request can start on a worker now.
func (z *Zone) Tasks(q *Request, worker int) int { return z.tasksOn(q, worker) }

// KeepTasks returns how many of at most n tasks that cannot be taken off the
// worker can hold beside the cells of the binding.
func (z *Zone) KeepTasks(b *Binding, s *model.JobSpec, worker, n int) int {
	w := &z.Workers[worker]
	for n > 0 && w.avail-w.availWith(s, n) > b.left[worker] {
		n--
	}
	return n
}
