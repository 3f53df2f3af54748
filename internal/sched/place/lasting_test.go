package place

import (
	"testing"

	"github.com/matryer/is"
)

// A gang needs a worker on which a unit runs until its job is cancelled. Guards against room that is
// held back from other groups for a gang that cannot start.
func TestGangBehindRunWithoutEndReservesNothing(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", "r1"), worker("b", "r1")
	addRun(a, "lasting", small, 1, NoEnd)
	next := group("small", 2, 8, small, 3)
	p := Decide(&Snapshot{Workers: []*Worker{a, b}, Groups: []*Group{gang(group("gang", 1, 2, large, 2)), next}})
	is.Equal(len(startsOf(p, "gang")), 0)
	is.Equal(len(startsOf(p, "small")), 8)
}

// As above, with workers on which only runs with an end are in the way. Guards against a gang that
// gets no reservation there, or one on the worker with the run that has no end.
func TestGangReservesBesideRunWithoutEnd(t *testing.T) {
	is := is.New(t)
	a, b, c := worker("a", "r1"), worker("b", "r1"), worker("c", "r1")
	addRun(a, "lasting", small, 1, NoEnd)
	addRun(b, "ends", small, 1, 9000)
	next := group("small", 1, 24, small, 3)
	p := Decide(&Snapshot{Workers: []*Worker{a, b, c}, Groups: []*Group{gang(group("gang", 1, 2, large, 2)), next}})
	is.Equal(len(startsOf(p, "gang")), 0)
	is.Equal(startsOf(p, "small"), []string{"a", "a", "a", "a", "a", "a", "a"})
}

// An urgent gang could wait for runs to end in time, and one of them has no end. Guards against
// waiting for it instead of stopping it.
func TestUrgentGangDoesNotAwaitRunWithoutEnd(t *testing.T) {
	is := is.New(t)
	a := worker("a", "r1")
	lasting := addRun(a, "lasting", small, 2, NoEnd)
	g := gang(group("gang", 0, 1, large, 2))
	g.Step.EstimateMS, g.LengthMS, g.CompleteByMS = 8000, 8000, 60000
	p := Decide(&Snapshot{Workers: []*Worker{a}, Groups: []*Group{g}, Preemption: Economical})
	is.Equal(p.Stops, []*Running{lasting})
}

// Guards against a run without an end that is lost with its worker, and against stopping it long
// before.
func TestRunWithoutEndIsStoppedShortlyBeforeItsWorkerLeaves(t *testing.T) {
	is := is.New(t)
	for leavesInMS, stopped := range map[int64]int{5000: 0, 1000: 1} {
		w := worker("a", "r1")
		w.LeavesInMS = leavesInMS
		addRun(w, "lasting", small, 1, NoEnd)
		is.Equal(len(Decide(&Snapshot{Leaving: []*Worker{w}}).Evacuated), stopped)
	}
}
