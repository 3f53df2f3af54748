package policy

import (
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/estimate"
)

// Limits on jobs that use more than they declared. See
// docs/decisions/0005-order.md.
const (
	// runTimeLimitFactor times the declared run time, or the time corrected by
	// the customer's history if that is longer, is the run time limit. A job
	// that blocks another one is told to checkpoint when it reaches the limit
	// and is stopped at twice the limit.
	runTimeLimitFactor = 2
	// minRunTimeLimit keeps jobs that declare a few seconds from being stopped
	// because of a slow start.
	minRunTimeLimit = time.Minute
	// throttleMemoryPercent of the declared memory is the use at which a job is
	// throttled, and stopMemoryPercent the use at which it is stopped.
	throttleMemoryPercent = 110
	stopMemoryPercent     = 150
)

// timeLimitsExceeded returns how many run time limits an attempt has exceeded:
// 0 if it is within its limit, 1 from its limit on, 2 from twice its limit on.
func (d *decision) timeLimitsExceeded(r *sched.Running) int {
	if d.state.rules.NoOveruse || r.StartedAt.IsZero() {
		return 0
	}
	c := d.correction(r.Customer)
	limit := runTimeLimitFactor * max(estimate.Of(&r.Spec, c).High, estimate.Of(&r.Spec, sched.Correction{}).High)
	limit = max(limit, minRunTimeLimit)
	return min(int(d.now.Sub(r.StartedAt)/limit), 2)
}

// enforceRunTime adds actions against the attempts that keep a reserved worker
// busy beyond their run time limit. Attempts in a guarantee are exempt: the
// cell belongs to their customer.
func (d *decision) enforceRunTime(k int) {
	for _, h := range d.state.heldOn[k] {
		r := h.Run
		if !r.Borrowed || r.Stopping {
			continue
		}
		switch over := d.timeLimitsExceeded(r); {
		case over >= 2:
			d.addAction(r, sched.Stop, model.ReasonOverTime)
		case over == 1 && r.Spec.Repeatable && !r.Checkpointed:
			d.addAction(r, sched.Checkpoint, model.ReasonOverTime)
		}
	}
}

// addAction adds an action unless the attempt is being preempted or already has
// one.
func (d *decision) addAction(r *sched.Running, kind sched.ActionKind, reason model.Reason) {
	if d.preempted[r.ID] {
		return
	}
	for i := range d.plan.Actions {
		if d.plan.Actions[i].ID == r.ID {
			return
		}
	}
	d.plan.Actions = append(d.plan.Actions, sched.Action{ID: r.ID, Kind: kind, Reason: reason})
}

// enforceMemory throttles, and later stops, attempts that exceed their declared
// memory on workers where this leaves too little memory for other attempts.
func (d *decision) enforceMemory() {
	if d.state.rules.NoOveruse || len(d.state.overMemory) == 0 {
		return
	}
	var rs []*sched.Running
	for _, r := range d.state.overMemory {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, compareRuns)
	for _, r := range rs {
		if r.Stopping || r.Spec.MemoryMiB == 0 || !d.memoryShort(r) {
			continue
		}
		percent := r.UsedMemoryMiB * 100 / r.Spec.MemoryMiB
		switch {
		case percent >= stopMemoryPercent && r.Throttled:
			d.addAction(r, sched.Stop, model.ReasonOverMemory)
		case percent >= throttleMemoryPercent && !r.Throttled:
			d.addAction(r, sched.Throttle, model.ReasonOverMemory)
		}
	}
}

// memoryShort reports whether a worker that r shares with other attempts has
// less memory than its attempts use or have declared, whichever is more for
// each of them.
func (d *decision) memoryShort(r *sched.Running) bool {
	for i := range r.Placement {
		k := d.state.cells.Index(r.Placement[i].Worker)
		if k < 0 || len(d.state.heldOn[k]) < 2 {
			continue
		}
		sum := 0
		for _, h := range d.state.heldOn[k] {
			sum += max(h.Amount.MemoryMiB, h.Amount.Slots*h.Run.UsedMemoryMiB)
		}
		if sum > d.state.cells.Workers[k].MemoryMiB {
			return true
		}
	}
	return false
}
