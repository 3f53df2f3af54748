package replay

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/juju/errors"
)

// Outcome is what a replay of a trace must give. It is stated in a file beside
// the trace.
type Outcome struct {
	// Jobs is the number of jobs that complete and are counted.
	MinJobs int `json:"min_jobs"`
	// MaxMeanSeconds bounds the mean completion time.
	MaxMeanSeconds float64 `json:"max_mean_completion_seconds"`
	// MaxLargeP95Seconds bounds the 95th percentile of large jobs' waits.
	MaxLargeP95Seconds float64 `json:"max_large_wait_p95_seconds"`
	// MaxFragmentation bounds the free accelerators per zone while jobs wait.
	MaxFragmentation float64 `json:"max_fragmentation_accelerators"`
	// MaxReclaimSeconds bounds the longest wait for a guarantee.
	MaxReclaimSeconds float64 `json:"max_reclaim_seconds"`
	GuaranteeMisses   int     `json:"guarantee_misses"`
	Unfinished        int     `json:"unfinished"`
	Rejected          int     `json:"rejected"`
}

// OutcomeError is a result of a replay that is not the stated one.
type OutcomeError struct {
	Measure      string
	Got, Allowed float64
}

func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%s is %g, stated is %g", e.Measure, e.Got, e.Allowed)
}

// ReadOutcome reads a stated outcome.
func ReadOutcome(path string) (*Outcome, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	o := &Outcome{}
	return o, errors.Trace(json.Unmarshal(raw, o))
}

// Compare returns an *OutcomeError for the first result that is not as stated.
func (o *Outcome) Compare(r *Report) error {
	for _, c := range []struct {
		name         string
		got, allowed float64
		ok           bool
	}{
		{"completed jobs", float64(r.Completion.Jobs), float64(o.MinJobs), r.Completion.Jobs >= o.MinJobs},
		{"mean completion", r.Completion.Mean, o.MaxMeanSeconds, r.Completion.Mean <= o.MaxMeanSeconds},
		{"large wait p95", r.LargeWait.P95, o.MaxLargeP95Seconds, r.LargeWait.P95 <= o.MaxLargeP95Seconds},
		{"fragmentation", r.Fragmentation, o.MaxFragmentation, r.Fragmentation <= o.MaxFragmentation},
		{"longest reclaim", r.Reclaim.Max, o.MaxReclaimSeconds, r.Reclaim.Max <= o.MaxReclaimSeconds},
		{"guarantee misses", float64(r.GuaranteeMisses), float64(o.GuaranteeMisses), r.GuaranteeMisses == o.GuaranteeMisses},
		{"unfinished jobs", float64(r.Unfinished), float64(o.Unfinished), r.Unfinished == o.Unfinished},
		{"rejected jobs", float64(r.Rejected), float64(o.Rejected), r.Rejected == o.Rejected},
	} {
		if !c.ok {
			return &OutcomeError{c.name, c.got, c.allowed}
		}
	}
	return nil
}
