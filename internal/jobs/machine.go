// Package jobs is the replicated state machine of one availability zone. It
// holds the job records with their attempts and results, and the adopted
// configuration.
//
// Every replica applies the same commands in the same order, so Apply must be
// deterministic: it depends only on the command and the state, never on a
// clock, random numbers or the iteration order of a map.
package jobs

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// shardCount is the number of job shards; it must be a power of two.
const shardCount = 16

// keyRetention is how long the identity and the final state of a job are kept
// after its results were dropped. Within this time a resent request of a
// not-repeatable job finds the existing record instead of running the job
// again.
const keyRetention = 30 * 24 * time.Hour

// defaultRetention is how long results are kept if no policy sets a time.
const defaultRetention = 24 * time.Hour

// Result is returned by Apply to the proposer of a command.
type Result struct {
	Job     *model.Job
	Refusal *model.Refusal
	// Existing is set if a submission found the record of an earlier request.
	Existing bool
}

// shard holds the jobs whose ids hash to it. mu guards all fields. Job records
// are immutable; a change replaces the pointer.
type shard struct {
	mu             sync.RWMutex
	jobs           map[model.JobID]*model.Job
	active         map[model.JobID]*model.Job // jobs not in a final state
	finalWatchers  watchers                   // closed when a job becomes final
	changeWatchers watchers                   // closed at the next change of a job
}

// watchers holds the channels to close on an event, by job.
type watchers map[model.JobID][]chan struct{}

func (w watchers) add(id model.JobID, ch chan struct{}) { w[id] = append(w[id], ch) }

func (w watchers) remove(id model.JobID, ch chan struct{}) {
	list := w[id]
	for i := range list {
		if list[i] == ch {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(w, id)
		return
	}
	w[id] = list
}

func (w watchers) wake(id model.JobID) {
	for _, ch := range w[id] {
		close(ch)
	}
	delete(w, id)
}

// Machine is the state machine. Apply, Snapshot and Restore must be called from
// a single goroutine; the methods that only read may be called from any.
type Machine struct {
	shards   [shardCount]shard
	refusals refusalHistory // used by Apply, Snapshot and Restore only

	mu      sync.RWMutex // guards the fields below
	config  *model.Configuration
	queued  map[string]int // queued jobs by customer
	applied uint64
	changed chan struct{} // closed and replaced at each change
	hooks   []Hook
}

// Hook is called for every change of a record by a command other than
// KindExpire. It runs while the command is applied, so it must not block. old is
// nil for a new record.
type Hook func(old, j *model.Job)

// New returns an empty machine.
func New() *Machine {
	m := &Machine{queued: map[string]int{}, changed: make(chan struct{})}
	for i := range m.shards {
		m.shards[i].reset()
	}
	return m
}

// reset removes all jobs. It keeps the watchers, which then see the records that
// Restore stores.
func (s *shard) reset() {
	s.jobs = map[model.JobID]*model.Job{}
	s.active = map[model.JobID]*model.Job{}
	if s.finalWatchers == nil {
		s.finalWatchers = watchers{}
		s.changeWatchers = watchers{}
	}
}

func (m *Machine) shard(id model.JobID) *shard {
	return &m.shards[xxhash.Sum64String(string(id))%shardCount]
}

// Get returns the record of a job, or nil. The caller must not modify the
// record.
func (m *Machine) Get(id model.JobID) *model.Job {
	s := m.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.jobs[id]
}

// Active returns all jobs that are not in a final state, in the order of their
// submission.
func (m *Machine) Active() []*model.Job {
	var out []*model.Job
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for _, j := range s.active {
			out = append(out, j)
		}
		s.mu.RUnlock()
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Seq < out[b].Seq })
	return out
}

// ByCustomer returns the jobs of a customer, or all jobs if customer is empty,
// in the order of their submission.
func (m *Machine) ByCustomer(customer string) []*model.Job {
	var out []*model.Job
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for _, j := range s.jobs {
			if customer == "" || j.Spec.Customer == customer {
				out = append(out, j)
			}
		}
		s.mu.RUnlock()
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Seq < out[b].Seq })
	return out
}

// Config returns the adopted configuration, or nil.
func (m *Machine) Config() *model.Configuration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.config
}

// Queued returns the number of queued jobs of a customer.
func (m *Machine) Queued(customer string) int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.queued[customer]
}

// Changed returns a channel that is closed when the next command is applied.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// WatchFinal returns a channel that is closed when the job reaches a final
// state, and a function that ends the watch. The channel is closed already if
// the job is final.
func (m *Machine) WatchFinal(id model.JobID) (<-chan struct{}, func()) {
	s := m.shard(id)
	ch := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[id]; j != nil && j.State.Final() {
		close(ch)
		return ch, func() {}
	}
	s.finalWatchers.add(id, ch)
	return ch, func() { s.unwatch(s.finalWatchers, id, ch) }
}

// WatchChange returns a channel that is closed at the next change of the job's
// record, and a function that ends the watch.
func (m *Machine) WatchChange(id model.JobID) (<-chan struct{}, func()) {
	s := m.shard(id)
	ch := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeWatchers.add(id, ch)
	return ch, func() { s.unwatch(s.changeWatchers, id, ch) }
}

func (s *shard) unwatch(w watchers, id model.JobID, ch chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.remove(id, ch)
}

// put stores the record of a job and notifies its watchers.
func (m *Machine) put(old, j *model.Job) {
	s := m.shard(j.ID)
	s.mu.Lock()
	s.jobs[j.ID] = j
	if j.State.Final() {
		delete(s.active, j.ID)
		s.finalWatchers.wake(j.ID)
	} else {
		s.active[j.ID] = j
	}
	s.changeWatchers.wake(j.ID)
	s.mu.Unlock()
	m.countQueued(old, j)
}

// Subscribe adds a hook that is called for all later changes.
func (m *Machine) Subscribe(h Hook) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hooks = append(m.hooks, h)
}

// notify calls the hooks. It is not called for records that have expired or were
// restored from a snapshot.
func (m *Machine) notify(old, j *model.Job) {
	m.mu.RLock()
	hooks := m.hooks
	m.mu.RUnlock()
	for _, h := range hooks {
		h(old, j)
	}
}

// countQueued updates the customer's number of queued jobs after a change of a
// record.
func (m *Machine) countQueued(old, j *model.Job) {
	wasQueued := old != nil && old.State == model.Queued
	isQueued := j != nil && j.State == model.Queued
	if wasQueued == isQueued {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if isQueued {
		m.queued[j.Spec.Customer]++
		return
	}
	c := old.Spec.Customer
	m.queued[c]--
	if m.queued[c] == 0 {
		delete(m.queued, c)
	}
}

// Apply executes the command in a committed log entry and returns a *Result.
func (m *Machine) Apply(index uint64, entry []byte) any {
	var c Command
	if err := codec.Unmarshal(entry, &c); err != nil {
		return &Result{Refusal: model.Refuse(model.ReasonInternal, "log entry %d cannot be decoded: %v", index, err)}
	}
	r := m.apply(index, &c)
	m.mu.Lock()
	m.applied = index
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	return r
}

// snapshotState is the content of a snapshot.
type snapshotState struct {
	Applied uint64               `cbor:"1,keyasint"`
	Config  *model.Configuration `cbor:"2,keyasint,omitempty"`
	Jobs    []*model.Job         `cbor:"3,keyasint"`
	Refused []refusedSubmission  `cbor:"4,keyasint,omitempty"`
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	st := snapshotState{Jobs: m.ByCustomer(""), Refused: m.refusals.list}
	m.mu.RLock()
	st.Applied = m.applied
	st.Config = m.config
	m.mu.RUnlock()
	return codec.Marshal(&st)
}

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	var st snapshotState
	if err := codec.Unmarshal(data, &st); err != nil {
		return err
	}
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		s.reset()
		s.mu.Unlock()
	}
	m.mu.Lock()
	m.queued = map[string]int{}
	m.config = st.Config
	m.applied = st.Applied
	m.mu.Unlock()
	for _, j := range st.Jobs {
		m.put(nil, j)
	}
	m.refusals.restore(st.Refused)
	m.mu.Lock()
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	return nil
}

// retention returns how long the results of a customer's jobs are kept.
func (m *Machine) retention(customer string) time.Duration {
	_, svc := m.Config().Customer(customer)
	if svc == nil || svc.Policy.RetentionSeconds <= 0 {
		return defaultRetention
	}
	return time.Duration(svc.Policy.RetentionSeconds * float64(time.Second))
}
