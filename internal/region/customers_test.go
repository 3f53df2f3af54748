package region

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// customerConfig returns a configuration whose customers are given as "name key key, name key".
func customerConfig(version uint64, customers string) *batch.Config {
	c := &batch.Config{
		Version: version, Document: fmt.Append(nil, customers), Services: []batch.Service{{Name: "s"}},
		Queues: []batch.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s"}},
	}
	for _, s := range strings.Split(customers, ",") {
		f := strings.Fields(s)
		c.Customers = append(c.Customers, batch.Customer{Name: f[0], Keys: f[1:], Guaranteed: 8})
	}
	return c
}

func jobCall(id, key string) batch.Call { return batch.Call{Host: "h", Path: "/q/" + id, Key: key} }

func submission(id, key string) *request {
	return &request{Submit: &batch.Submit{Call: jobCall(id, key), ID: id, Spec: batch.Spec{Payload: "p", Steps: []batch.Step{{Count: 1}}}}}
}

// Customers are changed between the submission of a job and the requests for it. Guards against callers who are told that
// their own job does not exist, and against callers who are shown a foreign one.
func TestJobsOfChangedCustomers(t *testing.T) {
	for _, c := range []struct {
		change    string
		customers []string // before the submission with the key k1, and after it
		owners    string   // keys that give access to the job
		others    string   // keys that do not
	}{
		{"renamed", []string{"a k1, x kx", "b k1, x kx"}, "k1", "kx"},
		{"renamed twice", []string{"a k1", "b k1", "c k1"}, "k1", ""},
		{"renamed and back", []string{"a k1", "b k1", "a k1"}, "k1", ""},
		{"new keys", []string{"a k1", "a k2"}, "k2", ""},
		{"renamed, then new keys", []string{"a k1", "b k1", "b k2"}, "k2", ""},
		{"new keys, then renamed", []string{"a k1", "a k2", "b k2"}, "k2", ""},
		{"renamed with one of two keys", []string{"a k1 k2", "b k2"}, "k2", ""},
		{"without keys for a while", []string{"a k1", "a", "a k2"}, "k2", ""},
		{"name given to another customer", []string{"a k1", "b k1, a k2"}, "k1", "k2"},
		{"name given away later", []string{"a k1", "b k1", "b k1, a k2"}, "k1", "k2"},
		{"name given away after its removal", []string{"a k1", "b k1", "x kx", "x kx, a k2"}, "", "kx k2"},
		{"names exchanged", []string{"a k1, b k2", "b k1, a k2"}, "k1", "k2"},
		{"removed and added", []string{"a k1, x kx", "x kx", "a k1, x kx"}, "k1", "kx"},
		{"removed and added under another name", []string{"a k1, x kx", "x kx", "b k1, x kx"}, "k1", "kx"},
		{"renamed, removed and added", []string{"a k1, x kx", "b k1, x kx", "x kx", "b k2, x kx"}, "k2", "kx"},
		{"merged into another customer", []string{"a k1, b k2, x kx", "b k1 k2, x kx"}, "k1", "kx"},
		{"merged into a new customer", []string{"b k2, a k1, x kx", "c k1 k2, x kx"}, "k1", "kx"},
		{"merged, then renamed", []string{"a k1, b k2 k3", "b k1 k2 k3", "c k1 k2 k3"}, "k1", ""},
		{"merged, then its name given away", []string{"b k2, a k1", "c k1 k2", "c k1 k2, a k3"}, "k1", "k3"},
		{"key given to a new customer", []string{"a k1 k2, x kx", "a k2, c k1, x kx"}, "k1 k2", "kx"},
		{"key given to another customer", []string{"a k1 k2, x kx", "a k2, x k1 kx"}, "k1 k2", "kx"},
		{"key given on twice", []string{"a k1 k2, x kx, y ky", "a k2, x k1 kx, y ky", "a k2, x kx, y k1 ky"}, "k1 k2", "kx ky"},
		{"former key given to another customer", []string{"a k1, x kx", "a k2, x kx", "a k2, x kx k1"}, "k2", "k1 kx"},
		{"two entries with one name", []string{"a k1, a k2", "b k1, b k2"}, "k1 k2", ""},
	} {
		t.Run(c.change, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctl := openSingleControl(t)
			publish := func(version uint64, customers string) {
				is.Equal(handle(t, ctl, &request{Publish: customerConfig(version, customers)}).Verdict, batch.OK)
			}
			publish(1, c.customers[0])
			for _, id := range []string{"j1", "j2"} {
				is.Equal(handle(t, ctl, submission(id, "k1")).Verdict, batch.OK)
			}
			for i, customers := range c.customers[1:] {
				publish(uint64(i+2), customers)
			}
			for _, key := range strings.Fields(c.others) {
				is.Equal(handle(t, ctl, &request{Job: &JobQuery{Call: jobCall("j1", key), ID: "j1"}}).Verdict, batch.NoJob)
				is.Equal(handle(t, ctl, submission("j1", key)).Verdict, batch.IDInUse)
				is.Equal(handle(t, ctl, &request{Cancel: &batch.Cancel{Call: jobCall("j1", key), ID: "j1"}}).Verdict, batch.NoJob)
			}
			for _, key := range strings.Fields(c.owners) {
				rep := handle(t, ctl, &request{Job: &JobQuery{Call: jobCall("j1", key), ID: "j1"}})
				is.Equal(rep.Verdict, batch.OK)
				is.Equal(rep.State, batch.Queued)
				is.Equal(handle(t, ctl, submission("j1", key)).Verdict, batch.OK)
				is.Equal(handle(t, ctl, &request{Cancel: &batch.Cancel{Call: jobCall("j2", key), ID: "j2"}}).Verdict, batch.OK)
				is.Equal(handle(t, ctl, &request{Job: &JobQuery{Call: jobCall("j2", key), ID: "j2"}}).State, batch.Cancelled)
			}
		})
	}
}

// Guards against a key that shows the new jobs of a customer that it no longer belongs to.
func TestFormerKeyShowsNoNewJobs(t *testing.T) {
	is := is.New(t)
	c := openSingleControl(t)
	is.Equal(handle(t, c, &request{Publish: customerConfig(1, "a k1 k2")}).Verdict, batch.OK)
	is.Equal(handle(t, c, submission("before", "k1")).Verdict, batch.OK)
	is.Equal(handle(t, c, &request{Publish: customerConfig(2, "a k1, b k2")}).Verdict, batch.OK)
	is.Equal(handle(t, c, submission("after", "k1")).Verdict, batch.OK)
	is.Equal(handle(t, c, &request{Job: &JobQuery{Call: jobCall("before", "k2"), ID: "before"}}).Verdict, batch.OK)
	is.Equal(handle(t, c, &request{Job: &JobQuery{Call: jobCall("after", "k2"), ID: "after"}}).Verdict, batch.NoJob)
	is.Equal(handle(t, c, &request{Cancel: &batch.Cancel{Call: jobCall("after", "k2"), ID: "after"}}).Verdict, batch.NoJob)
}

// A customer is renamed, and all control instances lose power. Guards against identities that a
// restart or the next leader does not know.
func TestRenamedCustomerAfterRestart(t *testing.T) {
	is := is.New(t)
	c := openCluster(t)
	ask := func(send func(context.Context, *Router) (*Reply, error)) *Reply {
		for end := time.Now().Add(clusterTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			rep, err := send(ctx, c.routers["e0"])
			cancel()
			if err == nil {
				return rep
			}
		}
		t.Fatal("no answer")
		return nil
	}
	publish := func(version uint64, customers string) {
		is.Equal(ask(func(ctx context.Context, r *Router) (*Reply, error) {
			return r.Publish(ctx, customerConfig(version, customers))
		}).Verdict, batch.OK)
	}
	publish(1, "a k1")
	is.Equal(ask(func(ctx context.Context, r *Router) (*Reply, error) {
		return r.Submit(ctx, submission("j1", "k1").Submit)
	}).Verdict, batch.OK)
	publish(2, "b k1, a k2")
	job := func(key string) batch.Verdict {
		return ask(func(ctx context.Context, r *Router) (*Reply, error) {
			return r.Job(ctx, &JobQuery{Call: jobCall("j1", key), ID: "j1"})
		}).Verdict
	}
	c.losePower()
	is.Equal(job("k1"), batch.OK)
	is.Equal(job("k2"), batch.NoJob)
	publish(3, "c k1, a k2")
	is.Equal(job("k1"), batch.OK)
	is.Equal(job("k2"), batch.NoJob)
	config := ask(func(ctx context.Context, r *Router) (*Reply, error) { return r.Config(ctx) })
	is.Equal(string(config.Document), "c k1, a k2") // as published
}

// A key changes hands back and forth while its holder sends a submission again and cancels the job. Guards
// against a request that is judged by the customer that the key had before.
func TestRequestsWhileKeyChangesHands(t *testing.T) {
	is := is.New(t)
	c := openSingleControl(t)
	is.Equal(handle(t, c, &request{Publish: customerConfig(1, "a k1 k2")}).Verdict, batch.OK)
	is.Equal(handle(t, c, submission("j1", "k1")).Verdict, batch.OK)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := uint64(2); version < 300; version++ {
			handle(t, c, &request{Publish: customerConfig(version, []string{"a k1 k2", "a k2, b k1"}[version%2])})
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
		}
		is.Equal(handle(t, c, submission("j1", "k1")).Verdict, batch.OK)
		is.Equal(handle(t, c, &request{Cancel: &batch.Cancel{Call: jobCall("j1", "k1"), ID: "j1"}}).Verdict, batch.OK)
	}
}
