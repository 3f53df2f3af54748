package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

var wholeWorker = batch.Resources{CPU: 64000, MemoryMB: 256000, Accelerators: 8}

func worker(id, rack string) *Worker {
	return &Worker{ID: id, Rack: rack, Service: "s", Capacity: wholeWorker, Free: wholeWorker}
}

// addRun adds a run to a worker.
func addRun(w *Worker, job string, need batch.Resources, prio int, leftMS int64) *Running {
	r := &Running{Ref: batch.UnitRef{Job: job}, Run: 1, Need: need, Priority: prio, LeftMS: leftMS, LostMS: 1000}
	w.Free = w.Free.Sub(need)
	w.Running = append(w.Running, r)
	return r
}

func group(job string, prio, n int, need batch.Resources, seq uint64) *Group {
	g := &Group{Job: job, Step: &batch.Step{Count: n, Need: need}, Service: "s", Priority: prio, Total: n, Seq: seq}
	for i := range n {
		g.Waiting = append(g.Waiting, i)
	}
	return g
}

func gang(g *Group) *Group {
	g.Step.Gang = true
	return g
}

func startsOf(p Plan, job string) []string {
	var out []string
	for _, s := range p.Starts {
		if s.Group.Job == job {
			out = append(out, s.Worker)
		}
	}
	return out
}

var (
	large = batch.Resources{CPU: 26000, MemoryMB: 140000, Accelerators: 8}
	small = batch.Resources{CPU: 5600, MemoryMB: 16000, Accelerators: 1}
)

// TestSmallUnitsDoNotStarveGangs guards against small units that use each
// worker as soon as a part of it is free, so that a gang of whole-worker units
// never starts. It occurs in a burst of gangs among many small units.
func TestSmallUnitsDoNotStarveGangs(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", "r1"), worker("b", "r1")
	addRun(a, "old", small, 2, 1000)
	waiting := group("small", 2, 16, small, 1)
	p := Decide(&Snapshot{Workers: []*Worker{a, b}, Groups: []*Group{waiting, gang(group("gang", 1, 2, large, 2))}})
	is.Equal(len(startsOf(p, "gang")), 0)  // one of its workers is not free yet
	is.Equal(len(startsOf(p, "small")), 0) // both workers are reserved for the gang
	is.Equal(len(p.Stops), 0)              // but nothing is stopped for the gang
}

// TestGangReservesEarliestWorkers guards against a gang that reserves workers
// which become free last.
func TestGangReservesEarliestWorkers(t *testing.T) {
	is := is.New(t)
	a, b, c := worker("a", "r1"), worker("b", "r1"), worker("c", "r1")
	addRun(a, "x", large, 1, 9000)
	addRun(b, "y", large, 1, 500)
	addRun(c, "z", large, 1, 8000)
	p := Decide(&Snapshot{Workers: []*Worker{a, b, c}, Groups: []*Group{gang(group("gang", 1, 1, large, 1)), group("small", 2, 3, small, 2)}})
	is.Equal(len(p.Starts), 0)
	is.Equal(b.Free.Accelerators, int64(-8)) // reserved
}

// TestGangStartsWholeOrNotAtAll guards against a gang of which only a part
// starts.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []*Worker
		for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
			w := worker(fmt.Sprint("w", i), fmt.Sprint("r", i%2))
			for range rapid.IntRange(0, 8).Draw(t, "running") {
				addRun(w, "old", small, rapid.IntRange(0, 2).Draw(t, "prio"), rapid.Int64Range(0, 3000).Draw(t, "left"))
			}
			workers = append(workers, w)
		}
		var groups []*Group
		for i := range rapid.IntRange(1, 5).Draw(t, "groups") {
			need := rapid.SampledFrom([]batch.Resources{large, small}).Draw(t, "need")
			g := group(fmt.Sprint("j", i), rapid.IntRange(0, 2).Draw(t, "prio"), rapid.IntRange(1, 6).Draw(t, "count"), need, uint64(i))
			g.Step.Gang = rapid.Bool().Draw(t, "gang")
			g.Step.SameRack = rapid.Bool().Draw(t, "rack")
			g.Guaranteed = g.Priority == 0 && rapid.Bool().Draw(t, "sure")
			g.Customer = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer")
			g.Step.EstimateMS = rapid.Int64Range(0, 5000).Draw(t, "estimate")
			g.CompleteByMS = rapid.Int64Range(0, 40000).Draw(t, "by")
			groups = append(groups, g)
		}
		s := &Snapshot{Workers: workers, Groups: groups, NowMS: rapid.Int64Range(0, 20000).Draw(t, "now")}
		s.Preemption = rapid.SampledFrom([]Preemption{Eager, Economical}).Draw(t, "preemption")
		if rapid.Bool().Draw(t, "shares") {
			s.Use = map[string]float64{"a": 0.5}
		}
		p := Decide(s)
		used := map[string]batch.Resources{}
		for _, w := range workers {
			for _, r := range w.Running {
				used[w.ID] = used[w.ID].Add(r.Need)
			}
		}
		for _, g := range groups {
			n := len(startsOf(p, g.Job))
			if g.Step.Gang && n != 0 && n != g.Total {
				t.Fatalf("%d of %d units of a gang start", n, g.Total)
			}
		}
		for _, s := range p.Starts {
			used[s.Worker] = used[s.Worker].Add(s.Group.Step.Need)
		}
		for id, u := range used {
			if !wholeWorker.Fits(u) {
				t.Fatalf("worker %s holds %+v of %+v", id, u, wholeWorker)
			}
		}
		for _, r := range p.Stops {
			if r.Priority == 0 && !slices.ContainsFunc(groups, func(g *Group) bool { return g.Guaranteed }) {
				t.Fatal("an urgent run is stopped although no guarantee is claimed")
			}
		}
	})
}

// TestReclaimStopsCheapestRuns guards against a reclaim that loses more work
// than it must, and against another stop for resources that a stop in progress
// already frees. Both occur when urgent gangs arrive while less urgent work
// fills every worker.
func TestReclaimStopsCheapestRuns(t *testing.T) {
	is := is.New(t)
	a, b := worker("a", "r1"), worker("b", "r2")
	expensive := addRun(a, "dear", large, 1, 5000)
	expensive.LostMS = 8000
	var cheap []*Running
	for i := range 8 {
		r := addRun(b, fmt.Sprint("cheap", i), small, 2, 5000)
		cheap = append(cheap, r)
	}
	urgent := gang(group("urgent", 0, 2, batch.Resources{CPU: 7500, MemoryMB: 22000, Accelerators: 2}, 1))
	urgent.Guaranteed = true
	urgent.Step.SameRack = true
	p := Decide(&Snapshot{Workers: []*Worker{a, b}, Groups: []*Group{urgent}})
	is.Equal(len(p.Starts), 0)
	is.Equal(len(p.Stops), 4)
	for _, r := range p.Stops {
		is.True(slices.Contains(cheap, r))
	}
	for _, r := range cheap {
		if slices.Contains(p.Stops, r) {
			r.Stopping = true
		}
	}
	next := &Snapshot{Workers: []*Worker{worker("a", "r1"), worker("b", "r2")}, Groups: []*Group{urgent}}
	next.Workers[0].Free = next.Workers[0].Free.Sub(large)
	for _, r := range cheap {
		next.Workers[1].Free = next.Workers[1].Free.Sub(r.Need)
		next.Workers[1].Running = append(next.Workers[1].Running, r)
		if r.Stopping {
			next.Workers[1].Releasing = next.Workers[1].Releasing.Add(r.Need)
		}
	}
	next.Workers[0].Running = []*Running{expensive}
	is.Equal(len(Decide(next).Stops), 0)
}

// TestFailedUnitAvoidsItsWorker guards against a unit that starts where it
// failed before, while other workers are free, and against one that never
// starts because it failed everywhere.
func TestFailedUnitAvoidsItsWorker(t *testing.T) {
	is := is.New(t)
	g := group("j", 1, 1, small, 1)
	g.Avoid = map[string]int64{"a": 0}
	p := Decide(&Snapshot{Workers: []*Worker{worker("a", "r1"), worker("b", "r1")}, Groups: []*Group{g}})
	is.Equal(startsOf(p, "j"), []string{"b"})
	g = group("j", 1, 1, small, 1)
	g.Avoid = map[string]int64{"a": 0}
	p = Decide(&Snapshot{Workers: []*Worker{worker("a", "r1")}, Groups: []*Group{g}})
	is.Equal(startsOf(p, "j"), []string{"a"})
}

// TestDataRack guards against units that run far from their data although its
// rack has free capacity, and against units that wait for a full rack forever.
func TestDataRack(t *testing.T) {
	is := is.New(t)
	withDataRack := func() *Group {
		g := group("j", 1, 1, small, 1)
		g.Step.DataRack = "r2"
		return g
	}
	p := Decide(&Snapshot{Workers: []*Worker{worker("a", "r1"), worker("b", "r2")}, Groups: []*Group{withDataRack()}})
	is.Equal(startsOf(p, "j"), []string{"b"})
	full := worker("b", "r2")
	addRun(full, "x", large, 1, 9000)
	p = Decide(&Snapshot{Workers: []*Worker{worker("a", "r1"), full}, Groups: []*Group{withDataRack()}, NowMS: 100})
	is.Equal(len(p.Starts), 0)
	full = worker("b", "r2")
	addRun(full, "x", large, 1, 9000)
	p = Decide(&Snapshot{Workers: []*Worker{worker("a", "r1"), full}, Groups: []*Group{withDataRack()}, NowMS: busyLocalityWaitMS + 1})
	is.Equal(startsOf(p, "j"), []string{"a"})
}

// TestMaxPerWorker guards against more units of a step on one worker than the
// step allows.
func TestMaxPerWorker(t *testing.T) {
	is := is.New(t)
	g := group("j", 1, 4, small, 1)
	g.Step.MaxPerWorker = 2
	g.UnitsOn = map[string]int{"a": 1}
	p := Decide(&Snapshot{Workers: []*Worker{worker("a", "r1"), worker("b", "r1")}, Groups: []*Group{g}})
	got := startsOf(p, "j")
	slices.Sort(got)
	is.Equal(got, []string{"a", "b", "b"})
}

// TestLeastUrgentUnitsLeaveHeadroom guards against racks that a wide step of
// the least urgent queue fills to the last accelerator, so that each urgent
// gang that arrives later has to stop runs that have just begun; and against
// capacity beyond the headroom that stays unused.
func TestLeastUrgentUnitsLeaveHeadroom(t *testing.T) {
	is := is.New(t)
	s := &Snapshot{Groups: []*Group{group("wide", 2, 100, batch.Resources{CPU: 1000, MemoryMB: 1000, Accelerators: 1}, 1)}}
	for i := range 8 {
		s.Workers = append(s.Workers, worker(fmt.Sprint("w", i), "r1"))
	}
	s.Groups[0].CompleteByMS = 30000
	p := Decide(s)
	is.Equal(len(p.Starts), 48) // of 64
	urgent := gang(group("urgent", 0, 2, batch.Resources{CPU: 1000, MemoryMB: 1000, Accelerators: 8}, 2))
	urgent.Step.SameRack = true
	next := &Snapshot{Groups: []*Group{urgent}}
	for _, w := range s.Workers {
		next.Workers = append(next.Workers, &Worker{ID: w.ID, Rack: w.Rack, Service: "s", Capacity: wholeWorker, Free: w.Free})
	}
	p = Decide(next)
	is.Equal(len(p.Starts), 2)
	is.Equal(len(p.Stops), 0)
}

// TestHeadroomNeverBlocksUnits guards against units that never start because
// they do not fit beside the headroom, or because their group has no
// CompleteByMS to derive the wait from.
func TestHeadroomNeverBlocksUnits(t *testing.T) {
	is := is.New(t)
	big := group("big", 2, 1, batch.Resources{Accelerators: 8}, 1)
	big.CompleteByMS = 30000
	p := Decide(&Snapshot{Workers: []*Worker{worker("a", "r1")}, Groups: []*Group{big}})
	is.Equal(len(p.Starts), 1)
	p = Decide(&Snapshot{NowMS: 1, Workers: []*Worker{worker("a", "r1")}, Groups: []*Group{group("aimless", 2, 8, batch.Resources{Accelerators: 1}, 1)}})
	is.Equal(len(p.Starts), 8)
}

// TestUnitsWaitForTheirDataUnderLoad guards against units that run away from
// their data on a heavy day because its racks are full: each then takes several
// times the accelerator time that it would have waited for. It also guards
// against units that wait for a data rack which has no worker any more.
func TestUnitsWaitForTheirDataUnderLoad(t *testing.T) {
	startsAfter := func(waitedMS int64, racks ...string) []string {
		var workers []*Worker
		for _, r := range racks {
			full := worker("full-"+r, r)
			for i := range 8 {
				addRun(full, fmt.Sprintf("old-%s-%d", r, i), small, 0, 9000)
			}
			workers = append(workers, full)
		}
		workers = append(workers, worker("free", "r2"))
		g := group("new", 1, 1, small, 1)
		g.Step.DataRack = "r1"
		return startsOf(Decide(&Snapshot{Workers: workers, Groups: []*Group{g}, NowMS: waitedMS}), "new")
	}
	is := is.New(t)
	is.Equal(len(startsAfter(30_000, "r1", "r3")), 0)
	is.Equal(startsAfter(busyLocalityWaitMS+1, "r1", "r3"), []string{"free"})
	is.Equal(startsAfter(0, "r3", "r4"), []string{"free"})
}

// TestLessUrgentRunIsStopped guards against stopping a run of medium urgency
// for an urgent unit, although stopping a least urgent one would lose little
// more.
func TestLessUrgentRunIsStopped(t *testing.T) {
	stopped := func(lostMS int64) string {
		medium, least := worker("m", "r1"), worker("l", "r1")
		addRun(medium, "medium", wholeWorker, 1, 9000)
		addRun(least, "least", wholeWorker, 2, 9000).LostMS = lostMS
		p := Decide(&Snapshot{Workers: []*Worker{medium, least}, Groups: []*Group{group("urgent", 0, 1, wholeWorker, 1)}})
		if len(p.Stops) != 1 {
			t.Fatalf("%d runs are stopped", len(p.Stops))
		}
		return p.Stops[0].Ref.Job
	}
	is := is.New(t)
	is.Equal(stopped(1500), "least") // the medium one loses 1,000 ms
	is.Equal(stopped(2500), "medium")
}

// Guards against decisions that depend on the order in which earlier groups left shared
// lists of workers: groups with a worker to avoid have lists of their own.
func TestSharedCandidatesChangeNothing(t *testing.T) {
	describe := func(seed uint64, avoid map[string]int64) string {
		s := fullSnapshot(40, 30)
		rnd := rand.New(rand.NewPCG(seed, 1))
		for _, w := range s.Workers {
			for len(w.Running) > 0 && rnd.IntN(3) == 0 {
				w.Free = w.Free.Add(w.Running[0].Need)
				w.Running = w.Running[1:]
			}
		}
		rnd.Shuffle(len(s.Groups), func(i, k int) { s.Groups[i], s.Groups[k] = s.Groups[k], s.Groups[i] })
		for i, g := range s.Groups {
			g.Avoid, g.Seq = avoid, uint64(i)
		}
		p := Decide(s)
		out := ""
		for _, x := range p.Starts {
			out += fmt.Sprintln("start", x.Group.Job, x.Unit, x.Worker)
		}
		for _, x := range p.Stops {
			out += fmt.Sprintln("stop", x.Ref, x.onWorker.ID, x.For)
		}
		return out
	}
	for seed := range uint64(30) {
		is := is.New(t)
		is.True(describe(seed, nil) != "")
		is.Equal(describe(seed, nil), describe(seed, map[string]int64{"no such worker": 0}))
	}
}
