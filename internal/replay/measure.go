package replay

import (
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// largeWorkers is the number of whole workers from which a job counts as large.
const largeWorkers = 1

// missSlack is the time beyond the checkpoint bound after which a guarantee that
// was not met counts as a miss.
const missSlack = time.Second

// Spread sums up times in seconds.
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

// measures collects the results of one zone.
type measures struct {
	until    time.Time // the last submission; the drain after it is not measured
	unusable int
	starved  bool
	free     int
	waiting  bool

	seconds, unusableSum, starvedSum, freeSum, idleSum float64

	complete, small, large, smallWait, largeWait, urgentWait, reclaims []float64
	misses, preemptions, stopped, rejected, unfinished, failed         int
}

func newMeasures() *measures { return &measures{} }

// over adds the present state over a time.
func (m *measures) over(t time.Duration) {
	s := t.Seconds()
	m.seconds += s
	m.unusableSum += s * float64(m.unusable)
	m.freeSum += s * float64(m.free)
	if m.waiting {
		m.idleSum += s * float64(m.free)
	}
	if m.starved {
		m.starvedSum += s
	}
}

// sample reads the present state.
func (m *measures) sample(d *driver) {
	var waiting []*model.JobSpec
	for _, j := range d.open {
		if j.run == nil {
			waiting = append(waiting, &j.Spec)
		}
	}
	m.unusable, m.starved = d.cells.Fragmentation(waiting, d.large())
	m.free, m.waiting = d.cells.FreeAccelerators(), len(waiting) > 0
}

// large is the number of accelerators from which a job counts as large.
func (d *driver) large() int {
	n := 1
	for i := range d.list {
		n = max(n, d.list[i].Accelerators)
	}
	return n * largeWorkers
}

// bound is the checkpoint bound of a job's customer.
func (m *measures) bound(cfg *model.Configuration, j *job) time.Duration {
	_, svc := cfg.Customer(j.Spec.Customer)
	if svc == nil {
		return 0
	}
	return time.Duration(svc.Policy.CheckpointBoundSeconds * float64(time.Second))
}

// close adds up the jobs. Jobs that are not final at the end count with the time
// until then.
func (m *measures) close(d *driver, end time.Time) {
	large := d.large()
	for _, j := range d.order {
		if j.rejected != "" {
			m.rejected++
			continue
		}
		m.closeJob(d, j, large, end)
	}
}

func (m *measures) closeJob(d *driver, j *job, large int, end time.Time) {
	if !j.final {
		j.finished = end
		m.unfinished++
	}
	wait := j.startedAt.Sub(j.SubmittedAt)
	if !j.started {
		wait = j.finished.Sub(j.SubmittedAt)
	}
	if j.entitled && !j.cancelled {
		m.reclaims = append(m.reclaims, wait.Seconds())
		if wait > m.bound(d.cfg, j)+missSlack {
			m.misses++
		}
	}
	if j.Spec.Urgent {
		m.urgentWait = append(m.urgentWait, wait.Seconds())
	}
	isLarge := j.Spec.TotalAccelerators() >= large
	if isLarge {
		m.largeWait = append(m.largeWait, wait.Seconds())
	} else {
		m.smallWait = append(m.smallWait, wait.Seconds())
	}
	if j.final && !j.done {
		m.failed++
		return
	}
	if j.truth.Endless {
		return
	}
	took := j.finished.Sub(j.SubmittedAt).Seconds()
	m.complete = append(m.complete, took)
	if isLarge {
		m.large = append(m.large, took)
	} else {
		m.small = append(m.small, took)
	}
}

// entitled tells, apart from the decision code, whether a guarantee of the job's
// customer certainly has room for it: each open job uses at most one shape, so
// there is room while the customer has fewer open jobs than shapes that are
// large enough. Jobs larger than every shape use none.
func (d *driver) entitled(j *job) bool {
	n := j.Spec.TotalAccelerators()
	if n == 0 || d.cfg == nil {
		return false
	}
	c, _ := d.cfg.Customer(j.Spec.Customer)
	if c == nil {
		return false
	}
	fit, largest := 0, 0
	for _, g := range c.Guarantees {
		if g.AvailabilityZone != d.zone {
			continue
		}
		largest = max(largest, g.Shape.Accelerators)
		if g.Shape.Accelerators >= n {
			fit += g.Count
		}
	}
	for _, o := range d.open {
		if o != j && o.Spec.Customer == c.Name && o.Spec.TotalAccelerators() <= largest {
			fit--
		}
	}
	return fit > 0
}
