package policy

import (
	"math"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/cell"
	"teaselpaddle.example/teaselpaddle/internal/sched/preempt"
	"teaselpaddle.example/teaselpaddle/internal/sched/queue"
)

// otherCells is how many cells beside the bound ones are compared in a reclaim.
const otherCells = 8

// shape is one guaranteed shape of a customer. An unused shape has a cell that
// it could be bound to; a used one has the rest of its cell.
type shape struct {
	c       *customer
	size    int
	number  int
	used    int   // accelerators, other resources counted by their share
	workers []int // that it uses
	cell    cell.Cell
	missing int // accelerators that no healthy worker is left for
}

// bindings proves that each shape can be reclaimed: the cells are disjoint and
// hold only attempts that can be taken off.
type bindings struct {
	cells  *cell.Binding
	shapes []*shape // largest first
	of     map[*customer][]*shape
}

// bind returns the cells of all shapes, computed anew if anything that cannot be
// taken off has changed.
func (s *State) bind() *bindings {
	if s.bindings != nil && s.bindingOf == s.cells.Version() {
		return s.bindings
	}
	b := &bindings{cells: cell.NewBinding(s.cells), of: map[*customer][]*shape{}}
	for _, c := range s.order {
		for _, g := range c.guarantees {
			b.add(c, g)
		}
	}
	for _, r := range s.claimed {
		s.attach(b, r)
	}
	for _, sh := range b.sorted() {
		if len(sh.workers) > 0 {
			sh.cell, sh.missing = b.cells.BindNear(sh.workers, sh.size-sh.used)
		}
	}
	for _, sh := range b.shapes {
		if len(sh.workers) > 0 {
			continue
		}
		if sh.cell = b.cells.Bind(sh.size); sh.cell == nil {
			sh.missing = sh.size
		}
	}
	s.bindings, s.bindingOf = b, s.cells.Version()
	return b
}

func (b *bindings) add(c *customer, g model.Guarantee) {
	first := 0
	for _, sh := range b.of[c] {
		if sh.size == g.Shape.Accelerators {
			first++
		}
	}
	for n := range g.Count {
		sh := &shape{c: c, size: g.Shape.Accelerators, number: first + n}
		b.shapes = append(b.shapes, sh)
		b.of[c] = append(b.of[c], sh)
	}
}

// sorted puts the shapes into the order in which they are bound.
func (b *bindings) sorted() []*shape {
	slices.SortStableFunc(b.shapes, func(x, y *shape) int { return y.size - x.size })
	return b.shapes
}

// attach notes the shape that a running attempt uses: the one it claimed, or
// else the smallest with room.
func (s *State) attach(b *bindings, r *sched.Running) {
	total := 0
	var workers []int
	for i := range r.Placement {
		k := s.cells.Index(r.Placement[i].Worker)
		if k < 0 {
			continue
		}
		total += s.cells.Workers[k].Charge(&r.Spec)
		if !slices.Contains(workers, k) {
			workers = append(workers, k)
		}
	}
	var best *shape
	for _, sh := range b.of[s.customer(r.Customer)] {
		if r.Claim.Accelerators == sh.size && r.Claim.Number == sh.number {
			best = sh
			break
		}
		if sh.size-sh.used >= total && (best == nil || sh.size < best.size) {
			best = sh
		}
	}
	if best == nil || len(workers) == 0 {
		return
	}
	best.used = min(best.used+total, best.size)
	for _, k := range workers {
		if !slices.Contains(best.workers, k) {
			best.workers = append(best.workers, k)
		}
	}
}

// claims starts the jobs that fit into guaranteed shapes of their customers, and
// takes borrowers off their cells where needed.
func (d *decision) claims() {
	var jobs []*sched.Waiting
	room := map[*customer]int{}
	for _, sh := range d.b.shapes {
		room[sh.c] = max(room[sh.c], sh.size-sh.used)
	}
	for _, c := range d.s.order {
		for _, w := range c.Jobs {
			if n := w.Spec.TotalAccelerators(); n > 0 && n <= room[c] && !d.handled[w] {
				jobs = append(jobs, w)
			}
		}
	}
	slices.SortFunc(jobs, queue.Compare)
	for _, w := range jobs {
		c := d.s.customers[w.Spec.Customer]
		if !c.OverQuota(w.Spec.TotalAccelerators()) && w.Spec.TotalAccelerators() <= d.room(c) {
			d.claim(c, w)
		}
	}
}

// room is the most that one shape of a customer has left.
func (d *decision) room(c *customer) int {
	n := 0
	for _, sh := range d.b.of[c] {
		n = max(n, sh.size-sh.used)
	}
	return n
}

// claim puts a job into the shape of its customer that it fills best.
func (d *decision) claim(c *customer, w *sched.Waiting) {
	total := w.Spec.TotalAccelerators()
	shapes := slices.Clone(d.b.of[c])
	slices.SortStableFunc(shapes, func(a, b *shape) int {
		if (len(a.workers) > 0) != (len(b.workers) > 0) {
			if len(a.workers) > 0 {
				return -1
			}
			return 1
		}
		return (a.size - a.used) - (b.size - b.used)
	})
	tried := map[int]bool{} // sizes of unused shapes
	for _, sh := range shapes {
		if sh.size-sh.used < total || (len(sh.workers) == 0 && tried[sh.size]) {
			continue
		}
		if len(sh.workers) == 0 {
			tried[sh.size] = true
		}
		if ch := d.chooseCell(sh, w); ch != nil {
			d.occupy(sh, w, ch)
			return
		}
	}
}

// chooseCell returns the cheapest room for a job in a shape; an unused shape is
// moved to the cell where that is.
func (d *decision) chooseCell(sh *shape, w *sched.Waiting) *preempt.Choice {
	own := d.inCell(sh.cell, w, math.Inf(1))
	if len(sh.workers) > 0 || d.s.rules.NoCheapest || (own != nil && own.Cost == 0) {
		return own
	}
	best, bestCost := own, math.Inf(1)
	if own != nil {
		bestCost = own.Cost
	}
	var from *shape
	for _, o := range d.b.shapes {
		if o == sh || o.size != sh.size || len(o.workers) > 0 || o.cell == nil || bestCost == 0 {
			continue
		}
		if ch := d.inCell(o.cell, w, bestCost); ch != nil && ch.Cost < bestCost {
			best, bestCost, from = ch, ch.Cost, o
		}
	}
	var others []cell.Cell
	pick := -1
	for len(others) < otherCells && bestCost > 0 {
		c := d.b.cells.Bind(sh.size)
		if c == nil {
			break
		}
		others = append(others, c)
		if ch := d.inCell(c, w, bestCost); ch != nil && ch.Cost < bestCost {
			best, bestCost, pick = ch, ch.Cost, len(others)-1
		}
	}
	d.move(sh, from, others, pick)
	return best
}

// move gives a shape the cell of another unused shape, or the picked one of
// other cells, and drops the rest of these.
func (d *decision) move(sh, from *shape, others []cell.Cell, pick int) {
	for i, c := range others {
		if i != pick {
			d.b.cells.Drop(c)
		}
	}
	switch {
	case pick >= 0:
		if sh.cell != nil {
			d.b.cells.Drop(sh.cell)
		}
		sh.cell, sh.missing = others[pick], 0
		d.moved = true
	case from != nil:
		sh.cell, from.cell = from.cell, sh.cell
		sh.missing, from.missing = from.missing, sh.missing
		d.moved = true
	}
}

// inCell returns the cheapest room for a job in a cell, or nil.
func (d *decision) inCell(c cell.Cell, w *sched.Waiting, limit float64) *preempt.Choice {
	places := make([]preempt.Place, 0, len(c))
	for _, p := range c {
		wk := &d.s.cells.Workers[p.Worker]
		if p.Count < 1 || !wk.Usable || slices.Contains(w.Avoid, wk.Name) {
			continue
		}
		places = append(places, preempt.Place{Worker: p.Worker, Limit: p.Count / max(wk.Charge(&w.Spec), 1)})
	}
	return d.finder(func(r *sched.Running) bool { return r.Preemptible() }).Find(&w.Spec, places, limit)
}

// occupy uses a part of a shape for a job: at once, or when the borrowers have
// left.
func (d *decision) occupy(sh *shape, w *sched.Waiting, ch *preempt.Choice) {
	d.moved = true
	for _, sl := range ch.Slots {
		n := sl.Tasks * d.s.cells.Workers[sl.Worker].Charge(&w.Spec)
		sh.used += n
		sh.workers = append(sh.workers, sl.Worker)
		sh.cell = take(sh.cell, sl.Worker, n)
		if len(ch.Victims) == 0 {
			d.b.cells.Consume(sl.Worker, -n)
		}
	}
	if len(ch.Victims) > 0 {
		d.takeOff(w, ch)
		return
	}
	d.start(w, d.s.cells.Fill(&w.Spec, ch.Slots), &sched.Claim{Accelerators: sh.size, Number: sh.number})
}

// take removes n accelerators of a worker from a cell.
func take(c cell.Cell, worker, n int) cell.Cell {
	out := make(cell.Cell, 0, len(c))
	for _, p := range c {
		if p.Worker == worker {
			m := min(n, p.Count)
			p.Count -= m
			n -= m
		}
		if p.Count > 0 {
			out = append(out, p)
		}
	}
	return out
}

// shortfalls lists the guarantees that too few healthy workers are left for.
func (b *bindings) shortfalls() []sched.Shortfall {
	var out []sched.Shortfall
	for _, sh := range b.shapes {
		if sh.missing == 0 {
			continue
		}
		i := slices.IndexFunc(out, func(s sched.Shortfall) bool {
			return s.Customer == sh.c.Name && s.Shape.Accelerators == sh.size
		})
		if i < 0 {
			i = len(out)
			out = append(out, sched.Shortfall{Customer: sh.c.Name, Shape: model.Shape{Accelerators: sh.size}})
		}
		out[i].Missing++
	}
	return out
}
