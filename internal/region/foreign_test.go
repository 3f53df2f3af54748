package region

import (
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// A status report of another system arrives under the id of a worker in use, with a later start.
// Guards against replacing the worker by it: the worker's runs would be started again while they go
// on.
func TestForeignAnnouncementDoesNotReplaceWorker(t *testing.T) {
	is := is.New(t)
	c := openSingleControl(t)
	announce := func(w batch.Worker) {
		is.True(!handle(t, c, &request{Announce: &Announcement{Worker: w}}).OutcomeUnknown)
	}
	recorded := func(id string) (out *batch.Worker) {
		c.machine.View(func(v *batch.View) {
			if w := v.Workers()[id]; w != nil {
				record := *w
				out = &record
			}
		})
		return out
	}
	publish := func(version uint64, services ...batch.Service) {
		rep := handle(t, c, &request{Publish: &batch.Config{Version: version, Services: services}})
		is.Equal(rep.Verdict, batch.OK)
	}
	own := batch.Worker{ID: "w", Incarnation: 5, Address: "127.0.0.1:1", Service: "desk"}
	early := batch.Worker{ID: "early", Incarnation: 1, Address: "127.0.0.1:3", Service: "later"}
	announce(early)
	is.True(recorded("early") != nil) // before the first configuration, no service is foreign
	publish(1, batch.Service{Name: "desk"})
	announce(own)
	foreign := batch.Worker{ID: "w", Incarnation: 9, Address: "127.0.0.1:2", Service: "weld-line"}
	announce(foreign)
	is.Equal(recorded("w").Incarnation, int64(5))
	foreign.ID = "x"
	announce(foreign)
	is.True(recorded("x") == nil)

	// A worker whose service was taken out of the configuration still drains, and one whose service
	// was added is recorded.
	publish(2, batch.Service{Name: "weld-line"})
	own.Draining = true
	announce(own)
	is.True(recorded("w").Draining)
	announce(foreign)
	is.True(recorded("x") != nil)
}
