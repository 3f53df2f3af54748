package batch

import (
	"bytes"
	"fmt"
	"sync"

	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// retentionMS is how long a final job is kept. Callers query its state and retry its
// submission for a few minutes at most.
const retentionMS = 10 * 60 * 1000

// maxFinalJobs bounds the number of final jobs that are kept, so that a burst of short
// jobs does not exhaust memory.
const maxFinalJobs = 50000

// replicatedState is the replicated state in the form in which snapshots store it.
type replicatedState struct {
	Epoch   uint64             `cbor:"1,keyasint"`
	Leader  string             `cbor:"2,keyasint"`
	Config  *Config            `cbor:"3,keyasint"`
	Jobs    map[string]*Job    `cbor:"4,keyasint"`
	Final   []string           `cbor:"5,keyasint"` // ids of final jobs, in the order in which they ended
	Workers map[string]*Worker `cbor:"6,keyasint"`
	NextSeq uint64             `cbor:"7,keyasint"`
	// Zones holds the availability zones that have been cordoned at least once, by name.
	Zones map[string]*ZoneState `cbor:"8,keyasint,omitempty"`
	// Silent holds what ran on workers that have stopped answering, by worker.
	Silent map[string]*silentRuns `cbor:"9,keyasint,omitempty"`
}

// Machine is the state machine of a region's group. It implements
// replica.StateMachine. Readers use View.
type Machine struct {
	mu             sync.RWMutex // guards state, liveJobs, activeByWorker and index
	state          replicatedState
	liveJobs       map[string]*Job                 // jobs that are not final or have active units
	activeByWorker map[string]map[UnitRef]struct{} // active units by worker
	index          queueIndex
	// removedQueues holds the last definitions of queues that the configuration no longer has and
	// of which there are live jobs. No entry has an effect that depends on it, so it is
	// neither in snapshots nor known after a restart from one.
	removedQueues map[queueRef]*Queue
	// notify is called after each change, without mu held.
	notify func()
}

// New returns a machine with an empty state. notify, which may be nil, is called after
// each change and must not block.
func New(notify func()) *Machine {
	m := &Machine{notify: notify}
	m.state = replicatedState{Jobs: map[string]*Job{}, Workers: map[string]*Worker{}}
	m.rebuildIndexes()
	return m
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return codec.Marshal(&m.state)
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(data []byte) error {
	s := replicatedState{Jobs: map[string]*Job{}, Workers: map[string]*Worker{}}
	if err := codec.Unmarshal(data, &s); err != nil {
		return err
	}
	if err := s.check(); err != nil {
		return err
	}
	if s.Jobs == nil {
		s.Jobs = map[string]*Job{}
	}
	if s.Workers == nil {
		s.Workers = map[string]*Worker{}
	}
	m.mu.Lock()
	m.state = s
	m.rebuildIndexes()
	m.mu.Unlock()
	m.notifyChange()
	return nil
}

func (m *Machine) rebuildIndexes() {
	m.liveJobs = map[string]*Job{}
	m.activeByWorker = map[string]map[UnitRef]struct{}{}
	for id, j := range m.state.Jobs {
		if !j.State.Final() || j.Active > 0 {
			m.liveJobs[id] = j
		}
		for gi := range j.UnitGroups {
			g := &j.UnitGroups[gi]
			for i := range g.Units {
				if u := &g.Units[i]; u.State == Active {
					m.addActive(g.Ref(id, i), u.Worker)
				}
			}
		}
	}
	m.index = newQueueIndex(m.state.Config)
	m.removedQueues = nil
}

func (m *Machine) addActive(ref UnitRef, worker string) {
	if m.activeByWorker[worker] == nil {
		m.activeByWorker[worker] = map[UnitRef]struct{}{}
	}
	m.activeByWorker[worker][ref] = struct{}{}
}

// removeActive removes a unit from its worker's active units and updates the job's
// count.
func (m *Machine) removeActive(j *Job, ref UnitRef, worker string) {
	j.Active--
	delete(m.activeByWorker[worker], ref)
	if len(m.activeByWorker[worker]) == 0 {
		delete(m.activeByWorker, worker)
	}
}

func (m *Machine) notifyChange() {
	if m.notify != nil {
		m.notify()
	}
}

// Apply implements replica.StateMachine. An entry that cannot be decoded has no effect;
// the result is the decoding error.
func (m *Machine) Apply(_ uint64, entry []byte) any {
	var c Command
	if err := codec.Unmarshal(entry, &c); err != nil {
		return err
	}
	m.mu.Lock()
	result := m.apply(&c)
	m.mu.Unlock()
	m.notifyChange()
	return result
}

// StaleEpochError is the result of a command from a leader that has been replaced.
type StaleEpochError struct{ Epoch, InForce uint64 }

func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("command has epoch %d, current epoch is %d", e.Epoch, e.InForce)
}

func (m *Machine) apply(c *Command) any {
	if c.Epoch != 0 && c.Epoch != m.state.Epoch {
		return &StaleEpochError{Epoch: c.Epoch, InForce: m.state.Epoch}
	}
	switch {
	case c.Lead != nil:
		m.state.Epoch++
		m.state.Leader = c.Lead.Instance
		return m.state.Epoch
	case c.Publish != nil:
		return m.publish(c.Publish)
	case c.Submit != nil:
		return m.submit(c.Submit)
	case c.Cancel != nil:
		return m.cancel(c.Cancel)
	case c.Starts != nil:
		return m.recordStarts(c.Starts)
	case c.Ends != nil:
		m.recordEnds(c.Ends)
	case c.Worker != nil:
		m.changeWorker(c.Worker)
	case c.Zone != nil:
		return m.changeZone(c.Zone)
	case c.Speeds != nil:
		m.recordSpeeds(c.Speeds)
	}
	return nil
}

// publish puts a configuration in force if its version is newer than the current one.
// An older version is ignored; other content under the same version is a conflict.
func (m *Machine) publish(c *Config) Verdict {
	if cur := m.state.Config; cur != nil && c.Version <= cur.Version {
		if c.Version == cur.Version && !bytes.Equal(c.Document, cur.Document) {
			return IDInUse
		}
		return OK
	}
	next := newQueueIndex(c)
	m.keepRemovedQueues(&next)
	m.state.Config = c
	m.index = next
	return OK
}

func (m *Machine) submit(s *Submit) Verdict {
	q, customer, v := m.index.admit(s.Call)
	if v == OK && s.Call.Path != q.Prefix+s.ID {
		v = NoQueue
	}
	if v == OK && (q.Closed || s.Spec.Check() != nil) { // no leader commits a job that fails the check
		v = QueueClosed
	}
	if v != OK {
		return v
	}
	if existing := m.state.Jobs[s.ID]; existing != nil {
		if !existing.visibleTo(customer) || existing.Spec.Payload != s.Spec.Payload {
			return IDInUse
		}
		return OK
	}
	m.state.NextSeq++
	j := &Job{
		ID: s.ID, Seq: m.state.NextSeq, Queue: q.Name, Host: q.Host, Prefix: q.Prefix,
		Customer: customer, Spec: s.Spec, AcceptedMS: s.AtMS,
	}
	for k := range max(1, s.Spec.Occurrences) {
		for i := range s.Spec.Steps {
			n := s.Spec.Steps[i].Count
			j.UnitGroups = append(j.UnitGroups, UnitGroup{Occurrence: k, Step: i, Units: make([]Unit, n), Left: n})
		}
	}
	m.state.Jobs[s.ID] = j
	m.liveJobs[s.ID] = j
	m.removeExpiredJobs(s.AtMS)
	return OK
}

// cancel marks a job as cancelled. The leader stops its active units afterwards.
func (m *Machine) cancel(c *Cancel) Verdict {
	_, customer, v := m.index.admit(c.Call)
	if v != OK {
		return v
	}
	j := m.state.Jobs[c.ID]
	if j == nil || !j.visibleTo(customer) {
		return NoJob
	}
	if !j.State.Final() {
		m.conclude(j, Cancelled, c.AtMS)
	}
	return OK
}

func (m *Machine) conclude(j *Job, s State, atMS int64) {
	j.State = s
	j.EndedMS = atMS
	m.state.Final = append(m.state.Final, j.ID)
	m.removeIfInactive(j)
}

// removeIfInactive removes a job from the live jobs if it is final and has no active
// units.
func (m *Machine) removeIfInactive(j *Job) {
	if j.State.Final() && j.Active == 0 {
		delete(m.liveJobs, j.ID)
	}
}

func (m *Machine) removeExpiredJobs(nowMS int64) {
	n := 0
	for n < len(m.state.Final) {
		j := m.state.Jobs[m.state.Final[n]]
		if j != nil && (j.Active > 0 || nowMS-j.EndedMS < retentionMS && len(m.state.Final)-n <= maxFinalJobs) {
			break
		}
		delete(m.state.Jobs, m.state.Final[n])
		n++
	}
	m.state.Final = m.state.Final[n:]
}

// unit returns a unit of a live job with its job and unit group, or nils.
func (m *Machine) unit(ref UnitRef) (*Job, *UnitGroup, *Unit) {
	j := m.liveJobs[ref.Job]
	if j == nil {
		return nil, nil, nil
	}
	g := j.UnitGroup(ref.Occurrence, ref.Step)
	if g == nil || ref.Index < 0 || ref.Index >= len(g.Units) {
		return nil, nil, nil
	}
	return j, g, &g.Units[ref.Index]
}

// recordStarts records runs and reports which starts were accepted. The starts of a
// gang must be consecutive, and are accepted only if they cover all of its units.
func (m *Machine) recordStarts(s *Starts) []bool {
	accepted := make([]bool, len(s.Starts))
	for i := 0; i < len(s.Starts); {
		n := 1
		ref := s.Starts[i].Unit
		j, g, _ := m.unit(ref)
		if g != nil && j.Step(g).Gang {
			n = min(len(g.Units), len(s.Starts)-i)
		}
		if m.canStart(s.Starts[i : i+n]) {
			for k := i; k < i+n; k++ {
				m.recordStart(&s.Starts[k], s.AtMS)
				accepted[k] = true
			}
		}
		i += n
	}
	return accepted
}

func (m *Machine) canStart(starts []Start) bool {
	j, g, _ := m.unit(starts[0].Unit)
	if g == nil || j.State.Final() || !j.DependenciesDone(g) || j.Step(g).Gang && len(starts) != len(g.Units) {
		return false
	}
	for i := range starts {
		_, gi, u := m.unit(starts[i].Unit)
		w := m.state.Workers[starts[i].Worker]
		if gi != g || u.State != Waiting || starts[i].Run <= u.Run || w == nil || w.Incarnation != starts[i].Incarnation || w.Draining || m.cordoned(w.Zone) {
			return false
		}
	}
	return true
}

func (m *Machine) recordStart(s *Start, atMS int64) {
	j, _, u := m.unit(s.Unit)
	u.State = Active
	u.Run = s.Run
	u.Worker = s.Worker
	u.Incarnation = s.Incarnation
	u.RecordedMS = atMS
	delete(m.state.Silent, s.Worker) // it answers again
	j.Active++
	m.addActive(s.Unit, s.Worker)
	if j.State == Queued {
		j.State = Running
	}
}

func (m *Machine) recordEnds(e *Ends) {
	for i := range e.Ends {
		m.recordEnd(&e.Ends[i], e.AtMS)
	}
}

func (m *Machine) recordEnd(e *End, atMS int64) {
	j, g, u := m.unit(e.Unit)
	if u == nil || u.State != Active || u.Run != e.Run {
		return
	}
	u.State = Waiting
	m.removeActive(j, e.Unit, u.Worker)
	if e.Checkpoint != "" {
		u.Checkpoint = e.Checkpoint
		if j.Step(g).Gang {
			g.Checkpoint = e.Checkpoint
		}
	}
	switch e.How {
	case EndDone:
		m.unitDone(j, g, u, atMS)
	case EndFailed:
		m.unitFailed(j, g, u, atMS)
	case EndCrashed:
		m.unitCrashed(j, u, e.Blame, atMS-u.RecordedMS, atMS)
	case EndLeaseExpired:
		if e.Silent {
			m.unitSilenced(e.Unit, u, atMS)
		}
	}
	m.removeIfInactive(j)
}

// unitDone marks a unit as done. The first such end completes all units of a gang,
// because they end together; the reports of the other ends follow.
func (m *Machine) unitDone(j *Job, g *UnitGroup, u *Unit, atMS int64) {
	if j.Step(g).LongRunning {
		return // the unit runs again
	}
	if j.Step(g).Gang {
		for i := range g.Units {
			if u := &g.Units[i]; u.State == Active {
				m.removeActive(j, g.Ref(j.ID, i), u.Worker)
			}
			g.Units[i].State = Done
		}
		g.Left = 0
	} else {
		u.State = Done
		g.Left--
	}
	if j.State.Final() {
		return
	}
	for i := range j.UnitGroups {
		if j.UnitGroups[i].Left > 0 {
			return
		}
	}
	m.conclude(j, Completed, atMS)
}

// changeWorker records or removes a worker. An announcement of an earlier
// incarnation, or one that would end draining within the same incarnation, is ignored.
// A leaving worker may omit its incarnation (0). Such a removal applies only to a
// draining worker: a worker announces that it drains before it leaves, which tells it
// from a later incarnation under the same id.
func (m *Machine) changeWorker(c *WorkerChange) {
	w := c.Worker
	cur := m.state.Workers[w.ID]
	if c.Removed {
		if cur != nil && (cur.Incarnation == w.Incarnation || w.Incarnation == 0 && cur.Draining) {
			delete(m.state.Workers, w.ID)
		}
		return
	}
	if cur != nil && (w.Incarnation < cur.Incarnation || w.Incarnation == cur.Incarnation && cur.Draining) {
		return
	}
	w.Speed = nil // measured, so an announcement cannot set it
	if cur != nil && cur.Incarnation == w.Incarnation {
		w.Speed = cur.Speed
		if w.AnnouncedMS < cur.AnnouncedMS { // held up on its way
			w.Capacity, w.AnnouncedMS = cur.Capacity, cur.AnnouncedMS
		}
	}
	if cur == nil || cur.Incarnation != w.Incarnation || cur.Address != w.Address {
		m.explainSilence(&w)
	}
	m.state.Workers[w.ID] = &w
}
