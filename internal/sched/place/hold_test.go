package place

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// behindGang decides on two workers for a gang that needs both and a group of one small unit behind
// it. One of the workers has a run that still takes a minute; other workers are full if busy is set. It returns
// the starts of the group.
func behindGang(waitedMS int64, busy bool, change func(g *Group)) []Placement {
	s := &Snapshot{NowMS: 100_000, Workers: []*Worker{worker("a", "r1"), worker("b", "r1")}}
	addRun(s.Workers[0], "long", small, 1, 60_000)
	if busy {
		for i := range 4 {
			w := worker(fmt.Sprint("full", i), "r2")
			addRun(w, "full", wholeWorker, 0, 90_000)
			s.Workers = append(s.Workers, w)
		}
	}
	next := group("small", 1, 1, small, 3)
	next.SinceMS = s.NowMS - waitedMS
	change(next)
	waiting := gang(group("gang", 1, 2, large, 2))
	waiting.SinceMS = s.NowMS - 20_000
	s.Groups = []*Group{waiting, next}
	return Decide(s).Starts
}

// A gang waits for a run that takes long, on workers that are idle otherwise. Guards against groups
// that wait for as long as the gang does, and against groups that take the gang's room at once.
func TestHeldRoomIsLentAfterAWhile(t *testing.T) {
	plain := func(*Group) {}
	due := func(g *Group) { g.HasDueTime = true }
	lasting := func(g *Group) { g.Step.LongRunning = true }
	for _, tc := range []struct {
		name     string
		waitedMS int64
		busy     bool
		change   func(g *Group)
		started  int
	}{
		{"just come", 1000, false, plain, 0},
		{"before the limit", longestHoldMS - 1, false, plain, 0},
		{"after the limit", longestHoldMS, false, plain, 1},
		{"under load", 60_000, true, plain, 0},
		{"just due", promptHoldMS - 1, false, due, 0},
		{"due", promptHoldMS, false, due, 1},
		{"due under load", 60_000, true, due, 0},
		{"lasting", promptHoldMS, false, lasting, 1},
		{"lasting under load", promptHoldMS, true, lasting, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			starts := behindGang(tc.waitedMS, tc.busy, tc.change)
			is.Equal(len(starts), tc.started)
			if tc.started > 0 {
				is.Equal(starts[0].Worker, "a") // beside the long run, so that the gang needs no other end
				is.True(starts[0].Lent)
			}
		})
	}
}

// Gangs of all priorities wait among runs of any length under low load. Guards against any
// combination in which a unit that has waited long does not start although there is room for it.
func TestNoRoomIsHeldForLongUnderLowLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Snapshot{NowMS: 100_000}
		for i := range rapid.IntRange(2, 8).Draw(t, "workers") {
			w := worker(fmt.Sprint("w", i), fmt.Sprint("r", i%3))
			if rapid.Bool().Draw(t, "used") {
				addRun(w, "old", small, rapid.IntRange(0, 2).Draw(t, "runPrio"), rapid.SampledFrom([]int64{300, 5000, 60_000, NoEnd}).Draw(t, "left"))
			}
			s.Workers = append(s.Workers, w)
		}
		s.Preemption = rapid.SampledFrom([]Preemption{Eager, Economical}).Draw(t, "preemption")
		for i := range rapid.IntRange(1, 4).Draw(t, "gangs") {
			units := max(len(s.Workers)-rapid.IntRange(0, 2).Draw(t, "spare"), 1)
			g := gang(group(fmt.Sprint("gang", i), rapid.IntRange(0, 2).Draw(t, "prio"), units, large, uint64(i)))
			g.Guaranteed = g.Priority == 0 && rapid.Bool().Draw(t, "sure")
			g.Step.EstimateMS, g.LengthMS = 8000, 8000
			g.CompleteByMS = s.NowMS + rapid.Int64Range(-5000, 60_000).Draw(t, "by")
			g.SinceMS = s.NowMS - rapid.Int64Range(0, 20_000).Draw(t, "gangWaited")
			s.Groups = append(s.Groups, g)
		}
		need := small
		need.Accelerators = rapid.Int64Range(0, 7).Draw(t, "need")
		next := group("next", rapid.IntRange(0, 2).Draw(t, "nextPrio"), 1, need, 100)
		next.SinceMS = s.NowMS - longestHoldMS
		next.CompleteByMS = s.NowMS + rapid.Int64Range(-5000, 60_000).Draw(t, "nextBy")
		s.Groups = append(s.Groups, next)
		p := Decide(s)
		started := 0
		for _, st := range p.Starts {
			if st.Group != next {
				started++ // no longer idle: the room went to gangs
			}
		}
		if started == 0 && len(p.Stops) == 0 && len(startsOf(p, "next")) != 1 {
			t.Fatal("a unit waits beside idle workers")
		}
	})
}

// Guards against the load of another service that prolongs the wait for the data's rack on idle
// workers, and against a unit that lasts and waits for it for longer than it may be away.
func TestLocalityWaitFollowsTheLoadOfTheService(t *testing.T) {
	is := is.New(t)
	decide := func(lasting, ownLoad bool) int {
		s := &Snapshot{NowMS: 100_000}
		near, far, other := worker("near", "r1"), worker("far", "r2"), worker("other", "r3")
		other.Service = "other"
		addRun(near, "x", wholeWorker, 0, 9000)
		addRun(other, "y", wholeWorker, 0, 9000)
		s.Workers = []*Worker{near, far, other}
		for i := range 2 {
			s.Workers = append(s.Workers, worker(fmt.Sprint("more", i), "r2"))
		}
		if ownLoad {
			for _, w := range s.Workers[3:] {
				addRun(w, "z", wholeWorker, 0, 9000)
			}
		} else {
			for i := range 4 {
				w := worker(fmt.Sprint("busy", i), "r3")
				w.Service = "other"
				addRun(w, "y", wholeWorker, 0, 9000)
				s.Workers = append(s.Workers, w)
			}
		}
		g := group("g", 1, 1, small, 1)
		g.Step.DataRack, g.Step.LongRunning = "r1", lasting
		g.SinceMS = s.NowMS - idleLocalityWaitMS
		s.Groups = []*Group{g}
		return len(Decide(s).Starts)
	}
	is.Equal(decide(false, false), 1)
	is.Equal(decide(false, true), 0)
	is.Equal(decide(true, true), 1)
}
