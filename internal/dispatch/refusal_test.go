package dispatch

import (
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// A worker refuses starts with a text of its own. Guards against a process that ends because the text
// is no valid part of a metric's name, and against a unit that is sent there again and again.
func TestRefusalWithOddReason(t *testing.T) {
	f := newFakeWorkers(t, 50*time.Millisecond, "w1", "w2")
	f.byID["w1"].refusal = "unit needs more \"gpu\" than is left"
	b := newTestBed(t, f)
	b.waitForFirstReports("w1", "w2")
	b.submit("/b/", "j1", unitStep(2, 8))
	b.waitFor(5*time.Second, "completed on the other worker", func() bool { return b.state("j1") == batch.Completed })
}
