package replica

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/raft"
)

// gauges are the metrics of one member. The goroutine of run updates them with each
// tick. Those of a leader are 0, and those of its members absent, on other members.
type gauges struct {
	set         *metrics.Set
	group       string
	logIndex    *metrics.Gauge // of the last entry
	uncommitted *metrics.Gauge // entries after the commit index
	commitWait  *metrics.Gauge // time since the oldest uncommitted entry was proposed here, s
	resends     *metrics.Counter
	members     map[string]bool // instances that have gauges
}

func newGauges(group string) *gauges {
	g := &gauges{set: metrics.NewSet(), group: group, members: map[string]bool{}}
	g.logIndex = g.set.NewGauge(g.name("log_index", ""), nil)
	g.uncommitted = g.set.NewGauge(g.name("uncommitted_entries", ""), nil)
	g.commitWait = g.set.NewGauge(g.name("commit_wait_seconds", ""), nil)
	g.resends = g.set.NewCounter(g.name("resends_total", ""))
	metrics.RegisterSet(g.set)
	return g
}

func (g *gauges) name(metric, member string) string {
	if member == "" {
		return fmt.Sprintf("teaselpaddle_group_%s{group=%q}", metric, g.group)
	}
	return fmt.Sprintf("teaselpaddle_group_%s{group=%q,member=%q}", metric, g.group, member)
}

// memberMetrics are the gauges that a leader has for each other member: the entries that
// it lacks, the append messages that it has not acknowledged, and the bytes of a snapshot
// that are still to be sent to it.
var memberMetrics = []struct {
	name  string
	value func(*raft.MemberProgress) float64
}{
	{"member_lag_entries", func(p *raft.MemberProgress) float64 { return float64(p.Lag) }},
	{"member_inflight", func(p *raft.MemberProgress) float64 { return float64(p.Inflight) }},
	{"member_snapshot_bytes", func(p *raft.MemberProgress) float64 { return float64(p.SnapshotBytesLeft) }},
}

// update sets the gauges. waited is the time in s since the oldest uncommitted entry was
// proposed.
func (g *gauges) update(st *raft.Status, members []raft.MemberProgress, waited float64) {
	g.logIndex.Set(float64(st.LastIndex))
	g.uncommitted.Set(float64(st.LastIndex - st.Commit))
	g.commitWait.Set(waited)
	g.resends.Set(st.Resends)
	current := map[string]bool{}
	for i := range members {
		member := members[i].Member.Instance
		current[member] = true
		for _, m := range memberMetrics {
			g.set.GetOrCreateGauge(g.name(m.name, member), nil).Set(m.value(&members[i]))
		}
	}
	for member := range g.members {
		if !current[member] {
			for _, m := range memberMetrics {
				g.set.UnregisterMetric(g.name(m.name, member))
			}
		}
	}
	g.members = current
}

func (g *gauges) close() { metrics.UnregisterSet(g.set, true) }
