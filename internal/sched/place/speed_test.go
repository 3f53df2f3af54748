package place

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// plansWithoutSpeeds is the digest of the plans by the order without speeds, as of commit
// 6734a7a.
const plansWithoutSpeeds = "dea26cd442072c798be2c96646ff07478168f161ad3e99ac9afac4eee56f42c9"

// Guards against a deployment with equal workers that is scheduled otherwise than before
// speeds were known: starts, stops, claims and reservations of a busy region.
func TestEqualWorkersArePlannedAsBefore(t *testing.T) {
	is := is.New(t)
	h := sha256.New()
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		s := fullSnapshot(24+rnd.IntN(60), 10+rnd.IntN(40))
		for _, w := range s.Workers {
			for len(w.Running) > 0 && rnd.IntN(3) == 0 {
				w.Free = w.Free.Add(w.Running[0].Need)
				w.Running = w.Running[1:]
			}
			w.Suspect = rnd.IntN(8) == 0
		}
		for _, g := range s.Groups {
			g.Step.EstimateMS = 500 + rnd.Int64N(8000)
			g.SinceMS = s.NowMS - rnd.Int64N(4000)
			g.CompleteByMS = g.SinceMS + 250 + g.Step.EstimateMS*3/2
			if rnd.IntN(3) == 0 {
				g.Step.DataRack = fmt.Sprint("r", rnd.IntN(5))
			}
		}
		differ(rand.New(rand.NewPCG(seed, 8)), &Snapshot{Workers: s.Workers}) // ignored without a spread
		p := Decide(s)
		for _, x := range p.Starts {
			fmt.Fprintln(h, "start", x.Group.Job, x.Unit, x.Worker)
		}
		for _, x := range p.Stops {
			fmt.Fprintln(h, "stop", x.Ref, x.onWorker.ID, x.For)
		}
		for _, g := range s.Groups {
			fmt.Fprintln(h, "claims", g.Claims)
		}
		for _, w := range s.Workers {
			fmt.Fprintln(h, w.Free)
		}
	}
	is.Equal(hex.EncodeToString(h.Sum(nil)), plansWithoutSpeeds)
}

// formerStarts places units without regard to speeds: suspect workers last, then full
// workers on full racks first.
func formerStarts(workers []*Worker, groups []*Group) (out []string) {
	free, rackFree := map[*Worker]batch.Resources{}, map[string]int64{}
	for _, w := range workers {
		free[w] = w.Free
		rackFree[w.Rack] += w.Free.Accelerators
	}
	for _, g := range groups {
		order := slices.SortedFunc(slices.Values(workers), func(a, b *Worker) int {
			return cmp.Or(
				btoi(a.Suspect)-btoi(b.Suspect), cmp.Compare(rackFree[a.Rack], rackFree[b.Rack]), cmp.Compare(a.Rack, b.Rack),
				cmp.Compare(free[a].Accelerators, free[b].Accelerators), cmp.Compare(free[a].CPU, free[b].CPU), cmp.Compare(a.ID, b.ID))
		})
		fit := 0
		for _, w := range order {
			fit += free[w].CountFitting(g.Step.Need, g.Total)
		}
		if g.Step.Gang && fit < g.Total {
			return out // reservations follow
		}
		left := g.Total
		for _, w := range order {
			for ; left > 0 && free[w].Fits(g.Step.Need); left-- {
				free[w] = free[w].Sub(g.Step.Need)
				rackFree[w.Rack] -= g.Step.Need.Accelerators
				out = append(out, g.Job+" "+w.ID)
			}
		}
	}
	return out
}

// Guards against speeds, targets or observations that change the order of workers although
// the workers of the deployment are alike.
func TestOrderWithoutSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Snapshot{NowMS: 1000, UrgentSpeed: rapid.Float64Range(0, 2).Draw(t, "urgent")}
		s.SpeedSpread = rapid.SampledFrom([]float64{0, 0, minSpread / 2}).Draw(t, "spread")
		for i := range rapid.IntRange(1, 9).Draw(t, "workers") {
			w := worker(fmt.Sprint("w", i), fmt.Sprint("r", i%3))
			for range rapid.IntRange(0, 8).Draw(t, "running") {
				addRun(w, "old", small, 1, 100)
			}
			w.Suspect = rapid.IntRange(0, 5).Draw(t, "suspect") == 0
			w.Speed, w.SpeedSD = rapid.Float64Range(-1, 1).Draw(t, "speed"), rapid.Float64Range(0, 1).Draw(t, "sd")
			s.Workers = append(s.Workers, w)
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "groups") {
			g := group(fmt.Sprint("j", i), 1, rapid.IntRange(1, 9).Draw(t, "count"), rapid.SampledFrom([]batch.Resources{large, small}).Draw(t, "need"), uint64(i))
			g.Step.Gang = rapid.Bool().Draw(t, "gang")
			g.LengthMS, g.Step.EstimateMS, g.CompleteByMS = 2000, 2000, 3250
			s.Groups = append(s.Groups, g)
		}
		want := formerStarts(s.Workers, s.Groups)
		var got []string
		for _, x := range Decide(s).Starts {
			got = append(got, x.Group.Job+" "+x.Worker)
			if x.Speed != 0 {
				t.Fatal("a speed counts as decisive")
			}
		}
		if len(got) < len(want) || !slices.Equal(got[:len(want)], want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// withSpeeds returns a snapshot of workers of known speeds, named after their speed, in
// racks of the given size.
func withSpeeds(perRack int, speeds ...float64) *Snapshot {
	s := &Snapshot{NowMS: 100_000, SpeedSpread: 0.4, UrgentSpeed: 1 / 1.5}
	for i, v := range speeds {
		w := worker(fmt.Sprintf("%.1f-%d", v, i), fmt.Sprint("r", i/perRack))
		w.Speed, w.SpeedSD = math.Log(v), 0.05
		s.Workers = append(s.Workers, w)
	}
	return s
}

// urgent returns an urgent gang that has 1.5 times its length and 250 ms.
func urgent(job string, n int, lengthMS, waitedMS int64) *Group {
	return withTarget(gang(group(job, 0, n, large, 1)), lengthMS, waitedMS, 250+lengthMS*3/2)
}

func withTarget(g *Group, lengthMS, waitedMS, allowedMS int64) *Group {
	g.Step.EstimateMS, g.LengthMS = lengthMS, lengthMS
	g.SinceMS = 100_000 - waitedMS
	g.CompleteByMS = g.SinceMS + allowedMS
	return g
}

// speedsOf returns the speeds of the workers on which a job starts, in order.
func speedsOf(s *Snapshot, p Plan, job string) (out []string) {
	for _, id := range startsOf(p, job) {
		out = append(out, id[:3])
	}
	slices.Sort(out)
	return out
}

// Urgent gangs on workers of three speeds. Guards against a gang with one slow member,
// against a gang that mixes speeds or takes faster workers than it needs, and against a
// need that follows the error of the caller's estimate.
func TestUrgentGangTakesWorkersOfLikeSpeed(t *testing.T) {
	for _, tc := range []struct {
		name               string
		speeds             []float64
		lengthMS, waitedMS int64
		want               []string
	}{
		{"the slowest that suffice", []float64{0.6, 1.6, 1, 0.6, 1.6, 1}, 2000, 0, []string{"1.0", "1.0"}},
		{"the estimate is too long", []float64{0.6, 1.6, 1, 0.6, 1.6, 1}, 4900, 0, []string{"1.0", "1.0"}},
		{"the estimate is too short", []float64{0.6, 1.6, 1, 0.6, 1.6, 1}, 820, 0, []string{"1.0", "1.0"}},
		{"too few of one speed", []float64{1, 1.6, 0.6, 1.6}, 2000, 0, []string{"1.6", "1.6"}},
		{"it has waited", []float64{0.6, 1.6, 1, 0.6, 1.6, 1}, 2000, 1300, []string{"1.6", "1.6"}},
		{"its time is over only if the estimate is right", []float64{0.6, 1.6, 1, 0.6, 1.6, 1}, 2000, 3300, []string{"1.6", "1.6"}},
		{"its time is over", []float64{0.6, 1.6, 1, 0.6, 1.6, 1}, 2000, 9000, []string{"0.6", "0.6"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := withSpeeds(100, tc.speeds...)
			s.Groups = []*Group{urgent("u", 2, tc.lengthMS, tc.waitedMS)}
			p := Decide(s)
			is.Equal(speedsOf(s, p, "u"), tc.want)
			is.Equal(p.Starts[0].Speed > 0, tc.want[0] != "0.6") // decisive where a speed is needed
		})
	}
}

// Guards against a gang within one rack that takes the fullest rack although its free
// workers there are too slow.
func TestGangChoosesRackByNeededSpeed(t *testing.T) {
	is := is.New(t)
	s := withSpeeds(3, 0.6, 0.6, 1, 1.6, 1.6, 1.6, 1, 1, 1)
	g := urgent("u", 2, 2000, 0)
	g.Step.SameRack = true
	s.Groups = []*Group{g}
	addRun(s.Workers[0], "x", small, 2, 9000) // makes the first rack the fullest
	is.Equal(speedsOf(s, Decide(s), "u"), []string{"1.0", "1.0"})
}

// Work without hurry on workers of three speeds. Guards against fast workers that are
// used up by it, also as headroom, and against workers whose speed stays unknown.
func TestWorkWithoutHurryLeavesFastWorkers(t *testing.T) {
	is := is.New(t)
	s := withSpeeds(100, 1.6, 0.6, 1, 0.6, 1, 1.6)
	for i := range 2 {
		s.Workers = append(s.Workers, worker(fmt.Sprint("new", i), "r0"))
	}
	s.Groups = []*Group{withTarget(group("calm", 2, 6, small, 1), 5000, 0, 30_000)}
	p := Decide(s)
	perWorker := map[string]int{}
	for _, id := range startsOf(p, "calm") {
		perWorker[id]++
	}
	is.Equal(len(p.Starts), 6)
	is.True(perWorker["new0"] >= 2 && perWorker["new1"] >= 2)
	for id := range perWorker {
		is.True(id[:3] == "0.6" || id[:3] == "new")
	}
	s = withSpeeds(100, 0.6, 0.6, 1, 1.6)
	s.Groups = []*Group{withTarget(group("calm", 2, 40, small, 1), 5000, 0, 30_000)}
	is.Equal(len(Decide(s).Starts), 24) // slow workers wholly; a quarter of the rack is left on the others
	s.Groups = []*Group{urgent("u", 1, 2000, 0)}
	is.Equal(speedsOf(s, Decide(s), "u"), []string{"1.6"})
	s = withSpeeds(100, 0.6, 0.6, 1, 1.6)
	addRun(s.Workers[2], "x", large, 1, 9000)
	addRun(s.Workers[3], "x", large, 1, 9000)
	s.Groups = []*Group{withTarget(group("calm", 2, 40, small, 1), 5000, 0, 30_000)}
	is.Equal(len(Decide(s).Starts), 16) // no headroom is kept on slow workers
}

// Guards against a gang whose need grows while it waits for stops, so that the room that
// was made for it does not do any more, and against stops in vain for a guaranteed gang
// that starts on slow workers just before they end.
func TestGangKeepsWaitingForItsRoom(t *testing.T) {
	is := is.New(t)
	s := withSpeeds(100, 0.6, 1, 1.6)
	addRun(s.Workers[2], "x", large, 0, 9000)
	g := urgent("u", 1, 2000, 1300)
	g.Claims = []Claim{{Worker: s.Workers[1].ID, Units: 1}}
	s.Groups = []*Group{g}
	is.Equal(speedsOf(s, Decide(s), "u"), []string{"1.0"})
	for _, tc := range []struct {
		waitedMS int64
		starts   int
	}{{1000, 0}, {1900, 1}} {
		s = withSpeeds(100, 0.6, 1)
		addRun(s.Workers[1], "x", large, 2, 9000).Stopping = true
		s.Workers[1].Releasing = large
		g = urgent("u", 1, 2000, tc.waitedMS)
		g.Guaranteed, g.Claims = true, []Claim{{Worker: s.Workers[1].ID, Units: 1}}
		s.Groups = []*Group{g}
		is.Equal(len(Decide(s).Starts), tc.starts)
	}
}

// Guards against urgent gangs without fast room that always start slow, always wait or
// always stop others, and against one that destroys more work than its own.
func TestGangWithoutFastRoom(t *testing.T) {
	for _, tc := range []struct {
		name             string
		free             bool // slow workers are free
		leftMS, lostMS   int64
		prio             int
		slow, stop, wait bool
	}{
		{"stops are faster", true, 9000, 500, 2, false, true, false},
		{"more work would be lost than its own", true, 9000, 9000, 2, true, false, false},
		{"runs there end at once", true, 300, 500, 2, false, false, true},
		{"runs there end soon, and may not be stopped", true, 700, 500, 0, false, false, true},
		{"runs there end late, and may not be stopped", true, 5000, 500, 0, true, false, false},
		{"only stops are left", false, 9000, 2000, 2, false, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := withSpeeds(100, 0.6, 0.6, 1, 1)
			for i, w := range s.Workers {
				if i >= 2 || !tc.free {
					addRun(w, fmt.Sprint("old", i), large, tc.prio, tc.leftMS).LostMS = tc.lostMS
				}
				if i < 2 && !tc.free {
					w.Running[0].LostMS /= 2 // cheaper, but too slow
				}
			}
			calm := group("calm", 2, 2, large, 2)
			s.Groups = []*Group{urgent("u", 2, 2000, 0), calm}
			p := Decide(s)
			is.Equal(len(startsOf(p, "u")) == 2, tc.slow)
			is.Equal(len(p.Stops) == 2, tc.stop)
			for _, r := range p.Stops {
				is.True(r.onWorker.Speed == 0) // on a worker of speed 1
			}
			is.Equal(s.Workers[2].Free.Accelerators < 0 && len(p.Stops) == 0, tc.wait)
		})
	}
}

// Guards against a guarantee that does not begin within 2.7 s because it waits for fast
// workers: whatever runs on them, and however long each stop takes up to 0.9 s.
func TestGuaranteeBeginsInTimeOnWorkersOfAnySpeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var speeds []float64
		for range rapid.IntRange(2, 6).Draw(t, "workers") {
			speeds = append(speeds, rapid.SampledFrom([]float64{0.6, 1, 1.6}).Draw(t, "speed"))
		}
		s := withSpeeds(100, speeds...)
		stopsAt := map[*Running]int64{}
		for i, w := range s.Workers {
			if rapid.Bool().Draw(t, "busy") {
				r := addRun(w, fmt.Sprint("old", i), large, rapid.IntRange(0, 2).Draw(t, "prio"), 60_000)
				r.LostMS = rapid.Int64Range(0, 9000).Draw(t, "lost")
				r.LeftMS = rapid.Int64Range(300, 4000).Draw(t, "left") // a projection that does not come true
			}
		}
		n, length := rapid.IntRange(1, len(speeds)).Draw(t, "members"), rapid.Int64Range(300, 8000).Draw(t, "length")
		var claims []Claim
		for waited := int64(0); waited <= guaranteeBoundMS; waited += 100 {
			g := urgent("sure", n, length, waited)
			g.Guaranteed, g.Claims = true, claims
			for _, w := range s.Workers {
				w.Free, w.Releasing, w.cachedByCost, w.cachedByEnd = w.Capacity, batch.Resources{}, nil, nil
				w.Running = slices.DeleteFunc(w.Running, func(r *Running) bool { return r.Stopping && waited >= stopsAt[r] })
				for _, r := range w.Running {
					w.Free = w.Free.Sub(r.Need)
					if r.Stopping {
						w.Releasing = w.Releasing.Add(r.Need)
					}
				}
			}
			s.Groups = []*Group{g}
			p := Decide(s)
			if len(p.Starts) == n {
				return
			}
			for _, r := range p.Stops {
				stopsAt[r] = waited + rapid.Int64Range(100, 900).Draw(t, "stop")
			}
			claims = g.Claims
		}
		t.Fatal("the guaranteed gang has not begun")
	})
}

// Guards against a burst of urgent gangs that stops large gangs on fast workers, although
// room on slow ones costs little.
func TestStopsOnFastWorkersAreBounded(t *testing.T) {
	is := is.New(t)
	s := withSpeeds(100, 0.6, 1, 1, 1, 1)
	for i, w := range s.Workers {
		r := addRun(w, fmt.Sprint("old", i), large, 2, 9000)
		if i > 0 {
			r.Ref.Job, r.Gang, r.Priority, r.LostMS = "gang", "gang", 1, 4000
		}
	}
	s.Groups = []*Group{urgent("u", 1, 2000, 0)}
	p := Decide(s)
	is.Equal(len(p.Stops), 1)
	is.Equal(p.Stops[0].Ref.Job, "old0")
}

// Guards against ends of runs without progress, and reservations, that count slow workers
// as fast: a gang waits for the fast worker that is free later but completes first.
func TestProjectionsUseSpeed(t *testing.T) {
	is := is.New(t)
	s := withSpeeds(100, 0.6, 1)
	for _, w := range s.Workers {
		r := addRun(w, "old", large, 1, 2000)
		r.EstimateMS, r.ElapsedMS = 3000, 1000
	}
	s.Workers[1].Running[0].EstimateMS = 5500
	s.Groups = []*Group{withTarget(gang(group("g", 1, 1, large, 1)), 6000, 0, 9000)}
	Decide(s)
	is.Equal(s.Workers[0].Running[0].LeftMS, int64(4000))
	is.Equal(s.Workers[1].Running[0].LeftMS, int64(4500))
	is.Equal(s.Workers[1].Free.Accelerators, int64(-8)) // reserved
	for _, w := range s.Workers {
		w.Running[0].Gang = "old"
	}
	Decide(s)
	is.Equal(s.Workers[1].Running[0].LeftMS, int64(8166)) // with the slow member
}
