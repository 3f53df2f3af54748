// Package policy decides which waiting jobs start where, which borrowers are
// taken off, and which jobs are refused. See docs/decisions/0004-guarantees.md
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

// defaultCheckpointBound is used if no policy states one.
const defaultCheckpointBound = 5 * time.Second

// Decide makes one decision from a whole snapshot.
func Decide(s *sched.Snapshot) sched.Plan { return FromSnapshot(s).Decide(s.Now) }

// State keeps what a decision needs from one decision to the next. It gives the
// same plan as Decide on a snapshot of the same jobs and workers. It is not safe
// for concurrent use.
type State struct {
	zone      string
	cfg       *model.Configuration
	rules     sched.Rules
	trial     bool // nothing is refused
	estimates map[string]sched.Correction

	workers []sched.Worker
	cells   *cell.Zone
	empty   *emptyZone

	runs     map[model.JobID]*sched.Running
	on       [][]preempt.Held // by worker index, in order of attempts
	claimed  []*claimed       // attempts in a guarantee, in order
	overMem  map[model.JobID]*sched.Running
	stopping map[model.JobID]*sched.Running

	// noRoom are kinds of jobs that found no place on free resources; nothing has
	// become free since that would hold them.
	noRoom map[signature]bool

	waiting   map[model.JobID]*sched.Waiting
	fresh     []*sched.Waiting // not yet checked, or found to be refused
	deadlines map[*sched.Waiting]bool
	customers map[string]*customer
	order     []*customer // by name

	policy    model.Policy // of the service with the most say, see setConfig
	bound     time.Duration
	base      *bindings // shapes and their use, without cells
	bindings  *bindings
	bindingOf uint64 // version of the cells that bindings belongs to
	largest   int    // accelerators of the largest worker
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
		overMem: map[model.JobID]*sched.Running{}, stopping: map[model.JobID]*sched.Running{}, deadlines: map[*sched.Waiting]bool{}, customers: map[string]*customer{},
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
		s.addWaiting(&snap.Waiting[i])
	}
	for _, c := range s.order {
		slices.SortFunc(c.Jobs, queue.Compare)
	}
	return s
}

// SetConfig puts another configuration into force.
func (s *State) SetConfig(cfg *model.Configuration) {
	s.setConfig(cfg)
	s.recheck()
	s.unbind()
}

func (s *State) setConfig(cfg *model.Configuration) {
	s.cfg = cfg
	for _, c := range s.order {
		c.Weight, c.Quota, c.guarantees, c.service = 1, 0, nil, nil
	}
	s.policy, s.bound = model.Policy{}, defaultCheckpointBound
	if cfg == nil {
		return
	}
	for i := range cfg.Services {
		svc := &cfg.Services[i]
		// Services share the workers, so the one that weighs fragmentation most
		// decides how cells are kept together.
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

// checkpointBound is the time that the tasks of a customer have to checkpoint.
func (s *State) checkpointBound(name string) time.Duration {
	c := s.customers[name]
	if c == nil || c.service == nil || c.service.Policy.CheckpointBoundSeconds <= 0 {
		return defaultCheckpointBound
	}
	return time.Duration(c.service.Policy.CheckpointBoundSeconds * float64(time.Second))
}

// customer returns the record of a customer, which it makes if it is new. Jobs
// of a customer that the configuration no longer names keep running.
func (s *State) customer(name string) *customer {
	if c := s.customers[name]; c != nil {
		return c
	}
	c := &customer{Customer: queue.Customer{Name: name, Weight: 1}}
	s.customers[name] = c
	i, _ := slices.BinarySearchFunc(s.order, name, func(a *customer, n string) int { return strings.Compare(a.Name, n) })
	s.order = slices.Insert(s.order, i, c)
	return c
}

// SetWorkers puts another list of workers into force.
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

// rebuild makes the cells anew from the workers and the running attempts.
func (s *State) rebuild() {
	s.cells = cell.NewZone(s.workers)
	s.noRoom = map[signature]bool{}
	s.recheck()
	s.unbind()
	s.largest = 1
	for i := range s.workers {
		s.largest = max(s.largest, s.workers[i].Accelerators)
	}
	s.on = make([][]preempt.Held, len(s.workers))
	for _, r := range s.runs {
		s.hold(r)
	}
	for i, c := range s.claimed {
		s.claimed[i] = s.claimedRun(c.Running)
	}
}

// AddWaiting puts a job into its customer's queue.
func (s *State) AddWaiting(w *sched.Waiting) {
	if s.waiting[w.ID] == nil {
		s.note(w)
		s.customer(w.Spec.Customer).Insert(w)
	}
}

// addWaiting leaves the order of the queue to the caller.
func (s *State) addWaiting(w *sched.Waiting) {
	if s.waiting[w.ID] == nil {
		s.note(w)
		c := s.customer(w.Spec.Customer)
		c.Jobs = append(c.Jobs, w)
	}
}

// note registers a waiting job.
func (s *State) note(w *sched.Waiting) {
	s.waiting[w.ID] = w
	s.fresh = append(s.fresh, w)
	if !w.Spec.Deadline.IsZero() {
		s.deadlines[w] = true
	}
}

// recheck lets the next decision check all waiting jobs again.
func (s *State) recheck() {
	s.empty = newEmptyZone(s)
	s.fresh = s.fresh[:0]
	for _, c := range s.order {
		s.fresh = append(s.fresh, c.Jobs...)
	}
}

// RemoveWaiting takes a job out of its queue.
func (s *State) RemoveWaiting(id model.JobID) {
	if w := s.waiting[id]; w != nil {
		delete(s.waiting, id)
		delete(s.deadlines, w)
		s.fresh = slices.DeleteFunc(s.fresh, func(o *sched.Waiting) bool { return o == w })
		s.customer(w.Spec.Customer).Remove(w)
	}
}

// AddRunning adds an attempt, or replaces what is known of it. The state keeps
// r and expects that it does not change.
func (s *State) AddRunning(r *sched.Running) {
	s.RemoveRunning(r.ID)
	s.runs[r.ID] = r
	s.hold(r)
	s.count(r, 1)
	if !r.Borrowed {
		i, _ := slices.BinarySearchFunc(s.claimed, r, func(c *claimed, r *sched.Running) int { return compareRuns(c.Running, r) })
		s.claimed = slices.Insert(s.claimed, i, s.claimedRun(r))
		s.unbind()
	}
	if r.Stopping {
		s.stopping[r.ID] = r
	}
	if r.UsedMemoryMiB > r.Spec.MemoryMiB {
		s.overMem[r.ID] = r
	}
}

// RemoveRunning drops an attempt.
func (s *State) RemoveRunning(id model.JobID) {
	r := s.runs[id]
	if r == nil {
		return
	}
	delete(s.runs, id)
	delete(s.overMem, id)
	delete(s.stopping, id)
	s.count(r, -1)
	s.cells.ReleaseAll(&r.Spec, r.Placement, !r.Preemptible())
	for i := range r.Placement {
		k := s.cells.Index(r.Placement[i].Worker)
		if k >= 0 {
			s.on[k] = slices.DeleteFunc(s.on[k], func(h preempt.Held) bool { return h.Run == r })
		}
	}
	if !r.Borrowed {
		s.claimed = slices.DeleteFunc(s.claimed, func(c *claimed) bool { return c.Running == r })
		s.unbind()
	}
}

// count changes the customer's accelerators in use.
func (s *State) count(r *sched.Running, sign int) {
	c := s.customer(r.Customer)
	c.Used += sign * r.Spec.TotalAccelerators()
	if r.Borrowed {
		c.Shared += sign * units(&r.Spec)
	}
}

// hold takes the attempt's resources.
func (s *State) hold(r *sched.Running) {
	s.cells.TakeAll(&r.Spec, r.Placement, !r.Preemptible())
	for i := range r.Placement {
		k := s.cells.Index(r.Placement[i].Worker)
		if k < 0 {
			continue
		}
		at := slices.IndexFunc(s.on[k], func(h preempt.Held) bool { return h.Run == r })
		if at < 0 {
			s.on[k] = append(s.on[k], preempt.Held{Run: r})
			at = len(s.on[k]) - 1
		}
		s.on[k][at].Amount.Add(&r.Spec, 1)
	}
}

// unbind lets the next decision compute the cells of the guarantees anew.
func (s *State) unbind() { s.base, s.bindings = nil, nil }

// SetEstimates replaces the corrections of declared run times.
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

// units is what a job counts in fair sharing: its accelerators, and at least
// one per task.
func units(s *model.JobSpec) int { return s.Tasks * max(s.Accelerators, 1) }
