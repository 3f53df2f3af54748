package place

import (
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// Claim is space on a worker for units of a group that waits there for stops to end. The
// plan that orders the stops makes the claim, and the next snapshot returns it.
//
// Stops end one after the other, and each decision in between would choose anew: another
// urgent group takes the space that the first ones freed, because it costs nothing more,
// and the group that they were stopped for stops others. In a burst of urgent gangs, a
// gang of three workers stopped 76 runs in five rounds and waited for a second.
type Claim struct {
	Worker string
	Units  int
}

// holdClaims reserves the claimed space of all groups before any group is placed, so
// that no other group takes it. Claims that no longer hold are dropped: a worker is not
// usable any more, or its space will not be free after the stops in progress.
func (d *decision) holdClaims() {
	if !slices.ContainsFunc(d.snapshot.Groups, func(g *Group) bool { return len(g.Claims) > 0 }) {
		return
	}
	d.byID = map[string]*Worker{}
	for _, w := range d.snapshot.Workers {
		d.byID[w.ID] = w
	}
	for _, g := range d.snapshot.Groups {
		valid := len(g.Waiting) > 0
		for i, c := range g.Claims {
			w := d.byID[c.Worker]
			if w == nil || unitsThatFit(g, w, freeAfterStops(w)) < c.Units {
				d.releaseClaims(g, g.Claims[:i])
				valid = false
				break
			}
			d.reserve(g, w, c.Units)
		}
		if !valid {
			g.Claims = nil
		}
	}
}

// releaseClaims undoes the reservation of claims.
func (d *decision) releaseClaims(g *Group, claims []Claim) {
	for _, c := range claims {
		d.unreserve(g, d.byID[c.Worker], c.Units)
	}
}

// unreserve undoes reserve.
func (d *decision) unreserve(g *Group, w *Worker, n int) {
	w.promised -= n
	for range n {
		w.addFree(g.Step.Need)
	}
	g.UnitsOn[w.ID] -= n
}

// keepClaims reserves up to need units of a group in the space that it claimed before,
// without further stops. It returns the number of units that are left.
func (d *decision) keepClaims(g *Group, need int) int {
	claims := g.Claims
	g.Claims = nil
	for _, c := range claims {
		w := d.byID[c.Worker]
		n := min(c.Units, need, unitsThatFit(g, w, freeAfterStops(w)))
		d.claim(g, w, n)
		need -= n
	}
	return need
}

// claim reserves space for n units on a worker until the stops there have ended.
func (d *decision) claim(g *Group, w *Worker, n int) {
	if n == 0 {
		return
	}
	d.reserve(g, w, n)
	g.Claims = append(g.Claims, Claim{Worker: w.ID, Units: n})
}

// yieldClaims drops the claims of groups without a guarantee for one that has it and
// finds no room beside them. It reports whether there were any. While zones are cordoned,
// the guarantees may exceed the room that is left, so younger guaranteed groups yield to
// older ones as well.
func (d *decision) yieldClaims(g *Group) bool {
	yielded := false
	if !g.Guaranteed {
		return false
	}
	for _, other := range d.snapshot.Groups {
		yields := !other.Guaranteed || len(d.snapshot.Cordoned) > 0 && other.Seq > g.Seq
		if other != g && yields && len(other.Claims) > 0 {
			d.releaseClaims(other, other.Claims)
			other.Claims = nil
			yielded = true
		}
	}
	return yielded
}

// freeAfterStops returns the resources of a worker that are free once the stops
// in progress have ended.
func freeAfterStops(w *Worker) batch.Resources { return w.Free.Add(w.Releasing) }
