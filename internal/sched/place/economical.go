package place

import (
	"math"
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/mechanism"
)

// Preemption tells when runs are stopped for a group that may have them stopped.
//
// The load behind Economical: bursts of urgent gangs over a full deployment. With Eager,
// each of them stops runs at once, although most would complete in time in the room of runs
// that end by themselves; on two days with trouble, 2,167 of 14,784 runs were stopped.
type Preemption string

const (
	// Eager stops runs as soon as the group does not fit. An empty Preemption is Eager.
	Eager Preemption = "eager"
	// Economical stops runs only for a group that could not complete in time in the room
	// of runs that end by themselves, and only if less work is lost than the group's own.
	// A group with a guarantee waits for a third of guaranteeBoundMS at most, and what
	// is lost does not matter then.
	Economical Preemption = "economical"
)

// Valid reports whether p is known.
func (p Preemption) Valid() bool { return p == "" || p == Eager || p == Economical }

// WaitReason tells why no runs are stopped for a group that could have them stopped.
type WaitReason string

const (
	// WaitsForEnds is the reason of a group that completes in time in the room of runs
	// that end by themselves.
	WaitsForEnds WaitReason = "runs_end_in_time"
	// StopsTooCostly is the reason of a group for which no set of stops loses less work
	// than its own.
	StopsTooCostly WaitReason = "stops_too_costly"
)

const (
	// guaranteeBoundMS is the time from the acceptance of a job with a guarantee within
	// which it must begin.
	guaranteeBoundMS = 2700
	// guaranteedWaitMS leaves two thirds of the bound for the stops, which take up to
	// 0.9 s, and for a second choice if a worker is lost meanwhile.
	guaranteedWaitMS = guaranteeBoundMS / 3
	// lengthMargin is applied to the estimated length of a group. A gang ends with its
	// slowest unit, and units of a step differ by 15 to 30 %.
	lengthMargin = 1.15
)

// longestWaitMS returns for how long a group can still wait for its start on workers of a
// speed without being late, or less than 0 if it cannot wait.
func (d *decision) longestWaitMS(g *Group, logSpeed float64) int64 {
	wait := g.CompleteByMS - d.snapshot.NowMS - int64(lengthMargin*float64(scaledMS(g.LengthMS, logSpeed)))
	if g.Guaranteed {
		wait = min(wait, g.SinceMS+guaranteedWaitMS-d.snapshot.NowMS)
		if d.snapshot.Off[mechanism.GuaranteeWait] {
			return -1
		}
	}
	return wait
}

// stopLimit returns the lost work that n units of a group do not reach by stops: their own
// work in the unit of lostWork. There is no limit for a guarantee, because it must begin
// within its bound, or for a group without an estimate.
func (d *decision) stopLimit(g *Group, n int) int64 {
	if d.snapshot.Preemption != Economical || g.Guaranteed || g.Step.EstimateMS <= 0 {
		return math.MaxInt64
	}
	// Need and EstimateMS are up to maxResource of package batch, so their product can exceed
	// an int64.
	perMS := lostWork(&Running{Need: g.Step.Need, Priority: g.Priority})
	return int64(min(float64(n)*float64(perMS)*float64(g.Step.EstimateMS+1), math.MaxInt64/2))
}

// awaitGang reserves the room of runs that end by themselves for a gang that completes in
// time there. It reports whether it did.
func (d *decision) awaitGang(g *Group, sets [][]*Worker) bool {
	if d.snapshot.Preemption != Economical {
		return false
	}
	longest := d.longestWaitMS(g, fastestIn(sets))
	if longest < 0 {
		return false
	}
	slots := d.earliestSet(g, sets, longest)
	if slots == nil || slots[len(slots)-1].freeInMS > d.longestWaitMS(g, slowestSlot(slots)) {
		return false
	}
	d.awaitSlots(g, slots)
	g.Waits = WaitsForEnds
	return true
}

// awaitUnits does the same for up to need units of a step that is not a gang, and returns
// their number.
func (d *decision) awaitUnits(g *Group, workers []*Worker, need int) int {
	if d.snapshot.Preemption != Economical || need == 0 {
		return 0
	}
	longest := d.longestWaitMS(g, fastestIn([][]*Worker{workers}))
	if longest < 0 {
		return 0
	}
	slots := slices.DeleteFunc(d.earliestSlots(g, workers, longest), func(s slot) bool {
		return s.freeInMS > d.longestWaitMS(g, s.worker.cautious)
	})
	n := min(len(slots), need)
	d.awaitSlots(g, slots[:n])
	if n == need {
		g.Waits = WaitsForEnds
	}
	return n
}

// waitForStart reserves the earliest room for a group for which nothing is stopped although
// it cannot complete in time by waiting. Without it, less urgent units would take that room.
func (d *decision) waitForStart(g *Group, sets [][]*Worker, need int) {
	if d.snapshot.Preemption != Economical || need == 0 {
		return
	}
	g.Waits = StopsTooCostly
	if !d.mayReserve(g) {
		return
	}
	d.countReservation(g)
	if g.Step.Gang {
		slots := d.earliestSet(g, sets, math.MaxInt64)
		d.awaitSlots(g, slots)
		return
	}
	slots := d.earliestSlots(g, sets[0], math.MaxInt64)
	d.awaitSlots(g, slots[:min(need, len(slots))])
}

// awaitSlots reserves slots. The runs that free them are not stopped for other groups.
func (d *decision) awaitSlots(g *Group, slots []slot) {
	for _, s := range slots {
		d.hold(g, s.worker, 1)
		s.worker.awaitedMS = max(s.worker.awaitedMS, s.freeInMS)
	}
}

// awaited reports whether a group waits for the end of a run.
func (r *Running) awaited() bool {
	return r.onWorker.awaitedMS > 0 && remainingMS(r) <= r.onWorker.awaitedMS
}

// freeBesideAwaited returns what stops in progress will free on a worker, where the groups
// that wait for the ends of runs take the room of these runs.
func freeBesideAwaited(w *Worker) batch.Resources {
	free := freeAfterStops(w)
	if w.awaitedMS == 0 {
		return free
	}
	with := free
	for _, r := range w.Running {
		if !r.Stopping && r.awaited() {
			with = with.Add(r.Need)
		}
	}
	// The rest of the room of these runs is not free before they have ended.
	return batch.Resources{
		CPU:          min(with.CPU, max(free.CPU, 0)),
		MemoryMB:     min(with.MemoryMB, max(free.MemoryMB, 0)),
		Accelerators: min(with.Accelerators, max(free.Accelerators, 0)),
	}
}
