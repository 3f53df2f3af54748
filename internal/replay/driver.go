package replay

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/sched/cell"
	"teaselpaddle.example/teaselpaddle/internal/sched/estimate"
	"teaselpaddle.example/teaselpaddle/internal/sched/naive"
	"teaselpaddle.example/teaselpaddle/internal/sched/policy"
)

// Times and limits of the replay.
const (
	tickInterval = 10 * time.Second // interval between decisions while jobs wait
	faultAfter   = 5 * time.Second  // run time of a task on a faulty worker until it fails
	probeAfter   = 30 * time.Minute // time until a suspended worker is used again
	// suspendAfter is the number of different jobs whose failures suspend a
	// worker, and the number of failed workers after which a job fails.
	suspendAfter = 3
	drainTime    = 48 * time.Hour // simulated time after the last event
)

// job is the replay's record of one job of the trace.
type job struct {
	sched.Waiting
	submission         *Event
	remaining          time.Duration // run time that is left after the last checkpoint
	generation         int           // incremented at each start and end, so that stale timers are detected
	starts             int
	run                *sched.Running
	final              bool
	completed          bool
	finishedAt         time.Time
	rejected           model.Reason // reason of the rejection; "" if not rejected
	cancelled          bool
	hasUnusedGuarantee bool // result of driver.hasUnusedGuarantee at submission
	started            bool
	startedAt          time.Time
	preempted          int
	reclaimedAt        time.Time // when an attempt was first preempted for this job
}

// timerKind is what happens when a timer fires.
type timerKind uint8

const (
	timerFinish  timerKind = iota // the attempt succeeds
	timerFail                     // a faulty worker fails the attempt
	timerRequeue                  // the checkpoint bound of a preemption has passed; the job is queued again
	timerStop                     // the checkpoint bound of a stop has passed; the job is not queued again
	timerTick                     // the next decision is due
	timerProbe                    // a suspended worker is used again
)

// timer is a scheduled event of the replay. Timers of the same time fire in the
// order of seq.
type timer struct {
	at         time.Time
	seq        int
	kind       timerKind
	job        *job
	generation int
	worker     string
}

// timers is a heap of timers, ordered by time.
type timers []*timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if c := t[i].at.Compare(t[j].at); c != 0 {
		return c < 0
	}
	return t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(*timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// driver replays the events of one availability zone.
type driver struct {
	opts        *Options
	zone        string
	now         time.Time
	cfg         *model.Configuration
	workers     map[string]*workerState
	workerList  []sched.Worker // for decisions; see rebuildWorkers
	jobs        map[model.JobID]*job
	allJobs     []*job // in order of submission
	openJobs    []*job // without a final state, in order of submission
	timers      timers
	timerSeq    int  // seq of the last timer
	tickPending bool // a timerTick is scheduled
	state       *policy.State
	cells       *cell.Zone // free resources, for the measures
	estimates   estimate.Table
	dirty       bool // the state changed since the last decision
	results     *measures
}

// workerState is a worker and its health.
type workerState struct {
	sched.Worker
	silent    bool
	faulty    bool
	failedBy  []model.JobID // jobs of which a task failed on the worker
	suspended bool
}

// traceStart is the simulated time at which a trace starts. The date is
// arbitrary: only differences matter.
var traceStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newDriver(opts *Options, zone string) *driver {
	return &driver{
		opts: opts, zone: zone, now: traceStart, workers: map[string]*workerState{}, jobs: map[model.JobID]*job{},
		results: newMeasures(),
	}
}

// run replays the events, which belong to the driver's zone or to no zone.
func (d *driver) run(events []Event) {
	last := traceStart
	if n := len(events); n > 0 {
		last = traceStart.Add(time.Duration(events[n-1].At) * time.Millisecond)
	}
	end := last.Add(drainTime)
	for i := range events {
		if events[i].Kind == KindSubmit {
			d.results.measuredUntil = traceStart.Add(time.Duration(events[i].At) * time.Millisecond)
		}
	}
	for i := 0; i < len(events) || len(d.timers) > 0; {
		next := end
		if i < len(events) {
			next = traceStart.Add(time.Duration(events[i].At) * time.Millisecond)
		}
		if len(d.timers) > 0 && d.timers[0].at.Before(next) {
			next = d.timers[0].at
		}
		if !next.Before(end) {
			break
		}
		d.advance(next)
		for ; i < len(events) && !traceStart.Add(time.Duration(events[i].At)*time.Millisecond).After(next); i++ {
			d.handleEvent(&events[i])
		}
		for len(d.timers) > 0 && !d.timers[0].at.After(next) {
			d.fireTimer(heap.Pop(&d.timers).(*timer))
		}
		d.decide()
	}
	d.results.addJobs(d, end)
}

// advance sets the simulated time and accumulates the measures up to it.
func (d *driver) advance(to time.Time) {
	if !to.After(d.results.measuredUntil) {
		d.results.accumulate(to.Sub(d.now))
	}
	d.now = to
}

// schedule makes a timer fire after a duration.
func (d *driver) schedule(t time.Duration, tm timer) {
	tm.at = d.now.Add(t)
	d.timerSeq++
	tm.seq = d.timerSeq
	heap.Push(&d.timers, &tm)
}

// handleEvent applies an event of the trace.
func (d *driver) handleEvent(e *Event) {
	switch e.Kind {
	case KindConfig:
		d.cfg = d.opts.withPolicy(e.Config)
		if d.state != nil {
			d.state.SetConfig(d.cfg)
		}
		d.dirty = true
		d.emitStep(StepConfig, nil)
	case KindAnnounce:
		d.setWorker(e)
	case KindSilent:
		if w := d.workers[e.Worker.Name]; w != nil {
			w.silent = true
			d.rebuildWorkers()
		}
	case KindSubmit:
		d.submit(e)
	case KindCancel:
		if j := d.jobs[e.Job]; j != nil && !j.final {
			j.cancelled = true
			d.finishJob(j, false)
		}
	}
}

// setWorker adds or replaces the announced worker.
func (d *driver) setWorker(e *Event) {
	w := e.Worker
	d.workers[w.Name] = &workerState{faulty: e.Faulty, Worker: sched.Worker{
		Name: w.Name, Rack: w.Rack, Cores: w.Cores, MemoryMiB: w.MemoryMiB,
		Accelerators: w.Accelerators, Slots: w.Slots, Usable: !w.Leaving,
	}}
	d.rebuildWorkers()
}

// rebuildWorkers recomputes the list of workers and the free resources, and
// passes the list to the decision state.
func (d *driver) rebuildWorkers() {
	d.workerList = d.workerList[:0]
	for _, w := range d.workers {
		c := w.Worker
		c.Usable = c.Usable && !w.silent && !w.suspended
		d.workerList = append(d.workerList, c)
	}
	slices.SortFunc(d.workerList, func(a, b sched.Worker) int { return cmp.Compare(a.Name, b.Name) })
	d.cells = cell.NewZone(d.workerList)
	for _, j := range d.openJobs {
		if j.run != nil {
			d.cells.TakeAll(&j.Spec, j.run.Placement, false)
		}
	}
	if d.state == nil {
		d.state = policy.NewState(d.zone, d.cfg, d.workerList, d.opts.Rules)
	} else {
		d.state.SetWorkers(d.workerList)
	}
	d.dirty = true
}

// submit adds the job of a submission. Further submissions of the same job are
// ignored.
func (d *driver) submit(e *Event) {
	if d.jobs[e.Job] != nil {
		return
	}
	j := &job{submission: e, remaining: time.Duration(e.RunSeconds * float64(time.Second))}
	j.Waiting = sched.Waiting{ID: e.Job, Spec: *e.Spec, Seq: uint64(len(d.allJobs) + 1), SubmittedAt: d.now}
	d.jobs[e.Job] = j
	d.allJobs = append(d.allJobs, j)
	d.openJobs = append(d.openJobs, j)
	j.hasUnusedGuarantee = d.hasUnusedGuarantee(j)
	d.enqueue(j)
	d.emitStep(StepQueued, j)
}

// enqueue adds a job to the waiting jobs of the decision state.
func (d *driver) enqueue(j *job) {
	d.dirty = true
	if d.state != nil {
		w := j.Waiting
		d.state.AddWaiting(&w)
	}
}

// setRun stores a job's attempt and updates it in the decision state.
func (d *driver) setRun(j *job, r sched.Running) {
	j.run = &r
	d.state.AddRunning(j.run)
	d.dirty = true
}

// endRun removes a job's attempt and frees its resources.
func (d *driver) endRun(j *job) {
	if j.run == nil {
		return
	}
	j.generation++
	d.cells.ReleaseAll(&j.Spec, j.run.Placement, false)
	d.state.RemoveRunning(j.ID)
	j.run = nil
	d.dirty = true
}

// finishJob sets a job's final state.
func (d *driver) finishJob(j *job, completed bool) {
	if j.run == nil && d.state != nil {
		d.state.RemoveWaiting(j.ID)
	}
	j.completed = completed
	d.emitStep(StepFinished, j)
	if completed {
		d.estimates.Add(j.Spec.Customer, j.Spec.EstimatedSeconds, time.Duration(j.submission.RunSeconds*float64(time.Second)))
		d.state.SetEstimates(d.estimates.Corrections())
	}
	d.endRun(j)
	j.final, j.finishedAt = true, d.now
	d.openJobs = slices.DeleteFunc(d.openJobs, func(o *job) bool { return o == j })
	d.dirty = true
}

// fireTimer handles a timer that is due. Timers of attempts that have ended are
// ignored.
func (d *driver) fireTimer(t *timer) {
	switch t.kind {
	case timerTick:
		d.tickPending = false
		d.dirty = true
		return
	case timerProbe:
		w := d.workers[t.worker]
		w.suspended, w.failedBy = false, nil
		d.rebuildWorkers()
		return
	}
	j := t.job
	if j.final || j.run == nil || t.generation != j.generation {
		return
	}
	switch t.kind {
	case timerFinish:
		d.finishJob(j, true)
	case timerFail:
		d.failAttempt(j, t.worker)
	case timerStop:
		d.finishJob(j, false)
	case timerRequeue:
		ran := d.now.Sub(j.run.StartedAt)
		if !d.opts.LoseWork {
			j.remaining = max(j.remaining-ran, 0)
		}
		j.preempted++
		d.emitStep(StepEnded, j)
		d.endRun(j)
		d.enqueue(j)
	}
}

// failAttempt ends an attempt of which a task failed on the worker. It suspends
// the worker after failures of suspendAfter jobs.
func (d *driver) failAttempt(j *job, worker string) {
	if !slices.Contains(j.Avoid, worker) {
		j.Avoid = append(slices.Clone(j.Avoid), worker)
	}
	w := d.workers[worker]
	if !slices.Contains(w.failedBy, j.ID) {
		w.failedBy = append(w.failedBy, j.ID)
	}
	if len(w.failedBy) >= suspendAfter && !w.suspended {
		w.suspended = true
		d.schedule(probeAfter, timer{kind: timerProbe, worker: worker})
		defer d.rebuildWorkers()
	}
	if !j.Spec.Repeatable || len(j.Avoid) >= suspendAfter {
		d.finishJob(j, false)
		return
	}
	d.emitStep(StepEnded, j)
	d.endRun(j)
	d.enqueue(j)
}

// snapshot returns the state in the form that the daemon passes to a decision.
func (d *driver) snapshot() *sched.Snapshot {
	s := &sched.Snapshot{
		Now: d.now, Zone: d.zone, Config: d.cfg, Workers: d.workerList,
		Estimates: d.estimates.Corrections(), Rules: d.opts.Rules,
	}
	for _, j := range d.openJobs {
		if j.run != nil {
			s.Running = append(s.Running, *j.run)
		} else {
			s.Waiting = append(s.Waiting, j.Waiting)
		}
	}
	return s
}

// decide makes a decision and applies it if the state has changed since the
// last one.
func (d *driver) decide() {
	if !d.dirty || d.state == nil || d.cfg == nil {
		return
	}
	d.dirty = false
	var plan sched.Plan
	if d.opts.Naive {
		plan = d.naive()
	} else {
		plan = d.state.Decide(d.now)
	}
	if d.opts.OnDecision != nil {
		d.opts.OnDecision(d.snapshot(), plan)
	}
	d.apply(&plan)
	d.results.sample(d)
	if !d.opts.Naive && !d.tickPending && d.hasWaitingJobs() {
		d.tickPending = true
		d.schedule(tickInterval, timer{kind: timerTick})
	}
}

func (d *driver) hasWaitingJobs() bool {
	return slices.ContainsFunc(d.openJobs, func(j *job) bool { return j.run == nil })
}

// naive decides with the naive reference. It rejects jobs that never fit,
// which the naive reference leaves to admission.
func (d *driver) naive() sched.Plan {
	s := d.snapshot()
	var rejected []sched.Rejection
	s.Waiting = slices.DeleteFunc(s.Waiting, func(w sched.Waiting) bool {
		if d.cells.FitsEmpty(&w.Spec) {
			return false
		}
		rejected = append(rejected, sched.Rejection{ID: w.ID, Reason: model.ReasonNeverFits})
		return true
	})
	plan := naive.Decide(s)
	plan.Rejections = rejected
	return plan
}

// apply applies a plan.
func (d *driver) apply(p *sched.Plan) {
	for _, r := range p.Rejections {
		j := d.jobs[r.ID]
		j.rejected = r.Reason
		d.emitStep(StepRejected, j)
		d.finishJob(j, false)
	}
	for _, v := range p.Preemptions {
		j := d.jobs[v.ID]
		if j.run == nil {
			continue
		}
		r := *j.run
		r.Stopping, r.StoppingFor = true, v.For
		d.setRun(j, r)
		d.schedule(v.Bound, timer{kind: timerRequeue, job: j, generation: j.generation})
		d.results.preemptions++
		d.emitStep(StepPreempted, j)
		if f := d.jobs[v.For]; f.reclaimedAt.IsZero() {
			f.reclaimedAt = d.now
		}
	}
	for _, a := range p.Actions {
		d.applyAction(&a)
	}
	for i := range p.Starts {
		d.startJob(&p.Starts[i])
	}
	// The changes made by the plan need no further decision.
	d.dirty = false
}

// applyAction applies an action against a job that uses more than it declared.
func (d *driver) applyAction(a *sched.Action) {
	j := d.jobs[a.ID]
	if j.run == nil {
		return
	}
	r := *j.run
	switch a.Kind {
	case sched.Throttle:
		r.Throttled = true
	case sched.Checkpoint:
		r.Checkpointed = true
	case sched.Stop:
		r.Stopping = true
		d.schedule(time.Duration(d.results.checkpointBound(d.cfg, j)), timer{kind: timerStop, job: j, generation: j.generation})
		d.results.stopped++
	}
	d.setRun(j, r)
}

// startJob starts an attempt and schedules its end.
func (d *driver) startJob(s *sched.Start) {
	j := d.jobs[s.ID]
	d.state.RemoveWaiting(s.ID)
	j.generation++
	j.starts++
	if !j.started {
		j.started, j.startedAt = true, d.now
	}
	d.cells.TakeAll(&j.Spec, s.Placement, false)
	d.setRun(j, sched.Running{
		ID: s.ID, Customer: j.Spec.Customer, Spec: j.Spec, Seq: j.Seq, Placement: s.Placement,
		Borrowed: s.Borrowed, Claim: s.Claim, StartedAt: d.now, UsedMemoryMiB: j.submission.UsedMemoryMiB,
	})
	d.emitStep(StepStarted, j)
	for _, t := range s.Placement {
		if d.workers[t.Worker].faulty {
			d.schedule(faultAfter, timer{kind: timerFail, job: j, generation: j.generation, worker: t.Worker})
			return
		}
	}
	if !j.submission.Endless {
		d.schedule(j.remaining, timer{kind: timerFinish, job: j, generation: j.generation})
	}
}
