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
// load; every job still gets its complete answer.
func wholeAnswerUnderKill(r *run) {
	b := r.newJobBatch()
	for round, choose := range []func(zone string) *daemon{r.randomInstance, r.leader, r.follower} {
		zone := zones[(round+int(r.seed))%len(zones)]
		b.submitMix(fmt.Sprintf("kill%d", round), 40, 2*time.Second)
		victim := choose(zone)
		victim.kill()
		b.submitMix(fmt.Sprintf("killed%d", round), 40, 3*time.Second)
		r.restart(victim)
	}
	b.checkAgainstJournals(load.Checker{})
	b.requireDone("repeatable job without its complete answer", isRepeatable)
}

func (c *cluster) randomInstance(zone string) *daemon {
	list := c.daemonsIn(zone)
	return list[c.run.rng.IntN(len(list))]
}

// jobStage is a stage in the processing of a job during which the leader is killed.
type jobStage struct {
	name      string
	faults    standin.Faults
	reachedBy standin.EventKind // the journal event that shows that the stage was reached
}

// notRepeatableAtMostOnce kills the leader at each stage of not-repeatable jobs while
// workers' answers are lost, delayed, duplicated or withheld; no job runs twice.
func notRepeatableAtMostOnce(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	only := func(op workerapi.Operation) []workerapi.Operation { return []workerapi.Operation{op} }
	b := r.newJobBatch()
	for _, s := range []jobStage{
		{name: "accept"},
		{name: "reserve", faults: standin.Faults{Operations: only(workerapi.Reserve), LoseAnswers: 2, AnswerDelayMillis: 300}, reachedBy: standin.EventReserve},
		{name: "start", faults: standin.Faults{Operations: only(workerapi.Start), LoseAnswers: 2, AnswerDelayMillis: 300}, reachedBy: standin.EventStart},
		{name: "finish", faults: standin.Faults{WithholdReports: true}, reachedBy: standin.EventFinish},
		{name: "answer", faults: standin.Faults{DoubleReports: true, ReorderReports: true}, reachedBy: standin.EventFinish},
	} {
		r.setFaults(r.workersIn(zone), s.faults)
		stageBatch := r.newJobBatch()
		for i := range 8 {
			spec := r.mixedSpec("once-"+s.name, i)
			spec.Repeatable = false
			stageBatch.submit(i, withKeyOwnedBy(zone, spec))
		}
		if s.reachedBy != "" {
			stageBatch.waitForEvent(s.reachedBy, 10*time.Second)
		}
		if s.name == "answer" {
			r.sleep(200 * time.Millisecond)
		}
		victim := r.leader(zone)
		if victim == nil {
			r.fatalf("zone %s has no leader", zone)
		}
		victim.kill()
		r.sleep(leaderDownTime)
		r.setFaults(r.workersIn(zone), standin.Faults{})
		r.restart(victim)
		stageBatch.wait()
		b.outcomes = append(b.outcomes, stageBatch.outcomes...)
	}
	b.checkAgainstJournals(load.Checker{})
}

// leaderDownTime is the time before a killed leader is restarted. It is longer than
// an election.
const leaderDownTime = 2500 * time.Millisecond

// gangStopLimit bounds the time until the other members of a gang are stopped after
// one is lost: the lost member's lease, a status period and one command.
func (c *cluster) gangStopLimit() time.Duration {
	return time.Duration(c.options.leaseSeconds*float64(time.Second)) + 4*time.Second
}

// noPartialGang kills a worker that runs a member of a gang while enough
// accelerators are free to run the gang again. The other members are stopped within
// gangStopLimit, so that no gang keeps running in part, and only a repeatable gang
// starts again.
func noPartialGang(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	for round, repeatable := range []bool{true, false} {
		s := r.mixedSpec(fmt.Sprintf("gang%d", round), 3)
		s.Payload, s.Accelerators, s.Repeatable = "never-end", 4, repeatable
		b := r.newJobBatch()
		o := b.submit(0, withKeyOwnedBy(zone, s))
		r.waitUntil("start of all members", 15*time.Second, func() bool { return b.countEvents(standin.EventStart) >= s.Tasks })
		r.sleep(time.Second)
		victim := r.workerRunning(&o.Spec)
		killed := time.Now()
		victim.kill()
		r.sleep(r.gangStopLimit())
		r.checkGangsStopped(victim.name, killed)
		if repeatable {
			r.waitUntil("second start of the repeatable gang", 10*time.Second, func() bool { return b.countEvents(standin.EventStart) >= 2*s.Tasks })
		}
		b.caller.CancelUntilAnswered(r.ctx, 0, &o.Spec)
		b.checkAgainstJournals(load.Checker{})
		r.startWorker(victim)
	}
}

// workerRunning returns a worker on which a task of the job has started.
func (r *run) workerRunning(s *model.JobSpec) *worker {
	for _, e := range r.journalEvents() {
		if e.Event != standin.EventStart || !strings.HasSuffix(string(e.Job), jobIDHash(s)) {
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

// checkGangsStopped checks that no attempt that had a task on the killed worker
// still has a running one. It is called after gangStopLimit.
func (r *run) checkGangsStopped(victim string, killed time.Time) {
	type member struct {
		worker  string
		running bool
		ended   time.Time
	}
	attempts := map[string]map[int]*member{}
	affected := map[string]bool{}
	for _, e := range r.journalEvents() {
		attempt := fmt.Sprintf("%s/%d", e.Job, e.Fence)
		switch e.Event {
		case standin.EventStart:
			if attempts[attempt] == nil {
				attempts[attempt] = map[int]*member{}
			}
			attempts[attempt][e.Task] = &member{worker: e.Worker, running: true}
			if e.Worker == victim && e.At.Before(killed) {
				affected[attempt] = true
			}
		case standin.EventFinish, standin.EventStop:
			if m := attempts[attempt][e.Task]; m != nil {
				m.running, m.ended = false, e.At
			}
		}
	}
	longest := time.Duration(0)
	for attempt := range affected {
		for task, m := range attempts[attempt] {
			if m.worker == victim {
				continue
			}
			if m.running {
				r.failf("gang %s: task %d still runs %s after the loss of a member", attempt, task, time.Since(killed).Round(time.Millisecond))
			}
			longest = max(longest, m.ended.Sub(killed))
		}
	}
	r.addFigure("gangs_hit", len(affected))
	r.addFigure("longest_partial", longest.Round(time.Millisecond))
}

// notRunIsTrue cancels queued and starting jobs and lets deadlines pass while the
// workers' answers to start commands are lost and the leader is killed. A job that
// was answered with not_run never ran.
func notRunIsTrue(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	r.setFaults(r.workersIn(zone), standin.Faults{Operations: []workerapi.Operation{workerapi.Start}, LoseAnswers: -1})
	b := r.newJobBatch()
	var leader *daemon
	for i := range 60 {
		s := r.mixedSpec("notrun", i)
		s.Accelerators = 4
		s.Payload = "sleep=400ms"
		if i%3 == 0 {
			s.Deadline = time.Now().Add(time.Duration(1+r.rng.IntN(3)) * time.Second).UTC()
		}
		if i%3 == 1 {
			s.Accelerators = 1 // starts soon, so that it is running when it is cancelled
			s.Payload = "sleep=4s"
		}
		o := b.submit(i, withKeyOwnedBy(zone, s))
		if i%3 == 1 {
			wait := time.Duration(r.rng.IntN(1000)) * time.Millisecond
			time.AfterFunc(wait, func() { b.caller.CancelUntilAnswered(r.ctx, i, &o.Spec) })
		}
		if i == 30 {
			leader = r.waitForLeader(zone, nil)
			leader.kill()
		}
		r.sleep(20 * time.Millisecond)
	}
	r.sleep(leaderDownTime)
	r.setFaults(r.workersIn(zone), standin.Faults{})
	r.restart(leader)
	b.checkAgainstJournals(load.Checker{})
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

// leavingLimit is the time after which a leaving worker must get no new requests.
const leavingLimit = 3 * time.Second

// leavingWorker sends SIGTERM to a worker that still runs a task, while queued jobs
// of its zone wait for accelerators. The worker gets no new work after leavingLimit,
// finishes its task and exits.
func leavingWorker(r *run) {
	zone := zones[int(r.seed)%len(zones)]
	b := r.newJobBatch()
	s := r.mixedSpec("last", 0)
	s.Payload = "sleep=12s"
	b.submit(0, withKeyOwnedBy(zone, s))
	b.waitForEvent(standin.EventStart, 10*time.Second)
	w := r.workerRunning(&b.outcomes[0].Spec)
	terminatedAt := time.Now()
	w.signal(syscall.SIGTERM)
	for i := range 120 { // several times the number that the other workers can run at once
		s := r.mixedSpec("after", 2*i)
		s.Tasks, s.Accelerators, s.Adjacent = 1, 1, false
		s.Payload = "sleep=1s"
		b.submit(i+1, withKeyOwnedBy(zone, s))
	}
	b.checkAgainstJournals(load.Checker{})
	b.requireDone("job was not done", nil)
	lastRequest := time.Duration(0)
	for _, e := range r.journalEvents() {
		requested := e.Event == standin.EventReserve || e.Event == standin.EventRefuse
		if e.Worker == w.name && requested && e.At.After(terminatedAt) {
			lastRequest = max(lastRequest, e.At.Sub(terminatedAt))
		}
	}
	if lastRequest > leavingLimit {
		r.failf("worker %s was asked for new work %s after it began to leave", w.name, lastRequest)
	}
	r.addFigure("last_asked_after", lastRequest.Round(time.Millisecond))
	r.waitUntil("end of the leaving worker", 10*time.Second, func() bool { return !w.running() })
}

// stopLimit bounds the time of one planned stop.
const stopLimit = 15 * time.Second

// plannedStop stops every instance in turn with SIGTERM under load; no request is
// interrupted and every job is done.
func plannedStop(r *run) {
	b := r.newJobBatch()
	b.caller.WithoutKeepAlive()
	for _, d := range r.daemons {
		b.submitMix("stop-"+d.Name, 10, 500*time.Millisecond)
		start := time.Now()
		d.signal(syscall.SIGTERM)
		b.submitMix("stopping-"+d.Name, 15, 750*time.Millisecond)
		if !d.terminate(stopLimit) {
			r.failf("%s did not end with code 0 within %s of SIGTERM (code %d)", d.Name, time.Since(start).Round(time.Millisecond), d.exitCode)
		}
		r.restart(d)
	}
	b.checkAgainstJournals(load.Checker{})
	b.requireDone("job was not done", nil)
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
	b := r.newJobBatch()
	for i := range 120 {
		s := r.mixedSpec("wave", i)
		s.Payload = "sleep=1s"
		b.submit(i, s)
	}
	r.sleep(1500 * time.Millisecond)
	for i, o := range b.outcomes {
		go b.caller.CancelUntilAnswered(r.ctx, i, &o.Spec)
	}
	r.sleep(50 * time.Millisecond)
	leader := r.waitForLeader(zone, nil)
	leader.kill()
	r.sleep(leaderDownTime)
	r.restart(leader)
	b.checkAgainstJournals(load.Checker{})
}
