package dispatch

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/speed"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

const (
	// minRatePercent is the progress that a run must have made under observation before its
	// rate is used. Progress is reported in whole percent, so the error is up to a twentieth.
	// A run of 5 s on a worker of 0.6 of the common speed has made it within a second.
	minRatePercent = 10
	// maxEndDelayShare is the part of the time that a run took by which its end may have been
	// before the report of it. A hold that waits returns at the end, so this is the time
	// before the hold was sent.
	maxEndDelayShare = 0.2
)

// Reasons for which a run is not used to measure its worker's speed.
const (
	dropLongRunning  = "lasting"        // it has no end that progress could refer to
	dropAwayFromData = "away_from_data" // reading its data takes part of the time
	dropKnown        = "earlier_leader" // the worker's record may already include it
	dropSuspect      = "suspect"        // its worker is suspect
	dropLateReport   = "late_report"    // the time of its end is not known
)

// runRate is a run on a worker whose rate is measured.
type runRate struct {
	step        speed.StepKey
	gang        bool
	excluded    bool
	from        time.Time // start of the measurement
	fromPercent float64   // progress at that time
	suspect     bool      // the measurement was begun anew because the worker was suspect
	ended       bool
}

// observeRates passes the rates of the runs in a report to the model of the workers'
// speeds. It must be called before the ends in the report are committed. sent is when the
// hold was sent. Only the agent's goroutine calls it.
func (a *agent) observeRates(rep *workerapi.UnitReport, sent, now time.Time) {
	if a.leadership.speeds == nil {
		return
	}
	previous := a.ratesReadAt
	if !rep.MoreEnds {
		a.ratesReadAt = now
	}
	a.addRates(rep, now)
	a.mu.Lock()
	suspect := now.Before(a.history.suspectUntil) || now.Before(a.suspendedUntil)
	w := a.worker
	a.mu.Unlock()
	listed := make(map[runKey]bool, len(rep.Runs)+len(rep.Ends))
	for i := range rep.Runs {
		r := &rep.Runs[i]
		k := runKey{r.Unit, r.Run}
		listed[k] = true
		m := a.rates[k]
		switch {
		case m == nil || m.excluded || m.ended:
		case r.Percent >= 100: // a member of a gang that waits for slower ones; it was done some time ago
		case suspect:
			m.restart(r.Percent, now)
		default:
			a.observeRate(&w, k, m, float64(r.Percent)+0.5, now)
		}
	}
	for i := range rep.Ends {
		e := &rep.Ends[i]
		k := runKey{e.Unit, e.Run}
		listed[k] = true
		m := a.rates[k]
		if m == nil || m.excluded || m.ended {
			continue
		}
		m.ended = true
		lateBy := min(sent.Sub(previous), sent.Sub(m.from)).Seconds()
		switch {
		case e.How != batch.EndDone || m.gang: // the members of a gang end together, when the slowest is done
		case suspect:
			countDropped(dropSuspect)
		case lateBy > maxEndDelayShare*now.Sub(m.from).Seconds():
			countDropped(dropLateReport)
		default:
			a.observeRate(&w, k, m, 100, now)
		}
		a.closeRate(&w, k, m)
	}
	for k, m := range a.rates {
		if !listed[k] && !rep.MoreEnds {
			a.closeRate(&w, k, m)
			delete(a.rates, k)
		}
	}
}

// addRates begins to measure the runs in a report that are new.
func (a *agent) addRates(rep *workerapi.UnitReport, now time.Time) {
	percents := map[runKey]int{}
	for i := range rep.Runs {
		percents[runKey{rep.Runs[i].Unit, rep.Runs[i].Run}] = rep.Runs[i].Percent
	}
	for i := range rep.Ends {
		percents[runKey{rep.Ends[i].Unit, rep.Ends[i].Run}] = 100
	}
	for k := range percents {
		if a.rates[k] != nil {
			delete(percents, k)
		}
	}
	if len(percents) == 0 {
		return
	}
	record := a.workerRecord()
	type recordedRun struct {
		step       batch.Step
		checkpoint string
	}
	// The agent's lock is not taken during the view: the planner takes them in the other
	// order.
	found := map[runKey]recordedRun{}
	a.leadership.cfg.Machine.View(func(v *batch.View) {
		for k := range percents {
			if g, st, u := recordedUnit(v, k, &record); u != nil {
				found[k] = recordedRun{*st, checkpointOf(g, st, u)}
			}
		}
	})
	for k, r := range found {
		a.rates[k] = a.newRate(k, &r.step, r.checkpoint, percents[k], now)
	}
}

// recordedUnit returns the unit of a run on an incarnation of a worker with its group and
// step, or nil if the run is not recorded as active.
func recordedUnit(v *batch.View, k runKey, w *batch.Worker) (*batch.UnitGroup, *batch.Step, *batch.Unit) {
	j := v.LiveJobs()[k.unit.Job]
	if j == nil {
		return nil, nil, nil
	}
	g := j.UnitGroup(k.unit.Occurrence, k.unit.Step)
	if g == nil || k.unit.Index < 0 || k.unit.Index >= len(g.Units) {
		return nil, nil, nil
	}
	u := &g.Units[k.unit.Index]
	if u.State != batch.Active || u.Run != k.run || u.Worker != w.ID || u.Incarnation != w.Incarnation {
		return nil, nil, nil
	}
	return g, j.Step(g), u
}

// newRate returns the measurement of a run that was reported for the first time. It begins
// at the start of the run if that is known and the run does not continue from a checkpoint,
// and otherwise with the report.
func (a *agent) newRate(k runKey, st *batch.Step, checkpoint string, percent int, now time.Time) *runRate {
	m := &runRate{step: speed.StepKey{Job: k.unit.Job, Occurrence: k.unit.Occurrence, Step: k.unit.Step}, gang: st.Gang}
	m.from, m.fromPercent = now, float64(percent)+0.5
	a.mu.Lock()
	defer a.mu.Unlock()
	od := a.orders[k]
	ownStart := od != nil && !od.startAckedAt.IsZero()
	if ownStart && checkpoint == "" {
		m.from, m.fromPercent = od.startAckedAt, 0
	}
	reason := ""
	switch {
	case st.LongRunning:
		reason = dropLongRunning
	case st.DataRack != "" && st.DataRack != a.worker.Rack:
		reason = dropAwayFromData
	case !ownStart && a.worker.Speed != nil && a.worker.Speed.Observations > 0:
		reason = dropKnown
	}
	if reason != "" {
		countDropped(reason)
		m.excluded = true
	}
	return m
}

// restart begins the measurement anew, without the time in which the worker was suspect. A
// rate that was observed before is kept until there is a new one.
func (m *runRate) restart(percent int, now time.Time) {
	if !m.suspect {
		countDropped(dropSuspect)
	}
	m.suspect, m.from, m.fromPercent = true, now, float64(percent)+0.5
}

// observeRate passes the rate of a run to the model.
func (a *agent) observeRate(w *batch.Worker, k runKey, m *runRate, percent float64, now time.Time) {
	elapsed := now.Sub(m.from).Seconds()
	if percent-m.fromPercent < minRatePercent || elapsed <= 0 {
		return
	}
	s := a.leadership.speeds
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model.Observe(&speed.Observation{
		Worker: w.ID, Incarnation: w.Incarnation, Step: m.step, Gang: m.gang, Unit: k.unit.Index, Run: k.run,
		Rate: (percent - m.fromPercent) / 100 / elapsed,
	}) {
		telemetry.Count("teaselpaddle_speed_observations_total")
	}
}

// closeRate fixes the rate of a run that has ended.
func (a *agent) closeRate(w *batch.Worker, k runKey, m *runRate) {
	if m.excluded {
		return
	}
	s := a.leadership.speeds
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Close(w.ID, w.Incarnation, m.step, k.unit.Index, k.run)
}

func countDropped(reason string) {
	telemetry.CountBy("teaselpaddle_speed_observations_dropped_total", "reason", reason)
}
