// Package cell keeps the accelerators of one availability zone as a hierarchy of
// cells: accelerator, worker, aligned group of workers, rack, aligned group of
// neighbouring racks. It places jobs on cells, and binds guaranteed shapes to
// cells only when they are used (idea: HiveD, OSDI 2020).
package cell

import (
	"math/bits"
	"slices"
	"strings"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
)

// maxAccelerators is the largest number of accelerators of a worker that are
// used: the free ones are kept in one 64-bit word, and a word has a bit for each
// count below 64 as well.
const maxAccelerators = 63

// Worker is one worker with what is free on it.
type Worker struct {
	sched.Worker
	rack int

	freeCores, freeMem, freeSlots int
	used                          uint64 // accelerators in use
	free                          int    // number of free accelerators
	// hard is what work holds that cannot be taken off.
	hardCores, hardMem, hardSlots, hardAccel int
	// avail is the number of accelerators, each with its share of cores, memory
	// and slots, that are left when all borrowers are taken off.
	avail int
}

// Rack is a range of workers.
type Rack struct {
	Name        string
	First, Last int // workers [First, Last)

	free     int    // free accelerators on usable workers
	freeMask uint64 // bit k is set if a usable worker has k free accelerators
	// splitMask is freeMask of the workers on which some accelerator is in use.
	splitMask uint64
	slots     int // free slots on usable workers
	usable    int // accelerators of usable workers
	reclaim   int // accelerators that no work holds for good
}

// Zone is the workers of one availability zone. It is not safe for concurrent
// use.
type Zone struct {
	Workers []Worker // by rack, then by name
	Racks   []Rack   // by name; racks next to each other are neighbours
	byName  map[string]int
	// avail and racksLeft are what a Binding without cells has left.
	avail     []int
	racksLeft []rackLeft
	// largestRack is the most accelerators of a rack, unusable workers included.
	largestRack int
	// version changes with each change of what can be reclaimed.
	version uint64
	trial   trial
	freed   []int // workers, see TakeFreed
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
		w.update()
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
	z.touch(i)
	z.free(i)
	z.version++
}

// Take lets a task hold its resources on a worker; hard is true if the task
// cannot be taken off. Unknown workers are ignored.
func (z *Zone) Take(spec *model.JobSpec, t *model.TaskPlacement, hard bool) {
	z.change(spec, t, hard, 1)
}

// Release undoes Take.
func (z *Zone) Release(spec *model.JobSpec, t *model.TaskPlacement, hard bool) {
	z.change(spec, t, hard, -1)
}

// TakeAll takes a whole placement.
func (z *Zone) TakeAll(spec *model.JobSpec, ps []model.TaskPlacement, hard bool) {
	for i := range ps {
		z.Take(spec, &ps[i], hard)
	}
}

// ReleaseAll undoes TakeAll.
func (z *Zone) ReleaseAll(spec *model.JobSpec, ps []model.TaskPlacement, hard bool) {
	for i := range ps {
		z.Release(spec, &ps[i], hard)
	}
}

func (z *Zone) change(spec *model.JobSpec, t *model.TaskPlacement, hard bool, sign int) {
	i, ok := z.byName[t.Worker]
	if !ok {
		return
	}
	z.save(i)
	if sign < 0 {
		z.free(i)
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
	if hard {
		w.hardCores += sign * spec.CPU
		w.hardMem += sign * spec.MemoryMiB
		w.hardSlots += sign
		w.hardAccel += sign * len(t.Accelerators)
		z.version++
	}
	z.touch(i)
}

func (z *Zone) touch(i int) {
	w := &z.Workers[i]
	w.free = w.Accelerators - bits.OnesCount64(w.used)
	w.update()
	z.updateRack(w.rack)
}

// update computes how many accelerators of the worker a guarantee can get.
func (w *Worker) update() {
	w.avail = 0
	if !w.Usable || w.Accelerators == 0 {
		return
	}
	n := w.Accelerators - w.hardAccel
	n = min(n, share(w.Cores-w.hardCores, w.Cores, w.Accelerators))
	n = min(n, share(w.MemoryMiB-w.hardMem, w.MemoryMiB, w.Accelerators))
	n = min(n, share(w.Slots-w.hardSlots, w.Slots, w.Accelerators))
	w.avail = max(n, 0)
}

// share returns how many of n accelerators keep their share of a resource.
func share(left, all, n int) int {
	if all == 0 {
		return n
	}
	return left * n / all
}

// Charge is the number of a worker's accelerators that a task of spec uses up,
// counting cores, memory and slots by their share.
func (w *Worker) Charge(spec *model.JobSpec) int {
	n := spec.Accelerators
	n = max(n, charge(spec.CPU, w.Cores, w.Accelerators))
	n = max(n, charge(spec.MemoryMiB, w.MemoryMiB, w.Accelerators))
	return max(n, charge(1, w.Slots, w.Accelerators))
}

func charge(want, all, n int) int {
	if all == 0 {
		return 0
	}
	return (want*n + all - 1) / all
}

func (z *Zone) updateRack(i int) {
	r := &z.Racks[i]
	r.free, r.freeMask, r.splitMask, r.slots, r.reclaim, r.usable = 0, 0, 0, 0, 0, 0
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
		r.reclaim += w.Accelerators - w.hardAccel
		r.slots += max(w.freeSlots, 0)
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
// held by work that can be taken off.
func (r *Rack) Reclaimable() int { return r.reclaim }

// Usable returns the number of accelerators on usable workers of the rack.
func (r *Rack) Usable() int { return r.usable }
