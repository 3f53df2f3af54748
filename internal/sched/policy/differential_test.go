package policy_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/naive"
	"teaselpaddle.example/teaselpaddle/internal/sched/policy"
)

// TestInvariants drives random zones and checks every plan. It guards against
// plans over capacity, partial gangs, guarantees that cannot be reclaimed,
// placements that the naive scheduler calls impossible, jobs that are rejected
// or starve without reason, and a kept state that decides differently from a
// snapshot.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			w.changeRandomly()
			w.decide()
		}
		w.drain()
	})
}

func (w *world) decide() sched.Plan {
	snap := w.copy()
	plan := policy.Decide(snap)
	if kept := w.state.Decide(w.snap.Now); !reflect.DeepEqual(plan, kept) {
		w.t.Fatalf("kept state decides differently:\n%+v\n%+v", plan, kept)
	}
	w.checkStarts(&plan)
	w.checkRejections(&plan)
	w.checkPreemptions(&plan)
	w.apply(&plan)
	w.checkCapacity()
	if len(plan.Shortfalls) == 0 {
		w.checkReclaim()
	}
	return plan
}

func (w *world) copy() *sched.Snapshot {
	s := w.snap
	s.Workers, s.Running, s.Waiting = slices.Clone(s.Workers), slices.Clone(s.Running), slices.Clone(s.Waiting)
	return &s
}

// checkStarts checks that each gang is complete and that the naive scheduler
// could place it on an empty zone.
func (w *world) checkStarts(p *sched.Plan) {
	for _, s := range p.Starts {
		j := w.waiting(s.ID)
		if len(s.Placement) != j.Spec.Tasks {
			w.t.Fatalf("partial gang: %+v of %+v", s, j.Spec)
		}
		for i, tp := range s.Placement {
			if tp.Task != i || len(tp.Accelerators) != j.Spec.Accelerators {
				w.t.Fatalf("task %d of %+v: %+v", i, j.Spec, tp)
			}
			if k := w.worker(tp.Worker); !k.Usable {
				w.t.Fatalf("placed on unusable worker: %+v", s)
			}
		}
		if !w.naivePlaces(j) {
			w.t.Fatalf("naive cannot place %+v on an empty zone", j.Spec)
		}
	}
}

func (w *world) waiting(id model.JobID) sched.Waiting {
	return w.snap.Waiting[slices.IndexFunc(w.snap.Waiting, func(j sched.Waiting) bool { return j.ID == id })]
}

func (w *world) worker(name string) *sched.Worker {
	return &w.snap.Workers[slices.IndexFunc(w.snap.Workers, func(k sched.Worker) bool { return k.Name == name })]
}

// naivePlaces reports whether the naive scheduler places the job if nothing
// runs and all workers are usable.
func (w *world) naivePlaces(j sched.Waiting) bool {
	s := w.copy()
	s.Running, s.Waiting = nil, []sched.Waiting{j}
	for i := range s.Workers {
		s.Workers[i].Usable = true
	}
	return len(naive.Decide(s).Starts) == 1
}

// checkRejections allows only rejections of jobs that the naive scheduler
// cannot place, and of jobs that cannot be preempted and do not fit beside the
// guarantees.
func (w *world) checkRejections(p *sched.Plan) {
	guaranteed := 0
	for _, c := range w.snap.Config.Services[0].Customers {
		for _, g := range c.Guarantees {
			guaranteed += g.Shape.Accelerators * g.Count
		}
	}
	for _, r := range p.Rejections {
		j := w.waiting(r.ID)
		if w.naivePlaces(j) && (j.Spec.Repeatable || guaranteed == 0) {
			w.t.Fatalf("rejected although naive can place it: %+v", j.Spec)
		}
	}
}

func (w *world) checkPreemptions(p *sched.Plan) {
	for _, v := range p.Preemptions {
		i := slices.IndexFunc(w.snap.Running, func(r sched.Running) bool { return r.ID == v.ID })
		if r := &w.snap.Running[i]; !r.Borrowed || !r.Spec.Repeatable || r.Stopping {
			w.t.Fatalf("must not be preempted: %+v", r)
		}
	}
}

// checkCapacity checks that no worker is over its capacity and no accelerator
// is assigned twice.
func (w *world) checkCapacity() {
	type use struct {
		cores, mem, slots int
		accel             map[int]model.JobID
	}
	used := map[string]*use{}
	for _, r := range w.snap.Running {
		for _, tp := range r.Placement {
			u := used[tp.Worker]
			if u == nil {
				u = &use{accel: map[int]model.JobID{}}
				used[tp.Worker] = u
			}
			u.cores += r.Spec.CPU
			u.mem += r.Spec.MemoryMiB
			u.slots++
			for _, a := range tp.Accelerators {
				if other, ok := u.accel[a]; ok || a < 0 || a >= w.worker(tp.Worker).Accelerators {
					w.t.Fatalf("accelerator %d of %s assigned to %s and %s", a, tp.Worker, other, r.ID)
				}
				u.accel[a] = r.ID
			}
		}
	}
	for name, u := range used {
		if k := w.worker(name); u.cores > k.Cores || u.mem > k.MemoryMiB || u.slots > k.Slots {
			w.t.Fatalf("over capacity on %s: %+v", name, u)
		}
	}
}

// checkReclaim preempts all borrowers and lets every customer claim all its
// unused shapes at the same time.
func (w *world) checkReclaim() {
	s := w.copy()
	s.Waiting = nil
	used := map[string]bool{}
	s.Running = slices.DeleteFunc(s.Running, func(r sched.Running) bool { return r.Preemptible() })
	for _, r := range s.Running {
		used[fmt.Sprintf("%s/%d/%d", r.Customer, r.Claim.Accelerators, r.Claim.Number)] = !r.Borrowed
	}
	for _, c := range s.Config.Services[0].Customers {
		numbers := map[int]int{}
		for _, g := range c.Guarantees {
			size := g.Shape.Accelerators
			for range g.Count {
				n := numbers[size]
				numbers[size]++
				if used[fmt.Sprintf("%s/%d/%d", c.Name, size, n)] {
					continue
				}
				id := model.JobID(fmt.Sprintf("claim-%s-%d-%d", c.Name, size, n))
				s.Waiting = append(s.Waiting, sched.Waiting{ID: id, Seq: uint64(len(s.Waiting)), SubmittedAt: s.Now, Spec: model.JobSpec{
					Customer: c.Name, Tasks: size, Accelerators: 1, CPU: 4, MemoryMiB: 1024, Adjacent: true, Repeatable: true,
				}})
			}
		}
	}
	plan := policy.Decide(s)
	for _, j := range s.Waiting {
		i := slices.IndexFunc(plan.Starts, func(st sched.Start) bool { return st.ID == j.ID })
		if i < 0 || plan.Starts[i].Borrowed {
			w.t.Fatalf("guarantee %s cannot be reclaimed; %s", j.ID, w.describe())
		}
	}
}

// describe formats the zone for a failure message.
func (w *world) describe() string {
	out := ""
	for _, k := range w.snap.Workers {
		out += fmt.Sprintf("\n%s %d/%d %v:", k.Name, k.Accelerators, k.Slots, k.Usable)
		for _, r := range w.snap.Running {
			for _, tp := range r.Placement {
				if tp.Worker == k.Name {
					out += fmt.Sprintf(" [%s %dx%d cpu%d b=%v rep=%v %v]", r.ID, r.Spec.Tasks, r.Spec.Accelerators, r.Spec.CPU, r.Borrowed, r.Spec.Repeatable, r.Claim)
				}
			}
		}
	}
	return out + fmt.Sprintf("\n%+v", w.snap.Config.Services[0].Customers)
}

// drain makes all workers usable and ends all attempts until every job has had
// its turn.
func (w *world) drain() {
	for i := range w.snap.Workers {
		w.snap.Workers[i].Usable = true
		w.state.SetUsable(w.snap.Workers[i].Name, true)
	}
	for n := 0; len(w.snap.Waiting)+len(w.snap.Running) > 0; n++ {
		if n > 300 {
			w.t.Fatalf("never started: %+v", w.snap.Waiting)
		}
		w.snap.Now = w.snap.Now.Add(1000 * 1e9)
		w.decide()
		for len(w.snap.Running) > 0 {
			w.endAttempt(0)
		}
	}
}
