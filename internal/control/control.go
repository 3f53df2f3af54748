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
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Times of the controllers.
const (
	leaderPoll      = 50 * time.Millisecond  // how often the leadership is checked
	placementPeriod = 200 * time.Millisecond // placement runs at least this often
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

// place runs one decision and applies its plan.
func (c *Controller) place(ctx context.Context) {
	cfg := c.Machine.Config()
	if cfg == nil {
		return
	}
	c.concludeLate(ctx, time.Now())
	plan := c.Decide(c.snapshot(cfg, time.Now()))
	for i := range plan.Rejections {
		r := &plan.Rejections[i]
		c.Log.Info("job concluded", "job", r.ID, "zone", c.Zone, "reason", r.Reason)
		telemetry.Refused(r.Reason)
		c.propose(ctx, &jobs.Command{Kind: jobs.KindConclude, ID: r.ID, Reason: r.Reason})
	}
	for i := range plan.Preemptions {
		c.preempt(&plan.Preemptions[i])
	}
	for i := range plan.Starts {
		s := &plan.Starts[i]
		c.propose(ctx, &jobs.Command{
			Kind: jobs.KindIntend, ID: s.ID,
			Intend: &jobs.Intend{Placement: s.Placement, Borrowed: s.Borrowed, Claim: s.Claim},
		})
	}
	for i := range plan.Actions {
		c.act(&plan.Actions[i])
	}
	c.reportShortfalls(plan.Shortfalls)
}

// concludeLate gives queued jobs whose deadline has passed their final answer.
func (c *Controller) concludeLate(ctx context.Context, now time.Time) {
	for _, j := range c.Machine.Active() {
		if j.State == model.Queued && !j.Spec.Deadline.IsZero() && now.After(j.Spec.Deadline) {
			c.Log.Info("job concluded", "job", j.ID, "customer", j.Spec.Customer, "reason", model.ReasonDeadlinePassed)
			telemetry.Refused(model.ReasonDeadlinePassed)
			c.propose(ctx, &jobs.Command{Kind: jobs.KindConclude, ID: j.ID, Reason: model.ReasonDeadlinePassed})
		}
	}
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
