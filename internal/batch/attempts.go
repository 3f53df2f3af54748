package batch

// The number of failed runs after which a job fails is that of its queue in the configuration in
// force. The state machine looks the queue up by the address under which the job was submitted, and
// applies defaultMaxAttempts if there is none: members with an earlier build do so as well. While
// the queue is not configured or has another address, the leader therefore decides which failures
// are committed as such (package dispatch, held_failures.go and attempts.go).

// defaultMaxAttempts applies to a job whose queue sets no limit, and in the state machine also to
// one without a queue at its address.
const defaultMaxAttempts = 3

func (q *Queue) attemptLimit() int {
	if q != nil && q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	return defaultMaxAttempts
}

// appliedLimit returns the number of failed runs after which unitFailed fails a job.
func (m *Machine) appliedLimit(j *Job) int { return m.index.queueAt(j.Host, j.Prefix).attemptLimit() }

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
	if st.LongRunning || j.State.Final() || n < m.appliedLimit(j) {
		return
	}
	j.FailedBy = FailedByAttempts
	m.conclude(j, Failed, atMS)
}

// FailureEffect tells what the end of an active run as failed would do.
type FailureEffect uint8

// The effects of a failure.
const (
	FailureApplies FailureEffect = iota // the state machine handles it as the queue says
	// FailureUndecided would conclude the job, although the queue, which sets the limit, is not
	// configured.
	FailureUndecided
	// FailureConcludesEarly would conclude the job, although the queue allows more attempts.
	FailureConcludesEarly
)

// EffectOfFailure returns the effect of the failure of a run. uncounted is the number of failed runs
// of the unit, or of its gang, that ended otherwise in the log.
func (v *View) EffectOfFailure(ref UnitRef, run, uncounted int) FailureEffect {
	j, g, u := v.m.unit(ref)
	if u == nil || u.State != Active || u.Run != run || j.State.Final() || j.Step(g).LongRunning {
		return FailureApplies
	}
	failures := u.Failed + 1
	if j.Step(g).Gang {
		if g.LastFailed == run {
			return FailureApplies
		}
		failures = g.Failures + 1
	}
	q := v.QueueOf(j)
	switch {
	case failures < v.m.appliedLimit(j):
		return FailureApplies
	case q == nil:
		return FailureUndecided
	case failures+uncounted < q.attemptLimit():
		return FailureConcludesEarly
	}
	return FailureApplies
}

// AttemptsOwner returns the unit whose attempts a run of a unit uses: the first one of a gang, or the
// unit itself.
func (v *View) AttemptsOwner(ref UnitRef) UnitRef {
	if j, g, _ := v.m.unit(ref); g != nil && j.Step(g).Gang {
		ref.Index = 0
	}
	return ref
}

// AttemptsUsedUp reports whether a unit has failed as often as its queue allows, although its job has
// not: the state machine knew another limit at its last failure, or the limit is lower now. It is
// false while the queue is not configured.
func (v *View) AttemptsUsedUp(j *Job, g *UnitGroup, u *Unit) bool {
	st := j.Step(g)
	n := u.Failed
	if st.Gang {
		n = g.Failures
	}
	if n == 0 || st.LongRunning || j.State.Final() {
		return false
	}
	q := v.QueueOf(j)
	return q != nil && n >= q.attemptLimit()
}
