package load

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/standin"
)

// Fault is one kind of contradiction between answers and journals.
type Fault string

// The faults.
const (
	// Doubled: a not-repeatable job started in more than one attempt or a task
	// of it twice; or a repeatable one ran whole more than once.
	Doubled Fault = "doubled"
	// Partial: answered as done without every task finished in one attempt.
	Partial Fault = "partial"
	// FalseNotRun: the caller was told not_run, but a task had started.
	FalseNotRun Fault = "false_not_run"
	// Wrong: an output that does not belong to the job, the task and the payload,
	// or from a worker that did not finish the task.
	Wrong Fault = "wrong_output"
	// Missing: no final answer.
	Missing Fault = "missing"
	// Conflicting: two different final answers.
	Conflicting Fault = "conflicting"
	// LateStart: a task started after the final answer had arrived.
	LateStart Fault = "late_start"
	// LateFinish: a task ran on after the answer that its job was cancelled, had
	// failed or did not run.
	LateFinish Fault = "late_finish"
)

// Finding is a fault of one job.
type Finding struct {
	Fault  Fault
	Key    string
	Detail string
}

func (f *Finding) String() string { return fmt.Sprintf("%s: key %s: %s", f.Fault, f.Key, f.Detail) }

// Findings are the faults of a run.
type Findings []Finding

// Count returns the number of findings of one kind.
func (fs Findings) Count(kind Fault) int {
	n := 0
	for i := range fs {
		if fs[i].Fault == kind {
			n++
		}
	}
	return n
}

// Checker compares answers with the workers' journals. It never asks a daemon.
type Checker struct {
	// AllowReruns accepts repeatable jobs that ran whole more than once: their
	// worker, or the zone that owned them, was lost during the run.
	AllowReruns bool
}

// run is what the journals say about one attempt.
type run struct {
	zone     string
	fence    uint64
	started  map[int][]time.Time
	finished map[int]standin.Event
}

func (r *run) whole(tasks int) bool {
	if len(r.finished) != tasks {
		return false
	}
	for _, e := range r.finished {
		if !e.OK {
			return false
		}
	}
	return true
}

// attemptKey identifies an attempt: fencing numbers are unique in one zone.
type attemptKey struct {
	zone  string
	fence uint64
}

// Runs holds the attempts of the journals by the hash part of the job id, which
// is the same in every zone.
type runs map[string]map[attemptKey]*run

func hashOf(id model.JobID) string { return string(id)[strings.LastIndexByte(string(id), '.')+1:] }

func collect(events []standin.Event) runs {
	out := runs{}
	for i := range events {
		e := &events[i]
		if e.Event != standin.EventStart && e.Event != standin.EventFinish {
			continue
		}
		h := hashOf(e.Job)
		if out[h] == nil {
			out[h] = map[attemptKey]*run{}
		}
		k := attemptKey{e.Job.Zone(), e.Fence}
		a := out[h][k]
		if a == nil {
			a = &run{zone: k.zone, fence: k.fence, started: map[int][]time.Time{}, finished: map[int]standin.Event{}}
			out[h][k] = a
		}
		if e.Event == standin.EventStart {
			a.started[e.Task] = append(a.started[e.Task], e.At)
		} else {
			a.finished[e.Task] = *e
		}
	}
	return out
}

// Check returns all contradictions.
func (c *Checker) Check(outcomes []*Outcome, events []standin.Event) Findings {
	all := collect(events)
	var out Findings
	for _, o := range outcomes {
		id := model.NewJobID("any", o.Spec.Customer, o.Spec.Key)
		j := &jobCheck{c: c, o: o, runs: all[hashOf(id)]}
		j.check()
		out = append(out, j.found...)
	}
	return out
}

// jobCheck checks one job.
type jobCheck struct {
	c     *Checker
	o     *Outcome
	runs  map[attemptKey]*run
	found Findings
}

func (j *jobCheck) add(f Fault, format string, args ...any) {
	j.found = append(j.found, Finding{Fault: f, Key: j.o.Spec.Key, Detail: fmt.Sprintf(format, args...)})
}

func (j *jobCheck) check() {
	j.doubled()
	j.notRun()
	a := j.o.Answer()
	if a == nil {
		if j.o.State() == "" && !j.refusedForGood() {
			j.add(Missing, "%s", j.o)
		}
		return
	}
	j.lateStart(a)
	j.lateFinish(a)
	for i := range j.o.Final {
		if f := &j.o.Final[i]; f.State != a.State || f.ID != a.ID {
			j.add(Conflicting, "%s is %s, later %s is %s", a.ID, a.State, f.ID, f.State)
		}
		if j.o.Final[i].State == model.Done {
			j.done(&j.o.Final[i])
		}
	}
}

func (j *jobCheck) refusedForGood() bool {
	n := len(j.o.Problems)
	return n > 0 && j.o.Problems[n-1].RetryAfter == 0
}

func (j *jobCheck) doubled() {
	whole, begun := 0, 0
	for _, r := range j.runs {
		if r.whole(j.o.Spec.Tasks) {
			whole++
		}
		if len(r.started) > 0 {
			begun++
		}
		for task, at := range r.started {
			if len(at) > 1 {
				j.add(Doubled, "task %d started %d times under fencing number %d", task, len(at), r.fence)
				return
			}
		}
	}
	if !j.o.Spec.Repeatable && begun > 1 {
		j.add(Doubled, "not repeatable, but %d attempts started: %s", begun, j.attempts())
	}
	if j.o.Spec.Repeatable && whole > 1 && !j.c.AllowReruns {
		j.add(Doubled, "repeatable, ran whole %d times: %s", whole, j.attempts())
	}
}

// attempts lists the attempts that started.
func (j *jobCheck) attempts() string {
	var out []string
	for k, r := range j.runs {
		out = append(out, fmt.Sprintf("%s/%d(%d of %d finished)", k.zone, k.fence, len(r.finished), j.o.Spec.Tasks))
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}

// firstStart returns the time of the first start of any task.
func (j *jobCheck) firstStart() (time.Time, bool) {
	var first time.Time
	for _, r := range j.runs {
		for _, list := range r.started {
			for _, at := range list {
				if first.IsZero() || at.Before(first) {
					first = at
				}
			}
		}
	}
	return first, !first.IsZero()
}

// notRun checks every claim that the job did not run against the starts before
// the claim.
func (j *jobCheck) notRun() {
	first, ran := j.firstStart()
	if !ran {
		return
	}
	for i := range j.o.Problems {
		if p := &j.o.Problems[i]; p.State == model.NotRun && first.Before(p.At) {
			j.add(FalseNotRun, "refused with %s, started %s before", p.Code, p.At.Sub(first))
		}
	}
	for i := range j.o.Final {
		if a := &j.o.Final[i]; a.State == model.NotRun {
			j.add(FalseNotRun, "%s answered not_run (%s), started at %s", a.ID, a.Reason, first)
		}
	}
}

func (j *jobCheck) lateStart(a *Answer) {
	for _, r := range j.runs {
		if j.o.Spec.Repeatable && j.c.AllowReruns && r.zone != a.ID.Zone() {
			// Two zones may hold a repeatable job whose owner could not be reached; the
			// second may start it after the first has answered.
			continue
		}
		for task, list := range r.started {
			for _, at := range list {
				if at.After(a.At) {
					j.add(LateStart, "task %d started %s after the answer %s", task, at.Sub(a.At), a.State)
				}
			}
		}
	}
}

// lateFinish checks that the answer was given only after every task had ended.
// Only the zone that answered counts: another one may run a repeatable job.
func (j *jobCheck) lateFinish(a *Answer) {
	if a.State != model.Cancelled && a.State != model.Failed && a.State != model.NotRun {
		return
	}
	for _, r := range j.runs {
		for task, e := range r.finished {
			if r.zone == a.ID.Zone() && e.At.After(a.At) {
				j.add(LateFinish, "task %d finished %s after the answer %s", task, e.At.Sub(a.At), a.State)
			}
		}
	}
}

// done checks an answer that claims success.
func (j *jobCheck) done(a *Answer) {
	if len(a.Results) != j.o.Spec.Tasks {
		j.add(Partial, "%s is done with %d of %d results", a.ID, len(a.Results), j.o.Spec.Tasks)
		return
	}
	seen := map[int]bool{}
	for i := range a.Results {
		r := &a.Results[i]
		seen[r.Task] = true
		if want := standin.TaskOutput(a.ID, r.Task, j.o.Spec.Payload); !r.OK || r.Output != want {
			j.add(Wrong, "%s task %d: ok=%t output %q, want %q", a.ID, r.Task, r.OK, r.Output, want)
		}
	}
	if len(seen) != j.o.Spec.Tasks {
		j.add(Partial, "%s has results of %d different tasks of %d", a.ID, len(seen), j.o.Spec.Tasks)
		return
	}
	for _, r := range j.runs {
		if r.zone == a.ID.Zone() && r.whole(j.o.Spec.Tasks) && r.by(a.Results) {
			return
		}
	}
	j.add(Partial, "%s is done, but no attempt finished every task: %s", a.ID, j.attempts())
}

// by reports whether the results come from the workers that finished this
// attempt's tasks.
func (r *run) by(results []model.TaskResult) bool {
	for i := range results {
		if r.finished[results[i].Task].Worker != results[i].Worker {
			return false
		}
	}
	return true
}
