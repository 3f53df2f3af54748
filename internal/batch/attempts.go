package batch

// The number of failed runs after which a job fails is that of its queue in the configuration in
// force. While the queue is not configured, nothing of the job starts, and the state machine can
// only apply defaultMaxAttempts: members with an earlier build do so as well. The leader therefore
// commits no failure in that time that would conclude the job (package dispatch, held_failures.go).

// defaultMaxAttempts applies to a job whose queue sets no limit or has been removed
// from the configuration.
const defaultMaxAttempts = 3

func (m *Machine) maxAttempts(j *Job) int {
	if q := m.index.queue(j.Host, j.Prefix); q != nil && q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	return defaultMaxAttempts
}

// unitFailed counts a failed attempt and fails the job after the last one. A gang
// counts one failure per run number, however many of its units fail.
func (m *Machine) unitFailed(j *Job, g *UnitGroup, u *Unit, atMS int64) {
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
	if st.LongRunning || j.State.Final() || n < m.maxAttempts(j) {
		return
	}
	j.FailedBy = FailedByAttempts
	m.conclude(j, Failed, atMS)
}

// FailureUndecided reports whether the failure of an active run would conclude its job although the
// queue, which sets the limit, is not configured.
func (v *View) FailureUndecided(ref UnitRef, run int) bool {
	j, g, u := v.m.unit(ref)
	if u == nil || u.State != Active || u.Run != run || j.State.Final() || j.Step(g).LongRunning || v.Queue(j.Host, j.Prefix) != nil {
		return false
	}
	if j.Step(g).Gang {
		return g.LastFailed != run && g.Failures+1 >= defaultMaxAttempts
	}
	return u.Failed+1 >= defaultMaxAttempts
}

// AttemptsUsedUp reports whether a unit has failed as often as its queue allows, although its job has
// not: the queue was not configured at its last failure, or has a lower limit now. It is false while
// the queue is not configured.
func (v *View) AttemptsUsedUp(j *Job, g *UnitGroup, u *Unit) bool {
	st := j.Step(g)
	n := u.Failed
	if st.Gang {
		n = g.Failures
	}
	return n > 0 && !st.LongRunning && !j.State.Final() && v.Queue(j.Host, j.Prefix) != nil && n >= v.m.maxAttempts(j)
}
