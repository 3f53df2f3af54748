package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// fleet generates observations of steps on workers of given speeds.
type fleet struct {
	r         *rand.Rand
	logSpeeds []float64
	unitSD    float64
	steps     int
	gangs     bool        // steps are gangs, whose members do equal work
	restarts  map[int]int // number of restarts by worker
}

// thirds returns a fleet of which a third each runs at 0.6, 1.0 and 1.6 times the common
// speed.
func thirds(seed uint64, n int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 1)), unitSD: 0.25}
	for i := range n {
		f.logSpeeds = append(f.logSpeeds, math.Log([]float64{0.6, 1, 1.6}[i%3]))
	}
	return f
}

func id(w int) string { return fmt.Sprint("w", w) }

// runStep observes one unit of a new step on each of the given workers, which may repeat.
func (f *fleet) runStep(m *Model, workers ...int) {
	f.steps++
	k := StepKey{Job: fmt.Sprint("j", f.steps)}
	work := f.r.NormFloat64() * 0.9
	for unit, w := range workers {
		rate := work + f.logSpeeds[w]
		if f.gangs {
			rate += f.r.NormFloat64() * 0.03 // progress is reported in whole percent
		} else {
			rate += f.r.NormFloat64() * f.unitSD
			if f.r.IntN(100) < 3 {
				rate -= math.Log(7)
			}
		}
		m.Observe(&Observation{Worker: id(w), Incarnation: f.incarnation(w), Step: k, Gang: f.gangs, Unit: unit, Run: 1, Rate: math.Exp(rate)})
		m.Close(id(w), f.incarnation(w), k, unit, 1)
	}
}

func (f *fleet) incarnation(w int) int64 { return 1 + int64(f.restarts[w]) }

// observeEach runs steps of at least 39 units until each worker has n more observations, of
// which perStep are of the same step.
func (f *fleet) observeEach(m *Model, n, perStep int) {
	for range n / perStep {
		var units []int
		for i, w := range f.r.Perm(len(f.logSpeeds)) {
			for range perStep {
				units = append(units, w)
			}
			if len(units) >= 39 || i == len(f.logSpeeds)-1 {
				f.runStep(m, units...)
				units = nil
			}
		}
		m.Fit()
	}
}

// told returns the share of the workers with speed 0.6 that are told (estimated below 0.8),
// the share of the others that are taken for them, and the root mean square of the errors
// in units of the stated standard deviations.
func (f *fleet) told(m *Model) (right, wrong, calibration float64) {
	n := float64(len(f.logSpeeds))
	for w, truth := range f.logSpeeds {
		e := m.Estimate(id(w), 1)
		calibration += math.Pow((e.Log-truth)/e.SD, 2) / n
		if e.Log < math.Log(0.8) {
			if w%3 == 0 {
				right += 3 / n
			} else {
				wrong += 1.5 / n
			}
		}
	}
	return right, wrong, math.Sqrt(calibration)
}

// Guards against slow workers that are told too late or not surely enough, and against
// standard deviations that promise too much or too little. Required are half of the slow
// workers after one observation, two thirds after two and 95 percent after five, and at most
// 5 percent of the others taken for slow.
func TestSlowWorkersAreTold(t *testing.T) {
	for _, c := range []struct{ observations, perStep, right, wrong float64 }{
		{1, 1, 0.5, 0.05},
		{2, 1, 0.67, 0.05},
		{5, 1, 0.95, 0.05},
		{8, 8, 0.67, 0.05}, // a worker filled with units of one step
		{16, 8, 0.95, 0.05},
	} {
		var right, wrong, calibration, spread float64
		for seed := range uint64(10) {
			f, m := thirds(seed, 351), New()
			f.observeEach(m, int(c.observations), int(c.perStep))
			r, w, z := f.told(m)
			right, wrong, calibration, spread = right+r/10, wrong+w/10, calibration+z/10, spread+m.Spread()/10
		}
		t.Logf("%v observations, %v per step: told %.3f, wrongly told %.3f, error/SD %.2f, spread %.2f",
			c.observations, c.perStep, right, wrong, calibration, spread)
		if right < c.right || wrong > c.wrong || calibration < 0.75 || calibration > 1.33 || spread < 0.3 || spread > 0.5 {
			t.Errorf("not as required: %+v", c)
		}
	}
}

// Guards against equal workers that count as slow or fast, also while some of them are slow
// for a while.
func TestEqualWorkersHaveNoSpread(t *testing.T) {
	for seed := range uint64(5) {
		f, m := thirds(seed, 351), New()
		clear(f.logSpeeds)
		f.unitSD = 0.15 + 0.15*f.r.Float64()
		for round := range 14 {
			for w := range 17 {
				f.logSpeeds[w] = 0
				if round >= 3 && round < 6 {
					f.logSpeeds[w] = math.Log(0.3)
				}
			}
			f.observeEach(m, 1, 1)
			if m.Spread() != 0 || m.Estimate(id(0), 1) != (Estimate{}) {
				t.Errorf("seed %d, deviation of units %.2f, round %d: spread %.3f", seed, f.unitSD, round, m.Spread())
			}
		}
	}
}

// Guards against a new leader that starts without what the earlier one has learnt, or that
// trusts it more than it did.
func TestRestoredModelContinues(t *testing.T) {
	is := is.New(t)
	f, m := thirds(1, 351), New()
	f.observeEach(m, 2, 1)
	var records []Record
	for w := range f.logSpeeds {
		records = append(records, Record{Worker: id(w), Incarnation: 1, Estimate: m.Estimate(id(w), 1)})
	}
	next := New()
	next.Restore(records)
	next.Fit()
	is.True(math.Abs(next.Spread()-m.Spread()) < 0.05)
	for w := range f.logSpeeds {
		before, after := m.Estimate(id(w), 1), next.Estimate(id(w), 1)
		is.True(math.Abs(before.Log-after.Log) < 0.1)
		is.True(math.Abs(before.SD-after.SD) < 0.05)
		is.Equal(after.Observations, 2)
	}
	f.observeEach(next, 3, 1)
	right, wrong, calibration := f.told(next)
	is.True(right >= 0.95 && wrong <= 0.05 && calibration < 1.33)
}

// Guards against a worker that comes back with another speed and is taken for what it was,
// and against late news of its earlier incarnation.
func TestNewIncarnationStartsUnknown(t *testing.T) {
	is := is.New(t)
	f, m := thirds(2, 60), New()
	f.observeEach(m, 8, 1)
	is.True(m.Estimate(id(0), 1).Log < -0.3)
	f.logSpeeds[0], f.restarts = math.Log(1.6), map[int]int{0: 1}
	f.runStep(m, 0)
	f.restarts = nil
	f.runStep(m, 0) // news of the earlier incarnation
	m.Fit()
	// A step of which all runs are on one worker tells nothing about it.
	is.Equal(m.Estimate(id(0), 1), Estimate{SD: m.Spread()})
	e := m.Estimate(id(0), 2)
	is.True(math.Abs(e.Log) < 1e-6 && math.Abs(e.SD-m.Spread()) < 1e-6)
	f.restarts = map[int]int{0: 1}
	f.observeEach(m, 5, 1)
	is.True(m.Estimate(id(0), 2).Log > 0.25)
	m.Retain(map[string]int64{id(0): 2, id(1): 1})
	is.Equal(len(m.workers), 2)
}

// Guards against a model that grows without limit, and against one that forgets what the
// steps that it no longer keeps have shown.
func TestOldStepsAreCondensed(t *testing.T) {
	is := is.New(t)
	const more = 50
	f, m := thirds(3, 39), New()
	f.observeEach(m, maxSteps+more, 1) // one step at a time
	is.Equal(len(m.steps), maxSteps)
	is.Equal(len(m.byAge), maxSteps)
	for w, truth := range f.logSpeeds {
		is.True(math.Abs(m.Estimate(id(w), 1).Log-truth) < 0.2)
		is.Equal(m.Estimate(id(w), 1).Observations, maxSteps+more)
	}
}

// Measures the cost of an update with the observations of a day, all of them in groups of
// their own, which is the most expensive case.
func BenchmarkFit(b *testing.B) {
	f, m := thirds(1, 350), New()
	f.observeEach(m, 14, 1)
	for b.Loop() {
		m.stale = true
		m.Fit()
	}
}

// Guards against gangs that are weighted like other steps: their members do equal work, so
// one run of each worker in a gang tells its speed.
func TestOneGangTellsSpeeds(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		f, m := thirds(seed, 351), New()
		f.gangs = true
		f.observeEach(m, 1, 1)
		f.gangs = false
		m.Fit()
		right, wrong, _ := f.told(m)
		is.True(right > 0.95)
		is.True(wrong < 0.05)
	}
}

// Guards against equal workers that count as unequal because of what gangs show.
func TestGangsOnEqualWorkersShowNoSpread(t *testing.T) {
	is := is.New(t)
	f, m := &fleet{r: rand.New(rand.NewPCG(1, 3)), unitSD: 0.3, gangs: true, logSpeeds: make([]float64, 351)}, New()
	for round := range 10 {
		f.gangs = round%2 == 0
		f.observeEach(m, 1, 1)
		is.Equal(m.Spread(), 0.0)
	}
}
