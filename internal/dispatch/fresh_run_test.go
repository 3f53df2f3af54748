package dispatch

import (
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// A run is recorded and started while the ends in a report that was made before are being committed.
// Guards against stopping it: the report does not list it, and it was not recorded when the report
// arrived.
func TestRunStartedDuringAReportIsNotStopped(t *testing.T) {
	const commit = 300 * time.Millisecond
	f := newFakeWorkers(t, 400*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.waitForFirstReports("w1")
	b.submit("/b/", "j1", unitStep(1, 1))
	b.waitFor(time.Second, "started", f.startedOnce(batch.UnitRef{Job: "j1"}))
	time.Sleep(250 * time.Millisecond) // the start of j2 is being committed when j1 ends
	b.group.commitDelay.Store(int64(commit))
	entry, err := codec.Marshal(&batch.Command{Submit: &batch.Submit{
		Call: batch.Call{Host: "h", Path: "/b/j2"}, ID: "j2", Spec: batch.Spec{Payload: "p", Steps: []batch.Step{unitStep(1, 1)}}, AtMS: time.Now().UnixMilli(),
	}})
	b.is.NoErr(err)
	b.is.Equal(b.machine.Apply(0, entry), batch.OK)
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j2") == batch.Completed })
	b.is.Equal(f.startedOn(batch.UnitRef{Job: "j2"}), "[w1]")
}
