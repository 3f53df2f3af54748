package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// sim runs cores in one goroutine, with random message delays and configurable
// message loss.
type sim struct {
	t        testing.TB
	rand     *rand.Rand
	names    []string
	cores    map[string]*Core
	frozen   map[string]bool
	drops    func(from, to string) bool
	inFlight []inFlightMessage
	now      int

	bytes, messages int
	largest         int
	stateChanges    map[string]int // by new state, counted over all observing instances
	lastStates      map[string]State
}

// minUndecodedInstances is the number of instances from which on messages are
// delivered without being decoded, because decoding would take most of the time of
// a large simulation.
const minUndecodedInstances = 20

type inFlightMessage struct {
	from        string
	deliverTick int
	Envelope
}

func newSim(t testing.TB, n int, seed uint64) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*Core{}, frozen: map[string]bool{},
		drops: func(string, string) bool { return false }, stateChanges: map[string]int{}, lastStates: map[string]State{},
	}
	for i := range n {
		s.names = append(s.names, fmt.Sprintf("amman-%d-%03d", i%3+1, i))
	}
	for _, name := range s.names {
		s.boot(name)
	}
	return s
}

// boot starts a new process of an instance.
func (s *sim) boot(name string) {
	s.cores[name] = New(Config{
		Self: name, Incarnation: s.rand.Uint64() | 1, Members: s.names,
		Facts: Facts{Zone: name[:7], ConfigVersion: 1}, Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)),
	})
}

func (s *sim) run(ticks int) {
	for range ticks {
		s.now++
		arrived := s.inFlight
		s.inFlight = nil
		for _, f := range arrived {
			switch {
			case f.deliverTick > s.now || s.frozen[f.To]:
				s.inFlight = append(s.inFlight, f) // the kernel buffers messages while a process is frozen
			case s.cores[f.To] != nil:
				s.cores[f.To].Step(f.from, f.Message)
				s.collectOutput(f.To)
			}
		}
		for _, name := range s.names {
			if c := s.cores[name]; c != nil && !s.frozen[name] {
				c.Tick()
				s.collectOutput(name)
			}
		}
	}
}

// collectOutput sends the pending messages of an instance and counts the state
// changes that it observed.
func (s *sim) collectOutput(name string) {
	c := s.cores[name]
	for _, o := range c.TakeMessages() {
		data, err := codec.Marshal(o.Message)
		if err != nil {
			s.t.Fatal(err)
		}
		m := o.Message
		if len(s.names) < minUndecodedInstances {
			m = new(Message)
			if err := codec.Unmarshal(data, m); err != nil {
				s.t.Fatal(err)
			}
		}
		s.bytes += len(data)
		s.messages++
		s.largest = max(s.largest, len(data))
		if !s.drops(name, o.To) {
			s.inFlight = append(s.inFlight, inFlightMessage{from: name, deliverTick: s.now + 1 + s.rand.IntN(2), Envelope: Envelope{To: o.To, Message: m}})
		}
	}
	for _, other := range c.TakeChanged() {
		st := c.members[other].record.State
		if key := name + other; s.lastStates[key] != st {
			s.lastStates[key] = st
			s.stateChanges[st.String()]++
		}
	}
}

func (s *sim) state(at, of string) State { return s.cores[at].members[of].record.State }

// converged reports whether all instances but the given ones know the given ones
// as dead, and all others as alive with their current incarnation.
func (s *sim) converged(dead ...string) bool {
	isDead := map[string]bool{}
	for _, d := range dead {
		isDead[d] = true
	}
	for _, at := range s.names {
		if isDead[at] {
			continue
		}
		for _, of := range s.names {
			if want := map[bool]State{false: Alive, true: Dead}[isDead[of]]; s.state(at, of) != want {
				return false
			}
			if !isDead[of] && s.cores[at].members[of].record.Incarnation != s.cores[of].cfg.Incarnation {
				return false
			}
		}
	}
	return true
}

// runUntil runs until f returns true and returns the number of ticks that it took.
// It fails the test after limit ticks.
func (s *sim) runUntil(limit int, what string, f func() bool) int {
	s.t.Helper()
	for i := range limit {
		if f() {
			return i
		}
		s.run(1)
	}
	s.t.Fatalf("%s: not within %d ticks", what, limit)
	return 0
}
