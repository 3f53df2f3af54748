// Command bench measures the scheduling decisions against the naive reference.
// It prints lines "BENCH <name> <value> <unit> naive <value>"; the last value is
// "-" where the reference has no such figure.
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

// seeds holds the seeds of the traces over which each figure is taken.
var seeds = []uint64{1, 2, 3, 4, 5, 6}

// maxParallelReplays bounds the number of concurrent replays.
const maxParallelReplays = 4

func printLine(name string, value float64, unit string, naive string) {
	fmt.Printf("BENCH %s %.4g %s naive %s\n", name, value, unit, naive)
}

func formatFigure(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// replayAll replays the traces and returns one report over all of them.
func replayAll(traces [][]replay.Event, o replay.Options) *replay.Report {
	report, err := replay.RunAll(traces, o, maxParallelReplays)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	return report
}

// generate generates the trace of each seed.
func generate(d replay.Deployment) [][]replay.Event {
	out := make([][]replay.Event, len(seeds))
	var wg sync.WaitGroup
	for i, s := range seeds {
		wg.Go(func() { out[i] = replay.Generate(d, s) })
	}
	wg.Wait()
	return out
}

// benchDeployment prints the figures of the traces of one deployment.
func benchDeployment(d replay.Deployment) {
	traces := generate(d)
	n := replayAll(traces, replay.Options{Naive: true})
	r := replayAll(traces, replay.Options{})
	p := d.Name + "."
	printLine(p+"completion_mean", r.Completion.Mean, "s", formatFigure(n.Completion.Mean))
	printLine(p+"completion_p99", r.Completion.P99, "s", formatFigure(n.Completion.P99))
	printLine(p+"small_completion_p95", r.Small.P95, "s", formatFigure(n.Small.P95))
	printLine(p+"large_completion_p95", r.Large.P95, "s", formatFigure(n.Large.P95))
	printLine(p+"large_wait_p95", r.LargeWait.P95, "s", formatFigure(n.LargeWait.P95))
	printLine(p+"urgent_wait_p95", r.UrgentWait.P95, "s", formatFigure(n.UrgentWait.P95))
	printLine(p+"fragmentation", r.Fragmentation, "accelerators/zone", formatFigure(n.Fragmentation))
	printLine(p+"scattered", r.Scattered, "accelerators/zone", formatFigure(n.Scattered))
	printLine(p+"large_starved", r.LargeStarved, "share", formatFigure(n.LargeStarved))
	printLine(p+"guarantee_misses", float64(r.GuaranteeMisses), "jobs", formatFigure(float64(n.GuaranteeMisses)))
	printLine(p+"failed", float64(r.Failed), "jobs", formatFigure(float64(n.Failed)))
	printLine(p+"large_wait_max", r.LargeWait.Max, "s", formatFigure(n.LargeWait.Max))
	printLine(p+"reclaim_p99", r.Reclaim.P99, "s", formatFigure(n.Reclaim.P99))
	printLine(p+"reclaim_max", r.Reclaim.Max, "s", formatFigure(n.Reclaim.Max))
	lost := replayAll(traces, replay.Options{LoseWork: true})
	printLine(p+"lost_work.completion_mean", lost.Completion.Mean, "s", formatFigure(n.Completion.Mean))
	printLine(p+"lost_work.large_wait_p95", lost.LargeWait.P95, "s", formatFigure(n.LargeWait.P95))
	printLine(p+"lost_work.guarantee_misses", float64(lost.GuaranteeMisses), "jobs", formatFigure(float64(n.GuaranteeMisses)))
	benchWithoutRules(p, traces)
}

// benchWithoutRules prints figures with one rule at a time turned off, for
// comparison with those of benchDeployment, where all rules are in force.
func benchWithoutRules(p string, traces [][]replay.Event) {
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
		{"takeoff", sched.Rules{NoReservationPreemption: true}},
		{"cheapest", sched.Rules{NoCheapestReclaim: true}},
	} {
		r := replayAll(traces, replay.Options{Rules: x.rules})
		p := p + "without_" + x.name + "."
		printLine(p+"completion_mean", r.Completion.Mean, "s", "-")
		printLine(p+"large_wait_p95", r.LargeWait.P95, "s", "-")
		printLine(p+"fragmentation", r.Fragmentation, "accelerators/zone", "-")
		printLine(p+"guarantee_misses", float64(r.GuaranteeMisses), "jobs", "-")
		printLine(p+"failed", float64(r.Failed), "jobs", "-")
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// benchDecisions prints the times of single decisions in zones of several sizes.
func benchDecisions() {
	const decisions, passes, snapshots = 2000, 10, 5
	for _, workers := range []int{50, 500, scale.FullWorkers} {
		z := scale.New(workers, 50)
		n := z.Naive(snapshots)
		p := fmt.Sprintf("workers_%d.", workers)
		t := z.Decisions(decisions)
		printLine(p+"decision_p50", ms(t.P50), "ms", formatFigure(ms(n.P50)))
		printLine(p+"decision_p99", ms(t.P99), "ms", formatFigure(ms(n.Max)))
		printLine(p+"decision_from_snapshot_p50", ms(z.FromSnapshot(snapshots).P50), "ms", formatFigure(ms(n.P50)))
		printLine(p+"state_memory", float64(z.Memory())/(1<<20), "MiB", "-")
	}
	z := scale.New(scale.FullWorkers, 10000)
	t := z.FullPasses(passes)
	printLine("waiting_10000.pass_p50", ms(t.P50), "ms", formatFigure(ms(z.Naive(snapshots).P50)))
	printLine("waiting_10000.pass_max", ms(t.Max), "ms", "-")
}

func main() {
	benchDeployment(replay.Authority())
	benchDeployment(replay.Birlik())
	benchDecisions()
}
