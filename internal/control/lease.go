package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// renewalsPerLease is how often a lease is renewed in its time, so that two
// lost renewals do not end it.
const renewalsPerLease = 4

// takeoverMargin is added to the lease of a task that an earlier leader
// started: that leader may have renewed it until its check-quorum timeout made
// it step down, at most 2 s after this leader was elected.
const takeoverMargin = 2 * time.Second

// contact is the last clock reading of a worker process. A start or renew
// echoes it, so the lease granted ends one lease time after received at the
// latest, however long the message takes.
type contact struct {
	incarnation uint64
	clock       int64
	received    time.Time
}

// contacts holds the last contact by worker; mu guards last.
type contacts struct {
	mu   sync.Mutex
	last map[string]contact
}

func newContacts() *contacts { return &contacts{last: map[string]contact{}} }

// note records a worker's reply.
func (c *contacts) note(worker string, r *workerapi.Reply, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.last[worker]
	if old.incarnation == r.Incarnation && r.Clock <= old.clock {
		return
	}
	c.last[worker] = contact{r.Incarnation, r.Clock, now}
}

// grant sets the echo of a start or renew and returns the end of the lease that
// it grants.
func (c *contacts) grant(worker string, cmd *workerapi.Command, lease time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.last[worker]
	cmd.LeaseSeconds = lease.Seconds()
	if last.received.IsZero() {
		return time.Time{}
	}
	cmd.Echo = last.clock
	cmd.EchoIncarnation = last.incarnation
	return last.received.Add(lease)
}

// renewLeases extends the leases of all attempts of this term, with one message
// per worker.
func (c *Controller) renewLeases(ctx context.Context, term uint64) {
	for ctx.Err() == nil && c.Group.Status().Leads {
		var wg sync.WaitGroup
		for worker, list := range c.leases() {
			wg.Go(func() { c.renew(ctx, term, worker, list) })
		}
		wg.Wait()
		sleep(ctx, c.Lease/renewalsPerLease)
	}
}

// leaseRef is one task that holds a lease.
type leaseRef struct {
	a *attempt
	t *task
}

// leases returns the reserved and started tasks by worker.
func (c *Controller) leases() map[string][]leaseRef {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string][]leaseRef{}
	for _, a := range c.attempts {
		for _, t := range a.tasks {
			out[t.place.Worker] = append(out[t.place.Worker], leaseRef{a, t})
		}
	}
	return out
}

func (c *Controller) renew(ctx context.Context, term uint64, worker string, list []leaseRef) {
	e, ok := c.Board.Get(worker)
	if !ok {
		return
	}
	cmd := &workerapi.Command{Op: workerapi.Renew, Number: c.number.Add(1), Zone: c.Zone, Term: term}
	until := c.contacts.grant(worker, cmd, c.Lease)
	for _, l := range list {
		if !l.a.renewable() {
			continue
		}
		cmd.Fences = append(cmd.Fences, l.a.fence)
		l.a.granted(l.t, until)
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
	c.contacts.note(worker, r, time.Now())
	for _, l := range list {
		if slices.Contains(r.Unknown, l.a.fence) {
			l.a.forgotten(l.t)
		}
	}
}

// renewable is false once the attempt is being stopped, so that the leases of
// silent workers run out.
func (a *attempt) renewable() bool { return !a.stopping.Load() }

// granted notes that a message with a lease until the given time was sent.
func (a *attempt) granted(t *task, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if until.After(t.leaseEnd) {
		t.leaseEnd = until
	}
}

// forgotten notes that the worker does not know a task that it had started: its
// process has restarted.
func (a *attempt) forgotten(t *task) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.started {
		t.state = workerapi.TaskAbsent
	}
}
