package place

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// Guards against a rack that is skipped although a gang fits there.
func TestRackThatFitsIsNotSkipped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Snapshot{NowMS: 1000}
		for i := range rapid.IntRange(1, 12).Draw(t, "workers") {
			w := worker(fmt.Sprint("w", i), fmt.Sprint("r", i/4))
			w.Free.Accelerators = rapid.Int64Range(-2, 8).Draw(t, "free")
			s.Workers = append(s.Workers, w)
		}
		d := &decision{snapshot: s, racks: map[string]*rack{}, gangs: map[string][]*Running{}}
		d.prepare()
		g := gang(group("g", 0, rapid.IntRange(1, 8).Draw(t, "units"), batch.Resources{Accelerators: rapid.Int64Range(0, 8).Draw(t, "need")}, 1))
		sets := [][]*Worker{s.Workers}
		for _, r := range d.racks {
			sets = append(sets, r.workers)
		}
		for _, set := range sets {
			if d.fits(g, set, func(w *Worker) batch.Resources { return w.Free }) && !mayFitNow(g, set) {
				t.Fatalf("skipped a set with room for %d units of %d accelerators", g.Total, g.Step.Need.Accelerators)
			}
		}
	})
}

// A burst of urgent gangs on thousands of workers. Guards against decisions whose time is the
// product of both, against a sample that leaves out the data's rack or never changes, and against a
// guarantee that is missed because its room was not looked at.
func TestSearchIsBounded(t *testing.T) {
	is := is.New(t)
	var sets [][]*Worker
	for i := range 400 {
		sets = append(sets, []*Worker{worker(fmt.Sprint("w", i), fmt.Sprint("r", i))})
	}
	d := &decision{snapshot: &Snapshot{NowMS: 100000}}
	g := gang(group("g", 0, 2, large, 7))
	g.SinceMS = d.snapshot.NowMS
	first := d.setsToSearch(g, sets)
	is.Equal(len(first), maxSearchedSets)
	seen := map[string]bool{}
	for _, set := range first {
		seen[set[0].ID] = true
	}
	is.Equal(len(seen), maxSearchedSets) // each set once
	d.snapshot.NowMS += 1000
	is.True(!slices.EqualFunc(first, d.setsToSearch(g, sets), func(a, b []*Worker) bool { return a[0] == b[0] }))
	g.Step.DataRack = "r0"
	is.Equal(d.setsToSearch(g, sets)[0][0].ID, "w0")
	g.Guaranteed, g.SinceMS = true, d.snapshot.NowMS-guaranteedWaitMS
	is.Equal(len(d.setsToSearch(g, sets)), 400)
	is.Equal(len(d.setsToSearch(g, sets[:maxSearchedSets])), maxSearchedSets)
}
