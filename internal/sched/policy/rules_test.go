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

// fixture returns a zone with one rack of workers with 8 accelerators each, and
// two customers of which "big" has a guarantee if shape is not 0.
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

func addWaiting(s *sched.Snapshot, customer string, tasks, accelerators int, change func(*sched.Waiting)) {
	seq := uint64(len(s.Waiting) + 100)
	w := sched.Waiting{ID: model.JobID(fmt.Sprintf("j%d", seq)), Seq: seq, SubmittedAt: s.Now.Add(-time.Hour), Spec: model.JobSpec{
		Customer: customer, Tasks: tasks, Accelerators: accelerators, Adjacent: true, Repeatable: true, EstimatedSeconds: 60,
	}}
	if change != nil {
		change(&w)
	}
	s.Waiting = append(s.Waiting, w)
}

// addRunning adds a running attempt of one task with all accelerators of a
// worker.
func addRunning(s *sched.Snapshot, worker int, change func(*sched.Running)) {
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

// TestReclaimPreemptsCheapestBorrower guards against reclaims that preempt the
// borrower that has done the most work, or more borrowers than needed.
func TestReclaimPreemptsCheapestBorrower(t *testing.T) {
	is := is.New(t)
	s := fixture(3, 8)
	for i := range 3 {
		addRunning(s, i, func(r *sched.Running) { r.StartedAt = s.Now.Add(-time.Duration(3-i) * time.Hour) })
	}
	addWaiting(s, "big", 1, 8, nil)
	p := policy.Decide(s)
	is.Equal(p.Preemptions, []sched.Preemption{{ID: "r2", For: "j100", Bound: 7 * time.Second}})
	is.Equal(len(p.Starts), 0)
}

// TestNonRepeatableJobsLeaveGuaranteesReclaimable guards against jobs that
// cannot be preempted in the last cell of a guarantee, whether they start now
// or run already.
func TestNonRepeatableJobsLeaveGuaranteesReclaimable(t *testing.T) {
	is := is.New(t)
	s := fixture(2, 8)
	for range 2 {
		addWaiting(s, "small", 1, 8, func(w *sched.Waiting) { w.Spec.Repeatable = false })
	}
	p := policy.Decide(s)
	is.Equal(len(p.Starts), 1)
	is.Equal(len(p.Rejections), 0)
	addWaiting(s, "small", 2, 8, func(w *sched.Waiting) { w.Spec.Repeatable = false })
	p = policy.Decide(s) // there are never two workers outside the guarantee
	is.Equal(p.Rejections, []sched.Rejection{{ID: "j102", Reason: model.ReasonNeverFits}})
}

// TestUrgentJobPreemptsInFirstDecision guards against urgent jobs that wait for
// the reservation delay, and against a checkpoint bound longer than their start
// target.
func TestUrgentJobPreemptsInFirstDecision(t *testing.T) {
	is := is.New(t)
	s := fixture(2, 0)
	addRunning(s, 0, nil)
	addRunning(s, 1, func(r *sched.Running) { r.Spec.Repeatable = false })
	addWaiting(s, "big", 1, 4, func(w *sched.Waiting) { w.Spec.Urgent, w.SubmittedAt = true, s.Now })
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
		addRunning(s, i, func(r *sched.Running) { r.Seq, r.Spec.Repeatable = uint64(i), false })
	}
	addWaiting(s, "big", 2, 8, nil)
	notRepeatable := func(seconds float64) func(*sched.Waiting) {
		return func(w *sched.Waiting) { w.Spec.Repeatable, w.Spec.EstimatedSeconds = false, seconds }
	}
	addWaiting(s, "small", 1, 4, notRepeatable(1e6)) // could delay the large job
	addWaiting(s, "small", 1, 2, notRepeatable(100)) // ends before the cells are free
	addWaiting(s, "small", 1, 1, nil)                // can be preempted
	p := policy.Decide(s)
	var got []model.JobID
	for _, st := range p.Starts {
		got = append(got, st.ID)
	}
	is.Equal(got, []model.JobID{"j102", "j103"})
	s.Rules.NoReservation = true
	is.Equal(len(policy.Decide(s).Starts), 3)
}

// TestReservationPreemptsYoungerBorrowers guards against borrowers that were
// submitted later and keep an older job waiting, and against preemption of
// borrowers that were submitted earlier and are not overdue.
func TestReservationPreemptsYoungerBorrowers(t *testing.T) {
	is := is.New(t)
	s := fixture(2, 0)
	addRunning(s, 0, nil)
	addRunning(s, 1, nil)
	addWaiting(s, "big", 2, 8, nil)
	is.Equal(len(policy.Decide(s).Preemptions), 2)
	s.Running[0].Seq = 1
	is.Equal(len(policy.Decide(s).Preemptions), 0)
	s.Running[0].StartedAt = s.Now.Add(-time.Hour) // declared ten minutes
	is.Equal(len(policy.Decide(s).Preemptions), 2)
}

// TestOveruse guards against jobs that never end and block others forever, and
// against stopping jobs that block nobody.
func TestOveruse(t *testing.T) {
	is := is.New(t)
	s := fixture(1, 0)
	addRunning(s, 0, func(r *sched.Running) {
		r.Seq, r.Spec.Repeatable, r.StartedAt = 1, false, s.Now.Add(-time.Hour)
	})
	is.Equal(len(policy.Decide(s).Actions), 0)
	addWaiting(s, "big", 1, 8, nil)
	is.Equal(policy.Decide(s).Actions, []sched.Action{{ID: "r0", Kind: sched.Stop, Reason: model.ReasonOverTime}})
	s.Waiting = nil
	s.Workers[0].MemoryMiB = 2500
	s.Running[0].UsedMemoryMiB = 2000
	addRunning(s, 0, func(r *sched.Running) { r.ID, r.Spec.Accelerators, r.Placement[0].Accelerators = "other", 0, nil })
	is.Equal(policy.Decide(s).Actions, []sched.Action{{ID: "r0", Kind: sched.Throttle, Reason: model.ReasonOverMemory}})
	s.Running[0].Throttled = true
	is.Equal(policy.Decide(s).Actions, []sched.Action{{ID: "r0", Kind: sched.Stop, Reason: model.ReasonOverMemory}})
}

// TestRejections guards against jobs that wait although they can never run or
// be on time, and against rejections by a declared run time that has always
// been too long.
func TestRejections(t *testing.T) {
	is := is.New(t)
	s := fixture(4, 0)
	addWaiting(s, "big", 1, 9, nil)
	addWaiting(s, "small", 4, 8, nil) // over its quota
	addWaiting(s, "big", 1, 1, func(w *sched.Waiting) { w.Spec.Deadline = s.Now.Add(30 * time.Second) })
	addWaiting(s, "big", 1, 1, func(w *sched.Waiting) { w.Spec.Deadline = s.Now.Add(90 * time.Second) })
	p := policy.Decide(s)
	is.Equal(p.Rejections, []sched.Rejection{
		{ID: "j100", Reason: model.ReasonNeverFits},
		{ID: "j101", Reason: model.ReasonNeverFits},
		{ID: "j102", Reason: model.ReasonDeadlineUnmet},
	})
	s.Estimates = map[string]sched.Correction{"big": {Low: 0.1, Median: 0.3, High: 1, Samples: 50}}
	is.Equal(len(policy.Decide(s).Rejections), 2)
	s.Workers = nil // no worker is announced yet, so fit is unknown
	is.Equal(len(policy.Decide(s).Rejections), 1)
}

// TestShortfall guards against guarantees that are not reported as missing when
// lost workers make them impossible, and against shortfalls reported while
// enough healthy workers are left.
func TestShortfall(t *testing.T) {
	is := is.New(t)
	s := fixture(3, 16)
	is.Equal(len(policy.Decide(s).Shortfalls), 0)
	s.Workers[1].Usable = false
	is.Equal(len(policy.Decide(s).Shortfalls), 0) // bound to the healthy ones
	s.Workers[2].Usable = false
	is.Equal(policy.Decide(s).Shortfalls, []sched.Shortfall{{Customer: "big", Shape: model.Shape{Accelerators: 16}, Missing: 1}})
}

// TestFairShare guards against a customer that gets all accelerators by
// submitting first.
func TestFairShare(t *testing.T) {
	is := is.New(t)
	s := fixture(2, 0)
	for _, c := range []string{"big", "big", "big", "big", "small", "small"} {
		addWaiting(s, c, 1, 4, nil)
	}
	p := policy.Decide(s)
	count := map[model.JobID]bool{}
	for _, st := range p.Starts {
		count[st.ID] = true
	}
	is.Equal(len(count), 4)
	is.True(count["j100"] && count["j101"] && count["j104"] && count["j105"])
}
