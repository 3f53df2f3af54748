package batch

import (
	"bytes"
	"testing"

	"teaselpaddle.example/teaselpaddle/internal/codec"
)

// fuzzMachine returns a machine with a configuration, a worker and a job of which one unit runs.
func fuzzMachine(tb testing.TB) *Machine {
	m := New(nil)
	apply := func(c *Command) {
		m.Apply(0, mustMarshal(tb, c))
	}
	apply(&Command{Publish: &Config{
		Version: 1, Document: []byte("{}"), Services: []Service{{Name: "s"}},
		Queues: []Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Public: true, MaxAttempts: 2}}, Customers: []Customer{{Name: "c", Keys: []string{"k"}}},
	}})
	apply(&Command{Lead: &Lead{Instance: "i"}})
	apply(&Command{Worker: &WorkerChange{Worker: Worker{ID: "w", Incarnation: 1, Address: "a", Service: "s"}}})
	apply(&Command{Submit: &Submit{Call: Call{Host: "h", Path: "/q/j"}, ID: "j", Spec: Spec{Steps: []Step{{Count: 2}, {Count: 2, Gang: true, DependsOn: []int{0}}}}}})
	apply(&Command{Epoch: 1, Starts: &Starts{Starts: []Start{{Unit: UnitRef{Job: "j"}, Run: 1, Worker: "w", Incarnation: 1}}}})
	return m
}

func mustMarshal(tb testing.TB, v any) []byte {
	b, err := codec.Marshal(v)
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// Guards against an entry of the log at which the state machine fails, and against a state that is
// stored and cannot be read, or is another one then.
func FuzzApply(f *testing.F) {
	ref := UnitRef{Job: "j"}
	for _, c := range []*Command{
		{Epoch: 1, Ends: &Ends{Ends: []End{{Unit: ref, Run: 1, How: EndFailed, Checkpoint: "cp"}, {Unit: ref, Run: 1, How: EndCrashed, Blame: BlameSole}}, AtMS: 5}},
		{Epoch: 1, Ends: &Ends{Ends: []End{{Unit: ref, Run: 1, How: EndLeaseExpired, Silent: true}}, AtMS: 5}},
		{Epoch: 1, Starts: &Starts{Starts: []Start{{Unit: UnitRef{Job: "j", Step: 1}, Run: 1, Worker: "w", Incarnation: 1}}}},
		{Submit: &Submit{Call: Call{Host: "h", Path: "/q/x"}, ID: "x", Spec: Spec{Steps: []Step{{Count: 1}}, Occurrences: 3}}},
		{Cancel: &Cancel{Call: Call{Host: "h", Path: "/q/j"}, ID: "j", AtMS: 9}},
		{Publish: &Config{Version: 2, Services: []Service{{Name: "s"}}}},
		{Worker: &WorkerChange{Worker: Worker{ID: "w", Incarnation: 2, Address: "b", Service: "s"}}},
		{Worker: &WorkerChange{Worker: Worker{ID: "w", Incarnation: 1}, Removed: true}},
		{Zone: &ZoneChange{Zone: "z", Cordon: true, AtMS: 3}},
		{Epoch: 1, Speeds: &WorkerSpeeds{Speeds: []SpeedOfWorker{{Worker: "w", Incarnation: 1}}}},
	} {
		f.Add(mustMarshal(f, c))
	}
	f.Fuzz(func(t *testing.T, entry []byte) {
		m := fuzzMachine(t)
		m.Apply(9, entry)
		data, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		next := New(nil)
		if err := next.Restore(data); err != nil {
			t.Fatal(err)
		}
		if again, err := next.Snapshot(); err != nil || !bytes.Equal(again, data) {
			t.Fatal("the state differs after a restart", err)
		}
	})
}

// Guards against a snapshot at which an instance fails instead of rejecting it.
func FuzzRestore(f *testing.F) {
	data, err := fuzzMachine(f).Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(mustMarshal(f, &replicatedState{Jobs: map[string]*Job{"j": nil}}))
	f.Add(mustMarshal(f, &replicatedState{Workers: map[string]*Worker{"w": nil}}))
	f.Add(mustMarshal(f, &replicatedState{Jobs: map[string]*Job{"j": {ID: "j", UnitGroups: []UnitGroup{{Step: 7, Units: make([]Unit, 2), Left: 2}}}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New(nil)
		if m.Restore(data) != nil {
			return
		}
		m.Apply(1, mustMarshal(t, &Command{Cancel: &Cancel{Call: Call{Host: "h", Path: "/q/j"}, ID: "j", AtMS: 9}}))
		m.View(func(v *View) {
			for _, j := range v.LiveJobs() {
				for i := range j.UnitGroups {
					_ = j.DependenciesDone(&j.UnitGroups[i])
				}
			}
		})
		if _, err := m.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
