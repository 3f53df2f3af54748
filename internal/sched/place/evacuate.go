package place

import "teaselpaddle.example/teaselpaddle/internal/sched/mechanism"

// A worker that leaves takes with it what it runs. A run that cannot complete there in
// time is stopped while the worker is still there, for three reasons: its unit can start
// elsewhere at once, while the end of a run on a lost worker is certain only after its
// lease; a run with checkpoints saves its work when it is stopped; and the other units of
// a gang do not work on for nothing. A run without an end works until shortly before.

const (
	// savingMS is the time before a worker leaves at which its runs with checkpoints, or without
	// an end, are stopped, ms: enough for the order and for a stop, which takes up to 0.9 s.
	savingMS = 1300
	// doomedFactor and doomedMarginMS tell when a run without checkpoints is given up. Its
	// remaining time is an estimate, and a worker often stays longer than it must.
	doomedFactor   = 1.5
	doomedMarginMS = 300
)

// evacuate orders the stop of the runs that cannot complete on workers that leave. A
// gang is stopped as a whole.
func (d *decision) evacuate() {
	if d.snapshot.Off[mechanism.Evacuation] {
		return
	}
	for _, w := range d.snapshot.Leaving {
		for _, r := range w.Running {
			if !r.Stopping && isDoomed(r, w.LeavesInMS) {
				before := len(d.plan.Stops)
				d.stop(r, "")
				d.plan.Evacuated = append(d.plan.Evacuated, d.plan.Stops[before:]...)
				d.plan.Stops = d.plan.Stops[:before]
			}
		}
	}
}

// isDoomed reports whether a run is to be stopped because its worker may leave in
// leavesInMS.
func isDoomed(r *Running, leavesInMS int64) bool {
	if r.LeftMS <= leavesInMS {
		return false
	}
	if r.Checkpoints || r.LeftMS == NoEnd {
		return leavesInMS <= savingMS
	}
	return float64(r.LeftMS) > doomedFactor*float64(max(leavesInMS, 0))+doomedMarginMS
}
