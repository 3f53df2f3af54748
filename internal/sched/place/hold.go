package place

import "teaselpaddle.example/teaselpaddle/internal/batch"

// Room is held for groups that wait for runs to end. The load that bounds this: a gang that needs
// almost all workers waits for one long run, or for one that takes far longer than estimated, while
// everything else is idle. Other groups would wait as long as the gang does. So while most of a
// service's capacity is free, held room delays a group for a limited time only. A gang still has its turn
// first if what it waits for ends within that time.
const (
	// longestHoldMS is the time for which a group may wait for room that is held for others.
	longestHoldMS = 8000
	// promptHoldMS replaces it for units that have to be at work at a set time: those of an
	// occurrence that is due, and those that last. The latter must be back within 3 s of a loss, however
	// full the service is.
	promptHoldMS = 2000
)

// hold reserves room on a worker for n units of a group that waits for runs to end.
func (d *decision) hold(g *Group, w *Worker, n int) {
	d.reserve(g, w, n)
	if w.held == (batch.Resources{}) {
		d.heldOn = append(d.heldOn, w)
	}
	for range n {
		w.held = w.held.Add(g.Step.Need)
	}
}

// mayUseHeld reports whether a group has waited so long that no room is held back from it, be it for
// other groups or as headroom.
func (d *decision) mayUseHeld(g *Group) bool {
	waited := d.snapshot.NowMS - g.SinceMS
	switch {
	case g.Step.LongRunning:
		return waited >= promptHoldMS
	case !d.mostlyFree[g.Service]:
		return false
	case g.HasDueTime:
		return waited >= promptHoldMS
	}
	return waited >= longestHoldMS
}

// lendHeld makes the room free that is held for others until returnHeld is called.
func (d *decision) lendHeld() {
	d.lentOn, d.heldOn = d.heldOn, nil
	for _, w := range d.lentOn {
		w.lent, w.held = w.held, batch.Resources{}
		w.addFree(w.lent)
	}
}

// returnHeld takes the room back. What was used of it is missing when the runs have ended for which
// it is held; the next decision chooses anew.
func (d *decision) returnHeld() {
	for _, w := range d.lentOn {
		w.addFree(batch.Resources{}.Sub(w.lent))
		if w.held == (batch.Resources{}) {
			d.heldOn = append(d.heldOn, w)
		}
		w.held, w.lent = w.held.Add(w.lent), batch.Resources{}
	}
	d.lentOn = nil
}

// usesLent reports whether what was placed on a worker uses room that is held for others.
func (w *Worker) usesLent() bool {
	return w.lent != (batch.Resources{}) && !w.Free.Sub(w.lent).Fits(batch.Resources{})
}

// addFree adds to the free resources of a worker.
func (w *Worker) addFree(r batch.Resources) {
	before := max(w.Free.Accelerators, 0)
	w.Free = w.Free.Add(r)
	w.rack.addFree(w, max(w.Free.Accelerators, 0)-before)
}

// lightlyUsed returns the services of which less than idleShare of the capacity of the given workers
// is in use.
func lightlyUsed(lists ...[]*Worker) map[string]bool {
	capacity, free := map[string]batch.Resources{}, map[string]batch.Resources{}
	for _, workers := range lists {
		for _, w := range workers {
			capacity[w.Service] = capacity[w.Service].Add(w.Capacity)
			free[w.Service] = free[w.Service].Add(w.Free)
		}
	}
	used := func(f, a int64) float64 { return 1 - float64(f)/float64(max(a, 1)) }
	light := map[string]bool{}
	for service, c := range capacity {
		f := free[service]
		light[service] = max(used(f.Accelerators, c.Accelerators), used(f.CPU, c.CPU), used(f.MemoryMB, c.MemoryMB)) < idleShare
	}
	return light
}
