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

// lateAnswers delays, reorders and doubles what workers say.
func lateAnswers(r *run) {
	for i, w := range r.workers {
		f := standin.Faults{DoubleReports: true, ReorderReports: true, AnswerDelayMillis: r.rng.IntN(250)}
		if i%4 == 0 {
			f.WithholdReports = true // known by status only
		}
		r.setFaults([]*worker{w}, f)
	}
	b := r.newBatch()
	b.sendMix("late", 100, 4*time.Second)
	b.check(load.Checker{})
	b.mustBeDone("job was not done", nil)
}

// silentConnections silences open connections to workers and between instances
// again and again, while new ones work.
func silentConnections(r *run) {
	b := r.newBatch()
	for range 4 {
		r.setFaults(r.workers, standin.Faults{SilenceOpen: true})
		for _, p := range r.proxies {
			if r.rng.IntN(2) == 0 {
				p.SwallowOpen(faultproxy.ToTarget)
				p.SwallowOpen(faultproxy.FromTarget)
			}
		}
		for i := range 25 {
			b.send(i, r.mix("silent", len(b.outcomes)))
			r.sleep(60 * time.Millisecond)
		}
	}
	b.check(load.Checker{AllowReruns: true})
	b.mustBeDone("repeatable job was not done", repeatable)
}

// refusalLimit bounds the time of an answer about a zone that is cut off: a silent
// link is closed after 1.5 s, and the zone was cut off longer than that before.
const refusalLimit = 2 * time.Second

// zoneCutAndHeal cuts a zone off. Both sides go on with what they can, callers on
// the other side are told unknown at once, and nothing is doubled after.
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
	before := r.newBatch()
	before.sendMix("before", 20, time.Second)
	r.cutZone(zone)
	r.sleep(3 * time.Second)
	in, out := r.newBatch(inside...), r.newBatch(outside...)
	for i := range 20 {
		in.send(i, owned(zone, r.mix("inside", i)))
		out.send(i, owned(zones[(int(r.seed)+1)%len(zones)], r.mix("outside", i)))
		r.sleep(50 * time.Millisecond)
	}
	r.refusedAcross(out.caller, zone)
	in.wait()
	out.wait()
	for _, b := range []*batch{in, out} {
		b.mustBeDone("job of a zone that can work was not done during the cut", nil)
	}
	r.heal()
	after := r.newBatch()
	after.sendMix("after", 20, time.Second)
	after.outcomes = append(after.outcomes, before.outcomes...)
	before.wait()
	after.outcomes = append(append(after.outcomes, in.outcomes...), out.outcomes...)
	// A repeatable job may run in two zones when the owner zone cannot be reached.
	after.check(load.Checker{AllowReruns: true})
	after.mustBeDone("repeatable job was not done", repeatable)
}

// refusedAcross submits a not-repeatable job of a zone that cannot be reached.
func (r *run) refusedAcross(c *load.Caller, zone string) {
	s := r.mix("across", 1)
	s.Repeatable = false
	s = owned(zone, s)
	begun := time.Now()
	_, err := c.Submit(r.ctx, c.Entries[0], &s)
	took := time.Since(begun)
	r.note("refused_in", took.Round(time.Millisecond))
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

// oneWayCut drops what a zone's leader sends to the rest of its zone, then what
// it receives from it.
func oneWayCut(r *run) {
	b := r.newBatch()
	for round := range 2 {
		zone := zones[(round+int(r.seed))%len(zones)]
		l := r.waitLeader(zone, nil)
		for _, d := range r.inZone(zone) {
			if d == l {
				continue
			}
			if round == 0 {
				r.cut(l, d)
			} else {
				r.cut(d, l)
			}
		}
		b.sendMix([]string{"sends", "hears"}[round], 60, 7*time.Second)
		r.heal()
		r.sleep(time.Second)
	}
	b.check(load.Checker{AllowReruns: true})
	b.mustBeDone("repeatable job was not done", repeatable)
}

// leaderFreeze stops a leader's process for longer than a lease and lets it go
// on: its late messages must do no harm.
func leaderFreeze(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	b := r.newBatch()
	b.sendMix("warm", 20, time.Second)
	l := r.waitLeader(zone, nil)
	l.signal(syscall.SIGSTOP)
	b.sendMix("frozen", 100, time.Duration(r.o.leaseSeconds*float64(time.Second))+3*time.Second)
	l.signal(syscall.SIGCONT)
	b.sendMix("thawed", 40, 2*time.Second)
	b.check(load.Checker{})
	b.mustBeDone("repeatable job was not done", repeatable)
}
