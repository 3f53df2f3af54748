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

// Times of the replay.
const (
	tick         = 10 * time.Second // a decision is made this often while jobs wait
	faultAfter   = 5 * time.Second  // a faulty worker fails a task after this
	probeAfter   = 30 * time.Minute // a suspended worker is tried again
	suspendAfter = 3                // failures of different jobs that suspend a worker
	drainTime    = 48 * time.Hour   // after the last event
)

// job is one job of the trace.
type job struct {
	sched.Waiting
	truth     *Event
	remaining time.Duration
	attempt   int // grows with each start and end, so that old timers are known
	starts    int
	run       *sched.Running
	final     bool
	done      bool
	finished  time.Time
	rejected  model.Reason
	cancelled bool
	entitled  bool // its customer's guarantee had room when it was submitted
	started   bool
	startedAt time.Time
	preempted int
	reclaimed time.Time // when borrowers were first taken off for it
}

// timerKind is what a timer does.
type timerKind uint8

const (
	timerFinish timerKind = iota
	timerFail
	timerStopped // the checkpoint bound of a stop has passed
	timerStopEnd // the same, but the job is not queued again
	timerTick
	timerProbe
)

type timer struct {
	at      time.Time
	order   int
	kind    timerKind
	job     *job
	attempt int
	worker  string
}

type timers []*timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if c := t[i].at.Compare(t[j].at); c != 0 {
		return c < 0
	}
	return t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push is part of heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(*timer)) }

// Pop is part of heap.Interface.
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// driver replays the events of one availability zone.
type driver struct {
	o       *Options
	zone    string
	now     time.Time
	cfg     *model.Configuration
	workers map[string]*workerState
	list    []sched.Worker
	jobs    map[model.JobID]*job
	order   []*job // by submission
	open    []*job // not final, by submission
	timers  timers
	count   int
	ticking bool
	state   *policy.State
	cells   *cell.Zone // what is free, for the measures
	table   estimate.Table
	changed bool
	m       *measures
}

// workerState is a worker with its health.
type workerState struct {
	sched.Worker
	silent    bool
	faulty    bool
	failedBy  []model.JobID
	suspended bool
}

// epoch is the time of a trace's start; only differences matter.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newDriver(o *Options, zone string) *driver {
	return &driver{
		o: o, zone: zone, now: epoch, workers: map[string]*workerState{}, jobs: map[model.JobID]*job{},
		m: newMeasures(),
	}
}

// run replays the events, which are all of the driver's zone or of none.
func (d *driver) run(events []Event) {
	last := epoch
	if n := len(events); n > 0 {
		last = epoch.Add(time.Duration(events[n-1].At) * time.Millisecond)
	}
	end := last.Add(drainTime)
	for i := range events {
		if events[i].Kind == KindSubmit {
			d.m.until = epoch.Add(time.Duration(events[i].At) * time.Millisecond)
		}
	}
	for i := 0; i < len(events) || len(d.timers) > 0; {
		next := end
		if i < len(events) {
			next = epoch.Add(time.Duration(events[i].At) * time.Millisecond)
		}
		if len(d.timers) > 0 && d.timers[0].at.Before(next) {
			next = d.timers[0].at
		}
		if !next.Before(end) {
			break
		}
		d.advance(next)
		for ; i < len(events) && !epoch.Add(time.Duration(events[i].At)*time.Millisecond).After(next); i++ {
			d.event(&events[i])
		}
		for len(d.timers) > 0 && !d.timers[0].at.After(next) {
			d.fire(heap.Pop(&d.timers).(*timer))
		}
		d.decide()
	}
	d.m.close(d, end)
}

// advance moves the time on and adds up the measures over it.
func (d *driver) advance(to time.Time) {
	if !to.After(d.m.until) {
		d.m.over(to.Sub(d.now))
	}
	d.now = to
}

func (d *driver) after(t time.Duration, tm timer) {
	tm.at = d.now.Add(t)
	d.count++
	tm.order = d.count
	heap.Push(&d.timers, &tm)
}

func (d *driver) event(e *Event) {
	switch e.Kind {
	case KindConfig:
		d.cfg = d.o.config(e.Config)
		if d.state != nil {
			d.state.SetConfig(d.cfg)
		}
		d.changed = true
		d.note(StepConfig, nil)
	case KindAnnounce:
		d.announce(e)
	case KindSilent:
		if w := d.workers[e.Worker.Name]; w != nil {
			w.silent = true
			d.rebuild()
		}
	case KindSubmit:
		d.submit(e)
	case KindCancel:
		if j := d.jobs[e.Job]; j != nil && !j.final {
			j.cancelled = true
			d.finish(j, false)
		}
	}
}

func (d *driver) announce(e *Event) {
	w := e.Worker
	d.workers[w.Name] = &workerState{faulty: e.Faulty, Worker: sched.Worker{
		Name: w.Name, Rack: w.Rack, Cores: w.Cores, MemoryMiB: w.MemoryMiB,
		Accelerators: w.Accelerators, Slots: w.Slots, Usable: !w.Leaving,
	}}
	d.rebuild()
}

// rebuild makes the list of workers anew.
func (d *driver) rebuild() {
	d.list = d.list[:0]
	for _, w := range d.workers {
		c := w.Worker
		c.Usable = c.Usable && !w.silent && !w.suspended
		d.list = append(d.list, c)
	}
	slices.SortFunc(d.list, func(a, b sched.Worker) int { return cmp.Compare(a.Name, b.Name) })
	d.cells = cell.NewZone(d.list)
	for _, j := range d.open {
		if j.run != nil {
			d.cells.TakeAll(&j.Spec, j.run.Placement, false)
		}
	}
	if d.state == nil {
		d.state = policy.NewState(d.zone, d.cfg, d.list, d.o.Rules)
	} else {
		d.state.SetWorkers(d.list)
	}
	d.changed = true
}

func (d *driver) submit(e *Event) {
	if d.jobs[e.Job] != nil {
		return
	}
	j := &job{truth: e, remaining: time.Duration(e.RunSeconds * float64(time.Second))}
	j.Waiting = sched.Waiting{ID: e.Job, Spec: *e.Spec, Seq: uint64(len(d.order) + 1), SubmittedAt: d.now}
	d.jobs[e.Job] = j
	d.order = append(d.order, j)
	d.open = append(d.open, j)
	j.entitled = d.entitled(j)
	d.queue(j)
	d.note(StepQueued, j)
}

// queue lets a job wait.
func (d *driver) queue(j *job) {
	d.changed = true
	if d.state != nil {
		w := j.Waiting
		d.state.AddWaiting(&w)
	}
}

// setRun replaces what the state knows of a job's attempt.
func (d *driver) setRun(j *job, r sched.Running) {
	j.run = &r
	d.state.AddRunning(j.run)
	d.changed = true
}

// endRun frees the resources of a job's attempt.
func (d *driver) endRun(j *job) {
	if j.run == nil {
		return
	}
	j.attempt++
	d.cells.ReleaseAll(&j.Spec, j.run.Placement, false)
	d.state.RemoveRunning(j.ID)
	j.run = nil
	d.changed = true
}

// finish gives a job its final state.
func (d *driver) finish(j *job, done bool) {
	if j.run == nil && d.state != nil {
		d.state.RemoveWaiting(j.ID)
	}
	j.done = done
	d.note(StepFinished, j)
	if done {
		d.table.Add(j.Spec.Customer, j.Spec.EstimatedSeconds, time.Duration(j.truth.RunSeconds*float64(time.Second)))
		d.state.SetEstimates(d.table.Corrections())
	}
	d.endRun(j)
	j.final, j.finished = true, d.now
	d.open = slices.DeleteFunc(d.open, func(o *job) bool { return o == j })
	d.changed = true
}

func (d *driver) fire(t *timer) {
	switch t.kind {
	case timerTick:
		d.ticking = false
		d.changed = true
		return
	case timerProbe:
		w := d.workers[t.worker]
		w.suspended, w.failedBy = false, nil
		d.rebuild()
		return
	}
	j := t.job
	if j.final || j.run == nil || t.attempt != j.attempt {
		return
	}
	switch t.kind {
	case timerFinish:
		d.finish(j, true)
	case timerFail:
		d.fail(j, t.worker)
	case timerStopEnd:
		d.finish(j, false)
	case timerStopped:
		ran := d.now.Sub(j.run.StartedAt)
		if !d.o.LoseWork {
			j.remaining = max(j.remaining-ran, 0)
		}
		j.preempted++
		d.note(StepEnded, j)
		d.endRun(j)
		d.queue(j)
	}
}

// fail ends an attempt that a worker failed.
func (d *driver) fail(j *job, worker string) {
	if !slices.Contains(j.Avoid, worker) {
		j.Avoid = append(slices.Clone(j.Avoid), worker)
	}
	w := d.workers[worker]
	if !slices.Contains(w.failedBy, j.ID) {
		w.failedBy = append(w.failedBy, j.ID)
	}
	if len(w.failedBy) >= suspendAfter && !w.suspended {
		w.suspended = true
		d.after(probeAfter, timer{kind: timerProbe, worker: worker})
		defer d.rebuild()
	}
	if !j.Spec.Repeatable || len(j.Avoid) >= suspendAfter {
		d.finish(j, false)
		return
	}
	d.note(StepEnded, j)
	d.endRun(j)
	d.queue(j)
}

// snapshot is the state as the daemon would give it to a decision.
func (d *driver) snapshot() *sched.Snapshot {
	s := &sched.Snapshot{
		Now: d.now, Zone: d.zone, Config: d.cfg, Workers: d.list,
		Estimates: d.table.Corrections(), Rules: d.o.Rules,
	}
	for _, j := range d.open {
		if j.run != nil {
			s.Running = append(s.Running, *j.run)
		} else {
			s.Waiting = append(s.Waiting, j.Waiting)
		}
	}
	return s
}

func (d *driver) decide() {
	if !d.changed || d.state == nil || d.cfg == nil {
		return
	}
	d.changed = false
	var plan sched.Plan
	if d.o.Naive {
		plan = d.naive()
	} else {
		plan = d.state.Decide(d.now)
	}
	if d.o.Check != nil {
		d.o.Check(d.snapshot(), plan)
	}
	d.apply(&plan)
	d.m.sample(d)
	if !d.o.Naive && !d.ticking && d.waits() {
		d.ticking = true
		d.after(tick, timer{kind: timerTick})
	}
}

func (d *driver) waits() bool {
	return slices.ContainsFunc(d.open, func(j *job) bool { return j.run == nil })
}

// naive is the baseline, with the impossible jobs refused: admission did so
// before there was a policy.
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

// apply carries a plan out.
func (d *driver) apply(p *sched.Plan) {
	for _, r := range p.Rejections {
		j := d.jobs[r.ID]
		j.rejected = r.Reason
		d.note(StepRefused, j)
		d.finish(j, false)
	}
	for _, v := range p.Preemptions {
		j := d.jobs[v.ID]
		if j.run == nil {
			continue
		}
		r := *j.run
		r.Stopping, r.StoppingFor = true, v.For
		d.setRun(j, r)
		d.after(v.Bound, timer{kind: timerStopped, job: j, attempt: j.attempt})
		d.m.preemptions++
		d.note(StepReclaim, j)
		if f := d.jobs[v.For]; f.reclaimed.IsZero() {
			f.reclaimed = d.now
		}
	}
	for _, a := range p.Actions {
		d.act(&a)
	}
	for i := range p.Starts {
		d.start(&p.Starts[i])
	}
	// What the plan itself changed needs no further decision.
	d.changed = false
}

func (d *driver) act(a *sched.Action) {
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
		d.after(time.Duration(d.m.bound(d.cfg, j)), timer{kind: timerStopEnd, job: j, attempt: j.attempt})
		d.m.stopped++
	}
	d.setRun(j, r)
}

func (d *driver) start(s *sched.Start) {
	j := d.jobs[s.ID]
	d.state.RemoveWaiting(s.ID)
	j.attempt++
	j.starts++
	if !j.started {
		j.started, j.startedAt = true, d.now
	}
	d.cells.TakeAll(&j.Spec, s.Placement, false)
	d.setRun(j, sched.Running{
		ID: s.ID, Customer: j.Spec.Customer, Spec: j.Spec, Seq: j.Seq, Placement: s.Placement,
		Borrowed: s.Borrowed, Claim: s.Claim, StartedAt: d.now, UsedMemoryMiB: j.truth.UsedMemoryMiB,
	})
	d.note(StepStarted, j)
	for _, t := range s.Placement {
		if d.workers[t.Worker].faulty {
			d.after(faultAfter, timer{kind: timerFail, job: j, attempt: j.attempt, worker: t.Worker})
			return
		}
	}
	if !j.truth.Endless {
		d.after(j.remaining, timer{kind: timerFinish, job: j, attempt: j.attempt})
	}
}
