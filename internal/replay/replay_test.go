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

// TestStatedOutcomes guards against rules that make the recorded traces worse
// than stated, or no better than the naive reference by the factor aimed at.
func TestStatedOutcomes(t *testing.T) {
	for _, name := range []string{"authority", "birlik"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			want, err := ReadOutcome("testdata/" + name + ".outcome.json")
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

// TestKeptStateInReplay guards against a kept state that drifts away from what
// a snapshot of the same jobs gives, over a whole trace.
func TestKeptStateInReplay(t *testing.T) {
	is := is.New(t)
	decisions := 0
	_, err := Run(Options{TracePath: "testdata/authority.jsonl", Check: func(s *sched.Snapshot, p sched.Plan) {
		decisions++
		if decisions%7 == 0 && !reflect.DeepEqual(policy.Decide(s), p) {
			t.Fatalf("decision %d at %v differs", decisions, s.Now)
		}
	}})
	is.NoErr(err)
	is.True(decisions > 1000)
}

// TestPolicyFile guards against a --policy file that is ignored.
func TestPolicyFile(t *testing.T) {
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

// TestGenerateIsDeterministic guards against traces that cannot be made again.
func TestGenerateIsDeterministic(t *testing.T) {
	is := is.New(t)
	d := Birlik()
	d.Hours = 1
	a, b := Generate(d, 9), Generate(d, 9)
	is.Equal(len(a), len(b))
	is.True(reflect.DeepEqual(a, b))
	var once, urgent int
	for i := range a {
		if s := a[i].Spec; s != nil {
			once += count(!s.Repeatable)
			urgent += count(s.Urgent)
		}
	}
	is.True(once > 0 && urgent > 0)
	is.Equal(a[0].Kind, KindConfig)
	is.Equal(a[0].Config.Services[0].Policy.FragmentationWeight, 0.8)
	_, svc := a[0].Config.Customer("large-a")
	is.Equal(svc.Racks[0], model.RackSpec{AvailabilityZone: "astana-1", Racks: 2, WorkersPerRack: 8, AcceleratorsPerWorker: 8})
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestRecordedDemo guards against a recorder whose traces the replay cannot use:
// the trace of a zone in a demo run keeps all of its jobs and their short waits.
func TestRecordedDemo(t *testing.T) {
	is := is.New(t)
	want, err := ReadOutcome("testdata/demo.outcome.json")
	is.NoErr(err)
	r, err := Run(Options{TracePath: "testdata/demo.jsonl"})
	is.NoErr(err)
	is.NoErr(want.Compare(r))
}
