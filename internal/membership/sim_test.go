package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// sim runs cores in one thread with a random delay and a chosen loss.
type sim struct {
	t      testing.TB
	rand   *rand.Rand
	names  []string
	cores  map[string]*Core
	frozen map[string]bool
	lose   func(from, to string) bool
	flight []flying
	now    int

	bytes, messages int
	largest         int
	changes         map[string]int // by "state" of others, seen at any instance
	before          map[string]State
}

// decodeBelow is the number of instances from which messages are handed over
// without decoding them, which would take most of the time of a large run.
const decodeBelow = 20

type flying struct {
	from string
	at   int
	Out
}

func newSim(t testing.TB, n int, seed uint64) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*Core{}, frozen: map[string]bool{},
		lose: func(string, string) bool { return false }, changes: map[string]int{}, before: map[string]State{},
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
		arrived := s.flight
		s.flight = nil
		for _, f := range arrived {
			switch {
			case f.at > s.now || s.frozen[f.To]:
				s.flight = append(s.flight, f) // kept by the system while a process is frozen
			case s.cores[f.To] != nil:
				s.cores[f.To].Step(f.from, f.Message)
				s.collect(f.To)
			}
		}
		for _, name := range s.names {
			if c := s.cores[name]; c != nil && !s.frozen[name] {
				c.Tick()
				s.collect(name)
			}
		}
	}
}

func (s *sim) collect(name string) {
	c := s.cores[name]
	for _, o := range c.Take() {
		data, err := codec.Marshal(o.Message)
		if err != nil {
			s.t.Fatal(err)
		}
		m := o.Message
		if len(s.names) < decodeBelow {
			m = new(Message)
			if err := codec.Unmarshal(data, m); err != nil {
				s.t.Fatal(err)
			}
		}
		s.bytes += len(data)
		s.messages++
		s.largest = max(s.largest, len(data))
		if !s.lose(name, o.To) {
			s.flight = append(s.flight, flying{from: name, at: s.now + 1 + s.rand.IntN(2), Out: Out{To: o.To, Message: m}})
		}
	}
	for _, other := range c.Changed() {
		st := c.members[other].rec.State
		if key := name + other; s.before[key] != st {
			s.before[key] = st
			s.changes[st.String()]++
		}
	}
}

func (s *sim) state(at, of string) State { return s.cores[at].members[of].rec.State }

// agree is true if every running instance has the same records, all alive but
// those given.
func (s *sim) agree(dead ...string) bool {
	gone := map[string]bool{}
	for _, d := range dead {
		gone[d] = true
	}
	for _, at := range s.names {
		if gone[at] {
			continue
		}
		for _, of := range s.names {
			if want := map[bool]State{false: Alive, true: Dead}[gone[of]]; s.state(at, of) != want {
				return false
			}
			if !gone[of] && s.cores[at].members[of].rec.Incarnation != s.cores[of].cfg.Incarnation {
				return false
			}
		}
	}
	return true
}

// until runs until the condition holds and returns the ticks that it took.
func (s *sim) until(limit int, what string, f func() bool) int {
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
