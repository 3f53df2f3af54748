package place

import (
	"fmt"
	"math"
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
	for _, size := range [][2]int{{48, 60}, {350, 60}, {350, 250}, {6900, 60}} {
		for _, speeds := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/groups=%d/speeds=%t", size[0], size[1], speeds), func(b *testing.B) {
				var took []time.Duration
				for b.Loop() {
					b.StopTimer()
					s := fullSnapshot(size[0], size[1])
					if speeds {
						differ(rand.New(rand.NewPCG(3, 4)), s)
					}
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
}

// differ gives the workers of a snapshot speeds of 0.6, 1.0 and 1.6, and its groups targets.
func differ(rnd *rand.Rand, s *Snapshot) {
	s.SpeedSpread, s.UrgentSpeed = 0.4, 1/1.5
	for _, w := range s.Workers {
		w.Speed, w.SpeedSD = math.Log([]float64{0.6, 1, 1.6}[rnd.IntN(3)]), 0.05
	}
	for _, g := range s.Groups {
		g.Step.EstimateMS = 500 + rnd.Int64N(8000)
		g.LengthMS = g.Step.EstimateMS
		g.SinceMS = s.NowMS - rnd.Int64N(1000)
		g.CompleteByMS = g.SinceMS + 250 + g.LengthMS*3/2
	}
}
