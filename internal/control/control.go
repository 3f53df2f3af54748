// Package control holds the controllers that run while this instance leads its
// availability zone's replica group. They place jobs, drive their attempts and
// renew the leases of their tasks.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Periods and timeouts of the controllers.
const (
	leaderPollPeriod = 50 * time.Millisecond  // interval of the leadership check
	placementPeriod  = 200 * time.Millisecond // longest interval between placements
	// proposeTimeout bounds the wait for one command, so that a leader that has
	// lost its quorum notices that it was deposed. A command that times out may
	// still be applied later; the state machine refuses commands that no longer
	// match the state.
	proposeTimeout = 5 * time.Second
	// expirePeriod is the interval at which results past their retention time
	// are dropped.
	expirePeriod = time.Hour
	// workerSilenceTimeout is the time since its last announcement after which
	// a worker gets no new work. It covers three announcements, which workers
	// send every 2 s.
	workerSilenceTimeout = 6 * time.Second
)

// Controller runs the controllers of one availability zone.
type Controller struct {
	Zone    string
	Group   replica.Group
	Machine *jobs.Machine
	Board   *blackboard.Board
	Client  workerapi.Client
	Decide  func(*sched.Snapshot) sched.Plan
	Lease   time.Duration
	Log     logr.Logger
	// ConfigConfirmed returns when a configuration voter last confirmed that
	// this leader's configuration is the newest. If it is nil, placement never
	// waits for a confirmation.
	ConfigConfirmed func() time.Time

	lastCommandNumber atomic.Uint64 // number of the last command sent to a worker

	health        workerHealth
	estimates     runTimeEstimates
	usage         usageTable
	missingShapes int            // guaranteed shapes that lacked healthy workers at the last report
	lastDecision  time.Time      // time of the last scheduling decision
	holdSince     time.Time      // start of a term won by a recovery election; zero once placement may proceed
	clockReadings *clockReadings // of the current term

	mu       sync.Mutex // guards attempts
	attempts map[model.JobID]*attempt
}

// Run runs the controllers whenever this instance leads the zone, until ctx
// ends.
func (c *Controller) Run(ctx context.Context) {
	c.Machine.Subscribe(c.health.observe)
	c.Machine.Subscribe(c.estimates.observe)
	c.Machine.Subscribe(c.usage.observe)
	go c.applySuspensions(ctx)
	for ctx.Err() == nil {
		if st := c.Group.Status(); st.Leads {
			c.lead(ctx, st.Term)
		}
		sleep(ctx, leaderPollPeriod)
	}
}

// lead runs the controllers for one term.
func (c *Controller) lead(ctx context.Context, term uint64) {
	c.Log.Info("leading the zone", "zone", c.Zone, "term", term)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	c.mu.Lock()
	c.attempts = map[model.JobID]*attempt{}
	c.clockReadings = newClockReadings()
	c.mu.Unlock()
	c.holdAfterRecovery(term)
	wg.Go(func() { c.renewLeases(ctx, term) })
	wg.Go(func() { c.expireResults(ctx) })
	for {
		st := c.Group.Status()
		if ctx.Err() != nil || !st.Leads || st.Term != term {
			c.Log.Info("no longer leading the zone", "zone", c.Zone, "term", term)
			return
		}
		jobsChanged := c.Machine.Changed()
		boardChanged := c.Board.Changed()
		c.place(ctx)
		c.startDrivers(ctx, term, &wg)
		select {
		case <-ctx.Done():
		case <-jobsChanged:
		case <-boardChanged:
		case <-time.After(placementPeriod):
		}
	}
}

// startDrivers starts a driver for each active attempt that has none.
func (c *Controller) startDrivers(ctx context.Context, term uint64, wg *sync.WaitGroup) {
	for _, j := range c.Machine.Active() {
		if j.Attempt == nil {
			continue
		}
		a := c.newDriver(j, term)
		if a == nil {
			continue
		}
		wg.Go(func() {
			a.drive(ctx)
			c.mu.Lock()
			if c.attempts[a.job] == a {
				delete(c.attempts, a.job)
			}
			c.mu.Unlock()
		})
	}
}

// newDriver registers and returns a driver for the job's attempt, or returns
// nil if the job has one.
func (c *Controller) newDriver(j *model.Job, term uint64) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.attempts[j.ID]; old != nil {
		return nil
	}
	a := newAttempt(c, j, term)
	c.attempts[j.ID] = a
	return a
}

// expireResults periodically proposes to drop results past their retention
// time.
func (c *Controller) expireResults(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, expirePeriod)
		c.propose(ctx, &jobs.Command{Kind: jobs.KindExpire})
	}
}

// propose replicates a command and reports whether it was committed and
// accepted by the state machine.
func (c *Controller) propose(ctx context.Context, cmd *jobs.Command) bool {
	cmd.At = time.Now().UTC()
	entry, err := cmd.Encode()
	if err != nil {
		c.Log.Error(err, "command cannot be encoded", "job", cmd.ID)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, err := c.Group.Propose(ctx, entry)
	if err != nil {
		c.Log.V(1).Info("command not committed", "job", cmd.ID, "error", err.Error())
		return false
	}
	res, ok := out.(*jobs.Result)
	if !ok || res.Refusal != nil {
		if ok {
			c.Log.V(1).Info("command refused", "job", cmd.ID, "reason", res.Refusal.Reason)
		}
		return false
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
