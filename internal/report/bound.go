package report

import (
	"cmp"
	"io"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/explain"
)

// A bound says how much of the demand any order and any placement could have
// served on time. Work may be split at will over time and workers, racks and labels are
// left out, nothing fails and nothing is stopped, and each job takes what its caller
// estimated. Each resource bounds the day on its own. What a real day misses of it is the price of placement,
// faults and decisions together.

// slotLength is the grain of a bound. Work within a slot has no order.
const slotLength = 500 * time.Millisecond

// Demand is one job as far as a bound needs it.
type Demand struct {
	Job       string
	Priority  int
	From, Due time.Time       // accepted, or first due; the aim of its queue
	Work      batch.Resources // each multiplied by ms, over all units
	AtOnce    batch.Resources // that its units can use at the same time
	OnTime    bool            // it was completed by Due
}

// Bound is how many jobs of a priority were served on time, and how many could
// have been while the more urgent priorities are served as well as they can be.
type Bound struct {
	Priority int     `json:"priority"`
	Jobs     int     `json:"jobs"`
	OnTime   int     `json:"on_time"`
	Possible float64 `json:"possible"` // a job done in part counts in part
	Limit    string  `json:"limit"`    // the resource that bounds it, or ""
}

// ReadBounds computes the bounds of a day from logs in any order. It also returns
// the capacity of all workers that were recorded. Its error is a *NoEventsError or
// that of a reader.
func ReadBounds(logs ...io.Reader) (bounds []Bound, capacity batch.Resources, err error) {
	jobs := map[string]*Demand{}
	ended := map[string]time.Time{}
	workers := map[string]batch.Resources{}
	for _, l := range logs {
		skipped, _, err := explain.Scan(l, func(e explain.Event) {
			switch id := e.Text("job"); {
			case e.Message == "worker recorded":
				workers[e.Text("worker")] = resources(&e, "capacity")
			case e.Message == "job recorded" && jobs[id] == nil:
				jobs[id] = demand(&e)
			case e.Message == "job concluded" && e.Text("state") == "completed":
				ended[id] = e.Time
			}
		})
		if err != nil {
			return nil, capacity, err
		}
		if len(jobs) == 0 && len(workers) == 0 && skipped > 0 {
			return nil, capacity, &NoEventsError{Skipped: skipped}
		}
	}
	var list []Demand
	for id, d := range jobs {
		at, done := ended[id]
		d.OnTime = done && !at.After(d.Due)
		list = append(list, *d)
	}
	for _, c := range workers {
		capacity = capacity.Add(c)
	}
	return Bounds(list, capacity), capacity, nil
}

func demand(e *explain.Event) *Demand {
	return &Demand{
		Job: e.Text("job"), Priority: int(e.Number("priority")), Work: resources(e, "workMS"), AtOnce: resources(e, "atOnce"),
		From: time.UnixMilli(e.Number("fromMS")), Due: time.UnixMilli(e.Number("dueMS")),
	}
}

// resources returns a field that is an object of resources.
func resources(e *explain.Event, name string) batch.Resources {
	fields, _ := e.Fields[name].(map[string]any)
	number := func(name string) int64 {
		sub := explain.Event{Fields: fields}
		return sub.Number(name)
	}
	return batch.Resources{CPU: number("cpu_millis"), MemoryMB: number("memory_mb"), Accelerators: number("accelerators")}
}

// kinds are the resources that bound a day, each on its own.
var kinds = []struct {
	name string
	of   func(batch.Resources) int64
}{
	{"accelerators", func(r batch.Resources) int64 { return r.Accelerators }},
	{"cores", func(r batch.Resources) int64 { return r.CPU }},
	{"memory", func(r batch.Resources) int64 { return r.MemoryMB }},
}

// Bounds computes the bounds of jobs on a capacity, the most urgent priority first:
// for each priority that of the scarcest resource.
func Bounds(jobs []Demand, capacity batch.Resources) []Bound {
	var out []Bound
	for _, k := range kinds {
		list := make([]share, len(jobs))
		for i, j := range jobs {
			list[i] = share{Demand: j, work: k.of(j.Work), atOnce: k.of(j.AtOnce)}
		}
		for i, b := range boundsOf(list, k.of(capacity)) {
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

// share is a job's demand for one resource.
type share struct {
	Demand
	work, atOnce int64
}

// boundsOf computes the bounds by one resource. The amounts of work that can be done
// together form a polymatroid, so that adding the jobs one by one, within a priority
// those with the least work first, is best.
func boundsOf(jobs []share, capacity int64) []Bound {
	slices.SortFunc(jobs, func(a, b share) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.work, b.work), cmp.Compare(a.Job, b.Job))
	})
	f := newFluid(jobs, capacity)
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
			b.Possible++ // it needs none of the resource
			continue
		}
		b.Possible += float64(f.add(i)) / float64(j.work)
	}
	return out
}

// fluid is a flow of work from jobs into slots of time, in amounts of a resource
// multiplied by ms.
type fluid struct {
	jobs  []share
	first time.Time
	free  []int64         // of each slot
	room  []map[int]int64 // by job and slot: what the job may still take there
	taken []map[int]int64 // by slot and job
}

func newFluid(jobs []share, capacity int64) *fluid {
	f := &fluid{jobs: jobs, room: make([]map[int]int64, len(jobs))}
	var last time.Time
	for i, j := range jobs {
		if i == 0 || j.From.Before(f.first) {
			f.first = j.From
		}
		if j.Due.After(last) {
			last = j.Due
		}
	}
	for range int(last.Sub(f.first)/slotLength) + 1 {
		f.free = append(f.free, capacity*slotLength.Milliseconds())
		f.taken = append(f.taken, map[int]int64{})
	}
	for i, j := range jobs {
		f.room[i] = map[int]int64{}
		for s := int(j.From.Sub(f.first) / slotLength); s < len(f.free); s++ {
			begin := f.first.Add(time.Duration(s) * slotLength)
			if !begin.Before(j.Due) {
				break
			}
			from, to := latest(begin, j.From), earliest(begin.Add(slotLength), j.Due)
			f.room[i][s] = min(j.atOnce, capacity) * to.Sub(from).Milliseconds()
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

// add takes as much of a job's work as fits beside all that is in already, which
// may move to other slots. It returns that amount.
func (f *fluid) add(i int) int64 {
	var sum int64
	for sum < f.jobs[i].work {
		n := f.push(i, f.jobs[i].work-sum, make([]bool, len(f.free)))
		if n == 0 {
			break
		}
		sum += n
	}
	return sum
}

// push places up to want of a job's work into slots that were not seen, and returns
// how much. Work of other jobs makes room if it can be pushed elsewhere.
func (f *fluid) push(i int, want int64, seen []bool) int64 {
	for s, room := range f.room[i] {
		if n := min(want, room, f.free[s]); n > 0 {
			f.free[s] -= n
			f.move(i, s, n)
			return n
		}
	}
	for s, room := range f.room[i] {
		if room == 0 || seen[s] {
			continue
		}
		seen[s] = true
		for k, n := range f.taken[s] {
			if k == i || n == 0 {
				continue
			}
			if moved := f.push(k, min(want, room, n), seen); moved > 0 {
				f.move(k, s, -moved)
				f.move(i, s, moved)
				return moved
			}
		}
	}
	return 0
}

// move gives n of a slot to a job; a negative n takes it back.
func (f *fluid) move(i, s int, n int64) {
	f.room[i][s] -= n
	f.taken[s][i] += n
}
