package dispatch

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// Guards against recorded speeds that do not reach placement, so that an urgent gang starts
// on a slow worker, and against a log that does not tell why a worker was chosen.
func TestRecordedSpeedDecidesStart(t *testing.T) {
	// Every second one is slow. Fewer workers would not show a significant difference.
	workers := []string{"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}
	b := newTestBed(t, newFakeWorkers(t, 50*time.Millisecond, workers...))
	b.leadership.Close()
	var mu sync.Mutex
	var starts []string
	cfg := b.leadership.cfg
	cfg.Epoch = b.apply(&batch.Command{Lead: &batch.Lead{Instance: "test"}}).(uint64)
	cfg.Log = funcr.New(func(_, args string) {
		mu.Lock()
		defer mu.Unlock()
		if strings.Contains(args, `"run started"`) {
			starts = append(starts, args)
		}
	}, funcr.Options{})
	b.apply(&batch.Command{Publish: &batch.Config{
		Version: 2, Services: []batch.Service{{Name: "desk"}}, Document: []byte("{}"),
		Queues: []batch.Queue{{Name: "urgent", Host: "h", Prefix: "/u/", MaxAttempts: 2, Service: "desk", Public: true, Stretch: 1.5, TargetMS: 250}},
	}})
	var recorded batch.WorkerSpeeds
	for i, id := range workers {
		s := batch.SpeedOfWorker{Worker: id, Incarnation: 1, Speed: batch.WorkerSpeed{LogMilli: 470, SDMilli: 50, Observations: 9}}
		if i%2 == 0 {
			s.Speed.LogMilli = -510
		}
		recorded.Speeds = append(recorded.Speeds, s)
	}
	b.apply(&batch.Command{Speeds: &recorded})
	cfg.MeasureSpeeds = true
	b.leadership = Open(cfg)
	t.Cleanup(b.leadership.Close)
	b.waitForFirstReports(workers...)
	gang := unitStep(1, 2)
	gang.Gang, gang.EstimateMS = true, 4000
	b.submit("/u/", "j1", gang)
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	mu.Lock()
	defer mu.Unlock()
	b.is.Equal(len(starts), 1)
	b.is.True(strings.Contains(starts[0], `"speed"=1.6`))
	b.machine.View(func(v *batch.View) { b.is.Equal(urgentSpeed(v.Config()), 1/1.5) })
}
