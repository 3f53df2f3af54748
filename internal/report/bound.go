package report

import (
	"cmp"
	"io"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/explain"
)

// A bound is an upper limit on the demand that any order and any placement could have
// served on time. It assumes that work can be split at will over time and workers, that
// racks and labels do not matter, that nothing fails or is stopped, and that each job
// takes as long as its caller estimated. Each resource gives a bound of its own. The
// difference between the bound and what was served is the combined cost of placement,
// faults and scheduling decisions.

// slotLength is the time resolution of a bound. Work within a slot is not ordered.
const slotLength = 500 * time.Millisecond

// Demand holds the properties of a job from which bounds are computed.
type Demand struct {
	Job      string
	Priority int
	// From is the time of acceptance or, for a job with due times, that of its first
	// occurrence. Due is the target for the completion of the whole job.
	From, Due   time.Time
	Work        batch.Resources // resource amounts multiplied by ms, summed over all units
	MaxParallel batch.Resources // most that its units can use at the same time
	OnTime      bool            // completed by Due
}

// Bound holds how many jobs of a priority were completed on time, and how many could
// have been if more urgent priorities are served first, as far as possible.
type Bound struct {
	Priority int     `json:"priority"`
	Jobs     int     `json:"jobs"`
	OnTime   int     `json:"on_time"`
	Possible float64 `json:"possible"` // a partly served job counts as a fraction
	Limit    string  `json:"limit"`    // the scarcest resource, or "" if all jobs fit
}

// The messages from which bounds are computed.
const (
	workerMessage = "worker recorded"
	demandMessage = "job recorded"
	endMessage    = "job concluded"
)

var boundMessages = []string{workerMessage, demandMessage, endMessage}

// ReadBounds computes the bounds from logs in any order. It also returns the total
// capacity of all workers that were recorded. Its error is a *NoEventsError or
// that of a reader.
func ReadBounds(logs ...io.Reader) (bounds []Bound, capacity batch.Resources, err error) {
	var events []explain.Event
	var skipped explain.SkipCounts
	for _, l := range logs {
		s, _, err := explain.Scan(l, func(e explain.Event) {
			if slices.Contains(boundMessages, e.Message) {
				events = append(events, e)
			}
		})
		if err != nil {
			return nil, capacity, err
		}
		skipped = skipped.Add(s)
	}
	if len(events) == 0 && skipped.Total() > 0 {
		return nil, capacity, &NoEventsError{Skipped: skipped}
	}
	// Several leaders may have logged the same job or worker. Of those lines the first
	// or the last counts, so their order must not depend on that of the logs.
	slices.SortFunc(events, func(a, b explain.Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Details(""), b.Details("")))
	})
	jobs := map[string]*Demand{}
	completedAt := map[string]time.Time{}
	workers := map[string]batch.Resources{}
	for i := range events {
		e := &events[i]
		switch id := e.Text("job"); {
		case e.Message == workerMessage:
			workers[e.Text("worker")] = resourcesField(e, "capacity")
		case e.Message == demandMessage && jobs[id] == nil:
			jobs[id] = parseDemand(e)
		case e.Message == endMessage && e.Text("state") == "completed" && completedAt[id].IsZero():
			completedAt[id] = e.Time
		}
	}
	var list []Demand
	for id, d := range jobs {
		at, done := completedAt[id]
		d.OnTime = done && !at.After(d.Due)
		list = append(list, *d)
	}
	for _, c := range workers {
		capacity = capacity.Add(c)
	}
	return Bounds(list, capacity), capacity, nil
}

// parseDemand returns the demand of a "job recorded" line.
func parseDemand(e *explain.Event) *Demand {
	return &Demand{
		Job: e.Text("job"), Priority: int(e.Number("priority")), Work: resourcesField(e, "workMS"), MaxParallel: resourcesField(e, "atOnce"),
		From: time.UnixMilli(e.Number("fromMS")), Due: time.UnixMilli(e.Number("dueMS")),
	}
}

// resourcesField returns a field whose value is an object of resource amounts.
func resourcesField(e *explain.Event, name string) batch.Resources {
	fields, _ := e.Fields[name].(map[string]any)
	number := func(name string) int64 {
		sub := explain.Event{Fields: fields}
		return sub.Number(name)
	}
	return batch.Resources{CPU: number("cpu_millis"), MemoryMB: number("memory_mb"), Accelerators: number("accelerators")}
}

// resourceKinds are the resources, each of which gives a bound of its own.
var resourceKinds = []struct {
	name   string
	amount func(batch.Resources) int64
}{
	{"accelerators", func(r batch.Resources) int64 { return r.Accelerators }},
	{"cores", func(r batch.Resources) int64 { return r.CPU }},
	{"memory", func(r batch.Resources) int64 { return r.MemoryMB }},
}

// Bounds returns one bound per priority for jobs on the given capacity, the most urgent
// priority first. Each is the bound of the scarcest resource.
func Bounds(jobs []Demand, capacity batch.Resources) []Bound {
	var out []Bound
	for _, k := range resourceKinds {
		list := make([]resourceDemand, len(jobs))
		for i, j := range jobs {
			list[i] = resourceDemand{Demand: j, work: k.amount(j.Work), maxParallel: k.amount(j.MaxParallel)}
		}
		for i, b := range boundsForResource(list, k.amount(capacity)) {
			if b.Possible < float64(b.Jobs) {
				b.Limit = k.name
			}
			if i == len(out) {
				out = append(out, b)
			} else if b.Possible < out[i].Possible {
				out[i] = b
			}
		}
	}
	return out
}

// resourceDemand is a job's demand for one resource.
type resourceDemand struct {
	Demand
	work, maxParallel int64
}

// boundsForResource computes the bounds for one resource. The amounts of work that can
// be served together form a polymatroid, so the greedy order is optimal: jobs are added
// one by one by priority, and within a priority by increasing work.
func boundsForResource(jobs []resourceDemand, capacity int64) []Bound {
	slices.SortFunc(jobs, func(a, b resourceDemand) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.work, b.work), cmp.Compare(a.Job, b.Job))
	})
	f := newFlow(jobs, capacity)
	var out []Bound
	for i, j := range jobs {
		if len(out) == 0 || out[len(out)-1].Priority != j.Priority {
			out = append(out, Bound{Priority: j.Priority})
		}
		b := &out[len(out)-1]
		b.Jobs++
		if j.OnTime {
			b.OnTime++
		}
		if j.work <= 0 {
			b.Possible++ // the job needs none of this resource
			continue
		}
		b.Possible += float64(f.addJob(i)) / float64(j.work)
	}
	return out
}

// flow is a network flow from jobs into time slots. Its unit is an amount of a resource
// multiplied by ms.
type flow struct {
	jobs     []resourceDemand
	start    time.Time
	free     []int64         // unassigned capacity by slot
	residual []map[int]int64 // by job and slot: the amount that the job may still use there
	assigned []map[int]int64 // by slot and job: the amount that the job uses there
}

func newFlow(jobs []resourceDemand, capacity int64) *flow {
	f := &flow{jobs: jobs, residual: make([]map[int]int64, len(jobs))}
	var last time.Time
	for i, j := range jobs {
		if i == 0 || j.From.Before(f.start) {
			f.start = j.From
		}
		if j.Due.After(last) {
			last = j.Due
		}
	}
	for range int(last.Sub(f.start)/slotLength) + 1 {
		f.free = append(f.free, capacity*slotLength.Milliseconds())
		f.assigned = append(f.assigned, map[int]int64{})
	}
	for i, j := range jobs {
		f.residual[i] = map[int]int64{}
		for s := int(j.From.Sub(f.start) / slotLength); s < len(f.free); s++ {
			begin := f.start.Add(time.Duration(s) * slotLength)
			if !begin.Before(j.Due) {
				break
			}
			from, to := latest(begin, j.From), earliest(begin.Add(slotLength), j.Due)
			f.residual[i][s] = min(j.maxParallel, capacity) * to.Sub(from).Milliseconds()
		}
	}
	return f
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// addJob assigns as much of a job's work as fits together with all work assigned before,
// which may move to other slots. It returns the amount assigned.
func (f *flow) addJob(i int) int64 {
	var sum int64
	for sum < f.jobs[i].work {
		n := f.augment(i, f.jobs[i].work-sum, make([]bool, len(f.free)))
		if n == 0 {
			break
		}
		sum += n
	}
	return sum
}

// augment assigns up to want of a job's work to slots along one augmenting path and
// returns the amount. If no slot of the job has free capacity, it moves work of another
// job from a slot that was not visited to another slot.
func (f *flow) augment(i int, want int64, visited []bool) int64 {
	for s, residual := range f.residual[i] {
		if n := min(want, residual, f.free[s]); n > 0 {
			f.free[s] -= n
			f.assign(i, s, n)
			return n
		}
	}
	for s, residual := range f.residual[i] {
		if residual == 0 || visited[s] {
			continue
		}
		visited[s] = true
		for k, n := range f.assigned[s] {
			if k == i || n == 0 {
				continue
			}
			if moved := f.augment(k, min(want, residual, n), visited); moved > 0 {
				f.assign(k, s, -moved)
				f.assign(i, s, moved)
				return moved
			}
		}
	}
	return 0
}

// assign gives n of a slot to a job; a negative n returns it.
func (f *flow) assign(i, s int, n int64) {
	f.residual[i][s] -= n
	f.assigned[s][i] += n
}
