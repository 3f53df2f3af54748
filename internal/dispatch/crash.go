package dispatch

import (
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// A worker has crashed if its process is gone without having drained: it has restarted under
// its id, or another worker answers at its address. A worker that is only silent may be cut
// off, and its runs end with its lease.
const (
	crashRestarted     = "restarted"
	crashAddressReused = "address_reused"
)

// provenAfter is the time at work, by a worker's reports, after which a run that crashes it is
// unlikely. Reports are up to maxHoldWait apart.
const provenAfter = 2 * time.Second

// justBegun is the time after a start within which it may explain a crash. A unit that crashes
// the workers that start it does so soon.
const justBegun = 500 * time.Millisecond

// runEvidence is what this leader knows of a run on a worker that has crashed.
type runEvidence struct {
	startedAt time.Time     // when this leader's start was acknowledged, or sent if it was not; zero if it sent none
	atWork    time.Duration // for which the run was seen at work, by the worker's reports
	// silentAfter is the time from the acknowledged start until the worker fell silent; -1 if
	// there was none before it did.
	silentAfter time.Duration
	wave        bool // other workers fell silent at the same time
	ended       bool // the worker had reported its end
}

// prompt reports whether the worker, and no other, fell silent just after the start of the run.
func (e *runEvidence) prompt() bool {
	return !e.startedAt.IsZero() && e.silentAfter >= 0 && e.silentAfter <= justBegun && !e.wave
}

// evidence returns what is known of the runs that this leader has started on the worker, or
// that the worker has reported to it. The caller holds mu.
func (a *agent) evidence() map[runKey]runEvidence {
	out := map[runKey]runEvidence{}
	for k := range a.orders {
		out[k] = a.evidenceOf(k)
	}
	for k := range a.reportedRuns {
		out[k] = a.evidenceOf(k)
	}
	for k := range a.heldFailures {
		out[k] = runEvidence{silentAfter: -1, ended: true}
	}
	return out
}

// evidenceOf returns what is known of a run. The caller holds mu.
func (a *agent) evidenceOf(k runKey) runEvidence {
	e := runEvidence{silentAfter: -1}
	if od := a.orders[k]; od != nil {
		e.startedAt = od.startAckedAt
		if e.startedAt.IsZero() {
			e.startedAt = od.startSentAt // the crash may have taken the answer along
		} else if !a.silentSince.IsZero() {
			e.silentAfter = max(a.silentSince.Sub(e.startedAt), -1)
			e.wave = a.leadership.silences.isWave(a.worker.ID, a.silentSince)
		}
	}
	if _, reported := a.reportedRuns[k]; reported && a.progress[k] != nil {
		e.atWork = max(a.reportSentAt.Sub(a.progress[k].firstSeenAt), 0)
	}
	return e
}

// lostIncarnation is an earlier incarnation of a worker.
type lostIncarnation struct {
	worker   batch.Worker
	left     bool // its record was removed before the next one was recorded
	evidence map[runKey]runEvidence
}

// predecessorOf returns what the agent of the worker's next record needs to know of the
// incarnation of this one, or nil if the record is of the same incarnation.
func (a *agent) predecessorOf(next *batch.Worker) *lostIncarnation {
	if a.workerRecord().Incarnation == next.Incarnation {
		return a.predecessor
	}
	return a.asLost()
}

// asLost returns what is known of the incarnation of this agent.
func (a *agent) asLost() *lostIncarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &lostIncarnation{worker: a.worker, evidence: a.evidence()}
}

// lostRuns are the runs of an incarnation of a worker that is gone.
type lostRuns struct {
	incarnation int64
	restarted   bool     // another incarnation is recorded under the worker's id
	runs        []runKey // all that are recorded
	declarable  []runKey // those whose end may be committed
}

// endLostRuns commits the ends of runs whose worker was removed or has another incarnation.
func (p *planner) endLostRuns(id string, lost *lostRuns) {
	if len(lost.declarable) == 0 {
		return
	}
	var blame map[runKey]batch.Blame
	if w, evidence, crashed := p.crashedIncarnation(id, lost); crashed {
		blame = p.leadership.recordCrash(&w, crashRestarted, lost.runs, evidence)
	}
	ends := make([]batch.End, 0, len(lost.declarable))
	for _, k := range lost.declarable {
		e := crashEnd(k, blame)
		e.Unit, e.Run = k.unit, k.run
		ends = append(ends, e)
	}
	p.leadership.commitEnds(id, ends)
}

// crashedIncarnation returns the lost incarnation of a worker and what is known of its runs.
// crashed is false if it has left or drained. An earlier leader may have driven it; then
// only its id is known.
func (p *planner) crashedIncarnation(id string, lost *lostRuns) (w batch.Worker, evidence map[runKey]runEvidence, crashed bool) {
	w = batch.Worker{ID: id, Incarnation: lost.incarnation}
	if !lost.restarted {
		return w, nil, false
	}
	if a := p.leadership.agent(id); a != nil && a.predecessor != nil && a.predecessor.worker.Incarnation == lost.incarnation {
		w, evidence = a.predecessor.worker, a.predecessor.evidence
		if a.predecessor.left {
			return w, evidence, false
		}
	}
	return w, evidence, !w.Draining
}

// blameRuns tells how far each of the runs on a crashed worker explains the crash: those that
// had begun last are the likely cause, and those that had been seen at work are not.
func blameRuns(runs []runKey, evidence map[runKey]runEvidence) map[runKey]batch.Blame {
	var lastStart time.Time
	for _, k := range runs {
		if e := evidence[k]; e.startedAt.After(lastStart) {
			lastStart = e.startedAt
		}
	}
	suspects := map[runKey]bool{}
	byJob := map[string]int{} // suspects
	for _, k := range runs {
		e := evidence[k]
		if e.atWork < provenAfter && (e.startedAt.IsZero() || lastStart.Sub(e.startedAt) <= justBegun) {
			suspects[k] = true
			byJob[k.unit.Job]++
		}
	}
	out := map[runKey]batch.Blame{}
	for _, k := range runs {
		e := evidence[k]
		switch {
		case !suspects[k]:
			out[k] = batch.BlameNone
		case e.prompt() && byJob[k.unit.Job] == len(suspects):
			out[k] = batch.BlameSole
		default:
			out[k] = batch.BlameShared
		}
	}
	return out
}

// crashEnd returns the end of a run whose worker is gone. A run without blame had ended before, or its
// worker has not crashed.
func crashEnd(k runKey, blame map[runKey]batch.Blame) batch.End {
	if b, ok := blame[k]; ok {
		return batch.End{How: batch.EndCrashed, Blame: b}
	}
	return batch.End{How: batch.EndLost}
}

// recordCrash logs and counts the crash of a worker with each run that was on it, and returns
// the blame of each run. A run whose end the worker had reported has none.
func (l *Leadership) recordCrash(w *batch.Worker, cause string, runs []runKey, evidence map[runKey]runEvidence) map[runKey]batch.Blame {
	runs = slices.DeleteFunc(slices.Clone(runs), func(k runKey) bool { return evidence[k].ended })
	blame := blameRuns(runs, evidence)
	telemetry.CountBy("teaselpaddle_workers_crashed_total", "cause", cause)
	l.log.Info("worker crashed", "worker", w.ID, "life", w.Incarnation, "cause", cause, "runs", len(runs))
	for _, k := range runs {
		e := evidence[k]
		l.log.Info("run was on a crashed worker", "job", k.unit.Job, "unit", k.unit, "run", k.run, "worker", w.ID,
			"silentAfterMS", e.silentAfter.Milliseconds(), "wave", e.wave, "atWorkMS", e.atWork.Milliseconds(), "others", len(runs)-1, "blame", blame[k].String())
	}
	return blame
}
