package place

import (
	"testing"

	"github.com/matryer/is"
)

// Many workers are announced as leaving at short notice. Guards against runs that work on
// until they are lost with their worker, and against stopping those that still complete.
func TestDoomedRunsAreStopped(t *testing.T) {
	for _, tc := range []struct {
		name               string
		leavesInMS, leftMS int64
		checkpoints        bool
		stopped            bool
	}{
		{"completes in time", 5000, 4000, false, false},
		{"about as long, and the worker may stay longer", 5000, 6000, false, false},
		{"far too long", 1700, 8000, false, true},
		{"too long, but works on before it saves", 5000, 8000, true, false},
		{"too long, and saves now", 1000, 8000, true, true},
		{"the worker may be gone at any time", -200, 500, false, true},
		{"nearly done", -200, 250, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w := worker("a", "r1")
			w.LeavesInMS = tc.leavesInMS
			r := addRun(w, "j", small, 2, tc.leftMS)
			r.Checkpoints = tc.checkpoints
			p := Decide(&Snapshot{Leaving: []*Worker{w}})
			is.Equal(len(p.Evacuated) == 1, tc.stopped)
			is.Equal(len(p.Stops), 0) // no room is made
		})
	}
}

// Guards against a gang whose other units work on although one of them is doomed, and
// against a unit that is placed on a worker that leaves.
func TestGangIsEvacuatedAsAWhole(t *testing.T) {
	is := is.New(t)
	leaving, sound := worker("a", "r1"), worker("b", "r1")
	leaving.LeavesInMS = 1000
	for _, w := range []*Worker{leaving, sound} {
		addRun(w, "gang", large, 1, 8000).Gang = "gang.0.0"
	}
	other := addRun(sound, "other", small, 2, 8000)
	p := Decide(&Snapshot{Workers: []*Worker{sound}, Leaving: []*Worker{leaving}, Groups: []*Group{group("next", 1, 1, large, 1)}})
	is.Equal(len(p.Evacuated), 2)
	is.True(!other.Stopping)
	is.Equal(len(p.Starts), 0) // the sound worker is still in use
}
