// Package speed estimates how fast workers are relative to each other from the progress of
// the runs of the same step. It addresses gangs and units with tight completion targets on
// workers that look identical and differ in speed.
//
// The logarithm of a run's rate is modelled as the sum of three terms: one of its step, one
// of its worker, and the deviation of its unit. Callers' estimates are not used, because
// they are off by more than the workers differ. fit.go describes the estimation.
//
// The package reads no clock. A Model is not safe for concurrent use.
package speed

import (
	"math"
	"slices"
)

// StepKey identifies a step of one occurrence of a job.
type StepKey struct {
	Job              string
	Occurrence, Step int
}

// Observation is the rate of one run. The rate of a run in progress is replaced by its
// later ones.
type Observation struct {
	Worker      string
	Incarnation int64
	Step        StepKey
	Gang        bool    // the step is a gang
	Unit, Run   int     // index of the unit in its step, and number of the run
	Rate        float64 // share of the unit's work per second
}

// Estimate is the speed of a worker against the typical worker of the fleet.
type Estimate struct {
	Log          float64 // natural logarithm
	SD           float64 // standard deviation of Log; 0 if workers are alike
	Observations int     // number of runs that it was measured on
}

// Record is an estimate that an earlier model made for an incarnation of a worker.
type Record struct {
	Worker      string
	Incarnation int64
	Estimate    Estimate
}

const (
	// maxValuesPerGroup bounds the runs that are kept of one step on one worker. More of
	// them tell nothing new, because groupSD dominates.
	maxValuesPerGroup = 16
	// maxSteps is the number of steps that are kept; what the oldest ones without runs in
	// progress have shown is then added to the workers' earlier knowledge.
	maxSteps = 256
	// maxEarlierPrecision bounds the weight of the knowledge that is no longer kept by run
	// (standard deviation of 0.05), so that later runs can correct it.
	maxEarlierPrecision = 1 / (0.05 * 0.05)
)

// Model holds the observations and estimates of one leader. The zero value is not usable.
type Model struct {
	workers map[string]*worker
	steps   map[StepKey]*step
	byAge   []*step // steps, the oldest first

	// unitVar is the variance of the deviation of units. Members of a gang do equal shares of
	// one work, so they deviate far less than the units of other steps.
	unitVar   [stepKinds]float64
	workerVar float64 // variance between workers, as used by the messages
	spread    float64 // standard deviation between workers; 0 if they are alike
	stale     bool    // observations have changed since the last fit
}

// worker is an incarnation of a worker.
type worker struct {
	incarnation         int64
	earlier             gaussian // knowledge that is no longer kept by run
	earlierObservations int
	groups              []*group
	byStep              map[StepKey]*group
	belief              gaussian // of the log speed, including the variance between workers
}

// stepKind tells gangs from other steps.
type stepKind int

const (
	plainStep stepKind = iota
	gangStep
	stepKinds
)

type step struct {
	key    StepKey
	kind   stepKind
	groups []*group
	open   int // number of values that may still be replaced
}

// group holds the runs of one step on one worker.
type group struct {
	step     *step
	worker   *worker
	values   []value
	mean     float64  // weighted mean of the values
	variance float64  // of mean; infinite without values
	toWorker gaussian // what the group tells about the worker's log speed
}

// value is the last rate of a run.
type value struct {
	unit, run int
	log       float64 // logarithm of the rate
	weight    float64 // probability that the run is not one of the few exceptional ones
	open      bool
}

// New returns a model without observations.
func New() *Model {
	return &Model{
		workers: map[string]*worker{}, steps: map[StepKey]*step{},
		unitVar:   initialUnitVar,
		workerVar: minWorkerVar,
	}
}

// Restore starts the model from the records of an earlier one. It is called before the
// first observation.
func (m *Model) Restore(records []Record) {
	// The mean of the squared speeds and of their variances is the variance between workers.
	var sum float64
	known := 0
	for i := range records {
		if e := &records[i].Estimate; e.SD > 0 {
			sum += e.Log*e.Log + e.SD*e.SD
			known++
		}
	}
	if known == 0 {
		return
	}
	m.workerVar = max(sum/float64(known), minWorkerVar)
	for i := range records {
		r := &records[i]
		if r.Estimate.SD <= 0 {
			continue
		}
		w := m.worker(r.Worker, r.Incarnation)
		total := 1 / (r.Estimate.SD * r.Estimate.SD)
		if own := total - 1/m.workerVar; own > 0 {
			w.earlier = gaussian{precision: own, sum: r.Estimate.Log * total}.limit(maxEarlierPrecision)
			w.earlierObservations = r.Estimate.Observations
		}
	}
	m.stale = true
}

// worker returns the state of an incarnation of a worker, or nil if a later incarnation is
// known. A new incarnation starts without knowledge.
func (m *Model) worker(id string, incarnation int64) *worker {
	w := m.workers[id]
	if w != nil && w.incarnation >= incarnation {
		if w.incarnation > incarnation {
			return nil
		}
		return w
	}
	if w != nil {
		m.forget(w)
	}
	w = &worker{incarnation: incarnation, byStep: map[StepKey]*group{}}
	m.workers[id] = w
	return w
}

// forget removes the observations of a worker.
func (m *Model) forget(w *worker) {
	for _, g := range w.groups {
		for i := range g.values {
			if g.values[i].open {
				g.step.open--
			}
		}
		g.step.groups = slices.DeleteFunc(g.step.groups, func(o *group) bool { return o == g })
	}
	m.stale = true
}

// Retain forgets all workers but the given ones. incarnations holds the current
// incarnation of each worker.
func (m *Model) Retain(incarnations map[string]int64) {
	for id, w := range m.workers {
		if inc, ok := incarnations[id]; !ok || inc > w.incarnation {
			m.forget(w)
			delete(m.workers, id)
		}
	}
}

// Observe records the rate of a run. It reports whether it is the first one of the run.
func (m *Model) Observe(o *Observation) bool {
	if !(o.Rate > 0) || math.IsInf(o.Rate, 0) {
		return false
	}
	w := m.worker(o.Worker, o.Incarnation)
	if w == nil {
		return false
	}
	m.stale = true
	g := m.group(w, o.Step, o.Gang)
	if v := g.value(o.Unit, o.Run); v != nil {
		if v.open {
			v.log = math.Log(o.Rate)
		}
		return false
	}
	if len(g.values) >= maxValuesPerGroup {
		if i := slices.IndexFunc(g.values, func(v value) bool { return !v.open }); i >= 0 {
			g.values = slices.Delete(g.values, i, i+1)
		}
	}
	g.values = append(g.values, value{unit: o.Unit, run: o.Run, log: math.Log(o.Rate), weight: 1, open: true})
	g.step.open++
	return true
}

// Close fixes the value of a run that has ended. It has no effect if the run was not
// observed.
func (m *Model) Close(worker string, incarnation int64, k StepKey, unit, run int) {
	w := m.workers[worker]
	if w == nil || w.incarnation != incarnation || w.byStep[k] == nil {
		return
	}
	g := w.byStep[k]
	if v := g.value(unit, run); v != nil && v.open {
		v.open = false
		g.step.open--
	}
}

// group returns the runs of a step on a worker.
func (m *Model) group(w *worker, k StepKey, gang bool) *group {
	if g := w.byStep[k]; g != nil {
		return g
	}
	s := m.steps[k]
	if s == nil {
		s = &step{key: k}
		if gang {
			s.kind = gangStep
		}
		m.steps[k] = s
		m.byAge = append(m.byAge, s)
	}
	g := &group{step: s, worker: w, variance: math.Inf(1)}
	s.groups = append(s.groups, g)
	w.groups = append(w.groups, g)
	w.byStep[k] = g
	return g
}

func (g *group) value(unit, run int) *value {
	for i := range g.values {
		if v := &g.values[i]; v.unit == unit && v.run == run {
			return v
		}
	}
	return nil
}

// condense drops the oldest steps without runs in progress if there are too many, and keeps
// what they have shown about the workers.
func (m *Model) condense() {
	excess := len(m.byAge) - maxSteps
	if excess <= 0 {
		return
	}
	m.byAge = slices.DeleteFunc(m.byAge, func(s *step) bool {
		if excess <= 0 || s.open > 0 {
			return false
		}
		excess--
		delete(m.steps, s.key)
		for _, g := range s.groups {
			w := g.worker
			w.earlier = w.earlier.add(g.toWorker).limit(maxEarlierPrecision)
			w.earlierObservations += len(g.values)
			w.groups = slices.DeleteFunc(w.groups, func(o *group) bool { return o == g })
			delete(w.byStep, s.key)
		}
		return true
	})
}

// Estimate returns the speed of an incarnation of a worker, as of the last Fit. The
// standard deviation of a worker without observations is the spread.
func (m *Model) Estimate(id string, incarnation int64) Estimate {
	w := m.workers[id]
	if m.spread == 0 || w == nil || w.incarnation != incarnation || w.belief.precision == 0 {
		return Estimate{SD: m.spread}
	}
	n := w.earlierObservations
	for _, g := range w.groups {
		n += len(g.values)
	}
	return Estimate{Log: w.belief.mean(), SD: min(math.Sqrt(1/w.belief.precision), m.spread), Observations: n}
}

// Spread returns the standard deviation of the log speeds between workers, as of the last
// Fit, or 0 if the workers are alike.
func (m *Model) Spread() float64 { return m.spread }
