package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/share"
)

// burst is a burst of urgent gangs over long units of little urgency. Stops take a
// different number of decisions on each worker.
type burst struct {
	rnd     *rand.Rand
	workers []*Worker
	groups  []*Group
	claims  map[string][]Claim
	endsIn  map[*Running]int // decisions until a stop ends
	stops   map[string]int   // ordered for each job
	started map[string]bool
	// With tickMS, the time passes between two decisions and runs end by themselves.
	tickMS, nowMS int64
	preemption    Preemption
	lost          map[string]int64 // work lost by the stops for each job, as by lostWork
	shares        *share.Tracker   // nil: customers do not matter
}

func newBurst(seed uint64, racks, perRack int) *burst {
	b := &burst{
		rnd: rand.New(rand.NewPCG(seed, 1)), claims: map[string][]Claim{}, endsIn: map[*Running]int{}, stops: map[string]int{}, started: map[string]bool{},
		lost: map[string]int64{},
	}
	for i := range racks * perRack {
		w := worker(fmt.Sprintf("w%02d", i), fmt.Sprint("r", i/perRack))
		for k := range 8 {
			addRun(w, fmt.Sprint("long", i, k), small, 2, 60_000).LostMS = 100 + int64(b.rnd.IntN(4000))
		}
		b.workers = append(b.workers, w)
	}
	return b
}

// decide makes one decision and carries it out. Then some of the stops end.
func (b *burst) decide() {
	held, capacity := map[string]batch.Resources{}, batch.Resources{}
	for _, w := range b.workers {
		w.Free, w.Releasing = w.Capacity, batch.Resources{}
		capacity = capacity.Add(w.Capacity)
		w.cachedByCost, w.cachedByEnd = nil, nil
		for _, r := range w.Running {
			w.Free = w.Free.Sub(r.Need)
			held[r.Customer] = held[r.Customer].Add(r.Need)
			if r.Stopping {
				w.Releasing = w.Releasing.Add(r.Need)
			}
		}
	}
	for _, g := range b.groups {
		g.UnitsOn, g.Claims = nil, b.claims[g.Job]
	}
	s := &Snapshot{Workers: b.workers, Groups: b.groups, NowMS: b.nowMS, Preemption: b.preemption}
	if b.shares != nil {
		b.shares.Update(b.nowMS, held, capacity)
		s.Use = b.shares.Use()
	}
	p := Decide(s)
	for _, r := range p.Stops {
		b.stops[r.For]++
		b.lost[r.For] += lostWork(r)
		b.endsIn[r] = 1 + b.rnd.IntN(6)
	}
	for _, g := range b.groups {
		b.claims[g.Job] = g.Claims
	}
	for _, s := range p.Starts {
		b.started[s.Group.Job] = true
		for _, w := range b.workers {
			if w.ID == s.Worker {
				w.Running = append(w.Running, &Running{
					Ref: batch.UnitRef{Job: s.Group.Job}, Need: s.Group.Step.Need, Priority: s.Group.Priority, Customer: s.Group.Customer, LeftMS: 2500,
				})
			}
		}
	}
	waiting := b.groups[:0]
	for _, g := range b.groups {
		if !b.started[g.Job] {
			waiting = append(waiting, g)
		}
	}
	b.groups = waiting
	b.nowMS += b.tickMS
	for _, w := range b.workers {
		w.awaitedMS = 0
		kept := w.Running[:0]
		for _, r := range w.Running {
			r.LeftMS, r.LostMS, r.AgeMS = r.LeftMS-b.tickMS, r.LostMS+b.tickMS, r.AgeMS+b.tickMS
			if r.Stopping {
				b.endsIn[r]--
			}
			if r.LeftMS > 0 && (!r.Stopping || b.endsIn[r] > 0) {
				kept = append(kept, r)
			}
		}
		w.Running = kept
	}
}

// Guards against urgent gangs that take from each other the room that runs were stopped
// for, so that each of them stops more runs than it needs: a burst of urgent gangs, each
// within one rack, over long units, with stops that end one after the other.
func TestUrgentGangsKeepTheirRoom(t *testing.T) {
	for seed := range uint64(50) {
		b := newBurst(seed, 4, 6)
		need := map[string]int{} // runs of one accelerator to stop
		for i := range 20 {
			if i < 6 {
				g := gang(group(fmt.Sprint("urgent", i), 0, 1+b.rnd.IntN(3), large, uint64(i)))
				g.Step.SameRack = b.rnd.IntN(2) == 0
				b.groups = append(b.groups, g)
				need[g.Job] = g.Total * 8
			}
			b.decide()
		}
		if len(b.groups) > 0 {
			t.Errorf("seed %d: %s has not started", seed, b.groups[0].Job)
		}
		for job, n := range b.stops {
			if n > need[job] {
				t.Errorf("seed %d: %d runs were stopped for %s, which needs the room of %d", seed, n, job, need[job])
			}
		}
	}
}

// Guards against a gang that waits for room on a worker that is lost.
func TestClaimOnLostWorkerIsDropped(t *testing.T) {
	b := newBurst(1, 1, 3)
	b.groups = append(b.groups, gang(group("urgent", 0, 2, large, 1)))
	b.decide()
	lost := b.claims["urgent"][0].Worker
	for i, w := range b.workers {
		if w.ID == lost {
			b.workers = append(b.workers[:i:i], b.workers[i+1:]...)
			break
		}
	}
	for range 10 {
		b.decide()
	}
	if !b.started["urgent"] {
		t.Error("the gang has not started on the workers that are left")
	}
}

// Guards against a guarantee that waits behind the claim of a group without one.
func TestGuaranteeTakesClaimedRoom(t *testing.T) {
	b := newBurst(2, 1, 2)
	for _, w := range b.workers {
		for _, r := range w.Running {
			r.Priority = 0
			r.Guaranteed = w.ID == "w01"
		}
	}
	w := b.workers[0]
	for _, r := range w.Running {
		r.Stopping = true
		b.endsIn[r] = 3
	}
	b.groups = append(b.groups, gang(group("plain", 0, 1, large, 1)))
	b.decide()
	if len(b.claims["plain"]) != 1 {
		t.Fatal("the first gang claims no room")
	}
	sure := gang(group("sure", 0, 1, large, 2))
	sure.Guaranteed = true
	b.groups = append(b.groups, sure)
	for range 4 {
		b.decide()
	}
	if !b.started["sure"] || b.started["plain"] {
		t.Errorf("started: %v", b.started)
	}
}
