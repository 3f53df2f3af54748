// Package batch holds the jobs of a region's group: jobs made of steps, their
// units, and the runs of each unit on a worker. It is the state machine that the
// group replicates; every change is a Command.
package batch

import "fmt"

// Resources are what a unit needs or a worker has.
type Resources struct {
	CPU          int64 `cbor:"1,keyasint,omitempty" json:"cpu_millis,omitempty"` // thousandths of a core
	MemoryMB     int64 `cbor:"2,keyasint,omitempty" json:"memory_mb,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Times returns how many units of the given need fit into r, at most limit.
func (r Resources) Times(need Resources, limit int) int {
	n := int64(limit)
	for _, d := range [...][2]int64{{r.CPU, need.CPU}, {r.MemoryMB, need.MemoryMB}, {r.Accelerators, need.Accelerators}} {
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return int(max(n, 0))
}

// Step is one step of a job: Count equal units.
type Step struct {
	Count         int       `cbor:"1,keyasint" json:"count"`
	Need          Resources `cbor:"2,keyasint" json:"need"`
	EstimateMS    int64     `cbor:"3,keyasint,omitempty" json:"estimate_ms,omitempty"` // the caller's rough estimate of a unit's duration
	DependsOn     []int     `cbor:"4,keyasint,omitempty" json:"depends_on,omitempty"`  // earlier steps whose units must all be done
	Checkpoints   bool      `cbor:"5,keyasint,omitempty" json:"checkpoints,omitempty"` // its units save their progress
	Gang          bool      `cbor:"6,keyasint,omitempty" json:"gang,omitempty"`        // its units work only all together
	SameRack      bool      `cbor:"7,keyasint,omitempty" json:"same_rack,omitempty"`   // it is slower on more than one rack
	RequiredLabel string    `cbor:"8,keyasint,omitempty" json:"label,omitempty"`
	DataRack      string    `cbor:"9,keyasint,omitempty" json:"data_rack,omitempty"`       // rack that holds its data
	MaxPerWorker  int       `cbor:"10,keyasint,omitempty" json:"max_per_worker,omitempty"` // 0 for no limit
	Lasting       bool      `cbor:"11,keyasint,omitempty" json:"lasting,omitempty"`        // its units run until the job is cancelled
}

// Spec is a job as its caller describes it.
type Spec struct {
	Payload string `cbor:"1,keyasint,omitempty" json:"payload,omitempty"` // given to each unit
	Steps   []Step `cbor:"2,keyasint" json:"steps"`
	// Occurrences is how often the steps run; 0 for once, at once.
	Occurrences int   `cbor:"3,keyasint,omitempty" json:"occurrences,omitempty"`
	StartMS     int64 `cbor:"4,keyasint,omitempty" json:"start_ms,omitempty"` // Unix time of occurrence 0, ms
	IntervalMS  int64 `cbor:"5,keyasint,omitempty" json:"interval_ms,omitempty"`
}

// State is the state of a job.
type State uint8

// The states of a job. The last three are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

var stateNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

func (s State) String() string { return stateNames[s] }

// Final reports whether a job in this state never changes again.
func (s State) Final() bool { return s >= Completed }

// UnitState is the state of a unit.
type UnitState uint8

// The states of a unit.
const (
	Waiting UnitState = iota
	Active            // a run was recorded and its end is not
	Done
)

// Unit is one unit of a step.
type Unit struct {
	State   UnitState `cbor:"1,keyasint,omitempty"`
	Run     int       `cbor:"2,keyasint,omitempty"` // number of the last run; the first is 1
	Worker  string    `cbor:"3,keyasint,omitempty"` // of the last run
	Life    int64     `cbor:"4,keyasint,omitempty"` // of that worker
	Failed  int       `cbor:"5,keyasint,omitempty"` // runs that failed
	Saved   string    `cbor:"6,keyasint,omitempty"` // last checkpoint; "" for none
	SinceMS int64     `cbor:"7,keyasint,omitempty"` // when the last run was recorded, Unix ms
}

// Group is one step of one occurrence.
type Group struct {
	Occurrence int    `cbor:"1,keyasint,omitempty"`
	Step       int    `cbor:"2,keyasint,omitempty"`
	Units      []Unit `cbor:"3,keyasint"`
	Left       int    `cbor:"4,keyasint"`           // units that are not done
	Failures   int    `cbor:"5,keyasint,omitempty"` // failed runs of a gang
	LastFailed int    `cbor:"6,keyasint,omitempty"` // run number of the gang's last failure
	Saved      string `cbor:"7,keyasint,omitempty"` // last checkpoint of a gang
}

// ref names a unit of the group.
func (g *Group) ref(job string, index int) UnitRef {
	return UnitRef{Job: job, Occurrence: g.Occurrence, Step: g.Step, Index: index}
}

// Job is an accepted job.
type Job struct {
	ID         string  `cbor:"1,keyasint"`
	Seq        uint64  `cbor:"2,keyasint"` // order of acceptance
	Queue      string  `cbor:"3,keyasint"`
	Host       string  `cbor:"4,keyasint"` // of the queue it was handed in to
	Prefix     string  `cbor:"5,keyasint"`
	Customer   string  `cbor:"6,keyasint,omitempty"`
	Spec       Spec    `cbor:"7,keyasint"`
	AcceptedMS int64   `cbor:"8,keyasint"` // Unix ms, clock of the leader that accepted it
	State      State   `cbor:"9,keyasint,omitempty"`
	EndedMS    int64   `cbor:"10,keyasint,omitempty"`
	Groups     []Group `cbor:"11,keyasint"`
	Active     int     `cbor:"12,keyasint,omitempty"` // units in state Active
}

// Progress counts the units of a job.
type Progress struct {
	Units      int `cbor:"1,keyasint" json:"units"` // of all occurrences
	Active     int `cbor:"2,keyasint,omitempty" json:"active"`
	Done       int `cbor:"3,keyasint,omitempty" json:"done"`
	FailedRuns int `cbor:"4,keyasint,omitempty" json:"failed_runs"`
}

// Progress counts the units.
func (j *Job) Progress() Progress {
	p := Progress{Active: j.Active}
	for gi := range j.Groups {
		g := &j.Groups[gi]
		p.Units += len(g.Units)
		p.Done += len(g.Units) - g.Left
		for i := range g.Units {
			p.FailedRuns += g.Units[i].Failed
		}
	}
	return p
}

// belongsTo reports whether a customer may see the job. Without a key, on a
// public queue, the customer is "" and no owner can be told.
func (j *Job) belongsTo(customer string) bool {
	return j.Customer == "" || customer == "" || j.Customer == customer
}

// Timed reports whether the job has occurrences with due times.
func (j *Job) Timed() bool { return j.Spec.Occurrences > 0 }

// DueMS returns the Unix time in ms from which a group may start.
func (j *Job) DueMS(g *Group) int64 {
	if !j.Timed() {
		return 0
	}
	return j.Spec.StartMS + int64(g.Occurrence)*j.Spec.IntervalMS
}

// Step returns the step that a group runs.
func (j *Job) Step(g *Group) *Step { return &j.Spec.Steps[g.Step] }

// Group returns the group of a step of an occurrence, or nil.
func (j *Job) Group(occurrence, step int) *Group {
	if occurrence < 0 || step < 0 || step >= len(j.Spec.Steps) {
		return nil
	}
	i := occurrence*len(j.Spec.Steps) + step
	if i >= len(j.Groups) {
		return nil
	}
	return &j.Groups[i]
}

// Open reports whether every step that a group depends on is done.
func (j *Job) Open(g *Group) bool {
	for _, d := range j.Step(g).DependsOn {
		if j.Group(g.Occurrence, d).Left > 0 {
			return false
		}
	}
	return true
}

// UnitRef names a unit.
type UnitRef struct {
	Job        string `cbor:"1,keyasint" json:"job"`
	Occurrence int    `cbor:"2,keyasint,omitempty" json:"occurrence,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty" json:"step,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty" json:"index,omitempty"`
}

// String returns occurrence, step and index; the job is logged beside it.
func (r UnitRef) String() string { return fmt.Sprintf("%d.%d.%d", r.Occurrence, r.Step, r.Index) }

// Queue is where callers hand jobs in; a host and a path prefix select it.
type Queue struct {
	Name        string  `cbor:"1,keyasint" json:"name"`
	Host        string  `cbor:"2,keyasint" json:"-"`
	Prefix      string  `cbor:"3,keyasint" json:"-"`
	Priority    int     `cbor:"4,keyasint,omitempty" json:"priority,omitempty"`     // 0 comes first
	MaxAttempts int     `cbor:"5,keyasint,omitempty" json:"max_attempts,omitempty"` // failed runs of a unit after which its job fails
	Stretch     float64 `cbor:"6,keyasint,omitempty" json:"stretch,omitempty"`      // aim: at most this many times the job's own length
	TargetMS    int64   `cbor:"7,keyasint,omitempty" json:"target_ms,omitempty"`    // added to the aim
	Service     string  `cbor:"8,keyasint" json:"service"`
	Public      bool    `cbor:"9,keyasint,omitempty" json:"public,omitempty"` // needs no key
	// Closed queues take no jobs, because they ask for what is not built.
	Closed bool `cbor:"10,keyasint,omitempty" json:"-"`
}

// AimMS returns by when a job of the queue should be completed whose turn comes at
// a time, Unix ms. lengthMS is the estimate of its longest chain of steps.
func (q *Queue) AimMS(sinceMS, lengthMS int64) int64 {
	return sinceMS + q.TargetMS + int64(q.Stretch*float64(lengthMS))
}

// Customer has keys and a guaranteed number of accelerators for its jobs of
// priority 0.
type Customer struct {
	Name       string   `cbor:"1,keyasint" json:"name"`
	Keys       []string `cbor:"2,keyasint" json:"keys"`
	Guaranteed int64    `cbor:"3,keyasint,omitempty" json:"guaranteed_accelerators,omitempty"`
}

// Service is a group of workers.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// EnforcesCapacity is set if its workers refuse what does not fit.
	EnforcesCapacity bool `cbor:"2,keyasint,omitempty" json:"enforces_capacity,omitempty"`
}

// Config is a whole configuration. It replaces the one before.
type Config struct {
	Version   uint64     `cbor:"1,keyasint" json:"version"`
	Queues    []Queue    `cbor:"2,keyasint" json:"queues"`
	Services  []Service  `cbor:"3,keyasint" json:"services"`
	Customers []Customer `cbor:"4,keyasint" json:"customers"`
	// Document is what the operator published; it is returned unchanged.
	Document []byte `cbor:"5,keyasint" json:"-"`
}

// Worker is what the group records of a worker: enough for a new leader to ask
// it what it runs.
type Worker struct {
	ID       string    `cbor:"1,keyasint" json:"name"`
	Life     int64     `cbor:"2,keyasint" json:"life"` // start of its process, Unix ms; a higher one is a later life
	Address  string    `cbor:"3,keyasint" json:"address"`
	Service  string    `cbor:"4,keyasint" json:"service"`
	Zone     string    `cbor:"5,keyasint,omitempty" json:"availability_zone,omitempty"`
	Capacity Resources `cbor:"6,keyasint" json:"capacity"`
	Labels   []string  `cbor:"7,keyasint,omitempty" json:"labels,omitempty"`
	Rack     string    `cbor:"8,keyasint,omitempty" json:"rack,omitempty"`
	Draining bool      `cbor:"9,keyasint,omitempty" json:"draining,omitempty"`
}

// LengthMS returns the caller's estimate of the longest chain of steps, ms.
func (j *Job) LengthMS() int64 {
	ends := make([]int64, len(j.Spec.Steps))
	var longest int64
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		for _, d := range st.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += st.EstimateMS
		longest = max(longest, ends[i])
	}
	return longest
}

// Demand returns what the job's units take by the caller's estimates, each resource
// multiplied by milliseconds, and what they can use at once.
func (j *Job) Demand() (work, atOnce Resources) {
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		n := int64(st.Count) * int64(max(1, j.Spec.Occurrences))
		need := Resources{CPU: n * st.Need.CPU, MemoryMB: n * st.Need.MemoryMB, Accelerators: n * st.Need.Accelerators}
		atOnce = atOnce.Add(need)
		work = work.Add(Resources{CPU: need.CPU * st.EstimateMS, MemoryMB: need.MemoryMB * st.EstimateMS, Accelerators: need.Accelerators * st.EstimateMS})
	}
	return work, atOnce
}
