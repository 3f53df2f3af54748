package membership

import (
	"math"
	"time"
)

// probe is the probe that is under way.
type probe struct {
	target  string
	seq     uint32
	asked   int    // relays that were asked; 0 before the direct timeout
	nacks   int    // relays that answered that the target is silent
	askAt   uint64 // tick to ask relays
	failsAt uint64
}

// relay is a probe made for another instance.
type relay struct {
	origin  string
	seq     uint32 // of the origin
	nackAt  uint64
	expires uint64
	nacked  bool
}

// reconnectEvery is the number of probe intervals after which one instance that
// is dead or unknown is pinged as well, so that a healed partition is noticed.
const reconnectEvery = 3

// joinPings is the number of instances that are pinged at once by an instance
// that knows no other.
const joinPings = 3

func ticksDuration(t uint64) time.Duration { return time.Duration(min(t, math.MaxInt32)) }

// scaled makes a time longer while this instance is not healthy itself
// (Lifeguard, section IV-A).
func (c *Core) scaled(ticks int) uint64 { return uint64(ticks * (c.health + 1)) }

func (c *Core) worsen(by int) { c.health = min(c.health+by, c.cfg.MaxHealth) }

func (c *Core) tickProbe() {
	p := c.probe
	if p != nil && p.asked == 0 && c.now >= p.askAt {
		c.askRelays(p)
	}
	if p != nil && c.now >= p.failsAt {
		c.probe = nil
		c.probeFailed(p)
	}
	if c.probe == nil && c.now >= c.nextProbe {
		c.startProbe()
	}
}

// startProbe pings the next instance of the round. Each round is a new random
// order, which bounds the time until an instance is probed (SWIM, section 4.3).
func (c *Core) startProbe() {
	c.nextProbe = c.now + c.scaled(c.cfg.ProbeTicks)
	c.rounds++
	target := c.nextTarget()
	if target == "" {
		c.reconnect(joinPings)
		return
	}
	if c.rounds%reconnectEvery == 0 {
		c.reconnect(1)
	}
	c.seq++
	c.probe = &probe{
		target: target, seq: c.seq,
		askAt: c.now + c.scaled(c.cfg.AckTicks), failsAt: c.nextProbe,
	}
	c.send(target, &Message{Kind: Ping, Seq: c.seq})
}

// probed is true for instances that take part in the rounds.
func probed(s State) bool { return s == Alive || s == Suspect }

func (c *Core) nextTarget() string {
	for range 2 {
		for len(c.order) > 0 {
			name := c.order[0]
			c.order = c.order[1:]
			if probed(c.members[name].rec.State) {
				return name
			}
		}
		c.order = c.others(probed)
	}
	return ""
}

// others returns the names of the other instances in certain states, in random
// order.
func (c *Core) others(in func(State) bool) []string {
	var out []string
	for _, name := range c.names {
		if name != c.cfg.Self && in(c.members[name].rec.State) {
			out = append(out, name)
		}
	}
	c.cfg.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// reconnect pings instances that are dead or unknown. Nothing follows if they do
// not answer.
func (c *Core) reconnect(n int) {
	gone := c.others(func(s State) bool { return !probed(s) })
	for _, name := range gone[:min(n, len(gone))] {
		c.seq++
		c.send(name, &Message{Kind: Ping, Seq: c.seq})
	}
}

// askRelays asks others to ping the target, because only the path from here may
// be broken.
func (c *Core) askRelays(p *probe) {
	for _, name := range c.others(func(s State) bool { return s == Alive }) {
		if name == p.target {
			continue
		}
		c.send(name, &Message{Kind: PingReq, Seq: p.seq, Target: p.target})
		p.asked++
		if p.asked == c.cfg.Relays {
			return
		}
	}
	if p.asked == 0 {
		p.askAt = p.failsAt + 1
	}
}

func (c *Core) acked(seq uint32) {
	if p := c.probe; p != nil && p.seq == seq {
		c.probe = nil
		c.health = max(c.health-1, 0)
		return
	}
	r := c.relays[seq]
	if r == nil {
		return
	}
	delete(c.relays, seq)
	c.send(r.origin, &Message{Kind: Ack, Seq: r.seq})
}

func (c *Core) nacked(seq uint32) {
	if p := c.probe; p != nil && p.seq == seq {
		p.nacks++
	}
}

// probeFailed suspects the target. Relays that did not answer at all point to a
// fault near this instance (Lifeguard, section IV-A).
func (c *Core) probeFailed(p *probe) {
	if missing := p.asked - p.nacks; missing > 0 {
		c.worsen(missing)
	} else if p.asked == 0 {
		c.worsen(1)
	}
	e := c.members[p.target]
	switch e.rec.State {
	case Alive:
		r := e.rec
		r.State, r.Accuser = Suspect, c.id
		c.replace(e, r)
	case Suspect:
		c.confirm(e, c.id)
	}
}

func (c *Core) startRelay(origin string, m *Message) {
	if c.members[m.Target] == nil || m.Target == c.cfg.Self {
		return
	}
	c.seq++
	// The answer must be back before the origin's probe ends, so these times do
	// not depend on the local health.
	c.relays[c.seq] = &relay{
		origin: origin, seq: m.Seq,
		nackAt: c.now + uint64(c.cfg.AckTicks), expires: c.now + uint64(c.cfg.ProbeTicks),
	}
	c.send(m.Target, &Message{Kind: Ping, Seq: c.seq})
}

func (c *Core) tickRelays() {
	if len(c.relays) == 0 {
		return
	}
	for _, seq := range sortedKeys(c.relays) {
		r := c.relays[seq]
		if !r.nacked && c.now >= r.nackAt {
			r.nacked = true
			c.send(r.origin, &Message{Kind: Nack, Seq: r.seq})
		}
		if c.now >= r.expires {
			delete(c.relays, seq)
		}
	}
}
