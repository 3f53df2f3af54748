package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// fullSnapshot returns a region at high load: every worker runs small units or
// gangs, and steps of each priority wait.
func fullSnapshot(workers, waiting int) *Snapshot {
	r := rand.New(rand.NewPCG(1, 2))
	s := &Snapshot{NowMS: 100000}
	for i := range workers {
		w := worker(fmt.Sprint("w", i), fmt.Sprint("r", i/16))
		if i%3 == 0 {
			addRun(w, "gang"+fmt.Sprint(i/12), large, 1, int64(r.IntN(9000))).Gang = fmt.Sprint("g", i/12)
		} else {
			for range 8 {
				addRun(w, "small"+fmt.Sprint(r.IntN(60)), small, 2, int64(r.IntN(9000)))
			}
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range waiting {
		var g *Group
		switch i % 4 {
		case 0:
			g = gang(group(fmt.Sprint("u", i), 0, 1+r.IntN(9), batch.Resources{CPU: 7500, MemoryMB: 22000, Accelerators: 1 << r.IntN(4)}, uint64(i)))
			g.Guaranteed = i%8 == 0
			g.Step.SameRack = true
		case 1:
			g = gang(group(fmt.Sprint("m", i), 1, 1+r.IntN(13), large, uint64(i)))
			g.Step.SameRack = i%8 < 5
		default:
			g = group(fmt.Sprint("b", i), 2, 1+r.IntN(40), small, uint64(i))
		}
		s.Groups = append(s.Groups, g)
	}
	return s
}

// BenchmarkDecide measures a decision during a burst while all workers are
// busy. Its time bounds how fast runs are stopped for urgent batches.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{48, 350, 6900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var took []time.Duration
			for b.Loop() {
				b.StopTimer()
				s := fullSnapshot(n, 60)
				b.StartTimer()
				began := time.Now()
				Decide(s)
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			b.ReportMetric(took[len(took)*99/100].Seconds()*1000, "ms-p99")
		})
	}
}
