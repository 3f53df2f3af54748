package replay

import (
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// largeJobWorkers is the number of whole workers from which a job counts as large.
const largeJobWorkers = 1

// missSlack is the time beyond the checkpoint bound after which the wait for a
// guarantee counts as a miss.
const missSlack = time.Second

// Spread is the distribution of a time over jobs, in seconds.
type Spread struct {
	Jobs int     `json:"jobs"`
	Mean float64 `json:"mean_seconds"`
	P50  float64 `json:"p50_seconds"`
	P95  float64 `json:"p95_seconds"`
	P99  float64 `json:"p99_seconds"`
	Max  float64 `json:"max_seconds"`
}

func spread(v []float64) Spread {
	if len(v) == 0 {
		return Spread{}
	}
	slices.Sort(v)
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	q := func(p float64) float64 { return v[int(p*float64(len(v)-1))] }
	return Spread{len(v), sum / float64(len(v)), q(0.5), q(0.95), q(0.99), v[len(v)-1]}
}

// measures accumulates the results of one zone.
type measures struct {
	measuredUntil time.Time // the last submission; the drain after it is not measured

	// State after the last decision, as in the fields of Report. The sums below are
	// these values integrated over time.
	scattered    int
	largeStarved bool
	free         int
	waiting      bool

	seconds, scatteredSum, starvedSum, freeSum, fragmentationSum float64

	// Times of single jobs in seconds; small and large hold completion times.
	completions, small, large, smallWaits, largeWaits, urgentWaits, reclaimWaits []float64
	guaranteeMisses, preemptions, stopped, rejected, unfinished, failed          int
}

func newMeasures() *measures { return &measures{} }

// accumulate adds the current state, held for the given time, to the sums.
func (m *measures) accumulate(t time.Duration) {
	s := t.Seconds()
	m.seconds += s
	m.scatteredSum += s * float64(m.scattered)
	m.freeSum += s * float64(m.free)
	if m.waiting {
		m.fragmentationSum += s * float64(m.free)
	}
	if m.largeStarved {
		m.starvedSum += s
	}
}

// sample updates the current state from the driver.
func (m *measures) sample(d *driver) {
	var waiting []*model.JobSpec
	for _, j := range d.openJobs {
		if j.run == nil {
			waiting = append(waiting, &j.Spec)
		}
	}
	m.scattered, m.largeStarved = d.cells.Fragmentation(waiting, d.largeJobSize())
	m.free, m.waiting = d.cells.FreeAccelerators(), len(waiting) > 0
}

// largeJobSize returns the number of accelerators from which a job counts as large.
func (d *driver) largeJobSize() int {
	n := 1
	for i := range d.workerList {
		n = max(n, d.workerList[i].Accelerators)
	}
	return n * largeJobWorkers
}

// checkpointBound returns the checkpoint bound of the service that a job's
// customer belongs to.
func (m *measures) checkpointBound(cfg *model.Configuration, j *job) time.Duration {
	_, svc := cfg.Customer(j.Spec.Customer)
	if svc == nil {
		return 0
	}
	return time.Duration(svc.Policy.CheckpointBoundSeconds * float64(time.Second))
}

// addJobs adds the results of all jobs. Jobs without a final state at the end
// count with the time until then.
func (m *measures) addJobs(d *driver, end time.Time) {
	largeJobSize := d.largeJobSize()
	for _, j := range d.allJobs {
		if j.rejected != "" {
			m.rejected++
			continue
		}
		m.addJob(d, j, largeJobSize, end)
	}
}

func (m *measures) addJob(d *driver, j *job, largeJobSize int, end time.Time) {
	if !j.final {
		j.finishedAt = end
		m.unfinished++
	}
	wait := j.startedAt.Sub(j.SubmittedAt)
	if !j.started {
		wait = j.finishedAt.Sub(j.SubmittedAt)
	}
	if j.hasUnusedGuarantee && !j.cancelled {
		m.reclaimWaits = append(m.reclaimWaits, wait.Seconds())
		if wait > m.checkpointBound(d.cfg, j)+missSlack {
			m.guaranteeMisses++
		}
	}
	if j.Spec.Urgent {
		m.urgentWaits = append(m.urgentWaits, wait.Seconds())
	}
	isLarge := j.Spec.TotalAccelerators() >= largeJobSize
	if isLarge {
		m.largeWaits = append(m.largeWaits, wait.Seconds())
	} else {
		m.smallWaits = append(m.smallWaits, wait.Seconds())
	}
	if j.final && !j.completed {
		m.failed++
		return
	}
	if j.submission.Endless {
		return
	}
	took := j.finishedAt.Sub(j.SubmittedAt).Seconds()
	m.completions = append(m.completions, took)
	if isLarge {
		m.large = append(m.large, took)
	} else {
		m.small = append(m.small, took)
	}
}

// hasUnusedGuarantee reports, independently of the decision code, whether an
// unused guaranteed shape of the job's customer certainly holds the job. Each open
// job uses at most one shape, so a shape is unused while the customer has fewer
// open jobs than shapes that are large enough. Jobs larger than every shape use
// none.
func (d *driver) hasUnusedGuarantee(j *job) bool {
	n := j.Spec.TotalAccelerators()
	if n == 0 || d.cfg == nil {
		return false
	}
	c, _ := d.cfg.Customer(j.Spec.Customer)
	if c == nil {
		return false
	}
	available, largest := 0, 0
	for _, g := range c.Guarantees {
		if g.AvailabilityZone != d.zone {
			continue
		}
		largest = max(largest, g.Shape.Accelerators)
		if g.Shape.Accelerators >= n {
			available += g.Count
		}
	}
	for _, o := range d.openJobs {
		if o != j && o.Spec.Customer == c.Name && o.Spec.TotalAccelerators() <= largest {
			available--
		}
	}
	return available > 0
}
