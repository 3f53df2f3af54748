package place

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// urgentGang returns a gang of whole-worker units that takes 2.5 s and must be complete
// within 1.5 times that and 250 ms.
func urgentGang(job string, n int, sinceMS int64) *Group {
	g := gang(group(job, 0, n, large, uint64(sinceMS)))
	g.Step.EstimateMS, g.LengthMS = 2500, 2500
	g.SinceMS, g.CompleteByMS = sinceMS, sinceMS+2500*3/2+250
	return g
}

func ownWork(g *Group) int64 {
	return int64(g.Total) * lostWork(&Running{Need: g.Step.Need, Priority: g.Priority, LostMS: g.Step.EstimateMS})
}

// Guards against a burst of urgent gangs over a full deployment that stops more work than
// it brings, and against gangs that never begin because stops are too costly.
func TestBurstStopsLessThanItBrings(t *testing.T) {
	lostWith := func(seed uint64, p Preemption) int64 {
		b := newBurst(seed, 4, 6)
		b.tickMS, b.preemption = 100, p
		for _, w := range b.workers {
			lasts := 500 + b.rnd.Int64N(7000)
			for _, r := range w.Running {
				r.LeftMS, r.LostMS = lasts, 7600-lasts
			}
		}
		own := map[string]int64{}
		var lost int64
		for i := range 150 {
			if i < 8 {
				g := urgentGang(fmt.Sprint("urgent", i), 1+b.rnd.IntN(5), b.nowMS)
				own[g.Job] = ownWork(g)
				b.groups = append(b.groups, g)
			}
			b.decide()
		}
		for job, l := range b.lost {
			lost += l
			if p == Economical && l >= own[job] {
				t.Errorf("seed %d: stops for %s lose %d, and its own work is %d", seed, job, l, own[job])
			}
		}
		if len(b.groups) > 0 {
			t.Errorf("seed %d: %s has not started", seed, b.groups[0].Job)
		}
		return lost
	}
	var eager, economical int64
	for seed := range uint64(30) {
		eager += lostWith(seed, Eager)
		economical += lostWith(seed, Economical)
	}
	t.Logf("lost: %d eager, %d economical", eager, economical)
	if economical >= eager {
		t.Errorf("economical stops lose %d, eager ones %d", economical, eager)
	}
}

// Guards against a guaranteed gang that begins after its bound of 2.7 s because it waits for
// runs that do not end when they should, or because the stops lose much.
func TestGuaranteedGangBeginsWithinItsBound(t *testing.T) {
	for seed := range uint64(20) {
		b := newBurst(seed, 2, 4)
		b.tickMS, b.preemption = 100, Economical
		g := urgentGang("sure", 1+b.rnd.IntN(4), 0)
		g.Guaranteed = true
		b.groups = append(b.groups, g)
		for !b.started["sure"] && b.nowMS <= guaranteeBoundMS {
			for _, w := range b.workers {
				for _, r := range w.Running {
					r.LeftMS, r.LostMS = 300, 60_000 // as estimated, at each time
				}
			}
			b.decide()
			if b.nowMS <= guaranteedWaitMS-300 && len(b.stops) > 0 {
				t.Fatalf("seed %d: runs are stopped at %d ms", seed, b.nowMS)
			}
		}
		if !b.started["sure"] {
			t.Errorf("seed %d: the gang has not begun after %d ms", seed, b.nowMS)
		}
	}
}

// Guards against stops for an urgent gang that completes in time after runs that end by
// themselves, against a gang that is late because it waits for runs that end too late, and
// against stops that lose more work than the gang has.
func TestUrgentGangWaitsForEndsInTime(t *testing.T) {
	for _, tc := range []struct {
		name                string
		leftMS, lostMS, now int64
		guaranteed          bool
		stops               int
		waits               WaitReason
	}{
		{"ends in time", 1000, 2000, 0, false, 0, WaitsForEnds},
		{"ends too late", 1500, 2000, 0, false, 8, ""},
		{"less time is left", 1000, 2000, 500, false, 8, ""},
		{"ends too late, and much is lost", 9000, 60_000, 0, false, 0, StopsTooCostly},
		{"guarantee, ends early", 800, 2000, 0, true, 0, WaitsForEnds},
		{"guarantee, ends after a third of the bound", 1000, 2000, 0, true, 8, ""},
		{"guarantee, much is lost", 9000, 60_000, 0, true, 8, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			w := worker("a", "r1")
			for i := range 8 {
				addRun(w, fmt.Sprint("r", i), small, 2, tc.leftMS).LostMS = tc.lostMS
			}
			w.Running[7].LeftMS = tc.leftMS / 2
			g := urgentGang("urgent", 1, 0)
			g.Guaranteed = tc.guaranteed
			p := Decide(&Snapshot{Workers: []*Worker{w}, Groups: []*Group{g, group("small", 2, 8, small, 9)}, NowMS: tc.now, Preemption: Economical})
			is.Equal(len(p.Stops), tc.stops)
			is.Equal(g.Waits, tc.waits)
			is.Equal(len(p.Starts), 0)
			is.True(w.Free.Accelerators < 0) // its room is reserved
		})
	}
}

// Guards against a gang that is spared because each of its units is counted with the lost
// work of all, and against stops on workers where another group waits for ends.
func TestStoppedGangCountsOnce(t *testing.T) {
	is := is.New(t)
	var workers []*Worker
	for i := range 5 {
		w := worker(fmt.Sprint("w", i), "r1")
		r := addRun(w, "medium", large, 1, 9000)
		r.Gang, r.LostMS, r.Ref.Index = "medium.0.0", 3000, i
		workers = append(workers, w)
	}
	soon := worker("soon", "r1")
	addRun(soon, "nearly", large, 2, 300).LostMS = 100
	first, second := urgentGang("first", 1, 0), urgentGang("second", 5, 1)
	p := Decide(&Snapshot{Workers: append(workers, soon), Groups: []*Group{first, second}, Preemption: Economical})
	is.Equal(first.Waits, WaitsForEnds)
	is.Equal(len(p.Stops), 5) // 5 x 3,000 ms at half the weight of its own 5 x 2,500 ms
	for _, r := range p.Stops {
		is.Equal(r.Ref.Job, "medium")
	}
}

// Guards against units that an urgent step stops for although others of its units can wait,
// and against room for more units than it has.
func TestUrgentUnitsStopOnlyForTheRest(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", "r1"), worker("b", "r1")
	addRun(a, "ends", large, 2, 400)
	for i := range 8 {
		addRun(b, fmt.Sprint("long", i), batch.Resources{CPU: 8000, MemoryMB: 32000, Accelerators: 1}, 2, 9000)
	}
	g := urgentGang("units", 2, 0)
	g.Step.Gang = false
	p := Decide(&Snapshot{Workers: []*Worker{a, b}, Groups: []*Group{g}, Preemption: Economical})
	is.Equal(len(p.Stops), 8)
	for _, r := range p.Stops {
		is.Equal(r.onWorker.ID, "b")
	}
}

// Guards against an urgent job that never has runs stopped because its own work, with a
// need and an estimate that a job may state, exceeds an int64.
func TestOwnWorkDoesNotOverflow(t *testing.T) {
	is := is.New(t)
	d := &decision{snapshot: &Snapshot{Preemption: Economical}}
	g := urgentGang("urgent", 1, 0)
	is.Equal(d.stopLimit(g, 1), ownWork(g))
	g.Step.Need, g.Step.EstimateMS = batch.Resources{Accelerators: 1 << 28}, 1<<30
	is.True(d.stopLimit(g, 1) > 1<<60)
}
