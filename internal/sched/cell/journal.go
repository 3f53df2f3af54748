package cell

import "teaselpaddle.example/teaselpaddle/internal/model"

// savedWorker is a worker as it was before a transaction.
type savedWorker struct {
	index  int
	worker Worker
}

// transaction is the undo journal of the changes since Begin.
type transaction struct {
	active       bool
	version      uint64
	savedWorkers []savedWorker
	savedIn      []uint64 // by worker: id of the transaction that last saved it
	id           uint64
}

// Begin starts a transaction: Rollback undoes all changes from here on.
func (z *Zone) Begin() {
	t := &z.transaction
	if t.savedIn == nil {
		t.savedIn = make([]uint64, len(z.Workers))
	}
	t.active = true
	t.id++
	t.version = z.version
	t.savedWorkers = t.savedWorkers[:0]
}

// Rollback restores the zone as it was at Begin.
func (z *Zone) Rollback() {
	t := &z.transaction
	for _, s := range t.savedWorkers {
		z.Workers[s.index] = s.worker
		z.recordFreed(s.index)
	}
	for _, s := range t.savedWorkers {
		z.updateRack(s.worker.rack)
	}
	t.active = false
	z.version = t.version
}

// maxFreed bounds the list of workers with freed resources.
const maxFreed = 512

// recordFreed adds a worker to the list of workers with freed resources.
func (z *Zone) recordFreed(i int) {
	if len(z.freed) <= maxFreed {
		z.freed = append(z.freed, i)
	}
}

// TakeFreed returns the workers on which resources were freed since the last
// call, and clears the list; all is true if there were too many to list.
func (z *Zone) TakeFreed() (workers []int, all bool) {
	workers = z.freed
	z.freed = z.freed[:0]
	return workers, len(workers) > maxFreed
}

// RackFits reports whether the whole request fits on the rack of a worker now;
// a single task must fit on the worker itself.
func (z *Zone) RackFits(q *Request, worker int) bool {
	if q.Spec.Tasks == 1 {
		return z.tasksOn(q, worker) > 0
	}
	r := &z.Racks[z.Workers[worker].rack]
	return z.tasksIn(q, r.First, r.Last, q.Spec.Tasks) >= q.Spec.Tasks
}

func (z *Zone) saveWorker(i int) {
	t := &z.transaction
	if !t.active || t.savedIn[i] == t.id {
		return
	}
	t.savedIn[i] = t.id
	t.savedWorkers = append(t.savedWorkers, savedWorker{i, z.Workers[i]})
}

// Block marks free resources of a worker as used until the transaction ends, up
// to what is free: they are kept for a job that waits for borrowers to leave.
func (z *Zone) Block(k int, a Amount) {
	z.saveWorker(k)
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
	z.updateWorker(k)
}

// Assignment is a number of tasks that one worker gets, or could get.
type Assignment struct{ Worker, Tasks int }

// PlaceAssignments turns assignments into a placement on free accelerators. The
// assignments must fit.
func (z *Zone) PlaceAssignments(s *model.JobSpec, assignments []Assignment) []model.TaskPlacement {
	return z.placeAssignments(s, assignments)
}

// TasksPreserving returns how many of at most n tasks that cannot be preempted
// fit on the worker beside the cells of the binding.
func (z *Zone) TasksPreserving(b *Binding, s *model.JobSpec, worker, n int) int {
	w := &z.Workers[worker]
	for n > 0 && w.avail-w.availWith(s, n) > b.left[worker] {
		n--
	}
	return n
}
