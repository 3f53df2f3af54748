package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

var start = time.Unix(0, 0)

// Guards against a worker on which every task fails and that still gets work.
func TestBadWorkerIsSuspendedAndProbed(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	for i := range 3 {
		is.True(!tr.Suspended("w", start))
		tr.RecordFailure(model.JobID(fmt.Sprint("j", i)), "w", start)
	}
	is.True(tr.Suspended("w", start.Add(minProbeDelay-1)))
	is.True(!tr.Suspended("w", start.Add(minProbeDelay)))
	tr.RecordFailure("probe", "w", start.Add(minProbeDelay))
	is.True(tr.Suspended("w", start.Add(2*minProbeDelay)))
	is.True(!tr.Suspended("w", start.Add(3*minProbeDelay)))
	tr.RecordSuccess("w")
	tr.RecordFailure("x", "w", start)
	is.True(!tr.Suspended("w", start))
}

// Guards against faulty jobs that suspend healthy workers.
func TestBadJobsDoNotSuspendWorkers(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	for i := range 3 {
		id := model.JobID(fmt.Sprint("bad", i))
		for _, w := range []string{"a", "b", "c"} {
			tr.RecordFailure(id, w, start)
		}
		tr.ClearJobFailures(id)
	}
	for _, w := range []string{"a", "b", "c"} {
		is.True(!tr.Suspended(w, start))
	}
}

// Guards against confusing faulty jobs with an unhealthy worker when both occur
// together: the jobs' failures are cleared, the worker's own remain.
func TestBadJobsAndBadWorkerTogether(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	for i := range 3 {
		tr.RecordFailure(model.JobID(fmt.Sprint("bad", i)), "broken", start)
		tr.RecordFailure(model.JobID(fmt.Sprint("bad", i)), "good", start)
		tr.RecordFailure(model.JobID(fmt.Sprint("fine", i)), "broken", start)
	}
	for i := range 3 {
		tr.ClearJobFailures(model.JobID(fmt.Sprint("bad", i)))
	}
	is.True(tr.Suspended("broken", start))
	is.True(!tr.Suspended("good", start))
}

// Guards against counting one job more than once against a worker.
func TestOneJobCountsOnce(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	for range 5 {
		tr.RecordFailure("j", "w", start)
	}
	is.True(!tr.Suspended("w", start))
}
