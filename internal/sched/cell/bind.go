package cell

import "math/bits"

// Part is a number of accelerators on one worker, each with its share of the
// worker's cores, memory and slots.
type Part struct {
	Worker int // index in Zone.Workers
	Count  int
}

// Cell is the parts that one guaranteed shape is bound to.
type Cell []Part

// Binding keeps disjoint cells for the guaranteed shapes of a zone. It proves
// that every shape can be reclaimed: the cells hold only borrowers.
type Binding struct {
	z     *Zone
	left  []int // by worker: available accelerators that no cell holds
	racks []rackLeft
}

// rackLeft sums up what is left in a rack.
type rackLeft struct {
	whole int // accelerators of workers that are left whole
	mask  uint64
}

// NewBinding returns a binding without cells.
func NewBinding(z *Zone) *Binding {
	b := &Binding{z: z, left: make([]int, len(z.Workers)), racks: make([]rackLeft, len(z.Racks))}
	b.Reset()
	return b
}

// Reset drops all cells and reads the availability of the zone again.
func (b *Binding) Reset() {
	copy(b.left, b.z.avail)
	copy(b.racks, b.z.racksLeft)
}

// Left returns the accelerators of a worker that are available and in no cell.
func (b *Binding) Left(worker int) int { return b.left[worker] }

// Hold adds a cell.
func (b *Binding) Hold(c Cell) {
	for _, p := range c {
		b.left[p.Worker] -= p.Count
		b.updateRack(b.z.Workers[p.Worker].rack)
	}
}

// Drop removes a cell that was added with Hold or Bind.
func (b *Binding) Drop(c Cell) {
	for _, p := range c {
		b.left[p.Worker] += p.Count
		b.updateRack(b.z.Workers[p.Worker].rack)
	}
}

func (b *Binding) updateRack(i int) {
	r := &b.z.Racks[i]
	s := rackLeft{}
	for k := r.First; k < r.Last; k++ {
		if !b.z.Workers[k].Usable || b.left[k] < 0 {
			continue
		}
		s.mask |= 1 << b.left[k]
		if b.whole(k) {
			s.whole += b.left[k]
		}
	}
	b.racks[i] = s
}

// Bind finds a cell for a shape of size accelerators and holds it. A shape that
// fits on a worker gets a part of the worker with the least left; a larger one
// gets whole workers of the rack with the least left, and one larger than a rack
// those of neighbouring racks. It returns nil if there is none.
func (b *Binding) Bind(size int) Cell {
	c := b.onWorker(size)
	if c == nil {
		c = b.inRack(size)
	}
	if c == nil && size > b.z.largestRack {
		c = b.inRacks(size)
	}
	if c != nil {
		b.Hold(c)
	}
	return c
}

func (b *Binding) onWorker(size int) Cell {
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
	r := &b.z.Racks[best]
	for k := r.First; k < r.Last; k++ {
		if b.left[k] == bestLeft && b.z.Workers[k].Usable {
			return Cell{{Worker: k, Count: size}}
		}
	}
	return nil
}

func (b *Binding) inRack(size int) Cell {
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
	r := &b.z.Racks[best]
	first, last := b.block(r.First, r.Last, size)
	return b.cover(first, last, size)
}

// block returns the smallest aligned group of workers of a rack that holds size
// accelerators; among equal ones that with the least.
func (b *Binding) block(first, last, size int) (int, int) {
	for n := 2; n < last-first; n *= 2 {
		at, least := -1, 0
		for k := first; k < last; k += n {
			sum := b.holds(k, min(k+n, last))
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

func (b *Binding) whole(k int) bool {
	w := &b.z.Workers[k]
	return w.Usable && w.Accelerators > 0 && b.left[k] == w.Accelerators
}

func (b *Binding) holds(first, last int) int {
	sum := 0
	for k := first; k < last; k++ {
		if b.whole(k) {
			sum += b.left[k]
		}
	}
	return sum
}

// cover takes whole workers of a range in order until they hold size; for what
// is less than the next worker it takes the smallest that holds it.
func (b *Binding) cover(first, last, size int) Cell {
	var c Cell
	rest := -1
	for k := first; k < last && size > 0; k++ {
		switch {
		case !b.whole(k):
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

// inRacks serves shapes that no single rack can hold, from the smallest aligned
// group of neighbouring racks.
func (b *Binding) inRacks(size int) Cell {
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
			return b.cover(b.z.Racks[at].First, b.z.Racks[last].Last, size)
		}
	}
	return nil
}

// groupOfRacks returns the smallest aligned group of racks that holds size,
// or -1.
func groupOfRacks(racks int, holds func(int) int, size int) (first, last int) {
	for n := 2; n < 2*racks; n *= 2 {
		at, least := -1, 0
		for i := 0; i < racks; i += n {
			sum := 0
			for k := i; k < min(i+n, racks); k++ {
				sum += holds(k)
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

// BindNear finds room for the need that is left of a shape of size accelerators,
// next to the workers that it already uses. A shape that is smaller than its
// worker keeps to that; a larger one has its workers to itself, and gets further
// whole workers from their racks, then from the zone. It holds and returns the
// cell, and how many accelerators are missing.
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
			b.updateRack(b.z.Workers[k].rack)
		}
	}
	for _, k := range used {
		if !b.z.Workers[k].Usable {
			continue
		}
		if size < b.z.Workers[k].Accelerators {
			take(k, min(need, b.left[k]))
		} else {
			take(k, b.left[k])
		}
	}
	wholes := func(rack int) {
		r := &b.z.Racks[rack]
		for k := r.First; k < r.Last && need > 0; k++ {
			if b.whole(k) {
				take(k, b.left[k])
			}
		}
	}
	for _, u := range used {
		wholes(b.z.Workers[u].rack)
	}
	for i := 0; i < len(b.racks) && need > 0; i++ {
		if b.racks[i].whole > 0 {
			wholes(i)
		}
	}
	return c, max(need, 0)
}
