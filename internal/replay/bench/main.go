// Command bench measures the scheduling decisions against the naive reference.
// It prints lines "BENCH <name> <value> <unit> naive <value>"; naive is "-" where
// the reference has no such figure.
package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/replay"
	"teaselpaddle.example/teaselpaddle/internal/replay/scale"
	"teaselpaddle.example/teaselpaddle/internal/sched"
)

// seeds of the traces that one figure is taken over.
var seeds = []uint64{1, 2, 3, 4, 5, 6}

// parallel bounds the replays at the same time.
const parallel = 4

func line(name string, value float64, unit string, naive string) {
	fmt.Printf("BENCH %s %.4g %s naive %s\n", name, value, unit, naive)
}

func figure(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// replayAll replays the traces of all seeds and returns the report over them.
func replayAll(traces [][]replay.Event, o replay.Options) *replay.Report {
	reports, err := replay.RunAll(traces, o, parallel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	return reports
}

func generate(d replay.Deployment) [][]replay.Event {
	out := make([][]replay.Event, len(seeds))
	var wg sync.WaitGroup
	for i, s := range seeds {
		wg.Go(func() { out[i] = replay.Generate(d, s) })
	}
	wg.Wait()
	return out
}

// deployment prints the figures of one deployment.
func deployment(d replay.Deployment) {
	traces := generate(d)
	n := replayAll(traces, replay.Options{Naive: true})
	r := replayAll(traces, replay.Options{})
	p := d.Name + "."
	line(p+"completion_mean", r.Completion.Mean, "s", figure(n.Completion.Mean))
	line(p+"completion_p99", r.Completion.P99, "s", figure(n.Completion.P99))
	line(p+"small_completion_p95", r.Small.P95, "s", figure(n.Small.P95))
	line(p+"large_completion_p95", r.Large.P95, "s", figure(n.Large.P95))
	line(p+"large_wait_p95", r.LargeWait.P95, "s", figure(n.LargeWait.P95))
	line(p+"urgent_wait_p95", r.UrgentWait.P95, "s", figure(n.UrgentWait.P95))
	line(p+"fragmentation", r.Fragmentation, "accelerators/zone", figure(n.Fragmentation))
	line(p+"scattered", r.Scattered, "accelerators/zone", figure(n.Scattered))
	line(p+"large_starved", r.LargeStarved, "share", figure(n.LargeStarved))
	line(p+"guarantee_misses", float64(r.GuaranteeMisses), "jobs", figure(float64(n.GuaranteeMisses)))
	line(p+"failed", float64(r.Failed), "jobs", figure(float64(n.Failed)))
	line(p+"large_wait_max", r.LargeWait.Max, "s", figure(n.LargeWait.Max))
	line(p+"reclaim_p99", r.Reclaim.P99, "s", figure(n.Reclaim.P99))
	line(p+"reclaim_max", r.Reclaim.Max, "s", figure(n.Reclaim.Max))
	lost := replayAll(traces, replay.Options{LoseWork: true})
	line(p+"lost_work.completion_mean", lost.Completion.Mean, "s", figure(n.Completion.Mean))
	line(p+"lost_work.large_wait_p95", lost.LargeWait.P95, "s", figure(n.LargeWait.P95))
	line(p+"lost_work.guarantee_misses", float64(lost.GuaranteeMisses), "jobs", figure(float64(n.GuaranteeMisses)))
	rules(p, traces)
}

// rules prints the figures without each rule; those of the line above are with.
func rules(p string, traces [][]replay.Event) {
	for _, x := range []struct {
		name  string
		rules sched.Rules
	}{
		{"reservation", sched.Rules{NoReservation: true}},
		{"backfill", sched.Rules{NoBackfill: true}},
		{"fair_share", sched.Rules{NoFairShare: true}},
		{"packing", sched.Rules{NoPacking: true}},
		{"correction", sched.Rules{NoCorrection: true}},
		{"overuse", sched.Rules{NoOveruse: true}},
		{"takeoff", sched.Rules{NoTakeoff: true}},
		{"cheapest", sched.Rules{NoCheapest: true}},
	} {
		r := replayAll(traces, replay.Options{Rules: x.rules})
		p := p + "without_" + x.name + "."
		line(p+"completion_mean", r.Completion.Mean, "s", "-")
		line(p+"large_wait_p95", r.LargeWait.P95, "s", "-")
		line(p+"fragmentation", r.Fragmentation, "accelerators/zone", "-")
		line(p+"guarantee_misses", float64(r.GuaranteeMisses), "jobs", "-")
		line(p+"failed", float64(r.Failed), "jobs", "-")
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// size prints the figures of single decisions at growing size.
func size() {
	const decisions, passes, snapshots = 2000, 10, 5
	for _, workers := range []int{50, 500, scale.FullWorkers} {
		z := scale.New(workers, 50)
		n := z.Naive(snapshots)
		p := fmt.Sprintf("workers_%d.", workers)
		t := z.Decisions(decisions)
		line(p+"decision_p50", ms(t.P50), "ms", figure(ms(n.P50)))
		line(p+"decision_p99", ms(t.P99), "ms", figure(ms(n.Max)))
		line(p+"decision_from_snapshot_p50", ms(z.Rebuilt(snapshots).P50), "ms", figure(ms(n.P50)))
		line(p+"state_memory", float64(z.Memory())/(1<<20), "MiB", "-")
	}
	z := scale.New(scale.FullWorkers, 10000)
	t := z.Pass(passes)
	line("waiting_10000.pass_p50", ms(t.P50), "ms", figure(ms(z.Naive(snapshots).P50)))
	line("waiting_10000.pass_max", ms(t.Max), "ms", "-")
}

func main() {
	deployment(replay.Authority())
	deployment(replay.Birlik())
	size()
}
