package place

// The time of a decision must not grow with the product of workers and waiting gangs: on 3,000
// workers with a burst of urgent gangs it took up to 1.6 s on the leader's share of a core, and gangs
// waited for the next decision rather than for room.

// maxSearchedSets bounds the sets of workers that are searched for a gang that does not fit now. It
// is the number of racks of 512 workers in racks of eight.
const maxSearchedSets = 64

// mayFitNow reports whether a gang may fit on what is free in a set, by the free accelerators of
// its rack. Most racks of a busy deployment are ruled out that way without a look at their workers.
func mayFitNow(g *Group, set []*Worker) bool {
	if len(set) == 0 {
		return false
	}
	r := set[0].rack
	if len(set) > len(r.workers) || set[len(set)-1].rack != r {
		return true // the set may span racks
	}
	return r.free >= int64(g.Total)*g.Step.Need.Accelerators
}

// setsToSearch returns the sets to search for runs to stop or to wait for: all of them, or an even
// sample that differs from second to second. A guarantee is searched for everywhere, because it
// must begin within its bound.
func (d *decision) setsToSearch(g *Group, sets [][]*Worker) [][]*Worker {
	if len(sets) <= maxSearchedSets || g.Guaranteed && d.snapshot.NowMS-g.SinceMS >= guaranteedWaitMS {
		return sets
	}
	out := make([][]*Worker, 0, maxSearchedSets)
	if g.Step.DataRack != "" {
		out = append(out, sets[0]) // of the rack with the data, if there is one
	}
	offset := (g.Seq + uint64(d.snapshot.NowMS/1000)) % uint64(len(sets))
	for i := range maxSearchedSets - len(out) {
		out = append(out, sets[(int(offset)+i*len(sets)/maxSearchedSets)%len(sets)])
	}
	return out
}
