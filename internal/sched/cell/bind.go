package cell

import "math/bits"

// Part is a number of accelerators on one worker, each with its share of the
// worker's cores, memory and slots.
type Part struct {
	Worker int // index in Zone.Workers
	Count  int
}

// Cell is the set of parts that one guaranteed shape is bound to.
type Cell []Part

// Binding assigns disjoint cells to the guaranteed shapes of a zone. It proves
// that every shape can be reclaimed: all work in the cells can be preempted.
type Binding struct {
	zone  *Zone
	left  []int // by worker: available accelerators that no cell holds
	racks []rackLeft
}

// rackLeft summarizes what is left in a rack.
type rackLeft struct {
	whole int    // accelerators of workers with all accelerators left
	mask  uint64 // bit k is set if a usable worker has k accelerators left
}

// NewBinding returns a binding without cells.
func NewBinding(z *Zone) *Binding {
	b := &Binding{zone: z, left: make([]int, len(z.Workers)), racks: make([]rackLeft, len(z.Racks))}
	b.Reset()
	return b
}

// Reset removes all cells and reads the availability of the zone again.
func (b *Binding) Reset() {
	copy(b.left, b.zone.avail)
	copy(b.racks, b.zone.racksLeft)
}

// Left returns the number of accelerators of a worker that are available and in
// no cell.
func (b *Binding) Left(worker int) int { return b.left[worker] }

// Reserve adds a cell to the binding.
func (b *Binding) Reserve(c Cell) {
	for _, p := range c {
		b.left[p.Worker] -= p.Count
		b.updateRack(b.zone.Workers[p.Worker].rack)
	}
}

func (b *Binding) updateRack(i int) {
	r := &b.zone.Racks[i]
	s := rackLeft{}
	for k := r.First; k < r.Last; k++ {
		if !b.zone.Workers[k].Usable || b.left[k] < 0 {
			continue
		}
		s.mask |= 1 << b.left[k]
		if b.allLeft(k) {
			s.whole += b.left[k]
		}
	}
	b.racks[i] = s
}

// Bind finds and reserves a cell for a shape of size accelerators. A shape that
// fits on a worker gets a part of the worker with the least left; a larger one
// gets whole workers of the rack with the least left, and one larger than a
// rack those of neighbouring racks. Bind returns nil if there is no such cell.
func (b *Binding) Bind(size int) Cell {
	c := b.cellOnWorker(size)
	if c == nil {
		c = b.cellInRack(size)
	}
	if c == nil && size > b.zone.largestRack {
		c = b.cellInRacks(size)
	}
	if c != nil {
		b.Reserve(c)
	}
	return c
}

func (b *Binding) cellOnWorker(size int) Cell {
	if size > maxAccelerators {
		return nil
	}
	best, bestLeft := -1, maxAccelerators+1
	for i := range b.racks {
		m := b.racks[i].mask >> size << size
		if m == 0 {
			continue
		}
		if n := bits.TrailingZeros64(m); n < bestLeft {
			best, bestLeft = i, n
		}
		if bestLeft == size {
			break
		}
	}
	if best < 0 {
		return nil
	}
	r := &b.zone.Racks[best]
	for k := r.First; k < r.Last; k++ {
		if b.left[k] == bestLeft && b.zone.Workers[k].Usable {
			return Cell{{Worker: k, Count: size}}
		}
	}
	return nil
}

func (b *Binding) cellInRack(size int) Cell {
	best := -1
	for i := range b.racks {
		if b.racks[i].whole >= size && (best < 0 || b.racks[i].whole < b.racks[best].whole) {
			best = i
		}
		if best >= 0 && b.racks[best].whole == size {
			break
		}
	}
	if best < 0 {
		return nil
	}
	r := &b.zone.Racks[best]
	first, last := b.smallestWorkerGroup(r.First, r.Last, size)
	return b.coverWithWholeWorkers(first, last, size)
}

// smallestWorkerGroup returns the smallest aligned group of workers of a rack
// whose whole workers have at least size accelerators; among equally small
// groups it returns the one with the fewest.
func (b *Binding) smallestWorkerGroup(first, last, size int) (int, int) {
	for n := 2; n < last-first; n *= 2 {
		at, least := -1, 0
		for k := first; k < last; k += n {
			sum := b.wholeAccelerators(k, min(k+n, last))
			if sum >= size && (at < 0 || sum < least) {
				at, least = k, sum
			}
		}
		if at >= 0 {
			return at, min(at+n, last)
		}
	}
	return first, last
}

// allLeft reports whether a worker is usable and all its accelerators are
// available and in no cell.
func (b *Binding) allLeft(k int) bool {
	w := &b.zone.Workers[k]
	return w.Usable && w.Accelerators > 0 && b.left[k] == w.Accelerators
}

func (b *Binding) wholeAccelerators(first, last int) int {
	sum := 0
	for k := first; k < last; k++ {
		if b.allLeft(k) {
			sum += b.left[k]
		}
	}
	return sum
}

// coverWithWholeWorkers takes whole workers of a range in order until they have
// size accelerators. If the rest is less than any further worker has, it takes
// the smallest of those.
func (b *Binding) coverWithWholeWorkers(first, last, size int) Cell {
	var c Cell
	rest := -1
	for k := first; k < last && size > 0; k++ {
		switch {
		case !b.allLeft(k):
		case b.left[k] <= size:
			c = append(c, Part{Worker: k, Count: b.left[k]})
			size -= b.left[k]
		case rest < 0 || b.left[k] < b.left[rest]:
			rest = k
		}
	}
	if size > 0 && rest >= 0 {
		c = append(c, Part{Worker: rest, Count: b.left[rest]})
	}
	return c
}

// cellInRacks returns a cell for a shape that no single rack can hold, in the
// smallest aligned group of neighbouring racks that holds it.
func (b *Binding) cellInRacks(size int) Cell {
	for n := 2; n < 2*len(b.racks); n *= 2 {
		at, least := -1, 0
		for i := 0; i < len(b.racks); i += n {
			sum := 0
			for k := i; k < min(i+n, len(b.racks)); k++ {
				sum += b.racks[k].whole
			}
			if sum >= size && (at < 0 || sum < least) {
				at, least = i, sum
			}
		}
		if at >= 0 {
			last := min(at+n, len(b.racks)) - 1
			return b.coverWithWholeWorkers(b.zone.Racks[at].First, b.zone.Racks[last].Last, size)
		}
	}
	return nil
}

// smallestRackGroup returns the smallest aligned group of racks with at least
// size capacity, or -1.
func smallestRackGroup(racks int, capacity func(int) int, size int) (first, last int) {
	for n := 2; n < 2*racks; n *= 2 {
		at, least := -1, 0
		for i := 0; i < racks; i += n {
			sum := 0
			for k := i; k < min(i+n, racks); k++ {
				sum += capacity(k)
			}
			if sum >= size && (at < 0 || sum < least) {
				at, least = i, sum
			}
		}
		if at >= 0 {
			return at, min(at+n, racks)
		}
	}
	return -1, -1
}

// BindNear finds and reserves a cell for the part of a shape of size
// accelerators that is still needed, close to the workers that the shape
// already uses. A shape that is smaller than its worker stays on it; a larger
// one has its workers to itself, and gets further whole workers from their
// racks, then from the rest of the zone. BindNear returns the cell and the
// number of missing accelerators.
func (b *Binding) BindNear(used []int, size, need int) (Cell, int) {
	if need <= 0 {
		return nil, 0
	}
	var c Cell
	take := func(k, n int) {
		if n > 0 {
			c = append(c, Part{Worker: k, Count: n})
			need -= n
			b.left[k] -= n
			b.updateRack(b.zone.Workers[k].rack)
		}
	}
	for _, k := range used {
		if !b.zone.Workers[k].Usable {
			continue
		}
		if size < b.zone.Workers[k].Accelerators {
			take(k, min(need, b.left[k]))
		} else {
			take(k, b.left[k])
		}
	}
	takeWholeWorkers := func(rack int) {
		r := &b.zone.Racks[rack]
		for k := r.First; k < r.Last && need > 0; k++ {
			if b.allLeft(k) {
				take(k, b.left[k])
			}
		}
	}
	for _, u := range used {
		takeWholeWorkers(b.zone.Workers[u].rack)
	}
	for i := 0; i < len(b.racks) && need > 0; i++ {
		if b.racks[i].whole > 0 {
			takeWholeWorkers(i)
		}
	}
	return c, max(need, 0)
}
