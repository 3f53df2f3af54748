// Package place decides where the units of waiting steps run. It is pure: a
// snapshot goes in, a plan comes out. The plan is checked against the present
// state when it is committed.
package place

import (
	"cmp"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// Snapshot is what a decision is made from. Decide changes the Free of its
// workers.
type Snapshot struct {
	NowMS   int64 // Unix ms
	Workers []*Worker
	Groups  []*Group
}

// Worker is a worker as the leader believes it to be.
type Worker struct {
	ID       string
	Rack     string
	Service  string
	Labels   []string
	Capacity batch.Resources
	// Free is the capacity less everything that runs or may still run there.
	Free batch.Resources
	// Coming is the part of the capacity in use that is being given back.
	Coming batch.Resources
	// Slow is set if the worker was seen to work slowly; it is used last.
	Slow    bool
	Running []*Running

	// Set by Decide.
	rack  *rack
	order int        // by id, so that decisions do not depend on map orders
	soon  []*Running // Running, the first to end first
	cheap []*Running // Running, the least loss first
}

// rack is the workers of one rack.
type rack struct {
	name    string
	workers []*Worker
	free    int64 // accelerators
	total   int64 // accelerators
}

// Running is a run that may be stopped in favour of a group.
type Running struct {
	Ref        batch.UnitRef
	Run        int
	Worker     string
	Gang       string // names the gang; "" for a unit of its own
	Need       batch.Resources
	Priority   int
	Guaranteed bool
	LostMS     int64 // work since the last checkpoint, ms
	LeftMS     int64 // estimated time until it ends, ms
	Stopping   bool
	For        string // job that it is stopped for; set by Decide

	// Set by Decide.
	at   *Worker
	cost int64 // see decision.cost
}

// Group is a step with units that wait.
type Group struct {
	Job        string
	Occurrence int
	StepIndex  int
	Step       *batch.Step
	Service    string
	Priority   int
	Guaranteed bool  // within its customer's guaranteed accelerators
	SinceMS    int64 // when its turn came, Unix ms
	AimMS      int64 // Unix ms by which the job should be completed
	Seq        uint64
	Waiting    []int // unit indexes
	Total      int
	Avoid      map[string]bool // workers on which a unit of it has failed
	On         map[string]int  // units of it that run, by worker
}

// Placement is a unit and its worker.
type Placement struct {
	Group  *Group
	Unit   int
	Worker string
}

// Plan is what to do. The placements of one group stand together; those of a
// gang are complete.
type Plan struct {
	Starts []Placement
	Stops  []*Running
	// Held are the groups that wait although their turn has come.
	Held []*Group
}

// Waits before a group is placed away from its data or across racks, where it
// takes several times as long and keeps its accelerators for that time. Under
// little load the short one holds: room is there, and waiting longer serves
// nobody. Under load the long one holds: at 8 s, a heavy recorded day ran 120 to
// 196 of 1,750 units away from their data and was worth 0.07 less.
const (
	busyPatienceMS = 40000
	idlePatienceMS = 1500
	// idleShare is the share of the capacity in use below which load is little.
	idleShare = 0.5
	// headroomShare of each rack's accelerators is left to gangs and urgent units
	// by steps of leastUrgent priority. Urgent gangs then stop fewer runs: over 15
	// days each, worth rose by 0.01 to 0.03 at 0.2 and 0.3, and by less at 0.1.
	headroomShare = 0.25
	leastUrgent   = 2
	// pressedShare is the share of the time to its aim after which a step takes
	// the headroom as well.
	pressedShare = 0.3
)

type decision struct {
	s        *Snapshot
	plan     Plan
	idle     bool
	racks    map[string]*rack
	gangs    map[string][]*Running
	reserved int // gangs that wait for room
	// spent are the needs of which not one more unit fits anywhere. Room only
	// shrinks within a decision, so later groups need not look again.
	spent map[needKey]bool
}

// needKey is what decides whether a unit fits on a worker at all.
type needKey struct {
	need           batch.Resources
	service, label string
}

func keyOf(g *Group) needKey { return needKey{g.Step.Need, g.Service, g.Step.RequiredLabel} }

// Decide returns the plan for a snapshot.
func Decide(s *Snapshot) Plan {
	d := &decision{s: s, racks: map[string]*rack{}, gangs: map[string][]*Running{}, spent: map[needKey]bool{}}
	d.prepare()
	slices.SortStableFunc(s.Groups, s.order)
	for _, g := range s.Groups {
		d.place(g)
	}
	return d.plan
}

func (d *decision) prepare() {
	var all, free batch.Resources
	slices.SortFunc(d.s.Workers, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	for i, w := range d.s.Workers {
		w.order = i
		w.rack = d.racks[w.Rack]
		if w.rack == nil {
			w.rack = &rack{name: w.Rack}
			d.racks[w.Rack] = w.rack
		}
		w.rack.workers = append(w.rack.workers, w)
		w.rack.free += max(w.Free.Accelerators, 0)
		w.rack.total += w.Capacity.Accelerators
		all = all.Add(w.Capacity)
		free = free.Add(w.Free)
		for _, r := range w.Running {
			r.at = w
			if r.Gang != "" {
				d.gangs[r.Gang] = append(d.gangs[r.Gang], r)
			}
		}
	}
	used := func(f, a int64) float64 { return 1 - float64(f)/float64(max(a, 1)) }
	d.idle = max(used(free.Accelerators, all.Accelerators), used(free.CPU, all.CPU), used(free.MemoryMB, all.MemoryMB)) < idleShare
	for _, w := range d.s.Workers {
		for _, r := range w.Running {
			r.cost = d.cost(r)
		}
	}
}

// order puts guaranteed groups first, then by priority; within a priority those
// that can still be on time come first, the oldest of them first.
func (s *Snapshot) order(a, b *Group) int {
	return cmp.Or(
		cmp.Compare(rank(a), rank(b)),
		cmp.Compare(lateRank(a, s.NowMS), lateRank(b, s.NowMS)),
		cmp.Compare(a.Seq, b.Seq),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.StepIndex, b.StepIndex),
	)
}

func rank(g *Group) int {
	if g.Guaranteed {
		return -1
	}
	return g.Priority
}

func lateRank(g *Group, nowMS int64) int {
	// A guarantee has a bound of its own, whatever the job's estimate says.
	if !g.Guaranteed && g.AimMS > 0 && nowMS > g.AimMS {
		return 1
	}
	return 0
}

// place starts what fits, and makes room for urgent groups.
func (d *decision) place(g *Group) {
	key := keyOf(g)
	if d.spent[key] && g.Priority > 0 && !g.Step.Gang {
		d.plan.Held = append(d.plan.Held, g)
		return
	}
	workers := d.candidates(g)
	if g.Step.Gang {
		d.placeGang(g, workers)
		return
	}
	left := d.placeUnits(g, workers)
	if len(left) == 0 {
		return
	}
	d.plan.Held = append(d.plan.Held, g)
	d.spent[key] = !slices.ContainsFunc(d.s.Workers, func(w *Worker) bool { return w.Free.Fits(g.Step.Need) })
	if g.Priority == 0 {
		d.makeRoom(g, workers, len(left))
	}
}

// candidates returns the workers that may run a group.
func (d *decision) candidates(g *Group) []*Worker {
	var out []*Worker
	for _, w := range d.s.Workers {
		if w.Service != g.Service || g.Avoid[w.ID] {
			continue
		}
		if l := g.Step.RequiredLabel; l != "" && !slices.Contains(w.Labels, l) {
			continue
		}
		out = append(out, w)
	}
	if len(out) == 0 && len(g.Avoid) > 0 {
		avoid := g.Avoid
		g.Avoid = nil
		out = d.candidates(g)
		g.Avoid = avoid
	}
	return out
}

// room returns how many units of a group fit into a worker's resources.
func room(g *Group, w *Worker, free batch.Resources) int {
	limit := g.Total
	if m := g.Step.MaxPerWorker; m > 0 {
		limit = m - g.On[w.ID]
	}
	return free.Times(g.Step.Need, max(limit, 0))
}

// patient reports whether a group still waits for a better place.
func (d *decision) patient(g *Group) bool {
	limit := int64(busyPatienceMS)
	if d.idle || g.Priority == 0 {
		limit = idlePatienceMS
	}
	return d.s.NowMS-g.SinceMS < limit
}

// byFit sorts workers so that slow ones come last and full ones first, on full
// racks first: small units fill split workers and leave whole workers and racks
// to gangs.
func byFit(workers []*Worker) {
	slices.SortFunc(workers, func(a, b *Worker) int {
		if a.Slow != b.Slow {
			return btoi(a.Slow) - btoi(b.Slow)
		}
		if a.rack != b.rack {
			if c := cmp.Compare(a.rack.free, b.rack.free); c != 0 {
				return c
			}
			return cmp.Compare(a.rack.name, b.rack.name)
		}
		if c := cmp.Compare(a.Free.Accelerators, b.Free.Accelerators); c != 0 {
			return c
		}
		if c := cmp.Compare(a.Free.CPU, b.Free.CPU); c != 0 {
			return c
		}
		return a.order - b.order
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// placeUnits places units of their own one by one and returns those left.
func (d *decision) placeUnits(g *Group, workers []*Worker) []int {
	left := g.Waiting
	near := workers
	if r := g.Step.DataRack; r != "" {
		near = onRack(workers, r)
	}
	left = d.fill(g, near, left)
	// A rack without a worker may have been lost; nobody knows when it is back.
	if len(left) > 0 && len(near) < len(workers) && (len(near) == 0 || !d.patient(g)) {
		left = d.fill(g, workers, left)
	}
	return left
}

func onRack(workers []*Worker, name string) []*Worker {
	var out []*Worker
	for _, w := range workers {
		if w.Rack == name {
			out = append(out, w)
		}
	}
	return out
}

// headroom is the number of accelerators that the least urgent units leave.
func (r *rack) headroom() int64 { return int64(headroomShare * float64(r.total)) }

// leavesHeadroom reports whether units of a group leave the headroom of a rack
// alone. Units that fit beside no headroom, or whose data is in the rack, do
// not, nor does a group that has used a part of its time that leaves it little
// for waiting.
func (d *decision) leavesHeadroom(g *Group, r *rack) bool {
	need := g.Step.Need.Accelerators
	if g.Priority < leastUrgent || g.Step.Gang || need == 0 || g.Step.DataRack == r.name || r.total-r.headroom() < need {
		return false
	}
	return float64(d.s.NowMS-g.SinceMS) <= pressedShare*float64(g.AimMS-g.SinceMS)
}

// fill starts units on workers while they fit. Units of the least urgent steps
// leave some accelerators of each rack to urgent gangs.
func (d *decision) fill(g *Group, workers []*Worker, left []int) []int {
	byFit(workers)
	for _, w := range workers {
		n := min(room(g, w, w.Free), len(left))
		if n > 0 && d.leavesHeadroom(g, w.rack) {
			n = min(n, int(max(w.rack.free-w.rack.headroom(), 0)/g.Step.Need.Accelerators))
		}
		for _, i := range left[:n] {
			d.startAt(g, i, w)
		}
		left = left[n:]
	}
	return left
}

func (d *decision) startAt(g *Group, unit int, w *Worker) {
	d.reserve(g, w, 1)
	d.plan.Starts = append(d.plan.Starts, Placement{Group: g, Unit: unit, Worker: w.ID})
}

// reserve takes room for n units.
func (d *decision) reserve(g *Group, w *Worker, n int) {
	before := max(w.Free.Accelerators, 0)
	for range n {
		w.Free = w.Free.Sub(g.Step.Need)
	}
	w.rack.free -= before - max(w.Free.Accelerators, 0)
	if g.On == nil {
		g.On = map[string]int{}
	}
	g.On[w.ID] += n
}

// placeGang places all units or none.
func (d *decision) placeGang(g *Group, workers []*Worker) {
	if len(g.Waiting) < g.Total {
		return // units of the last run have not ended yet
	}
	sets := d.gangSets(g, workers)
	for _, set := range sets {
		if d.fits(g, set, func(w *Worker) batch.Resources { return w.Free }) {
			d.fill(g, set, g.Waiting)
			return
		}
	}
	d.plan.Held = append(d.plan.Held, g)
	if g.Priority == 0 {
		d.makeRoomGang(g, sets)
		return
	}
	d.awaitRoom(g, sets)
}

// gangSets returns the sets of workers on which a gang may run, best first.
func (d *decision) gangSets(g *Group, workers []*Worker) [][]*Worker {
	if !g.Step.SameRack && g.Step.DataRack == "" {
		return [][]*Worker{workers}
	}
	var racks []*rack
	on := map[*rack][]*Worker{}
	for _, w := range workers {
		if on[w.rack] == nil {
			racks = append(racks, w.rack)
		}
		on[w.rack] = append(on[w.rack], w)
	}
	// The data's rack first, then the rack with the least room to spare.
	slices.SortFunc(racks, func(a, b *rack) int {
		return cmp.Or(
			cmp.Compare(btoi(a.name != g.Step.DataRack), btoi(b.name != g.Step.DataRack)),
			cmp.Compare(a.free, b.free),
			cmp.Compare(a.name, b.name),
		)
	})
	var sets [][]*Worker
	whole := func(w *Worker) batch.Resources { return w.Capacity }
	patient := d.patient(g)
	for _, r := range racks {
		if d.fits(g, on[r], whole) && (r.name == g.Step.DataRack || g.Step.DataRack == "" || !patient) {
			sets = append(sets, on[r])
		}
	}
	if len(sets) == 0 || !patient {
		sets = append(sets, workers)
	}
	return sets
}

// fits reports whether all units of a gang fit into a set of workers.
func (d *decision) fits(g *Group, set []*Worker, free func(*Worker) batch.Resources) bool {
	n := 0
	for _, w := range set {
		n += room(g, w, free(w))
	}
	return n >= g.Total
}
