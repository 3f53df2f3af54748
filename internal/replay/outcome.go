package replay

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/juju/errors"
)

// ExpectedOutcome holds the bounds that the report of a trace's replay must
// meet. It is kept in a file next to the trace.
type ExpectedOutcome struct {
	// MinJobs is the least number of jobs in the completion times.
	MinJobs int `json:"min_jobs"`
	// MaxMeanSeconds bounds the mean completion time.
	MaxMeanSeconds float64 `json:"max_mean_completion_seconds"`
	// MaxLargeP95Seconds bounds the 95th percentile of large jobs' waits.
	MaxLargeP95Seconds float64 `json:"max_large_wait_p95_seconds"`
	// MaxFragmentation bounds the free accelerators per zone while jobs wait.
	MaxFragmentation float64 `json:"max_fragmentation_accelerators"`
	// MaxReclaimSeconds bounds the longest wait for a guarantee.
	MaxReclaimSeconds float64 `json:"max_reclaim_seconds"`
	// The report must have exactly the following numbers.
	GuaranteeMisses int `json:"guarantee_misses"`
	Unfinished      int `json:"unfinished"`
	Rejected        int `json:"rejected"`
}

// OutcomeError reports a result of a replay outside its expected bound.
type OutcomeError struct {
	Measure      string
	Got, Allowed float64
}

func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%s is %g, expected bound is %g", e.Measure, e.Got, e.Allowed)
}

// ReadExpectedOutcome reads an expected outcome from a JSON file.
func ReadExpectedOutcome(path string) (*ExpectedOutcome, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	o := &ExpectedOutcome{}
	return o, errors.Trace(json.Unmarshal(raw, o))
}

// Compare returns an *OutcomeError for the first result outside its bound.
func (o *ExpectedOutcome) Compare(r *Report) error {
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
