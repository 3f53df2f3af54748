package region

import (
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// Guards against a malformed job or configuration from another instance that is written to
// the log. It would end every control instance, and again after each restart.
func TestMalformedRequestsAreNotCommitted(t *testing.T) {
	is := is.New(t)
	c := openSingleControl(t)
	rep := handle(t, c, &request{Publish: &batch.Config{
		Version: 1, Services: []batch.Service{{Name: "s"}}, Queues: []batch.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Public: true}},
	}})
	is.Equal(rep.Verdict, batch.OK)
	for _, steps := range [][]batch.Step{
		{{Count: -1}},
		{{Count: 1, DependsOn: []int{7}}},
		{{Count: 1, DependsOn: []int{-1}}},
		nil,
	} {
		rep = handle(t, c, &request{Submit: &batch.Submit{Call: batch.Call{Host: "h", Path: "/q/j1"}, ID: "j1", Spec: batch.Spec{Steps: steps}}})
		is.True(rep.OutcomeUnknown)
	}
	rep = handle(t, c, &request{Publish: &batch.Config{Version: 2, Queues: []batch.Queue{{Name: "q", Service: "gone"}}}})
	is.True(rep.OutcomeUnknown)
	odd := batch.Worker{ID: "w", Incarnation: 1, Address: "127.0.0.1:1", Service: "s", Capacity: batch.Resources{CPU: 1 << 62}}
	rep = handle(t, c, &request{Announce: &Announcement{Worker: odd}})
	is.True(rep.OutcomeUnknown)
	odd.Capacity = batch.Resources{}
	rep = handle(t, c, &request{Announce: &Announcement{Worker: odd, ClockMS: 1 << 62}})
	is.True(rep.OutcomeUnknown)
	rep = handle(t, c, &request{Zone: &batch.ZoneChange{Cordon: true}})
	is.True(rep.OutcomeUnknown)
	is.True(c.handleRequest(t.Context(), []byte{0xff, 0x00}).OutcomeUnknown)
	c.machine.View(func(v *batch.View) {
		is.Equal(len(v.LiveJobs()), 0)
		is.Equal(len(v.Workers()), 0)
		is.Equal(v.Config().Version, uint64(1))
	})
}

// Guards against a process that ends because one request meets an unexpected error.
func TestPanicInRequestIsContained(t *testing.T) {
	is := is.New(t)
	broken := &Control{log: logr.Discard()} // without a group
	is.True(broken.serveRequest(t.Context(), nil).OutcomeUnknown)
}
