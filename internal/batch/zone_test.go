package batch

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a delayed copy of an order that cordons a zone again after it was
// uncordoned, and against a zone that is forgotten by a restart from a snapshot.
func TestDelayedZoneOrderHasNoEffect(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	cordon := &Command{Zone: &ZoneChange{Zone: "z", Cordon: true}}
	is.Equal(apply(t, m, cordon), OK)
	is.Equal(apply(t, m, cordon), OK) // a repeated order
	is.Equal(apply(t, m, &Command{Zone: &ZoneChange{Zone: "z", Generation: 1}}), OK)
	is.Equal(apply(t, m, cordon), ZoneChanged)
	m.View(func(v *View) { is.True(!v.Cordoned("z")) })

	is.Equal(apply(t, m, &Command{Zone: &ZoneChange{Zone: "z", Cordon: true, Generation: 2}}), OK)
	snapshot, err := m.Snapshot()
	is.NoErr(err)
	restored := New(nil)
	is.NoErr(restored.Restore(snapshot))
	restored.View(func(v *View) {
		is.True(v.Cordoned("z"))
		is.Equal(v.Zones()["z"].Generation, uint64(3))
	})
}

// Guards against a start that was decided before a zone was cordoned and is committed
// after it, and against a gang that starts without its member in that zone.
func TestStartsInCordonedZoneAreRejected(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	apply(t, m, &Command{Worker: &WorkerChange{Worker: Worker{ID: "w3", Incarnation: 1, Service: "s", Zone: "z"}}})
	apply(t, m, submit("j1", "k1", Step{Count: 2}))
	apply(t, m, submit("j2", "k1", Step{Count: 2, Gang: true}))
	apply(t, m, &Command{Zone: &ZoneChange{Zone: "z", Cordon: true}})
	start := func(job string, index int, worker string) Start {
		return Start{Unit: UnitRef{Job: job, Index: index}, Run: 1, Worker: worker, Incarnation: 1}
	}
	is.Equal(apply(t, m, &Command{Starts: &Starts{Starts: []Start{start("j1", 0, "w1"), start("j1", 1, "w3")}}}), []bool{true, false})
	is.Equal(apply(t, m, &Command{Starts: &Starts{Starts: []Start{start("j2", 0, "w1"), start("j2", 1, "w3")}}}), []bool{false, false})
}

// Guards against a measured speed that is applied to a later incarnation of the worker,
// against one that is lost when the worker begins to drain, and against one that a worker
// announces itself.
func TestSpeedBelongsToIncarnation(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	speed := func(incarnation int64) *Command {
		return &Command{Speeds: &WorkerSpeeds{Speeds: []SpeedOfWorker{{Worker: "w1", Incarnation: incarnation, Speed: WorkerSpeed{LogMilli: -500}}}}}
	}
	recorded := func() (s *WorkerSpeed) {
		m.View(func(v *View) { s = v.Workers()["w1"].Speed })
		return s
	}
	apply(t, m, speed(2))
	is.True(recorded() == nil)
	apply(t, m, speed(1))
	apply(t, m, &Command{Worker: &WorkerChange{Worker: Worker{ID: "w1", Incarnation: 1, Service: "s", Draining: true}}})
	is.Equal(recorded().LogMilli, int64(-500))
	apply(t, m, &Command{Worker: &WorkerChange{Worker: Worker{ID: "w1", Incarnation: 2, Service: "s", Speed: &WorkerSpeed{LogMilli: 900}}}})
	is.True(recorded() == nil)
}
