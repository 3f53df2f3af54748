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
	b := newTestBed(t, newFakeWorkers(t, 50*time.Millisecond, "w1", "w2"))
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
	b.apply(&batch.Command{Speeds: &batch.WorkerSpeeds{Speeds: []batch.SpeedOfWorker{
		{Worker: "w1", Incarnation: 1, Speed: batch.WorkerSpeed{LogMilli: -510, SDMilli: 50, Observations: 9}},
		{Worker: "w2", Incarnation: 1, Speed: batch.WorkerSpeed{LogMilli: 470, SDMilli: 50, Observations: 9}},
	}}})
	b.leadership = Open(cfg)
	t.Cleanup(b.leadership.Close)
	b.waitForFirstReports("w1", "w2")
	gang := unitStep(1, 2)
	gang.Gang, gang.EstimateMS = true, 4000
	b.submit("/u/", "j1", gang)
	b.waitFor(5*time.Second, "completed", func() bool { return b.state("j1") == batch.Completed })
	mu.Lock()
	defer mu.Unlock()
	b.is.Equal(len(starts), 1)
	b.is.True(strings.Contains(starts[0], `"worker"="w2"`))
	b.is.True(strings.Contains(starts[0], `"speed"=1.6`))
	b.machine.View(func(v *batch.View) { b.is.Equal(urgentSpeed(v.Config()), 1/1.5) })
}
