// Package estimate corrects declared run times by observed ones. For each
// customer it keeps a small histogram of log2(actual/declared) with decay, so
// its memory is bounded and old observations lose their weight.
package estimate

import (
	"math"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
)

// Parameters of a customer's histogram.
const (
	buckets            = 49   // from 2^-6 to 2^6 in steps of 2^0.25
	bucketsPerDoubling = 4    // buckets per factor of two
	maxSamples         = 1024 // all counts are halved when their sum reaches this
	// minSamples is the number of samples below which nothing is corrected,
	// because a single unusual run says little.
	minSamples = 5
)

// Quantiles of a Correction.
const (
	lowQuantile  = 0.1
	highQuantile = 0.9
)

// DefaultRunTime is assumed for jobs that declare no run time.
const DefaultRunTime = 24 * time.Hour

type history struct {
	counts [buckets]uint16
	total  int
}

// Table holds the histories of all customers. The zero value is an empty table.
// It is not safe for concurrent use.
type Table struct {
	byCustomer map[string]*history
}

// Add records that a job of a customer ran for the time actual.
func (t *Table) Add(customer string, declaredSeconds float64, actual time.Duration) {
	if declaredSeconds <= 0 || actual <= 0 {
		return
	}
	if t.byCustomer == nil {
		t.byCustomer = map[string]*history{}
	}
	h := t.byCustomer[customer]
	if h == nil {
		h = &history{}
		t.byCustomer[customer] = h
	}
	h.counts[bucket(actual.Seconds()/declaredSeconds)]++
	h.total++
	if h.total >= maxSamples {
		h.halve()
	}
}

func bucket(ratio float64) int {
	b := int(math.Round(math.Log2(ratio)*bucketsPerDoubling)) + buckets/2
	return min(max(b, 0), buckets-1)
}

func (h *history) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

func (h *history) quantile(q float64) float64 {
	rank := int(q * float64(h.total-1))
	for i, n := range h.counts {
		rank -= int(n)
		if rank < 0 {
			return math.Exp2(float64(i-buckets/2) / bucketsPerDoubling)
		}
	}
	return 1
}

// Correction returns the correction for a customer, or the zero value if there
// are too few samples.
func (t *Table) Correction(customer string) sched.Correction {
	h := t.byCustomer[customer]
	if h == nil || h.total < minSamples {
		return sched.Correction{}
	}
	return sched.Correction{
		Low: h.quantile(lowQuantile), Median: h.quantile(0.5), High: h.quantile(highQuantile),
		Samples: h.total,
	}
}

// Corrections returns the corrections of all customers, for a snapshot.
func (t *Table) Corrections() map[string]sched.Correction {
	out := make(map[string]sched.Correction, len(t.byCustomer))
	for c := range t.byCustomer {
		if v := t.Correction(c); v.Samples > 0 {
			out[c] = v
		}
	}
	return out
}

// Times is the range of corrected run times of a job. None of the values is
// certain.
type Times struct {
	Low, Median, High time.Duration
}

// Of returns the corrected run time of a job.
func Of(spec *model.JobSpec, c sched.Correction) Times {
	base := DefaultRunTime
	if spec.EstimatedSeconds > 0 {
		base = time.Duration(spec.EstimatedSeconds * float64(time.Second))
	}
	if c.Samples == 0 || spec.EstimatedSeconds <= 0 {
		return Times{base, base, base}
	}
	scale := func(f float64) time.Duration { return time.Duration(float64(base) * f) }
	return Times{scale(c.Low), scale(c.Median), scale(c.High)}
}

// Remaining returns how much longer a job that has run for elapsed is expected
// to run. A job that has exceeded its expected time is expected to run for
// another half of elapsed: run times spread over orders of magnitude.
func Remaining(expected, elapsed time.Duration) time.Duration {
	if left := expected - elapsed; left > 0 {
		return left
	}
	return elapsed / 2
}
