package place

import (
	"math"
	"slices"
)

// Placement by the speed of workers. It applies if the workers of a deployment are known
// to differ in speed (Snapshot.SpeedSpread). The load that it addresses is urgent gangs on
// workers that look identical: a gang ends with its slowest member, so that one slow
// worker of five makes it late, while work without hurry uses up the fast workers.

const (
	// neededMargin is kept between the needed and the estimated speed for the start of
	// the run and for differences between units.
	neededMargin = 1.15
	// minSpread is the spread between workers below which they count as alike. Two standard
	// deviations are within neededMargin then.
	minSpread = 0.07
	// estimateError is the factor by which callers' estimates of a duration are wrong at
	// most, e^0.9.
	estimateError = 2.46
	// speedStep is the width of a class of speeds in logarithm. It is about the deviation
	// between units of a step (15 to 30 %). An order by finer differences would follow
	// noise and override the order that keeps racks whole.
	speedStep = 0.25
	// maxClass bounds the classes; it is a factor of 50 in speed.
	maxClass = 16
	// unknownShare is the share of the spread between workers that a worker's standard
	// deviation must reach for its speed to count as unknown. One observation takes it
	// below this where workers differ more than units do.
	unknownShare = 0.75
	// learningUnits is the number of runs on a worker of unknown speed that are placed
	// there before others, so that its speed is learned.
	learningUnits = 2
)

// pace is what a group asks of the speed of its workers.
type pace struct {
	needed   float64 // logarithm of the needed speed; -Inf if it needs none
	decisive bool    // some worker that may run the group is slower than needed
	// like is set while a gang is placed on workers of class top and below: those nearest
	// to top come first, so that the members have similar speed.
	like bool
	top  int
}

func classOf(log float64) int {
	return int(math.Round(min(max(log/speedStep, -maxClass), maxClass)))
}

// prepareSpeeds sets what decisions need about the speed of the workers. Without a spread
// all workers are in one class and meet every need.
func (d *decision) prepareSpeeds() {
	s := d.snapshot
	d.speeds = s.SpeedSpread >= minSpread
	for _, w := range s.Workers {
		w.fast, w.class, w.cautious, w.speedRank, w.unknown, w.started = true, 0, 0, 0, false, 0
		if d.speeds {
			sd := s.deviation(w)
			w.cautious = w.Speed - sd
			w.class = classOf(w.cautious)
			w.unknown = sd >= unknownShare*s.SpeedSpread
		}
	}
	for _, r := range d.racks {
		if d.speeds && s.UrgentSpeed > 0 {
			r.chooseFast(math.Log(neededMargin * s.UrgentSpeed))
		}
		for _, w := range r.workers {
			if w.fast {
				r.fastFree += max(w.Free.Accelerators, 0)
				r.fastTotal += w.Capacity.Accelerators
			}
		}
	}
	if d.speeds {
		d.projectEnds()
	}
}

// chooseFast chooses the workers of a rack on which headroom is kept: those that are known
// to meet the need of urgent work, and if they are too few, those of unknown speed as well.
func (r *rack) chooseFast(urgent float64) {
	var known int64
	for _, w := range r.workers {
		if w.fast = !w.unknown && w.cautious >= urgent; w.fast {
			known += w.Capacity.Accelerators
		}
	}
	if float64(known) >= headroomShare*float64(r.total) {
		return
	}
	for _, w := range r.workers {
		w.fast = w.fast || w.unknown
	}
}

// deviation returns the standard deviation of a worker's log speed. That of a worker
// without observations is the spread between workers.
func (s *Snapshot) deviation(w *Worker) float64 {
	if w.SpeedSD <= 0 {
		return s.SpeedSpread
	}
	return min(w.SpeedSD, s.SpeedSpread)
}

// minLeftMS is the lower limit for the estimate of a run's remaining time.
const minLeftMS = 300

// projectEnds corrects the remaining time of runs without progress by the speed of their
// workers, that of a gang by the speed of its slowest member.
func (d *decision) projectEnds() {
	for _, workers := range [][]*Worker{d.snapshot.Workers, d.snapshot.Leaving, d.snapshot.Cordoned} {
		for _, w := range workers {
			for _, r := range w.Running {
				if r.EstimateMS > 0 {
					r.LeftMS = max(scaledMS(r.EstimateMS, d.speedOfRun(r))-r.ElapsedMS, minLeftMS)
				}
			}
		}
	}
}

// speedOfRun returns the logarithm of the speed of a run.
func (d *decision) speedOfRun(r *Running) float64 {
	log := r.onWorker.Speed
	if r.Gang != "" {
		for _, m := range d.gangs[r.Gang] {
			log = min(log, m.onWorker.Speed)
		}
	}
	return log
}

// scaledMS returns the duration at a speed of what takes ms at the typical speed.
func scaledMS(ms int64, logSpeed float64) int64 {
	return int64(float64(ms) * math.Exp(-logSpeed))
}

// paceOf returns the speed that a group needs to complete in time. It follows from the
// share of its time that its length takes up. That share depends on the queue's target
// and hardly on the caller's estimate, but the time that the group has waited counts for
// more if the estimate is too short. If no worker is fast enough by the estimate, the
// longest length that the estimate may stand for applies; if that is too long as well,
// the group's time is over, and it needs no speed.
func (d *decision) paceOf(g *Group, c *candidateSet) pace {
	none := pace{needed: math.Inf(-1)}
	length, allowed := float64(g.LengthMS), float64(g.CompleteByMS-g.SinceMS)
	if !d.speeds || length <= 0 || allowed <= 0 || len(c.workers) == 0 {
		return none
	}
	waited := float64(max(d.snapshot.NowMS-g.SinceMS, 0))
	for _, factor := range [...]float64{1, estimateError} {
		left := allowed - waited/factor
		if left <= 0 {
			continue
		}
		if needed := math.Log(neededMargin * length / left); needed <= c.fastest {
			return pace{needed: needed, decisive: needed > c.slowest}
		}
	}
	return none
}

// limitToClaims lowers the speed that a group needs to that of the space it waits for.
// Its need grows while it waits, and the space would not do any more when it is free.
func (d *decision) limitToClaims(g *Group) {
	for _, c := range g.Claims {
		g.pace.needed = min(g.pace.needed, d.byID[c.Worker].cautious)
	}
}

// rankBySpeed sets the rank of workers for a group: those that meet its need come first,
// the slowest of them first, so that the fast ones stay free for groups that need them.
// The others follow, the fastest first. The cautious speed counts, because a worker of
// unknown speed is of no use to a group that needs a fast one.
func rankBySpeed(g *Group, workers []*Worker) {
	for _, w := range workers {
		switch {
		case g.pace.like:
			w.speedRank = g.pace.top - w.class
		case w.cautious >= g.pace.needed:
			w.speedRank = w.class
		default:
			w.speedRank = 3*maxClass - w.class
		}
	}
}

// startOnUnknown starts units of a group without hurry on workers whose speed is not
// known, a few on each, and returns the rest.
func (d *decision) startOnUnknown(g *Group, workers []*Worker, left []int) []int {
	if !d.speeds || g.Step.Gang || g.Priority == 0 || g.pace.needed > -d.snapshot.SpeedSpread {
		return left
	}
	var unknown []*Worker
	for _, w := range workers {
		if w.unknown && !w.Suspect && len(w.Running)+w.started < learningUnits && w.Free.Fits(g.Step.Need) {
			unknown = append(unknown, w)
		}
	}
	sortByFit(g, unknown)
	for _, w := range unknown {
		left = d.startOn(g, w, left, learningUnits-len(w.Running)-w.started)
	}
	return left
}

// fastWorkers returns the workers of a set that meet a group's need.
func fastWorkers(g *Group, set []*Worker) []*Worker {
	out := make([]*Worker, 0, len(set))
	for _, w := range set {
		if w.cautious >= g.pace.needed {
			out = append(out, w)
		}
	}
	return out
}

// fastSets returns the workers that meet a gang's need of the sets that have enough of
// them.
func (d *decision) fastSets(g *Group, sets [][]*Worker) [][]*Worker {
	var out [][]*Worker
	for _, set := range sets {
		if fast := fastWorkers(g, set); d.fits(g, fast, wholeCapacity) {
			out = append(out, fast)
		}
	}
	return out
}

// classCounts holds the number of units that fit on the workers of each class.
type classCounts [2*maxClass + 1]int

// lowestTop returns the lowest class such that a gang fits on the free workers of a set
// that meet its need and are in this class or below. Suspect workers count only if
// withSuspect is set.
func lowestTop(g *Group, set []*Worker, withSuspect bool) (top int, ok bool) {
	var counts classCounts
	total := 0
	for _, w := range set {
		if w.cautious >= g.pace.needed && (withSuspect || !w.Suspect) {
			n := unitsThatFit(g, w, w.Free)
			counts[w.class+maxClass] += n
			total += n
		}
	}
	if total < g.Total {
		return 0, false
	}
	n := 0
	for i, c := range counts {
		if n += c; n >= g.Total {
			return i - maxClass, true
		}
	}
	return 0, false
}

// highestBottom returns the class of the slowest member if a gang takes the fastest free
// workers of a set, by cautious speed.
func highestBottom(g *Group, set []*Worker) (bottom int, ok bool) {
	var counts classCounts
	for _, w := range set {
		if !w.Suspect {
			counts[w.class+maxClass] += unitsThatFit(g, w, w.Free)
		}
	}
	n := 0
	for i, c := range slices.Backward(counts[:]) {
		if n += c; n >= g.Total {
			return i - maxClass, true
		}
	}
	return 0, false
}

// startAtNeed starts a gang on the set that leaves the fastest workers free among those
// where it fits on workers that meet its need. It takes suspect workers only if it fits on
// no set without them. It reports whether there is one.
func (d *decision) startAtNeed(g *Group, sets [][]*Worker) bool {
	return d.startOnLowest(g, sets, false) || d.startOnLowest(g, sets, true)
}

// startOnLowest does this with or without suspect workers.
func (d *decision) startOnLowest(g *Group, sets [][]*Worker, withSuspect bool) bool {
	var best []*Worker
	bestTop := maxClass + 1
	for _, set := range sets {
		if !mayFitNow(g, set) {
			continue
		}
		if top, ok := lowestTop(g, set, withSuspect); ok && top < bestTop {
			best, bestTop = set, top
		}
	}
	if best == nil {
		return false
	}
	members := slices.DeleteFunc(fastWorkers(g, best), func(w *Worker) bool { return w.class > bestTop || w.Suspect && !withSuspect })
	g.pace.like, g.pace.top = true, bestTop
	d.startGang(g, members)
	g.pace.like = false
	return true
}

// fastestSet returns the set whose slowest member is the fastest among those where a gang
// fits now, and the class of that member.
func fastestSet(g *Group, sets [][]*Worker) (best []*Worker, bottom int) {
	bottom = -maxClass - 1
	for _, set := range sets {
		if !mayFitNow(g, set) {
			continue
		}
		if b, ok := highestBottom(g, set); ok && b > bottom {
			best, bottom = set, b
		}
	}
	return best, bottom
}

// nearestSets returns the sets of the best locality. A gang across racks or away from its
// data takes several times as long, which is more than workers differ in speed.
func nearestSets(g *Group, sets [][]*Worker, c *candidateSet) [][]*Worker {
	if len(sets) < 2 {
		return sets
	}
	if g.Step.DataRack != "" && sets[0][0].rack.name == g.Step.DataRack {
		return sets[:1]
	}
	if last := len(sets) - 1; len(sets[last]) == len(c.workers) {
		return sets[:last]
	}
	return sets
}
