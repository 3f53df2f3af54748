//go:build prove

package prove

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/load"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/standin"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// wholeAnswerUnderKill kills an entry instance, a leader and a follower under
// load; every job still gets its whole answer.
func wholeAnswerUnderKill(r *run) {
	b := r.newBatch()
	for round, choose := range []func(zone string) *daemon{r.anyInstance, r.leader, r.follower} {
		zone := zones[(round+int(r.seed))%len(zones)]
		b.sendMix(fmt.Sprintf("kill%d", round), 40, 2*time.Second)
		victim := choose(zone)
		victim.kill()
		b.sendMix(fmt.Sprintf("killed%d", round), 40, 3*time.Second)
		r.restart(victim)
	}
	b.check(load.Checker{})
	b.mustBeDone("repeatable job without its whole answer", repeatable)
}

func (c *cluster) anyInstance(zone string) *daemon {
	list := c.inZone(zone)
	return list[c.r.rng.IntN(len(list))]
}

// step is a step of a job during which the leader is killed.
type step struct {
	name   string
	faults standin.Faults
	after  standin.EventKind // the event that shows that the step was reached
}

// atMostOnce kills the leader at each step of not-repeatable jobs while answers
// of workers are lost.
func atMostOnce(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	one := func(op workerapi.Operation) []workerapi.Operation { return []workerapi.Operation{op} }
	b := r.newBatch()
	for _, s := range []step{
		{name: "accept"},
		{name: "reserve", faults: standin.Faults{Operations: one(workerapi.Reserve), LoseAnswers: 2, AnswerDelayMillis: 300}, after: standin.EventReserve},
		{name: "start", faults: standin.Faults{Operations: one(workerapi.Start), LoseAnswers: 2, AnswerDelayMillis: 300}, after: standin.EventStart},
		{name: "finish", faults: standin.Faults{WithholdReports: true}, after: standin.EventFinish},
		{name: "answer", faults: standin.Faults{DoubleReports: true, ReorderReports: true}, after: standin.EventFinish},
	} {
		r.setFaults(r.workersIn(zone), s.faults)
		part := r.newBatch()
		for i := range 8 {
			spec := r.mix("once-"+s.name, i)
			spec.Repeatable = false
			part.send(i, owned(zone, spec))
		}
		if s.after != "" {
			part.waitEvent(s.after, 10*time.Second)
		}
		if s.name == "answer" {
			r.sleep(200 * time.Millisecond)
		}
		old := r.leader(zone)
		if old == nil {
			r.fatalf("zone %s has no leader", zone)
		}
		old.kill()
		r.sleep(downTime)
		r.setFaults(r.workersIn(zone), standin.Faults{})
		r.restart(old)
		part.wait()
		b.outcomes = append(b.outcomes, part.outcomes...)
	}
	b.check(load.Checker{})
}

// downTime is how long a killed leader stays away: longer than an election.
const downTime = 2500 * time.Millisecond

// stopBound is the time in which the other members of a gang are stopped after
// the loss of one: its lease, a status period and one command.
func (c *cluster) stopBound() time.Duration {
	return time.Duration(c.o.leaseSeconds*float64(time.Second)) + 4*time.Second
}

// noPartialGang kills a worker that runs a member of a gang while there is room
// to run the gang again. The other members are stopped in a bounded time, no gang
// goes on in part, and only a repeatable one starts again.
func noPartialGang(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	for round, again := range []bool{true, false} {
		s := r.mix(fmt.Sprintf("gang%d", round), 3)
		s.Payload, s.Accelerators, s.Repeatable = "never-end", 4, again
		b := r.newBatch()
		o := b.send(0, owned(zone, s))
		r.until("start of all members", 15*time.Second, func() bool { return b.count(standin.EventStart) >= s.Tasks })
		r.sleep(time.Second)
		victim := r.runsMember(&o.Spec)
		killed := time.Now()
		victim.kill()
		r.sleep(r.stopBound())
		r.checkGangs(victim.name, killed)
		if again {
			r.until("second start of the repeatable gang", 10*time.Second, func() bool { return b.count(standin.EventStart) >= 2*s.Tasks })
		}
		b.caller.CancelUntilAnswered(r.ctx, 0, &o.Spec)
		b.check(load.Checker{})
		r.startWorker(victim)
	}
}

// runsMember returns a worker that runs a task of the job.
func (r *run) runsMember(s *model.JobSpec) *worker {
	for _, e := range r.events() {
		if e.Event != standin.EventStart || !strings.HasSuffix(string(e.Job), hash(s)) {
			continue
		}
		for _, w := range r.workers {
			if w.name == e.Worker {
				return w
			}
		}
	}
	r.fatalf("no worker runs the job with key %s", s.Key)
	return nil
}

// checkGangs checks that every attempt that had a task on the killed worker has
// none running after the stop bound.
func (r *run) checkGangs(victim string, killed time.Time) {
	type member struct {
		worker string
		open   bool
		ended  time.Time
	}
	attempts := map[string]map[int]*member{}
	hit := map[string]bool{}
	for _, e := range r.events() {
		k := fmt.Sprintf("%s/%d", e.Job, e.Fence)
		switch e.Event {
		case standin.EventStart:
			if attempts[k] == nil {
				attempts[k] = map[int]*member{}
			}
			attempts[k][e.Task] = &member{worker: e.Worker, open: true}
			if e.Worker == victim && e.At.Before(killed) {
				hit[k] = true
			}
		case standin.EventFinish, standin.EventStop:
			if m := attempts[k][e.Task]; m != nil {
				m.open, m.ended = false, e.At
			}
		}
	}
	longest := time.Duration(0)
	for k := range hit {
		for task, m := range attempts[k] {
			if m.worker == victim {
				continue
			}
			if m.open {
				r.failf("gang %s: task %d still runs %s after the loss of a member", k, task, time.Since(killed).Round(time.Millisecond))
			}
			longest = max(longest, m.ended.Sub(killed))
		}
	}
	r.note("gangs_hit", len(hit))
	r.note("longest_partial", longest.Round(time.Millisecond))
}

// notRunIsTrue cancels queued and starting jobs while the answers to starts are
// lost and the leader is killed, and lets deadlines pass; a job that was answered
// with not_run never ran.
func notRunIsTrue(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	r.setFaults(r.workersIn(zone), standin.Faults{Operations: []workerapi.Operation{workerapi.Start}, LoseAnswers: -1})
	b := r.newBatch()
	var killed *daemon
	for i := range 60 {
		s := r.mix("notrun", i)
		s.Accelerators = 4
		s.Payload = "sleep=400ms"
		if i%3 == 0 {
			s.Deadline = time.Now().Add(time.Duration(1+r.rng.IntN(3)) * time.Second).UTC()
		}
		if i%3 == 1 {
			s.Accelerators = 1 // starts soon and runs when it is cancelled
			s.Payload = "sleep=4s"
		}
		o := b.send(i, owned(zone, s))
		if i%3 == 1 {
			wait := time.Duration(r.rng.IntN(1000)) * time.Millisecond
			time.AfterFunc(wait, func() { b.caller.CancelUntilAnswered(r.ctx, i, &o.Spec) })
		}
		if i == 30 {
			killed = r.waitLeader(zone, nil)
			killed.kill()
		}
		r.sleep(20 * time.Millisecond)
	}
	r.sleep(downTime)
	r.setFaults(r.workersIn(zone), standin.Faults{})
	r.restart(killed)
	b.check(load.Checker{})
	n := 0
	for _, o := range b.outcomes {
		if o.State() == model.NotRun {
			n++
		}
	}
	if n == 0 {
		r.failf("no job was answered with not_run, so nothing was proved")
	}
}

// leavingBound is the time after which a leaving worker is asked for nothing new.
const leavingBound = 3 * time.Second

// leavingWorker makes a worker leave while a task keeps it and jobs of its zone
// wait for its accelerators; it gets no new work after the bound, and its task
// finishes.
func leavingWorker(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	b := r.newBatch()
	s := r.mix("last", 0)
	s.Payload = "sleep=12s"
	b.send(0, owned(zone, s))
	b.waitEvent(standin.EventStart, 10*time.Second)
	w := r.runsMember(&b.outcomes[0].Spec)
	left := time.Now()
	w.signal(syscall.SIGTERM)
	for i := range 120 { // several times what the other workers hold at once
		s := r.mix("after", 2*i)
		s.Tasks, s.Accelerators, s.Adjacent = 1, 1, false
		s.Payload = "sleep=1s"
		b.send(i+1, owned(zone, s))
	}
	b.check(load.Checker{})
	b.mustBeDone("job was not done", nil)
	latest := time.Duration(0)
	for _, e := range r.events() {
		asked := e.Event == standin.EventReserve || e.Event == standin.EventRefuse
		if e.Worker == w.name && asked && e.At.After(left) {
			latest = max(latest, e.At.Sub(left))
		}
	}
	if latest > leavingBound {
		r.failf("worker %s was asked for new work %s after it began to leave", w.name, latest)
	}
	r.note("last_asked_after", latest.Round(time.Millisecond))
	r.until("end of the leaving worker", 10*time.Second, func() bool { return !w.running() })
}

// stopLimit bounds one planned stop.
const stopLimit = 15 * time.Second

// plannedStop stops every instance in turn under load; no request is
// interrupted and every job is done.
func plannedStop(r *run) {
	b := r.newBatch()
	b.caller.WithoutKeepAlive()
	for _, d := range r.daemons {
		b.sendMix("stop-"+d.Name, 10, 500*time.Millisecond)
		begun := time.Now()
		d.signal(syscall.SIGTERM)
		b.sendMix("stopping-"+d.Name, 15, 750*time.Millisecond)
		if !d.terminate(stopLimit) {
			r.failf("%s did not end with code 0 within %s of SIGTERM (code %d)", d.Name, time.Since(begun).Round(time.Millisecond), d.code)
		}
		r.restart(d)
	}
	b.check(load.Checker{})
	b.mustBeDone("job was not done", nil)
	interrupted := 0
	for _, o := range b.outcomes {
		interrupted += o.Refusals[load.NoAnswer]
	}
	if interrupted > 0 {
		r.failf("%d requests were interrupted", interrupted)
	}
}

// cancellationWave cancels all jobs at the same moment while a leader is killed.
func cancellationWave(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	b := r.newBatch()
	for i := range 120 {
		s := r.mix("wave", i)
		s.Payload = "sleep=1s"
		b.send(i, s)
	}
	r.sleep(1500 * time.Millisecond)
	for i, o := range b.outcomes {
		go b.caller.CancelUntilAnswered(r.ctx, i, &o.Spec)
	}
	r.sleep(50 * time.Millisecond)
	killed := r.waitLeader(zone, nil)
	killed.kill()
	r.sleep(downTime)
	r.restart(killed)
	b.check(load.Checker{})
}
