package batch

// View calls f with the state. f must not keep what it is given, nor change it.
func (m *Machine) View(f func(*View)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(&View{m: m})
}

// View is a consistent look at the state.
type View struct{ m *Machine }

// Epoch returns the epoch in force and the instance that leads in it.
func (v *View) Epoch() (uint64, string) { return v.m.s.Epoch, v.m.s.Leader }

// Config returns the configuration in force, or nil.
func (v *View) Config() *Config { return v.m.s.Config }

// Live returns the jobs that are not final or have active units.
func (v *View) Live() map[string]*Job { return v.m.live }

// EachActive calls f for each unit whose recorded run is on a worker.
func (v *View) EachActive(worker string, f func(UnitRef, *Unit)) {
	for ref := range v.m.on[worker] {
		if _, _, u := v.m.unit(ref); u != nil {
			f(ref, u)
		}
	}
}

// Workers returns the workers by id.
func (v *View) Workers() map[string]*Worker { return v.m.s.Workers }

// Queue returns the queue of a host and prefix, or nil.
func (v *View) Queue(host, prefix string) *Queue { return v.m.index.queue(host, prefix) }

// Admit checks a caller's request against the configuration in force.
func (v *View) Admit(c Call) (*Queue, string, Verdict) { return v.m.index.admit(c) }

// Job returns a job of a customer, or nil.
func (v *View) Job(id, customer string) *Job {
	j := v.m.s.Jobs[id]
	if j == nil || !j.belongsTo(customer) {
		return nil
	}
	return j
}

// Pending counts the accepted jobs of a queue of which no unit has started.
func (v *View) Pending(q *Queue) int {
	n := 0
	for _, j := range v.m.live {
		if j.State == Queued && j.Host == q.Host && j.Prefix == q.Prefix {
			n++
		}
	}
	return n
}
