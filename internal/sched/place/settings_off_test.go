package place

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// mixedSnapshot returns a full deployment with runs of each priority, stops in progress and
// groups of each kind, some of them with claims.
func mixedSnapshot(seed uint64) *Snapshot {
	rnd := rand.New(rand.NewPCG(seed, 7))
	s := fullSnapshot(60, 0)
	s.NowMS = 100_000
	for i, w := range s.Workers {
		for _, r := range w.Running {
			r.LostMS, r.Priority = rnd.Int64N(6000), 1+rnd.IntN(2)
			r.Stopping = r.Gang == "" && rnd.IntN(6) == 0
			if r.Stopping {
				w.Releasing = w.Releasing.Add(r.Need)
			}
		}
		if i%3 == 1 && rnd.IntN(2) == 0 {
			w.Free, w.Running = w.Free.Add(w.Running[0].Need), w.Running[1:]
		}
	}
	for i := range 40 {
		need := []batch.Resources{large, small, {CPU: 7500, MemoryMB: 22000, Accelerators: 2}}[rnd.IntN(3)]
		g := group(fmt.Sprint("j", i), rnd.IntN(3), 1+rnd.IntN(8), need, uint64(i))
		g.Step.Gang, g.Step.SameRack = rnd.IntN(2) == 0, rnd.IntN(2) == 0
		g.Guaranteed = g.Priority == 0 && rnd.IntN(4) == 0
		g.Step.EstimateMS = 1000 + rnd.Int64N(9000)
		g.SinceMS = s.NowMS - rnd.Int64N(4000)
		g.CompleteByMS = g.SinceMS + 250 + g.Step.EstimateMS*3/2
		if g.Priority == 0 && rnd.IntN(3) == 0 {
			g.Claims = []Claim{{Worker: s.Workers[rnd.IntN(60)].ID, Units: 1}}
		}
		s.Groups = append(s.Groups, g)
	}
	return s
}

// Guards against a change of the plans of deployments that do not set preemption or
// fair_share_half_life_ms. The expected hash is that of the plans before these settings
// existed.
func TestPlansWithSettingsOffAreUnchanged(t *testing.T) {
	h := fnv.New64a()
	for seed := range uint64(200) {
		s := mixedSnapshot(seed)
		p := Decide(s)
		for _, x := range p.Starts {
			_, _ = fmt.Fprintln(h, "start", x.Group.Job, x.Unit, x.Worker)
		}
		for _, r := range p.Stops {
			_, _ = fmt.Fprintln(h, "stop", r.onWorker.ID, r.Ref, r.For)
		}
		for _, g := range p.Unplaced {
			_, _ = fmt.Fprintln(h, "waits", g.Job, g.Claims)
		}
	}
	is.New(t).Equal(h.Sum64(), uint64(11392629670784712004))
}
