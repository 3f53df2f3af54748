package region

import (
	"context"
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// Guards against a message of another instance, of this build or another one, at which the leader
// fails or after which it answers no more.
func FuzzRequest(f *testing.F) {
	call := batch.Call{Host: "h", Path: "/q/j"}
	for _, r := range []*request{
		{Publish: &batch.Config{Version: 1, Services: []batch.Service{{Name: "s"}}, Queues: []batch.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Public: true}}}},
		{Submit: &batch.Submit{Call: call, ID: "j", Spec: batch.Spec{Steps: []batch.Step{{Count: 1}}}}},
		{Cancel: &batch.Cancel{Call: call, ID: "j"}},
		{Job: &JobQuery{Call: call, ID: "j", Progress: true}},
		{Pending: &batch.Call{Host: "h", Path: "/q/"}},
		{Announce: &Announcement{Worker: batch.Worker{ID: "w", Incarnation: 1, Address: "127.0.0.1:1", Service: "s"}, ClockMS: 5}},
		{Announce: &Announcement{Worker: batch.Worker{ID: "w", Incarnation: 1}, Leaving: true}},
		{Signs: &signBatch{Signs: []signOfLife{{Worker: "w", Incarnation: 1, ClockMS: 7, AgeMS: -5}}}},
		{Zone: &batch.ZoneChange{Zone: "z", Cordon: true}},
		{Zones: &ZoneQuery{}},
		{Customers: &struct{}{}},
		{Workers: &struct{}{}},
		{Config: &struct{}{}},
		{Ping: &struct{}{}},
		{},
	} {
		body, err := codec.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	c := openSingleControl(f)
	ping, err := codec.Marshal(&request{Ping: &struct{}{}})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = c.handleRequest(ctx, body)
		if rep := c.handleRequest(ctx, ping); rep.NotLeader || rep.OutcomeUnknown {
			t.Fatal("the leader does not answer any more")
		}
	})
}
