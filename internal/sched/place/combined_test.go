package place

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/sched/share"
)

// Tests of settings and measurements that apply together: economical preemption, shares of
// customers, and workers that differ in speed.

// Guards against stops on fast workers for an urgent gang that lose more than its own work
// although preemption is economical.
func TestEconomicalStopsOnFastWorkersAreLimited(t *testing.T) {
	for _, tc := range []struct {
		name       string
		lostMS     int64
		guaranteed bool
		stops      int
		waits      WaitReason
	}{
		{"more is lost than its own work", 9000, false, 0, StopsTooCostly},
		{"less is lost", 7000, false, 1, ""},
		{"guaranteed", 9000, true, 1, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := withSpeeds(100, 0.6, 1)
			s.Preemption = Economical
			for i, w := range s.Workers {
				addRun(w, fmt.Sprint("old", i), large, 2, 60_000).LostMS = tc.lostMS
			}
			g := urgent("u", 1, 2000, 0) // 2,000 ms at four times the weight of the others
			g.Guaranteed = tc.guaranteed
			s.Groups = []*Group{g}
			is.Equal(len(Decide(s).Stops), tc.stops)
			is.Equal(g.Waits, tc.waits)
		})
	}
}

// Guards against an urgent gang, or urgent units, that wait under economical preemption for
// the ends of runs on workers too slow to complete there in time.
func TestWaitForEndsCountsSpeed(t *testing.T) {
	for _, tc := range []struct {
		name   string
		gang   bool
		speed  float64
		leftMS int64
		waits  WaitReason
	}{
		{"gang, common speed", true, 1, 600, WaitsForEnds},
		{"gang, slow worker, ends soon", true, 0.8, 300, WaitsForEnds},
		{"gang, slow worker", true, 0.8, 600, ""},
		{"units, common speed", false, 1, 600, WaitsForEnds},
		{"units, slow worker", false, 0.8, 600, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := withSpeeds(100, tc.speed)
			s.Preemption = Economical
			s.Workers[0].SpeedSD = 0.001
			addRun(s.Workers[0], "old", large, 2, tc.leftMS).LostMS = 2000
			g := urgent("u", 1, 2000, 0) // 3,250 ms for 2,300 ms with the margin
			g.Step.Gang = tc.gang
			s.Groups = []*Group{g}
			is.Equal(len(Decide(s).Stops) == 0, tc.waits == WaitsForEnds)
			is.Equal(g.Waits, tc.waits)
		})
	}
}

// Guards against urgent gangs that wait for fast workers and use up the reservations of less
// urgent gangs, whose workers small units would then take.
func TestWaitsForFastLeaveReservationsToOthers(t *testing.T) {
	is := is.New(t)
	s := &Snapshot{NowMS: 100_000, SpeedSpread: 0.4, UrgentSpeed: 1 / 1.5}
	add := func(id string, speed float64) *Worker {
		w := withSpeeds(1, speed).Workers[0]
		w.ID = id
		s.Workers = append(s.Workers, w)
		return w
	}
	for i := range maxGangReservations {
		addRun(add(fmt.Sprint("fast", i), 1), "old", large, 0, 300)
		s.Groups = append(s.Groups, urgent(fmt.Sprint("u", i), 1, 2000, 0))
	}
	free, partly := add("free", 0.6), add("partly", 0.6)
	addRun(partly, "old", small, 0, 9000)
	calm := withTarget(gang(group("calm", 1, 2, large, 90)), 2000, 0, 90_000)
	s.Groups = append(s.Groups, calm, group("small", 2, 8, small, 99))
	p := Decide(s)
	is.Equal(len(startsOf(p, "small")), 0)
	is.Equal(free.Free.Accelerators, int64(0)) // reserved for calm
	is.Equal(partly.Free.Accelerators, int64(-1))
}

// Guards against an urgent gang that starts on suspect workers, for example cold ones, while
// others that meet its need are free.
func TestGangUsesSuspectWorkersLast(t *testing.T) {
	is := is.New(t)
	s := withSpeeds(100, 1, 1, 1.6, 1.6)
	s.Workers[0].Suspect, s.Workers[1].Suspect = true, true
	s.Groups = []*Group{urgent("u", 2, 2000, 0)}
	is.Equal(speedsOf(s, Decide(s), "u"), []string{"1.6", "1.6"})
	s = withSpeeds(100, 1, 1, 1.6)
	s.Workers[0].Suspect, s.Workers[1].Suspect = true, true
	s.Groups = []*Group{urgent("u", 2, 2000, 0)}
	is.Equal(len(Decide(s).Starts), 2) // a suspect worker rather than none
	s = withSpeeds(2, 1, 1, 1.6, 1.6)
	s.Workers[0].Suspect = true
	g := urgent("u", 2, 2000, 0)
	g.Step.SameRack = true
	s.Groups = []*Group{g}
	is.Equal(speedsOf(s, Decide(s), "u"), []string{"1.6", "1.6"})
}

// Guards against a gang that starves because its own customer starts small units all the time
// and other customers have a smaller use.
func TestLateGangDoesNotStarveBesideItsCustomersUnits(t *testing.T) {
	for seed := range uint64(5) {
		b := newBurst(seed, 2, 4)
		b.tickMS, b.shares = 100, share.NewTracker(10_000)
		for _, w := range b.workers {
			w.Running = w.Running[:1] // until the gang is late
			w.Running[0].LeftMS = 15_000
		}
		var seq uint64
		submit := func(customer, job string, g *Group) {
			seq++
			g.Job, g.Seq, g.SinceMS = job, seq, b.nowMS
			b.groups = append(b.groups, of(customer, g))
		}
		for i := range 600 {
			for k := range 2 + i%2 { // 64 of these fit, for 25 decisions each
				submit([]string{"mixed", "mixed", "other"}[k], fmt.Sprint("unit", seq), group("", 1, 1, small, 0))
			}
			if i == 50 {
				submit("mixed", "gang", gang(group("", 1, 2, large, 0)))
			}
			b.decide()
		}
		if !b.started["gang"] {
			t.Errorf("seed %d: the gang has not begun after %d ms", seed, b.nowMS-5000)
		}
	}
}

// Guards against room that is taken back from the smaller borrower because the runs of the
// larger one are in a cordoned zone or on workers that leave.
func TestBorrowedRoomCountsOnAllWorkers(t *testing.T) {
	is := is.New(t)
	var workers []*Worker
	for i, customer := range []string{"modest", "modest", "big", "big", "big"} {
		w := worker(fmt.Sprint("w", i), "r1")
		addRun(w, customer, large, 2, 60_000).Customer = customer
		workers = append(workers, w)
	}
	p := Decide(&Snapshot{
		Workers: workers[:3], Cordoned: workers[3:4], Leaving: workers[4:],
		Groups: []*Group{of("new", urgentGang("urgent", 1, 0))}, Use: map[string]float64{},
	})
	is.Equal(len(p.Stops), 1)
	is.Equal(p.Stops[0].Customer, "big")
}

// Guards against a plan whose cost grows with the product of the workers and the units of an
// urgent step that may not have enough runs stopped.
func TestPlanCostsOncePerWorkerForUrgentUnits(t *testing.T) {
	const workers = 100
	allocs := func(units int) float64 {
		var all []*Worker
		for i := range workers {
			w := worker(fmt.Sprintf("w%03d", i), "r1")
			addRun(w, "old", large, 2, 60_000).LostMS = 60_000
			all = append(all, w)
		}
		return testing.AllocsPerRun(5, func() {
			for _, w := range all {
				w.cachedByCost, w.cachedByEnd, w.awaitedMS = nil, nil, 0
				w.Free = w.Capacity.Sub(large)
			}
			g := urgentGang("units", units, 0)
			g.Step.Gang = false
			Decide(&Snapshot{Workers: all, Groups: []*Group{g}, Preemption: Economical})
			if g.Waits != StopsTooCostly {
				t.Fatal("the units do not wait because of the cost of stops")
			}
		})
	}
	few, many := allocs(2), allocs(40)
	t.Logf("%.0f allocations for 2 units, %.0f for 40", few, many)
	if many > few+10*workers {
		t.Errorf("%.0f allocations for 2 units, %.0f for 40", few, many)
	}
}

// Guards against one pass over the stops for urgent units that finds other numbers of units
// than a search for each number.
func TestAffordableUnitsIsTheLargestNumber(t *testing.T) {
	partial := 0
	for seed := range uint64(20) {
		s := mixedSnapshot(seed)
		s.Preemption = []Preemption{Eager, Economical}[seed%2]
		groups := s.Groups
		s.Groups = nil
		d := &decision{snapshot: s, racks: map[string]*rack{}, gangs: map[string][]*Running{}}
		d.prepare()
		for _, g := range groups {
			g.Step.Gang, g.Priority, g.Claims = false, 0, nil
			g.Total, g.Step.EstimateMS = 60, g.Step.EstimateMS/20
			want := g.Total
			for ; want > 0; want-- {
				if _, _, ok := d.cheapestEviction(g, s.Workers, want, d.stopLimit(g, want)); ok {
					break
				}
			}
			if want > 0 && want < g.Total {
				partial++
			}
			if got := d.affordableUnits(g, s.Workers, g.Total); got != want {
				t.Fatalf("seed %d, %s: %d units instead of %d", seed, g.Job, got, want)
			}
		}
	}
	if partial == 0 {
		t.Error("no group has stops for some of its units only")
	}
}
