//go:build prove

package prove

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/load"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/standin"
)

// diskInstance returns the instance with a disk in a zone.
func (c *cluster) diskInstance(zone string) *daemon {
	for _, d := range c.daemonsIn(zone) {
		if d.Disk {
			return d
		}
	}
	c.run.fatalf("zone %s has no instance with a disk", zone)
	return nil
}

// lostDiskThenSecondLoss wipes a zone's only disk and kills a second instance of the
// zone as soon as the first one is ready again.
func lostDiskThenSecondLoss(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	b := r.newJobBatch()
	b.submitMix("whole", 30, 2*time.Second)
	d := r.diskInstance(zone)
	d.kill()
	if err := os.RemoveAll(d.dataFolder); err != nil {
		r.fatalf("remove the data folder: %v", err)
	}
	b.submitMix("lost", 20, 2*time.Second)
	r.restart(d)
	second := r.follower(zone)
	for second == d {
		second = r.follower(zone)
	}
	second.kill()
	b.submitMix("second", 40, 4*time.Second)
	r.restart(second)
	b.checkAgainstJournals(load.Checker{})
	b.requireDone("repeatable job was not done", isRepeatable)
	r.requireKnown(b, d)
}

// diskDownAnswerLimit bounds the time in which a zone answers every request while its
// instance with a disk is down: an election takes at most 2 s and a call 4 s.
const diskDownAnswerLimit = 10 * time.Second

// diskInstanceDown kills the instance with the zone's only disk. The zone keeps running
// repeatable jobs and answers each of them within diskDownAnswerLimit. It refuses each
// submission of a not-repeatable job within the same time, and runs the job at most once
// when the instance is back.
func diskInstanceDown(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	b := r.newJobBatch()
	b.submitMix("warm", 20, time.Second)
	r.diskInstance(zone).kill()
	r.sleep(leaderDownTime)
	for i := range 20 {
		b.submit(i, withKeyOwnedBy(zone, r.mixedSpec("down", 2*i)))
		r.sleep(50 * time.Millisecond)
	}
	var refused []model.JobSpec
	for i := range 10 {
		s := withKeyOwnedBy(zone, r.mixedSpec("once", 2*i+1))
		s.Repeatable = false
		r.requireRefusedInTime(b.caller, i, &s)
		refused = append(refused, s)
	}
	answered := make(chan struct{})
	go func() {
		b.wg.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(diskDownAnswerLimit):
		r.failf("zone %s did not answer every request while its instance with a disk was down", zone)
	}
	r.restart(r.diskInstance(zone))
	<-answered
	for i, s := range refused {
		b.submit(i, s)
	}
	b.wg.Wait()
	b.checkAgainstJournals(load.Checker{})
	b.requireDone("repeatable job was not done", isRepeatable)
}

// requireRefusedInTime submits a job once, through the first entry instance from the i-th
// on that can be reached, and checks that it is refused within diskDownAnswerLimit.
func (r *run) requireRefusedInTime(c *load.Caller, i int, s *model.JobSpec) {
	began := time.Now()
	for range c.Entries {
		_, err := c.Submit(r.ctx, c.Entries[i%len(c.Entries)], s)
		i++
		var refusal *load.Problem
		var dial *net.OpError
		switch {
		case errors.As(err, &refusal):
			if took := time.Since(began); took > diskDownAnswerLimit {
				r.failf("job %s was refused after %s", s.Key, took)
			}
			return
		case errors.As(err, &dial) && dial.Op == "dial":
			continue // the instance that is down
		}
		r.failf("job %s was not refused while no disk could hold it: %v", s.Key, err)
		return
	}
	r.failf("no entry instance could be reached")
}

// requireKnown checks that an instance still returns every job that got a final
// answer, with the same state.
func (r *run) requireKnown(b *jobBatch, d *daemon) {
	for _, o := range b.outcomes {
		a := o.Answer()
		if a == nil {
			continue
		}
		status, raw := get(d, "/v1/jobs/"+string(a.ID))
		if status != http.StatusOK || !strings.Contains(string(raw), fmt.Sprintf(`"state":%q`, a.State)) {
			r.failf("job %s was answered as %s, but %s now answers with status %d: %.80s", a.ID, a.State, d.Name, status, raw)
		}
	}
}

// allProcessesOfZoneDie kills all daemons of a zone at the same time and starts them
// again.
func allProcessesOfZoneDie(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	b := r.newJobBatch()
	for i := range 40 {
		b.submit(i, withKeyOwnedBy(zone, r.mixedSpec("dies", i)))
		r.sleep(50 * time.Millisecond)
	}
	for _, d := range r.daemonsIn(zone) {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range r.daemonsIn(zone) {
		d.kill()
	}
	b.submitMix("while", 10, time.Second)
	for _, d := range r.daemonsIn(zone) {
		r.startDaemon(d)
	}
	for _, d := range r.daemonsIn(zone) {
		r.waitReady(d)
	}
	b.submitMix("again", 20, time.Second)
	b.checkAgainstJournals(load.Checker{AllowReruns: true})
	b.requireDone("repeatable job was not done", isRepeatable)
	r.requireKnown(b, r.daemonsIn(zone)[0])
}

// reclaimLimit bounds the time in which a guaranteed job starts: the checkpoint bound
// of the policy in testdata (5 s), one stop and one start.
const reclaimLimit = 5*time.Second + 5*time.Second

// guaranteeReclaim lets borrowers without a guarantee fill a zone. The holder of the
// guarantee gets its accelerators within reclaimLimit, and at least one
// borrower takes a checkpoint.
func guaranteeReclaim(r *run) {
	const zone = "amman-1"
	b := r.newJobBatch()
	for i := range 16 {
		s := r.mixedSpec("borrow", 0)
		s.Customer, s.Key = "workshop-irbid", fmt.Sprintf("borrow-%d-%d", r.seed, i)
		s.Repeatable, s.Accelerators, s.Payload = true, 2, "never-end"
		b.submit(i, withKeyOwnedBy(zone, s))
	}
	r.waitUntil("borrowers fill the zone", 15*time.Second, func() bool { return b.countEvents(standin.EventStart) >= 16 })
	r.sleep(500 * time.Millisecond)
	holder := r.newJobBatch()
	s := r.mixedSpec("holder", 3)
	s.Customer, s.Accelerators, s.Repeatable, s.Payload = "ministry-of-works", 4, false, "sleep=200ms"
	start := time.Now()
	holder.submit(0, withKeyOwnedBy(zone, s))
	r.waitUntil("start of the guaranteed gang", reclaimLimit, func() bool { return holder.countEvents(standin.EventStart) >= 4 })
	r.addFigure("started_after", time.Since(start).Round(time.Millisecond))
	holder.wait()
	holder.requireDone("guaranteed job was not done", nil)
	r.addFigure("checkpoints", b.countEvents(standin.EventCheckpoint))
	if b.countEvents(standin.EventCheckpoint) == 0 {
		r.failf("no borrower was asked for a checkpoint")
	}
	for i, o := range b.outcomes {
		go b.caller.CancelUntilAnswered(r.ctx, i, &o.Spec)
	}
	b.wait()
	b.outcomes = append(b.outcomes, holder.outcomes...)
	b.checkAgainstJournals(load.Checker{})
}

// fault is one kind of fault of the random proof. inject returns a function that
// ends the fault.
type fault struct {
	name   string
	inject func(r *run, zone string) (restore func())
}

// injectableFaults are the faults among which randomFaults chooses.
var injectableFaults = []fault{
	{"kill-leader", func(r *run, zone string) func() { return r.killAndReturnRestart(r.waitForLeader(zone, nil)) }},
	{"kill-follower", func(r *run, zone string) func() { return r.killAndReturnRestart(r.follower(zone)) }},
	{"freeze-leader", func(r *run, zone string) func() {
		l := r.waitForLeader(zone, nil)
		l.signal(syscall.SIGSTOP)
		return func() { l.signal(syscall.SIGCONT) }
	}},
	{"cut-zone", func(r *run, zone string) func() {
		r.cutZone(zone)
		return r.heal
	}},
	{"one-way", func(r *run, zone string) func() {
		l := r.waitForLeader(zone, nil)
		for _, d := range r.daemonsIn(zone) {
			if d != l {
				r.cut(l, d)
			}
		}
		return r.heal
	}},
	{"lose-answers", func(r *run, zone string) func() {
		r.setFaults(r.workersIn(zone), standin.Faults{LoseAnswers: 10, DoubleReports: true, ReorderReports: true})
		return func() { r.setFaults(r.workersIn(zone), standin.Faults{}) }
	}},
	{"silence", func(r *run, zone string) func() {
		r.setFaults(r.workersIn(zone), standin.Faults{SilenceOpen: true})
		return func() {}
	}},
	{"kill-worker", func(r *run, zone string) func() {
		w := r.workersIn(zone)[r.rng.IntN(len(r.workersIn(zone)))]
		w.kill()
		return func() { r.startWorker(w) }
	}},
}

// killAndReturnRestart kills an instance and returns a function that restarts it.
func (r *run) killAndReturnRestart(d *daemon) func() {
	d.kill()
	return func() { r.restart(d) }
}

// randomFaults injects two faults of random kinds in random zones and at random
// times, all determined by the seed.
func randomFaults(r *run) {
	b := r.newJobBatch()
	b.submitMix("quiet", 20, time.Second)
	var restores []func()
	for i := range 2 {
		f := injectableFaults[r.rng.IntN(len(injectableFaults))]
		zone := zones[r.rng.IntN(len(zones))]
		r.addFigure(fmt.Sprintf("fault%d", i+1), f.name+"@"+zone)
		restores = append(restores, f.inject(r, zone))
		b.submitMix(fmt.Sprintf("fault%d", i), 40, time.Duration(500+r.rng.IntN(3500))*time.Millisecond)
	}
	for _, restore := range restores {
		restore()
	}
	b.submitMix("after", 30, 2*time.Second)
	b.checkAgainstJournals(load.Checker{AllowReruns: true})
	for _, o := range b.outcomes {
		if o.Spec.Repeatable && o.State() != model.Done {
			r.failf("repeatable job was not done: %s", o)
		}
	}
}
