package report

import (
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

func testDemand(priority int, from, due, work, accelerators int64) Demand {
	return Demand{
		Job: time.UnixMilli(from).String(), Priority: priority, From: time.UnixMilli(from), Due: time.UnixMilli(due),
		Work: batch.Resources{Accelerators: work}, MaxParallel: batch.Resources{Accelerators: accelerators},
	}
}

// Guards against a bound that does not move work assigned earlier, exceeds the capacity
// or the most that a job can use at the same time, or serves a less urgent priority first.
func TestBoundsOfKnownDemands(t *testing.T) {
	for name, c := range map[string]struct {
		jobs []Demand
		want []float64
	}{
		"all fits":                   {[]Demand{testDemand(0, 0, 1000, 4000, 4), testDemand(1, 0, 2000, 4000, 4)}, []float64{1, 1}},
		"half fits":                  {[]Demand{testDemand(0, 0, 1000, 8000, 8)}, []float64{0.5}},
		"limited by its MaxParallel": {[]Demand{testDemand(0, 0, 1000, 4000, 1)}, []float64{0.25}},
		"urgent first":               {[]Demand{testDemand(0, 0, 1000, 4000, 4), testDemand(1, 0, 1000, 4000, 4)}, []float64{1, 0}},
		"earlier work is moved":      {[]Demand{testDemand(0, 0, 2000, 4000, 4), testDemand(1, 0, 1000, 4000, 4)}, []float64{1, 1}},
		"no accelerator":             {[]Demand{testDemand(0, 0, 1000, 0, 0)}, []float64{1}},
		"part of its slot":           {[]Demand{testDemand(0, 250, 500, 1000, 4)}, []float64{1}},
		"no time to run":             {[]Demand{testDemand(0, 250, 250, 1000, 4)}, []float64{0}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := Bounds(c.jobs, batch.Resources{Accelerators: 4})
			is.Equal(len(got), len(c.want))
			for i, w := range c.want {
				if math.Abs(got[i].Possible-w) > 1e-9 {
					t.Errorf("priority %d: %v of %v possible, want %v", got[i].Priority, got[i].Possible, got[i].Jobs, w)
				}
			}
		})
	}
}

// Guards against a bound below what a schedule achieves: jobs with random time windows
// run one after another on all accelerators, and those that end on time count.
func TestBoundIsAboveASchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const accelerators = 4
		var jobs []Demand
		var clock, served int64
		for i := range rapid.IntRange(1, 25).Draw(t, "jobs") {
			from := rapid.Int64Range(0, 20_000).Draw(t, "from")
			work := rapid.Int64Range(1, 8000).Draw(t, "work")
			d := testDemand(0, from, from+rapid.Int64Range(1, 6000).Draw(t, "time"), work, accelerators)
			d.Job = string(rune('a' + i))
			jobs = append(jobs, d)
			end := max(clock, from) + (work+accelerators-1)/accelerators
			if end <= d.Due.UnixMilli() {
				clock = end
				served++
			}
		}
		b := Bounds(jobs, batch.Resources{Accelerators: accelerators})
		if b[0].Possible < float64(served)-1e-9 || b[0].Possible > float64(len(jobs))+1e-9 {
			t.Fatalf("bound %v, served %d of %d", b[0].Possible, served, len(jobs))
		}
	})
}

// Guards against a bound that counts a job from two leaders' logs twice, counts a job
// that was completed late as on time, or adds the accelerators of a worker once for each
// of its incarnations.
func TestBoundsOfLogs(t *testing.T) {
	is := is.New(t)
	const log = `{"ts":"2026-07-16T02:00:00Z","msg":"worker recorded","worker":"w1","capacity":{"accelerators":8}}
{"ts":"2026-07-16T02:00:01Z","msg":"worker recorded","worker":"w1","capacity":{"accelerators":8}}
{"ts":"2026-07-16T02:00:01Z","msg":"job recorded","job":"j1","priority":2,"workMS":{"accelerators":8000},"atOnce":{"accelerators":8},"fromMS":1784167201000,"dueMS":1784167203000}
{"ts":"2026-07-16T02:00:01Z","msg":"job recorded","job":"j1","priority":2,"workMS":{"accelerators":8000},"atOnce":{"accelerators":8},"fromMS":1784167201000,"dueMS":1784167203000}
{"ts":"2026-07-16T02:00:01Z","msg":"job recorded","job":"j2","priority":2,"workMS":{"accelerators":8000},"atOnce":{"accelerators":8},"fromMS":1784167201000,"dueMS":1784167203000}
{"ts":"2026-07-16T02:00:02Z","msg":"job concluded","job":"j1","state":"completed"}
{"ts":"2026-07-16T02:00:04Z","msg":"job concluded","job":"j2","state":"completed"}
`
	got, capacity, err := ReadBounds(strings.NewReader(log))
	is.NoErr(err)
	is.Equal(capacity, batch.Resources{Accelerators: 8})
	is.Equal(got, []Bound{{Priority: 2, Jobs: 2, OnTime: 1, Possible: 2}})
}

// Guards against a bound from accelerators alone: the units of some jobs use up the
// memory of a worker long before its accelerators.
func TestScarcestResourceBounds(t *testing.T) {
	is := is.New(t)
	j := testDemand(0, 0, 1000, 1000, 1)
	j.Work.MemoryMB, j.MaxParallel.MemoryMB = 64_000_000, 64_000
	got := Bounds([]Demand{j}, batch.Resources{Accelerators: 8, MemoryMB: 16_000})
	is.Equal(got, []Bound{{Jobs: 1, Possible: 0.25, Limit: "memory"}})
}

// Guards against a bound that depends on the order of the logs: two leaders recorded the
// same worker and the same job with different values.
func TestBoundsDoNotDependOnTheOrderOfLogs(t *testing.T) {
	is := is.New(t)
	const first = `{"ts":"2026-07-16T02:00:00Z","msg":"worker recorded","worker":"w1","capacity":{"accelerators":8}}
{"ts":"2026-07-16T02:00:01Z","msg":"job recorded","job":"j1","priority":2,"workMS":{"accelerators":8000},"atOnce":{"accelerators":8},"fromMS":1784167201000,"dueMS":1784167203000}
{"ts":"2026-07-16T02:00:02Z","msg":"job concluded","job":"j1","state":"completed"}
`
	const second = `Jul 16 host kernel: link is up
{"ts":"2026-07-16T02:00:02Z","msg":"worker recorded","worker":"w1","capacity":{"accelerators":4}}
{"ts":"2026-07-16T02:00:05Z","msg":"job recorded","job":"j1","priority":2,"workMS":{"accelerators":8000},"atOnce":{"accelerators":8},"fromMS":1784167205000,"dueMS":1784167207000}
{"ts":"2026-07-16T02:00:09Z","msg":"job concluded","job":"j1","state":"completed"}
`
	for _, logs := range [][]string{{first, second}, {second, first}, {"Jul 16 host kernel: link is up\n", second, first}} {
		var readers []io.Reader
		for _, l := range logs {
			readers = append(readers, strings.NewReader(l))
		}
		got, capacity, err := ReadBounds(readers...)
		is.NoErr(err)
		is.Equal(capacity, batch.Resources{Accelerators: 4})
		is.Equal(got, []Bound{{Priority: 2, Jobs: 1, OnTime: 1, Possible: 1}})
	}
}
