package dispatch

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// The members of a gang wait on their workers until all of them have begun, and give up
// after seconds. A gang that cannot become complete is stopped before that: its
// accelerators are idle meanwhile, and it starts again only when all of its runs have
// ended.
const (
	// memberLostDelay is the time for which the other members are left alone after the end
	// of one. The workers of a gang that was at work end it themselves within that time.
	memberLostDelay = 400 * time.Millisecond
	// memberStartTimeout is the time after which a member whose start is not answered
	// counts as missing. It covers two attempts.
	memberStartTimeout = 2*callTimeout + retryInterval
)

// stopIncompleteGangs stops the runs of gangs that have lost a member, have one that does
// not begin, or one that was fenced before it started.
func (p *planner) stopIncompleteGangs(runs []runInfo) {
	now := p.leadership.cfg.Now()
	gangs := map[stepKey][]*runInfo{}
	for i := range runs {
		if r := &runs[i]; r.step.Gang && !r.jobFinal {
			k := stepKey{r.key.unit.Job, r.key.unit.Occurrence, r.key.unit.Step}
			gangs[k] = append(gangs[k], r)
		}
	}
	lost := map[stepKey]time.Time{}
	for k, members := range gangs {
		reason := ""
		if members[0].memberLost {
			lost[k] = now
			if since, known := p.lostMembers[k]; known {
				lost[k] = since
			}
			if now.Sub(lost[k]) >= memberLostDelay {
				reason = "lost"
			}
		}
		for _, r := range members {
			if a := p.agents[r.unit.Worker]; a != nil && a.startOverdue(r.key, now) {
				reason = "not_answering"
			}
			if r.fenced {
				reason = r.barred
				break
			}
		}
		if reason != "" {
			p.stopMembers(members, reason, now)
		}
	}
	p.lostMembers = lost
}

// stopMembers stops the runs of a gang that are not being stopped yet.
func (p *planner) stopMembers(members []*runInfo, reason string, now time.Time) {
	for _, r := range members {
		a := p.leadership.agent(r.unit.Worker)
		if a == nil {
			continue
		}
		if stopping, _ := a.estimateRemaining(r.key, now); stopping {
			continue
		}
		p.leadership.log.Info("run stopped because its gang is incomplete", "job", r.key.unit.Job, "unit", r.key.unit, "run", r.key.run,
			"worker", r.unit.Worker, "member", reason, "members", len(members))
		telemetry.CountBy("teaselpaddle_incomplete_gang_stops_total", "member", reason)
		a.stop(r.key)
	}
}

// startOverdue reports whether the start of a run has not been answered in time by a
// worker that answers no other call either.
func (a *agent) startOverdue(k runKey, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	od := a.orders[k]
	if _, reported := a.reportedRuns[k]; reported || od == nil || od.startSentAt.IsZero() || !od.startAckedAt.IsZero() {
		return false
	}
	return a.unansweredCalls > 0 && now.Sub(od.startSentAt) >= memberStartTimeout
}
