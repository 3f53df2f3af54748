// Package share computes the use that customers make of a region. The load that it addresses
// are customers of very unequal size that compete for too little room: in the order of
// acceptance, the burst of one of them decides how long the others wait.
package share

import (
	"math"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// negligible is the use below which a customer without runs is forgotten. It is less than
// one accelerator of ten thousand.
const negligible = 1e-4

// Tracker holds the use of each customer: the dominant share of what its runs hold, or its
// earlier use if that is larger after it is halved every half-life. A customer that has
// just held much does not count as small because its runs have ended.
//
// The state is not replicated. A new Tracker starts from what is running, and what came
// before counts for a few half-lives only.
type Tracker struct {
	halfLifeMS int64
	atMS       int64
	use        map[string]float64
}

// NewTracker returns a Tracker. With a half-life of 0, earlier use does not count.
func NewTracker(halfLifeMS int64) *Tracker {
	return &Tracker{halfLifeMS: halfLifeMS, use: map[string]float64{}}
}

// Update sets the resources that customers hold at a time, and the resources that there are.
func (t *Tracker) Update(nowMS int64, held map[string]batch.Resources, capacity batch.Resources) {
	keep := 0.0
	if t.halfLifeMS > 0 {
		keep = math.Exp2(-float64(max(nowMS-t.atMS, 0)) / float64(t.halfLifeMS))
	}
	t.atMS = nowMS
	for customer, use := range t.use {
		if use *= keep; use > negligible {
			t.use[customer] = use
		} else {
			delete(t.use, customer)
		}
	}
	for customer, r := range held {
		t.use[customer] = max(t.use[customer], Dominant(r, capacity))
	}
}

// Use returns the use of all customers that have any. It is valid until the next Update.
func (t *Tracker) Use() map[string]float64 { return t.use }

// Dominant returns the largest of the shares of the capacity that the given resources make
// up. A resource that there is none of is left out.
func Dominant(r, capacity batch.Resources) float64 {
	var largest float64
	for _, x := range [...][2]int64{{r.Accelerators, capacity.Accelerators}, {r.CPU, capacity.CPU}, {r.MemoryMB, capacity.MemoryMB}} {
		if x[1] > 0 {
			largest = max(largest, float64(x[0])/float64(x[1]))
		}
	}
	return largest
}
