package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Limits of what a plan relies on.
const (
	// silentLimit is the time without a sign of a worker after which nothing is
	// started there. Workers announce themselves about every 1.5 s.
	silentLimit = 4 * time.Second
	// forgetAfter is the time without a sign after which a worker without runs
	// is dropped. It is longer than any late order.
	forgetAfter = 20 * time.Second
)

var decideTime = metrics.GetOrCreateHistogram("teaselpaddle_decide_seconds")

// planner makes a snapshot, decides, and applies the plan. It is used by the
// goroutine of the leadership alone.
type planner struct {
	o    *Leadership
	took time.Duration // by the last decision; waits for commits do not count
	held map[heldKey]bool
}

// heldKey names a step that waits for room.
type heldKey struct {
	job              string
	occurrence, step int
}

var (
	heldGauge   = metrics.GetOrCreateGauge("teaselpaddle_steps_waiting", nil)
	usableGauge = metrics.GetOrCreateGauge("teaselpaddle_workers_usable", nil)
	freeGauge   = metrics.GetOrCreateGauge("teaselpaddle_accelerators_free", nil)
	queueWait   = metrics.GetOrCreateHistogram("teaselpaddle_queue_wait_seconds")
	reclaimTime = metrics.GetOrCreateHistogram("teaselpaddle_guaranteed_start_seconds")
)

// noteHeld logs each step once when it begins to wait, with what it waits for.
func (p *planner) noteHeld(held []*place.Group, s *place.Snapshot) {
	var free int64
	for _, w := range s.Workers {
		free += max(w.Free.Accelerators, 0)
	}
	heldGauge.Set(float64(len(held)))
	usableGauge.Set(float64(len(s.Workers)))
	freeGauge.Set(float64(free))
	now := map[heldKey]bool{}
	for _, g := range held {
		k := heldKey{g.Job, g.Occurrence, g.StepIndex}
		now[k] = true
		if p.held[k] {
			continue
		}
		p.o.log.Info("step waits for room", "job", g.Job, "occurrence", g.Occurrence, "step", g.StepIndex, "units", len(g.Waiting),
			"need", g.Step.Need, "gang", g.Step.Gang, "sameRack", g.Step.SameRack, "dataRack", g.Step.DataRack,
			"priority", g.Priority, "guaranteed", g.Guaranteed, "workersUsable", len(s.Workers), "acceleratorsLeft", free)
	}
	p.held = now
}

// runInfo is an active run with what belongs to it.
type runInfo struct {
	key        runKey
	step       batch.Step
	unit       batch.Unit
	payload    string
	checkpoint string
	prio       int
	final      bool // its job needs it no more
}

// pass makes one plan and carries it out.
func (p *planner) pass() {
	began := time.Now()
	snap, runs, lost := p.snapshot()
	plan := place.Decide(snap)
	p.took = time.Since(began)
	decideTime.UpdateDuration(began)
	for worker, ends := range lost {
		p.o.commitEnds(worker, ends)
	}
	for i := range runs {
		p.tend(&runs[i])
	}
	for _, r := range plan.Stops {
		if a := p.o.agent(r.Worker); a != nil {
			p.o.log.Info("run stopped to make room", "job", r.Ref.Job, "unit", r.Ref, "run", r.Run, "priority", r.Priority,
				"for", r.For, "lostMS", r.LostMS)
			telemetry.Count("teaselpaddle_preemptions_total")
			a.stop(runKey{r.Ref, r.Run})
		}
	}
	p.apply(plan.Starts)
	p.noteHeld(plan.Held, snap)
}

// tend sends what a recorded run still needs: its start, or its stop.
func (p *planner) tend(r *runInfo) {
	a := p.o.agent(r.unit.Worker)
	if a == nil || a.rec().Life != r.unit.Life {
		return
	}
	if r.final {
		a.stop(r.key)
		return
	}
	if a.needsStart(r.key) {
		a.start(r.key, r.step.Need, r.payload, r.checkpoint)
	}
	if a.refusedRun(r.key) {
		a.stop(r.key)
	}
	if a.stalled(r.key, r.step.EstimateMS, p.o.cfg.Now()) {
		a.stopStalled(r.key)
	}
}

// stopStalled stops a run that stands still, so that it goes on elsewhere.
func (a *agent) stopStalled(k runKey) {
	if stopping, _ := a.outlook(k, a.o.cfg.Now()); stopping {
		return
	}
	a.log.Info("run stalled; stopped", "job", k.unit.Job, "unit", k.unit, "run", k.run)
	telemetry.Count("teaselpaddle_runs_stalled_total")
	a.stop(k)
}

// checkpointOf returns the checkpoint with which a unit starts. All units of a
// gang carry the same.
func checkpointOf(g *batch.Group, st *batch.Step, u *batch.Unit) string {
	if st.Gang {
		return g.Saved
	}
	return u.Saved
}

// needsStart reports whether a recorded run has not been started by this leader
// and is not known to be there.
func (a *agent) needsStart(k runKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.looked || a.gone {
		return false
	}
	if _, there := a.reported[k]; there {
		return false
	}
	od := a.orders[k]
	return od == nil || od.startedAt.IsZero() && od.stopAt.IsZero() && !od.busy && !od.refused
}

// refusedRun reports whether a start was refused and must be fenced.
func (a *agent) refusedRun(k runKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	od := a.orders[k]
	return od != nil && od.refused && od.startedAt.IsZero() && od.stopAt.IsZero()
}

// snapshot reads the committed state and the agents. Runs whose worker is gone
// or lives another life are returned as lost, by worker.
func (p *planner) snapshot() (*place.Snapshot, []runInfo, map[string][]batch.End) {
	now := p.o.cfg.Now()
	s := &place.Snapshot{NowMS: now.UnixMilli()}
	workers := map[string]*place.Worker{}
	var runs []runInfo
	lost := map[string][]batch.End{}
	p.o.cfg.Machine.View(func(v *batch.View) {
		for id, w := range v.Workers() {
			workers[id] = &place.Worker{
				ID: id, Rack: w.Rack, Service: w.Service, Labels: w.Labels, Capacity: w.Capacity, Free: w.Capacity,
			}
		}
		guaranteed := guaranteedJobs(v)
		for id, j := range v.Live() {
			q := v.Queue(j.Host, j.Prefix)
			prio := lowestPriority
			if q != nil {
				prio = q.Priority
			}
			for gi := range j.Groups {
				g := &j.Groups[gi]
				if g.Left == 0 {
					continue
				}
				pg := p.group(j, g, q, s.NowMS)
				for i := range g.Units {
					u := &g.Units[i]
					if u.State != batch.Active {
						continue
					}
					ref := batch.UnitRef{Job: id, Occurrence: g.Occurrence, Step: g.Step, Index: i}
					w := v.Workers()[u.Worker]
					if w == nil || w.Life != u.Life {
						if p.mayEnd(runKey{ref, u.Run}, u, w != nil) {
							lost[u.Worker] = append(lost[u.Worker], batch.End{Unit: ref, Run: u.Run, How: batch.EndLost})
						}
						continue
					}
					r := runInfo{
						key: runKey{ref, u.Run}, step: *j.Step(g), unit: *u, payload: j.Spec.Payload,
						checkpoint: checkpointOf(g, j.Step(g), u), prio: prio, final: j.State.Final(),
					}
					runs = append(runs, r)
					p.occupy(workers[u.Worker], &r, guaranteed[id])
				}
				if pg != nil {
					pg.Guaranteed = guaranteed[id]
					s.Groups = append(s.Groups, pg)
				}
			}
		}
	})
	for id, w := range workers {
		if p.judge(id, w, now) {
			s.Workers = append(s.Workers, w)
		}
	}
	return s, runs, lost
}

// mayEnd reports whether a run on an ended life may be called lost. A start that
// was sent to that life may have reached the next one: it must have refused the
// run, or have ended it, and a later report must not list it.
func (p *planner) mayEnd(k runKey, u *batch.Unit, reborn bool) bool {
	if !reborn {
		return true
	}
	a := p.o.agent(u.Worker)
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_, there := a.reported[k]
	return a.w.Life != u.Life && len(a.fences) == 0 && a.looked && !there
}

const (
	// minLeftMS is the least time that a run is expected to go on.
	minLeftMS = 300
	// checkpointMS is the work that a unit with checkpoints loses at most: the
	// time between two of them, which is about a second on every deployment.
	checkpointMS = 1000
)

// heardAge is the age of the worker's last answer.
func (a *agent) heardAge() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.o.cfg.Now().Sub(a.lastAnswer)
}

// lowestPriority is that of a job whose queue is not in force any more.
const lowestPriority = 1 << 10

// guaranteedJobs returns the jobs of priority 0 within their customers'
// guaranteed accelerators, the oldest first.
func guaranteedJobs(v *batch.View) map[string]bool {
	out := map[string]bool{}
	c := v.Config()
	if c == nil {
		return out
	}
	left := map[string]int64{}
	for _, cu := range c.Customers {
		left[cu.Name] = cu.Guaranteed
	}
	for _, j := range bySeq(v.Live()) {
		q := v.Queue(j.Host, j.Prefix)
		if q == nil || q.Priority != 0 || j.State.Final() {
			continue
		}
		var need int64
		for i := range j.Spec.Steps {
			need = max(need, int64(j.Spec.Steps[i].Count)*j.Spec.Steps[i].Need.Accelerators)
		}
		if left[j.Customer] >= need {
			left[j.Customer] -= need
			out[j.ID] = true
		}
	}
	return out
}

func bySeq(jobs map[string]*batch.Job) []*batch.Job {
	return slices.SortedFunc(maps.Values(jobs), func(a, b *batch.Job) int { return cmp.Compare(a.Seq, b.Seq) })
}

// group returns a step with units whose turn has come, or nil.
func (p *planner) group(j *batch.Job, g *batch.Group, q *batch.Queue, nowMS int64) *place.Group {
	due := j.DueMS(g)
	if j.State.Final() || q == nil || due > nowMS || !j.Open(g) {
		return nil
	}
	st := j.Step(g)
	pg := &place.Group{
		Job: j.ID, Occurrence: g.Occurrence, StepIndex: g.Step, Step: st, Service: q.Service, Priority: q.Priority,
		SinceMS: max(j.AcceptedMS, due), Seq: j.Seq, Total: len(g.Units),
	}
	pg.AimMS = q.AimMS(pg.SinceMS, j.LengthMS())
	for i := range g.Units {
		u := &g.Units[i]
		switch u.State {
		case batch.Waiting:
			pg.Waiting = append(pg.Waiting, i)
			if u.Failed > 0 {
				if pg.Avoid == nil {
					pg.Avoid = map[string]bool{}
				}
				pg.Avoid[u.Worker] = true
			}
		case batch.Active:
			if pg.On == nil {
				pg.On = map[string]int{}
			}
			pg.On[u.Worker]++
		}
	}
	if len(pg.Waiting) == 0 {
		return nil
	}
	return pg
}

// occupy takes the room of an active run.
func (p *planner) occupy(w *place.Worker, r *runInfo, guaranteed bool) {
	w.Free = w.Free.Sub(r.step.Need)
	run := &place.Running{
		Ref: r.key.unit, Run: r.key.run, Worker: r.unit.Worker, Need: r.step.Need, Priority: r.prio, Guaranteed: guaranteed, Stopping: r.final,
	}
	if r.step.Gang {
		run.Gang = r.key.unit.Job + "." + strconv.Itoa(r.key.unit.Occurrence) + "." + strconv.Itoa(r.key.unit.Step)
	}
	run.LostMS = max(p.o.cfg.Now().UnixMilli()-r.unit.SinceMS, 0)
	run.LeftMS = max(r.step.EstimateMS-run.LostMS, minLeftMS)
	if a := p.o.agent(r.unit.Worker); a != nil {
		stopping, left := a.outlook(r.key, p.o.cfg.Now())
		run.Stopping = run.Stopping || stopping
		if left > 0 {
			run.LeftMS = max(left.Milliseconds(), minLeftMS)
		}
	}
	if r.step.Checkpoints {
		run.LostMS = min(run.LostMS, checkpointMS)
	}
	if run.Stopping {
		w.Coming = w.Coming.Add(r.step.Need)
	}
	w.Running = append(w.Running, run)
}

// judge takes the room of what a worker runs without a record, and reports
// whether anything may be started there.
func (p *planner) judge(id string, w *place.Worker, now time.Time) bool {
	a := p.o.agent(id)
	if a == nil {
		return false
	}
	life := a.rec().Life
	heard := p.o.cfg.Beats.Last(id, life)
	a.mu.Lock()
	defer a.mu.Unlock()
	// Runs without a record may be there all the same: those of a gang that is
	// done, until their own ends are listed, and those of an earlier leader. An end is
	// committed a little before its order is marked as over. All of this room is
	// about to come: the agent stops what it finds there.
	for k, od := range a.orders {
		if !od.startAt.IsZero() && !od.over && !p.recorded(w, k) {
			w.Free = w.Free.Sub(od.need)
			w.Coming = w.Coming.Add(od.need)
		}
	}
	for k := range a.reported {
		if p.recorded(w, k) || a.orders[k] != nil && !a.orders[k].startAt.IsZero() {
			continue
		}
		if st, ok := p.stepOf(k); ok {
			w.Free = w.Free.Sub(st.Need)
			w.Coming = w.Coming.Add(st.Need)
		}
	}
	if a.lastAnswer.After(heard) {
		heard = a.lastAnswer
	}
	if now.Sub(heard) > forgetAfter && now.Sub(p.o.began) > forgetAfter && len(w.Running) == 0 {
		go p.o.forget(a.w)
		return false
	}
	w.Slow = now.Before(a.past.suspectUntil)
	return a.looked && !a.gone && !a.w.Draining && a.failures == 0 && now.After(a.suspendedUntil) &&
		now.Sub(heard) < silentLimit && len(a.fences) == 0
}

func (p *planner) recorded(w *place.Worker, k runKey) bool {
	for _, r := range w.Running {
		if r.Ref == k.unit && r.Run == k.run {
			return true
		}
	}
	return false
}

// stepOf returns the step of a run, if its job is still known.
func (p *planner) stepOf(k runKey) (st batch.Step, ok bool) {
	p.o.cfg.Machine.View(func(v *batch.View) {
		j := v.Job(k.unit.Job, "")
		if j == nil {
			return
		}
		if g := j.Group(k.unit.Occurrence, k.unit.Step); g != nil {
			st, ok = *j.Step(g), true
		}
	})
	return st, ok
}

// forget drops a worker that has been silent for long.
func (o *Leadership) forget(w batch.Worker) {
	if _, err := o.propose(&batch.Command{Worker: &batch.WorkerChange{Worker: w, Gone: true}}); err != nil {
		o.log.Error(err, "silent worker could not be dropped", "worker", w.ID)
		return
	}
	o.cfg.Beats.Forget(w.ID)
	o.log.Info("silent worker dropped", "worker", w.ID, "life", w.Life)
}

// apply commits the starts and sends them.
func (p *planner) apply(starts []place.Placement) {
	if len(starts) == 0 {
		return
	}
	cmd := &batch.Starts{AtMS: p.o.cfg.Now().UnixMilli()}
	nextRun := map[*place.Group]int{}
	var placed []*place.Group
	p.o.cfg.Machine.View(func(v *batch.View) {
		for _, s := range starts {
			j := v.Job(s.Group.Job, "")
			w := v.Workers()[s.Worker]
			if j == nil || w == nil {
				continue
			}
			g := j.Group(s.Group.Occurrence, s.Group.StepIndex)
			run := g.Units[s.Unit].Run + 1
			if s.Group.Step.Gang {
				if nextRun[s.Group] == 0 {
					for i := range g.Units {
						nextRun[s.Group] = max(nextRun[s.Group], g.Units[i].Run+1)
					}
				}
				run = nextRun[s.Group]
			}
			ref := batch.UnitRef{Job: j.ID, Occurrence: g.Occurrence, Step: g.Step, Index: s.Unit}
			placed = append(placed, s.Group)
			cmd.Starts = append(cmd.Starts, batch.Start{Unit: ref, Run: run, Worker: s.Worker, Life: w.Life})
		}
	})
	result, err := p.o.propose(&batch.Command{Starts: cmd})
	if err != nil {
		var stale *batch.StaleEpochError
		if !errors.As(err, &stale) && p.o.ctx.Err() == nil {
			p.o.log.Error(err, "starts could not be committed", "starts", len(cmd.Starts))
		}
		return
	}
	held, _ := result.([]bool)
	for i, s := range cmd.Starts {
		if i < len(held) && held[i] {
			p.send(&s, placed[i], cmd.AtMS)
		} else {
			p.o.log.Info("start refused at the commit", "job", s.Unit.Job, "unit", s.Unit, "run", s.Run, "worker", s.Worker)
		}
	}
}

// send tells a worker to start a recorded run.
func (p *planner) send(s *batch.Start, g *place.Group, atMS int64) {
	var payload, checkpoint, customer string
	ok := false
	p.o.cfg.Machine.View(func(v *batch.View) {
		j := v.Live()[s.Unit.Job]
		if j == nil || j.State.Final() {
			return
		}
		g := j.Group(s.Unit.Occurrence, s.Unit.Step)
		payload, customer, ok = j.Spec.Payload, j.Customer, true
		checkpoint = checkpointOf(g, j.Step(g), &g.Units[s.Unit.Index])
	})
	a := p.o.agent(s.Worker)
	if a == nil || !ok {
		return // the next pass ends or stops it
	}
	waited := atMS - g.SinceMS
	queueWait.Update(float64(waited) / 1000)
	if g.Guaranteed {
		reclaimTime.Update(float64(waited) / 1000)
	}
	p.o.log.Info("run started", "job", s.Unit.Job, "unit", s.Unit, "run", s.Run, "worker", s.Worker, "life", s.Life,
		"customer", customer, "accelerators", g.Step.Need.Accelerators, "priority", g.Priority, "guaranteed", g.Guaranteed, "waitedMS", waited, "workerHeardMS", a.heardAge().Milliseconds())
	a.start(runKey{s.Unit, s.Run}, g.Step.Need, payload, checkpoint)
	a.notify()
}
