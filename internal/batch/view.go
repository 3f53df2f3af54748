package batch

// View calls f with a consistent view of the state, which f must neither change nor
// retain.
func (m *Machine) View(f func(*View)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(&View{m: m})
}

// View gives read access to the state. It is valid only during the call of
// Machine.View.
type View struct{ m *Machine }

// Epoch returns the current epoch and the instance that leads in it.
func (v *View) Epoch() (uint64, string) { return v.m.state.Epoch, v.m.state.Leader }

// Config returns the configuration in force, or nil if there is none.
func (v *View) Config() *Config { return v.m.state.Config }

// LiveJobs returns the jobs that are not final or have active units.
func (v *View) LiveJobs() map[string]*Job { return v.m.liveJobs }

// EachActiveUnit calls f for each unit that has an active run on a worker.
func (v *View) EachActiveUnit(worker string, f func(UnitRef, *Unit)) {
	for ref := range v.m.activeByWorker[worker] {
		if _, _, u := v.m.unit(ref); u != nil {
			f(ref, u)
		}
	}
}

// ActiveUnit returns the unit of a run that is recorded as active, or nil.
func (v *View) ActiveUnit(ref UnitRef, run int) *Unit {
	_, _, u := v.m.unit(ref)
	if u == nil || u.State != Active || u.Run != run {
		return nil
	}
	return u
}

// Overfull reports whether the active runs on a worker need more than its capacity, because
// it has shrunk. Runs for which ended returns true do not count.
func (v *View) Overfull(worker string, ended func(UnitRef, int) bool) bool {
	w := v.m.state.Workers[worker]
	if w == nil {
		return false
	}
	free := w.Capacity
	for ref := range v.m.activeByWorker[worker] {
		if j, g, u := v.m.unit(ref); j != nil && !ended(ref, u.Run) {
			free = free.Sub(j.Step(g).Need)
		}
	}
	return !free.Fits(Resources{})
}

// Workers returns the workers by id.
func (v *View) Workers() map[string]*Worker { return v.m.state.Workers }

// Admit checks a caller's request against the configuration in force and returns its
// queue and customer. The queue is nil unless the verdict is OK.
func (v *View) Admit(c Call) (*Queue, string, Verdict) { return v.m.index.admit(c) }

// Job returns a job that a customer may access, or nil.
func (v *View) Job(id, customer string) *Job {
	j := v.m.state.Jobs[id]
	if j == nil || !j.visibleTo(customer) {
		return nil
	}
	return j
}
