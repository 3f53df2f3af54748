package policy_test

import (
	"flag"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/cell"
	"teaselpaddle.example/teaselpaddle/internal/sched/policy"
)

// Fixed seed and number of cases; a command line flag overrides them.
func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "2500")
	_ = flag.Set("rapid.nofailfile", "true")
}

const zone = "z1"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is a zone that the tests change with random events.
type world struct {
	t     *rapid.T
	snap  sched.Snapshot
	seq   uint64
	state *policy.State // kept between decisions, to compare with decisions from snapshots
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, snap: sched.Snapshot{Now: start, Zone: zone, Config: &model.Configuration{}}}
	var specs []model.RackSpec
	accel := rapid.SampledFrom([]int{1, 2, 3, 4, 8}).Draw(t, "accelerators")
	mixed := rapid.Bool().Draw(t, "mixed")
	for r := range rapid.IntRange(1, 5).Draw(t, "racks") {
		a := accel
		if mixed {
			a = rapid.SampledFrom([]int{0, 1, 2, 3, 4, 8}).Draw(t, "rack accelerators")
		}
		n := rapid.IntRange(1, 6).Draw(t, "workers")
		specs = append(specs, model.RackSpec{AvailabilityZone: zone, Racks: 1, WorkersPerRack: n, AcceleratorsPerWorker: a})
		for k := range n {
			w.snap.Workers = append(w.snap.Workers, sched.Worker{
				Name: fmt.Sprintf("w%d-%d", r, k), Rack: fmt.Sprintf("r%d", r), Cores: max(4*a, 4),
				MemoryMiB: max(1024*a, 1024), Accelerators: a, Slots: max(a, 4), Usable: true,
			})
		}
	}
	svc := model.Service{Name: "s", Racks: specs, Policy: model.Policy{FragmentationWeight: 0.5}}
	w.snap.Config.Services = []model.Service{svc}
	for c := range rapid.IntRange(1, 3).Draw(t, "customers") {
		w.addCustomer(fmt.Sprintf("c%d", c))
	}
	w.state = policy.NewState(zone, w.snap.Config, w.snap.Workers, sched.Rules{})
	return w
}

// addCustomer adds a customer with random guarantees, leaving out those that do
// not fit.
func (w *world) addCustomer(name string) {
	svc := &w.snap.Config.Services[0]
	c := model.Customer{Name: name, Weight: rapid.IntRange(1, 3).Draw(w.t, "weight")}
	svc.Customers = append(svc.Customers, c)
	last := &svc.Customers[len(svc.Customers)-1]
	for range rapid.IntRange(0, 2).Draw(w.t, "guarantees") {
		last.Guarantees = append(last.Guarantees, model.Guarantee{
			AvailabilityZone: zone, Shape: model.Shape{Accelerators: rapid.IntRange(1, 16).Draw(w.t, "size")},
			Count: rapid.IntRange(1, 2).Draw(w.t, "count"),
		})
		if cell.CheckFit(w.snap.Config) != nil {
			last.Guarantees = last.Guarantees[:len(last.Guarantees)-1]
		}
	}
}

func (w *world) submit() {
	w.seq++
	s := model.JobSpec{
		Customer:   rapid.SampledFrom(w.snap.Config.Services[0].Customers).Draw(w.t, "customer").Name,
		Tasks:      rapid.SampledFrom([]int{1, 1, 1, 1, 2, 3, 4, 8}).Draw(w.t, "tasks"),
		Repeatable: rapid.IntRange(0, 3).Draw(w.t, "repeatable") > 0, Adjacent: rapid.Bool().Draw(w.t, "adjacent"),
		Accelerators:     rapid.SampledFrom([]int{0, 1, 1, 2, 3, 4, 8}).Draw(w.t, "accelerators"),
		EstimatedSeconds: float64(rapid.IntRange(0, 5000).Draw(w.t, "estimate")),
		Urgent:           rapid.IntRange(0, 9).Draw(w.t, "urgent") == 0,
	}
	s.CPU = rapid.IntRange(0, 5*max(s.Accelerators, 1)).Draw(w.t, "cpu")
	j := sched.Waiting{ID: model.JobID(fmt.Sprintf("%s.%06d", zone, w.seq)), Spec: s, Seq: w.seq, SubmittedAt: w.snap.Now}
	w.snap.Waiting = append(w.snap.Waiting, j)
	w.state.AddWaiting(&j)
}

// endAttempt ends the attempt at index i; a preempted job is queued again.
func (w *world) endAttempt(i int) {
	r := w.snap.Running[i]
	w.snap.Running = slices.Delete(w.snap.Running, i, i+1)
	w.state.RemoveRunning(r.ID)
	if !r.Stopping {
		return
	}
	j := sched.Waiting{ID: r.ID, Spec: r.Spec, Seq: r.Seq, SubmittedAt: start}
	at, _ := slices.BinarySearchFunc(w.snap.Waiting, j.Seq, func(a sched.Waiting, s uint64) int { return int(a.Seq) - int(s) })
	w.snap.Waiting = slices.Insert(w.snap.Waiting, at, j)
	w.state.AddWaiting(&j)
}

// changeRandomly changes the world at random.
func (w *world) changeRandomly() {
	w.snap.Now = w.snap.Now.Add(time.Duration(rapid.IntRange(1, 400).Draw(w.t, "seconds")) * time.Second)
	for range rapid.IntRange(0, 4).Draw(w.t, "submissions") {
		w.submit()
	}
	for range rapid.IntRange(0, 2).Draw(w.t, "ends") {
		if n := len(w.snap.Running); n > 0 {
			w.endAttempt(rapid.IntRange(0, n-1).Draw(w.t, "ended"))
		}
	}
	if rapid.IntRange(0, 4).Draw(w.t, "worker") == 0 {
		k := &w.snap.Workers[rapid.IntRange(0, len(w.snap.Workers)-1).Draw(w.t, "which")]
		k.Usable = !k.Usable
		w.state.SetUsable(k.Name, k.Usable)
	}
}

// apply applies a plan; preempted attempts end some steps later.
func (w *world) apply(p *sched.Plan) {
	for _, r := range p.Rejections {
		w.removeWaiting(r.ID)
	}
	for _, v := range p.Preemptions {
		i := slices.IndexFunc(w.snap.Running, func(r sched.Running) bool { return r.ID == v.ID })
		w.snap.Running[i].Stopping, w.snap.Running[i].StoppingFor = true, v.For
		w.updateState(i)
	}
	for _, s := range p.Starts {
		j := w.removeWaiting(s.ID)
		w.snap.Running = append(w.snap.Running, sched.Running{
			ID: j.ID, Customer: j.Spec.Customer, Spec: j.Spec, Seq: j.Seq, Placement: s.Placement,
			Borrowed: s.Borrowed, Claim: s.Claim, StartedAt: w.snap.Now,
		})
		w.updateState(len(w.snap.Running) - 1)
	}
}

// updateState updates the kept state with the attempt at index i.
func (w *world) updateState(i int) {
	r := w.snap.Running[i]
	w.state.AddRunning(&r)
}

func (w *world) removeWaiting(id model.JobID) sched.Waiting {
	i := slices.IndexFunc(w.snap.Waiting, func(j sched.Waiting) bool { return j.ID == id })
	j := w.snap.Waiting[i]
	w.snap.Waiting = slices.Delete(w.snap.Waiting, i, i+1)
	w.state.RemoveWaiting(id)
	return j
}
