package batch

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a job that loses its queue, or gets another one, because of a change of names or
// addresses.
func TestQueueOfJobAfterChange(t *testing.T) {
	queue := func(name, prefix string) Queue {
		return Queue{Name: name, Host: "h", Prefix: prefix, Service: "s", Public: true}
	}
	for _, c := range []struct {
		change string
		next   []Queue
		want   string // prefix of the queue that the job belongs to
	}{
		{"none", []Queue{queue("a", "/a/"), queue("b", "/b/")}, "/a/"},
		{"another prefix", []Queue{queue("a", "/new/"), queue("b", "/b/")}, "/new/"},
		{"another host", []Queue{{Name: "a", Host: "other", Prefix: "/moved/", Service: "s"}}, "/moved/"},
		{"another name", []Queue{queue("c", "/a/"), queue("b", "/b/")}, "/a/"},
		{"address taken over", []Queue{queue("a", "/new/"), queue("b", "/a/")}, "/new/"},
		{"addresses exchanged", []Queue{queue("a", "/b/"), queue("b", "/a/")}, "/b/"},
		{"removed", []Queue{queue("b", "/b/")}, ""},
		{"removed, name used twice", []Queue{queue("a", "/x/"), queue("a", "/y/")}, ""},
		{"name used twice", []Queue{queue("a", "/x/"), queue("a", "/a/")}, "/a/"},
	} {
		t.Run(c.change, func(t *testing.T) {
			is := is.New(t)
			m := New(nil)
			apply(t, m, &Command{Publish: &Config{Version: 1, Services: []Service{{Name: "s"}}, Queues: []Queue{queue("a", "/a/"), queue("b", "/b/")}}})
			is.Equal(apply(t, m, &Command{Submit: &Submit{Call: Call{Host: "h", Path: "/a/j1"}, ID: "j1", Spec: Spec{Steps: []Step{{Count: 1}}}}}), OK)
			apply(t, m, &Command{Publish: &Config{Version: 2, Services: []Service{{Name: "s"}}, Queues: c.next}})
			m.View(func(v *View) {
				got := ""
				if q := v.QueueOf(v.LiveJobs()["j1"]); q != nil {
					got = q.Prefix
					is.Equal(v.CountPending(q), 1) // it is counted where callers ask for it
				}
				is.Equal(got, c.want)
			})
		})
	}
}

// A queue without a name is removed. Guards against its jobs being taken for those of another queue
// without a name.
func TestQueuesWithoutNameAreToldApart(t *testing.T) {
	is := is.New(t)
	m := New(nil)
	config := func(version uint64, prefix string) *Command {
		return &Command{Publish: &Config{Version: version, Services: []Service{{Name: "s"}}, Queues: []Queue{{Host: "h", Prefix: prefix, Service: "s", Public: true}}}}
	}
	apply(t, m, config(1, "/a/"))
	is.Equal(apply(t, m, &Command{Submit: &Submit{Call: Call{Host: "h", Path: "/a/j1"}, ID: "j1", Spec: Spec{Steps: []Step{{Count: 1}}}}}), OK)
	apply(t, m, config(2, "/b/"))
	m.View(func(v *View) {
		is.Equal(v.QueueOf(v.LiveJobs()["j1"]), nil)
		is.Equal(v.LastQueueOf(v.LiveJobs()["j1"]).Prefix, "/a/")
	})
}
