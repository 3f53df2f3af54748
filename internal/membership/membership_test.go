package membership

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20180625"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

const minute = int(time.Minute / TickInterval)

// newConvergedSim returns a simulation of n instances that know each other.
func newConvergedSim(t testing.TB, n int, seed uint64) *sim {
	s := newSim(t, n, seed)
	for i := 0; !s.converged(); i++ {
		if i == 24 {
			t.Fatal("no convergence within 2 minutes")
		}
		s.run(50)
	}
	s.run(20 * 10)
	clear(s.stateChanges)
	return s
}

// Guards against a false death when the path between two instances is broken in
// one direction or both while other instances reach both of them.
func TestPathLossCausesNoFalseDeath(t *testing.T) {
	t.Parallel()
	for _, both := range []bool{false, true} {
		is := is.New(t)
		s := newConvergedSim(t, 9, 1)
		a, b := s.names[0], s.names[4]
		s.drops = func(from, to string) bool { return from == a && to == b || both && from == b && to == a }
		s.run(20 * minute)
		is.Equal(s.stateChanges["dead"], 0)
	}
}

// Guards against instances that are alternately declared dead and alive because
// messages are lost at random.
func TestLossDoesNotFlap(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newConvergedSim(t, 9, 2)
	s.drops = func(string, string) bool { return s.rand.IntN(100) < 15 }
	s.run(20 * minute)
	is.Equal(s.stateChanges["dead"], 0)
	t.Logf("%d suspicions seen in 20 minutes at 15%% loss", s.stateChanges["suspect"])

	s = newConvergedSim(t, 9, 3) // one instance with a bad connection
	bad := s.names[2]
	s.drops = func(from, to string) bool { return (from == bad || to == bad) && s.rand.IntN(100) < 40 }
	s.run(20 * minute)
	t.Logf("one instance at 40%% loss: %v", s.stateChanges)
	is.Equal(s.stateChanges["dead"], 0)
}

// Guards against a frozen process that is still considered dead after it resumes,
// and against one that declares the others dead after it was frozen itself.
func TestFrozenProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newConvergedSim(t, 9, 4)
	f := s.names[3]
	s.frozen[f] = true
	s.run(30) // 3 s
	s.frozen[f] = false
	s.run(minute)
	is.Equal(s.stateChanges["dead"], 0)
	is.True(s.converged())

	s.frozen[f] = true
	took := s.runUntil(2*minute, "death", func() bool { return s.state(s.names[0], f) == Dead })
	t.Logf("dead after %v", time.Duration(took)*TickInterval)
	s.run(5 * minute)
	s.frozen[f] = false
	s.cores[f].HandleResume()
	clear(s.stateChanges)
	s.runUntil(minute, "return", func() bool { return s.converged() })
	is.Equal(s.stateChanges["dead"], 0) // it accused nobody
}

// Guards against a restarted process that is taken for its predecessor, whether it
// starts before the predecessor was suspected or after it was declared dead.
func TestRestartedProcess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newConvergedSim(t, 9, 5)
	r := s.names[8]
	s.boot(r)
	took := s.runUntil(minute, "restart seen", func() bool { return s.converged() })
	t.Logf("restart known everywhere after %v", time.Duration(took)*TickInterval)
	is.Equal(s.stateChanges["dead"], 0)

	s.cores[r] = nil
	s.runUntil(2*minute, "death", func() bool { return s.converged(r) })
	s.boot(r)
	s.runUntil(minute, "restart after death", func() bool { return s.converged() })
}

// Guards against sides of a partition that do not merge again after it heals.
func TestPartitionAndHeal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newConvergedSim(t, 9, 6)
	zone := func(name string) string { return name[:7] }
	s.drops = func(from, to string) bool { return (zone(from) == "amman-1") != (zone(to) == "amman-1") }
	first, second := s.names[0], s.names[1]
	s.runUntil(3*minute, "partition seen", func() bool {
		return s.state(first, second) == Dead && s.state(second, first) == Dead
	})
	s.run(5 * minute)
	is.Equal(s.state(first, s.names[3]), Alive) // same zone
	s.drops = func(string, string) bool { return false }
	took := s.runUntil(2*minute, "heal", func() bool { return s.converged() })
	t.Logf("healed after %v", time.Duration(took)*TickInterval)
}

// Guards against facts that do not reach the other instances or revert to older
// values.
func TestFacts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newConvergedSim(t, 9, 7)
	a, b := s.names[0], s.names[1]
	s.cores[a].SetFacts(Facts{Zone: "amman-1", Disk: true, Stopping: true, ConfigVersion: 8, ConfigAge: 20 * time.Second})
	s.runUntil(20*10, "stopping flag", func() bool {
		m := s.cores[b].Snapshot()[0]
		return m.Facts.Stopping && m.Facts.Disk && m.Facts.ConfigVersion == 8
	})
	age := s.cores[b].Snapshot()[0].Facts.ConfigAge
	is.True(age >= 20*time.Second && age < 41*time.Second)
	s.cores[a].SetFacts(Facts{Zone: "amman-1", Disk: true, Stopping: true, ConfigVersion: 9})
	s.runUntil(20*10, "config version", func() bool {
		for _, at := range s.names {
			if s.cores[at].Snapshot()[0].Facts.ConfigVersion != 9 {
				return false
			}
		}
		return true
	})
}

// Guards against a state from which the instances do not converge: after any
// sequence of restarts, crashes, freezes, partitions and message losses, all
// running instances agree once the faults end. The seed is fixed.
func TestConvergence(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(t, rapid.IntRange(2, 12).Draw(rt, "n"), rapid.Uint64().Draw(rt, "seed"))
		pick := func() string { return rapid.SampledFrom(s.names).Draw(rt, "name") }
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				s.boot(pick())
			case 1:
				s.cores[pick()] = nil
			case 2:
				s.frozen[pick()] = true
			case 3:
				cut := rapid.IntRange(0, len(s.names)).Draw(rt, "cut")
				s.drops = func(from, to string) bool {
					return (from < s.names[cut%len(s.names)]) != (to < s.names[cut%len(s.names)])
				}
			case 4:
				loss := rapid.IntRange(0, 60).Draw(rt, "loss")
				s.drops = func(string, string) bool { return s.rand.IntN(100) < loss }
			case 5:
				clear(s.frozen)
				s.drops = func(string, string) bool { return false }
			}
			s.run(rapid.IntRange(1, 300).Draw(rt, "ticks"))
		}
		clear(s.frozen)
		s.drops = func(string, string) bool { return false }
		for _, name := range s.names {
			if s.cores[name] == nil {
				s.boot(name)
			}
		}
		s.runUntil(5*minute, "convergence", func() bool { return s.converged() })
	})
}
