package share

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

var capacity = batch.Resources{CPU: 1000, MemoryMB: 1000, Accelerators: 100}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Guards against a customer that counts as small although it holds nearly all of one
// resource, and against a division by a resource that there is none of.
func TestDominant(t *testing.T) {
	is := is.New(t)
	is.Equal(Dominant(batch.Resources{CPU: 900, MemoryMB: 100, Accelerators: 1}, capacity), 0.9)
	is.Equal(Dominant(batch.Resources{CPU: 1, Accelerators: 5}, batch.Resources{CPU: 2}), 0.5)
}

// Guards against use that is forgotten at once, so that short runs are free, against use
// that is never forgotten, and against a leader that does not know who holds what when it
// begins.
func TestUseDecays(t *testing.T) {
	is := is.New(t)
	holds := func(n int64) map[string]batch.Resources { return map[string]batch.Resources{"a": {Accelerators: n}} }
	tr := NewTracker(10_000)
	tr.Update(1_000_000, holds(40), capacity)
	is.True(near(tr.Use()["a"], 0.4))
	tr.Update(1_010_000, holds(10), capacity)
	is.True(near(tr.Use()["a"], 0.2))
	tr.Update(1_020_000, holds(30), capacity)
	is.True(near(tr.Use()["a"], 0.3))
	tr.Update(1_015_000, nil, capacity) // the time of day was set back
	is.True(near(tr.Use()["a"], 0.3))
	tr.Update(1_300_000, nil, capacity)
	is.Equal(len(tr.Use()), 0)
	now := NewTracker(0)
	now.Update(1, holds(40), capacity)
	now.Update(2, holds(10), capacity)
	is.True(near(now.Use()["a"], 0.1))
}
