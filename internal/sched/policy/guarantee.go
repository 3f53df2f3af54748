package policy

import (
	"math"
	"math/rand/v2"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/cell"
	"teaselpaddle.example/teaselpaddle/internal/sched/preempt"
	"teaselpaddle.example/teaselpaddle/internal/sched/queue"
)

// otherRacks is the number of racks in which cells are compared in a reclaim,
// beside those where borrowers are leaving.
const otherRacks = 8

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
	cells   *cell.Binding
	shapes  []*shape // in the order in which they get cells
	missing int      // accelerators that shapes are short of
	of      map[*customer][]*shape
}

// pending is a job that uses a part of a shape as soon as borrowers have left.
type pending struct {
	customer string
	claim    sched.Claim
	cell     cell.Cell
}

// bind returns the cells of all shapes, computed anew if anything that cannot be
// taken off has changed.
func (s *State) bind() *bindings {
	if s.bindings == nil || s.bindingOf != s.cells.Version() {
		s.bindings, s.bindingOf = s.bindWith(nil, nil), s.cells.Version()
	}
	return s.bindings
}

// Largest first is not always enough where the sizes of workers, racks and shapes
// differ. bindRounds is how often cells are sought with the shapes that found
// none moved to the front; afterwards as many orders from a fixed seed are tried
// if there are at most shuffleShapes shapes.
const (
	bindRounds    = 40
	shuffleShapes = 64
)

// bindWith computes the cells of all shapes. starts are claims that the running
// attempts do not have yet; waits are those that wait for borrowers to leave.
func (s *State) bindWith(starts []*claimed, waits []pending) *bindings {
	b := s.shapes()
	for _, r := range starts {
		s.attach(b, r)
	}
	for i := range waits {
		b.wait(s.customers[waits[i].customer], &waits[i])
	}
	slices.SortStableFunc(b.shapes, func(x, y *shape) int {
		if used := len(x.workers) > 0; used != (len(y.workers) > 0) {
			if used {
				return -1
			}
			return 1
		}
		return y.size - x.size
	})
	b.cells = cell.NewBinding(s.cells)
	best := -1
	var order []*shape
	rnd := rand.New(rand.NewPCG(1, 1))
	for range bindRounds {
		if b.assign(waits); best < 0 || b.missing < best {
			best, order = b.missing, slices.Clone(b.shapes)
		}
		if b.missing == 0 {
			return b
		}
		if b.bump() {
			continue
		}
		if len(b.shapes) > shuffleShapes {
			break
		}
		rnd.Shuffle(len(b.shapes), func(i, j int) { b.shapes[i], b.shapes[j] = b.shapes[j], b.shapes[i] })
	}
	b.shapes = order
	b.assign(waits)
	return b
}

// shapes returns the shapes with what the running attempts use of them, without
// cells.
func (s *State) shapes() *bindings {
	if s.base == nil {
		s.base = &bindings{of: map[*customer][]*shape{}}
		for _, c := range s.order {
			for _, g := range c.guarantees {
				s.base.add(c, g)
			}
		}
		for _, r := range s.claimed {
			s.attach(s.base, r)
		}
	}
	all := make([]shape, len(s.base.shapes))
	b := &bindings{shapes: make([]*shape, len(all)), of: make(map[*customer][]*shape, len(s.base.of))}
	for i, sh := range s.base.shapes {
		all[i] = *sh
		all[i].workers = slices.Clip(sh.workers)
		b.shapes[i] = &all[i]
		b.of[sh.c] = append(b.of[sh.c], &all[i])
	}
	return b
}

// assign gives each shape a cell, in the order of the shapes.
func (b *bindings) assign(waits []pending) {
	b.cells.Reset()
	b.missing = 0
	for i := range waits {
		b.cells.Hold(waits[i].cell)
	}
	for _, sh := range b.shapes {
		sh.missing = 0
		if len(sh.workers) > 0 {
			sh.cell, sh.missing = b.cells.BindNear(sh.workers, sh.size, sh.size-sh.used)
		} else if sh.cell = b.cells.Bind(sh.size); sh.cell == nil {
			sh.missing = sh.size
		}
		b.missing += sh.missing
	}
}

// bump moves the shapes that are missing something to the front. It reports
// whether that changed the order.
func (b *bindings) bump() bool {
	before := slices.Clone(b.shapes)
	slices.SortStableFunc(b.shapes, func(x, y *shape) int {
		switch {
		case (x.missing > 0) == (y.missing > 0):
			return 0
		case x.missing > 0:
			return -1
		}
		return 1
	})
	return !slices.Equal(before, b.shapes)
}

// wait marks the part of a shape that a pending job will use.
func (b *bindings) wait(c *customer, p *pending) {
	for _, sh := range b.of[c] {
		if sh.size != p.claim.Accelerators || sh.number != p.claim.Number {
			continue
		}
		for _, part := range p.cell {
			sh.used += part.Count
			if !slices.Contains(sh.workers, part.Worker) {
				sh.workers = append(sh.workers, part.Worker)
			}
		}
	}
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

// claimed is an attempt in a guarantee with what it uses of its shape.
type claimed struct {
	*sched.Running
	workers []int
	total   int // accelerators, other resources counted by their share
}

func (s *State) claimedRun(r *sched.Running) *claimed {
	c := &claimed{Running: r}
	for i := range r.Placement {
		k := s.cells.Index(r.Placement[i].Worker)
		if k < 0 {
			continue
		}
		c.total += s.cells.Workers[k].Charge(&r.Spec)
		if !slices.Contains(c.workers, k) {
			c.workers = append(c.workers, k)
		}
	}
	return c
}

// attach notes the shape that a running attempt uses: the one it claimed, or
// else the smallest with room.
func (s *State) attach(b *bindings, r *claimed) {
	workers, total := r.workers, r.total
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
	noRoom := map[ofCustomer]bool{}
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
		key := ofCustomer{signatureOf(&w.Spec), c.Name}
		if c.OverQuota(w.Spec.TotalAccelerators()) || w.Spec.TotalAccelerators() > d.room(c) || noRoom[key] {
			continue
		}
		if d.claim(c, w); !d.handled[w] && len(w.Avoid) == 0 {
			noRoom[key] = true
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
	for _, strict := range []bool{false, true} {
		sh, room := d.bestShape(shapes, w, strict)
		if room == nil || d.occupy(sh, w, room) {
			return
		}
	}
	for _, sh := range shapes {
		if sh.size-sh.used < total {
			continue
		}
		if own := d.inCell(sh.cell, w, math.Inf(1)); own != nil && d.occupy(sh, w, own) {
			return
		}
	}
}

// bestShape returns the shape in which a job costs least, and the room there.
func (d *decision) bestShape(shapes []*shape, w *sched.Waiting, strict bool) (*shape, *preempt.Choice) {
	var best *shape
	var room *preempt.Choice
	tried := map[int]bool{} // sizes of unused shapes
	for _, sh := range shapes {
		unused := len(sh.workers) == 0
		if sh.size-sh.used < w.Spec.TotalAccelerators() || (unused && tried[sh.size]) || (room != nil && room.Cost == 0) {
			continue
		}
		tried[sh.size] = tried[sh.size] || unused
		if ch := d.chooseCell(sh, w, strict); ch != nil && (room == nil || ch.Cost < room.Cost) {
			best, room = sh, ch
		}
	}
	return best, room
}

// chooseCell returns the cheapest room for a job in a shape. An unused shape may
// be bound to any cell: its own, that of another unused shape of the same size,
// or one that no shape needs.
func (d *decision) chooseCell(sh *shape, w *sched.Waiting, strict bool) *preempt.Choice {
	own := d.inCell(sh.cell, w, math.Inf(1))
	if d.s.rules.NoCheapest || (own != nil && own.Cost == 0) {
		return own
	}
	best := own
	better := func(c cell.Cell) {
		limit := math.Inf(1)
		if best != nil {
			limit = best.Cost
		}
		if ch := d.inCell(c, w, limit); ch != nil && ch.Cost < limit {
			best = ch
		}
	}
	for _, o := range d.b.shapes {
		if o != sh && o.size == sh.size && len(o.workers)+len(sh.workers) == 0 && (best == nil || best.Cost > 0) {
			better(o.cell)
		}
	}
	d.inRacks(sh, strict, better)
	return best
}

// inRacks offers the room of a shape in other racks: those where borrowers are
// leaving already, so that a choice made before stays the choice, and those with
// the most free accelerators. If strict, the present cells of other shapes are
// left out; otherwise they may have to move.
func (d *decision) inRacks(sh *shape, strict bool, offer func(cell.Cell)) {
	extra := map[int]int{}
	for _, p := range sh.cell {
		extra[p.Worker] = p.Count
	}
	for i := range d.waits {
		for _, p := range d.waits[i].cell {
			extra[p.Worker] -= p.Count
		}
	}
	z := d.s.cells
	for _, i := range d.likelyRacks() {
		var c cell.Cell
		for k := z.Racks[i].First; k < z.Racks[i].Last; k++ {
			n := z.Workers[k].Avail() + min(extra[k], 0)
			if strict {
				n = d.b.cells.Left(k) + max(extra[k], 0)
			}
			if n > 0 {
				c = append(c, cell.Part{Worker: k, Count: n})
			}
		}
		offer(c)
	}
}

// likelyRacks returns the racks that are compared in a reclaim.
func (d *decision) likelyRacks() []int {
	if d.likely != nil {
		return d.likely
	}
	all := make([]int, len(d.s.cells.Racks))
	for i := range all {
		all[i] = i
	}
	d.likely = slices.Clone(mostFree(d.s.cells, all, otherRacks))
	for _, r := range d.s.stopping {
		for i := range r.Placement {
			if k := d.s.cells.Index(r.Placement[i].Worker); k >= 0 {
				d.likely = append(d.likely, d.s.cells.Workers[k].RackIndex())
			}
		}
	}
	slices.Sort(d.likely)
	d.likely = slices.Compact(d.likely)
	return d.likely
}

// inCell returns the cheapest room for a job in a cell, or nil.
func (d *decision) inCell(c cell.Cell, w *sched.Waiting, limit float64) *preempt.Choice {
	places := make([]preempt.Place, 0, len(c))
	avoid := d.s.empty.avoid(w)
	for _, p := range c {
		wk := &d.s.cells.Workers[p.Worker]
		if p.Count < 1 || !wk.Usable || slices.Contains(avoid, wk.Name) {
			continue
		}
		places = append(places, preempt.Place{Worker: p.Worker, Limit: p.Count / max(wk.Charge(&w.Spec), 1)})
	}
	return d.finder(w, func(r *sched.Running) bool { return r.Preemptible() }).Find(&w.Spec, places, limit)
}

// occupy uses a part of a shape for a job: at once, or when the borrowers have
// left. It does nothing and returns false if another shape would lose its cell.
func (d *decision) occupy(sh *shape, w *sched.Waiting, ch *preempt.Choice) bool {
	claim := sched.Claim{Accelerators: sh.size, Number: sh.number}
	n := 0
	for _, sl := range ch.Slots {
		n += sl.Tasks * d.s.cells.Workers[sl.Worker].Charge(&w.Spec)
	}
	if n > sh.size-sh.used {
		return false // the job needs more cores or memory than the shape's share
	}
	if len(ch.Victims) == 0 {
		return d.start(w, d.s.cells.Fill(&w.Spec, ch.Slots), &claim)
	}
	p := pending{customer: w.Spec.Customer, claim: claim}
	for _, sl := range ch.Slots {
		n := sl.Tasks * d.s.cells.Workers[sl.Worker].Charge(&w.Spec)
		p.cell = append(p.cell, cell.Part{Worker: sl.Worker, Count: n})
	}
	if !d.rebind(nil, &p) {
		return false
	}
	d.takeOff(w, ch)
	return true
}

// rebind computes the cells again with one more claim. It returns false and
// changes nothing if the shapes would miss more than now.
func (d *decision) rebind(r *sched.Running, p *pending) bool {
	if len(d.b.shapes) == 0 {
		return true
	}
	starts, waits := d.starts, d.waits
	if r != nil {
		starts = append(starts, d.s.claimedRun(r))
	}
	if p != nil {
		waits = append(waits, *p)
	}
	b := d.s.bindWith(starts, waits)
	if b.missing > d.b.missing {
		return false
	}
	d.b, d.starts, d.waits = b, starts, waits
	return true
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
