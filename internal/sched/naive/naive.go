// Package naive is the reference scheduler of the differential tests and the
// baseline of the measurements: first come, first served, first fit, without
// guarantees, reservations or preemption.
package naive

import (
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
)

// workerState is the free resources of one worker.
type workerState struct {
	worker *sched.Worker
	cores  int
	mem    int
	slots  int
	accel  []bool // true if in use
}

// Decide starts waiting jobs in the order of submission and stops at the first
// that does not fit.
func Decide(s *sched.Snapshot) sched.Plan {
	state := workerStates(s)
	var plan sched.Plan
	for i := range s.Waiting {
		j := &s.Waiting[i]
		p := place(state, j)
		if p == nil {
			break
		}
		plan.Starts = append(plan.Starts, sched.Start{ID: j.ID, Placement: p})
	}
	return plan
}

func workerStates(s *sched.Snapshot) []*workerState {
	byName := map[string]*workerState{}
	var out []*workerState
	for i := range s.Workers {
		w := &s.Workers[i]
		f := &workerState{worker: w, cores: w.Cores, mem: w.MemoryMiB, slots: w.Slots, accel: make([]bool, w.Accelerators)}
		byName[w.Name] = f
		out = append(out, f)
	}
	for i := range s.Running {
		r := &s.Running[i]
		for _, t := range r.Placement {
			if f := byName[t.Worker]; f != nil {
				f.take(&r.Spec, t.Accelerators)
			}
		}
	}
	return out
}

func (f *workerState) take(spec *model.JobSpec, accel []int) {
	f.cores -= spec.CPU
	f.mem -= spec.MemoryMiB
	f.slots--
	for _, a := range accel {
		if a < len(f.accel) {
			f.accel[a] = true
		}
	}
}

func (f *workerState) release(spec *model.JobSpec, accel []int) {
	f.cores += spec.CPU
	f.mem += spec.MemoryMiB
	f.slots++
	for _, a := range accel {
		f.accel[a] = false
	}
}

// fitTask returns free accelerators for one task, or false if the task does not
// fit.
func (f *workerState) fitTask(j *sched.Waiting) ([]int, bool) {
	if !f.worker.Usable || f.slots < 1 || f.cores < j.Spec.CPU || f.mem < j.Spec.MemoryMiB {
		return nil, false
	}
	if slices.Contains(j.Avoid, f.worker.Name) {
		return nil, false
	}
	got := []int{}
	for a := 0; a < len(f.accel) && len(got) < j.Spec.Accelerators; a++ {
		if !f.accel[a] {
			got = append(got, a)
		}
	}
	return got, len(got) == j.Spec.Accelerators
}

// place places all tasks of a job or none.
func place(state []*workerState, j *sched.Waiting) []model.TaskPlacement {
	if !j.Spec.Adjacent {
		return placeIn(state, j, nil)
	}
	racks := rackNames(state)
	for _, r := range racks {
		if p := placeIn(state, j, []string{r}); p != nil {
			return p
		}
	}
	if fitsRack(state, j, racks) {
		return nil
	}
	return placeNeighbours(state, j, racks)
}

// rackNames returns the racks by name; racks next to each other are neighbours.
func rackNames(state []*workerState) []string {
	var out []string
	for _, f := range state {
		out = append(out, f.worker.Rack)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// fitsRack reports whether a single empty rack could hold the job.
func fitsRack(state []*workerState, j *sched.Waiting, racks []string) bool {
	empty := make([]*workerState, 0, len(state))
	for _, f := range state {
		w := *f.worker
		w.Usable = true
		empty = append(empty, &workerState{worker: &w, cores: w.Cores, mem: w.MemoryMiB, slots: w.Slots, accel: make([]bool, w.Accelerators)})
	}
	unrestricted := *j
	unrestricted.Avoid = nil
	return slices.ContainsFunc(racks, func(r string) bool { return placeIn(empty, &unrestricted, []string{r}) != nil })
}

// placeNeighbours places a gang that is larger than a rack on the first aligned
// group of 2, 4, 8 ... neighbouring racks on which it fits.
func placeNeighbours(state []*workerState, j *sched.Waiting, racks []string) []model.TaskPlacement {
	for n := 2; n < 2*len(racks); n *= 2 {
		for i := 0; i < len(racks); i += n {
			if p := placeIn(state, j, racks[i:min(i+n, len(racks))]); p != nil {
				return p
			}
		}
	}
	return nil
}

// placeIn places all tasks on the named racks, or on any rack if racks is nil.
func placeIn(state []*workerState, j *sched.Waiting, racks []string) []model.TaskPlacement {
	var out []model.TaskPlacement
	placedOn := map[int]*workerState{}
	for _, f := range state {
		for len(out) < j.Spec.Tasks && (racks == nil || slices.Contains(racks, f.worker.Rack)) {
			accel, ok := f.fitTask(j)
			if !ok {
				break
			}
			f.take(&j.Spec, accel)
			placedOn[len(out)] = f
			out = append(out, model.TaskPlacement{Task: len(out), Worker: f.worker.Name, Accelerators: accel})
		}
	}
	if len(out) == j.Spec.Tasks {
		return out
	}
	for i, f := range placedOn {
		f.release(&j.Spec, out[i].Accelerators)
	}
	return nil
}
