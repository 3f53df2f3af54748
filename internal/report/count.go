package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/explain"
)

// maxSeries bounds the lines of a plot; more cannot be distinguished.
const maxSeries = 8

// runKey identifies a run.
type runKey struct {
	job, unit string
	run       int64
}

// runUse holds the accelerators and the customer of a run in progress.
type runUse struct {
	started      time.Time
	customer     string
	accelerators float64
	guaranteed   bool
}

// aggregator accumulates the series and totals of a report. It takes events in order of
// time.
type aggregator struct {
	pending  map[string]bool // accepted jobs of which no run has started
	started  map[string]bool // jobs that left the queue: a run started, or the job ended
	runs     map[runKey]runUse
	versions map[int64]bool

	queue              series
	use                map[string]*tally            // by customer
	borrowed           tally                        // accelerators in use by jobs without a guarantee
	guaranteedUse      tally                        // accelerators in use by guaranteed jobs
	reclaimed          map[int64]float64            // accelerators of preempted runs, by second
	refusals           map[string]map[int64]float64 // by reason and second
	runsEnded          map[string]int               // by the way in which they ended
	acceleratorSeconds map[string]float64           // of ended runs, by the way in which they ended
	firstWaits         map[string]*waitSum          // by priority
	changes            []Change
	preemptions        int
	jobsByState        map[string]int
}

// waitSum is the number of first runs and the sum of their waits in ms.
type waitSum struct {
	runs    int
	totalMS int64
}

// tally is a running sum with its value after each change.
type tally struct {
	sum    float64
	points []point
}

func (t *tally) add(at time.Time, v float64) {
	t.sum += v
	t.points = append(t.points, point{at, t.sum})
}

func newAggregator() *aggregator {
	return &aggregator{
		pending: map[string]bool{}, started: map[string]bool{}, runs: map[runKey]runUse{}, versions: map[int64]bool{},
		queue: series{name: "jobs"}, use: map[string]*tally{}, reclaimed: map[int64]float64{},
		refusals: map[string]map[int64]float64{}, runsEnded: map[string]int{}, acceleratorSeconds: map[string]float64{}, firstWaits: map[string]*waitSum{}, jobsByState: map[string]int{},
	}
}

// process adds one event. The messages are those of the instances' logs.
func (c *aggregator) process(e *explain.Event) {
	job := e.Text("job")
	switch e.Message {
	case "submission judged":
		if e.Text("verdict") == "ok" && !c.started[job] && e.Fields["notLeader"] == false && e.Fields["unsure"] == false {
			c.pending[job] = true
			c.recordQueueLength(e.Time)
		}
	case "run started":
		c.startRun(e, job)
	case "run ended":
		c.endRun(e, runKey{job, e.Text("unit"), e.Number("run")})
	case "job concluded":
		c.jobsByState[e.Text("state")]++
		c.leaveQueue(job, e.Time)
		c.endRunsOfJob(job, e)
	case "run stopped to make room":
		c.preemptions++
		u := c.runs[runKey{job, e.Text("unit"), e.Number("run")}]
		c.reclaimed[e.Time.Unix()] += u.accelerators
	case "request refused":
		c.addRefusal(cmp.Or(e.Text("reason"), "other"), e.Time)
	case "leadership begun":
		c.changes = append(c.changes, Change{e.Time, fmt.Sprintf("%s leads, epoch %d", e.Instance, e.Number("epoch")), true})
	case "leading the zone":
		c.changes = append(c.changes, Change{e.Time, fmt.Sprintf("%s leads zone %s", e.Instance, e.Text("zone")), true})
	case "configuration in force":
		if v := e.Number("version"); !c.versions[v] {
			c.versions[v] = true
			c.changes = append(c.changes, Change{e.Time, fmt.Sprintf("configuration %d in force on the first instance", v), false})
		}
	}
}

func (c *aggregator) recordQueueLength(at time.Time) {
	c.queue.points = append(c.queue.points, point{at, float64(len(c.pending))})
}

func (c *aggregator) leaveQueue(job string, at time.Time) {
	c.started[job] = true
	if c.pending[job] {
		delete(c.pending, job)
		c.recordQueueLength(at)
	}
}

func (c *aggregator) startRun(e *explain.Event, job string) {
	c.leaveQueue(job, e.Time)
	u := runUse{
		started: e.Time, customer: cmp.Or(e.Text("customer"), "public"), accelerators: float64(e.Number("accelerators")),
		guaranteed: e.Fields["guaranteed"] == true,
	}
	k := runKey{job, e.Text("unit"), e.Number("run")}
	if _, duplicate := c.runs[k]; duplicate {
		return
	}
	c.runs[k] = u
	c.addUse(e.Time, u, u.accelerators)
	if k.run > 1 {
		return
	}
	priority := cmp.Or(e.Text("priority"), fmt.Sprint(e.Number("priority")))
	w := c.firstWaits[priority]
	if w == nil {
		w = &waitSum{}
		c.firstWaits[priority] = w
	}
	w.runs++
	w.totalMS += e.Number("waitedMS")
}

func (c *aggregator) endRun(e *explain.Event, k runKey) {
	c.runsEnded[e.Text("how")]++
	if u, ok := c.runs[k]; ok {
		delete(c.runs, k)
		c.addUse(e.Time, u, -u.accelerators)
		c.acceleratorSeconds[e.Text("how")] += u.accelerators * e.Time.Sub(u.started).Seconds()
	}
}

// endRunsOfJob ends the runs that a job still has when it is concluded. Of a gang that
// is done, the end of only one run may be logged, and a replay logs none of them. The
// runs of a job that failed or was cancelled have ends of their own in the log.
func (c *aggregator) endRunsOfJob(job string, e *explain.Event) {
	how := e.Text("state")
	switch how {
	case "failed", "cancelled":
		return
	case "completed":
		how = "done"
	}
	for k, u := range c.runs {
		if k.job == job {
			delete(c.runs, k)
			c.addUse(e.Time, u, -u.accelerators)
			c.acceleratorSeconds[how] += u.accelerators * e.Time.Sub(u.started).Seconds()
		}
	}
}

// addUse adds n accelerators to the use of a run's customer and to that of guaranteed or
// other jobs. n is negative when the run ends.
func (c *aggregator) addUse(at time.Time, u runUse, n float64) {
	t := c.use[u.customer]
	if t == nil {
		t = &tally{}
		c.use[u.customer] = t
	}
	t.add(at, n)
	if u.guaranteed {
		c.guaranteedUse.add(at, n)
	} else {
		c.borrowed.add(at, n)
	}
}

func (c *aggregator) addRefusal(reason string, at time.Time) {
	if c.refusals[reason] == nil {
		c.refusals[reason] = map[int64]float64{}
	}
	c.refusals[reason][at.Unix()]++
}

// fillReport writes the series and totals to a report.
func (c *aggregator) fillReport(r *Report) {
	r.Changes = c.changes
	if len(c.queue.points) > 0 {
		r.queue = []series{c.queue}
	}
	var use []series
	for name, t := range c.use {
		use = append(use, series{name, t.points})
	}
	r.byCustomer = highestPeaks(use)
	r.use = nonEmpty(
		series{"guaranteed jobs", c.guaranteedUse.points}, series{"other jobs", c.borrowed.points},
		series{"taken back a second", pointsBySecond(c.reclaimed)},
	)
	var refusals []series
	for reason, n := range c.refusals {
		refusals = append(refusals, series{reason, pointsBySecond(n)})
	}
	r.refusals = highestPeaks(refusals)
	for _, name := range slices.Sorted(maps.Keys(c.jobsByState)) {
		r.Totals = append(r.Totals, Total{"jobs " + name, c.jobsByState[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(c.runsEnded)) {
		r.Totals = append(r.Totals, Total{"runs ended as " + name, c.runsEnded[name]})
	}
	r.Totals = append(r.Totals, Total{"runs stopped to make room", c.preemptions})
	for _, name := range slices.Sorted(maps.Keys(c.acceleratorSeconds)) {
		r.Totals = append(r.Totals, Total{"accelerator-seconds of runs ended as " + name, int(c.acceleratorSeconds[name])})
	}
	for _, name := range slices.Sorted(maps.Keys(c.firstWaits)) {
		w := c.firstWaits[name]
		r.Totals = append(r.Totals, Total{"mean wait of a first run at priority " + name + ", ms", int(w.totalMS / int64(w.runs))})
	}
	for _, reason := range slices.Sorted(maps.Keys(c.refusals)) {
		n := 0.0
		for _, v := range c.refusals[reason] {
			n += v
		}
		r.Totals = append(r.Totals, Total{"requests refused, " + reason, int(n)})
	}
}

func nonEmpty(list ...series) []series {
	return slices.DeleteFunc(list, func(s series) bool { return len(s.points) == 0 })
}

// pointsBySecond returns counts by second as points, with a return to 0 after each
// second.
func pointsBySecond(n map[int64]float64) []point {
	var out []point
	for _, sec := range slices.Sorted(maps.Keys(n)) {
		at := time.Unix(sec, 0).UTC()
		if k := len(out); k > 0 && out[k-1].from.Equal(at) {
			out[k-1].value = n[sec]
		} else {
			out = append(out, point{at, n[sec]})
		}
		out = append(out, point{at.Add(time.Second), 0})
	}
	return out
}

// highestPeaks returns the maxSeries series with the highest peaks, in order of name.
func highestPeaks(list []series) []series {
	slices.SortFunc(list, func(a, b series) int {
		return cmp.Or(-cmp.Compare(peak(a), peak(b)), cmp.Compare(a.name, b.name))
	})
	list = list[:min(len(list), maxSeries)]
	slices.SortFunc(list, func(a, b series) int { return cmp.Compare(a.name, b.name) })
	return list
}

func peak(s series) float64 {
	var maxValue float64
	for _, p := range s.points {
		maxValue = max(maxValue, p.value)
	}
	return maxValue
}
