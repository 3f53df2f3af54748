// Package scale generates zones of up to full size and measures single decisions
// on them.
package scale

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/naive"
	"teaselpaddle.example/teaselpaddle/internal/sched/policy"
)

// Full size of a deployment, all of it in one zone, which is the worst case for
// a decision.
const (
	FullWorkers    = 6900
	fullTasks      = 37000
	fullCustomers  = 570
	workersPerRack = 8
)

// rackAccelerators holds the accelerators per worker for each of 20 racks; the
// racks of a zone repeat it. The average is 2.3.
var rackAccelerators = []int{0, 0, 0, 0, 0, 0, 1, 1, 1, 2, 2, 2, 2, 4, 4, 4, 4, 4, 8, 8}

// Zone is a generated zone with running and waiting jobs.
type Zone struct {
	Snap sched.Snapshot
	rnd  *rand.Rand
	seq  uint64
}

// New returns a zone with the given numbers of workers and waiting jobs. The
// numbers of running tasks and of customers are in proportion to the full size.
func New(workers, waiting int) *Zone {
	z := &Zone{rnd: rand.New(rand.NewPCG(uint64(workers), 7))}
	z.Snap = sched.Snapshot{Now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), Zone: "z"}
	for i := range workers {
		rack := i / workersPerRack
		a := rackAccelerators[rack%len(rackAccelerators)]
		z.Snap.Workers = append(z.Snap.Workers, sched.Worker{
			Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%04d", rack), Cores: 64, MemoryMiB: 256 << 10,
			Accelerators: a, Slots: 8, Usable: true,
		})
	}
	z.configure(max(fullCustomers*workers/FullWorkers, 4))
	z.fill(fullTasks * workers / FullWorkers)
	for range waiting {
		z.Snap.Waiting = append(z.Snap.Waiting, z.Job())
	}
	return z
}

// configure sets a configuration with the given number of customers, one in five
// of which has a guarantee.
func (z *Zone) configure(customers int) {
	svc := model.Service{Name: "s", Policy: model.Policy{CheckpointBoundSeconds: 5, FragmentationWeight: 0.5}}
	for i := range customers {
		c := model.Customer{Name: fmt.Sprintf("c%03d", i), Weight: 1 + i%3}
		if i%5 == 0 {
			c.Guarantees = []model.Guarantee{{AvailabilityZone: "z", Shape: model.Shape{Accelerators: 8 << (i % 3)}, Count: 1}}
		}
		svc.Customers = append(svc.Customers, c)
	}
	z.Snap.Config = &model.Configuration{Services: []model.Service{svc}}
}

// Job generates a waiting job. It does not add the job to the zone.
func (z *Zone) Job() sched.Waiting {
	z.seq++
	s := model.JobSpec{
		Customer: z.Snap.Config.Services[0].Customers[z.rnd.IntN(len(z.Snap.Config.Services[0].Customers))].Name,
		Tasks:    1, CPU: 1 + z.rnd.IntN(6), MemoryMiB: 1024 * (1 + z.rnd.IntN(16)), Adjacent: true,
		Repeatable: z.rnd.IntN(10) > 0, EstimatedSeconds: float64(600 + z.rnd.IntN(20000)), Urgent: z.rnd.IntN(50) == 0,
	}
	switch n := z.rnd.IntN(100); {
	case n < 40:
	case n < 85:
		s.Accelerators = 1 << z.rnd.IntN(3)
	default:
		s.Accelerators = 1 << z.rnd.IntN(4)
		s.Tasks = 2 << z.rnd.IntN(3)
	}
	return sched.Waiting{
		ID: model.JobID(fmt.Sprintf("z.%08d", z.seq)), Spec: s, Seq: z.seq,
		SubmittedAt: z.Snap.Now.Add(-time.Duration(z.rnd.IntN(7200)) * time.Second),
	}
}

// fill starts jobs until the given number of tasks is running or nothing more
// fits.
func (z *Zone) fill(tasks int) {
	st := policy.NewState("z", z.Snap.Config, z.Snap.Workers, sched.Rules{})
	running, idle := 0, 0
	for running < tasks && idle < 50 {
		jobs := map[model.JobID]sched.Waiting{}
		for range 500 {
			j := z.Job()
			j.Spec.Urgent = false
			j.SubmittedAt = z.Snap.Now
			jobs[j.ID] = j
			st.AddWaiting(&j)
		}
		plan := st.Decide(z.Snap.Now)
		started := 0
		for _, s := range plan.Starts {
			if running >= tasks {
				break
			}
			r := StartedAttempt(jobs[s.ID], &s, z.Snap.Now.Add(-time.Duration(z.rnd.IntN(7200))*time.Second))
			z.Snap.Running = append(z.Snap.Running, r)
			st.AddRunning(&r)
			running += r.Spec.Tasks
			started++
		}
		for id := range jobs {
			st.RemoveWaiting(id)
		}
		idle++
		if started > 0 {
			idle = 0
		}
	}
}

// StartedAttempt returns the attempt of a job that a plan starts.
func StartedAttempt(j sched.Waiting, s *sched.Start, at time.Time) sched.Running {
	return sched.Running{
		ID: j.ID, Customer: j.Spec.Customer, Spec: j.Spec, Seq: j.Seq, Placement: s.Placement,
		Borrowed: s.Borrowed, Claim: s.Claim, StartedAt: at,
	}
}

// maxTries bounds the random search for attempts that still run.
const maxTries = 100

// Times summarizes the measured times of decisions.
type Times struct{ P50, P99, Max time.Duration }

func newTimes(v []time.Duration) Times {
	slices.Sort(v)
	return Times{v[len(v)/2], v[len(v)*99/100], v[len(v)-1]}
}

// Decisions measures decisions on an incrementally updated state. Before each, a
// job is submitted and attempts with at least as many tasks end, so that the
// queue stays short.
func (z *Zone) Decisions(n int) Times {
	st := policy.FromSnapshot(&z.Snap)
	st.Decide(z.Snap.Now)
	running := map[model.JobID]int{} // tasks of each running job
	var ids []model.JobID
	for i := range z.Snap.Running {
		ids = append(ids, z.Snap.Running[i].ID)
		running[ids[i]] = z.Snap.Running[i].Spec.Tasks
	}
	jobs := map[model.JobID]sched.Waiting{}
	for _, w := range z.Snap.Waiting {
		jobs[w.ID] = w
	}
	var took []time.Duration
	now := z.Snap.Now
	for range n {
		now = now.Add(time.Second)
		j := z.Job()
		j.SubmittedAt = now
		jobs[j.ID] = j
		begin := time.Now()
		st.AddWaiting(&j)
		// In a small zone fewer tasks than the job's may be running.
		for ended, tries := 0, 0; ended < j.Spec.Tasks && tries < maxTries; tries++ {
			if k := z.rnd.IntN(len(ids)); running[ids[k]] > 0 {
				st.RemoveRunning(ids[k])
				ended += running[ids[k]]
				running[ids[k]] = 0
			}
		}
		plan := st.Decide(now)
		for i := range plan.Starts {
			s := &plan.Starts[i]
			st.RemoveWaiting(s.ID)
			r := StartedAttempt(jobs[s.ID], s, now)
			st.AddRunning(&r)
			ids = append(ids, s.ID)
			running[s.ID] = r.Spec.Tasks
		}
		for _, r := range plan.Rejections {
			st.RemoveWaiting(r.ID)
		}
		for _, p := range plan.Preemptions {
			st.RemoveRunning(p.ID)
			running[p.ID] = 0
		}
		took = append(took, time.Since(begin))
	}
	return newTimes(took)
}

// FullPasses measures full decision passes over all waiting jobs. The state is
// built once, outside the measured time.
func (z *Zone) FullPasses(n int) Times {
	st := policy.FromSnapshot(&z.Snap)
	var took []time.Duration
	for range n {
		begin := time.Now()
		st.Decide(z.Snap.Now)
		took = append(took, time.Since(begin))
	}
	return newTimes(took)
}

// FromSnapshot measures policy.Decide, which builds its state from the snapshot
// at each decision.
func (z *Zone) FromSnapshot(n int) Times { return measure(n, func() { policy.Decide(&z.Snap) }) }

// Naive measures the naive reference on the snapshot.
func (z *Zone) Naive(n int) Times { return measure(n, func() { naive.Decide(&z.Snap) }) }

func measure(n int, f func()) Times {
	var took []time.Duration
	for range n {
		begin := time.Now()
		f()
		took = append(took, time.Since(begin))
	}
	return newTimes(took)
}

// Memory returns the heap bytes that the decision state takes in addition to the
// snapshot.
func (z *Zone) Memory() uint64 {
	before := heapBytes()
	st := policy.FromSnapshot(&z.Snap)
	st.Decide(z.Snap.Now)
	after := heapBytes()
	runtime.KeepAlive(st)
	return after - min(before, after)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
