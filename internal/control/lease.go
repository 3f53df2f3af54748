package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// renewalsPerLease is the number of renewals in one lease time, so that a lease
// survives two lost renewals.
const renewalsPerLease = 4

// takeoverMargin is added to the lease of a task that an earlier leader
// started. That leader may have renewed the lease until its check-quorum
// timeout made it step down, at most 2 s after this leader was elected.
const takeoverMargin = 2 * time.Second

// clockReading is the latest clock value received from a worker process. A
// start or renew command echoes it, so the granted lease ends at most one lease
// time after received, however long the command is in transit.
type clockReading struct {
	incarnation uint64
	clock       int64
	received    time.Time
}

// clockReadings holds the latest clock reading of each worker; mu guards
// latest.
type clockReadings struct {
	mu     sync.Mutex
	latest map[string]clockReading
}

func newClockReadings() *clockReadings { return &clockReadings{latest: map[string]clockReading{}} }

// record stores the clock value of a worker's reply. Replies that arrive out of
// order are ignored.
func (c *clockReadings) record(worker string, r *workerapi.Reply, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.latest[worker]
	if old.incarnation == r.Incarnation && r.Clock <= old.clock {
		return
	}
	c.latest[worker] = clockReading{r.Incarnation, r.Clock, now}
}

// grantLease sets the lease time and the echoed clock value of a start or renew
// command and returns the latest end of the lease that it grants. It returns
// the zero time if no reply of the worker is known; the command then carries no
// echo.
func (c *clockReadings) grantLease(worker string, cmd *workerapi.Command, lease time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := c.latest[worker]
	cmd.LeaseSeconds = lease.Seconds()
	if latest.received.IsZero() {
		return time.Time{}
	}
	cmd.Echo = latest.clock
	cmd.EchoIncarnation = latest.incarnation
	return latest.received.Add(lease)
}

// renewLeases periodically extends the leases of all attempts of this term,
// with one command per worker.
func (c *Controller) renewLeases(ctx context.Context, term uint64) {
	for ctx.Err() == nil && c.Group.Status().Leads {
		var wg sync.WaitGroup
		for worker, leases := range c.leasesByWorker() {
			wg.Go(func() { c.renewOnWorker(ctx, term, worker, leases) })
		}
		wg.Wait()
		sleep(ctx, c.Lease/renewalsPerLease)
	}
}

// leaseRef names one task that holds a lease, and its attempt.
type leaseRef struct {
	attempt *attempt
	task    *task
}

// leasesByWorker returns the tasks of all attempts, grouped by worker.
func (c *Controller) leasesByWorker() map[string][]leaseRef {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string][]leaseRef{}
	for _, a := range c.attempts {
		for _, t := range a.tasks {
			out[t.placement.Worker] = append(out[t.placement.Worker], leaseRef{a, t})
		}
	}
	return out
}

func (c *Controller) renewOnWorker(ctx context.Context, term uint64, worker string, leases []leaseRef) {
	e, ok := c.Board.Get(worker)
	if !ok {
		return
	}
	cmd := &workerapi.Command{Op: workerapi.Renew, Number: c.lastCommandNumber.Add(1), Zone: c.Zone, Term: term}
	leaseEnd := c.clockReadings.grantLease(worker, cmd, c.Lease)
	for _, l := range leases {
		if !l.attempt.renewable() {
			continue
		}
		cmd.Fences = append(cmd.Fences, l.attempt.fence)
		l.attempt.extendLease(l.task, leaseEnd)
	}
	if len(cmd.Fences) == 0 {
		return
	}
	slices.Sort(cmd.Fences)
	cmd.Fences = slices.Compact(cmd.Fences)
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	r, err := c.Client.Do(ctx, e.Worker.Address, cmd)
	if err != nil || r.Refused != "" {
		return
	}
	c.clockReadings.record(worker, r, time.Now())
	for _, l := range leases {
		if slices.Contains(r.Unknown, l.attempt.fence) {
			l.attempt.markAbsent(l.task)
		}
	}
}

// renewable reports whether the attempt's leases are renewed. They are not once
// the attempt is being stopped, so that the leases on workers that do not
// answer expire.
func (a *attempt) renewable() bool { return !a.stopping.Load() }

// extendLease records the end of a lease before the command that grants it is
// sent.
func (a *attempt) extendLease(t *task, end time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
}

// markAbsent records that the worker no longer knows a task that it had
// started, because its process has restarted.
func (a *attempt) markAbsent(t *task) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.started {
		t.state = workerapi.TaskAbsent
	}
}
