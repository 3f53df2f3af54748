package place

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against room in a cordoned zone that is placed on, claimed, reserved or counted,
// and against runs that are stopped there to make room: every other worker is full, and one
// in the zone is free.
func TestCordonedWorkersAreLeftOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free, busy, full := worker("a", "r1"), worker("b", "r1"), worker("c", "r1")
		addRun(busy, "x", large, 2, 9000)
		r := addRun(full, "y", large, rapid.IntRange(0, 2).Draw(t, "prio"), 9000)
		g := group("next", rapid.IntRange(0, 2).Draw(t, "prio"), rapid.IntRange(1, 3).Draw(t, "units"), large, 1)
		g.Step.Gang = rapid.Bool().Draw(t, "gang")
		g.Step.SameRack = rapid.Bool().Draw(t, "rack")
		g.Guaranteed = g.Priority == 0 && rapid.Bool().Draw(t, "guaranteed")
		g.Claims = []Claim{{Worker: "a", Units: 1}}
		s := &Snapshot{Workers: []*Worker{full}, Cordoned: []*Worker{free, busy}, Groups: []*Group{g}}
		if rapid.Bool().Draw(t, "all") {
			s.Workers, s.Cordoned = nil, append(s.Cordoned, full)
		}
		p := Decide(s)
		if len(p.Starts) > 0 || len(p.Unplaced) != 1 {
			t.Fatalf("starts %v, groups that wait %d", p.Starts, len(p.Unplaced))
		}
		for _, stopped := range p.Stops {
			if stopped != r || len(s.Workers) == 0 {
				t.Fatalf("run of %s is stopped", stopped.Ref.Job)
			}
		}
		for _, c := range g.Claims {
			if c.Worker != "c" {
				t.Fatalf("room on %s is claimed", c.Worker)
			}
		}
		if free.Free != wholeWorker {
			t.Fatal("room in the cordoned zone is reserved")
		}
	})
}

// Guards against a gang of which the members in a cordoned zone work on alone after the
// others were stopped to make room.
func TestGangInCordonedZoneIsStoppedAsAWhole(t *testing.T) {
	is := is.New(t)
	cordoned, open := worker("a", "r1"), worker("b", "r1")
	for _, w := range []*Worker{cordoned, open} {
		addRun(w, "gang", large, 1, 8000).Gang = "gang.0.0"
	}
	p := Decide(&Snapshot{Workers: []*Worker{open}, Cordoned: []*Worker{cordoned}, Groups: []*Group{group("urgent", 0, 1, large, 1)}})
	is.Equal(len(p.Stops), 2)
}

func guaranteedGang(job string, units int, seq uint64) *Group {
	g := gang(group(job, 0, units, large, seq))
	g.Guaranteed = true
	return g
}

// A gang with a guarantee lost its place with a cordon while a younger one waits for room.
// Guards against the younger one keeping that room if there is not enough for both.
func TestOldestGuaranteeTakesClaimedRoom(t *testing.T) {
	is := is.New(t)
	w := worker("a", "r1")
	r := addRun(w, "x", large, 2, 9000)
	r.Stopping, w.Releasing = true, large
	younger := guaranteedGang("younger", 1, 2)
	younger.Claims = []Claim{{Worker: "a", Units: 1}}
	older := guaranteedGang("older", 1, 1)
	Decide(&Snapshot{Workers: []*Worker{w}, Cordoned: []*Worker{worker("b", "r1")}, Groups: []*Group{younger, older}})
	is.Equal(older.Claims, []Claim{{Worker: "a", Units: 1}})
	is.Equal(len(younger.Claims), 0)
}

// Guaranteed runs fill the room beside a cordoned zone, and one of its workers becomes
// free. Guards against smaller guaranteed gangs that take each such worker, so that the
// oldest, which needs two, never starts.
func TestOldestGuaranteeReservesRoom(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", "r1"), worker("b", "r1")
	addRun(a, "x", large, 0, 9000).Guaranteed = true
	older, younger := guaranteedGang("older", 2, 1), guaranteedGang("younger", 1, 2)
	s := &Snapshot{Workers: []*Worker{a, b}, Cordoned: []*Worker{worker("c", "r1")}, Groups: []*Group{younger, older}}
	is.Equal(len(Decide(s).Starts), 0)
}
