package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/speed"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Guards against progress before a checkpoint that counts as speed: all members of a gang
// continue from the gang's checkpoint, but only the unit that reported it is recorded with it.
func TestResumedGangIsMeasuredFromItsCheckpoint(t *testing.T) {
	is := is.New(t)
	b := newTestBed(t, newFakeWorkers(t, time.Second, "w1", "w2"))
	b.leadership.Close()
	step := unitStep(2, 8)
	step.Gang, step.Checkpoints = true, true
	b.submit("/b/", "j1", step)
	refs := []batch.UnitRef{{Job: "j1"}, {Job: "j1", Index: 1}}
	start := func(run int) {
		b.apply(&batch.Command{Starts: &batch.Starts{Starts: []batch.Start{
			{Unit: refs[0], Run: run, Worker: "w1", Incarnation: 1}, {Unit: refs[1], Run: run, Worker: "w2", Incarnation: 1},
		}}})
	}
	agentOf := func(k runKey) *agent {
		return &agent{
			leadership: &Leadership{cfg: Config{Machine: b.machine}, speeds: &workerSpeeds{model: speed.New()}},
			worker:     batch.Worker{ID: "w2", Incarnation: 1, Rack: "r1"}, rates: map[runKey]*runRate{},
			orders: map[runKey]*order{k: {startAckedAt: time.Now().Add(-time.Second)}},
		}
	}
	measured := func(run int) *runRate {
		k := runKey{refs[1], run}
		a := agentOf(k)
		a.addRates(&workerapi.UnitReport{Runs: []workerapi.UnitRun{{Unit: k.unit, Run: run, Percent: 50}}}, time.Now())
		is.True(a.rates[k] != nil)
		return a.rates[k]
	}
	start(1)
	is.Equal(measured(1).fromPercent, 0.0) // from the start
	b.apply(&batch.Command{Ends: &batch.Ends{Ends: []batch.End{
		{Unit: refs[0], Run: 1, How: batch.EndStopped, Checkpoint: "c1"}, {Unit: refs[1], Run: 1, How: batch.EndGangBroken},
	}}})
	start(2)
	is.Equal(measured(2).fromPercent, 50.5) // from the report
}
