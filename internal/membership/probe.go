package membership

import (
	"math"
	"time"
)

// probe is the state of the running probe.
type probe struct {
	target      string
	seq         uint32
	relaysAsked int    // number of PingReq messages sent; 0 before the direct timeout
	nacks       int    // number of relays that answered Nack
	relayTick   uint64 // tick at which relays are asked
	failTick    uint64
}

// relay is a ping that this instance sends as a relay for another instance.
type relay struct {
	origin     string
	seq        uint32 // of the probe at the origin
	nackTick   uint64
	expiryTick uint64
	nacked     bool
}

// probesPerReconnect is the number of probes after which one dead or unknown
// instance is pinged as well, so that a healed partition is detected.
const probesPerReconnect = 3

// joinPings is the number of instances that an instance pings at once while it
// knows no other that is alive.
const joinPings = 3

// clampTicks converts a number of ticks to a factor of TickInterval, bounded so
// that the product does not overflow.
func clampTicks(t uint64) time.Duration { return time.Duration(min(t, math.MaxInt32)) }

// scaleByHealth lengthens a timeout in proportion to the health score of this
// instance (Lifeguard, section IV-A).
func (c *Core) scaleByHealth(ticks int) uint64 { return uint64(ticks * (c.healthScore + 1)) }

// degradeHealth raises the health score, up to MaxHealthScore.
func (c *Core) degradeHealth(by int) { c.healthScore = min(c.healthScore+by, c.cfg.MaxHealthScore) }

func (c *Core) tickProbe() {
	p := c.probe
	if p != nil && p.relaysAsked == 0 && c.now >= p.relayTick {
		c.sendPingReqs(p)
	}
	if p != nil && c.now >= p.failTick {
		c.probe = nil
		c.probeFailed(p)
	}
	if c.probe == nil && c.now >= c.nextProbe {
		c.startProbe()
	}
}

// startProbe pings the next instance of the round. A round visits all other alive
// and suspect instances in random order, which bounds the time until an instance
// is probed (SWIM, section 4.3).
func (c *Core) startProbe() {
	c.nextProbe = c.now + c.scaleByHealth(c.cfg.ProbeTicks)
	c.probeCount++
	target := c.nextTarget()
	if target == "" {
		c.pingUnreachable(joinPings)
		return
	}
	if c.probeCount%probesPerReconnect == 0 {
		c.pingUnreachable(1)
	}
	c.seq++
	c.probe = &probe{
		target: target, seq: c.seq,
		relayTick: c.now + c.scaleByHealth(c.cfg.AckTicks), failTick: c.nextProbe,
	}
	c.send(target, &Message{Kind: Ping, Seq: c.seq})
}

// isProbed reports whether instances in this state are probed in the rounds.
func isProbed(s State) bool { return s == Alive || s == Suspect }

// nextTarget returns the next instance to probe, or "" if none is alive or
// suspect.
func (c *Core) nextTarget() string {
	for range 2 {
		for len(c.probeOrder) > 0 {
			name := c.probeOrder[0]
			c.probeOrder = c.probeOrder[1:]
			if isProbed(c.members[name].record.State) {
				return name
			}
		}
		c.probeOrder = c.othersInState(isProbed)
	}
	return ""
}

// othersInState returns the names of the other instances whose state matches, in
// random order.
func (c *Core) othersInState(matches func(State) bool) []string {
	var out []string
	for _, name := range c.names {
		if name != c.cfg.Self && matches(c.members[name].record.State) {
			out = append(out, name)
		}
	}
	c.cfg.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// pingUnreachable pings up to n dead or unknown instances. A missing answer has no
// consequence.
func (c *Core) pingUnreachable(n int) {
	unreachable := c.othersInState(func(s State) bool { return !isProbed(s) })
	for _, name := range unreachable[:min(n, len(unreachable))] {
		c.seq++
		c.send(name, &Message{Kind: Ping, Seq: c.seq})
	}
}

// sendPingReqs asks other instances to ping the target, because only the path from
// this instance may be broken.
func (c *Core) sendPingReqs(p *probe) {
	for _, name := range c.othersInState(func(s State) bool { return s == Alive }) {
		if name == p.target {
			continue
		}
		c.send(name, &Message{Kind: PingReq, Seq: p.seq, Target: p.target})
		p.relaysAsked++
		if p.relaysAsked == c.cfg.Relays {
			return
		}
	}
	if p.relaysAsked == 0 { // no instance can be a relay, so this probe does not ask again
		p.relayTick = p.failTick + 1
	}
}

func (c *Core) handleAck(seq uint32) {
	if p := c.probe; p != nil && p.seq == seq {
		c.probe = nil
		c.healthScore = max(c.healthScore-1, 0)
		return
	}
	r := c.relays[seq]
	if r == nil {
		return
	}
	delete(c.relays, seq)
	c.send(r.origin, &Message{Kind: Ack, Seq: r.seq})
}

func (c *Core) handleNack(seq uint32) {
	if p := c.probe; p != nil && p.seq == seq {
		p.nacks++
	}
}

// probeFailed marks the target as suspect. Relays that sent no answer at all
// indicate a fault of this instance or its network (Lifeguard, section IV-A). If
// no relay was asked, the failed probe itself counts as one indication.
func (c *Core) probeFailed(p *probe) {
	if missing := p.relaysAsked - p.nacks; missing > 0 {
		c.degradeHealth(missing)
	} else if p.relaysAsked == 0 {
		c.degradeHealth(1)
	}
	e := c.members[p.target]
	switch e.record.State {
	case Alive:
		r := e.record
		r.State, r.Accuser = Suspect, c.accuserID
		c.replaceRecord(e, r)
	case Suspect:
		c.confirmSuspicion(e, c.accuserID)
	}
}

// handlePingReq pings the target of a PingReq for the origin.
func (c *Core) handlePingReq(origin string, m *Message) {
	if c.members[m.Target] == nil || m.Target == c.cfg.Self {
		return
	}
	c.seq++
	// The answer must arrive before the probe of the origin ends, so these timeouts
	// are not scaled by the local health.
	c.relays[c.seq] = &relay{
		origin: origin, seq: m.Seq,
		nackTick: c.now + uint64(c.cfg.AckTicks), expiryTick: c.now + uint64(c.cfg.ProbeTicks),
	}
	c.send(m.Target, &Message{Kind: Ping, Seq: c.seq})
}

func (c *Core) tickRelays() {
	if len(c.relays) == 0 {
		return
	}
	for _, seq := range sortedKeys(c.relays) {
		r := c.relays[seq]
		if !r.nacked && c.now >= r.nackTick {
			r.nacked = true
			c.send(r.origin, &Message{Kind: Nack, Seq: r.seq})
		}
		if c.now >= r.expiryTick {
			delete(c.relays, seq)
		}
	}
}
