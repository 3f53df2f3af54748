package batch

import (
	"bytes"
	"fmt"
	"sync"

	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// retentionMS is how long a final job is remembered. Callers ask for the state
// and resend a submission for minutes at most.
const retentionMS = 10 * 60 * 1000

// maxFinal bounds the remembered final jobs, so that a burst of short jobs does
// not exhaust memory.
const maxFinal = 50000

// image is the replicated state, as it stands in snapshots.
type image struct {
	Epoch   uint64             `cbor:"1,keyasint"`
	Leader  string             `cbor:"2,keyasint"`
	Config  *Config            `cbor:"3,keyasint"`
	Jobs    map[string]*Job    `cbor:"4,keyasint"`
	Final   []string           `cbor:"5,keyasint"` // final jobs, oldest end first
	Workers map[string]*Worker `cbor:"6,keyasint"`
	NextSeq uint64             `cbor:"7,keyasint"`
}

// Machine is the state machine of a region's group. It implements
// replica.StateMachine. Readers use View; what they see must not be changed.
type Machine struct {
	mu    sync.RWMutex // guards all below
	s     image
	live  map[string]*Job                 // not final, or with active units
	on    map[string]map[UnitRef]struct{} // active units by worker
	index queueIndex
	// notify is called after each change, with mu held by nobody.
	notify func()
}

// New returns an empty machine. notify, which may be nil, is called after each
// change and must not block.
func New(notify func()) *Machine {
	m := &Machine{notify: notify}
	m.s = image{Jobs: map[string]*Job{}, Workers: map[string]*Worker{}}
	m.rebuild()
	return m
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return codec.Marshal(&m.s)
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(data []byte) error {
	s := image{Jobs: map[string]*Job{}, Workers: map[string]*Worker{}}
	if err := codec.Unmarshal(data, &s); err != nil {
		return err
	}
	m.mu.Lock()
	m.s = s
	m.rebuild()
	m.mu.Unlock()
	m.changed()
	return nil
}

func (m *Machine) rebuild() {
	m.live = map[string]*Job{}
	m.on = map[string]map[UnitRef]struct{}{}
	for id, j := range m.s.Jobs {
		if !j.State.Final() || j.Active > 0 {
			m.live[id] = j
		}
		for gi := range j.Groups {
			g := &j.Groups[gi]
			for i := range g.Units {
				if u := &g.Units[i]; u.State == Active {
					m.noteActive(g.ref(id, i), u.Worker)
				}
			}
		}
	}
	m.index = newQueueIndex(m.s.Config)
}

func (m *Machine) noteActive(ref UnitRef, worker string) {
	if m.on[worker] == nil {
		m.on[worker] = map[UnitRef]struct{}{}
	}
	m.on[worker][ref] = struct{}{}
}

// noteInactive counts a unit as not active and drops it from its worker.
func (m *Machine) noteInactive(j *Job, ref UnitRef, worker string) {
	j.Active--
	delete(m.on[worker], ref)
	if len(m.on[worker]) == 0 {
		delete(m.on, worker)
	}
}

func (m *Machine) changed() {
	if m.notify != nil {
		m.notify()
	}
}

// Apply implements replica.StateMachine. An entry that cannot be decoded changes
// nothing.
func (m *Machine) Apply(_ uint64, entry []byte) any {
	var c Command
	if err := codec.Unmarshal(entry, &c); err != nil {
		return err
	}
	m.mu.Lock()
	result := m.apply(&c)
	m.mu.Unlock()
	m.changed()
	return result
}

// StaleEpochError answers a command of a leader that has been replaced.
type StaleEpochError struct{ Epoch, InForce uint64 }

func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("command of epoch %d, in force is %d", e.Epoch, e.InForce)
}

func (m *Machine) apply(c *Command) any {
	if c.Epoch != 0 && c.Epoch != m.s.Epoch {
		return &StaleEpochError{Epoch: c.Epoch, InForce: m.s.Epoch}
	}
	switch {
	case c.Lead != nil:
		m.s.Epoch++
		m.s.Leader = c.Lead.Instance
		return m.s.Epoch
	case c.Publish != nil:
		return m.publish(c.Publish)
	case c.Submit != nil:
		return m.submit(c.Submit)
	case c.Cancel != nil:
		return m.cancel(c.Cancel)
	case c.Starts != nil:
		return m.start(c.Starts)
	case c.Ends != nil:
		m.end(c.Ends)
	case c.Worker != nil:
		m.worker(c.Worker)
	}
	return nil
}

// publish puts a configuration in force if it is newer than the one in force.
func (m *Machine) publish(c *Config) Verdict {
	if cur := m.s.Config; cur != nil && c.Version <= cur.Version {
		if c.Version == cur.Version && !bytes.Equal(c.Document, cur.Document) {
			return Conflict
		}
		return OK
	}
	m.s.Config = c
	m.index = newQueueIndex(c)
	return OK
}

func (m *Machine) submit(s *Submit) Verdict {
	q, customer, v := m.index.admit(s.Call)
	if v == OK && s.Call.Path != q.Prefix+s.ID {
		v = NoQueue
	}
	if v == OK && q.Closed {
		v = Closed
	}
	if v != OK {
		return v
	}
	if old := m.s.Jobs[s.ID]; old != nil {
		if !old.belongsTo(customer) || old.Spec.Payload != s.Spec.Payload {
			return Conflict
		}
		return OK
	}
	m.s.NextSeq++
	j := &Job{
		ID: s.ID, Seq: m.s.NextSeq, Queue: q.Name, Host: q.Host, Prefix: q.Prefix,
		Customer: customer, Spec: s.Spec, AcceptedMS: s.AtMS,
	}
	for k := range max(1, s.Spec.Occurrences) {
		for i := range s.Spec.Steps {
			n := s.Spec.Steps[i].Count
			j.Groups = append(j.Groups, Group{Occurrence: k, Step: i, Units: make([]Unit, n), Left: n})
		}
	}
	m.s.Jobs[s.ID] = j
	m.live[s.ID] = j
	m.expire(s.AtMS)
	return OK
}

// cancel ends a job. Its active units are stopped by the leader afterwards.
func (m *Machine) cancel(c *Cancel) Verdict {
	_, customer, v := m.index.admit(c.Call)
	if v != OK {
		return v
	}
	j := m.s.Jobs[c.ID]
	if j == nil || !j.belongsTo(customer) {
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
	m.s.Final = append(m.s.Final, j.ID)
	m.settle(j)
}

// settle drops a final job without active units from the live ones.
func (m *Machine) settle(j *Job) {
	if j.State.Final() && j.Active == 0 {
		delete(m.live, j.ID)
	}
}

func (m *Machine) expire(nowMS int64) {
	n := 0
	for n < len(m.s.Final) {
		j := m.s.Jobs[m.s.Final[n]]
		if j != nil && (j.Active > 0 || nowMS-j.EndedMS < retentionMS && len(m.s.Final)-n <= maxFinal) {
			break
		}
		delete(m.s.Jobs, m.s.Final[n])
		n++
	}
	m.s.Final = m.s.Final[n:]
}

// unit returns a unit with its job and group, or nils.
func (m *Machine) unit(ref UnitRef) (*Job, *Group, *Unit) {
	j := m.live[ref.Job]
	if j == nil {
		return nil, nil, nil
	}
	g := j.Group(ref.Occurrence, ref.Step)
	if g == nil || ref.Index < 0 || ref.Index >= len(g.Units) {
		return nil, nil, nil
	}
	return j, g, &g.Units[ref.Index]
}

// start records runs. A gang's starts are given together and hold only if every
// unit of the gang is among them.
func (m *Machine) start(s *Starts) []bool {
	held := make([]bool, len(s.Starts))
	for i := 0; i < len(s.Starts); {
		n := 1
		ref := s.Starts[i].Unit
		j, g, _ := m.unit(ref)
		if g != nil && j.Step(g).Gang {
			n = min(len(g.Units), len(s.Starts)-i)
		}
		if m.mayStart(s.Starts[i : i+n]) {
			for k := i; k < i+n; k++ {
				m.record(&s.Starts[k], s.AtMS)
				held[k] = true
			}
		}
		i += n
	}
	return held
}

func (m *Machine) mayStart(starts []Start) bool {
	j, g, _ := m.unit(starts[0].Unit)
	if g == nil || j.State.Final() || !j.Open(g) || j.Step(g).Gang && len(starts) != len(g.Units) {
		return false
	}
	for i := range starts {
		_, gi, u := m.unit(starts[i].Unit)
		w := m.s.Workers[starts[i].Worker]
		if gi != g || u.State != Waiting || starts[i].Run <= u.Run || w == nil || w.Life != starts[i].Life || w.Draining {
			return false
		}
	}
	return true
}

func (m *Machine) record(s *Start, atMS int64) {
	j, _, u := m.unit(s.Unit)
	u.State = Active
	u.Run = s.Run
	u.Worker = s.Worker
	u.Life = s.Life
	u.SinceMS = atMS
	j.Active++
	m.noteActive(s.Unit, s.Worker)
	if j.State == Queued {
		j.State = Running
	}
}

func (m *Machine) end(e *Ends) {
	for i := range e.Ends {
		m.endOne(&e.Ends[i], e.AtMS)
	}
}

func (m *Machine) endOne(e *End, atMS int64) {
	j, g, u := m.unit(e.Unit)
	if u == nil || u.State != Active || u.Run != e.Run {
		return
	}
	u.State = Waiting
	m.noteInactive(j, e.Unit, u.Worker)
	if e.Saved != "" {
		u.Saved = e.Saved
		if j.Step(g).Gang {
			g.Saved = e.Saved
		}
	}
	switch e.How {
	case EndDone:
		m.unitDone(j, g, u, atMS)
	case EndFailed:
		m.unitFailed(j, g, u, atMS)
	}
	m.settle(j)
}

// unitDone marks a unit as done. One such end stands for all units of a gang:
// they end together, and the ends of the others follow.
func (m *Machine) unitDone(j *Job, g *Group, u *Unit, atMS int64) {
	if j.Step(g).Lasting {
		return // it runs again
	}
	if j.Step(g).Gang {
		for i := range g.Units {
			if u := &g.Units[i]; u.State == Active {
				m.noteInactive(j, g.ref(j.ID, i), u.Worker)
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
	for i := range j.Groups {
		if j.Groups[i].Left > 0 {
			return
		}
	}
	m.conclude(j, Completed, atMS)
}

// unitFailed counts an attempt. A gang fails once for each run number.
func (m *Machine) unitFailed(j *Job, g *Group, u *Unit, atMS int64) {
	st := j.Step(g)
	u.Failed++
	n := u.Failed
	if st.Gang {
		if g.LastFailed == u.Run {
			return
		}
		g.LastFailed = u.Run
		g.Failures++
		n = g.Failures
	}
	if st.Lasting || j.State.Final() || n < m.maxAttempts(j) {
		return
	}
	m.conclude(j, Failed, atMS)
}

// defaultMaxAttempts applies to a job whose queue is not in force any more.
const defaultMaxAttempts = 3

func (m *Machine) maxAttempts(j *Job) int {
	if q := m.index.queue(j.Host, j.Prefix); q != nil && q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	return defaultMaxAttempts
}

// worker records a worker. An announcement of an earlier life, or one that takes
// draining back within a life, changes nothing. A worker that leaves need not name
// its life; it has said before that it drains, which a later life under the same
// id has not.
func (m *Machine) worker(c *WorkerChange) {
	w := c.Worker
	cur := m.s.Workers[w.ID]
	if c.Gone {
		if cur != nil && (cur.Life == w.Life || w.Life == 0 && cur.Draining) {
			delete(m.s.Workers, w.ID)
		}
		return
	}
	if cur != nil && (w.Life < cur.Life || w.Life == cur.Life && cur.Draining) {
		return
	}
	m.s.Workers[w.ID] = &w
}
