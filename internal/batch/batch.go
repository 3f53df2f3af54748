// Package batch implements the replicated state machine of a region's group (see
// package region; package jobs is the one of a single availability zone). Its state
// is the jobs, which consist of steps and their units, and the runs of each unit on
// a worker. Every change is a Command.
package batch

import "fmt"

// Resources are the resources that a unit needs or a worker provides.
type Resources struct {
	CPU          int64 `cbor:"1,keyasint,omitempty" json:"cpu_millis,omitempty"` // thousandths of a core
	MemoryMB     int64 `cbor:"2,keyasint,omitempty" json:"memory_mb,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether the resources in need fit into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// FitsTimes reports whether n units of the given need fit into r.
func (r Resources) FitsTimes(need Resources, n int64) bool {
	return n*need.CPU <= r.CPU && n*need.MemoryMB <= r.MemoryMB && n*need.Accelerators <= r.Accelerators
}

// CountFitting returns how many units of the given need fit into r, at most limit.
func (r Resources) CountFitting(need Resources, limit int) int {
	if !r.Fits(need) {
		return 0 // most workers are full; saves the divisions
	}
	n := int64(limit)
	for _, d := range [...][2]int64{{r.CPU, need.CPU}, {r.MemoryMB, need.MemoryMB}, {r.Accelerators, need.Accelerators}} {
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return int(max(n, 0))
}

// Step is one step of a job. It consists of Count identical units.
type Step struct {
	Count         int       `cbor:"1,keyasint" json:"count"`
	Need          Resources `cbor:"2,keyasint" json:"need"`
	EstimateMS    int64     `cbor:"3,keyasint,omitempty" json:"estimate_ms,omitempty"` // the caller's rough estimate of a unit's duration
	DependsOn     []int     `cbor:"4,keyasint,omitempty" json:"depends_on,omitempty"`  // earlier steps whose units must all be done
	Checkpoints   bool      `cbor:"5,keyasint,omitempty" json:"checkpoints,omitempty"` // its units save checkpoints
	Gang          bool      `cbor:"6,keyasint,omitempty" json:"gang,omitempty"`        // its units must all run at the same time
	SameRack      bool      `cbor:"7,keyasint,omitempty" json:"same_rack,omitempty"`   // it runs slower if spread over several racks
	RequiredLabel string    `cbor:"8,keyasint,omitempty" json:"label,omitempty"`
	DataRack      string    `cbor:"9,keyasint,omitempty" json:"data_rack,omitempty"`       // rack that stores its data
	MaxPerWorker  int       `cbor:"10,keyasint,omitempty" json:"max_per_worker,omitempty"` // 0 means no limit
	LongRunning   bool      `cbor:"11,keyasint,omitempty" json:"lasting,omitempty"`        // its units run until the job is cancelled
}

// Spec is the caller's description of a job.
type Spec struct {
	Payload string `cbor:"1,keyasint,omitempty" json:"payload,omitempty"` // passed to each unit
	Steps   []Step `cbor:"2,keyasint" json:"steps"`
	// Occurrences is the number of times the steps run; 0 means once, immediately.
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

func (s State) String() string { return nameOf(stateNames[:], uint8(s)) }

// nameOf returns a name by its index. Values of a later version have no name here.
func nameOf(names []string, i uint8) string {
	if int(i) >= len(names) {
		return "unknown"
	}
	return names[i]
}

// Final reports whether a job in this state never changes again.
func (s State) Final() bool { return s >= Completed }

// FailCause tells why a job has failed.
type FailCause uint8

// The causes of a failure.
const (
	NotFailed        FailCause = iota
	FailedByAttempts           // a unit or gang has failed as often as its queue allows
	FailedByCrashes            // a unit has crashed the workers that started it
)

var failCauseNames = [...]string{"", "attempts_used_up", "crashes_workers"}

func (c FailCause) String() string { return nameOf(failCauseNames[:], uint8(c)) }

// UnitState is the state of a unit.
type UnitState uint8

// The states of a unit.
const (
	Waiting UnitState = iota
	Active            // a run is recorded and has not ended
	Done
)

// Unit is one unit of a step.
type Unit struct {
	State       UnitState `cbor:"1,keyasint,omitempty"`
	Run         int       `cbor:"2,keyasint,omitempty"` // number of the last run; the first is 1
	Worker      string    `cbor:"3,keyasint,omitempty"` // worker of the last run
	Incarnation int64     `cbor:"4,keyasint,omitempty"` // incarnation of that worker in the last run
	Failed      int       `cbor:"5,keyasint,omitempty"` // number of failed runs
	Checkpoint  string    `cbor:"6,keyasint,omitempty"` // last checkpoint; "" for none
	RecordedMS  int64     `cbor:"7,keyasint,omitempty"` // when the last run was recorded, Unix ms
	// Crashes is nil unless a worker was lost with a run of the unit.
	Crashes *CrashRecord `cbor:"8,keyasint,omitempty"`
}

// UnitGroup holds the units of one step in one occurrence of a job.
type UnitGroup struct {
	Occurrence int    `cbor:"1,keyasint,omitempty"`
	Step       int    `cbor:"2,keyasint,omitempty"`
	Units      []Unit `cbor:"3,keyasint"`
	Left       int    `cbor:"4,keyasint"`           // number of units that are not done
	Failures   int    `cbor:"5,keyasint,omitempty"` // number of failed runs of a gang
	LastFailed int    `cbor:"6,keyasint,omitempty"` // run number of the gang's last failure
	Checkpoint string `cbor:"7,keyasint,omitempty"` // last checkpoint of a gang
}

// Ref returns the reference to a unit of the unit group.
func (g *UnitGroup) Ref(job string, index int) UnitRef {
	return UnitRef{Job: job, Occurrence: g.Occurrence, Step: g.Step, Index: index}
}

// Job is an accepted job.
type Job struct {
	ID         string      `cbor:"1,keyasint"`
	Seq        uint64      `cbor:"2,keyasint"` // order of acceptance
	Queue      string      `cbor:"3,keyasint"` // name, host and prefix of its queue at its submission
	Host       string      `cbor:"4,keyasint"`
	Prefix     string      `cbor:"5,keyasint"`
	Customer   string      `cbor:"6,keyasint,omitempty"` // identity of its customer
	Spec       Spec        `cbor:"7,keyasint"`
	AcceptedMS int64       `cbor:"8,keyasint"` // Unix ms, by the clock of the leader that accepted the job
	State      State       `cbor:"9,keyasint,omitempty"`
	EndedMS    int64       `cbor:"10,keyasint,omitempty"`
	UnitGroups []UnitGroup `cbor:"11,keyasint"`
	Active     int         `cbor:"12,keyasint,omitempty"` // number of units in state Active
	FailedBy   FailCause   `cbor:"13,keyasint,omitempty"` // set in state Failed
}

// Progress holds the number of a job's units by state.
type Progress struct {
	Units      int `cbor:"1,keyasint" json:"units"` // of all occurrences
	Active     int `cbor:"2,keyasint,omitempty" json:"active"`
	Done       int `cbor:"3,keyasint,omitempty" json:"done"`
	FailedRuns int `cbor:"4,keyasint,omitempty" json:"failed_runs"`
}

// Progress counts the job's units by state.
func (j *Job) Progress() Progress {
	p := Progress{Active: j.Active}
	for gi := range j.UnitGroups {
		g := &j.UnitGroups[gi]
		p.Units += len(g.Units)
		p.Done += len(g.Units) - g.Left
		for i := range g.Units {
			p.FailedRuns += g.Units[i].Failed
		}
	}
	return p
}

// visibleTo reports whether a customer may access the job. On a public queue, a
// request without a key has the customer "". Such a request may access every job,
// and every customer may access a job that was submitted that way, because its
// owner is not known.
func (j *Job) visibleTo(customer string) bool {
	return j.Customer == "" || customer == "" || j.Customer == customer
}

// HasDueTimes reports whether the job's occurrences have due times.
func (j *Job) HasDueTimes() bool { return j.Spec.Occurrences > 0 }

// DueMS returns the earliest start of a unit group, Unix ms; 0 for a job without
// due times.
func (j *Job) DueMS(g *UnitGroup) int64 {
	if !j.HasDueTimes() {
		return 0
	}
	return j.Spec.StartMS + int64(g.Occurrence)*j.Spec.IntervalMS
}

// Step returns the description of a unit group's step.
func (j *Job) Step(g *UnitGroup) *Step { return &j.Spec.Steps[g.Step] }

// UnitGroup returns the unit group of a step in an occurrence, or nil if there is
// none.
func (j *Job) UnitGroup(occurrence, step int) *UnitGroup {
	if occurrence < 0 || step < 0 || step >= len(j.Spec.Steps) {
		return nil
	}
	i := occurrence*len(j.Spec.Steps) + step
	if i >= len(j.UnitGroups) {
		return nil
	}
	return &j.UnitGroups[i]
}

// DependenciesDone reports whether all steps on which a unit group depends are
// done.
func (j *Job) DependenciesDone(g *UnitGroup) bool {
	for _, d := range j.Step(g).DependsOn {
		if j.UnitGroup(g.Occurrence, d).Left > 0 {
			return false
		}
	}
	return true
}

// UnitRef identifies a unit.
type UnitRef struct {
	Job        string `cbor:"1,keyasint" json:"job"`
	Occurrence int    `cbor:"2,keyasint,omitempty" json:"occurrence,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty" json:"step,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty" json:"index,omitempty"`
}

// String returns occurrence, step and index. The job is left out because log lines
// have it under a key of its own.
func (r UnitRef) String() string { return fmt.Sprintf("%d.%d.%d", r.Occurrence, r.Step, r.Index) }

// Queue accepts jobs from callers. A request selects it by host and path prefix.
type Queue struct {
	Name        string  `cbor:"1,keyasint" json:"name"`
	Host        string  `cbor:"2,keyasint" json:"-"`
	Prefix      string  `cbor:"3,keyasint" json:"-"`
	Priority    int     `cbor:"4,keyasint,omitempty" json:"priority,omitempty"`     // 0 is the highest
	MaxAttempts int     `cbor:"5,keyasint,omitempty" json:"max_attempts,omitempty"` // number of failed runs of a unit or gang after which its job fails
	Stretch     float64 `cbor:"6,keyasint,omitempty" json:"stretch,omitempty"`      // completion target as a multiple of the job's length
	TargetMS    int64   `cbor:"7,keyasint,omitempty" json:"target_ms,omitempty"`    // added to the completion target
	Service     string  `cbor:"8,keyasint" json:"service"`
	Public      bool    `cbor:"9,keyasint,omitempty" json:"public,omitempty"` // a request needs no key
	// Closed is set if the queue rejects all jobs because its configuration requires a
	// feature that is not implemented.
	Closed bool `cbor:"10,keyasint,omitempty" json:"-"`
}

// CompletionTargetMS returns the time by which a job of the queue should be completed,
// Unix ms. sinceMS is the time from which the job may start; lengthMS is the
// estimated duration of its longest chain of steps.
func (q *Queue) CompletionTargetMS(sinceMS, lengthMS int64) int64 {
	return sinceMS + q.TargetMS + int64(q.Stretch*float64(lengthMS))
}

// Customer is a customer with its keys and the number of accelerators that is
// guaranteed to its jobs of priority 0.
type Customer struct {
	Name       string   `cbor:"1,keyasint" json:"name"` // in a committed configuration its identity, see WithIdentities
	Keys       []string `cbor:"2,keyasint" json:"keys"`
	Guaranteed int64    `cbor:"3,keyasint,omitempty" json:"guaranteed_accelerators,omitempty"`
}

// Service is a named pool of workers.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// EnforcesCapacity is set if the workers refuse units that exceed their capacity.
	EnforcesCapacity bool `cbor:"2,keyasint,omitempty" json:"enforces_capacity,omitempty"`
}

// Config is a complete configuration. It replaces the previous one.
type Config struct {
	Version   uint64     `cbor:"1,keyasint" json:"version"`
	Queues    []Queue    `cbor:"2,keyasint" json:"queues"`
	Services  []Service  `cbor:"3,keyasint" json:"services"`
	Customers []Customer `cbor:"4,keyasint" json:"customers"`
	// Document is the configuration in the form that the operator published. It is
	// returned unchanged.
	Document []byte `cbor:"5,keyasint" json:"-"`
}

// Worker is the group's record of a worker. It is sufficient for a new leader to ask
// the worker which runs it has.
type Worker struct {
	ID          string    `cbor:"1,keyasint" json:"name"`
	Incarnation int64     `cbor:"2,keyasint" json:"life"` // start time of its process, Unix ms; identifies the incarnation, a higher one is later
	Address     string    `cbor:"3,keyasint" json:"address"`
	Service     string    `cbor:"4,keyasint" json:"service"`
	Zone        string    `cbor:"5,keyasint,omitempty" json:"availability_zone,omitempty"`
	Capacity    Resources `cbor:"6,keyasint" json:"capacity"`
	Labels      []string  `cbor:"7,keyasint,omitempty" json:"labels,omitempty"`
	Rack        string    `cbor:"8,keyasint,omitempty" json:"rack,omitempty"`
	Draining    bool      `cbor:"9,keyasint,omitempty" json:"draining,omitempty"`
	// Speed is nil until the speed of this incarnation has been measured.
	Speed *WorkerSpeed `cbor:"10,keyasint,omitempty" json:"speed,omitempty"`
	// AnnouncedMS is the worker's steady clock when it announced what is recorded, ms; 0 if it
	// does not tell.
	AnnouncedMS int64 `cbor:"11,keyasint,omitempty" json:"-"`
}

// UpToDate reports whether an announcement adds nothing to the record w. overtaken is set if
// the worker has been heard of since it sent the announcement.
func (w *Worker) UpToDate(a *Worker, overtaken bool) bool {
	if w.Incarnation != a.Incarnation {
		return w.Incarnation > a.Incarnation
	}
	if w.Address != a.Address || w.Service != a.Service || a.Draining && !w.Draining {
		return false
	}
	return w.Draining || overtaken || w.Capacity == a.Capacity
}

// WorkerSpeed is the measured speed of a worker against the typical worker of the
// deployment.
type WorkerSpeed struct {
	LogMilli     int64 `cbor:"1,keyasint,omitempty" json:"log_milli"`    // natural logarithm of the speed, thousandths
	SDMilli      int64 `cbor:"2,keyasint,omitempty" json:"sd_milli"`     // its standard deviation, thousandths
	Observations int   `cbor:"3,keyasint,omitempty" json:"observations"` // number of runs that it was measured on
}

// ZoneState is the state of an availability zone that an operator has cordoned at least
// once. Nothing is started on the workers of a cordoned zone.
type ZoneState struct {
	Cordoned   bool   `cbor:"1,keyasint,omitempty"`
	Generation uint64 `cbor:"2,keyasint"`           // number of changes of Cordoned
	SinceMS    int64  `cbor:"3,keyasint,omitempty"` // when it last changed, Unix ms
	By         string `cbor:"4,keyasint,omitempty"` // who asked for the last change
}

// LengthMS returns the estimated duration of the job's longest chain of dependent
// steps, ms.
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

// Demand returns the work of all units of the job by the caller's estimates, in each
// resource multiplied by milliseconds, and the resources that the job uses if all
// of its units run at the same time.
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
