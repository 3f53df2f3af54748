package load

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/standin"
)

// Anomaly is a kind of contradiction between the answers to a request and the
// journals.
type Anomaly string

// The anomalies.
const (
	// Doubled means that a task started twice in one attempt, that a job that is
	// not repeatable started in more than one attempt, or that a repeatable job ran
	// to completion more than once.
	Doubled Anomaly = "doubled"
	// Partial means that a job was answered as done although its results are not
	// those of an attempt in which every task succeeded.
	Partial Anomaly = "partial"
	// FalseNotRun means that a job was answered as not_run although a task had
	// started.
	FalseNotRun Anomaly = "false_not_run"
	// WrongOutput means that a result is a failure or that its output does not
	// belong to the job, the task and the payload.
	WrongOutput Anomaly = "wrong_output"
	// Missing means that a request has no final answer and no permanent refusal.
	Missing Anomaly = "missing"
	// Conflicting means that a request has two different final answers.
	Conflicting Anomaly = "conflicting"
	// LateStart means that a task started after the final answer had arrived.
	LateStart Anomaly = "late_start"
	// LateFinish means that a task kept running after its job was answered as
	// cancelled, failed or not run.
	LateFinish Anomaly = "late_finish"
)

// Finding is an anomaly found in one job.
type Finding struct {
	Anomaly Anomaly
	Key     string
	Detail  string
}

func (f *Finding) String() string { return fmt.Sprintf("%s: key %s: %s", f.Anomaly, f.Key, f.Detail) }

// Findings holds the findings of a run.
type Findings []Finding

// Count returns the number of findings with the given anomaly.
func (fs Findings) Count(anomaly Anomaly) int {
	n := 0
	for i := range fs {
		if fs[i].Anomaly == anomaly {
			n++
		}
	}
	return n
}

// Checker compares answers with the workers' journals. It does not query the
// daemons.
type Checker struct {
	// AllowReruns accepts repeatable jobs that ran to completion more than once,
	// because their worker, or the zone that owned them, was lost during the run. It
	// also accepts that such a job starts in another zone after the answer.
	AllowReruns bool
}

// attempt holds the starts and ends of one attempt in the journals, by task.
type attempt struct {
	zone     string
	fence    uint64
	started  map[int][]time.Time
	finished map[int]standin.Event
}

// succeeded reports whether all of the given number of tasks succeeded.
func (r *attempt) succeeded(tasks int) bool {
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

// attemptKey identifies an attempt. Fencing tokens are unique only within a zone.
type attemptKey struct {
	zone  string
	fence uint64
}

// attemptsByHash holds the attempts in the journals by the hash part of the job
// ID, which is the same in every zone.
type attemptsByHash map[string]map[attemptKey]*attempt

// hashOf returns the hash part of a job ID.
func hashOf(id model.JobID) string { return string(id)[strings.LastIndexByte(string(id), '.')+1:] }

// collectAttempts groups the start and finish events by job and attempt.
func collectAttempts(events []standin.Event) attemptsByHash {
	out := attemptsByHash{}
	for i := range events {
		e := &events[i]
		if e.Event != standin.EventStart && e.Event != standin.EventFinish {
			continue
		}
		h := hashOf(e.Job)
		if out[h] == nil {
			out[h] = map[attemptKey]*attempt{}
		}
		k := attemptKey{e.Job.Zone(), e.Fence}
		a := out[h][k]
		if a == nil {
			a = &attempt{zone: k.zone, fence: k.fence, started: map[int][]time.Time{}, finished: map[int]standin.Event{}}
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

// Check returns all contradictions between the outcomes and the journals' events.
func (c *Checker) Check(outcomes []*Outcome, events []standin.Event) Findings {
	all := collectAttempts(events)
	var out Findings
	for _, outcome := range outcomes {
		id := model.NewJobID("any", outcome.Spec.Customer, outcome.Spec.Key)
		j := &jobCheck{checker: c, outcome: outcome, attempts: all[hashOf(id)]}
		j.check()
		out = append(out, j.findings...)
	}
	return out
}

// jobCheck checks one job and collects its findings.
type jobCheck struct {
	checker  *Checker
	outcome  *Outcome
	attempts map[attemptKey]*attempt
	findings Findings
}

func (j *jobCheck) addFinding(anomaly Anomaly, format string, args ...any) {
	j.findings = append(j.findings, Finding{Anomaly: anomaly, Key: j.outcome.Spec.Key, Detail: fmt.Sprintf(format, args...)})
}

func (j *jobCheck) check() {
	j.checkDoubled()
	j.checkNotRun()
	a := j.outcome.Answer()
	if a == nil {
		if j.outcome.State() == "" && !j.refusedPermanently() {
			j.addFinding(Missing, "%s", j.outcome)
		}
		return
	}
	j.checkLateStart(a)
	j.checkLateFinish(a)
	for i := range j.outcome.Final {
		if f := &j.outcome.Final[i]; f.State != a.State || f.ID != a.ID {
			j.addFinding(Conflicting, "%s is %s, later %s is %s", a.ID, a.State, f.ID, f.State)
		}
		if j.outcome.Final[i].State == model.Done {
			j.checkDone(&j.outcome.Final[i])
		}
	}
}

// refusedPermanently reports whether the last problem forbids a retry.
func (j *jobCheck) refusedPermanently() bool {
	n := len(j.outcome.Problems)
	return n > 0 && j.outcome.Problems[n-1].RetryAfter == 0
}

// checkDoubled checks that no task and no job ran more often than allowed.
func (j *jobCheck) checkDoubled() {
	succeeded, startedCount := 0, 0
	for _, r := range j.attempts {
		if r.succeeded(j.outcome.Spec.Tasks) {
			succeeded++
		}
		if len(r.started) > 0 {
			startedCount++
		}
		for task, at := range r.started {
			if len(at) > 1 {
				j.addFinding(Doubled, "task %d started %d times under fencing token %d", task, len(at), r.fence)
				return
			}
		}
	}
	if !j.outcome.Spec.Repeatable && startedCount > 1 {
		j.addFinding(Doubled, "not repeatable, but %d attempts started: %s", startedCount, j.listAttempts())
	}
	if j.outcome.Spec.Repeatable && succeeded > 1 && !j.checker.AllowReruns {
		j.addFinding(Doubled, "repeatable, but ran to completion %d times: %s", succeeded, j.listAttempts())
	}
}

// listAttempts describes the attempts in the journals, for the text of a finding.
func (j *jobCheck) listAttempts() string {
	var out []string
	for k, r := range j.attempts {
		out = append(out, fmt.Sprintf("%s/%d(%d of %d finished)", k.zone, k.fence, len(r.finished), j.outcome.Spec.Tasks))
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}

// firstStart returns the time of the first start of any task.
func (j *jobCheck) firstStart() (time.Time, bool) {
	var first time.Time
	for _, r := range j.attempts {
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

// checkNotRun checks that no task had started before a refusal that states
// not_run, and that none ever started if the final answer states it.
func (j *jobCheck) checkNotRun() {
	first, ran := j.firstStart()
	if !ran {
		return
	}
	for i := range j.outcome.Problems {
		if p := &j.outcome.Problems[i]; p.State == model.NotRun && first.Before(p.At) {
			j.addFinding(FalseNotRun, "refused with %s, started %s before", p.Code, p.At.Sub(first))
		}
	}
	for i := range j.outcome.Final {
		if a := &j.outcome.Final[i]; a.State == model.NotRun {
			j.addFinding(FalseNotRun, "%s answered not_run (%s), started at %s", a.ID, a.Reason, first)
		}
	}
}

// checkLateStart checks that no task started after the answer.
func (j *jobCheck) checkLateStart(a *Answer) {
	for _, r := range j.attempts {
		if j.outcome.Spec.Repeatable && j.checker.AllowReruns && r.zone != a.ID.Zone() {
			// If the zone that owns a repeatable job is unreachable, a second zone may
			// hold the job as well and start it after the first zone has answered.
			continue
		}
		for task, list := range r.started {
			for _, at := range list {
				if at.After(a.At) {
					j.addFinding(LateStart, "task %d started %s after the answer %s", task, at.Sub(a.At), a.State)
				}
			}
		}
	}
}

// checkLateFinish checks that a negative answer was given only after every task
// had ended. It considers only the zone that answered, because another zone may
// run a repeatable job as well.
func (j *jobCheck) checkLateFinish(a *Answer) {
	if a.State != model.Cancelled && a.State != model.Failed && a.State != model.NotRun {
		return
	}
	for _, r := range j.attempts {
		for task, e := range r.finished {
			if r.zone == a.ID.Zone() && e.At.After(a.At) {
				j.addFinding(LateFinish, "task %d finished %s after the answer %s", task, e.At.Sub(a.At), a.State)
			}
		}
	}
}

// checkDone checks an answer with the state done: all results must be correct and
// come from one attempt of the answering zone in which every task succeeded.
func (j *jobCheck) checkDone(a *Answer) {
	if len(a.Results) != j.outcome.Spec.Tasks {
		j.addFinding(Partial, "%s is done with %d of %d results", a.ID, len(a.Results), j.outcome.Spec.Tasks)
		return
	}
	seen := map[int]bool{}
	for i := range a.Results {
		result := &a.Results[i]
		seen[result.Task] = true
		if want := standin.TaskOutput(a.ID, result.Task, j.outcome.Spec.Payload); !result.OK || result.Output != want {
			j.addFinding(WrongOutput, "%s task %d: ok=%t output %q, want %q", a.ID, result.Task, result.OK, result.Output, want)
		}
	}
	if len(seen) != j.outcome.Spec.Tasks {
		j.addFinding(Partial, "%s has results of %d different tasks of %d", a.ID, len(seen), j.outcome.Spec.Tasks)
		return
	}
	for _, r := range j.attempts {
		if r.zone == a.ID.Zone() && r.succeeded(j.outcome.Spec.Tasks) && r.producedBy(a.Results) {
			return
		}
	}
	j.addFinding(Partial, "%s is done, but no attempt finished every task: %s", a.ID, j.listAttempts())
}

// producedBy reports whether the results come from the workers that finished the
// tasks of the attempt.
func (r *attempt) producedBy(results []model.TaskResult) bool {
	for i := range results {
		if r.finished[results[i].Task].Worker != results[i].Worker {
			return false
		}
	}
	return true
}
