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

// extraReclaimRacks is the number of racks whose cells are compared in a
// reclaim, in addition to those that borrowers are already leaving.
const extraReclaimRacks = 8

// shape is one guaranteed shape of a customer. An unused shape has a cell that
// it could be bound to; a used one has the cell for its unused remainder.
type shape struct {
	customer *customer
	size     int
	number   int
	used     int   // charged accelerators; see cell.Worker.Charge
	workers  []int // workers that it uses
	cell     cell.Cell
	missing  int // accelerators without a cell: too few healthy workers are left
}

// bindings maps guaranteed shapes to cells. It proves that each shape can be
// reclaimed: the cells are disjoint, and only attempts that can be preempted
// run in them.
type bindings struct {
	cells      *cell.Binding
	shapes     []*shape // in the order in which they get cells
	missing    int      // sum of the missing accelerators of all shapes
	byCustomer map[*customer][]*shape
}

// pendingClaim is a job that will use a part of a shape once borrowers have
// left.
type pendingClaim struct {
	customer string
	claim    sched.Claim
	cell     cell.Cell
}

// currentBindings returns the cells of all shapes. It computes them again if
// anything that cannot be preempted has changed.
func (s *State) currentBindings() *bindings {
	if s.bindings == nil || s.bindingsVersion != s.cells.Version() {
		s.bindings, s.bindingsVersion = s.computeBindings(nil, nil), s.cells.Version()
	}
	return s.bindings
}

// Binding the largest shapes first is not always enough if workers, racks and
// shapes differ in size. bindRounds bounds the number of rounds, each with the
// shapes that got no cell in the last one moved to the front. When that no
// longer changes the order and there are at most shuffleShapes shapes, the next
// round uses a random order from a fixed seed.
const (
	bindRounds    = 40
	shuffleShapes = 64
)

// computeBindings computes the cells of all shapes. startedClaims are claims of
// attempts that this plan starts; pendingClaims wait for borrowers to leave.
func (s *State) computeBindings(startedClaims []*guaranteed, pendingClaims []pendingClaim) *bindings {
	b := s.bindingsWithoutCells()
	for _, r := range startedClaims {
		s.chargeShape(b, r)
	}
	for i := range pendingClaims {
		b.addPendingClaim(s.customers[pendingClaims[i].customer], &pendingClaims[i])
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
		if b.assignCells(pendingClaims); best < 0 || b.missing < best {
			best, order = b.missing, slices.Clone(b.shapes)
		}
		if b.missing == 0 {
			return b
		}
		if b.moveShortfallsFirst() {
			continue
		}
		if len(b.shapes) > shuffleShapes {
			break
		}
		rnd.Shuffle(len(b.shapes), func(i, j int) { b.shapes[i], b.shapes[j] = b.shapes[j], b.shapes[i] })
	}
	b.shapes = order
	b.assignCells(pendingClaims)
	return b
}

// bindingsWithoutCells returns the bindings with the part of each shape that
// running attempts use, but without cells.
func (s *State) bindingsWithoutCells() *bindings {
	if s.shapeUse == nil {
		s.shapeUse = &bindings{byCustomer: map[*customer][]*shape{}}
		for _, c := range s.customerOrder {
			for _, g := range c.guarantees {
				s.shapeUse.addGuarantee(c, g)
			}
		}
		for _, r := range s.guaranteed {
			s.chargeShape(s.shapeUse, r)
		}
	}
	all := make([]shape, len(s.shapeUse.shapes))
	b := &bindings{shapes: make([]*shape, len(all)), byCustomer: make(map[*customer][]*shape, len(s.shapeUse.byCustomer))}
	for i, sh := range s.shapeUse.shapes {
		all[i] = *sh
		all[i].workers = slices.Clip(sh.workers)
		b.shapes[i] = &all[i]
		b.byCustomer[sh.customer] = append(b.byCustomer[sh.customer], &all[i])
	}
	return b
}

// assignCells binds each shape to a cell, in the order of b.shapes.
func (b *bindings) assignCells(pendingClaims []pendingClaim) {
	b.cells.Reset()
	b.missing = 0
	for i := range pendingClaims {
		b.cells.Reserve(pendingClaims[i].cell)
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

// moveShortfallsFirst moves the shapes with missing accelerators to the front.
// It reports whether that changed the order.
func (b *bindings) moveShortfallsFirst() bool {
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

// addPendingClaim charges the part of a shape that a pending job will use.
func (b *bindings) addPendingClaim(c *customer, p *pendingClaim) {
	for _, sh := range b.byCustomer[c] {
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

func (b *bindings) addGuarantee(c *customer, g model.Guarantee) {
	first := 0
	for _, sh := range b.byCustomer[c] {
		if sh.size == g.Shape.Accelerators {
			first++
		}
	}
	for n := range g.Count {
		sh := &shape{customer: c, size: g.Shape.Accelerators, number: first + n}
		b.shapes = append(b.shapes, sh)
		b.byCustomer[c] = append(b.byCustomer[c], sh)
	}
}

// guaranteed is an attempt in a guarantee with what it uses of its shape.
type guaranteed struct {
	*sched.Running
	workers []int
	charge  int // charged accelerators; see cell.Worker.Charge
}

func (s *State) newGuaranteed(r *sched.Running) *guaranteed {
	g := &guaranteed{Running: r}
	for i := range r.Placement {
		k := s.cells.Index(r.Placement[i].Worker)
		if k < 0 {
			continue
		}
		g.charge += s.cells.Workers[k].Charge(&r.Spec)
		if !slices.Contains(g.workers, k) {
			g.workers = append(g.workers, k)
		}
	}
	return g
}

// chargeShape charges a running attempt to the shape that it claimed, or else
// to the smallest one with enough left.
func (s *State) chargeShape(b *bindings, r *guaranteed) {
	workers, charge := r.workers, r.charge
	var best *shape
	for _, sh := range b.byCustomer[s.customer(r.Customer)] {
		if r.Claim.Accelerators == sh.size && r.Claim.Number == sh.number {
			best = sh
			break
		}
		if sh.size-sh.used >= charge && (best == nil || sh.size < best.size) {
			best = sh
		}
	}
	if best == nil || len(workers) == 0 {
		return
	}
	best.used = min(best.used+charge, best.size)
	for _, k := range workers {
		if !slices.Contains(best.workers, k) {
			best.workers = append(best.workers, k)
		}
	}
}

// startGuaranteed starts the jobs that fit into guaranteed shapes of their
// customers, and preempts borrowers in their cells where needed.
func (d *decision) startGuaranteed() {
	var jobs []*sched.Waiting
	largestRemainder := map[*customer]int{}
	failed := map[customerSignature]bool{}
	for _, sh := range d.bindings.shapes {
		largestRemainder[sh.customer] = max(largestRemainder[sh.customer], sh.size-sh.used)
	}
	for _, c := range d.state.customerOrder {
		for _, w := range c.Jobs {
			if n := w.Spec.TotalAccelerators(); n > 0 && n <= largestRemainder[c] && !d.handled[w] {
				jobs = append(jobs, w)
			}
		}
	}
	slices.SortFunc(jobs, queue.Compare)
	for _, w := range jobs {
		c := d.state.customers[w.Spec.Customer]
		key := customerSignature{signatureOf(&w.Spec), c.Name}
		if c.OverQuota(w.Spec.TotalAccelerators()) || w.Spec.TotalAccelerators() > d.largestRemainder(c) || failed[key] {
			continue
		}
		if d.claimShape(c, w); !d.handled[w] && len(w.Avoid) == 0 {
			failed[key] = true
		}
	}
}

// largestRemainder returns the most accelerators that a single shape of a
// customer has left.
func (d *decision) largestRemainder(c *customer) int {
	n := 0
	for _, sh := range d.bindings.byCustomer[c] {
		n = max(n, sh.size-sh.used)
	}
	return n
}

// claimShape places a job in a shape of its customer: the one where it costs
// least, and among equal ones a used shape before an unused one, then the one
// with the least left.
func (d *decision) claimShape(c *customer, w *sched.Waiting) {
	total := w.Spec.TotalAccelerators()
	shapes := slices.Clone(d.bindings.byCustomer[c])
	slices.SortStableFunc(shapes, func(a, b *shape) int {
		if (len(a.workers) > 0) != (len(b.workers) > 0) {
			if len(a.workers) > 0 {
				return -1
			}
			return 1
		}
		return (a.size - a.used) - (b.size - b.used)
	})
	// Where another shape would lose its cell, the search is repeated without
	// the cells of other shapes, and then in each shape's own cell.
	for _, excludeBound := range []bool{false, true} {
		sh, choice := d.cheapestShape(shapes, w, excludeBound)
		if choice == nil || d.useShape(sh, w, choice) {
			return
		}
	}
	for _, sh := range shapes {
		if sh.size-sh.used < total {
			continue
		}
		if own := d.preemptInCell(sh.cell, w, math.Inf(1)); own != nil && d.useShape(sh, w, own) {
			return
		}
	}
}

// cheapestShape returns the shape in which a job costs least, and the
// preemptions that make room there.
func (d *decision) cheapestShape(shapes []*shape, w *sched.Waiting, excludeBound bool) (*shape, *preempt.Choice) {
	var best *shape
	var choice *preempt.Choice
	tried := map[int]bool{} // sizes of unused shapes
	for _, sh := range shapes {
		unused := len(sh.workers) == 0
		if sh.size-sh.used < w.Spec.TotalAccelerators() || (unused && tried[sh.size]) || (choice != nil && choice.Cost == 0) {
			continue
		}
		tried[sh.size] = tried[sh.size] || unused
		if ch := d.cheapestCell(sh, w, excludeBound); ch != nil && (choice == nil || ch.Cost < choice.Cost) {
			best, choice = sh, ch
		}
	}
	return best, choice
}

// cheapestCell returns the cheapest way to place a job in a shape. An unused
// shape may be bound to any cell: its own, that of another unused shape of the
// same size, or one that no shape needs.
func (d *decision) cheapestCell(sh *shape, w *sched.Waiting, excludeBound bool) *preempt.Choice {
	own := d.preemptInCell(sh.cell, w, math.Inf(1))
	if d.state.rules.NoCheapestReclaim || (own != nil && own.Cost == 0) {
		return own
	}
	best := own
	consider := func(c cell.Cell) {
		limit := math.Inf(1)
		if best != nil {
			limit = best.Cost
		}
		if ch := d.preemptInCell(c, w, limit); ch != nil && ch.Cost < limit {
			best = ch
		}
	}
	for _, o := range d.bindings.shapes {
		if o != sh && o.size == sh.size && len(o.workers)+len(sh.workers) == 0 && (best == nil || best.Cost > 0) {
			consider(o.cell)
		}
	}
	d.considerRacks(sh, excludeBound, consider)
	return best
}

// considerRacks calls consider with the accelerators that the shape can get in
// each of several racks: those that borrowers are already leaving, so that an
// earlier choice stays the choice, and those with the most free accelerators.
// If excludeBound, the present cells of other shapes are left out; otherwise
// those shapes may have to move.
func (d *decision) considerRacks(sh *shape, excludeBound bool, consider func(cell.Cell)) {
	// Accelerators of the shape's own cell less those of pending claims, by
	// worker.
	extra := map[int]int{}
	for _, p := range sh.cell {
		extra[p.Worker] = p.Count
	}
	for i := range d.pendingClaims {
		for _, p := range d.pendingClaims[i].cell {
			extra[p.Worker] -= p.Count
		}
	}
	z := d.state.cells
	for _, i := range d.racksForReclaim() {
		var c cell.Cell
		for k := z.Racks[i].First; k < z.Racks[i].Last; k++ {
			n := z.Workers[k].Avail() + min(extra[k], 0)
			if excludeBound {
				n = d.bindings.cells.Left(k) + max(extra[k], 0)
			}
			if n > 0 {
				c = append(c, cell.Part{Worker: k, Count: n})
			}
		}
		consider(c)
	}
}

// racksForReclaim returns the racks that are compared in a reclaim.
func (d *decision) racksForReclaim() []int {
	if d.reclaimRacks != nil {
		return d.reclaimRacks
	}
	all := make([]int, len(d.state.cells.Racks))
	for i := range all {
		all[i] = i
	}
	d.reclaimRacks = slices.Clone(racksWithMostFree(d.state.cells, all, extraReclaimRacks))
	for _, r := range d.state.stopping {
		for i := range r.Placement {
			if k := d.state.cells.Index(r.Placement[i].Worker); k >= 0 {
				d.reclaimRacks = append(d.reclaimRacks, d.state.cells.Workers[k].RackIndex())
			}
		}
	}
	slices.Sort(d.reclaimRacks)
	d.reclaimRacks = slices.Compact(d.reclaimRacks)
	return d.reclaimRacks
}

// preemptInCell returns the cheapest way to place a job in a cell, or nil if
// there is none that costs at most limit.
func (d *decision) preemptInCell(c cell.Cell, w *sched.Waiting, limit float64) *preempt.Choice {
	candidates := make([]preempt.Candidate, 0, len(c))
	avoidedWorkers := d.state.empty.avoidedWorkers(w)
	for _, p := range c {
		wk := &d.state.cells.Workers[p.Worker]
		if p.Count < 1 || !wk.Usable || slices.Contains(avoidedWorkers, wk.Name) {
			continue
		}
		candidates = append(candidates, preempt.Candidate{Worker: p.Worker, Limit: p.Count / max(wk.Charge(&w.Spec), 1)})
	}
	return d.finder(w, func(r *sched.Running) bool { return r.Preemptible() }).Find(&w.Spec, candidates, limit)
}

// useShape uses a part of a shape for a job: immediately, or once the borrowers
// have left. If the job needs more than is left of the shape, or another shape
// would lose its cell, it changes nothing and returns false.
func (d *decision) useShape(sh *shape, w *sched.Waiting, ch *preempt.Choice) bool {
	claim := sched.Claim{Accelerators: sh.size, Number: sh.number}
	n := 0
	for _, a := range ch.Assignments {
		n += a.Tasks * d.state.cells.Workers[a.Worker].Charge(&w.Spec)
	}
	if n > sh.size-sh.used {
		return false // the job needs more cores or memory than the shape's share
	}
	if len(ch.Victims) == 0 {
		return d.start(w, d.state.cells.PlaceAssignments(&w.Spec, ch.Assignments), &claim)
	}
	p := pendingClaim{customer: w.Spec.Customer, claim: claim}
	for _, a := range ch.Assignments {
		n := a.Tasks * d.state.cells.Workers[a.Worker].Charge(&w.Spec)
		p.cell = append(p.cell, cell.Part{Worker: a.Worker, Count: n})
	}
	if !d.rebind(nil, &p) {
		return false
	}
	d.preemptFor(w, ch)
	return true
}

// rebind computes the cells again with one more claim. If the shapes would then
// miss more accelerators than now, it changes nothing and returns false.
func (d *decision) rebind(r *sched.Running, p *pendingClaim) bool {
	if len(d.bindings.shapes) == 0 {
		return true
	}
	startedClaims, pendingClaims := d.startedClaims, d.pendingClaims
	if r != nil {
		startedClaims = append(startedClaims, d.state.newGuaranteed(r))
	}
	if p != nil {
		pendingClaims = append(pendingClaims, *p)
	}
	b := d.state.computeBindings(startedClaims, pendingClaims)
	if b.missing > d.bindings.missing {
		return false
	}
	d.bindings, d.startedClaims, d.pendingClaims = b, startedClaims, pendingClaims
	return true
}

// shortfalls lists the guarantees for which too few healthy workers are left.
func (b *bindings) shortfalls() []sched.Shortfall {
	var out []sched.Shortfall
	for _, sh := range b.shapes {
		if sh.missing == 0 {
			continue
		}
		i := slices.IndexFunc(out, func(s sched.Shortfall) bool {
			return s.Customer == sh.customer.Name && s.Shape.Accelerators == sh.size
		})
		if i < 0 {
			i = len(out)
			out = append(out, sched.Shortfall{Customer: sh.customer.Name, Shape: model.Shape{Accelerators: sh.size}})
		}
		out[i].Missing++
	}
	return out
}
