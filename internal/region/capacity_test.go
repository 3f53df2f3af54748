package region

import (
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// Guards against starts that exceed the capacity of a worker which has shrunk while it
// runs, and against an announcement that arrives late and restores the former capacity.
func TestCapacityOfRunningWorkerChanges(t *testing.T) {
	is := is.New(t)
	c := openSingleControl(t)
	announce := func(clockMS, accelerators int64) int64 {
		t.Helper()
		rep := handle(t, c, &request{Announce: &Announcement{ClockMS: clockMS, Worker: batch.Worker{
			ID: "w", Incarnation: 1, Address: "127.0.0.1:1", Service: "s", Capacity: batch.Resources{Accelerators: accelerators},
		}}})
		is.True(!rep.NotLeader && !rep.OutcomeUnknown)
		var recorded int64
		c.machine.View(func(v *batch.View) { recorded = v.Workers()["w"].Capacity.Accelerators })
		return recorded
	}
	is.Equal(announce(1000, 8), int64(8))
	is.Equal(announce(2500, 3), int64(3))
	is.Equal(announce(1500, 8), int64(3)) // was on its way for long
	is.Equal(announce(4000, 8), int64(8))
	is.Equal(announce(5500, 3), int64(3))
	is.Equal(announce(7000, 3), int64(3))
	is.Equal(announce(6500, 8), int64(3))
}
