package dispatch

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
)

// publishCustomers puts a configuration with two customers and a target of 5 s in force.
func (b *testBed) publishCustomers() {
	b.apply(&batch.Command{Publish: &batch.Config{
		Version: 2, Services: []batch.Service{{Name: "desk"}}, Document: []byte("{}"),
		Queues: []batch.Queue{
			{Name: "urgent", Host: "h", Prefix: "/u/", Priority: 0, MaxAttempts: 2, Service: "desk", Public: true, TargetMS: 5000},
			{Name: "batch", Host: "h", Prefix: "/b/", Priority: 1, MaxAttempts: 2, Service: "desk", Public: true, TargetMS: 5000},
		},
		Customers: []batch.Customer{{Name: "a", Keys: []string{"ka"}, Guaranteed: 2}, {Name: "b", Keys: []string{"kb"}}},
	}})
}

func (b *testBed) submitAs(key, path, id string, step batch.Step) {
	b.t.Helper()
	v := b.apply(&batch.Command{Submit: &batch.Submit{
		Call: batch.Call{Host: "h", Path: path + id, Key: key}, ID: id, Spec: batch.Spec{Payload: "p", Steps: []batch.Step{step}}, AtMS: time.Now().UnixMilli(),
	}})
	b.is.Equal(v, batch.OK)
}

// Guards against operators who cannot see which customer holds, borrows and waits, and
// against gauges that an instance keeps when it no longer leads.
func TestCustomersAreShown(t *testing.T) {
	b := newTestBed(t, newFakeWorkers(t, 5*time.Second, "w1"))
	b.publishCustomers()
	b.submitAs("ka", "/u/", "guaranteed", unitStep(2, 1))
	b.submitAs("ka", "/b/", "borrows", unitStep(4, 1))
	want := []CustomerView{{Name: "a", Guaranteed: 2, InUse: 6, Borrowed: 4, Share: 0.75}, {Name: "b"}}
	is := func() bool {
		got := b.leadership.Customers()
		return len(got) == 2 && got[0] == want[0] && got[1] == want[1]
	}
	b.waitFor(5*time.Second, "a borrows", is)
	b.submitAs("kb", "/b/", "waits", unitStep(1, 8))
	want[1].WaitingUnits = 1
	b.waitFor(5*time.Second, "b waits", is)
	const gauge = `teaselpaddle_customer_borrowed_accelerators{customer="a"} 4`
	shown := func() bool {
		var out bytes.Buffer
		metrics.WritePrometheus(&out, false)
		return strings.Contains(out.String(), gauge)
	}
	b.is.True(shown())
	b.leadership.Close()
	b.is.True(!shown())
}

// Guards against a setting that does not reach the decision: an urgent job that completes in
// time after runs that end by themselves stops none.
func TestEconomicalPreemptionWaits(t *testing.T) {
	f := newFakeWorkers(t, 400*time.Millisecond, "w1")
	b := newTestBed(t, f)
	b.leadership.Close()
	b.preemption = place.Economical
	b.open()
	b.publishCustomers()
	slow := unitStep(8, 1)
	slow.EstimateMS = 400
	b.submitAs("kb", "/b/", "slow", slow)
	b.waitFor(5*time.Second, "started", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.starts) == 8
	})
	gang := unitStep(2, 2)
	gang.Gang, gang.EstimateMS = true, 400
	b.submitAs("kb", "/u/", "quick", gang)
	b.waitFor(5*time.Second, "both completed", func() bool {
		return b.state("quick") == batch.Completed && b.state("slow") == batch.Completed
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	for ref, workers := range f.starts {
		if len(workers) != 1 {
			t.Errorf("unit %v was started on %v", ref, workers)
		}
	}
}
