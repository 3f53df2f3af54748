// Package place decides where the units of the waiting steps of a region's jobs
// run (see package batch). It is pure: Decide takes a snapshot and returns a plan.
// The plan is checked against the current state when it is committed.
package place

import (
	"cmp"
	"math"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/mechanism"
)

// Snapshot is the input of a decision. Decide changes the Free of its workers.
type Snapshot struct {
	NowMS   int64 // Unix ms
	Workers []*Worker
	// Leaving are workers that have told when they leave. Nothing is placed on them.
	Leaving []*Worker
	// Cordoned are the workers in cordoned availability zones. Nothing is placed, claimed or
	// reserved on them, and no run is stopped there to make room. Their runs are members of
	// gangs like all others.
	Cordoned []*Worker
	// Isolated are the workers that run suspected units, see suspect.go. They are treated like
	// Cordoned.
	Isolated []*Worker
	// Silent are the workers of availability zones that may be cut off. They are treated like
	// Isolated.
	Silent     []*Worker
	Groups     []*Group
	Preemption Preemption
	Off        mechanism.Set // mechanisms that are switched off
	// Use is the use of each customer, see package share. If it is nil, customers do not
	// matter for the order of groups.
	Use map[string]float64
	// SpeedSpread is the standard deviation of the log speeds between workers; 0 if workers
	// are alike. Below minSpread, speeds have no effect.
	SpeedSpread float64
	// UrgentSpeed is the speed that jobs of the most urgent queues need if they start at
	// once; 0 if it is not known. Headroom is kept on workers of that speed.
	UrgentSpeed float64
}

// Worker is a worker as last known to the leader.
type Worker struct {
	ID       string
	Rack     string
	Service  string
	Labels   []string
	Capacity batch.Resources
	// Free is the capacity less everything that runs or may still run there.
	Free batch.Resources
	// Releasing is the part of the capacity in use that stops in progress will
	// free.
	Releasing batch.Resources
	// Suspect is set if a run failed or stalled on the worker lately, if it has missed an
	// announcement, or if it is still cold; it is used last.
	Suspect bool
	Running []*Running
	// LeavesInMS is the least time until a worker of Snapshot.Leaving leaves, ms.
	LeavesInMS int64
	// Speed is the natural logarithm of the speed against the typical worker; 0 if it is not
	// known.
	Speed float64
	// SpeedSD is the standard deviation of Speed; 0 if speeds are not measured.
	SpeedSD float64

	// Set by Decide.
	rack         *rack
	order        int             // position by id, so that decisions do not depend on map order
	cachedByEnd  []*Running      // Running, ordered by remainingMS
	cachedByCost []*Running      // Running, ordered as by runsByCost
	awaitedMS    int64           // groups wait for the ends of its runs until this time from now
	promised     int             // units that the plan starts there or holds room for
	held         batch.Resources // room that is held for groups that wait for runs to end; not in Free
	lent         batch.Resources // held before, and free while a group is placed that may use it

	// Set by prepareSpeeds.
	fast      bool    // keeps headroom for urgent groups
	unknown   bool    // the speed is not known
	cautious  float64 // log speed less its standard deviation
	class     int     // class of cautious
	speedRank int     // rank for the group that is being placed
	started   int     // units that the plan starts there
}

// rack is the workers of one rack.
type rack struct {
	name    string
	workers []*Worker
	free    int64 // accelerators
	total   int64 // accelerators
	// The same of the workers that keep headroom. They are all workers unless speeds differ.
	fastFree  int64
	fastTotal int64
}

// NoEnd is the remaining time of a run that lasts until its job is cancelled.
const NoEnd = math.MaxInt64

// Running is a run that may be stopped in favour of a group.
type Running struct {
	Ref        batch.UnitRef
	Run        int
	Worker     string
	Customer   string
	Gang       string // id of the gang; "" for a unit outside a gang
	Need       batch.Resources
	Priority   int
	Guaranteed bool
	AgeMS      int64 // time since its start was decided, ms
	LostMS     int64 // work since the last checkpoint, ms
	LeftMS     int64 // estimated time until it ends, ms, or NoEnd
	// EstimateMS is the caller's estimate of the duration, and ElapsedMS the time that the
	// run has taken so far, if LeftMS follows from them; 0 if it follows from progress.
	EstimateMS int64
	ElapsedMS  int64
	// Checkpoints is set if the run saves its work when it is stopped.
	Checkpoints bool
	Stopping    bool
	For         string // job that it is stopped for; set by Decide

	// Set by Decide.
	onWorker *Worker
	cost     int64 // see decision.cost
	borrowed int64 // see decision.setBorrowed
}

// Group is a step of one occurrence of a job (a batch.UnitGroup) that has waiting
// units.
type Group struct {
	Job          string
	Customer     string
	Occurrence   int
	StepIndex    int
	Step         *batch.Step
	Service      string
	Priority     int
	Guaranteed   bool  // within its customer's guaranteed accelerators
	SinceMS      int64 // when the step became due, Unix ms
	HasDueTime   bool  // its occurrence has a due time
	CompleteByMS int64 // Unix ms by which the job should be completed
	LengthMS     int64 // estimated duration of the longest chain of steps that begins with this one, ms
	Seq          uint64
	Waiting      []int // unit indexes
	Total        int
	Avoid        map[string]int64 // workers on which a unit of it has failed, and when, Unix ms; see avoid.go
	UnitsOn      map[string]int   // number of its units that run or are reserved, by worker
	// Suspects are the waiting units that may have crashed their workers, with their
	// suspicion, see batch.CrashRecord.
	Suspects map[int]int
	Tested   bool // a suspected unit of its job runs on an isolated worker
	// Claims is the space that waits for its units: in a snapshot that of the last plan,
	// after Decide that of this one.
	Claims []Claim
	// Waits is set by Decide if no runs are stopped for a group that could have them
	// stopped.
	Waits WaitReason

	// Set by orderByShare.
	share    float64 // use of its customer with the groups before it
	promoted bool    // it has waited long

	pace pace // set by Decide
}

// Placement is a unit and its worker.
type Placement struct {
	Group  *Group
	Unit   int
	Worker string
	Speed  float64 // speed of the worker if the choice depended on it; otherwise 0
	// Lent is set if the unit uses room that is held for others, see hold.go.
	Lent bool
	// Returns is set if a unit of the group has failed on the worker lately.
	Returns bool
}

// Plan is the result of a decision. The placements of one group are
// consecutive; those of a gang are complete.
type Plan struct {
	Starts []Placement
	Stops  []*Running // to make room
	// Evacuated are the runs to stop because their worker, or that of another unit of
	// their gang, leaves.
	Evacuated []*Running
	// Unplaced are the groups that wait because units of them cannot be placed.
	Unplaced []*Group
}

// Locality waits: how long a group waits before it is placed away from its data
// or across racks, where it takes several times as long and keeps its
// accelerators for that time. Under low load the short wait applies, as
// capacity is free and waiting longer helps nobody; it also applies to urgent
// groups and to units that last. Under load the long wait applies to all others: at 8 s, a heavy
// recorded day ran 120 to 196 of 1,750 units away from their data and was worth
// 0.07 less.
const (
	busyLocalityWaitMS = 40000
	idleLocalityWaitMS = 1500
	// idleShare is the share of a service's capacity in use below which its load is
	// low.
	idleShare = 0.5
	// headroomShare of each rack's accelerators is left to gangs and urgent
	// units by steps of leastUrgent priority. Urgent gangs then stop fewer
	// runs: over 15 days each, worth rose by 0.01 to 0.03 at 0.2 and 0.3, and
	// by less at 0.1.
	headroomShare = 0.25
	leastUrgent   = 2
	// headroomWaitShare is the share of the time from a group's SinceMS to its
	// CompleteByMS after which the group uses the headroom as well.
	headroomWaitShare = 0.3
)

type decision struct {
	snapshot   *Snapshot
	speeds     bool // workers differ in speed
	plan       Plan
	idle       map[string]bool // services whose usable workers are under low load
	mostlyFree map[string]bool // services under low load, with the workers that are not usable for now
	heldOn     []*Worker       // with room that is held
	lentOn     []*Worker       // with room that is lent
	racks      map[string]*rack
	gangs      map[string][]*Running
	// Reservations so far, each at most maxGangReservations.
	gangReservations   int // of gangs that are not urgent
	urgentReservations int // of urgent groups; those of awaitGang and awaitUnits do not count
	// exhausted holds the needs of which not one more unit fits on any worker.
	// Free capacity only shrinks within a decision, so later groups need not
	// search again.
	exhausted map[needKey]bool
	byID      map[string]*Worker // set if a group has claims
	tested    map[string]bool    // jobs of which the plan starts suspected units
	fitting   []*Worker          // reused by startUnits
	// candidateSets are shared by the groups of a service and label.
	candidateSets map[candidateKey]*candidateSet
}

// needKey identifies the conditions under which a unit fits on a worker.
type needKey struct {
	need           batch.Resources
	service, label string
}

func keyOf(g *Group) needKey { return needKey{g.Step.Need, g.Service, g.Step.RequiredLabel} }

// Decide returns the plan for a snapshot.
func Decide(s *Snapshot) Plan {
	d := &decision{snapshot: s, racks: map[string]*rack{}, gangs: map[string][]*Running{}, exhausted: map[needKey]bool{}, candidateSets: map[candidateKey]*candidateSet{}, tested: map[string]bool{}}
	d.prepare()
	d.evacuate()
	slices.SortStableFunc(s.Groups, s.compareGroups)
	if s.Use != nil {
		d.orderByShare()
		d.setBorrowed()
	}
	d.holdClaims()
	for _, g := range s.Groups {
		d.placeGroup(g)
	}
	return d.plan
}

func (d *decision) prepare() {
	d.fitting = make([]*Worker, 0, len(d.snapshot.Workers))
	slices.SortFunc(d.snapshot.Workers, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	for i, w := range d.snapshot.Workers {
		w.order = i
		w.rack = d.racks[w.Rack]
		if w.rack == nil {
			w.rack = &rack{name: w.Rack}
			d.racks[w.Rack] = w.rack
		}
		w.rack.workers = append(w.rack.workers, w)
		w.rack.free += max(w.Free.Accelerators, 0)
		w.rack.total += w.Capacity.Accelerators
		d.indexRuns(w)
	}
	for _, w := range d.snapshot.Leaving {
		d.indexRuns(w)
	}
	for _, w := range d.snapshot.Cordoned {
		d.indexRuns(w)
	}
	for _, w := range d.snapshot.Isolated {
		d.indexRuns(w)
	}
	for _, w := range d.snapshot.Silent {
		d.indexRuns(w)
	}
	d.prepareSpeeds()
	s := d.snapshot
	d.idle = lightlyUsed(s.Workers)
	d.mostlyFree = lightlyUsed(s.Workers, s.Silent, s.Cordoned, s.Isolated)
	for _, w := range d.snapshot.Workers {
		for _, r := range w.Running {
			r.cost = d.cost(r)
		}
	}
}

// indexRuns adds the runs of a worker to their gangs.
func (d *decision) indexRuns(w *Worker) {
	for _, r := range w.Running {
		r.onWorker = w
		if r.Gang != "" {
			d.gangs[r.Gang] = append(d.gangs[r.Gang], r)
		}
	}
}

// compareGroups orders guaranteed groups first, then by priority; within a
// priority the groups that can still be on time come first, the oldest of them
// first.
func (s *Snapshot) compareGroups(a, b *Group) int {
	return cmp.Or(
		cmp.Compare(priorityRank(a), priorityRank(b)),
		cmp.Compare(s.latenessRank(a), s.latenessRank(b)),
		cmp.Compare(a.Seq, b.Seq),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.StepIndex, b.StepIndex),
	)
}

func priorityRank(g *Group) int {
	if g.Guaranteed {
		return -1
	}
	return g.Priority
}

func (s *Snapshot) latenessRank(g *Group) int {
	// A guarantee has its own bound on the start, whatever the job's estimate
	// says.
	if !g.Guaranteed && g.CompleteByMS > 0 && s.NowMS > g.CompleteByMS && !s.Off[mechanism.LatenessOrder] {
		return 1
	}
	return 0
}

// placeGroup starts the units that fit, and stops other runs for urgent groups.
func (d *decision) placeGroup(g *Group) {
	key := keyOf(g)
	d.releaseClaims(g, g.Claims)
	lends := len(d.heldOn) > 0 && d.mayUseHeld(g)
	if d.exhausted[key] && g.Priority > 0 && !g.Step.Gang && !lends {
		d.plan.Unplaced = append(d.plan.Unplaced, g)
		return
	}
	if lends {
		d.lendHeld()
		defer d.returnHeld()
	}
	candidates := d.candidates(g)
	g.pace = d.paceOf(g, candidates)
	d.limitToClaims(g)
	if g.Step.Gang {
		d.placeGang(g, candidates)
		return
	}
	others, suspects := d.placeSuspects(g, candidates)
	left := d.placeUnits(g, candidates, others)
	if len(left) == 0 && len(suspects) == 0 {
		g.Claims = nil
		return
	}
	// Most units that are suspected once are harmless; for others no work is stopped.
	if !d.isTested(g) && g.strongestSuspicion(suspects) == 1 {
		left = append(left, suspects...)
	}
	d.plan.Unplaced = append(d.plan.Unplaced, g)
	d.exhausted[key] = !slices.ContainsFunc(d.snapshot.Workers, func(w *Worker) bool { return w.Free.Fits(g.Step.Need) })
	if g.Priority == 0 && len(left) > 0 {
		d.evictForUnits(g, candidates.workers, len(left))
	} else {
		g.Claims = nil
	}
}

// candidateSet holds the workers that may run groups of one service and label, in total
// and by rack. The order of the workers changes with use.
type candidateSet struct {
	workers []*Worker
	racks   []*rack // in the order in which their first worker stands in workers
	byRack  map[*rack][]*Worker
	// Lowest and highest cautious log speed.
	slowest, fastest float64
}

func newCandidateSet(workers []*Worker) *candidateSet {
	c := &candidateSet{workers: workers, byRack: map[*rack][]*Worker{}, slowest: math.Inf(1), fastest: math.Inf(-1)}
	for _, w := range workers {
		c.slowest, c.fastest = min(c.slowest, w.cautious), max(c.fastest, w.cautious)
		if c.byRack[w.rack] == nil {
			c.racks = append(c.racks, w.rack)
		}
		c.byRack[w.rack] = append(c.byRack[w.rack], w)
	}
	return c
}

// candidateKey identifies a shared candidateSet.
type candidateKey struct{ service, label string }

// candidates returns the workers that may run a group. Groups without workers that they must not use
// share their sets.
func (d *decision) candidates(g *Group) *candidateSet {
	if d.avoidsAny(g) {
		return newCandidateSet(d.eligible(g))
	}
	key := candidateKey{g.Service, g.Step.RequiredLabel}
	c := d.candidateSets[key]
	if c == nil {
		c = newCandidateSet(d.eligible(g))
		d.candidateSets[key] = c
	}
	return c
}

// eligible returns the workers that may run a group. If it has failed on all of them, it
// may run on any of them again at once.
func (d *decision) eligible(g *Group) []*Worker {
	var out []*Worker
	for _, w := range d.snapshot.Workers {
		if w.Service != g.Service || d.avoids(g, w.ID) {
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
		out = d.eligible(g)
		g.Avoid = avoid
	}
	return out
}

// unitsThatFit returns how many units of a group fit into the given free
// resources of a worker.
func unitsThatFit(g *Group, w *Worker, free batch.Resources) int {
	limit := g.Total
	if m := g.Step.MaxPerWorker; m > 0 {
		limit = m - g.UnitsOn[w.ID]
	}
	return free.CountFitting(g.Step.Need, max(limit, 0))
}

// waitsForLocality reports whether a group still waits for a place near its
// data or on a single rack.
func (d *decision) waitsForLocality(g *Group) bool {
	if d.snapshot.Off[mechanism.Locality] {
		return false
	}
	limit := int64(busyLocalityWaitMS)
	if d.idle[g.Service] || g.Priority == 0 || g.Step.LongRunning {
		limit = idleLocalityWaitMS
	}
	return d.snapshot.NowMS-g.SinceMS < limit
}

// sortByFit sorts workers so that suspect ones come last, before them those on which the group has
// failed, then by speed for a group (see rankBySpeed), and otherwise full workers on full racks come first: small units
// fill partly used workers and leave whole workers and racks to gangs.
func sortByFit(g *Group, workers []*Worker) {
	rankBySpeed(g, workers)
	slices.SortFunc(workers, func(a, b *Worker) int {
		if a.Suspect != b.Suspect {
			return btoi(a.Suspect) - btoi(b.Suspect)
		}
		if len(g.Avoid) > 0 && g.failedOn(a) != g.failedOn(b) {
			return btoi(g.failedOn(a)) - btoi(g.failedOn(b))
		}
		if a.speedRank != b.speedRank {
			return a.speedRank - b.speedRank
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

// placeUnits places the units of a step that is not a gang one by one, and
// returns those that could not be placed.
func (d *decision) placeUnits(g *Group, candidates *candidateSet, left []int) []int {
	workers, local := candidates.workers, candidates.workers
	if r := g.Step.DataRack; r != "" {
		local = candidates.byRack[d.racks[r]]
	}
	left = d.startUnits(g, local, left)
	// If the data's rack has no worker left, do not wait: the rack may be lost
	// for an unknown time.
	if len(left) > 0 && len(local) < len(workers) && (len(local) == 0 || !d.waitsForLocality(g)) {
		left = d.startUnits(g, workers, left)
	}
	return left
}

// headroom returns the number of accelerators of the rack that are kept free of
// the least urgent units, on workers that are fast enough for urgent gangs.
func (r *rack) headroom() int64 { return min(int64(headroomShare*float64(r.total)), r.fastTotal) }

// leavesHeadroom reports whether units of a group must not use the headroom of
// a rack. This does not apply to units that would not fit into the rack beside
// the headroom, to units whose data is in the rack, or to a group that has used
// up so much of its time that it can hardly wait any longer, or has waited long under
// low load.
func (d *decision) leavesHeadroom(g *Group, r *rack) bool {
	need := g.Step.Need.Accelerators
	if d.snapshot.Off[mechanism.Headroom] || g.Priority < leastUrgent || g.Step.Gang || need == 0 || g.Step.DataRack == r.name || r.total-r.headroom() < need || d.mayUseHeld(g) {
		return false
	}
	return float64(d.snapshot.NowMS-g.SinceMS) <= headroomWaitShare*float64(g.CompleteByMS-g.SinceMS)
}

// startUnits starts units on workers while they fit, and returns the rest.
// Units of the least urgent steps leave some accelerators of each rack to
// urgent gangs.
func (d *decision) startUnits(g *Group, workers []*Worker, left []int) []int {
	left = d.startOnUnknown(g, workers, left)
	d.fitting = d.fitting[:0]
	for _, w := range workers {
		if w.Free.Fits(g.Step.Need) {
			d.fitting = append(d.fitting, w)
		}
	}
	sortByFit(g, d.fitting)
	for _, w := range d.fitting {
		left = d.startOn(g, w, left, len(left))
	}
	return left
}

// startOn starts at most limit units on a worker while they fit, and returns the rest.
func (d *decision) startOn(g *Group, w *Worker, left []int, limit int) []int {
	n := min(unitsThatFit(g, w, w.Free), len(left), limit)
	if n > 0 && w.fast && d.leavesHeadroom(g, w.rack) {
		n = min(n, int(max(w.rack.fastFree-w.rack.headroom(), 0)/g.Step.Need.Accelerators))
	}
	for _, i := range left[:n] {
		d.startUnit(g, i, w)
	}
	return left[n:]
}

func (d *decision) startUnit(g *Group, unit int, w *Worker) {
	d.reserve(g, w, 1)
	w.started++
	p := Placement{Group: g, Unit: unit, Worker: w.ID, Lent: w.usesLent(), Returns: g.failedOn(w)}
	if g.pace.decisive {
		p.Speed = math.Exp(w.Speed)
	}
	d.plan.Starts = append(d.plan.Starts, p)
}

// reserve takes the resources of n units on a worker.
func (d *decision) reserve(g *Group, w *Worker, n int) {
	w.promised += n
	for range n {
		w.addFree(batch.Resources{}.Sub(g.Step.Need))
	}
	if g.UnitsOn == nil {
		g.UnitsOn = map[string]int{}
	}
	g.UnitsOn[w.ID] += n
}

// addFree records that the free accelerators of one of the rack's workers have changed.
func (r *rack) addFree(w *Worker, n int64) {
	r.free += n
	if w.fast {
		r.fastFree += n
	}
}
