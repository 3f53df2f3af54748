package batch

// A job records the name, host and prefix of its queue when it is submitted. Later configurations may
// give the queue another host or prefix, under which callers then ask for the job, or another name.

// queueRef is what a job records of its queue.
type queueRef struct{ name, host, prefix string }

func (j *Job) queueRef() queueRef { return queueRef{j.Queue, j.Host, j.Prefix} }

// queueAt returns the queue with a host and prefix, or nil.
func (x *queueIndex) queueAt(host, prefix string) *Queue {
	for _, q := range x.queuesByHost[host] {
		if q.Prefix == prefix {
			return q
		}
	}
	return nil
}

// resolve returns the queue that a job belongs to, or nil if it is not configured. A queue keeps its
// jobs under another address; the queue at their address has them only if no other queue has the
// recorded name, because then it has been renamed.
func (x *queueIndex) resolve(r queueRef) *Queue {
	atAddress := x.queueAt(r.host, r.prefix)
	if atAddress != nil && atAddress.Name == r.name {
		return atAddress
	}
	if named := x.queuesByName[r.name]; len(named) == 1 {
		return named[0]
	}
	return atAddress
}

// keepRemovedQueues updates removedQueues before another configuration takes effect.
func (m *Machine) keepRemovedQueues(next *queueIndex) {
	kept := map[queueRef]*Queue{}
	seen := map[queueRef]bool{}
	for _, j := range m.liveJobs {
		r := j.queueRef()
		if seen[r] {
			continue
		}
		seen[r] = true
		if next.resolve(r) != nil {
			continue
		}
		if q := m.index.resolve(r); q != nil {
			kept[r] = q
		} else if q := m.removedQueues[r]; q != nil {
			kept[r] = q
		}
	}
	m.removedQueues = kept
}

// QueueOf returns the queue of a job, or nil if it is not configured.
func (v *View) QueueOf(j *Job) *Queue { return v.m.index.resolve(j.queueRef()) }

// LastQueueOf returns the queue of a job, or its last definition if it has been removed from the
// configuration, or nil if that is not known here.
func (v *View) LastQueueOf(j *Job) *Queue {
	if q := v.QueueOf(j); q != nil {
		return q
	}
	return v.m.removedQueues[j.queueRef()]
}

// CountPending returns the number of jobs of a queue of which no unit has started.
func (v *View) CountPending(q *Queue) int {
	n := 0
	for _, j := range v.m.liveJobs {
		if j.State == Queued && v.QueueOf(j) == q {
			n++
		}
	}
	return n
}
