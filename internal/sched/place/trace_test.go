package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// traceJob is a job of a generated trace. Callers estimate its length with an error of up
// to a factor of e^0.9.
type traceJob struct {
	group    *Group
	atMS     int64
	lengthMS int64 // of a unit on a worker of speed 1
	targetMS int64 // time by which it should be completed
	endsMS   int64 // when its last unit ends; 0 until all have started
	left     int   // units that have not started
}

// trace is 34 s of load on workers that look identical and run at 0.6, 1.0 or 1.6 times
// the common speed: gangs of 5 with a tight target, gangs of 13, and steps of 39 units.
type trace struct {
	rnd     *rand.Rand
	workers []*Worker
	speeds  map[*Worker]float64 // logarithm
	jobs    []*traceJob
	byID    map[string]*Worker
	endsMS  map[*Running]int64
	beganMS map[*Running]int64
	jobOf   map[string]*traceJob
	// learns is set if units outside gangs tell the speed of their worker when they end.
	learns   bool
	observed map[*Worker][]float64
}

func newTrace(seed uint64) *trace {
	tr := &trace{
		rnd: rand.New(rand.NewPCG(seed, 1)), speeds: map[*Worker]float64{}, byID: map[string]*Worker{},
		endsMS: map[*Running]int64{}, beganMS: map[*Running]int64{}, jobOf: map[string]*traceJob{}, observed: map[*Worker][]float64{},
	}
	for i := range 120 {
		w := worker(fmt.Sprintf("w%03d", i), fmt.Sprint("r", i/12))
		tr.speeds[w] = math.Log([]float64{0.6, 1, 1.6}[tr.rnd.IntN(3)])
		tr.workers = append(tr.workers, w)
		tr.byID[w.ID] = w
	}
	half := batch.Resources{CPU: 13000, MemoryMB: 60000, Accelerators: 4}
	tr.add(0, 5, half, 2100, 2.0, 1.5, 250)
	tr.add(1, 13, large, 5800, 0.5, 3, 1000)
	tr.add(2, 39, small, 5200, 1.2, 6, 2000)
	return tr
}

// add adds jobs of one queue at a rate per second, twice as many in seconds 10 to 14.
func (tr *trace) add(prio, units int, need batch.Resources, lengthMS, rate, stretch float64, targetMS int64) {
	for at := 0.0; at < 30_000; {
		step := tr.rnd.ExpFloat64() * 1000 / rate
		if at > 10_000 && at < 14_000 {
			step /= 2
		}
		at += step
		length := lengthMS * math.Exp(tr.rnd.NormFloat64()*0.4)
		estimate := length * math.Exp(tr.rnd.Float64()*1.8-0.9)
		g := group(fmt.Sprintf("p%d-%06d", prio, int64(at)), prio, units, need, uint64(at))
		g.Step.Gang = prio < 2
		g.Step.SameRack = prio == 0
		g.Step.EstimateMS, g.LengthMS = int64(estimate), int64(estimate)
		g.SinceMS, g.CompleteByMS = int64(at), int64(at)+targetMS+int64(stretch*estimate)
		j := &traceJob{group: g, atMS: int64(at), lengthMS: int64(length), targetMS: int64(at) + targetMS + int64(stretch*length), left: units}
		tr.jobs = append(tr.jobs, j)
		tr.jobOf[g.Job] = j
	}
}

// begin starts the units of a plan. A gang ends with its slowest member.
func (tr *trace) begin(starts []Placement, nowMS int64) {
	ends := map[*Group]int64{}
	runs := map[*Group][]*Running{}
	for _, p := range starts {
		w, j := tr.byID[p.Worker], tr.jobOf[p.Group.Job]
		end := nowMS + scaledMS(j.lengthMS, tr.speeds[w]+0.2*tr.rnd.NormFloat64())
		r := &Running{Ref: batch.UnitRef{Job: p.Group.Job, Index: p.Unit}, Worker: w.ID, Need: p.Group.Step.Need, Priority: p.Group.Priority}
		if p.Group.Step.Gang {
			r.Gang = p.Group.Job
		}
		w.Running = append(w.Running, r)
		tr.endsMS[r], tr.beganMS[r] = end, nowMS
		ends[p.Group] = max(ends[p.Group], end)
		runs[p.Group] = append(runs[p.Group], r)
		j.left--
		j.endsMS = max(j.endsMS, end)
	}
	for g, members := range runs {
		for _, r := range members {
			if g.Step.Gang {
				tr.endsMS[r] = ends[g]
			}
		}
	}
}

// refresh removes the runs that have ended and sets what a snapshot tells about the others.
func (tr *trace) refresh(nowMS int64) {
	for _, w := range tr.workers {
		w.Free, w.Releasing, w.cachedByCost, w.cachedByEnd = w.Capacity, batch.Resources{}, nil, nil
		kept := w.Running[:0]
		for _, r := range w.Running {
			j := tr.jobOf[r.Ref.Job]
			elapsed := nowMS - tr.beganMS[r]
			switch {
			case nowMS < tr.endsMS[r]:
				w.Free = w.Free.Sub(r.Need)
				r.LostMS, r.ElapsedMS, r.EstimateMS = elapsed, elapsed, j.group.Step.EstimateMS
				r.LeftMS = max(r.EstimateMS-elapsed, minLeftMS)
				if total := tr.endsMS[r] - tr.beganMS[r]; elapsed > total/4 {
					r.EstimateMS, r.LeftMS = 0, max(total-elapsed, minLeftMS) // it reports progress
				}
				if r.Stopping {
					w.Releasing = w.Releasing.Add(r.Need)
				}
				kept = append(kept, r)
			case !r.Stopping && r.Gang == "" && tr.learns:
				tr.observe(w)
			case r.Stopping:
				j.group.Waiting = append(j.group.Waiting, r.Ref.Index)
				j.left++
				j.endsMS = 0
			}
		}
		w.Running = kept
	}
}

// observe adds an observation with the deviation of units and estimates the worker's speed,
// shrunk towards the typical one.
func (tr *trace) observe(w *Worker) {
	const deviation, spread = 0.25, 0.4
	tr.observed[w] = append(tr.observed[w], tr.speeds[w]+deviation*tr.rnd.NormFloat64())
	sum := 0.0
	for _, v := range tr.observed[w] {
		sum += v
	}
	precision := float64(len(tr.observed[w]))/(deviation*deviation) + 1/(spread*spread)
	w.Speed, w.SpeedSD = sum/(deviation*deviation)/precision, math.Sqrt(1/precision)
}

// run plays the trace and returns the shares of urgent gangs and of other jobs that
// complete within their target, and the work lost by stops per accelerator, seconds.
func (tr *trace) run(spread float64) (urgent, others, lost float64) {
	for now := int64(0); now < 34_000; now += 100 {
		tr.refresh(now)
		s := &Snapshot{NowMS: now, Workers: tr.workers, SpeedSpread: spread, UrgentSpeed: 1 / 1.5}
		for _, j := range tr.jobs {
			if j.left > 0 && j.atMS <= now {
				j.group.UnitsOn = nil
				s.Groups = append(s.Groups, j.group)
			}
		}
		p := Decide(s)
		for _, r := range p.Stops {
			lost += float64(r.LostMS*r.Need.Accelerators) / 1000 / 960
			tr.endsMS[r] = min(tr.endsMS[r], now+500)
		}
		tr.begin(p.Starts, now)
		for _, x := range p.Starts {
			x.Group.Waiting = x.Group.Waiting[1:]
		}
	}
	var n, met [2]float64
	for _, j := range tr.jobs {
		if j.targetMS <= 34_000 {
			i := min(j.group.Priority, 1)
			n[i]++
			if j.left == 0 && j.endsMS <= j.targetMS {
				met[i]++
			}
		}
	}
	return met[0] / n[0], met[1] / n[1], lost
}

// BenchmarkTrace measures the share of urgent gangs in time on generated traces, against
// the order without speeds.
func BenchmarkTrace(b *testing.B) {
	for _, tc := range []struct {
		name   string
		spread float64
		known  func(i int) bool
		learns bool
	}{
		{"without", 0, func(int) bool { return false }, false},
		{"unknown", 0.4, func(int) bool { return false }, false},
		{"learned", 0.4, func(int) bool { return false }, true},
		{"half", 0.4, func(i int) bool { return i%2 == 0 }, false},
		{"known", 0.4, func(int) bool { return true }, false},
	} {
		b.Run(tc.name, func(b *testing.B) {
			var urgent, others, lost, n float64
			for b.Loop() {
				for seed := range uint64(20) {
					tr := newTrace(seed)
					tr.learns = tc.learns
					for i, w := range tr.workers {
						if tc.known(i) {
							w.Speed, w.SpeedSD = tr.speeds[w]+0.07*tr.rnd.NormFloat64(), 0.07
						}
					}
					u, o, l := tr.run(tc.spread)
					urgent, others, lost, n = urgent+u, others+o, lost+l, n+1
				}
			}
			b.ReportMetric(100*urgent/n, "urgent-in-time-%")
			b.ReportMetric(100*others/n, "others-in-time-%")
			b.ReportMetric(lost/n, "lost-s")
		})
	}
}
