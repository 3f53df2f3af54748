package place

// A worker on which a unit has failed may fail it again, so the unit prefers others. It waits for room on
// them for a limited time only: they may be in use for as long as a job lasts, and the failure may
// have been the unit's own. After that time the worker is the last choice.

// AvoidanceMS is the longest time for which a group waits for other workers than those on which a unit of
// it has failed, ms. A worker that fails what it starts is suspended by then. Under low load, for
// urgent groups and for units that last, the time is idleAvoidanceMS: others have room at once, or
// none for long.
const (
	AvoidanceMS     = 10000
	idleAvoidanceMS = 1500
)

// avoids reports whether a group must not use a worker for now.
func (d *decision) avoids(g *Group, worker string) bool {
	failedMS, failed := g.Avoid[worker]
	if !failed {
		return false
	}
	limit := int64(AvoidanceMS)
	if d.idle[g.Service] || g.Priority == 0 || g.Step.LongRunning {
		limit = idleAvoidanceMS
	}
	return d.snapshot.NowMS-failedMS < limit
}

// avoidsAny reports whether there are workers that a group must not use for now.
func (d *decision) avoidsAny(g *Group) bool {
	for worker := range g.Avoid {
		if d.avoids(g, worker) {
			return true
		}
	}
	return false
}

// failedOn reports whether a unit of the group has failed on a worker.
func (g *Group) failedOn(w *Worker) bool {
	_, failed := g.Avoid[w.ID]
	return failed
}
