package place

import (
	"testing"

	"github.com/matryer/is"
)

// A unit has failed on one worker, and the only other one with its label has no room. Guards against a unit that never
// runs again although a worker is idle, and against one that returns there while others may
// soon have room.
func TestAvoidanceOfWorkerEnds(t *testing.T) {
	const failedMS = 100000
	startedAfter := func(ms int64, busy bool, prepare func(*Group)) bool {
		g := group("j", 1, 1, small, 1)
		g.Avoid = map[string]int64{"a": failedMS}
		prepare(g)
		g.Step.RequiredLabel = "l"
		a, b := worker("a", "r1"), worker("b", "r1")
		a.Labels, b.Labels = []string{"l"}, []string{"l"}
		addRun(b, "lasting", wholeWorker, 1, NoEnd)
		s := &Snapshot{NowMS: failedMS + ms, Workers: []*Worker{a, b}, Groups: []*Group{g}}
		if !busy {
			s.Workers = append(s.Workers, worker("c", "r2"), worker("d", "r2"))
		}
		p := Decide(s)
		return len(startsOf(p, "j")) == 1 && startsOf(p, "j")[0] == "a"
	}
	plain := func(*Group) {}
	for name, c := range map[string]struct {
		busy    bool
		prepare func(*Group)
		limitMS int64
	}{
		"busy":    {true, plain, AvoidanceMS},
		"idle":    {false, plain, idleAvoidanceMS},
		"lasting": {true, func(g *Group) { g.Step.LongRunning = true }, idleAvoidanceMS},
		"urgent":  {true, func(g *Group) { g.Priority = 0 }, idleAvoidanceMS},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(startedAfter(c.limitMS-1, c.busy, c.prepare), false)
			is.Equal(startedAfter(c.limitMS, c.busy, c.prepare), true)
		})
	}
}

// As above, with a gang that needs both workers, of which it has failed on one. Guards against a gang
// that waits for a third one.
func TestGangReturnsToWorkerOfItsFailure(t *testing.T) {
	is := is.New(t)
	g := gang(group("j", 1, 2, wholeWorker, 1))
	g.Avoid = map[string]int64{"a": 0}
	occupied := worker("c", "r1")
	addRun(occupied, "lasting", wholeWorker, 1, NoEnd)
	p := Decide(&Snapshot{NowMS: AvoidanceMS, Workers: []*Worker{worker("a", "r1"), worker("b", "r1"), occupied}, Groups: []*Group{g}})
	is.Equal(len(startsOf(p, "j")), 2)
}

// Guards against a unit that prefers the worker of its failure once it may use it again: by fit, the
// partly used worker would come first.
func TestWorkerOfAFailureIsTheLastChoice(t *testing.T) {
	is := is.New(t)
	g := group("j", 1, 1, small, 1)
	g.Avoid = map[string]int64{"a": 0}
	a := worker("a", "r1")
	addRun(a, "other", small, 1, 9000)
	p := Decide(&Snapshot{NowMS: AvoidanceMS, Workers: []*Worker{a, worker("b", "r1")}, Groups: []*Group{g}})
	is.Equal(startsOf(p, "j"), []string{"b"})
}
