package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

var start = time.Unix(0, 0)

// Guards against a worker that fails everything and keeps getting work.
func TestBadWorkerIsSuspendedAndProbed(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	for i := range 3 {
		is.True(!tr.Suspended("w", start))
		tr.Failed(model.JobID(fmt.Sprint("j", i)), "w", start)
	}
	is.True(tr.Suspended("w", start.Add(firstProbe-1)))
	is.True(!tr.Suspended("w", start.Add(firstProbe)))
	tr.Failed("probe", "w", start.Add(firstProbe))
	is.True(tr.Suspended("w", start.Add(2*firstProbe)))
	is.True(!tr.Suspended("w", start.Add(3*firstProbe)))
	tr.Succeeded("w")
	tr.Failed("x", "w", start)
	is.True(!tr.Suspended("w", start))
}

// Guards against bad jobs that take good workers out of use.
func TestBadJobsDoNotSuspendWorkers(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	for i := range 3 {
		id := model.JobID(fmt.Sprint("bad", i))
		for _, w := range []string{"a", "b", "c"} {
			tr.Failed(id, w, start)
		}
		tr.JobAtFault(id)
	}
	for _, w := range []string{"a", "b", "c"} {
		is.True(!tr.Suspended(w, start))
	}
}

// Guards against confusing the two when bad jobs and a bad worker come
// together: the jobs' failures are taken back, the worker's own remain.
func TestBadJobsAndBadWorkerTogether(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	for i := range 3 {
		tr.Failed(model.JobID(fmt.Sprint("bad", i)), "broken", start)
		tr.Failed(model.JobID(fmt.Sprint("bad", i)), "good", start)
		tr.Failed(model.JobID(fmt.Sprint("fine", i)), "broken", start)
	}
	for i := range 3 {
		tr.JobAtFault(model.JobID(fmt.Sprint("bad", i)))
	}
	is.True(tr.Suspended("broken", start))
	is.True(!tr.Suspended("good", start))
}

// Guards against one job that is counted twice against a worker.
func TestOneJobCountsOnce(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	for range 5 {
		tr.Failed("j", "w", start)
	}
	is.True(!tr.Suspended("w", start))
}
