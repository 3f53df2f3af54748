package replay

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// TestRecordedTraceCanBeReplayed guards against recorded traces that cannot be
// read or replayed: events come from several goroutines and run times are taken
// from reports.
func TestRecordedTraceCanBeReplayed(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	r := NewRecorder(&buf, traceStart)
	r.Config(traceStart, "z", &model.Configuration{Services: []model.Service{{Name: "s"}}})
	r.Announce(traceStart, model.Worker{Name: "w", AvailabilityZone: "z", Rack: "r", Cores: 8, MemoryMiB: 8, Accelerators: 8, Slots: 8})
	var wg sync.WaitGroup
	keys := []string{"a", "b", "c"}
	for _, key := range keys {
		wg.Go(func() {
			r.Submit(traceStart.Add(time.Second), model.NewJobID("z", "c", key), model.JobSpec{Customer: "c", Key: key, Tasks: 1, Accelerators: 4, Repeatable: true, Payload: "x"})
		})
	}
	wg.Wait()
	for _, key := range keys {
		wg.Go(func() { r.Report(traceStart.Add(61*time.Second), model.NewJobID("z", "c", key), time.Minute, 0, true) })
	}
	wg.Wait()
	is.NoErr(r.Close())
	is.Equal(r.Dropped(), uint64(0))
	r.Cancel(traceStart, "late") // after Close it is ignored
	events, err := Read(&buf)
	is.NoErr(err)
	is.Equal(len(events), 8)
	for _, naive := range []bool{false, true} {
		rep, err := Run(Options{Events: events, Naive: naive})
		is.NoErr(err)
		is.Equal(rep.Completion.Jobs, 3)
		is.Equal(rep.Completion.Max, 120.0) // two jobs fit at once, the third waits a minute
	}
}

// blockedWriter is a writer that blocks until the channel is closed.
type blockedWriter chan struct{}

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b
	return len(p), nil
}

// TestRecorderDoesNotBlock guards against a full or slow disk that blocks
// the daemon.
func TestRecorderDoesNotBlock(t *testing.T) {
	is := is.New(t)
	b := make(blockedWriter)
	r := NewRecorder(b, traceStart)
	for range 2 * recorderBuffer {
		r.Cancel(traceStart, "z.1")
	}
	is.True(r.Dropped() > 0)
	close(b)
	is.NoErr(r.Close())
	var none *Recorder
	none.Cancel(traceStart, "z.1")
	is.NoErr(none.Close())
}

// TestReadRejectsDamagedTraces guards against damaged traces that are replayed
// partially.
func TestReadRejectsDamagedTraces(t *testing.T) {
	is := is.New(t)
	for _, bad := range []string{"{", "{\"at_ms\":5}\n{\"at_ms\":4}\n"} {
		_, err := Read(bytes.NewBufferString(bad))
		_, ok := err.(*LineError)
		is.True(ok)
	}
}
