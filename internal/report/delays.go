package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/explain"
)

// A delay analysis tells why the jobs of a region were late or failed. The time of a late
// job from its acceptance to its completion is divided along its critical path: the unit
// that completed last and, before it, the last unit of the steps before. Each part has a
// reason, and the reason that took most time is the cause of the delay.

// Reasons of delays. The end of a run that was of no use is a reason too: "unit failed",
// "gang broken", "lease expired", "worker lost", "stopped for QUEUE" and "stopped".
const (
	// ReasonRoom is the wait for a first start while a leader planned.
	ReasonRoom = "waited for room"
	// ReasonNoLeader is the wait for a start while no leader planned.
	ReasonNoLeader = "no leader"
	// ReasonRanLong is the time for which the runs that completed exceeded the estimate.
	ReasonRanLong = "ran longer than estimated"
	// ReasonFailed is the reason of a job that ended as failed.
	ReasonFailed = "failed"
	// ReasonUnfinished is the reason of a late job of which the logs do not show the end.
	ReasonUnfinished = "not finished"
)

// endReasons are the reasons for the ends of runs that were of no use.
var endReasons = map[string]string{
	"failed": "unit failed", "broken": "gang broken", "lapsed": "lease expired", "lost": "worker lost", "crashed": "worker lost", "stopped": "stopped",
}

// Delays counts the jobs of one queue that were accepted within one window of time, or the
// submissions that were refused in it.
type Delays struct {
	Begin    time.Time      `json:"begin"`
	Queue    string         `json:"queue"` // "" for refused submissions
	Jobs     int            `json:"jobs"`
	OnTime   int            `json:"on_time"`
	Late     int            `json:"late"`
	Failed   int            `json:"failed"`
	Refused  int            `json:"refused"`
	Causes   map[string]int `json:"causes"`     // of late and failed jobs and of refusals, by reason
	LostTime map[string]int `json:"lost_times"` // ms of late jobs, by reason
}

// Waste is the work of runs that were of no use, by the reason for which they ended.
type Waste struct {
	Reason             string  `json:"reason"`
	Runs               int     `json:"runs"`
	AcceleratorSeconds float64 `json:"accelerator_seconds"`
}

// delayedRun is one run of a unit.
type delayedRun struct {
	unit         string
	from, to     time.Time
	reason       string // "" if the run is done
	accelerators float64
}

// delayedJob is what the logs tell about one job.
type delayedJob struct {
	queue    string
	from     time.Time // of acceptance or of its first occurrence
	due      time.Time
	estimate time.Duration
	ended    time.Time
	state    string
	runs     map[runKey]*delayedRun
}

// delayReader collects jobs, runs and times without a leader from events in order of time.
type delayReader struct {
	jobs        map[string]*delayedJob
	refused     []*explain.Event
	gaps        []span    // in which no leader planned
	epoch       int64     // of the leader that planned last
	lastPlanned time.Time // last start or end that was logged
	stoppedFor  map[runKey]string
}

// span is a time interval.
type span struct{ from, to time.Time }

// ReadDelays analyses logs in any order. Jobs and refusals are grouped by windows of the
// given length. Its error is a *NoEventsError or that of a reader.
func ReadDelays(window time.Duration, logs ...io.Reader) ([]Delays, []Waste, error) {
	var events []explain.Event
	var skipped explain.SkipCounts
	for _, l := range logs {
		s, _, err := explain.Scan(l, func(e explain.Event) { events = append(events, e) })
		if err != nil {
			return nil, nil, err
		}
		skipped = skipped.Add(s)
	}
	if len(events) == 0 && skipped.Total() > 0 {
		return nil, nil, &NoEventsError{Skipped: skipped}
	}
	slices.SortStableFunc(events, func(a, b explain.Event) int { return a.Time.Compare(b.Time) })
	d := &delayReader{jobs: map[string]*delayedJob{}, stoppedFor: map[runKey]string{}}
	for i := range events {
		d.process(&events[i])
	}
	return d.group(window), d.waste(), nil
}

func (d *delayReader) process(e *explain.Event) {
	id := e.Text("job")
	j := d.jobs[id]
	k := runKey{id, e.Text("unit"), e.Number("run")}
	switch e.Message {
	case demandMessage:
		if j == nil {
			dm := parseDemand(e)
			d.jobs[id] = &delayedJob{
				queue: e.Text("queue"), from: dm.From, due: dm.Due, estimate: time.Duration(e.Number("lengthMS")) * time.Millisecond,
				runs: map[runKey]*delayedRun{},
			}
		}
	case "run started":
		d.lastPlanned = e.Time
		if j != nil && j.runs[k] == nil {
			j.runs[k] = &delayedRun{unit: k.unit, from: e.Time, accelerators: float64(e.Number("accelerators"))}
		}
	case "run stopped to make room":
		if other := d.jobs[e.Text("for")]; other != nil {
			d.stoppedFor[k] = "stopped for " + other.queue
		}
	case "run stopped because its gang is incomplete":
		d.stoppedFor[k] = endReasons["broken"]
	case "run stopped because its worker leaves":
		d.stoppedFor[k] = "worker left"
	case "run ended":
		d.lastPlanned = e.Time
		if j != nil && j.runs[k] != nil && j.runs[k].to.IsZero() {
			j.runs[k].to, j.runs[k].reason = e.Time, d.endReason(k, e.Text("how"))
		}
	case endMessage:
		if j != nil && j.state == "" {
			j.state, j.ended = e.Text("state"), e.Time
		}
	case "cancellation judged":
		if j != nil && j.state == "" && e.Text("verdict") == "ok" && e.Fields["notLeader"] == false {
			j.state = "cancelled"
			for k := range j.runs {
				d.stoppedFor[k] = "cancelled"
			}
		}
	case "request refused":
		if e.Text("method") == "POST" {
			d.refused = append(d.refused, e)
		}
	case "planning begins":
		if epoch := e.Number("epoch"); epoch != d.epoch {
			if d.epoch != 0 {
				d.gaps = append(d.gaps, span{d.lastPlanned, e.Time})
			}
			d.epoch = epoch
		}
	}
}

func (d *delayReader) endReason(k runKey, how string) string {
	if how == "done" {
		return ""
	}
	if how == "stopped" && d.stoppedFor[k] != "" {
		return d.stoppedFor[k]
	}
	return cmp.Or(endReasons[how], how)
}

// group returns the delays by window and queue.
func (d *delayReader) group(window time.Duration) []Delays {
	rows := map[string]*Delays{}
	row := func(at time.Time, queue string) *Delays {
		begin := at.Truncate(window)
		key := fmt.Sprint(begin.UnixNano(), queue)
		if rows[key] == nil {
			rows[key] = &Delays{Begin: begin.UTC(), Queue: queue, Causes: map[string]int{}, LostTime: map[string]int{}}
		}
		return rows[key]
	}
	for _, j := range d.jobs {
		if j.state == "cancelled" {
			continue
		}
		r := row(j.from, j.queue)
		r.Jobs++
		switch {
		case j.state == "failed":
			r.Failed++
			r.Causes[ReasonFailed]++
		case j.state == "completed" && !j.ended.After(j.due):
			r.OnTime++
		case j.state == "":
			r.Late++
			r.Causes[ReasonUnfinished]++
		default:
			r.Late++
			lost := d.lostTime(j)
			r.Causes[largest(lost)]++
			for reason, t := range lost {
				r.LostTime[reason] += int(t.Milliseconds())
			}
		}
	}
	for _, e := range d.refused {
		r := row(e.Time, "")
		r.Refused++
		r.Causes["refused: "+cmp.Or(e.Text("reason"), "other")]++
	}
	out := make([]Delays, 0, len(rows))
	for _, r := range rows {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Delays) int { return cmp.Or(a.Begin.Compare(b.Begin), cmp.Compare(a.Queue, b.Queue)) })
	return out
}

// largest returns the reason with the most time, or ReasonRoom if there is none.
func largest(lost map[string]time.Duration) string {
	best := ReasonRoom
	for _, reason := range slices.Sorted(maps.Keys(lost)) {
		if lost[reason] > lost[best] {
			best = reason
		}
	}
	return best
}

// lostTime divides the time of a completed job by reason. Time within its estimate is left
// out.
func (d *delayReader) lostTime(j *delayedJob) map[string]time.Duration {
	byUnit := map[string][]*delayedRun{}
	for _, r := range j.runs {
		byUnit[r.unit] = append(byUnit[r.unit], r)
	}
	lost := map[string]time.Duration{}
	var worked time.Duration
	until := j.ended
	for step := lastStep(byUnit, -1); step >= 0; step = lastStep(byUnit, step) {
		runs := criticalUnit(byUnit, step, until)
		if runs == nil {
			continue
		}
		from := j.from
		for earlier := lastStep(byUnit, step); earlier >= 0; earlier = lastStep(byUnit, earlier) {
			if before := criticalUnit(byUnit, earlier, runs[0].from); before != nil {
				from = latest(from, before[len(before)-1].to)
			}
		}
		worked += d.divide(runs, from, lost)
		until = runs[0].from
	}
	if long := worked - j.estimate; long > 0 {
		lost[ReasonRanLong] += long
	}
	return lost
}

// divide adds the time from the release of a unit to the end of its last run to lost, and
// returns the time of the run that is done.
func (d *delayReader) divide(runs []*delayedRun, from time.Time, lost map[string]time.Duration) (worked time.Duration) {
	reason := ReasonRoom
	for _, r := range runs {
		gap := d.withoutLeader(from, r.from)
		lost[ReasonNoLeader] += gap
		lost[reason] += max(r.from.Sub(from)-gap, 0)
		if r.reason == "" {
			return r.to.Sub(r.from)
		}
		lost[r.reason] += r.to.Sub(r.from)
		reason, from = r.reason, r.to
	}
	return 0
}

// withoutLeader returns for how long no leader planned between two times.
func (d *delayReader) withoutLeader(from, to time.Time) time.Duration {
	var sum time.Duration
	for _, g := range d.gaps {
		sum += max(earliest(to, g.to).Sub(latest(from, g.from)), 0)
	}
	return sum
}

// stepOf returns the number of a unit's step. Units are named OCCURRENCE.STEP.INDEX.
func stepOf(unit string) int {
	parts := strings.Split(unit, ".")
	if len(parts) != 3 {
		return 0
	}
	n, _ := strconv.Atoi(parts[1])
	return n
}

// lastStep returns the highest step below the given one, or the highest if it is negative; -1
// if there is none.
func lastStep(byUnit map[string][]*delayedRun, below int) int {
	last := -1
	for unit := range byUnit {
		if n := stepOf(unit); n > last && (below < 0 || n < below) {
			last = n
		}
	}
	return last
}

// criticalUnit returns the runs of the unit of a step that completed last before a time, in
// order, or nil.
func criticalUnit(byUnit map[string][]*delayedRun, step int, until time.Time) []*delayedRun {
	var best []*delayedRun
	for _, unit := range slices.Sorted(maps.Keys(byUnit)) {
		runs := slices.DeleteFunc(slices.Clone(byUnit[unit]), func(r *delayedRun) bool { return r.to.IsZero() || r.to.After(until) })
		if stepOf(unit) != step || len(runs) == 0 {
			continue
		}
		slices.SortFunc(runs, func(a, b *delayedRun) int { return a.from.Compare(b.from) })
		if best == nil || runs[len(runs)-1].to.After(best[len(best)-1].to) {
			best = runs
		}
	}
	return best
}

// waste returns the work that was thrown away by reason, the largest first.
func (d *delayReader) waste() []Waste {
	sums := map[string]*Waste{}
	for _, j := range d.jobs {
		for _, r := range j.runs {
			if r.to.IsZero() || r.reason == "" {
				continue
			}
			if sums[r.reason] == nil {
				sums[r.reason] = &Waste{Reason: r.reason}
			}
			sums[r.reason].Runs++
			sums[r.reason].AcceleratorSeconds += r.accelerators * r.to.Sub(r.from).Seconds()
		}
	}
	out := make([]Waste, 0, len(sums))
	for _, w := range sums {
		out = append(out, *w)
	}
	slices.SortFunc(out, func(a, b Waste) int {
		return cmp.Or(-cmp.Compare(a.AcceleratorSeconds, b.AcceleratorSeconds), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}
