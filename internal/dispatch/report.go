package dispatch

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// endNotedTime is the time from the first report of an end to its commit.
var endNotedTime = metrics.GetOrCreateHistogram("teaselpaddle_end_noted_seconds")

// take commits what a report says and notes the rest. sent is when the report was
// asked for; told is the number of the last end that the worker forgot then.
func (a *agent) take(rep *workerapi.UnitReport, sent time.Time, told int64) bool {
	active, anyLife := a.recordedRuns()
	now := a.o.cfg.Now()
	a.mu.Lock()
	if rep.Life != 0 && rep.Life != a.w.Life {
		a.gone = true
		a.mu.Unlock()
		a.log.Info("worker lives another life", "reported", rep.Life)
		a.o.Wake()
		return false
	}
	a.noteAnswer(now)
	a.clockMS = rep.ClockMS
	a.clockAt = now
	first := !a.looked
	listed := map[runKey]bool{}
	reported := map[runKey]workerapi.UnitRun{}
	for _, r := range rep.Runs {
		reported[runKey{r.Unit, r.Run}] = r
		listed[runKey{r.Unit, r.Run}] = true
	}
	ends, noted := endsOf(rep, anyLife, listed)
	for k := range active {
		if listed[k] || !a.missing(k, sent) {
			continue
		}
		ends = append(ends, batch.End{Unit: k.unit, Run: k.run, How: batch.EndLost, Saved: a.reported[k].Saved})
	}
	a.observe(reported, now)
	a.judgeEnds(ends, now)
	for i := range ends {
		k := runKey{ends[i].Unit, ends[i].Run}
		if _, again := a.endSeen[k]; !again {
			a.endSeen[k] = now
		}
	}
	a.mu.Unlock()

	if !a.o.commitEnds(a.rec().ID, ends) {
		return false
	}
	committed := a.o.cfg.Now()
	a.mu.Lock()
	for i := range ends {
		endNotedTime.Update(committed.Sub(a.endSeen[runKey{ends[i].Unit, ends[i].Run}]).Seconds())
	}
	clear(a.endSeen)
	a.noted = max(a.noted, noted)
	a.told = max(a.told, told)
	a.reported = reported
	a.reportAt = sent
	a.looked = true
	freed := false
	for _, e := range rep.Ends {
		if od := a.orders[runKey{e.Unit, e.Run}]; od != nil && !od.over {
			od.over, freed = true, true
		}
	}
	for k, od := range a.orders {
		if !od.over && !listed[k] && a.missing(k, sent) {
			od.over, freed = true, true
		}
	}
	var fence []runKey
	for k, od := range a.orders {
		switch {
		case active[k] || listed[k]:
		case od.settled(now):
			delete(a.orders, k)
		case !od.startAt.IsZero() && !od.over && !od.busy:
			fence = append(fence, k) // its start may still arrive
		}
	}
	for _, e := range ends {
		delete(a.pace, runKey{e.Unit, e.Run})
	}
	a.mu.Unlock()
	for _, k := range fence {
		a.stop(k)
	}
	a.stopUnrecorded(reported, active)
	if first || freed || len(ends) > 0 {
		a.o.Wake()
	}
	return true
}

// endsOf returns the ends of recorded runs and the highest number listed.
func endsOf(rep *workerapi.UnitReport, recorded, listed map[runKey]bool) ([]batch.End, int64) {
	var ends []batch.End
	noted := int64(0)
	for _, e := range rep.Ends {
		noted = max(noted, e.Number)
		k := runKey{e.Unit, e.Run}
		if recorded[k] && !listed[k] {
			ends = append(ends, batch.End{Unit: e.Unit, Run: e.Run, How: e.How, Saved: e.Saved})
		}
		listed[k] = true
	}
	return ends, noted
}

// missing reports whether a recorded run that a report does not list is
// certainly not there and never will be. sent is when the report was asked for.
func (a *agent) missing(k runKey, sent time.Time) bool {
	od := a.orders[k]
	if od == nil {
		return false // not told yet; redeliver sends it
	}
	if !od.stoppedAt.IsZero() && od.stoppedAt.Before(sent) {
		return true // fenced by the stop
	}
	if !od.startedAt.IsZero() && od.startedAt.Before(sent) {
		return true // it was there, and no late start can bring it back
	}
	return od.refused && od.missedAt.IsZero()
}

// settled reports whether nothing of an order can still happen.
func (od *order) settled(now time.Time) bool {
	return !od.busy && (od.startAt.IsZero() || od.over) && (od.missedAt.IsZero() || now.Sub(od.missedAt) > maxLate || !od.stoppedAt.IsZero())
}

// stopUnrecorded stops what the worker runs without a record.
func (a *agent) stopUnrecorded(reported map[runKey]workerapi.UnitRun, active map[runKey]bool) {
	fresh := a.activeRuns()
	for k := range reported {
		if !active[k] && !fresh[k] {
			a.stop(k)
		}
	}
}
