package jobs

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// newFilledMachine returns a machine with n jobs, each with an active attempt
// of four tasks, and the index of the last entry. At the size that the system
// is designed for, 37,000 tasks belong to about 10,000 jobs.
func newFilledMachine(b *testing.B, n int) (*Machine, uint64) {
	m := New()
	index := uint64(0)
	apply := func(c *Command) {
		index++
		c.At = time.Unix(int64(index), 0)
		entry, err := c.Encode()
		if err != nil {
			b.Fatal(err)
		}
		if r := m.Apply(index, entry).(*Result); r.Refusal != nil {
			b.Fatal(r.Refusal)
		}
	}
	apply(&Command{Kind: KindAdoptConfig, Config: &model.ConfigChange{
		To: 1, Changed: []model.Service{{Name: "s", Customers: []model.Customer{{Name: "customer"}}}},
	}})
	for i := range n {
		spec := &model.JobSpec{
			Customer: "customer", Key: fmt.Sprint("order-2026-12-", i), Tasks: 4, Accelerators: 2, CPU: 8,
			MemoryMiB: 4096, EstimatedSeconds: 3600, Payload: "plan 4711, die 12, mandrel 7",
		}
		id := model.NewJobID("amman-1", spec.Customer, spec.Key)
		apply(&Command{Kind: KindSubmit, ID: id, Spec: spec})
		var p []model.TaskPlacement
		for t := range 4 {
			p = append(p, model.TaskPlacement{Task: t, Worker: fmt.Sprintf("amman-1-r%d-w%d", i%100, t), Accelerators: []int{0, 1}})
		}
		apply(&Command{Kind: KindRecordIntent, ID: id, Intent: &Intent{Placement: p}})
		apply(&Command{Kind: KindCommitStart, ID: id, Fence: index})
	}
	return m, index
}

func heapInUse() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkMemory reports the heap memory and the snapshot bytes per job, and
// the time to take a snapshot.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 10000, 40000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapInUse()
			m, _ := newFilledMachine(b, n)
			used := heapInUse() - before
			start := time.Now()
			snap, err := m.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(start).Milliseconds()), "snapshot-ms")
			b.ReportMetric(float64(used)/float64(n), "heap-B/job")
			b.ReportMetric(float64(len(snap))/float64(n), "snapshot-B/job")
			runtime.KeepAlive(m)
		})
	}
}

// BenchmarkApply reports the time to apply a submission to a machine that holds
// n jobs.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1000, 10000, 40000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, index := newFilledMachine(b, n)
			b.ResetTimer()
			for i := range b.N {
				spec := &model.JobSpec{Customer: "customer", Key: fmt.Sprint("x", i), Tasks: 1}
				c := Command{Kind: KindSubmit, At: time.Unix(1, 0), ID: model.NewJobID("amman-1", "customer", spec.Key), Spec: spec}
				entry, err := c.Encode()
				if err != nil {
					b.Fatal(err)
				}
				index++
				m.Apply(index, entry)
			}
		})
	}
}
