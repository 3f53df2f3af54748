//go:build prove

package prove

import (
	"syscall"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/faultproxy"
	"teaselpaddle.example/teaselpaddle/internal/load"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/standin"
)

// lateAndReorderedAnswers delays the workers' answers and reorders, duplicates or
// withholds their reports; every job is still done.
func lateAndReorderedAnswers(r *run) {
	for i, w := range r.workers {
		f := standin.Faults{DoubleReports: true, ReorderReports: true, AnswerDelayMillis: r.rng.IntN(250)}
		if i%4 == 0 {
			f.WithholdReports = true // the leader learns of results from status requests only
		}
		r.setFaults([]*worker{w}, f)
	}
	b := r.newJobBatch()
	b.submitMix("late", 100, 4*time.Second)
	b.checkAgainstJournals(load.Checker{})
	b.requireDone("job was not done", nil)
}

// silentConnections repeatedly makes the open connections to workers and between
// instances drop all data without closing, while new connections work.
func silentConnections(r *run) {
	b := r.newJobBatch()
	for range 4 {
		r.setFaults(r.workers, standin.Faults{SilenceOpen: true})
		for _, p := range r.proxies {
			if r.rng.IntN(2) == 0 {
				p.BlackholeOpen(faultproxy.ToTarget)
				p.BlackholeOpen(faultproxy.FromTarget)
			}
		}
		for i := range 25 {
			b.submit(i, r.mixedSpec("silent", len(b.outcomes)))
			r.sleep(60 * time.Millisecond)
		}
	}
	b.checkAgainstJournals(load.Checker{AllowReruns: true})
	b.requireDone("repeatable job was not done", isRepeatable)
}

// refusalLimit bounds the time of an answer about a zone that is cut off. A silent
// link is closed after 1.5 s, and the zone has been cut off for longer than that
// before the request.
const refusalLimit = 2 * time.Second

// zoneCutAndHeal cuts off a zone. Both sides keep running the jobs that they own,
// a caller who submits a not-repeatable job across the cut gets the state unknown
// within refusalLimit, and no not-repeatable job has run twice after the cut has
// healed.
func zoneCutAndHeal(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	var inside, outside []string
	for _, d := range r.daemons {
		if d.AvailabilityZone == zone {
			inside = append(inside, d.ClientAddress)
		} else {
			outside = append(outside, d.ClientAddress)
		}
	}
	before := r.newJobBatch()
	before.submitMix("before", 20, time.Second)
	r.cutZone(zone)
	r.sleep(3 * time.Second)
	in, out := r.newJobBatch(inside...), r.newJobBatch(outside...)
	for i := range 20 {
		in.submit(i, withKeyOwnedBy(zone, r.mixedSpec("inside", i)))
		out.submit(i, withKeyOwnedBy(zones[(int(r.seed)+1)%len(zones)], r.mixedSpec("outside", i)))
		r.sleep(50 * time.Millisecond)
	}
	r.checkRefusedAcrossCut(out.caller, zone)
	in.wait()
	out.wait()
	for _, b := range []*jobBatch{in, out} {
		b.requireDone("job of a zone that can work was not done during the cut", nil)
	}
	r.heal()
	after := r.newJobBatch()
	after.submitMix("after", 20, time.Second)
	after.outcomes = append(after.outcomes, before.outcomes...)
	before.wait()
	after.outcomes = append(append(after.outcomes, in.outcomes...), out.outcomes...)
	// A repeatable job may run in two zones while its owner zone is unreachable.
	after.checkAgainstJournals(load.Checker{AllowReruns: true})
	after.requireDone("repeatable job was not done", isRepeatable)
}

// checkRefusedAcrossCut submits a not-repeatable job that an unreachable zone owns
// and checks code, state, Retry-After and time of the refusal.
func (r *run) checkRefusedAcrossCut(c *load.Caller, zone string) {
	s := r.mixedSpec("across", 1)
	s.Repeatable = false
	s = withKeyOwnedBy(zone, s)
	start := time.Now()
	_, err := c.Submit(r.ctx, c.Entries[0], &s)
	took := time.Since(start)
	r.addFigure("refused_in", took.Round(time.Millisecond))
	p, ok := err.(*load.Problem)
	switch {
	case !ok:
		r.failf("submission across the cut: %v, want a problem document", err)
	case p.Code != model.ReasonOwnerUnreachable || p.State != model.Unknown || p.RetryAfter == 0:
		r.failf("submission across the cut: %v, state %q, Retry-After %s; want owner_zone_unreachable, unknown, Retry-After", p, p.State, p.RetryAfter)
	case took > refusalLimit:
		r.failf("submission across the cut was answered after %s", took)
	}
}

// oneWayCut drops what the leader of a zone sends to the rest of the zone, and in the
// second round, in another zone, what the leader receives from the rest.
func oneWayCut(r *run) {
	b := r.newJobBatch()
	for round := range 2 {
		zone := zones[(round+int(r.seed))%len(zones)]
		l := r.waitForLeader(zone, nil)
		for _, d := range r.daemonsIn(zone) {
			if d == l {
				continue
			}
			if round == 0 {
				r.cut(l, d)
			} else {
				r.cut(d, l)
			}
		}
		b.submitMix([]string{"sends", "hears"}[round], 60, 7*time.Second)
		r.heal()
		r.sleep(time.Second)
	}
	b.checkAgainstJournals(load.Checker{AllowReruns: true})
	b.requireDone("repeatable job was not done", isRepeatable)
}

// leaderFreeze suspends a leader's process for longer than a lease and resumes it.
// Messages that the deposed leader then sends must have no effect.
func leaderFreeze(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	b := r.newJobBatch()
	b.submitMix("warm", 20, time.Second)
	l := r.waitForLeader(zone, nil)
	l.signal(syscall.SIGSTOP)
	b.submitMix("frozen", 100, time.Duration(r.options.leaseSeconds*float64(time.Second))+3*time.Second)
	l.signal(syscall.SIGCONT)
	b.submitMix("thawed", 40, 2*time.Second)
	b.checkAgainstJournals(load.Checker{})
	b.requireDone("repeatable job was not done", isRepeatable)
}
