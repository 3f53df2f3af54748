package region

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// noPeers is a link.Peers without other instances.
type noPeers struct{}

func (noPeers) Call(context.Context, string, link.Kind, []byte) ([]byte, error) {
	return nil, &link.NotSentError{Cause: context.Canceled}
}
func (noPeers) Send(string, link.Kind, []byte) {}
func (noPeers) Handle(link.Kind, link.Handler) {}

// noWorkers is a workerapi.UnitClient without workers that answer.
type noWorkers struct{}

func (noWorkers) Start(context.Context, workerapi.UnitWorker, workerapi.UnitStart) error {
	return &workerapi.NoAnswerError{Cause: context.Canceled}
}

func (noWorkers) Stop(context.Context, workerapi.UnitWorker, workerapi.UnitStop) error {
	return &workerapi.NoAnswerError{Cause: context.Canceled}
}

func (noWorkers) Hold(context.Context, workerapi.UnitWorker, workerapi.UnitHold) (*workerapi.UnitReport, error) {
	return nil, &workerapi.NoAnswerError{Cause: context.Canceled}
}

// openSingleControl starts a control instance that leads a group of its own.
func openSingleControl(t testing.TB) *Control {
	const self = "127.0.0.1:7000"
	router := &Router{Self: self, Peers: noPeers{}, Log: logr.Discard()}
	c, err := OpenControl(ControlConfig{
		Self: self, Seeds: []string{self}, Form: true, DataFolder: t.TempDir(), Peers: noPeers{}, Client: noWorkers{}, MaxLease: time.Second, Log: logr.Discard(),
	}, router)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	for end := time.Now().Add(10 * time.Second); c.currentLeadership() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no leadership")
		}
	}
	return c
}

func handle(t *testing.T, c *Control, req *request) *Reply {
	body, err := codec.Marshal(req)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.handleRequest(ctx, body)
}

// Guards against times of entry instances in the stored state: the clock of one is wrong
// by a day. Jobs would be ordered by it, and final ones dropped before their time.
func TestLeaderSetsTheTimes(t *testing.T) {
	is := is.New(t)
	c := openSingleControl(t)
	rep := handle(t, c, &request{Publish: &batch.Config{
		Version: 1, Services: []batch.Service{{Name: "s"}}, Queues: []batch.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Public: true}},
	}})
	is.Equal(rep.Verdict, batch.OK)
	wrong := time.Now().Add(24 * time.Hour).UnixMilli()
	call := batch.Call{Host: "h", Path: "/q/j1"}
	rep = handle(t, c, &request{Submit: &batch.Submit{Call: call, ID: "j1", Spec: batch.Spec{Steps: []batch.Step{{Count: 1}}}, AtMS: wrong}})
	is.Equal(rep.Verdict, batch.OK)
	rep = handle(t, c, &request{Cancel: &batch.Cancel{Call: call, ID: "j1", AtMS: wrong}})
	is.Equal(rep.Verdict, batch.OK)
	c.machine.View(func(v *batch.View) {
		j := v.Job("j1", "")
		is.True(j.AcceptedMS < wrong-time.Hour.Milliseconds())
		is.True(j.EndedMS < wrong-time.Hour.Milliseconds())
	})
}

// Guards against a worker that is recorded again, and used while its process still answers,
// by an announcement that it sent before it left and that arrives after that; and against a
// worker that is ignored although it announces itself again.
func TestLateAnnouncementDoesNotUndoLeave(t *testing.T) {
	is := is.New(t)
	c := openSingleControl(t)
	recorded := func() bool {
		found := false
		c.machine.View(func(v *batch.View) { found = v.Workers()["w1"] != nil })
		return found
	}
	announce := func(incarnation, clockMS int64, leaving bool) {
		w := batch.Worker{ID: "w1", Incarnation: incarnation, Address: "127.0.0.1:1", Service: "s"}
		rep := handle(t, c, &request{Announce: &Announcement{Worker: w, ClockMS: clockMS, Leaving: leaving}})
		is.True(!rep.NotLeader && !rep.OutcomeUnknown)
	}
	announce(1, 5000, false)
	is.True(recorded())
	time.Sleep(100 * time.Millisecond)
	announce(1, 0, true)
	is.True(!recorded())
	announce(1, 5010, false) // sent before it left
	is.True(!recorded())
	announce(1, 9000, false)
	is.True(recorded())
	announce(1, 0, true)
	announce(2, 10, false) // another incarnation
	is.True(recorded())
}

// Guards against a worker that does not count as cold although it announces so, and against
// one that stays cold after it has announced that it is warm.
func TestAnnouncedColdWorker(t *testing.T) {
	is := is.New(t)
	c := openSingleControl(t)
	cold := func(coldMS int64) bool {
		w := batch.Worker{ID: "w1", Incarnation: 1, Address: "127.0.0.1:1", Service: "s"}
		handle(t, c, &request{Announce: &Announcement{Worker: w, ColdMS: coldMS}})
		return time.Now().Before(c.heartbeats.ColdUntil("w1", 1))
	}
	is.True(cold(60_000))
	is.True(!cold(0))
}
