package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// renewalsPerLease is how often a lease is renewed in its time, so that two
// lost renewals do not end it.
const renewalsPerLease = 4

// renewLeases extends the leases of all attempts of this term, with one message
// per worker.
func (c *Controller) renewLeases(ctx context.Context, term uint64) {
	for ctx.Err() == nil {
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

// leases returns the started tasks by worker.
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
	cmd := &workerapi.Command{
		Op: workerapi.Renew, Number: c.number.Add(1), Zone: c.Zone, Term: term,
		LeaseSeconds: c.Lease.Seconds(),
	}
	for _, l := range list {
		cmd.Fences = append(cmd.Fences, l.a.fence)
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	r, err := c.Client.Do(ctx, e.Worker.Address, cmd)
	if err != nil || r.Refused != "" {
		return
	}
	for _, l := range list {
		l.a.renewed(l.t, sent, slices.Contains(r.Unknown, l.a.fence))
	}
}

// renewed notes a renewal. A worker that does not know the fencing number of a
// started task has restarted.
func (a *attempt) renewed(t *task, sent time.Time, unknown bool) {
	j := a.current()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !unknown {
		t.lastContact = sent
		return
	}
	if j != nil && j.Attempt.Phase == model.PhaseRun {
		t.state = workerapi.TaskAbsent
	}
}
