package dispatch

import (
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// A unit that lasts runs on one of two workers, and a gang waits for both of them. Guards against a
// reservation for the gang that is renewed for as long as the unit lasts: jobs behind it would
// never start on idle workers.
func TestGangBehindLastingUnitBlocksNoOtherJob(t *testing.T) {
	f := newFakeWorkers(t, 20*time.Second, "w1", "w2")
	f.byID["w1"].lasting, f.byID["w2"].lasting = true, true
	b := newTestBed(t, f)
	b.waitForFirstReports("w1", "w2")
	b.apply(&batch.Command{Publish: &batch.Config{
		Version: 2, Services: []batch.Service{{Name: "desk"}}, Document: []byte("{}"),
		Queues: []batch.Queue{
			{Name: "gangs", Host: "h", Prefix: "/g/", Priority: 1, Service: "desk", Public: true},
			{Name: "batch", Host: "h", Prefix: "/b/", Priority: 2, Service: "desk", Public: true},
		},
	}})
	lasting := unitStep(1, 1)
	lasting.LongRunning = true
	b.submit("/g/", "lasting", lasting)
	b.waitFor(time.Second, "started", f.startedOnce(batch.UnitRef{Job: "lasting"}))
	b.submit("/g/", "gang", wholeWorkerGang(2))
	time.Sleep(2 * idleInterval) // for plans that reserve room for the gang
	b.submit("/b/", "other", unitStep(1, 1))
	b.waitFor(2*time.Second, "the other job started", f.startedOnce(batch.UnitRef{Job: "other"}))
	b.is.Equal(b.state("gang"), batch.Queued)
}
