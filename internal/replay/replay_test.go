package replay

import (
	"bytes"
	"os"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/policy"
)

// TestExpectedOutcomes guards against changes of the rules that move the results
// of a trace out of their expected bounds, or the mean completion time above 0.6
// times that of the naive reference.
func TestExpectedOutcomes(t *testing.T) {
	for _, name := range []string{"authority", "birlik"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			want, err := ReadExpectedOutcome("testdata/" + name + ".outcome.json")
			is.NoErr(err)
			r, err := Run(Options{TracePath: "testdata/" + name + ".jsonl"})
			is.NoErr(err)
			is.NoErr(want.Compare(r))
			n, err := Run(Options{TracePath: "testdata/" + name + ".jsonl", Naive: true})
			is.NoErr(err)
			is.True(r.Completion.Mean <= 0.6*n.Completion.Mean)
			worse := *want
			worse.MaxMeanSeconds = 1
			_, ok := worse.Compare(r).(*OutcomeError)
			is.True(ok)
		})
	}
}

// TestIncrementalStateMatchesSnapshots guards against an incrementally updated
// state that decides differently from a state built from a snapshot of the same
// jobs, over a whole trace.
func TestIncrementalStateMatchesSnapshots(t *testing.T) {
	is := is.New(t)
	decisions := 0
	_, err := Run(Options{TracePath: "testdata/authority.jsonl", OnDecision: func(s *sched.Snapshot, p sched.Plan) {
		decisions++
		if decisions%7 == 0 && !reflect.DeepEqual(policy.Decide(s), p) {
			t.Fatalf("decision %d at %v differs", decisions, s.Now)
		}
	}})
	is.NoErr(err)
	is.True(decisions > 1000)
}

// TestPolicyFileReplacesPolicies guards against a --policy file that is ignored.
func TestPolicyFileReplacesPolicies(t *testing.T) {
	is := is.New(t)
	path := t.TempDir() + "/policy.jsonc"
	is.NoErr(os.WriteFile(path, []byte(`{"checkpoint_bound_seconds": 60, /* longer */ "fragmentation_weight": 1}`), 0o600))
	r, err := Run(Options{TracePath: "testdata/authority.jsonl", PolicyPath: path})
	is.NoErr(err)
	is.True(r.Reclaim.Max > 10)
	var out bytes.Buffer
	is.NoErr(r.Print(&out))
	is.True(bytes.Contains(out.Bytes(), []byte("guarantee misses")))
	raw, err := r.JSON()
	is.NoErr(err)
	is.True(bytes.Contains(raw, []byte(`"guarantee_misses"`)))
}

// TestGenerateIsDeterministic guards against traces that cannot be reproduced
// from their seed.
func TestGenerateIsDeterministic(t *testing.T) {
	is := is.New(t)
	d := Birlik()
	d.Hours = 1
	a, b := Generate(d, 9), Generate(d, 9)
	is.Equal(len(a), len(b))
	is.True(reflect.DeepEqual(a, b))
	var notRepeatable, urgent int
	for i := range a {
		if s := a[i].Spec; s != nil {
			notRepeatable += countTrue(!s.Repeatable)
			urgent += countTrue(s.Urgent)
		}
	}
	is.True(notRepeatable > 0 && urgent > 0)
	is.Equal(a[0].Kind, KindConfig)
	is.Equal(a[0].Config.Services[0].Policy.FragmentationWeight, 0.8)
	_, svc := a[0].Config.Customer("large-a")
	is.Equal(svc.Racks[0], model.RackSpec{AvailabilityZone: "astana-1", Racks: 2, WorkersPerRack: 8, AcceleratorsPerWorker: 8})
}

func countTrue(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestReplayOfRecordedTrace guards against recorded traces that replay
// differently from the recorded run: the replayed trace of a zone in a demo run
// has all of the run's jobs and their short waits.
func TestReplayOfRecordedTrace(t *testing.T) {
	is := is.New(t)
	want, err := ReadExpectedOutcome("testdata/demo.outcome.json")
	is.NoErr(err)
	r, err := Run(Options{TracePath: "testdata/demo.jsonl"})
	is.NoErr(err)
	is.NoErr(want.Compare(r))
}
