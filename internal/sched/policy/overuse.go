package policy

import (
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/estimate"
)

// Limits on jobs that use more than they declared. See docs/decisions/0005-order.md.
const (
	// overTimeFactor times the declared run time, corrected upwards by what was
	// seen of the customer, is the limit from which a job that blocks another is
	// told to checkpoint; from twice the limit it is stopped.
	overTimeFactor = 2
	// minOverTime keeps jobs of seconds from being stopped for a slow start.
	minOverTime = time.Minute
	// overMemoryPercent of the declared memory is when a job is throttled, and
	// stopMemoryPercent when it is stopped.
	overMemoryPercent = 110
	stopMemoryPercent = 150
)

// overTime is how many limits an attempt has run for: 0 if it is within its
// time, 1 from its limit, 2 from twice its limit.
func (d *decision) overTime(r *sched.Running) int {
	if d.s.rules.NoOveruse || r.StartedAt.IsZero() {
		return 0
	}
	c := d.correction(r.Customer)
	limit := overTimeFactor * max(estimate.Of(&r.Spec, c).High, estimate.Of(&r.Spec, sched.Correction{}).High)
	limit = max(limit, minOverTime)
	return min(int(d.now.Sub(r.StartedAt)/limit), 2)
}

// overuse acts on the attempts that block a held worker while they are over
// their declared time. Attempts in a guarantee block nobody: the cell is their
// customer's.
func (d *decision) overuse(k int) {
	for _, h := range d.s.on[k] {
		r := h.Run
		if !r.Borrowed || r.Stopping {
			continue
		}
		switch over := d.overTime(r); {
		case over >= 2:
			d.act(r, sched.Stop, model.ReasonOverTime)
		case over == 1 && r.Spec.Repeatable && !r.Checkpointed:
			d.act(r, sched.Checkpoint, model.ReasonOverTime)
		}
	}
}

// act adds an action once per attempt.
func (d *decision) act(r *sched.Running, kind sched.ActionKind, reason model.Reason) {
	if d.gone[r.ID] {
		return
	}
	for i := range d.plan.Actions {
		if d.plan.Actions[i].ID == r.ID {
			return
		}
	}
	d.plan.Actions = append(d.plan.Actions, sched.Action{ID: r.ID, Kind: kind, Reason: reason})
}

// overMemory throttles and then stops attempts over their declared memory on
// workers whose memory that makes short for the others.
func (d *decision) overMemory() {
	if d.s.rules.NoOveruse || len(d.s.overMem) == 0 {
		return
	}
	var rs []*sched.Running
	for _, r := range d.s.overMem {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, compareRuns)
	for _, r := range rs {
		if r.Stopping || r.Spec.MemoryMiB == 0 || !d.short(r) {
			continue
		}
		percent := r.UsedMemoryMiB * 100 / r.Spec.MemoryMiB
		switch {
		case percent >= stopMemoryPercent && r.Throttled:
			d.act(r, sched.Stop, model.ReasonOverMemory)
		case percent >= overMemoryPercent && !r.Throttled:
			d.act(r, sched.Throttle, model.ReasonOverMemory)
		}
	}
}

// short reports whether a worker of r that others use too has less memory than
// its attempts use or have declared.
func (d *decision) short(r *sched.Running) bool {
	for i := range r.Placement {
		k := d.s.cells.Index(r.Placement[i].Worker)
		if k < 0 || len(d.s.on[k]) < 2 {
			continue
		}
		sum := 0
		for _, h := range d.s.on[k] {
			sum += max(h.Amount.MemoryMiB, h.Amount.Slots*h.Run.UsedMemoryMiB)
		}
		if sum > d.s.cells.Workers[k].MemoryMiB {
			return true
		}
	}
	return false
}
