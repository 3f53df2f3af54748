package speed

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the estimation. All standard deviations are on a logarithmic scale.
const (
	// initialUnitSD is the assumed deviation of units before enough of them were seen. It is
	// the upper end of what was observed (15 to 30 percent), because a lower value makes
	// equal workers look different.
	initialUnitSD = 0.3
	// initialGangSD is the same for the members of a gang, which share one work. Progress in
	// whole percent alone deviates by up to a twentieth.
	initialGangSD = 0.1
	// initialUnitWeight is the number of runs that initialUnitSD and initialGangSD count for.
	initialUnitWeight    = 10
	minUnitSD, maxUnitSD = 0.05, 0.6
	// groupSD is the deviation that all runs of a step on a worker have in common, from
	// neighbours on the worker and from the times of its reports.
	groupSD = 0.05
	// exceptionalShare and exceptionalSD describe the runs that deviate far more than
	// others: 3 in 100 units take seven times as long.
	exceptionalShare = 0.03
	exceptionalSD    = 1.5
	// minSpread is the least spread that counts: with less, a gang on the slowest workers
	// still completes within the usual completion target.
	minSpread = 0.1
	// minWorkerVar is the variance between workers that the messages use for equal workers,
	// so that a difference can be noticed.
	minWorkerVar = 0.05 * 0.05
	maxWorkerVar = 1.5 * 1.5
	// trimmedShare is the share of the workers that deviate most, without which a spread
	// must still be visible. Workers that are slow for seconds are no sign of a spread.
	trimmedShare = 0.1
	// minSignificance is the number of standard deviations by which the differences between
	// workers must exceed those expected between equal workers. The test is repeated many
	// times, hence the large number.
	minSignificance = 3.5
	// sweepsPerFit is the number of message rounds per fit. Later fits continue from the
	// messages of earlier ones.
	sweepsPerFit = 3
	// minPrecision is the precision below which knowledge counts as none.
	minPrecision = 1e-6
)

var initialUnitVar = [stepKinds]float64{plainStep: initialUnitSD * initialUnitSD, gangStep: initialGangSD * initialGangSD}

// gaussian is a normal distribution in information form. The zero value knows nothing.
type gaussian struct{ precision, sum float64 }

func fromMean(mean, variance float64) gaussian {
	if math.IsInf(variance, 0) {
		return gaussian{}
	}
	return gaussian{precision: 1 / variance, sum: mean / variance}
}

func (a gaussian) add(b gaussian) gaussian {
	return gaussian{a.precision + b.precision, a.sum + b.sum}
}

func (a gaussian) without(b gaussian) gaussian {
	return gaussian{a.precision - b.precision, a.sum - b.sum}
}

func (a gaussian) empty() bool { return a.precision < minPrecision }

// mean returns the mean, or 0 if nothing is known.
func (a gaussian) mean() float64 {
	if a.empty() {
		return 0
	}
	return a.sum / a.precision
}

// variance returns the variance, which is infinite if nothing is known.
func (a gaussian) variance() float64 {
	if a.empty() {
		return math.Inf(1)
	}
	return 1 / a.precision
}

// limit returns a with a precision of at most p and the same mean.
func (a gaussian) limit(p float64) gaussian {
	if a.precision <= p {
		return a
	}
	return gaussian{precision: p, sum: a.sum / a.precision * p}
}

// Fit updates the estimates. Its cost is proportional to the number of observations.
//
// Steps and workers exchange what they know about their terms (Gaussian belief propagation
// on the graph of steps and workers). A step of which all runs are on one worker thus tells
// nothing about that worker, and one that runs on many compares them. Each value is weighted
// by the probability that it is not exceptional, given all others. The deviation of units
// and the variance between workers are estimated with it.
func (m *Model) Fit() {
	if !m.stale {
		return
	}
	m.stale = false
	m.condense()
	// The deviation of units is updated only once the spread has been: with one run per
	// worker, differences between workers would otherwise count as deviation of units.
	nextUnitVar := m.unitVar
	for range sweepsPerFit {
		m.updateBeliefs()
		var deviation, weight [stepKinds]float64
		for _, s := range m.byAge {
			d, n := m.updateStep(s)
			deviation[s.kind] += d
			weight[s.kind] += n
		}
		for k := range nextUnitVar {
			v := (deviation[k] + initialUnitWeight*initialUnitVar[k]) / (weight[k] + initialUnitWeight)
			nextUnitVar[k] = min(max(v, minUnitSD*minUnitSD), maxUnitSD*maxUnitSD)
		}
		m.updateBeliefs()
		m.updateSpread()
	}
	m.unitVar = nextUnitVar
	m.updateBeliefs()
}

// updateBeliefs adds up what is known about each worker.
func (m *Model) updateBeliefs() {
	for _, w := range m.workers {
		w.belief = gaussian{precision: 1 / m.workerVar}.add(w.earlier)
		for _, g := range w.groups {
			w.belief = w.belief.add(g.toWorker)
		}
	}
}

// updateStep weighs the values of a step and updates the messages to its workers. It
// returns the sum of the squared deviations of its units and the weight of them.
func (m *Model) updateStep(s *step) (deviation, weight float64) {
	work := m.stepTerm(s)
	for _, g := range s.groups {
		d, n := m.weigh(g, work.without(m.toStep(g)))
		deviation, weight = deviation+d, weight+n
	}
	work = m.stepTerm(s)
	for _, g := range s.groups {
		others := work.without(m.toStep(g))
		g.toWorker = fromMean(g.mean-others.mean(), g.variance+others.variance())
	}
	return deviation, weight
}

// stepTerm adds up what the groups of a step tell about the step's term.
func (m *Model) stepTerm(s *step) gaussian {
	var sum gaussian
	for _, g := range s.groups {
		g.summarize(m.unitVar[s.kind])
		sum = sum.add(m.toStep(g))
	}
	return sum
}

// summarize sets the mean of the values and its variance.
func (g *group) summarize(unitVar float64) {
	var weight, sum float64
	for i := range g.values {
		weight += g.values[i].weight
		sum += g.values[i].weight * g.values[i].log
	}
	if weight < minPrecision {
		g.mean, g.variance = 0, math.Inf(1)
		return
	}
	g.mean, g.variance = sum/weight, unitVar/weight+groupSD*groupSD
}

// toStep returns what a group tells about the term of its step, with the speed of its
// worker as other steps show it.
func (m *Model) toStep(g *group) gaussian {
	speed := g.worker.belief.without(g.toWorker)
	return fromMean(g.mean-speed.mean(), g.variance+speed.variance())
}

// weigh sets the weight of each value of a group from what the others predict. work is the
// term of the step as the other groups show it. weigh returns the sum of the squared
// deviations of the units and their weight.
func (m *Model) weigh(g *group, work gaussian) (deviation, weight float64) {
	unitVar := m.unitVar[g.step.kind]
	speed := g.worker.belief.without(g.toWorker)
	outside := fromMean(work.mean()+speed.mean(), work.variance()+speed.variance()+groupSD*groupSD)
	all := outside
	for i := range g.values {
		all = all.add(toGroup(&g.values[i], unitVar))
	}
	for i := range g.values {
		v := &g.values[i]
		expected := all.without(toGroup(v, unitVar))
		all = expected
		v.weight = 1
		if !expected.empty() {
			v.weight = regularProbability(v.log-expected.mean(), expected.variance()+unitVar)
		}
		all = all.add(toGroup(v, unitVar))
	}
	for i := range g.values {
		v := &g.values[i]
		r := v.log - all.mean()
		deviation += v.weight * (r*r + all.variance())
		weight += v.weight
	}
	return deviation, weight
}

// toGroup returns what a value tells about the mean of its group.
func toGroup(v *value, unitVar float64) gaussian {
	return gaussian{precision: v.weight / unitVar, sum: v.weight * v.log / unitVar}
}

// regularProbability returns the probability that a value with the given deviation from its
// expectation is not exceptional. variance is that of the deviation of regular values.
func regularProbability(deviation, variance float64) float64 {
	regular := (1 - exceptionalShare) * density(deviation, variance)
	exceptional := exceptionalShare * density(deviation, variance+exceptionalSD*exceptionalSD)
	return regular / (regular + exceptional)
}

func density(x, variance float64) float64 {
	return math.Exp(-x*x/(2*variance)) / math.Sqrt(variance)
}

// updateSpread estimates the variance between workers. The spread is 0 unless the
// differences are significant and visible without the workers that deviate most.
func (m *Model) updateSpread() {
	var seen []gaussian
	for _, w := range m.workers {
		if own := w.belief.without(gaussian{precision: 1 / m.workerVar}); !own.empty() {
			seen = append(seen, own)
		}
	}
	variance := varianceBetween(seen, 1)
	if variance >= minSpread*minSpread {
		kept := leastDeviating(seen, variance, len(seen)-int(trimmedShare*float64(len(seen))))
		variance = min(variance, varianceBetween(kept, normalShare(len(kept), len(seen))))
	}
	m.workerVar = max(variance, minWorkerVar)
	m.spread = 0
	if variance >= minSpread*minSpread && m.significance() >= minSignificance {
		m.spread = math.Sqrt(variance)
	}
}

// leastDeviating returns the n of the speeds that deviate least from their mean, given the
// variance between workers.
func leastDeviating(seen []gaussian, variance float64, n int) []gaussian {
	center := centerOf(seen, variance)
	squared := func(s gaussian) float64 {
		d := s.mean() - center
		return d * d / (s.variance() + variance)
	}
	out := slices.SortedFunc(slices.Values(seen), func(a, b gaussian) int { return cmp.Compare(squared(a), squared(b)) })
	return out[:n]
}

// normalShare returns the mean of the n smallest squared values of a sample of the standard
// normal distribution.
func normalShare(n, sample int) float64 {
	if n >= sample {
		return 1
	}
	kept := float64(n) / float64(sample)
	limit := math.Sqrt2 * math.Erfinv(kept)
	return 1 - 2*limit*math.Exp(-limit*limit/2)/math.Sqrt(2*math.Pi)/kept
}

// varianceBetween returns the variance between workers with which the mean of their squared
// standardized speeds is the expected one (method of Paule and Mandel).
func varianceBetween(seen []gaussian, expected float64) float64 {
	if len(seen) < 2 {
		return 0
	}
	expected *= float64(len(seen) - 1)
	low, high := 0.0, float64(maxWorkerVar)
	for range 16 {
		middle := (low + high) / 2
		if squaredDeviations(seen, middle) > expected {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// squaredDeviations returns the sum of the squared standardized speeds if the variance
// between workers is the given one.
func squaredDeviations(seen []gaussian, variance float64) float64 {
	center, sum := centerOf(seen, variance), 0.0
	for _, s := range seen {
		d := s.mean() - center
		sum += d * d / (s.variance() + variance)
	}
	return sum
}

// centerOf returns the weighted mean of the speeds.
func centerOf(seen []gaussian, variance float64) float64 {
	var all gaussian
	for _, s := range seen {
		all = all.add(fromMean(s.mean(), s.variance()+variance))
	}
	return all.mean()
}

// significance returns by how many standard deviations the differences between workers
// exceed those expected between equal workers.
func (m *Model) significance() float64 {
	var squares float64
	freedom := 0
	compare := func(values []gaussian) {
		if len(values) > 1 {
			squares += squaredDeviations(values, 0)
			freedom += len(values) - 1
		}
	}
	var values []gaussian
	for _, s := range m.byAge {
		values = values[:0]
		for _, g := range s.groups {
			if !math.IsInf(g.variance, 0) {
				values = append(values, fromMean(g.mean, g.variance))
			}
		}
		compare(values)
	}
	values = values[:0]
	for _, w := range m.workers {
		if !w.earlier.empty() {
			values = append(values, w.earlier)
		}
	}
	compare(values)
	if freedom == 0 {
		return 0
	}
	// Approximation of Wilson and Hilferty to the distribution of the sum of squares.
	n := 2 / (9 * float64(freedom))
	return (math.Cbrt(squares/float64(freedom)) - (1 - n)) / math.Sqrt(n)
}
