package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/explain"
)

// maxSeries bounds the lines of a plot; more cannot be told apart.
const maxSeries = 8

// runKey names a run.
type runKey struct {
	job, unit string
	run       int64
}

// runUse is what a run in progress uses.
type runUse struct {
	began        time.Time
	customer     string
	accelerators float64
	guaranteed   bool
}

// counter follows the events in order of time.
type counter struct {
	pending  map[string]bool // accepted jobs of which no unit has started
	began    map[string]bool
	runs     map[runKey]runUse
	versions map[int64]bool

	queue    series
	use      map[string]*tally // by customer
	borrowed tally
	held     tally                        // of guaranteed jobs
	back     map[int64]float64            // accelerators taken back, by second
	refused  map[string]map[int64]float64 // by reason and second
	ends     map[string]int
	spent    map[string]float64 // accelerator-seconds by ending
	waited   map[string]*wait   // by priority
	changes  []Change
	preempts int
	finals   map[string]int
}

// wait sums the waits of first runs.
type wait struct {
	runs int
	ms   int64
}

// tally is a sum over time.
type tally struct {
	sum    float64
	points []point
}

func (t *tally) add(at time.Time, v float64) {
	t.sum += v
	t.points = append(t.points, point{at, t.sum})
}

func newCounter() *counter {
	return &counter{
		pending: map[string]bool{}, began: map[string]bool{}, runs: map[runKey]runUse{}, versions: map[int64]bool{},
		queue: series{name: "jobs"}, use: map[string]*tally{}, back: map[int64]float64{},
		refused: map[string]map[int64]float64{}, ends: map[string]int{}, spent: map[string]float64{}, waited: map[string]*wait{}, finals: map[string]int{},
	}
}

func (c *counter) take(e *explain.Event) {
	job := e.Text("job")
	switch e.Message {
	case "submission judged":
		if e.Text("verdict") == "ok" && !c.began[job] && e.Fields["notLeader"] == false && e.Fields["unsure"] == false {
			c.pending[job] = true
			c.noteQueue(e.Time)
		}
	case "run started":
		c.start(e, job)
	case "run ended":
		c.end(e, runKey{job, e.Text("unit"), e.Number("run")})
	case "job concluded":
		c.finals[e.Text("state")]++
		c.leaveQueue(job, e.Time)
		// One end may stand for all runs of a gang.
		for k, u := range c.runs {
			if k.job == job {
				delete(c.runs, k)
				c.count(e.Time, u, -u.accelerators)
				c.spent["done"] += u.accelerators * e.Time.Sub(u.began).Seconds()
			}
		}
	case "run stopped to make room":
		c.preempts++
		u := c.runs[runKey{job, e.Text("unit"), e.Number("run")}]
		c.back[e.Time.Unix()] += u.accelerators
	case "request refused":
		c.refuse(cmp.Or(e.Text("reason"), "other"), e.Time)
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

func (c *counter) noteQueue(at time.Time) {
	c.queue.points = append(c.queue.points, point{at, float64(len(c.pending))})
}

func (c *counter) leaveQueue(job string, at time.Time) {
	c.began[job] = true
	if c.pending[job] {
		delete(c.pending, job)
		c.noteQueue(at)
	}
}

func (c *counter) start(e *explain.Event, job string) {
	c.leaveQueue(job, e.Time)
	u := runUse{
		began: e.Time, customer: cmp.Or(e.Text("customer"), "public"), accelerators: float64(e.Number("accelerators")),
		guaranteed: e.Fields["guaranteed"] == true,
	}
	k := runKey{job, e.Text("unit"), e.Number("run")}
	if _, twice := c.runs[k]; twice {
		return
	}
	c.runs[k] = u
	c.count(e.Time, u, u.accelerators)
	if k.run > 1 {
		return
	}
	priority := cmp.Or(e.Text("priority"), fmt.Sprint(e.Number("priority")))
	w := c.waited[priority]
	if w == nil {
		w = &wait{}
		c.waited[priority] = w
	}
	w.runs++
	w.ms += e.Number("waitedMS")
}

func (c *counter) end(e *explain.Event, k runKey) {
	c.ends[e.Text("how")]++
	if u, ok := c.runs[k]; ok {
		delete(c.runs, k)
		c.count(e.Time, u, -u.accelerators)
		c.spent[e.Text("how")] += u.accelerators * e.Time.Sub(u.began).Seconds()
	}
}

// count adds accelerators to the use of a customer and of its kind.
func (c *counter) count(at time.Time, u runUse, n float64) {
	t := c.use[u.customer]
	if t == nil {
		t = &tally{}
		c.use[u.customer] = t
	}
	t.add(at, n)
	if u.guaranteed {
		c.held.add(at, n)
	} else {
		c.borrowed.add(at, n)
	}
}

func (c *counter) refuse(reason string, at time.Time) {
	if c.refused[reason] == nil {
		c.refused[reason] = map[int64]float64{}
	}
	c.refused[reason][at.Unix()]++
}

// fill puts the results into a report.
func (c *counter) fill(r *Report) {
	r.Changes = c.changes
	if len(c.queue.points) > 0 {
		r.queue = []series{c.queue}
	}
	var use []series
	for name, t := range c.use {
		use = append(use, series{name, t.points})
	}
	r.customer = largest(use)
	r.use = nonEmpty(
		series{"guaranteed jobs", c.held.points}, series{"other jobs", c.borrowed.points},
		series{"taken back a second", bySecond(c.back)},
	)
	var refused []series
	for reason, n := range c.refused {
		refused = append(refused, series{reason, bySecond(n)})
	}
	r.refused = largest(refused)
	for _, name := range slices.Sorted(maps.Keys(c.finals)) {
		r.Totals = append(r.Totals, Total{"jobs " + name, c.finals[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(c.ends)) {
		r.Totals = append(r.Totals, Total{"runs ended as " + name, c.ends[name]})
	}
	r.Totals = append(r.Totals, Total{"runs stopped to make room", c.preempts})
	for _, name := range slices.Sorted(maps.Keys(c.spent)) {
		r.Totals = append(r.Totals, Total{"accelerator-seconds of runs ended as " + name, int(c.spent[name])})
	}
	for _, name := range slices.Sorted(maps.Keys(c.waited)) {
		w := c.waited[name]
		r.Totals = append(r.Totals, Total{"mean wait of a first run at priority " + name + ", ms", int(w.ms / int64(w.runs))})
	}
	for _, reason := range slices.Sorted(maps.Keys(c.refused)) {
		n := 0.0
		for _, v := range c.refused[reason] {
			n += v
		}
		r.Totals = append(r.Totals, Total{"requests refused, " + reason, int(n)})
	}
}

func nonEmpty(list ...series) []series {
	return slices.DeleteFunc(list, func(s series) bool { return len(s.points) == 0 })
}

// bySecond returns counts as points that fall back to 0 after each second.
func bySecond(n map[int64]float64) []point {
	var out []point
	for _, sec := range slices.Sorted(maps.Keys(n)) {
		at := time.Unix(sec, 0).UTC()
		if k := len(out); k > 0 && out[k-1].at.Equal(at) {
			out[k-1].value = n[sec]
		} else {
			out = append(out, point{at, n[sec]})
		}
		out = append(out, point{at.Add(time.Second), 0})
	}
	return out
}

// largest returns the series with the highest peaks, by name.
func largest(list []series) []series {
	slices.SortFunc(list, func(a, b series) int {
		return cmp.Or(-cmp.Compare(peak(a), peak(b)), cmp.Compare(a.name, b.name))
	})
	list = list[:min(len(list), maxSeries)]
	slices.SortFunc(list, func(a, b series) int { return cmp.Compare(a.name, b.name) })
	return list
}

func peak(s series) float64 {
	var top float64
	for _, p := range s.points {
		top = max(top, p.value)
	}
	return top
}
