package view

import (
	"slices"
	"strings"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Fragmentation is the free capacity of one zone. All numbers are accelerators
// of workers that take work.
type Fragmentation struct {
	Free int `json:"free"`
	// Stranded is the number of free accelerators that fit no waiting job. It is
	// 0 if no job with accelerators waits.
	Stranded int    `json:"stranded"`
	Waiting  int    `json:"waiting"` // jobs
	Racks    []Rack `json:"racks"`
}

// Rack is the free capacity of one rack.
type Rack struct {
	Rack string `json:"rack"`
	Free int    `json:"free"`
	// LargestBlock is the largest free aligned block of 2^n accelerators: part of
	// a worker, or 2^k whole neighbouring workers in the order of their names.
	LargestBlock int `json:"largest_block"`
	Stranded     int `json:"stranded"`
}

// capacity is what is left of one worker.
type capacity struct {
	rack  string
	cores int
	mem   int
	slots int
	used  []bool
	free  int
}

// NewFragmentation calculates the free capacity. usable tells whether a worker
// takes new work.
func NewFragmentation(workers []blackboard.Entry, active []*model.Job, usable func(*blackboard.Entry) bool) *Fragmentation {
	caps, waiting := capacities(workers, active, usable)
	out := &Fragmentation{Waiting: len(waiting), Racks: []Rack{}}
	racks := map[string][]*capacity{}
	for _, c := range caps {
		racks[c.rack] = append(racks[c.rack], c)
	}
	fits := fitting(caps, racks, waiting)
	for _, name := range sortedKeys(racks) {
		r := Rack{Rack: name, LargestBlock: largestBlock(racks[name])}
		for _, c := range racks[name] {
			r.Free += c.free
			if !fits[c] && demand(waiting) {
				r.Stranded += c.free
			}
		}
		out.Free += r.Free
		out.Stranded += r.Stranded
		out.Racks = append(out.Racks, r)
	}
	return out
}

func capacities(workers []blackboard.Entry, active []*model.Job, usable func(*blackboard.Entry) bool) ([]*capacity, []*model.Job) {
	byName := map[string]*capacity{}
	var caps []*capacity
	for i := range workers {
		w := &workers[i].Worker
		c := &capacity{
			rack: w.Rack, cores: w.Cores, mem: w.MemoryMiB, slots: w.Slots,
			used: make([]bool, w.Accelerators), free: w.Accelerators,
		}
		if !usable(&workers[i]) {
			c.block()
		}
		byName[w.Name] = c
		caps = append(caps, c)
	}
	var waiting []*model.Job
	for _, j := range active {
		if j.Attempt == nil {
			waiting = append(waiting, j)
			continue
		}
		for _, p := range j.Attempt.Placement {
			if c := byName[p.Worker]; c != nil {
				c.take(&j.Spec, p.Accelerators)
			}
		}
	}
	return caps, waiting
}

func (c *capacity) take(s *model.JobSpec, accelerators []int) {
	c.cores -= s.CPU
	c.mem -= s.MemoryMiB
	c.slots--
	for _, a := range accelerators {
		if a >= 0 && a < len(c.used) && !c.used[a] {
			c.used[a] = true
			c.free--
		}
	}
}

// block marks all of a worker that takes no work as in use. The worker keeps its
// place in the rack, so that blocks of its neighbours stay aligned.
func (c *capacity) block() {
	c.slots = 0
	c.free = 0
	for i := range c.used {
		c.used[i] = true
	}
}

// tasks returns how many tasks of a job the worker can take.
func (c *capacity) tasks(s *model.JobSpec) int {
	n := c.slots
	for _, q := range [][2]int{{c.free, s.Accelerators}, {c.cores, s.CPU}, {c.mem, s.MemoryMiB}} {
		if q[1] > 0 {
			n = min(n, q[0]/q[1])
		}
	}
	return max(0, n)
}

func demand(waiting []*model.Job) bool {
	return slices.ContainsFunc(waiting, func(j *model.Job) bool { return j.Spec.Accelerators > 0 })
}

// fitting returns the workers that could take a task of a waiting job that fits
// as a whole: in one rack if it is adjacent and no larger than the rack,
// otherwise anywhere in the zone.
func fitting(caps []*capacity, racks map[string][]*capacity, waiting []*model.Job) map[*capacity]bool {
	fits := map[*capacity]bool{}
	for _, j := range waiting {
		if j.Spec.Accelerators == 0 {
			continue
		}
		if !j.Spec.Adjacent || !fitsEmpty(racks, &j.Spec) {
			mark(fits, caps, &j.Spec)
			continue
		}
		for _, members := range racks {
			mark(fits, members, &j.Spec)
		}
	}
	return fits
}

// fitsEmpty reports whether a rack has as many accelerators as the job needs.
func fitsEmpty(racks map[string][]*capacity, s *model.JobSpec) bool {
	for _, members := range racks {
		n := 0
		for _, c := range members {
			n += len(c.used)
		}
		if n >= s.TotalAccelerators() {
			return true
		}
	}
	return false
}

func mark(fits map[*capacity]bool, members []*capacity, s *model.JobSpec) {
	total := 0
	for _, c := range members {
		total += c.tasks(s)
	}
	if total < s.Tasks {
		return
	}
	for _, c := range members {
		if c.tasks(s) > 0 {
			fits[c] = true
		}
	}
}

// largestBlock expects the workers of one rack in the order of their names.
func largestBlock(members []*capacity) int {
	best := 0
	for _, c := range members {
		for size := 1; size <= len(c.used); size *= 2 {
			if hasBlock(c.used, size) {
				best = max(best, size)
			}
		}
	}
	whole := make([]bool, len(members))
	for i, c := range members {
		whole[i] = c.free < len(c.used) || c.free == 0
	}
	for size := 2; size <= len(members); size *= 2 {
		for i := 0; i+size <= len(members); i += size {
			if !slices.Contains(whole[i:i+size], true) {
				best = max(best, sumFree(members[i:i+size]))
			}
		}
	}
	return best
}

// hasBlock reports whether an aligned block of the size is not in use.
func hasBlock(used []bool, size int) bool {
	for i := 0; i+size <= len(used); i += size {
		if !slices.Contains(used[i:i+size], true) {
			return true
		}
	}
	return false
}

func sumFree(members []*capacity) int {
	n := 0
	for _, c := range members {
		n += c.free
	}
	return n
}

func sortedKeys(m map[string][]*capacity) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}
