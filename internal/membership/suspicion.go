package membership

import (
	"math"
	"slices"
)

// suspicion is the time that a suspect has to refute.
type suspicion struct {
	start    uint64
	accusers []uint32
	checks   int // own pings during the suspicion
}

// suspicionChecks is the number of times that an instance pings a suspect itself
// before it declares it dead. Without them one death was seen in 20 simulated
// minutes of 9 instances at 15% loss.
const suspicionChecks = 3

// maxConfirmations is the number of independent accusers that shorten a
// suspicion to its minimum (Lifeguard, section IV-B).
const maxConfirmations = 3

func (c *Core) startSuspicion(e *entry, accuser uint32) {
	e.suspicion = &suspicion{start: c.now, accusers: []uint32{accuser}}
	c.suspects++
}

// confirm adds an independent accuser and passes the accusation on.
func (c *Core) confirm(e *entry, accuser uint32) {
	s := e.suspicion
	if s == nil || len(s.accusers) > maxConfirmations || slices.Contains(s.accusers, accuser) {
		return
	}
	s.accusers = append(s.accusers, accuser)
	e.rec.Accuser = accuser
	c.enqueue(e.rec.Name)
}

// suspicionTicks is the length of a suspicion. It starts long and shrinks
// towards the minimum with each independent accuser, so that one instance with
// a bad connection cannot have others declared dead quickly.
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

// expireSuspicions declares suspects dead. A suspect from which this instance
// itself hears stays a suspect: it is alive, and only the way to it is broken.
func (c *Core) expireSuspicions() {
	if c.suspects == 0 {
		return
	}
	for _, name := range c.names {
		e := c.members[name]
		s := e.suspicion
		if s == nil {
			continue
		}
		passed, total := c.now-s.start, c.suspicionTicks(s)
		switch {
		case passed >= total && e.heard > s.start:
			s.start, s.checks = c.now, 0
		case passed >= total:
			r := e.rec
			r.State = Dead
			c.replace(e, r)
		case s.checks < suspicionChecks && passed*(suspicionChecks+1) >= total*uint64(s.checks+1):
			s.checks++
			c.seq++
			c.send(name, &Message{Kind: Ping, Seq: c.seq})
		}
	}
}
