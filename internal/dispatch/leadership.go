// Package dispatch drives the workers of a region on behalf of the group's
// leader: it holds their leases, starts and stops runs, commits their ends, and
// carries out the plans of internal/sched/place.
//
// A Leadership is one leader's time under one epoch. Its agents, one a worker, read
// the committed state and write what they learn to their own locked state, which
// the planner reads. Nothing starts before its record is committed, and a worker
// forgets an end only after the end is committed.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Config sets up a Leadership.
type Config struct {
	Machine *batch.Machine
	Group   replica.Group
	Client  workerapi.UnitClient
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	Log      logr.Logger
	Epoch    uint64
	// Beats are the times at which the workers' announcements were last seen.
	Beats *Beats
	// MaxWaits is the number of holds that may wait for an end at the same time: each
	// keeps a connection. 0 is no limit.
	MaxWaits int
	// Now returns the time; tests change it.
	Now func() time.Time
}

// proposeTimeout bounds the wait for one commit. A healthy group commits within
// milliseconds; a leader without a majority steps down within about 2 s.
const proposeTimeout = 3 * time.Second

// epochGauge is the epoch under which this instance leads, and 0 while it does not.
var epochGauge = metrics.GetOrCreateGauge("teaselpaddle_leading_epoch", nil)

var commitTime = metrics.GetOrCreateHistogram("teaselpaddle_commit_seconds")

// Leadership is a leader's time under one epoch.
type Leadership struct {
	cfg     Config
	log     logr.Logger
	began   time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	wake    chan struct{}
	planner planner
	waits   chan struct{} // a slot for each hold that waits; nil without a limit

	mu     sync.Mutex // guards agents
	agents map[string]*agent
}

// Open begins to drive the workers. Close ends it.
func Open(cfg Config) *Leadership {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &Leadership{
		cfg: cfg, log: cfg.Log.WithName("dispatch").WithValues("epoch", cfg.Epoch), began: cfg.Now(),
		ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), agents: map[string]*agent{},
	}
	o.planner.o = o
	if cfg.MaxWaits > 0 {
		o.waits = make(chan struct{}, cfg.MaxWaits)
	}
	epochGauge.Set(float64(cfg.Epoch))
	o.log.Info("leadership begun")
	o.Wake()
	o.wg.Add(1)
	go o.run()
	return o
}

// Close stops driving the workers. Runs go on under their leases.
func (o *Leadership) Close() {
	o.cancel()
	o.wg.Wait()
	epochGauge.Set(0)
	o.log.Info("leadership ended")
}

// Wake asks for a new plan. It does not block.
func (o *Leadership) Wake() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// takeWait takes a slot for a hold that waits. It returns false if there is none.
func (o *Leadership) takeWait() bool {
	if o.waits == nil {
		return true
	}
	select {
	case o.waits <- struct{}{}:
		return true
	default:
		return false
	}
}

func (o *Leadership) giveWait() {
	if o.waits != nil {
		<-o.waits
	}
}

// Plans are made at most every planInterval, so that a burst of commits costs
// one plan, and at least every idleInterval for what depends on time alone.
const (
	planInterval = 10 * time.Millisecond
	idleInterval = 200 * time.Millisecond
	// planShare bounds the share of time spent on plans to about a fifth.
	planShare = 4
)

func (o *Leadership) run() {
	defer o.wg.Done()
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.wake:
		case <-idle.C:
		}
		o.syncAgents()
		o.planner.pass()
		if !retry.Sleep(o.ctx, max(planInterval, planShare*o.planner.took)) {
			return
		}
	}
}

// syncAgents starts an agent for each recorded worker and ends the agents of
// workers that are gone or live another life.
func (o *Leadership) syncAgents() {
	now := map[string]batch.Worker{}
	o.cfg.Machine.View(func(v *batch.View) {
		for id, w := range v.Workers() {
			now[id] = *w
		}
	})
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, a := range o.agents {
		w, ok := now[id]
		if ok && w.Life == a.rec().Life && w.Address == a.rec().Address {
			a.update(w)
			continue
		}
		a.cancel()
		delete(o.agents, id)
		if ok {
			o.agents[id] = o.newAgent(w, a.unanswered())
		}
	}
	for id, w := range now {
		if o.agents[id] == nil {
			o.agents[id] = o.newAgent(w, nil)
		}
	}
}

func (o *Leadership) agent(id string) *agent {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.agents[id]
}

// propose commits a command of this leader.
func (o *Leadership) propose(c *batch.Command) (any, error) {
	c.Epoch = o.cfg.Epoch
	entry, err := codec.Marshal(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(o.ctx, proposeTimeout)
	defer cancel()
	began := time.Now()
	result, err := o.cfg.Group.Propose(ctx, entry)
	if err != nil {
		return nil, errors.Trace(err)
	}
	commitTime.UpdateDuration(began)
	if failed, ok := result.(error); ok {
		return nil, failed
	}
	return result, nil
}

// commitEnds records ends of runs on a worker. It reports whether they are
// committed.
func (o *Leadership) commitEnds(worker string, ends []batch.End) bool {
	if len(ends) == 0 {
		return true
	}
	atMS := o.cfg.Now().UnixMilli()
	_, err := o.propose(&batch.Command{Ends: &batch.Ends{Ends: ends, AtMS: atMS}})
	if err != nil {
		if o.ctx.Err() == nil {
			o.log.Error(err, "ends could not be committed; they are reported again", "ends", len(ends))
		}
		return false
	}
	for i := range ends {
		e := &ends[i]
		telemetry.Count("teaselpaddle_runs_ended_total{how=\"" + e.How.String() + "\"}")
		o.log.Info("run ended", "job", e.Unit.Job, "unit", e.Unit, "run", e.Run, "how", e.How.String(), "worker", worker)
	}
	o.noteConcluded(ends, atMS)
	return true
}

// noteConcluded logs the jobs that the ends committed at a time have concluded.
func (o *Leadership) noteConcluded(ends []batch.End, atMS int64) {
	seen := map[string]bool{}
	o.cfg.Machine.View(func(v *batch.View) {
		for i := range ends {
			id := ends[i].Unit.Job
			j := v.Job(id, "")
			if j == nil || seen[id] || !j.State.Final() || j.EndedMS != atMS {
				continue
			}
			seen[id] = true
			telemetry.Count("teaselpaddle_jobs_concluded_total{state=\"" + j.State.String() + "\"}")
			o.log.Info("job concluded", "job", id, "state", j.State.String(), "queue", j.Queue, "customer", j.Customer,
				"afterMS", atMS-j.AcceptedMS, "failedRuns", failedRuns(j))
		}
	})
}

func failedRuns(j *batch.Job) int {
	n := 0
	for gi := range j.Groups {
		for i := range j.Groups[gi].Units {
			n += j.Groups[gi].Units[i].Failed
		}
	}
	return n
}
