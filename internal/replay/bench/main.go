// Command bench measures the scheduling decisions against the naive reference.
package main

import (
	"fmt"

	"teaselpaddle.example/teaselpaddle/internal/replay"
	"teaselpaddle.example/teaselpaddle/internal/sched"
)

func main() {
	for _, d := range []replay.Deployment{replay.Authority(), replay.Birlik()} {
		for seed := uint64(1); seed <= 2; seed++ {
			ev := replay.Generate(d, seed)
			p := func(n string, o replay.Options) {
				o.Events = ev
				r, err := replay.Run(o)
				if err != nil {
					panic(err)
				}
				fmt.Printf("%-10s %d %-12s mean %.0f small %.0f smallp95wait %.0f large %.0f lwait mean %.0f p95 %.0f urgent p95 %.1f max %.0f frag %.1f scat %.1f starved %.3f miss %d reclp99 %.1f preempt %d stop %d failed %d\n", d.Name, seed, n, r.Completion.Mean, r.Small.Mean, r.SmallWait.P95, r.Large.Mean, r.LargeWait.Mean, r.LargeWait.P95, r.UrgentWait.P95, r.UrgentWait.Max, r.Fragmentation, r.Scattered, r.LargeStarved, r.GuaranteeMisses, r.Reclaim.P99, r.Preemptions, r.Stopped, r.Failed)
			}
			p("naive", replay.Options{Naive: true})
			p("all", replay.Options{})
			p("noreserv", replay.Options{Rules: sched.Rules{NoReservation: true}})
			p("nowanted", replay.Options{Rules: sched.Rules{NoWanted: true}})
			p("nobackfill", replay.Options{Rules: sched.Rules{NoBackfill: true}})
			p("nofair", replay.Options{Rules: sched.Rules{NoFairShare: true}})
			p("nopack", replay.Options{Rules: sched.Rules{NoPacking: true}})
			p("nocorr", replay.Options{Rules: sched.Rules{NoCorrection: true}})
			p("nooveruse", replay.Options{Rules: sched.Rules{NoOveruse: true}})
			p("notakeoff", replay.Options{Rules: sched.Rules{NoTakeoff: true}})
			p("nocheapest", replay.Options{Rules: sched.Rules{NoCheapest: true}})
			p("losework", replay.Options{LoseWork: true})
		}
	}
}
