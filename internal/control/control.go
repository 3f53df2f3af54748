// Package control holds the controllers that act while this instance leads its
// availability zone's group: placement, attempts and leases.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/health"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/sched"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Times of the controllers.
const (
	leaderPoll      = 50 * time.Millisecond  // how often the leadership is checked
	placementPeriod = 200 * time.Millisecond // placement runs at least this often
	// proposeTimeout bounds the wait for one command, so that a leader whose quorum
	// is gone notices that it was deposed. A command that ends this way may still be
	// applied; the state machine refuses what no longer fits.
	proposeTimeout = 5 * time.Second
	// expirePeriod is how often results past their retention time are dropped.
	expirePeriod = time.Hour
	// workerSilence is the time after the last announcement from which a worker
	// takes no new work: three announcements of 2 s.
	workerSilence = 6 * time.Second
)

// Controller runs the controllers of one zone.
type Controller struct {
	Zone    string
	Group   replica.Group
	Machine *jobs.Machine
	Board   *blackboard.Board
	Client  workerapi.Client
	Decide  func(*sched.Snapshot) sched.Plan
	Lease   time.Duration
	Log     logr.Logger

	number atomic.Uint64 // last operation number

	health   workerHealth
	learned  estimates
	usage    usageTable
	short    int       // guaranteed shapes that were missing at the last report
	decided  time.Time // when the last decision was made
	contacts *contacts // of the present term

	mu       sync.Mutex // guards attempts
	attempts map[model.JobID]*attempt
}

// Run acts whenever this instance leads, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.health.tracker = health.New()
	c.Machine.Subscribe(c.health.observe)
	c.Machine.Subscribe(c.learned.observe)
	c.Machine.Subscribe(c.usage.observe)
	go c.applySuspensions(ctx)
	for ctx.Err() == nil {
		if st := c.Group.Status(); st.Leads {
			c.lead(ctx, st.Term)
		}
		sleep(ctx, leaderPoll)
	}
}

// lead acts for one term.
func (c *Controller) lead(ctx context.Context, term uint64) {
	c.Log.Info("leading the zone", "zone", c.Zone, "term", term)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	c.mu.Lock()
	c.attempts = map[model.JobID]*attempt{}
	c.contacts = newContacts()
	c.mu.Unlock()
	wg.Go(func() { c.renewLeases(ctx, term) })
	wg.Go(func() { c.expire(ctx) })
	for {
		st := c.Group.Status()
		if ctx.Err() != nil || !st.Leads || st.Term != term {
			c.Log.Info("no longer leading the zone", "zone", c.Zone, "term", term)
			return
		}
		jobsChanged := c.Machine.Changed()
		boardChanged := c.Board.Changed()
		c.place(ctx)
		c.follow(ctx, term, &wg)
		select {
		case <-ctx.Done():
		case <-jobsChanged:
		case <-boardChanged:
		case <-time.After(placementPeriod):
		}
	}
}

// follow starts a driver for each active attempt that has none.
func (c *Controller) follow(ctx context.Context, term uint64, wg *sync.WaitGroup) {
	for _, j := range c.Machine.Active() {
		if j.Attempt == nil {
			continue
		}
		a := c.adopt(j, term)
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

// adopt returns a new driver, or nil if the attempt has one.
func (c *Controller) adopt(j *model.Job, term uint64) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.attempts[j.ID]; old != nil {
		return nil
	}
	a := newAttempt(c, j, term)
	c.attempts[j.ID] = a
	return a
}

// expire drops results past their retention time.
func (c *Controller) expire(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, expirePeriod)
		c.propose(ctx, &jobs.Command{Kind: jobs.KindExpire})
	}
}

// propose replicates a command. It reports whether the command was applied and
// accepted.
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
