// Package cell manages the accelerators of one availability zone as a hierarchy
// of cells: accelerator, worker, aligned group of workers, rack, aligned group
// of neighbouring racks. It places jobs on cells, and binds guaranteed shapes
// to physical cells only when they are used (idea: HiveD, OSDI 2020).
package cell

import (
	"math/bits"
	"slices"
	"strings"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
)

// maxAccelerators is the largest number of accelerators of a worker that are
// used: the set in use is one 64-bit word, and the masks of free counts have
// one bit for each count below 64.
const maxAccelerators = 63

// Worker is one worker with its free resources.
type Worker struct {
	sched.Worker
	rack int

	freeCores, freeMem, freeSlots int
	used                          uint64 // bit a is set if accelerator a is in use
	free                          int    // number of free accelerators
	// Resources of pinned tasks, which cannot be preempted.
	pinnedCores, pinnedMem, pinnedSlots, pinnedAccel int
	// avail is the number of accelerators, each with its share of cores, memory
	// and slots, that are left when all borrowers are preempted.
	avail int
}

// Rack is a range of workers.
type Rack struct {
	Name        string
	First, Last int // workers [First, Last)

	free     int    // free accelerators on usable workers
	freeMask uint64 // bit k is set if a usable worker has k free accelerators
	// splitMask is freeMask restricted to workers with an accelerator in use.
	splitMask   uint64
	freeSlots   int // free slots on usable workers
	usable      int // accelerators of usable workers
	reclaimable int // accelerators of usable workers that no pinned task holds
}

// Zone holds the workers of one availability zone. It is not safe for
// concurrent use.
type Zone struct {
	Workers []Worker // by rack, then by name
	Racks   []Rack   // by name; racks next to each other are neighbours
	byName  map[string]int
	// avail and racksLeft are what a Binding without cells has left; see
	// Binding.Reset.
	avail     []int
	racksLeft []rackLeft
	// largestRack is the number of accelerators of the largest rack, unusable
	// workers included.
	largestRack int
	// version changes with each change of what can be reclaimed.
	version     uint64
	transaction transaction
	freed       []int // workers, see TakeFreed
}

// NewZone returns a zone in which nothing runs.
func NewZone(workers []sched.Worker) *Zone {
	z := &Zone{byName: make(map[string]int, len(workers))}
	z.Workers = make([]Worker, len(workers))
	for i := range workers {
		z.Workers[i].Worker = workers[i]
	}
	slices.SortFunc(z.Workers, func(a, b Worker) int {
		if c := strings.Compare(a.Rack, b.Rack); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	for i := range z.Workers {
		w := &z.Workers[i]
		w.Accelerators = min(w.Accelerators, maxAccelerators)
		w.freeCores, w.freeMem, w.freeSlots = w.Cores, w.MemoryMiB, w.Slots
		w.free = w.Accelerators
		z.byName[w.Name] = i
		if i == 0 || z.Workers[i-1].Rack != w.Rack {
			z.Racks = append(z.Racks, Rack{Name: w.Rack, First: i})
		}
		w.rack = len(z.Racks) - 1
		z.Racks[w.rack].Last = i + 1
		w.updateAvail()
	}
	z.avail = make([]int, len(z.Workers))
	z.racksLeft = make([]rackLeft, len(z.Racks))
	for i := range z.Racks {
		z.updateRack(i)
		n := 0
		for k := z.Racks[i].First; k < z.Racks[i].Last; k++ {
			n += z.Workers[k].Accelerators
		}
		z.largestRack = max(z.largestRack, n)
	}
	return z
}

// Index returns the position of a worker, or -1.
func (z *Zone) Index(name string) int {
	if i, ok := z.byName[name]; ok {
		return i
	}
	return -1
}

// Version changes with each change of what guarantees can be bound to.
func (z *Zone) Version() uint64 { return z.version }

// SetUsable changes whether a worker takes new work.
func (z *Zone) SetUsable(name string, usable bool) {
	i, ok := z.byName[name]
	if !ok || z.Workers[i].Usable == usable {
		return
	}
	z.Workers[i].Usable = usable
	z.updateWorker(i)
	z.recordFreed(i)
	z.version++
}

// Take allocates the resources of a task on a worker; pinned is true if the
// task cannot be preempted. Unknown workers are ignored.
func (z *Zone) Take(spec *model.JobSpec, t *model.TaskPlacement, pinned bool) {
	z.applyTask(spec, t, pinned, 1)
}

// Release undoes Take.
func (z *Zone) Release(spec *model.JobSpec, t *model.TaskPlacement, pinned bool) {
	z.applyTask(spec, t, pinned, -1)
}

// TakeAll calls Take for each task of a placement.
func (z *Zone) TakeAll(spec *model.JobSpec, ps []model.TaskPlacement, pinned bool) {
	for i := range ps {
		z.Take(spec, &ps[i], pinned)
	}
}

// ReleaseAll undoes TakeAll.
func (z *Zone) ReleaseAll(spec *model.JobSpec, ps []model.TaskPlacement, pinned bool) {
	for i := range ps {
		z.Release(spec, &ps[i], pinned)
	}
}

func (z *Zone) applyTask(spec *model.JobSpec, t *model.TaskPlacement, pinned bool, sign int) {
	i, ok := z.byName[t.Worker]
	if !ok {
		return
	}
	z.saveWorker(i)
	if sign < 0 {
		z.recordFreed(i)
	}
	w := &z.Workers[i]
	w.freeCores -= sign * spec.CPU
	w.freeMem -= sign * spec.MemoryMiB
	w.freeSlots -= sign
	for _, a := range t.Accelerators {
		if a < 0 || a >= w.Accelerators {
			continue
		}
		if sign > 0 {
			w.used |= 1 << a
		} else {
			w.used &^= 1 << a
		}
	}
	if pinned {
		w.pinnedCores += sign * spec.CPU
		w.pinnedMem += sign * spec.MemoryMiB
		w.pinnedSlots += sign
		w.pinnedAccel += sign * len(t.Accelerators)
		z.version++
	}
	z.updateWorker(i)
}

func (z *Zone) updateWorker(i int) {
	w := &z.Workers[i]
	w.free = w.Accelerators - bits.OnesCount64(w.used)
	w.updateAvail()
	z.updateRack(w.rack)
}

// updateAvail computes how many accelerators of the worker guarantees can
// reclaim.
func (w *Worker) updateAvail() {
	w.avail = 0
	if !w.Usable || w.Accelerators == 0 {
		return
	}
	n := w.Accelerators - w.pinnedAccel
	n = min(n, coveredAccelerators(w.Cores-w.pinnedCores, w.Cores, w.Accelerators))
	n = min(n, coveredAccelerators(w.MemoryMiB-w.pinnedMem, w.MemoryMiB, w.Accelerators))
	n = min(n, coveredAccelerators(w.Slots-w.pinnedSlots, w.Slots, w.Accelerators))
	w.avail = max(n, 0)
}

// coveredAccelerators returns for how many of n accelerators the remaining
// amount of a resource provides the full share.
func coveredAccelerators(left, all, n int) int {
	if all == 0 {
		return n
	}
	return left * n / all
}

// Charge returns the number of a worker's accelerators that a task of spec uses
// up: its accelerators, or more if it needs more than their share of cores,
// memory or slots.
func (w *Worker) Charge(spec *model.JobSpec) int {
	n := spec.Accelerators
	n = max(n, chargeFor(spec.CPU, w.Cores, w.Accelerators))
	n = max(n, chargeFor(spec.MemoryMiB, w.MemoryMiB, w.Accelerators))
	return max(n, chargeFor(1, w.Slots, w.Accelerators))
}

func chargeFor(want, all, n int) int {
	if all == 0 {
		return 0
	}
	return (want*n + all - 1) / all
}

func (z *Zone) updateRack(i int) {
	r := &z.Racks[i]
	r.free, r.freeMask, r.splitMask, r.freeSlots, r.reclaimable, r.usable = 0, 0, 0, 0, 0, 0
	left := rackLeft{}
	for k := r.First; k < r.Last; k++ {
		w := &z.Workers[k]
		z.avail[k] = w.avail
		if !w.Usable {
			continue
		}
		left.mask |= 1 << w.avail
		if w.avail == w.Accelerators {
			left.whole += w.avail
		}
		r.free += w.free
		r.freeMask |= 1 << w.free
		if w.free < w.Accelerators {
			r.splitMask |= 1 << w.free
		}
		r.usable += w.Accelerators
		r.reclaimable += w.Accelerators - w.pinnedAccel
		r.freeSlots += max(w.freeSlots, 0)
	}
	z.racksLeft[i] = left
}

// FreeAccelerators returns the number of free accelerators on usable workers.
func (z *Zone) FreeAccelerators() int {
	n := 0
	for i := range z.Racks {
		n += z.Racks[i].free
	}
	return n
}

// UsableAccelerators returns the number of accelerators on usable workers.
func (z *Zone) UsableAccelerators() int {
	n := 0
	for i := range z.Workers {
		if z.Workers[i].Usable {
			n += z.Workers[i].Accelerators
		}
	}
	return n
}

// Free returns the number of free accelerators on usable workers of the rack.
func (r *Rack) Free() int { return r.free }

// Reclaimable returns the number of accelerators of the rack that are free or
// used by attempts that can be preempted.
func (r *Rack) Reclaimable() int { return r.reclaimable }

// Usable returns the number of accelerators on usable workers of the rack.
func (r *Rack) Usable() int { return r.usable }
