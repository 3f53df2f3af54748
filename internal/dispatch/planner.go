package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/mechanism"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
	"teaselpaddle.example/teaselpaddle/internal/sched/share"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Limits on how long a worker may be silent. A sign of life is an announcement or an
// answer.
const (
	// maxSilence is the time without a sign of life after which nothing is started on
	// a worker. Workers announce themselves about every 1.5 s.
	maxSilence = 4 * time.Second
	// overdueAfter is the time without a sign of life after which a worker is used last,
	// because it has missed an announcement.
	overdueAfter = 2 * time.Second
	// removeAfterSilence is the time without a sign of life after which a worker
	// without runs is removed. It is longer than maxOrderDelay, so no order can reach
	// the worker after its removal.
	removeAfterSilence = 20 * time.Second
)

var decideTime = metrics.GetOrCreateHistogram("teaselpaddle_decide_seconds")

// planner takes a snapshot, decides, and carries out the plan. Only the goroutine of
// the leadership uses it.
type planner struct {
	leadership   *Leadership
	agents       map[string]*agent // by worker, at the start of the pass
	decisionTime time.Duration     // of the last snapshot and decision, without commits
	commitTime   time.Duration     // of the last plan's starts
	idle         bool              // the last plan had nothing to start, to stop or to wait for
	waitingSteps map[stepKey]loggedWait
	claims       map[stepKey][]place.Claim // room that waits for steps, by the last plan
	shares       *share.Tracker
	held         map[string]holding        // by customer, in the last snapshot
	customersAt  time.Time                 // last call of customerViews
	lostMembers  map[stepKey]time.Time     // when a member of a running gang was first found lost
	silentZones  map[string]bool           // zones whose workers give no signs of life
	usedUp       []*usedUp                 // units whose attempts are used up, in the last snapshot
	failures     map[batch.UnitRef]failure // recent ones, at the start of the pass
}

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	job              string
	occurrence, step int
}

var (
	stepsWaitingGauge     = metrics.GetOrCreateGauge("teaselpaddle_steps_waiting", nil)
	workersUsableGauge    = metrics.GetOrCreateGauge("teaselpaddle_workers_usable", nil)
	acceleratorsFreeGauge = metrics.GetOrCreateGauge("teaselpaddle_accelerators_free", nil)
	workersIsolatedGauge  = metrics.GetOrCreateGauge("teaselpaddle_workers_isolated", nil)
	queueWaitTime         = metrics.GetOrCreateHistogram("teaselpaddle_queue_wait_seconds")
	guaranteedStartTime   = metrics.GetOrCreateHistogram("teaselpaddle_guaranteed_start_seconds")
)

// runInfo is an active run with the parts of its job that a start needs.
type runInfo struct {
	key        runKey
	step       batch.Step
	unit       batch.Unit
	payload    string
	checkpoint string
	priority   int
	customer   string
	jobFinal   bool // the job is final, so the run must stop
	// memberLost is set if the run belongs to a gang of which another run has ended.
	memberLost bool
	barred     string // why it must not be started any more, see bar.go; "" if it may
	fenced     bool   // it had not been started when it was barred; set by reconcileRun
}

// pass makes one plan and carries it out.
func (p *planner) pass() {
	p.leadership.updateSpeeds()
	began := time.Now()
	p.agents = p.leadership.agentsByWorker()
	snap, runs, lost := p.snapshot()
	if len(p.usedUp) > 0 && len(snap.Workers) > 0 {
		p.failUsedUp(p.usedUp, snap.Workers[0].ID)
	}
	plan := place.Decide(snap)
	p.keepClaims(snap)
	p.decisionTime = time.Since(began)
	decideTime.UpdateDuration(began)
	for worker, l := range lost {
		p.endLostRuns(worker, l)
	}
	p.reconcileRuns(runs)
	if !p.isOff(mechanism.GangStops) {
		p.stopIncompleteGangs(runs)
	}
	for _, r := range plan.Stops {
		if a := p.leadership.agent(r.Worker); a != nil {
			customer := p.customerName(r.Customer)
			p.leadership.log.Info("run stopped to make room", "job", r.Ref.Job, "unit", r.Ref, "run", r.Run, "priority", r.Priority,
				"for", r.For, "lostMS", r.LostMS, "customer", customer)
			telemetry.Count("teaselpaddle_preemptions_total")
			countCustomer("preemptions_total", customer)
			a.stop(runKey{r.Ref, r.Run})
		}
	}
	for _, r := range plan.Evacuated {
		if a := p.leadership.agent(r.Worker); a != nil {
			p.leadership.log.Info("run stopped because its worker leaves", "job", r.Ref.Job, "unit", r.Ref, "run", r.Run, "worker", r.Worker,
				"gang", r.Gang != "", "checkpoints", r.Checkpoints, "leftMS", r.LeftMS, "lostMS", r.LostMS)
			telemetry.Count("teaselpaddle_evacuations_total")
			a.stop(runKey{r.Ref, r.Run})
		}
	}
	committing := time.Now()
	p.commitStarts(plan.Starts)
	p.commitTime = time.Since(committing)
	p.idle = len(plan.Starts)+len(plan.Stops)+len(plan.Evacuated)+len(snap.Groups) == 0
	p.logWaitingSteps(plan.Unplaced, snap)
	p.publishCustomers(snap)
}

// isOff reports whether a mechanism is switched off.
func (p *planner) isOff(n mechanism.Name) bool { return p.leadership.cfg.Off[n] }

// keepClaims keeps the room that waits for steps for the next snapshot.
func (p *planner) keepClaims(s *place.Snapshot) {
	p.claims = map[stepKey][]place.Claim{}
	if p.isOff(mechanism.Claims) {
		return
	}
	for _, g := range s.Groups {
		if len(g.Claims) > 0 {
			p.claims[stepKey{g.Job, g.Occurrence, g.StepIndex}] = g.Claims
		}
	}
}

// checkpointOf returns the checkpoint from which a unit starts. All units of a gang
// start from the same one.
func checkpointOf(g *batch.UnitGroup, st *batch.Step, u *batch.Unit) string {
	if st.Gang {
		return g.Checkpoint
	}
	return u.Checkpoint
}

// snapshot builds the planner's input from the committed state and the agents. It also
// returns the active runs and, by worker, the lost runs: those whose worker was removed or
// has another incarnation.
func (p *planner) snapshot() (*place.Snapshot, []runInfo, map[string]*lostRuns) {
	now := p.leadership.cfg.Now()
	speeds := p.leadership.speeds.current()
	s := &place.Snapshot{
		NowMS: p.leadership.cfg.TimeOfDayMS(), SpeedSpread: speeds.spread, Preemption: p.leadership.cfg.Preemption,
		Off: p.leadership.cfg.Off,
	}
	workers := map[string]*place.Worker{}
	var runs []runInfo
	lost := map[string]*lostRuns{}
	cordoned := map[string]bool{} // by worker
	zoneOf := map[string]string{} // by worker
	tests := newSuspectTests()
	p.usedUp = nil
	p.failures = p.leadership.failures.current(s.NowMS)
	p.leadership.cfg.Machine.View(func(v *batch.View) {
		for id, w := range v.Workers() {
			cordoned[id] = v.Cordoned(w.Zone)
			zoneOf[id] = w.Zone
			e := speeds.of(id, w.Incarnation)
			workers[id] = &place.Worker{
				ID: id, Rack: w.Rack, Service: w.Service, Labels: w.Labels, Capacity: w.Capacity, Free: w.Capacity,
				Speed: e.Log, SpeedSD: e.SD,
			}
		}
		p.leadership.uncounted.retain(v.LiveJobs())
		s.UrgentSpeed = urgentSpeed(v.Config())
		guaranteed := guaranteedJobs(v)
		for id, j := range v.LiveJobs() {
			q := v.QueueOf(j)
			prio := lowestPriority
			if last := v.LastQueueOf(j); last != nil {
				prio = last.Priority
			}
			for gi := range j.UnitGroups {
				g := &j.UnitGroups[gi]
				if g.Left == 0 {
					continue
				}
				pg := p.waitingGroup(v, j, g, q, s.NowMS)
				if f := usedUpUnits(v, j, g); f != nil {
					p.usedUp = append(p.usedUp, f)
				}
				// The units of a gang start together, so a waiting one has lost its run.
				memberLost := j.Step(g).Gang && pg != nil
				for i := range g.Units {
					u := &g.Units[i]
					if u.State != batch.Active {
						continue
					}
					ref := batch.UnitRef{Job: id, Occurrence: g.Occurrence, Step: g.Step, Index: i}
					w := v.Workers()[u.Worker]
					if w == nil || w.Incarnation != u.Incarnation {
						p.addLost(lost, runKey{ref, u.Run}, u, w != nil)
						continue
					}
					if a := p.agents[u.Worker]; a != nil && a.awaitsQueue(runKey{ref, u.Run}) {
						continue // it has ended and needs no room
					}
					r := runInfo{
						key: runKey{ref, u.Run}, step: *j.Step(g), unit: *u, payload: j.Spec.Payload,
						checkpoint: checkpointOf(g, j.Step(g), u), priority: prio, jobFinal: j.State.Final(),
						memberLost: memberLost, customer: j.Customer,
					}
					switch {
					case cordoned[u.Worker]:
						r.barred = barCordoned
					case v.AttemptsUsedUp(j, g, u):
						r.barred = barAttempts
					}
					runs = append(runs, r)
					if !p.isOff(mechanism.Isolation) {
						tests.add(p, &r)
					}
					p.addRunning(workers[u.Worker], &r, guaranteed[id], s.NowMS, now)
				}
				if pg != nil {
					pg.Guaranteed = guaranteed[id]
					s.Groups = append(s.Groups, pg)
				}
			}
		}
	})
	// Only recorded runs count here. What the workers' reports list besides may have ended.
	for i := range runs {
		if r := &runs[i]; r.barred == "" && !workers[r.unit.Worker].Free.Fits(batch.Resources{}) {
			r.barred = barNoRoom
		}
	}
	tests.mark(s.Groups)
	p.updateShares(s, workers)
	if !p.isOff(mechanism.SilentZones) {
		p.updateSilentZones(zoneOf, now)
	}
	for id, w := range workers {
		usable := p.assessWorker(id, w, now)
		switch {
		case usable && p.silentZones[zoneOf[id]]:
			s.Silent = append(s.Silent, w)
		case usable && !cordoned[id] && !tests.workers[id]:
			s.Workers = append(s.Workers, w)
		case p.assessLeaving(id, w, now):
			s.Leaving = append(s.Leaving, w)
		case cordoned[id]:
			s.Cordoned = append(s.Cordoned, w)
		case tests.workers[id]:
			s.Isolated = append(s.Isolated, w)
		}
	}
	return s, runs, lost
}

// addLost adds a run to the lost runs of its worker.
func (p *planner) addLost(lost map[string]*lostRuns, k runKey, u *batch.Unit, restarted bool) {
	l := lost[u.Worker]
	if l == nil || l.incarnation > u.Incarnation {
		l = &lostRuns{incarnation: u.Incarnation, restarted: restarted}
		lost[u.Worker] = l
	}
	if l.incarnation < u.Incarnation {
		return // after the runs of the earlier incarnation
	}
	l.runs = append(l.runs, k)
	if p.canDeclareLost(k, u, restarted) {
		l.declarable = append(l.declarable, k)
	}
}

// canDeclareLost reports whether a run of an ended incarnation can be declared lost.
// A start that was sent to that incarnation may have reached the next one, so the next
// incarnation must have been fenced against the run, and its report after that must
// not list the run. If the worker's record was removed, a next incarnation may still appear and
// take a late start before it is fenced. In either case a report that lists its end may still be on its way.
func (p *planner) canDeclareLost(k runKey, u *batch.Unit, restarted bool) bool {
	if p.leadership.awaitsReport(u.Worker, u.Incarnation) {
		return false
	}
	if !restarted {
		return !p.leadership.lateStarts.mayArrive(u.Worker, k, p.leadership.cfg.Now())
	}
	a := p.leadership.agent(u.Worker)
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_, reported := a.reportedRuns[k]
	return a.worker.Incarnation != u.Incarnation && len(a.pendingFences) == 0 && a.synced && !a.moreEnds && !reported
}

const (
	// minRemainingMS is the lower limit for the estimate of a run's remaining time.
	minRemainingMS = 300
	// maxCheckpointIntervalMS is the time between two checkpoints, which is about a
	// second on every deployment. A unit with checkpoints loses at most this much work.
	maxCheckpointIntervalMS = 1000
)

// timeSinceAnswer returns the time since the worker's last answer.
func (a *agent) timeSinceAnswer() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leadership.cfg.Now().Sub(a.lastAnswer)
}

// sinceLastSeenMS returns the time since the worker's last sign of life, ms, or -1 if there
// was none.
func (a *agent) sinceLastSeenMS() int64 {
	w := a.workerRecord()
	at := a.leadership.cfg.Heartbeats.LastSeen(w.ID, w.Incarnation)
	if at.IsZero() {
		return -1
	}
	return a.leadership.cfg.Now().Sub(at).Milliseconds()
}

// lowestPriority is the priority of a job whose queue has been removed from the
// configuration if this instance does not know its last definition.
const lowestPriority = 1 << 10

// guaranteedJobs returns the jobs of priority 0 that fit into their customers'
// guaranteed accelerators. The accelerators are allotted to the oldest jobs first. A job whose
// queue has been removed keeps its share for what runs; the rest of it cannot start.
func guaranteedJobs(v *batch.View) map[string]bool {
	out := map[string]bool{}
	c := v.Config()
	if c == nil {
		return out
	}
	remaining := map[string]int64{}
	for _, cu := range c.Customers {
		remaining[cu.Name] = cu.Guaranteed
	}
	for _, j := range bySeq(v.LiveJobs()) {
		q := v.QueueOf(j)
		if q == nil && j.Active > 0 {
			q = v.LastQueueOf(j)
		}
		if q == nil || q.Priority != 0 || j.State.Final() {
			continue
		}
		var need int64
		for i := range j.Spec.Steps {
			need = max(need, int64(j.Spec.Steps[i].Count)*j.Spec.Steps[i].Need.Accelerators)
		}
		if remaining[j.Customer] >= need {
			remaining[j.Customer] -= need
			out[j.ID] = true
		}
	}
	return out
}

func bySeq(jobs map[string]*batch.Job) []*batch.Job {
	return slices.SortedFunc(maps.Values(jobs), func(a, b *batch.Job) int { return cmp.Compare(a.Seq, b.Seq) })
}

// waitingGroup returns the planner's view of a step that is due and has waiting units,
// or nil if there are none.
func (p *planner) waitingGroup(v *batch.View, j *batch.Job, g *batch.UnitGroup, q *batch.Queue, nowMS int64) *place.Group {
	due := j.DueMS(g)
	if j.State.Final() || q == nil || due > nowMS || !j.DependenciesDone(g) {
		return nil
	}
	st := j.Step(g)
	pg := &place.Group{
		Job: j.ID, Occurrence: g.Occurrence, StepIndex: g.Step, Step: st, Service: q.Service, Priority: q.Priority,
		Customer: j.Customer, SinceMS: max(j.AcceptedMS, due), HasDueTime: j.HasDueTimes(), Seq: j.Seq, Total: len(g.Units),
	}
	pg.Claims = p.claims[stepKey{j.ID, g.Occurrence, g.Step}]
	pg.LengthMS = j.LengthFromMS(g.Step)
	pg.CompleteByMS = q.CompletionTargetMS(pg.SinceMS, j.LengthMS())
	for i := range g.Units {
		u := &g.Units[i]
		switch u.State {
		case batch.Waiting:
			if v.AttemptsUsedUp(j, g, u) {
				continue
			}
			if nowMS < restartAfterMS(u) && !p.isOff(mechanism.SilenceDelay) {
				continue
			}
			pg.Waiting = append(pg.Waiting, i)
			if n := u.Crashes.Suspicion(); n > 0 && !p.isOff(mechanism.Isolation) {
				if pg.Suspects == nil {
					pg.Suspects = map[int]int{}
				}
				pg.Suspects[i] = n
			}
			if worker, sinceMS, ok := p.avoid(g.Ref(j.ID, i), u); ok {
				if pg.Avoid == nil {
					pg.Avoid = map[string]int64{}
				}
				pg.Avoid[worker] = max(pg.Avoid[worker], sinceMS)
			}
		case batch.Active:
			if pg.UnitsOn == nil {
				pg.UnitsOn = map[string]int{}
			}
			pg.UnitsOn[u.Worker]++
		}
	}
	if len(pg.Waiting) == 0 {
		return nil
	}
	return pg
}

// addRunning adds an active run to its worker and subtracts the run's resources from
// the free capacity.
func (p *planner) addRunning(w *place.Worker, r *runInfo, guaranteed bool, nowMS int64, now time.Time) {
	w.Free = w.Free.Sub(r.step.Need)
	run := &place.Running{
		Ref: r.key.unit, Run: r.key.run, Worker: r.unit.Worker, Need: r.step.Need, Priority: r.priority, Guaranteed: guaranteed,
		Checkpoints: r.step.Checkpoints, Stopping: r.jobFinal, Customer: r.customer,
	}
	if r.step.Gang {
		run.Gang = r.key.unit.Job + "." + strconv.Itoa(r.key.unit.Occurrence) + "." + strconv.Itoa(r.key.unit.Step)
	}
	run.LostMS = max(nowMS-r.unit.RecordedMS, 0)
	run.AgeMS = run.LostMS
	run.LeftMS = max(r.step.EstimateMS-run.LostMS, minRemainingMS)
	run.EstimateMS, run.ElapsedMS = r.step.EstimateMS, run.LostMS
	var left time.Duration
	if a := p.agents[r.unit.Worker]; a != nil {
		var stopping bool
		stopping, left = a.estimateRemaining(r.key, now)
		run.Stopping = run.Stopping || stopping
	}
	switch {
	case r.step.LongRunning: // its progress tells how far it has started up
		run.LeftMS = place.NoEnd
		run.EstimateMS, run.ElapsedMS = 0, 0
	case left > 0:
		run.LeftMS = max(left.Milliseconds(), minRemainingMS)
		run.EstimateMS, run.ElapsedMS = 0, 0
	}
	if r.step.Checkpoints {
		run.LostMS = min(run.LostMS, maxCheckpointIntervalMS)
	}
	if run.Stopping {
		w.Releasing = w.Releasing.Add(r.step.Need)
	}
	w.Running = append(w.Running, run)
}

// assessWorker subtracts the resources of runs that are on a worker without an active
// record from its free capacity, and reports whether runs may be started there.
func (p *planner) assessWorker(id string, w *place.Worker, now time.Time) bool {
	a := p.agents[id]
	if a == nil {
		return false
	}
	incarnation := a.workerRecord().Incarnation
	lastSeen := p.leadership.cfg.Heartbeats.LastSeen(id, incarnation)
	cold := now.Before(p.leadership.cfg.Heartbeats.ColdUntil(id, incarnation))
	a.mu.Lock()
	defer a.mu.Unlock()
	// A worker can have runs without an active record: those of a gang that is done,
	// until their own ends are reported, those of an earlier leader, and those whose end
	// was committed just before their order is marked as finished. Their resources
	// will be free soon, because the agent stops every unrecorded run.
	for k, od := range a.orders {
		if !od.startSentAt.IsZero() && !od.finished && !p.isRecorded(w, k) {
			w.Free = w.Free.Sub(od.need)
			w.Releasing = w.Releasing.Add(od.need)
		}
	}
	for k := range a.reportedRuns {
		if p.isRecorded(w, k) || a.orders[k] != nil && !a.orders[k].startSentAt.IsZero() {
			continue
		}
		if st, ok := p.stepOf(k); ok {
			w.Free = w.Free.Sub(st.Need)
			w.Releasing = w.Releasing.Add(st.Need)
		}
	}
	if a.lastAnswer.After(lastSeen) {
		lastSeen = a.lastAnswer
	}
	if now.Sub(lastSeen) > removeAfterSilence && now.Sub(p.leadership.startedAt) > removeAfterSilence && len(w.Running) == 0 {
		p.leadership.removeSilentWorker(a.worker)
		return false
	}
	w.Suspect = now.Before(a.history.suspectUntil) && !p.isOff(mechanism.SuspectWorkers) || now.Sub(lastSeen) > overdueAfter || cold
	return a.synced && !a.superseded && !a.worker.Draining && a.unansweredCalls == 0 && now.After(a.suspendedUntil) &&
		now.Sub(lastSeen) < maxSilence && len(a.pendingFences) == 0
}

// assessLeaving reports whether a worker drains and has told when it leaves, and sets the
// time until then.
func (p *planner) assessLeaving(id string, w *place.Worker, now time.Time) bool {
	a := p.agents[id]
	if a == nil {
		return false
	}
	record := a.workerRecord()
	leavesAt := p.leadership.cfg.Heartbeats.LeavesAt(id, record.Incarnation)
	if !record.Draining || leavesAt.IsZero() {
		return false
	}
	w.LeavesInMS = leavesAt.Sub(now).Milliseconds()
	return true
}

func (p *planner) isRecorded(w *place.Worker, k runKey) bool {
	for _, r := range w.Running {
		if r.Ref == k.unit && r.Run == k.run {
			return true
		}
	}
	return false
}

// stepOf returns the step of a run. ok is false if its job is no longer known.
func (p *planner) stepOf(k runKey) (st batch.Step, ok bool) {
	p.leadership.cfg.Machine.View(func(v *batch.View) {
		j := v.Job(k.unit.Job, "")
		if j == nil {
			return
		}
		if g := j.UnitGroup(k.unit.Occurrence, k.unit.Step); g != nil {
			st, ok = *j.Step(g), true
		}
	})
	return st, ok
}
