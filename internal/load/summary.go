package load

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// The histogram holds completion times from 1 µs to 10 minutes with a precision
// of three significant digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Summary is the result of a run.
type Summary struct {
	Mode            Mode
	Jobs            int
	Whole           int // jobs answered as done without any finding
	States          map[model.JobState]int
	Refusals        map[model.Reason]int // as Outcome.Refusals, over all jobs
	Findings        Findings
	completionTimes *hdrhistogram.Histogram
}

func newSummary(mode Mode, outcomes []*Outcome, found Findings) *Summary {
	s := &Summary{
		Mode: mode, Jobs: len(outcomes), States: map[model.JobState]int{}, Refusals: map[model.Reason]int{}, Findings: found,
		completionTimes: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
	bad := map[string]bool{}
	for i := range found {
		bad[found[i].Key] = true
	}
	for _, o := range outcomes {
		s.States[o.State()]++
		for code, n := range o.Refusals {
			s.Refusals[code] += n
		}
		a := o.Answer()
		if a == nil || a.State != model.Done {
			continue
		}
		_ = s.completionTimes.RecordValue(a.At.Sub(o.Submitted).Microseconds())
		if !bad[o.Spec.Key] {
			s.Whole++
		}
	}
	return s
}

// Passed reports whether the run has no findings and, in the modes without
// cancellations, every job was answered as done with all results.
func (s *Summary) Passed() bool {
	return len(s.Findings) == 0 && (s.Mode == Cancel || s.Whole == s.Jobs)
}

// Times returns the line with the completion times.
func (s *Summary) Times() string {
	q := func(p float64) time.Duration {
		return (time.Duration(s.completionTimes.ValueAtQuantile(p)) * time.Microsecond).Round(time.Millisecond)
	}
	return fmt.Sprintf("completion times of %d jobs: p50 %s, p95 %s, p99 %s, max %s",
		s.completionTimes.TotalCount(), q(50), q(95), q(99), q(100))
}

// StatesLine returns a line with the number of jobs by final state.
func (s *Summary) StatesLine() string {
	var parts []string
	for st, n := range s.States {
		name := string(st)
		if name == "" {
			name = "without answer"
		}
		parts = append(parts, fmt.Sprintf("%d %s", n, name))
	}
	slices.Sort(parts)
	return fmt.Sprintf("%s: %d jobs: %s; %d findings", s.Mode, s.Jobs, strings.Join(parts, ", "), len(s.Findings))
}

// RefusalsLine returns a line with the number of refusals by code.
func (s *Summary) RefusalsLine() string {
	var parts []string
	for code, n := range s.Refusals {
		parts = append(parts, fmt.Sprintf("%d %s", n, code))
	}
	if len(parts) == 0 {
		return "no refusals"
	}
	slices.Sort(parts)
	return "refusals that were tried again or final: " + strings.Join(parts, ", ")
}

func (s *Summary) String() string {
	return fmt.Sprintf("demo: %d jobs, %d whole answers, %d doubled, %d partial",
		s.Jobs, s.Whole, s.Findings.Count(Doubled), s.Findings.Count(Partial))
}
