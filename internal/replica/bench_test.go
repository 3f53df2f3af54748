package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// payloadBytes is the approximate size of an encoded job command.
const payloadBytes = 256

func benchZone(b *testing.B, snapshotEntries uint64, disks ...bool) *zone {
	z := newZone(b, disks...)
	z.editConfig = func(c *Config) { c.SnapshotEntries = snapshotEntries }
	return z.open()
}

// BenchmarkPropose measures the time from a proposal to its result, one at a
// time and with 64 callers at once.
func BenchmarkPropose(b *testing.B) {
	layouts := []struct {
		name  string
		disks []bool
	}{
		{"1 replica", []bool{false}},
		{"1 replica with disk", []bool{true}},
		{"3 replicas", []bool{false, false, false}},
		{"3 replicas, 1 disk", []bool{true, false, false}},
		{"3 replicas, 3 disks", []bool{true, true, true}},
	}
	for _, l := range layouts {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/%d callers", l.name, callers), func(b *testing.B) {
				z := benchZone(b, defaultSnapshotEntries, l.disks...)
				lead := z.waitLeader()
				took := make([]time.Duration, b.N)
				data := make([]byte, payloadBytes)
				b.ResetTimer()
				var wg sync.WaitGroup
				for c := range callers {
					wg.Go(func() {
						for i := c; i < b.N; i += callers {
							start := time.Now()
							if _, err := lead.Propose(context.Background(), data); err != nil {
								b.Error(err)
								return
							}
							took[i] = time.Since(start)
						}
					})
				}
				wg.Wait()
				b.StopTimer()
				slices.Sort(took)
				b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
			})
		}
	}
}

// BenchmarkRecovery measures the time from the start of the only member until it
// is ready, for different numbers of records after the last snapshot. The tick is
// 10 ms, so the election takes 100 to 200 ms of that time; load-ms is the time
// that Open takes.
func BenchmarkRecovery(b *testing.B) {
	for _, records := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("%d records", records), func(b *testing.B) {
			z := benchZone(b, 1<<40, true)
			var wg sync.WaitGroup
			lead := z.waitLeader()
			for range 64 {
				wg.Go(func() {
					for range records / 64 {
						_, _ = lead.Propose(context.Background(), make([]byte, payloadBytes))
					}
				})
			}
			wg.Wait()
			var load time.Duration
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				z.kill("i0")
				b.StartTimer()
				start := time.Now()
				z.start("i0")
				load += time.Since(start)
				z.waitReady()
			}
			b.ReportMetric(float64(load.Milliseconds())/float64(b.N), "load-ms")
		})
	}
}

// BenchmarkLeaderKilled measures the time from the crash of a leader to the next
// acknowledged entry, with the default tick.
func BenchmarkLeaderKilled(b *testing.B) {
	benchKill(b, []bool{false, false, false}, func(z *zone) []string { return []string{z.waitLeader().cfg.Self} })
}

// BenchmarkAllKilled measures the same when all members crash at once and only
// one has a disk, so that a recovery election is needed.
func BenchmarkAllKilled(b *testing.B) {
	benchKill(b, []bool{true, false, false}, func(*zone) []string { return []string{"i0", "i1", "i2"} })
}

func benchKill(b *testing.B, disks []bool, victims func(*zone) []string) {
	z := newZone(b, disks...)
	z.tick = defaultTick
	z.open()
	var took []time.Duration
	for range b.N {
		names := victims(z)
		for _, name := range names {
			z.kill(name)
		}
		start := time.Now()
		if len(names) == len(disks) {
			for _, name := range names {
				z.start(name)
			}
			names = nil
		}
		z.proposeUntilAccepted(1)
		took = append(took, time.Since(start))
		for _, name := range names {
			z.start(name)
		}
		z.waitReady()
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max-ms")
}
