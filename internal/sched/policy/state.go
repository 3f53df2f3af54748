// Package policy decides which waiting jobs start and where, which borrowers
// are preempted, and which jobs are rejected. A borrower is an attempt that
// runs outside its customer's guarantee. See docs/decisions/0004-guarantees.md
// and docs/decisions/0005-order.md for the rules and their reasons.
package policy

import (
	"slices"
	"strings"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/cell"
	"teaselpaddle.example/teaselpaddle/internal/sched/preempt"
	"teaselpaddle.example/teaselpaddle/internal/sched/queue"
)

// defaultCheckpointBound applies if no policy states a bound.
const defaultCheckpointBound = 5 * time.Second

// Decide makes one decision from a whole snapshot.
func Decide(s *sched.Snapshot) sched.Plan { return FromSnapshot(s).Decide(s.Now) }

// State keeps the input of a decision from one decision to the next. Its Decide
// returns the same plan as the function Decide for a snapshot of the same jobs
// and workers. It is not safe for concurrent use.
type State struct {
	zone         string
	cfg          *model.Configuration
	rules        sched.Rules
	noRejections bool // no job is rejected; see emptyZone.decideAlone
	estimates    map[string]sched.Correction

	workers []sched.Worker
	cells   *cell.Zone
	empty   *emptyZone

	runs       map[model.JobID]*sched.Running
	heldOn     [][]preempt.Held // by worker index, in the order in which the attempts were added
	guaranteed []*guaranteed    // attempts in a guarantee, ordered by compareRuns
	overMemory map[model.JobID]*sched.Running
	stopping   map[model.JobID]*sched.Running

	// unplaceable holds the signatures of jobs that found no place on free
	// resources. No resources that would hold them have been freed since.
	unplaceable map[signature]bool

	waiting       map[model.JobID]*sched.Waiting
	unchecked     []*sched.Waiting // not yet checked by reject, or rejected by it
	withDeadline  map[*sched.Waiting]bool
	customers     map[string]*customer
	customerOrder []*customer // by name

	policy          model.Policy // of the service with the highest fragmentation weight, see setConfig
	shapeUse        *bindings    // shapes and the part of them in use, without cells
	bindings        *bindings
	bindingsVersion uint64 // version of cells for which bindings was computed
}

// customer is one customer with its queue.
type customer struct {
	queue.Customer
	guarantees []model.Guarantee
	service    *model.Service
}

// NewState returns the state of a zone in which nothing runs or waits.
func NewState(zone string, cfg *model.Configuration, workers []sched.Worker, rules sched.Rules) *State {
	s := &State{
		zone: zone, rules: rules,
		runs: map[model.JobID]*sched.Running{}, waiting: map[model.JobID]*sched.Waiting{},
		overMemory: map[model.JobID]*sched.Running{}, stopping: map[model.JobID]*sched.Running{}, withDeadline: map[*sched.Waiting]bool{}, customers: map[string]*customer{},
	}
	s.workers = slices.Clone(workers)
	s.setConfig(cfg)
	s.rebuild()
	return s
}

// FromSnapshot builds the state from a snapshot.
func FromSnapshot(snap *sched.Snapshot) *State {
	s := NewState(snap.Zone, snap.Config, snap.Workers, snap.Rules)
	s.estimates = snap.Estimates
	for i := range snap.Running {
		s.AddRunning(&snap.Running[i])
	}
	for i := range snap.Waiting {
		s.appendWaiting(&snap.Waiting[i])
	}
	for _, c := range s.customerOrder {
		slices.SortFunc(c.Jobs, queue.Compare)
	}
	return s
}

// SetConfig replaces the configuration.
func (s *State) SetConfig(cfg *model.Configuration) {
	s.setConfig(cfg)
	s.recheckWaiting()
	s.invalidateBindings()
}

func (s *State) setConfig(cfg *model.Configuration) {
	s.cfg = cfg
	for _, c := range s.customerOrder {
		c.Weight, c.Quota, c.guarantees, c.service = 1, 0, nil, nil
	}
	s.policy = model.Policy{}
	if cfg == nil {
		return
	}
	for i := range cfg.Services {
		svc := &cfg.Services[i]
		// Services share the workers, so the highest fragmentation weight of
		// any service decides how cells are kept together.
		if i == 0 || svc.Policy.FragmentationWeight > s.policy.FragmentationWeight {
			s.policy = svc.Policy
		}
		for k := range svc.Customers {
			s.configure(svc, &svc.Customers[k])
		}
	}
}

func (s *State) configure(svc *model.Service, mc *model.Customer) {
	c := s.customer(mc.Name)
	c.Weight, c.Quota, c.service = max(mc.Weight, 1), mc.Quota, svc
	for _, g := range mc.Guarantees {
		if g.AvailabilityZone == s.zone && g.Shape.Accelerators > 0 && g.Count > 0 {
			c.guarantees = append(c.guarantees, g)
		}
	}
}

// checkpointBound returns the time that the tasks of a customer have to
// checkpoint.
func (s *State) checkpointBound(name string) time.Duration {
	c := s.customers[name]
	if c == nil || c.service == nil || c.service.Policy.CheckpointBoundSeconds <= 0 {
		return defaultCheckpointBound
	}
	return time.Duration(c.service.Policy.CheckpointBoundSeconds * float64(time.Second))
}

// customer returns the record of a customer and creates it if it is new. Jobs
// of a customer that the configuration no longer names keep running.
func (s *State) customer(name string) *customer {
	if c := s.customers[name]; c != nil {
		return c
	}
	c := &customer{Customer: queue.Customer{Name: name, Weight: 1}}
	s.customers[name] = c
	i, _ := slices.BinarySearchFunc(s.customerOrder, name, func(a *customer, n string) int { return strings.Compare(a.Name, n) })
	s.customerOrder = slices.Insert(s.customerOrder, i, c)
	return c
}

// SetWorkers replaces the list of workers.
func (s *State) SetWorkers(workers []sched.Worker) {
	s.workers = slices.Clone(workers)
	s.rebuild()
}

// SetUsable changes whether a worker takes new work.
func (s *State) SetUsable(name string, usable bool) {
	for i := range s.workers {
		if s.workers[i].Name == name {
			s.workers[i].Usable = usable
		}
	}
	s.cells.SetUsable(name, usable)
}

// rebuild computes the cells again from the workers and the running attempts.
func (s *State) rebuild() {
	s.cells = cell.NewZone(s.workers)
	s.unplaceable = map[signature]bool{}
	s.recheckWaiting()
	s.invalidateBindings()
	s.heldOn = make([][]preempt.Held, len(s.workers))
	for _, r := range s.runs {
		s.allocate(r)
	}
	for i, g := range s.guaranteed {
		s.guaranteed[i] = s.newGuaranteed(g.Running)
	}
}

// AddWaiting puts a job into its customer's queue.
func (s *State) AddWaiting(w *sched.Waiting) {
	if s.waiting[w.ID] == nil {
		s.registerWaiting(w)
		s.customer(w.Spec.Customer).Insert(w)
	}
}

// appendWaiting appends a job to its customer's queue. The caller sorts the
// queue.
func (s *State) appendWaiting(w *sched.Waiting) {
	if s.waiting[w.ID] == nil {
		s.registerWaiting(w)
		c := s.customer(w.Spec.Customer)
		c.Jobs = append(c.Jobs, w)
	}
}

// registerWaiting registers a waiting job.
func (s *State) registerWaiting(w *sched.Waiting) {
	s.waiting[w.ID] = w
	s.unchecked = append(s.unchecked, w)
	if !w.Spec.Deadline.IsZero() {
		s.withDeadline[w] = true
	}
}

// recheckWaiting makes the next decision check all waiting jobs for rejection
// again.
func (s *State) recheckWaiting() {
	s.empty = newEmptyZone(s)
	s.unchecked = s.unchecked[:0]
	for _, c := range s.customerOrder {
		s.unchecked = append(s.unchecked, c.Jobs...)
	}
}

// RemoveWaiting removes a job from its queue.
func (s *State) RemoveWaiting(id model.JobID) {
	if w := s.waiting[id]; w != nil {
		delete(s.waiting, id)
		delete(s.withDeadline, w)
		s.unchecked = slices.DeleteFunc(s.unchecked, func(o *sched.Waiting) bool { return o == w })
		s.customer(w.Spec.Customer).Remove(w)
	}
}

// AddRunning adds an attempt, or replaces the one with the same id. The state
// keeps r; the caller must not change it afterwards.
func (s *State) AddRunning(r *sched.Running) {
	s.RemoveRunning(r.ID)
	s.runs[r.ID] = r
	s.allocate(r)
	s.addUsage(r, 1)
	if !r.Borrowed {
		i, _ := slices.BinarySearchFunc(s.guaranteed, r, func(g *guaranteed, r *sched.Running) int { return compareRuns(g.Running, r) })
		s.guaranteed = slices.Insert(s.guaranteed, i, s.newGuaranteed(r))
		s.invalidateBindings()
	}
	if r.Stopping {
		s.stopping[r.ID] = r
	}
	if r.UsedMemoryMiB > r.Spec.MemoryMiB {
		s.overMemory[r.ID] = r
	}
}

// RemoveRunning removes an attempt.
func (s *State) RemoveRunning(id model.JobID) {
	r := s.runs[id]
	if r == nil {
		return
	}
	delete(s.runs, id)
	delete(s.overMemory, id)
	delete(s.stopping, id)
	s.addUsage(r, -1)
	s.cells.ReleaseAll(&r.Spec, r.Placement, !r.Preemptible())
	for i := range r.Placement {
		k := s.cells.Index(r.Placement[i].Worker)
		if k >= 0 {
			s.heldOn[k] = slices.DeleteFunc(s.heldOn[k], func(h preempt.Held) bool { return h.Run == r })
		}
	}
	if !r.Borrowed {
		s.guaranteed = slices.DeleteFunc(s.guaranteed, func(g *guaranteed) bool { return g.Running == r })
		s.invalidateBindings()
	}
}

// addUsage adds an attempt to its customer's accelerators in use, or removes it
// if sign is -1.
func (s *State) addUsage(r *sched.Running, sign int) {
	c := s.customer(r.Customer)
	c.Used += sign * r.Spec.TotalAccelerators()
	if r.Borrowed {
		c.BorrowedUnits += sign * units(&r.Spec)
	}
}

// allocate takes the attempt's resources on its workers.
func (s *State) allocate(r *sched.Running) {
	s.cells.TakeAll(&r.Spec, r.Placement, !r.Preemptible())
	for i := range r.Placement {
		k := s.cells.Index(r.Placement[i].Worker)
		if k < 0 {
			continue
		}
		at := slices.IndexFunc(s.heldOn[k], func(h preempt.Held) bool { return h.Run == r })
		if at < 0 {
			s.heldOn[k] = append(s.heldOn[k], preempt.Held{Run: r})
			at = len(s.heldOn[k]) - 1
		}
		s.heldOn[k][at].Amount.Add(&r.Spec, 1)
	}
}

// invalidateBindings makes the next decision compute the cells of the
// guarantees again.
func (s *State) invalidateBindings() { s.shapeUse, s.bindings = nil, nil }

// SetEstimates replaces the corrections of declared run times, by customer.
func (s *State) SetEstimates(e map[string]sched.Correction) { s.estimates = e }

func compareRuns(a, b *sched.Running) int {
	if a.Seq != b.Seq {
		if a.Seq < b.Seq {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a.ID), string(b.ID))
}

// units returns the number that a job counts in fair sharing: its accelerators,
// and at least one per task.
func units(s *model.JobSpec) int { return s.Tasks * max(s.Accelerators, 1) }
