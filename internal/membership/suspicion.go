package membership

import (
	"math"
	"slices"
)

// suspicion is the state of a suspicion, which the suspect can refute until it
// expires.
type suspicion struct {
	startTick uint64
	accusers  []uint32
	pings     int // pings that this instance has sent during the suspicion
}

// suspicionPings is the number of pings that an instance itself sends to a suspect
// before it declares it dead. Without them, a simulation of 20 minutes with 9
// instances and 15% message loss had one false death.
const suspicionPings = 3

// maxConfirmations is the number of independent confirmations that shorten a
// suspicion to its minimum (Lifeguard, section IV-B).
const maxConfirmations = 3

func (c *Core) startSuspicion(e *memberEntry, accuser uint32) {
	e.suspicion = &suspicion{startTick: c.now, accusers: []uint32{accuser}}
	c.suspicionCount++
}

// confirmSuspicion records an independent accuser and queues the record with this
// accuser for dissemination.
func (c *Core) confirmSuspicion(e *memberEntry, accuser uint32) {
	s := e.suspicion
	if s == nil || len(s.accusers) > maxConfirmations || slices.Contains(s.accusers, accuser) {
		return
	}
	s.accusers = append(s.accusers, accuser)
	e.record.Accuser = accuser
	c.enqueueRecord(e.record.Name)
}

// suspicionTicks returns the duration of a suspicion. It starts at the maximum and
// shrinks towards the minimum with each independent accuser, so that one instance
// with a bad connection cannot have others declared dead quickly.
func (c *Core) suspicionTicks(s *suspicion) uint64 {
	n := float64(len(c.names))
	least := float64(c.cfg.SuspicionMult*c.cfg.ProbeTicks) * max(1, math.Log10(n))
	most := least * float64(c.cfg.SuspicionRange)
	k := min(maxConfirmations, len(c.names)-2)
	if k < 1 {
		return uint64(least)
	}
	confirmed := float64(len(s.accusers) - 1)
	left := most - (most-least)*math.Log(confirmed+1)/math.Log(float64(k)+1)
	return uint64(max(left, least))
}

// expireSuspicions declares suspects dead whose suspicion has expired, and pings
// the others. If this instance has received a message from the suspect since the
// suspicion began, the suspicion starts anew instead: the suspect is alive, and
// only the path to it is broken.
func (c *Core) expireSuspicions() {
	if c.suspicionCount == 0 {
		return
	}
	for _, name := range c.names {
		e := c.members[name]
		s := e.suspicion
		if s == nil {
			continue
		}
		passed, total := c.now-s.startTick, c.suspicionTicks(s)
		switch {
		case passed >= total && e.lastHeardTick > s.startTick:
			s.startTick, s.pings = c.now, 0
		case passed >= total:
			r := e.record
			r.State = Dead
			c.replaceRecord(e, r)
		case s.pings < suspicionPings && passed*(suspicionPings+1) >= total*uint64(s.pings+1):
			s.pings++
			c.seq++
			c.send(name, &Message{Kind: Ping, Seq: c.seq})
		}
	}
}
