package view

import (
	"slices"
	"strings"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Fragmentation describes the free capacity of one availability zone. All
// numbers except Waiting count accelerators of workers that take new work.
type Fragmentation struct {
	Free int `json:"free"`
	// Stranded is the number of free accelerators on workers that cannot take a
	// task of any waiting job whose tasks all fit; see workersThatFit. It is 0 if
	// no waiting job needs accelerators.
	Stranded int    `json:"stranded"`
	Waiting  int    `json:"waiting"` // jobs
	Racks    []Rack `json:"racks"`
}

// Rack describes the free capacity of one rack.
type Rack struct {
	Rack string `json:"rack"`
	Free int    `json:"free"`
	// LargestBlock is the size of the largest free aligned block. A block is
	// either 2^n accelerators of one worker or 2^k entire workers that are
	// neighbours in the order of their names.
	LargestBlock int `json:"largest_block"`
	Stranded     int `json:"stranded"`
}

// capacity is the remaining capacity of one worker.
type capacity struct {
	rack  string
	cores int
	mem   int
	slots int
	used  []bool
	free  int
}

// NewFragmentation computes the free capacity of a zone. usable reports whether
// a worker takes new work.
func NewFragmentation(workers []blackboard.Entry, active []*model.Job, usable func(*blackboard.Entry) bool) *Fragmentation {
	caps, waiting := capacities(workers, active, usable)
	out := &Fragmentation{Waiting: len(waiting), Racks: []Rack{}}
	racks := map[string][]*capacity{}
	for _, c := range caps {
		racks[c.rack] = append(racks[c.rack], c)
	}
	fits := workersThatFit(caps, racks, waiting)
	for _, name := range sortedKeys(racks) {
		r := Rack{Rack: name, LargestBlock: largestBlock(racks[name])}
		for _, c := range racks[name] {
			r.Free += c.free
			if !fits[c] && anyNeedsAccelerators(waiting) {
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
			c.markUnusable()
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
				c.allocate(&j.Spec, p.Accelerators)
			}
		}
	}
	return caps, waiting
}

func (c *capacity) allocate(s *model.JobSpec, accelerators []int) {
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

// markUnusable marks all resources of a worker that takes no new work as in
// use. The worker stays in its rack's list, so that blocks of its neighbours
// stay aligned.
func (c *capacity) markUnusable() {
	c.slots = 0
	c.free = 0
	for i := range c.used {
		c.used[i] = true
	}
}

// tasksThatFit returns how many tasks of a job fit on the worker.
func (c *capacity) tasksThatFit(s *model.JobSpec) int {
	n := c.slots
	for _, q := range [][2]int{{c.free, s.Accelerators}, {c.cores, s.CPU}, {c.mem, s.MemoryMiB}} {
		if q[1] > 0 {
			n = min(n, q[0]/q[1])
		}
	}
	return max(0, n)
}

func anyNeedsAccelerators(waiting []*model.Job) bool {
	return slices.ContainsFunc(waiting, func(j *model.Job) bool { return j.Spec.Accelerators > 0 })
}

// workersThatFit returns the workers that could take a task of some waiting job
// that fits completely: within one rack if the job is adjacent and no larger
// than a rack, otherwise anywhere in the zone.
func workersThatFit(caps []*capacity, racks map[string][]*capacity, waiting []*model.Job) map[*capacity]bool {
	fits := map[*capacity]bool{}
	for _, j := range waiting {
		if j.Spec.Accelerators == 0 {
			continue
		}
		if !j.Spec.Adjacent || !fitsWithinRack(racks, &j.Spec) {
			markWorkersThatFit(fits, caps, &j.Spec)
			continue
		}
		for _, workers := range racks {
			markWorkersThatFit(fits, workers, &j.Spec)
		}
	}
	return fits
}

// fitsWithinRack reports whether some rack has, free or in use, as many
// accelerators as the job needs.
func fitsWithinRack(racks map[string][]*capacity, s *model.JobSpec) bool {
	for _, workers := range racks {
		n := 0
		for _, c := range workers {
			n += len(c.used)
		}
		if n >= s.TotalAccelerators() {
			return true
		}
	}
	return false
}

func markWorkersThatFit(fits map[*capacity]bool, workers []*capacity, s *model.JobSpec) {
	total := 0
	for _, c := range workers {
		total += c.tasksThatFit(s)
	}
	if total < s.Tasks {
		return
	}
	for _, c := range workers {
		if c.tasksThatFit(s) > 0 {
			fits[c] = true
		}
	}
}

// largestBlock returns the size of the largest free aligned block in a rack.
// The workers must be sorted by name.
func largestBlock(workers []*capacity) int {
	best := 0
	for _, c := range workers {
		for size := 1; size <= len(c.used); size *= 2 {
			if hasFreeBlock(c.used, size) {
				best = max(best, size)
			}
		}
	}
	occupied := make([]bool, len(workers))
	for i, c := range workers {
		occupied[i] = c.free < len(c.used) || c.free == 0
	}
	for size := 2; size <= len(workers); size *= 2 {
		for i := 0; i+size <= len(workers); i += size {
			if !slices.Contains(occupied[i:i+size], true) {
				best = max(best, sumFree(workers[i:i+size]))
			}
		}
	}
	return best
}

// hasFreeBlock reports whether an aligned block of the given size is free.
func hasFreeBlock(used []bool, size int) bool {
	for i := 0; i+size <= len(used); i += size {
		if !slices.Contains(used[i:i+size], true) {
			return true
		}
	}
	return false
}

func sumFree(workers []*capacity) int {
	n := 0
	for _, c := range workers {
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
