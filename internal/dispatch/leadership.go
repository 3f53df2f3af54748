// Package dispatch drives the workers of a region on behalf of the group's
// leader: it holds their leases, starts and stops runs, commits their ends, and
// carries out the plans of internal/sched/place.
//
// A Leadership covers one leader's term under one epoch. It has one agent per
// worker. Agents read the committed state and keep what the workers report in
// their own mutex-protected state, which the planner reads. No run starts before
// its record is committed, and a worker forgets an end only after the end is
// committed.
package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/sched/mechanism"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
	"teaselpaddle.example/teaselpaddle/internal/sched/share"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/timeofday"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Config configures a Leadership.
type Config struct {
	Machine *batch.Machine
	Group   replica.Group
	Client  workerapi.UnitClient
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	Log      logr.Logger
	Epoch    uint64
	// Heartbeats holds the workers' last signs of life.
	Heartbeats *Heartbeats
	// MaxWaitingHolds is the maximum number of holds that may wait for an end at the same
	// time. Each of them occupies a connection. 0 means no limit.
	MaxWaitingHolds int
	// MeasureSpeeds is set if the workers may differ in speed and their speeds are to be
	// measured.
	MeasureSpeeds bool
	// Preemption tells when runs are stopped for urgent groups.
	Preemption place.Preemption
	// Off are the mechanisms that are switched off.
	Off mechanism.Set
	// ConfigChange is locked while a configuration is committed, and locked for reading while ends are
	// committed whose effect depends on the configuration; nil means that it never changes meanwhile.
	ConfigChange *sync.RWMutex
	// FairShareHalfLifeMS is the time in which the earlier use of customers is halved, ms;
	// 0 means that customers do not matter for the order of steps.
	FairShareHalfLifeMS int64
	// ConfirmedAt is a time of Steady at which no later leader than the one under Epoch had been
	// elected; 0 if none is known.
	ConfirmedAt time.Duration
	// Now returns the current time; nil means time.Now. Tests replace it. Only differences
	// between its results are used.
	Now func() time.Time
	// Steady returns a time that also counts while the machine is suspended; nil means
	// timeofday.Steady. Tests replace it. Only differences between its results are used.
	Steady func() time.Duration
	// TimeOfDayMS returns the time of day for times that are stored, Unix ms; nil means that
	// of Now. It must not follow short jumps of the time of day.
	TimeOfDayMS func() int64
}

// proposeTimeout bounds the wait for one commit. A healthy group commits within
// milliseconds; a leader without a majority steps down within about 2 s.
const proposeTimeout = 3 * time.Second

// epochGauge shows the epoch under which this instance leads, or 0 while it does not
// lead.
var epochGauge = metrics.GetOrCreateGauge("teaselpaddle_leading_epoch", nil)

var commitTime = metrics.GetOrCreateHistogram("teaselpaddle_commit_seconds")

// Leadership drives the workers during one leader's term under one epoch.
type Leadership struct {
	cfg       Config
	log       logr.Logger
	startedAt time.Time
	startedMS int64 // the same by cfg.TimeOfDayMS
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	wake      chan struct{}
	planner   planner
	speeds    *workerSpeeds // nil if speeds are not measured
	settled   bool          // see settle; owned by the goroutine of run
	syncTime  time.Duration // of the last call of syncAgents; owned by the goroutine of run
	waitSlots chan struct{} // one element per hold that waits; nil if there is no limit
	silences  silences
	// lateStarts outlives the agents, see there.
	lateStarts lateStarts
	failures   recentFailures
	uncounted  uncountedFailures
	load       loadMeter
	calls      *callLimit
	// confirmedAt is the latest time of cfg.Steady at which this was certainly the leader, see
	// confirm.go.
	confirmedAt atomic.Pointer[time.Duration]

	customers       atomic.Pointer[[]CustomerView]
	customerMetrics *metrics.Set

	agentCount atomic.Int64 // length of agents

	mu      sync.Mutex // guards agents, retired and departed
	agents  map[string]*agent
	retired map[string][]*agent // agents that were replaced or whose worker was removed, until they have ended
	// departed holds the workers whose record was removed, while a start may still arrive there.
	departed map[string]departed

	removingMu sync.Mutex      // guards removing; an agent's mu may be held when it is locked
	removing   map[string]bool // silent workers whose removal is being committed
}

// Open starts driving the workers until Close is called.
func Open(cfg Config) *Leadership {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Steady == nil {
		cfg.Steady = timeofday.Steady
	}
	if cfg.TimeOfDayMS == nil {
		cfg.TimeOfDayMS = func() int64 { return cfg.Now().UnixMilli() }
	}
	if cfg.ConfigChange == nil {
		cfg.ConfigChange = &sync.RWMutex{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Leadership{
		cfg: cfg, log: cfg.Log.WithName("dispatch").WithValues("epoch", cfg.Epoch), startedAt: cfg.Now(),
		ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), agents: map[string]*agent{}, retired: map[string][]*agent{}, departed: map[string]departed{}, removing: map[string]bool{},
		customerMetrics: newCustomerMetrics(), calls: newCallLimit(),
	}
	l.startedMS = cfg.TimeOfDayMS()
	l.planner.leadership = l
	if cfg.ConfirmedAt != 0 {
		l.recordConfirmed(cfg.ConfirmedAt)
	}
	l.planner.shares = share.NewTracker(cfg.FairShareHalfLifeMS)
	if cfg.MaxWaitingHolds > 0 {
		l.waitSlots = make(chan struct{}, cfg.MaxWaitingHolds)
	}
	if cfg.MeasureSpeeds {
		l.speeds = newWorkerSpeeds(cfg.Machine)
	}
	epochGauge.Set(float64(cfg.Epoch))
	l.log.Info("leadership begun")
	l.Wake()
	l.wg.Go(func() { l.load.run(ctx, l.calls.adjust) })
	l.wg.Add(2)
	go l.run()
	go l.keepConfirmed()
	return l
}

// Close stops driving the workers. Runs continue under their leases.
func (l *Leadership) Close() {
	l.cancel()
	l.wg.Wait()
	metrics.UnregisterSet(l.customerMetrics, true)
	epochGauge.Set(0)
	speedSpreadGauge.Set(0)
	l.log.Info("leadership ended")
}

// Wake requests a new plan. It does not block.
func (l *Leadership) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// acquireWaitSlot reserves a slot for a hold that waits. It returns false if none is
// free.
func (l *Leadership) acquireWaitSlot() bool {
	if l.waitSlots == nil {
		return true
	}
	select {
	case l.waitSlots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l *Leadership) releaseWaitSlot() {
	if l.waitSlots != nil {
		<-l.waitSlots
	}
}

// A plan is made at most once per planInterval, so that a burst of commits costs one
// plan, and at least once per idleInterval for decisions that depend on time alone.
const (
	planInterval = 10 * time.Millisecond
	idleInterval = 200 * time.Millisecond
	// planRestFactor is the minimum pause after a decision as a multiple of the
	// decision's time. It limits decisions to about half of the time. In a burst a decision
	// takes long, and with a longer rest urgent groups wait for the next one.
	planRestFactor = 1
	// idleRestFactor replaces it after a plan with nothing to start, to stop or to wait for. On
	// thousands of workers each snapshot costs more than the decision.
	idleRestFactor = 5
)

func (l *Leadership) run() {
	defer l.wg.Done()
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		case <-idle.C:
		}
		began := time.Now()
		l.syncAgents()
		l.syncTime = time.Since(began)
		if l.settle() && l.contain("planner", l.planner.pass) != nil && !retry.Sleep(l.ctx, panicDelay) {
			return
		}
		if !retry.Sleep(l.ctx, l.rest()) {
			return
		}
	}
}

// rest returns the pause before the next decision. While the leader is overloaded it is longer; the
// time for which the plan has waited for its commit counts as a part of that.
func (l *Leadership) rest() time.Duration {
	rest := planRestFactor * l.planner.decisionTime
	switch {
	case !l.settled:
		rest = idleRestFactor * l.syncTime
	case l.planner.idle:
		rest = idleRestFactor * l.planner.decisionTime
	case l.load.overloaded():
		rest = max(rest, overloadedRestFactor*l.planner.decisionTime-l.planner.commitTime)
	}
	return max(planInterval, rest)
}

// syncAgents starts an agent for each recorded worker and cancels the agents of
// workers that were removed or have another incarnation or address.
func (l *Leadership) syncAgents() {
	recorded := map[string]batch.Worker{}
	l.cfg.Machine.View(func(v *batch.View) {
		for id, w := range v.Workers() {
			recorded[id] = *w
		}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.retired, func(_ string, as []*agent) bool {
		return !slices.ContainsFunc(as, func(a *agent) bool { return !a.hasEnded() })
	})
	for id, a := range l.agents {
		w, ok := recorded[id]
		if ok && w.Incarnation == a.workerRecord().Incarnation && w.Address == a.workerRecord().Address {
			a.setWorkerRecord(w)
			continue
		}
		a.retire()
		l.retired[id] = append(l.retired[id], a)
		delete(l.agents, id)
		if ok {
			l.agents[id] = l.newAgent(w, a.unfencedRuns(), a.predecessorOf(&w))
		} else {
			l.depart(a)
		}
	}
	now := l.cfg.Now()
	for id, w := range recorded {
		if l.agents[id] == nil {
			l.agents[id] = l.newAgent(w, l.lateStarts.runs(id, now), l.takeDeparted(id))
		}
	}
	maps.DeleteFunc(l.departed, func(_ string, d departed) bool { return now.Sub(d.at) > maxOrderDelay })
	l.lateStarts.expireAll(now)
	l.agentCount.Store(int64(len(l.agents)))
}

// agentsByWorker returns the agents of the recorded workers.
func (l *Leadership) agentsByWorker() map[string]*agent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.agents)
}

func (l *Leadership) agent(id string) *agent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.agents[id]
}

// awaitsReport reports whether the report of a hold to a worker that was removed or has
// another incarnation or address may still arrive, or its ends are being committed. A worker
// that is recorded only until the next call of syncAgents counts as well.
func (l *Leadership) awaitsReport(id string, incarnation int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.agents[id]; a != nil && a.workerRecord().Incarnation == incarnation {
		return true
	}
	return slices.ContainsFunc(l.retired[id], func(a *agent) bool {
		return a.workerRecord().Incarnation == incarnation && !a.hasEnded()
	})
}

// propose commits a command under this leader's epoch and returns its result.
func (l *Leadership) propose(c *batch.Command) (any, error) {
	c.Epoch = l.cfg.Epoch
	entry, err := codec.Marshal(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	began, begunAt := time.Now(), l.cfg.Steady()
	result, err := l.cfg.Group.Propose(ctx, entry)
	if err != nil {
		return nil, errors.Trace(err)
	}
	commitTime.UpdateDuration(began)
	if failed, ok := result.(error); ok {
		return nil, failed
	}
	l.recordConfirmed(begunAt)
	return result, nil
}

// commitEnds commits the ends of runs on a worker. It reports whether the commit
// succeeded.
func (l *Leadership) commitEnds(worker string, ends []batch.End) bool {
	if len(ends) == 0 {
		return true
	}
	atMS := l.cfg.TimeOfDayMS()
	l.failures.add(worker, ends, atMS) // the next plan may follow the commit at once
	_, err := l.propose(&batch.Command{Ends: &batch.Ends{Ends: ends, AtMS: atMS}})
	if err != nil {
		if l.ctx.Err() == nil {
			l.log.Error(err, "ends could not be committed; the worker will report them again", "ends", len(ends))
		}
		return false
	}
	for i := range ends {
		e := &ends[i]
		telemetry.CountBy("teaselpaddle_runs_ended_total", "how", e.How.String())
		l.log.Info("run ended", "job", e.Unit.Job, "unit", e.Unit, "run", e.Run, "how", e.How.String(), "worker", worker)
	}
	l.logConcludedJobs(ends, atMS)
	return true
}

// logConcludedJobs logs the jobs that were concluded by the given ends, which were
// committed with the time atMS.
func (l *Leadership) logConcludedJobs(ends []batch.End, atMS int64) {
	logged := map[string]bool{}
	l.cfg.Machine.View(func(v *batch.View) {
		for i := range ends {
			id := ends[i].Unit.Job
			j := v.Job(id, "")
			if j == nil || logged[id] || !j.State.Final() || j.EndedMS != atMS {
				continue
			}
			logged[id] = true
			telemetry.CountBy("teaselpaddle_jobs_concluded_total", "state", j.State.String())
			l.log.Info("job concluded", "job", id, "state", j.State.String(), "queue", j.Queue, "customer", v.CustomerName(j.Customer),
				"afterMS", atMS-j.AcceptedMS, "failedRuns", failedRuns(j), "failedBy", j.FailedBy.String())
			if j.FailedBy != batch.NotFailed {
				telemetry.CountBy("teaselpaddle_jobs_failed_total", "cause", j.FailedBy.String())
			}
		}
	})
}

func failedRuns(j *batch.Job) int {
	n := 0
	for gi := range j.UnitGroups {
		for i := range j.UnitGroups[gi].Units {
			n += j.UnitGroups[gi].Units[i].Failed
		}
	}
	return n
}
