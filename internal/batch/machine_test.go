package batch

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"teaselpaddle.example/teaselpaddle/internal/codec"
)

func apply(t interface{ Fatal(...any) }, m *Machine, c *Command) any {
	entry, err := codec.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(1, entry)
}

func testConfig(version uint64, doc string) *Config {
	return &Config{
		Version: version, Document: []byte(doc), Services: []Service{{Name: "s"}},
		Queues: []Queue{
			{Name: "q", Host: "h", Prefix: "/q/", MaxAttempts: 2, Service: "s"},
			{Name: "deep", Host: "h", Prefix: "/q/deep/", MaxAttempts: 2, Service: "s", Public: true},
		},
		Customers: []Customer{{Name: "c1", Keys: []string{"k1"}}, {Name: "c2", Keys: []string{"k2"}}},
	}
}

func newTestMachine(t interface{ Fatal(...any) }) *Machine {
	m := New(nil)
	apply(t, m, &Command{Publish: testConfig(1, "one")})
	apply(t, m, &Command{Lead: &Lead{Instance: "a"}})
	for _, id := range []string{"w1", "w2"} {
		apply(t, m, &Command{Worker: &WorkerChange{Worker: Worker{ID: id, Incarnation: 1, Service: "s"}}})
	}
	return m
}

func submit(id, key string, steps ...Step) *Command {
	return &Command{Submit: &Submit{Call: Call{Host: "h", Path: "/q/" + id, Key: key}, ID: id, Spec: Spec{Steps: steps}, AtMS: 1}}
}

// Guards against a configuration that replaces a newer one, and against different
// content that takes effect under the current version.
func TestConfigVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	is.Equal(apply(t, m, &Command{Publish: testConfig(5, "five")}), OK)
	is.Equal(apply(t, m, &Command{Publish: testConfig(3, "three")}), OK)
	is.Equal(apply(t, m, &Command{Publish: testConfig(5, "other")}), IDInUse)
	m.View(func(v *View) {
		is.Equal(v.Config().Version, uint64(5))
		is.Equal(string(v.Config().Document), "five")
	})
}

// Guards against a key that is checked against an older configuration than the one in
// force at the commit, and against a queue that is selected by a shorter prefix.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	step := Step{Count: 1}
	is.Equal(apply(t, m, submit("j1", "k1", step)), OK)
	is.Equal(apply(t, m, submit("j2", "nobody", step)), UnknownKey)
	is.Equal(apply(t, m, &Command{Submit: &Submit{Call: Call{Host: "other", Path: "/q/j3", Key: "k1"}, ID: "j3"}}), NoQueue)
	is.Equal(apply(t, m, &Command{Submit: &Submit{Call: Call{Host: "h", Path: "/q/deep/j4"}, ID: "j4", Spec: Spec{Steps: []Step{step}}}}), OK)
	c := testConfig(2, "two")
	c.Customers[0].Keys = nil
	apply(t, m, &Command{Publish: c})
	is.Equal(apply(t, m, submit("j5", "k1", step)), UnknownKey)
	is.Equal(apply(t, m, submit("j1", "k2", step)), IDInUse) // the id belongs to another customer's job
}

// Guards against a retried submission that creates a second job, and against one that
// revives a cancelled job.
func TestSubmitAndCancelAreIdempotent(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	is.Equal(apply(t, m, submit("j1", "k1", Step{Count: 2})), OK)
	is.Equal(apply(t, m, submit("j1", "k1", Step{Count: 2})), OK)
	m.View(func(v *View) { is.Equal(len(v.LiveJobs()), 1) })
	cancel := &Command{Cancel: &Cancel{Call: Call{Host: "h", Path: "/q/j1", Key: "k1"}, ID: "j1", AtMS: 2}}
	is.Equal(apply(t, m, cancel), OK)
	is.Equal(apply(t, m, cancel), OK)
	is.Equal(apply(t, m, submit("j1", "k1", Step{Count: 2})), OK)
	m.View(func(v *View) { is.Equal(v.Job("j1", "c1").State, Cancelled) })
}

// Guards against commands of a replaced leader that take effect.
func TestStaleEpochHasNoEffect(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	apply(t, m, submit("j1", "k1", Step{Count: 1}))
	apply(t, m, &Command{Lead: &Lead{Instance: "b"}})
	got := apply(t, m, &Command{Epoch: 1, Starts: &Starts{Starts: []Start{{Unit: UnitRef{Job: "j1"}, Run: 1, Worker: "w1", Incarnation: 1}}}})
	_, stale := got.(*StaleEpochError)
	is.True(stale)
	m.View(func(v *View) { is.Equal(v.Job("j1", "c1").Active, 0) })
}

// Guards against a failed run of a gang that counts once per unit, and against a job
// that fails before its attempts are used up.
func TestGangFailsOnceForEachRun(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	apply(t, m, submit("j1", "k1", Step{Count: 2, Gang: true}))
	start := func(run int) {
		got := apply(t, m, &Command{Starts: &Starts{Starts: []Start{
			{Unit: UnitRef{Job: "j1", Index: 0}, Run: run, Worker: "w1", Incarnation: 1},
			{Unit: UnitRef{Job: "j1", Index: 1}, Run: run, Worker: "w2", Incarnation: 1},
		}}})
		is.Equal(got, []bool{true, true})
	}
	end := func(run int) {
		apply(t, m, &Command{Ends: &Ends{Ends: []End{
			{Unit: UnitRef{Job: "j1", Index: 0}, Run: run, How: EndFailed},
			{Unit: UnitRef{Job: "j1", Index: 1}, Run: run, How: EndFailed},
		}}})
	}
	start(1)
	end(1)
	m.View(func(v *View) { is.Equal(v.Job("j1", "c1").State, Running) })
	start(2)
	end(2)
	m.View(func(v *View) { is.Equal(v.Job("j1", "c1").State, Failed) })
}

// Applies random sequences of commands and snapshots. Guards against a snapshot that
// loses state, counters that do not match the units, and a job that becomes final
// too early.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTestMachine(t)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			id := rapid.SampledFrom([]string{"j1", "j2"}).Draw(t, "job")
			ref := UnitRef{Job: id, Step: rapid.IntRange(0, 1).Draw(t, "step"), Index: rapid.IntRange(0, 2).Draw(t, "index")}
			run := rapid.IntRange(1, 4).Draw(t, "run")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				apply(t, m, submit(id, "k1", Step{Count: 2, Gang: id == "j2"}, Step{Count: 3, DependsOn: []int{0}}))
			case 1:
				c := &Starts{Starts: []Start{{Unit: ref, Run: run, Worker: "w1", Incarnation: 1}}}
				if id == "j2" && ref.Step == 0 {
					ref.Index = 0
					c.Starts[0].Unit = ref
					ref.Index = 1
					c.Starts = append(c.Starts, Start{Unit: ref, Run: run, Worker: "w2", Incarnation: 1})
				}
				apply(t, m, &Command{Starts: c})
			case 2, 3:
				e := End{Unit: ref, Run: run, How: Ending(rapid.IntRange(0, 7).Draw(t, "how")), Checkpoint: "s"}
				e.Blame = Blame(rapid.IntRange(0, 2).Draw(t, "blame"))
				e.Silent = rapid.Bool().Draw(t, "silent")
				apply(t, m, &Command{Ends: &Ends{Ends: []End{e}}})
			case 4:
				apply(t, m, &Command{Cancel: &Cancel{Call: Call{Host: "h", Path: "/q/" + id, Key: "k1"}, ID: id}})
			case 5:
				data, err := m.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				other := New(nil)
				if err := other.Restore(data); err != nil {
					t.Fatal(err)
				}
				m = other
			}
			checkInvariants(t, m)
		}
	})
}

func checkInvariants(t *rapid.T, m *Machine) {
	for id, j := range m.state.Jobs {
		active, remaining := 0, 0
		for gi := range j.UnitGroups {
			g := &j.UnitGroups[gi]
			unfinished := 0
			for i := range g.Units {
				if g.Units[i].State == Active {
					active++
				}
				if g.Units[i].State != Done {
					unfinished++
				}
			}
			if unfinished != g.Left {
				t.Fatalf("job %s: step has %d unfinished units, but counts %d", id, unfinished, g.Left)
			}
			if g.Step == 1 && j.UnitGroups[0].Left > 0 && g.Left < len(g.Units) {
				t.Fatalf("job %s: a unit is done before the step it depends on", id)
			}
			remaining += g.Left
		}
		onWorkers := 0
		for _, refs := range m.activeByWorker {
			for ref := range refs {
				if ref.Job == id {
					onWorkers++
				}
			}
		}
		if active != j.Active || active != onWorkers {
			t.Fatalf("job %s: %d active units, but counts %d", id, active, j.Active)
		}
		if (j.State == Completed) != (remaining == 0) && j.State != Cancelled && j.State != Failed {
			t.Fatalf("job %s is %v with %d units left", id, j.State, remaining)
		}
		if _, live := m.liveJobs[id]; live != (!j.State.Final() || active > 0) {
			t.Fatalf("job %s: state %v, %d active, live %v", id, j.State, active, live)
		}
	}
}

// Guards against a long-running unit that counts as done when its run ends, and against
// a closed queue that accepts jobs.
func TestLongRunningUnitsAndClosedQueues(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	apply(t, m, submit("j1", "k1", Step{Count: 1, LongRunning: true}))
	for run := range 3 {
		got := apply(t, m, &Command{Starts: &Starts{Starts: []Start{{Unit: UnitRef{Job: "j1"}, Run: run + 1, Worker: "w1", Incarnation: 1}}}})
		is.Equal(got, []bool{true})
		apply(t, m, &Command{Ends: &Ends{Ends: []End{{Unit: UnitRef{Job: "j1"}, Run: run + 1, How: Ending(run % 2)}}}})
	}
	m.View(func(v *View) { is.Equal(v.Job("j1", "c1").State, Running) })
	c := testConfig(2, "two")
	c.Queues[0].Closed = true
	apply(t, m, &Command{Publish: c})
	is.Equal(apply(t, m, submit("j2", "k1", Step{Count: 1})), QueueClosed)
}

// Guards against a leave without an incarnation that has no effect, which would leave
// the worker's runs waiting for their lease to expire, and against a delayed leave that
// removes a later incarnation.
func TestLeaveWithoutIncarnation(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	leave := &Command{Worker: &WorkerChange{Worker: Worker{ID: "w1"}, Removed: true}}
	known := func() bool {
		found := false
		m.View(func(v *View) { found = v.Workers()["w1"] != nil })
		return found
	}
	apply(t, m, leave)
	is.True(known()) // not draining, so the leave is from an earlier incarnation
	apply(t, m, &Command{Worker: &WorkerChange{Worker: Worker{ID: "w1", Incarnation: 1, Service: "s", Draining: true}}})
	apply(t, m, leave)
	is.True(!known())
}

// Guards against a quick check that differs from the count that it replaces.
func TestFitsTimesAgreesWithCountFitting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Resources {
			return Resources{
				CPU: rapid.Int64Range(-3, 20).Draw(t, name), MemoryMB: rapid.Int64Range(-3, 20).Draw(t, name), Accelerators: rapid.Int64Range(-3, 20).Draw(t, name),
			}
		}
		free, need := draw("free"), draw("need")
		need = Resources{max(need.CPU, 0), max(need.MemoryMB, 0), max(need.Accelerators, 0)}
		n := rapid.IntRange(1, 8).Draw(t, "n")
		if got, count := free.FitsTimes(need, int64(n)), free.CountFitting(need, n); got != (count >= n) {
			t.Fatalf("%d times %+v into %+v: FitsTimes %v, CountFitting %d", n, need, free, got, count)
		}
	})
}

// Guards against a process that ends because it logs a value that an instance of a later
// version sent.
func TestValuesOfLaterVersionsHaveNames(t *testing.T) {
	is := is.New(t)
	is.Equal(Verdict(200).String(), "unknown")
	is.Equal(Ending(200).String(), "unknown")
	is.Equal(State(200).String(), "unknown")
	is.Equal(UnknownZone.String(), "unknown_zone")
}

// Guards against a restart from a snapshot that brings a removed worker or a revoked key
// back, and against a delayed configuration that does so after the restart.
func TestRestartBringsNothingBack(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	revoked := testConfig(2, "two")
	revoked.Customers[0].Keys = nil
	apply(t, m, &Command{Publish: revoked})
	apply(t, m, &Command{Worker: &WorkerChange{Worker: Worker{ID: "w1", Incarnation: 1}, Removed: true}})
	snapshot, err := m.Snapshot()
	is.NoErr(err)
	restored := New(nil)
	is.NoErr(restored.Restore(snapshot))
	apply(t, restored, &Command{Publish: testConfig(1, "one")})
	is.Equal(apply(t, restored, submit("j1", "k1", Step{Count: 1})), UnknownKey)
	restored.View(func(v *View) { is.True(v.Workers()["w1"] == nil) })
}
