package estimate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
)

// TestCorrection guards against corrections from too few runs, and against old
// runs that never lose their weight.
func TestCorrection(t *testing.T) {
	is := is.New(t)
	var table Table
	for range minSamples - 1 {
		table.Add("c", 100, 1000*time.Second)
	}
	is.Equal(table.Correction("c"), sched.Correction{})
	table.Add("c", 100, 1000*time.Second)
	table.Add("c", 0, time.Second) // ignored, as no run time was declared
	got := table.Correction("c")
	is.Equal(got.Samples, minSamples)
	is.True(got.Median > 8 && got.Median < 12)
	for range 3 * maxSamples {
		table.Add("c", 100, 100*time.Second)
	}
	got = table.Correction("c")
	is.Equal(got.Median, 1.0)
	is.True(got.Samples < maxSamples)
	is.Equal(len(table.Corrections()), 1)
}

// TestTimes guards against trusting a declared run time that has never been
// met.
func TestTimes(t *testing.T) {
	is := is.New(t)
	s := &model.JobSpec{EstimatedSeconds: 10}
	is.Equal(Of(s, sched.Correction{}).High, 10*time.Second)
	is.Equal(Of(s, sched.Correction{Low: 0.5, Median: 2, High: 8, Samples: 9}), Times{5 * time.Second, 20 * time.Second, 80 * time.Second})
	is.Equal(Of(&model.JobSpec{}, sched.Correction{Low: 1, Median: 1, High: 1, Samples: 9}).Median, DefaultRunTime)
	is.Equal(Remaining(time.Minute, 20*time.Second), 40*time.Second)
	is.Equal(Remaining(time.Minute, 2*time.Minute), time.Minute)
}
