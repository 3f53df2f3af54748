package place

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// suspect marks units of a group as suspected.
func suspect(g *Group, suspicion int, units ...int) *Group {
	g.Suspects = map[int]int{}
	for _, i := range units {
		g.Suspects[i] = suspicion
	}
	return g
}

// A worker has crashed, and the units that ran on it start again. Guards against starting
// them beside other work or beside each other, where the next crash takes all of them along
// once more and tells nothing.
func TestSuspectsStartApart(t *testing.T) {
	is := is.New(t)
	var workers []*Worker
	for i := range 5 {
		workers = append(workers, worker(fmt.Sprint("w", i), "r1"))
	}
	addRun(workers[0], "other", small, 1, 5000)
	groups := []*Group{
		suspect(group("a", 1, 3, small, 1), 1, 0, 2),
		suspect(group("b", 1, 1, small, 2), 1, 0),
		group("new", 1, 4, small, 3),
	}
	p := Decide(&Snapshot{Workers: workers, Groups: groups})
	on := map[string]map[string]bool{}
	for _, s := range p.Starts {
		name := s.Group.Job
		if s.Group.Suspects[s.Unit] > 0 {
			name += " suspect"
		}
		if on[s.Worker] == nil {
			on[s.Worker] = map[string]bool{}
		}
		on[s.Worker][name] = true
	}
	is.Equal(len(p.Starts), 8)
	for w, names := range on {
		for _, name := range []string{"a suspect", "b suspect"} {
			if names[name] && (len(names) > 1 || w == "w0") {
				t.Errorf("%s runs on %s with %v", name, w, names)
			}
		}
	}
}

// Guards against several workers that are lost to the same job at a time, and against
// suspects that start while another one of their job is not proved.
func TestOneTestOfAJobAtATime(t *testing.T) {
	is := is.New(t)
	workers := []*Worker{worker("a", "r1"), worker("b", "r1"), worker("c", "r1")}
	p := Decide(&Snapshot{Workers: workers, Groups: []*Group{suspect(group("j", 1, 3, large, 1), 1, 0, 1, 2)}})
	is.Equal(len(p.Starts), 1)
	g := suspect(group("j", 1, 3, large, 1), 1, 0, 1)
	g.Tested = true
	p = Decide(&Snapshot{Workers: []*Worker{worker("a", "r1"), worker("b", "r1")}, Groups: []*Group{g}})
	is.Equal(len(p.Stops), 0)
	is.Equal(len(p.Starts), 1) // the one that is not suspected
	is.Equal(p.Starts[0].Unit, 2)
}

// Guards against a suspect of the least urgent step that is kept from the headroom of urgent
// gangs, on the one worker that is chosen for it again and again.
func TestTestMayUseHeadroom(t *testing.T) {
	is := is.New(t)
	w := worker("w", "r1")
	addRun(w, "old", batch.Resources{CPU: 1000, MemoryMB: 1000, Accelerators: 7}, 1, 60000).AgeMS = justBegunMS
	g := suspect(group("j", leastUrgent, 1, small, 1), 1, 0)
	g.CompleteByMS = 60000
	is.Equal(startsOf(Decide(&Snapshot{NowMS: 1, Workers: []*Worker{w}, Groups: []*Group{g}}), "j"), []string{"w"})
}

// Guards against a suspect that waits for an empty worker on a busy deployment, and
// against one that joins urgent work.
func TestSuspectTakesTheLeastAlong(t *testing.T) {
	is := is.New(t)
	urgent, two, one := worker("urgent", "r1"), worker("two", "r1"), worker("one", "r1")
	for _, r := range []*Running{addRun(urgent, "u", small, 0, 5000), addRun(two, "x", small, 1, 5000), addRun(two, "y", small, 1, 5000), addRun(one, "z", small, 1, 5000)} {
		r.AgeMS = justBegunMS
	}
	p := Decide(&Snapshot{Workers: []*Worker{urgent, two, one}, Groups: []*Group{suspect(group("j", 1, 1, small, 1), 2, 0)}})
	is.Equal(startsOf(p, "j"), []string{"one"})
}

// Guards against an urgent unit, suspected once for the crash of another, that gets no room
// because nothing is stopped for it; and against stopping work for one that is suspected again.
func TestRoomIsMadeForUnitSuspectedOnce(t *testing.T) {
	is := is.New(t)
	for suspicion, stops := range map[int]int{1: 1, 2: 0} {
		w := worker("w", "r1")
		addRun(w, "old", large, 2, 60000).Worker = "w"
		p := Decide(&Snapshot{Workers: []*Worker{w}, Groups: []*Group{suspect(group("j", 0, 1, large, 1), suspicion, 0)}})
		is.Equal(len(p.Stops), stops)
	}
}

// Guards against a gang with a suspected member that starts beside other work although there
// are empty workers.
func TestSuspectGangStartsApart(t *testing.T) {
	is := is.New(t)
	a, b, c := worker("a", "r1"), worker("b", "r1"), worker("c", "r1")
	addRun(a, "other", small, 1, 5000)
	half := small
	half.Accelerators = 4
	g := suspect(gang(group("gang", 1, 4, half, 1)), 1, 3)
	p := Decide(&Snapshot{Workers: []*Worker{a, b, c}, Groups: []*Group{g, group("new", 1, 1, small, 2)}})
	is.Equal(fmt.Sprint(startsOf(p, "gang")), "[b b c c]")
	is.Equal(startsOf(p, "new"), []string{"a"})
}

// In a burst, each free room is filled at once. Guards against a test beside a unit that has
// just begun, after which both are suspected.
func TestTestWaitsForRunsThatHaveJustBegun(t *testing.T) {
	is := is.New(t)
	w := worker("w", "r1")
	r := addRun(w, "new", small, 1, 5000)
	r.AgeMS = justBegunMS - 1
	s := &Snapshot{Workers: []*Worker{w}, Groups: []*Group{suspect(group("j", 1, 1, small, 1), 1, 0)}}
	is.Equal(len(Decide(s).Starts), 0)
	r.AgeMS++
	is.Equal(startsOf(Decide(s), "j"), []string{"w"})
}
