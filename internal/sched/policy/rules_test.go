package policy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/policy"
)

// fixture is one rack of workers with 8 accelerators, and two customers of which
// "big" holds a guarantee.
func fixture(workers, shape int) *sched.Snapshot {
	s := &sched.Snapshot{Now: start, Zone: zone}
	for i := range workers {
		s.Workers = append(s.Workers, sched.Worker{
			Name: fmt.Sprintf("w%d", i), Rack: "r", Cores: 64, MemoryMiB: 64 << 10, Accelerators: 8, Slots: 8, Usable: true,
		})
	}
	big := model.Customer{Name: "big", Weight: 1}
	if shape > 0 {
		big.Guarantees = []model.Guarantee{{AvailabilityZone: zone, Shape: model.Shape{Accelerators: shape}, Count: 1}}
	}
	s.Config = &model.Configuration{Services: []model.Service{{
		Policy: model.Policy{CheckpointBoundSeconds: 7}, Customers: []model.Customer{big, {Name: "small", Weight: 1, Quota: 24}},
	}}}
	return s
}

func wait(s *sched.Snapshot, customer string, tasks, accelerators int, change func(*sched.Waiting)) {
	seq := uint64(len(s.Waiting) + 100)
	w := sched.Waiting{ID: model.JobID(fmt.Sprintf("j%d", seq)), Seq: seq, SubmittedAt: s.Now.Add(-time.Hour), Spec: model.JobSpec{
		Customer: customer, Tasks: tasks, Accelerators: accelerators, Adjacent: true, Repeatable: true, EstimatedSeconds: 60,
	}}
	if change != nil {
		change(&w)
	}
	s.Waiting = append(s.Waiting, w)
}

// run adds a running attempt of one task with all accelerators of a worker.
func run(s *sched.Snapshot, worker int, change func(*sched.Running)) {
	r := sched.Running{
		ID: model.JobID(fmt.Sprintf("r%d", worker)), Customer: "small", Seq: uint64(200 + worker), Borrowed: true,
		StartedAt: s.Now.Add(-time.Minute),
		Spec:      model.JobSpec{Customer: "small", Tasks: 1, Accelerators: 8, Repeatable: true, EstimatedSeconds: 600, MemoryMiB: 1024},
		Placement: []model.TaskPlacement{{Worker: fmt.Sprintf("w%d", worker), Accelerators: []int{0, 1, 2, 3, 4, 5, 6, 7}}},
	}
	if change != nil {
		change(&r)
	}
	s.Running = append(s.Running, r)
}

// TestReclaimTakesTheCheapest guards against reclaims that stop the borrower with
// the most work behind it, or more borrowers than needed.
func TestReclaimTakesTheCheapest(t *testing.T) {
	is := is.New(t)
	s := fixture(3, 8)
	for i := range 3 {
		run(s, i, func(r *sched.Running) { r.StartedAt = s.Now.Add(-time.Duration(3-i) * time.Hour) })
	}
	wait(s, "big", 1, 8, nil)
	p := policy.Decide(s)
	is.Equal(p.Preemptions, []sched.Preemption{{ID: "r2", For: "j100", Bound: 7 * time.Second}})
	is.Equal(len(p.Starts), 0)
}

// TestNotRepeatableLeavesGuarantees guards against work that cannot be taken off
// on the last cell of a guarantee, also when it runs already.
func TestNotRepeatableLeavesGuarantees(t *testing.T) {
	is := is.New(t)
	s := fixture(2, 8)
	for range 2 {
		wait(s, "small", 1, 8, func(w *sched.Waiting) { w.Spec.Repeatable = false })
	}
	p := policy.Decide(s)
	is.Equal(len(p.Starts), 1)
	is.Equal(len(p.Rejections), 0)
	wait(s, "small", 2, 8, func(w *sched.Waiting) { w.Spec.Repeatable = false })
	p = policy.Decide(s) // two workers outside the guarantee never exist
	is.Equal(p.Rejections, []sched.Rejection{{ID: "j102", Reason: model.ReasonNeverFits}})
}

// TestUrgentActsInTheFirstDecision guards against urgent jobs that wait for a
// reservation, and against a checkpoint bound longer than their target.
func TestUrgentActsInTheFirstDecision(t *testing.T) {
	is := is.New(t)
	s := fixture(2, 0)
	run(s, 0, nil)
	run(s, 1, func(r *sched.Running) { r.Spec.Repeatable = false })
	wait(s, "big", 1, 4, func(w *sched.Waiting) { w.Spec.Urgent, w.SubmittedAt = true, s.Now })
	p := policy.Decide(s)
	is.Equal(len(p.Preemptions), 1)
	is.Equal(p.Preemptions[0].ID, model.JobID("r0"))
	is.True(p.Preemptions[0].Bound < 1200*time.Millisecond)
}

// TestReservation guards against large jobs that starve behind small ones, and
// against backfill that delays them.
func TestReservation(t *testing.T) {
	is := is.New(t)
	s := fixture(3, 0)
	for i := range 2 {
		run(s, i, func(r *sched.Running) { r.Seq, r.Spec.Repeatable = uint64(i), false })
	}
	wait(s, "big", 2, 8, nil)
	once := func(seconds float64) func(*sched.Waiting) {
		return func(w *sched.Waiting) { w.Spec.Repeatable, w.Spec.EstimatedSeconds = false, seconds }
	}
	wait(s, "small", 1, 4, once(1e6)) // could delay the large job
	wait(s, "small", 1, 2, once(100)) // ends before the cells are free
	wait(s, "small", 1, 1, nil)       // can be taken off
	p := policy.Decide(s)
	var got []model.JobID
	for _, st := range p.Starts {
		got = append(got, st.ID)
	}
	is.Equal(got, []model.JobID{"j102", "j103"})
	s.Rules.NoReservation = true
	is.Equal(len(policy.Decide(s).Starts), 3)
}

// TestReservationTakesYoungerWorkOff guards against borrowers that were submitted
// later and keep an older job waiting, and against taking off older ones.
func TestReservationTakesYoungerWorkOff(t *testing.T) {
	is := is.New(t)
	s := fixture(2, 0)
	run(s, 0, nil)
	run(s, 1, nil)
	wait(s, "big", 2, 8, nil)
	is.Equal(len(policy.Decide(s).Preemptions), 2)
	s.Running[0].Seq = 1
	is.Equal(len(policy.Decide(s).Preemptions), 0)
	s.Running[0].StartedAt = s.Now.Add(-time.Hour) // declared ten minutes
	is.Equal(len(policy.Decide(s).Preemptions), 2)
}

// TestOveruse guards against jobs that never end and hold up others for ever, and
// against stopping those that disturb nobody.
func TestOveruse(t *testing.T) {
	is := is.New(t)
	s := fixture(1, 0)
	run(s, 0, func(r *sched.Running) {
		r.Seq, r.Spec.Repeatable, r.StartedAt = 1, false, s.Now.Add(-time.Hour)
	})
	is.Equal(len(policy.Decide(s).Actions), 0)
	wait(s, "big", 1, 8, nil)
	is.Equal(policy.Decide(s).Actions, []sched.Action{{ID: "r0", Kind: sched.Stop, Reason: model.ReasonOverTime}})
	s.Waiting = nil
	s.Workers[0].MemoryMiB = 2500
	s.Running[0].UsedMemoryMiB = 2000
	run(s, 0, func(r *sched.Running) { r.ID, r.Spec.Accelerators, r.Placement[0].Accelerators = "other", 0, nil })
	is.Equal(policy.Decide(s).Actions, []sched.Action{{ID: "r0", Kind: sched.Throttle, Reason: model.ReasonOverMemory}})
	s.Running[0].Throttled = true
	is.Equal(policy.Decide(s).Actions, []sched.Action{{ID: "r0", Kind: sched.Stop, Reason: model.ReasonOverMemory}})
}

// TestRefusals guards against jobs that wait although they can never run or be
// in time, and against refusals by a declared time that was always too long.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	s := fixture(4, 0)
	wait(s, "big", 1, 9, nil)
	wait(s, "small", 4, 8, nil) // over its quota
	wait(s, "big", 1, 1, func(w *sched.Waiting) { w.Spec.Deadline = s.Now.Add(30 * time.Second) })
	wait(s, "big", 1, 1, func(w *sched.Waiting) { w.Spec.Deadline = s.Now.Add(90 * time.Second) })
	p := policy.Decide(s)
	is.Equal(p.Rejections, []sched.Rejection{
		{ID: "j100", Reason: model.ReasonNeverFits},
		{ID: "j101", Reason: model.ReasonNeverFits},
		{ID: "j102", Reason: model.ReasonDeadlineUnmet},
	})
	s.Estimates = map[string]sched.Correction{"big": {Low: 0.1, Median: 0.3, High: 1, Samples: 50}}
	is.Equal(len(policy.Decide(s).Rejections), 2)
	s.Workers = nil // nothing announced yet: nothing can be said
	is.Equal(len(policy.Decide(s).Rejections), 1)
}

// TestShortfall guards against silence about guarantees that lost workers make
// impossible, and against losing them when the workers return.
func TestShortfall(t *testing.T) {
	is := is.New(t)
	s := fixture(3, 16)
	is.Equal(len(policy.Decide(s).Shortfalls), 0)
	s.Workers[1].Usable = false
	is.Equal(len(policy.Decide(s).Shortfalls), 0) // bound to the healthy ones
	s.Workers[2].Usable = false
	is.Equal(policy.Decide(s).Shortfalls, []sched.Shortfall{{Customer: "big", Shape: model.Shape{Accelerators: 16}, Missing: 1}})
}

// TestFairShare guards against a customer that takes everything by submitting
// first.
func TestFairShare(t *testing.T) {
	is := is.New(t)
	s := fixture(2, 0)
	for _, c := range []string{"big", "big", "big", "big", "small", "small"} {
		wait(s, c, 1, 4, nil)
	}
	p := policy.Decide(s)
	count := map[model.JobID]bool{}
	for _, st := range p.Starts {
		count[st.ID] = true
	}
	is.Equal(len(count), 4)
	is.True(count["j100"] && count["j101"] && count["j104"] && count["j105"])
}
