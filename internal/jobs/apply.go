package jobs

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// defaultMaxFailures is the number of different workers on which a job may fail
// before it is concluded, if no policy sets one.
const defaultMaxFailures = 3

func (m *Machine) apply(index uint64, c *Command) *Result {
	switch c.Kind {
	case KindSubmit:
		return m.submit(index, c)
	case KindAdoptConfig:
		return m.adoptConfig(c)
	case KindExpire:
		return m.expire(c)
	}
	old := m.Get(c.ID)
	if old == nil {
		return refused(model.ReasonNotFound, "job %s is not known", c.ID)
	}
	j := *old
	r := m.applyToJob(index, c, &j)
	if r.Refusal != nil {
		r.Job = old
		return r
	}
	m.put(old, &j)
	m.notify(old, &j)
	r.Job = &j
	return r
}

// applyToJob applies a command to j, a copy of the job's record.
func (m *Machine) applyToJob(index uint64, c *Command, j *model.Job) *Result {
	switch c.Kind {
	case KindRecordIntent:
		return recordIntent(index, c, j)
	case KindCancel:
		return cancel(c, j)
	case KindConclude:
		return conclude(c, j)
	}
	if j.Attempt == nil || j.Attempt.Fence != c.Fence {
		return refused(model.ReasonStaleFence, "job %s: fencing token %d is not that of the current attempt", j.ID, c.Fence)
	}
	a := *j.Attempt
	j.Attempt = &a
	switch c.Kind {
	case KindCommitStart:
		return commitStart(j)
	case KindMarkRunning:
		return markRunning(c, j)
	case KindTaskResult:
		return recordTaskResult(c, j)
	case KindEndAttempt:
		return m.endAttempt(c, j)
	}
	return refused(model.ReasonInternal, "command kind %d is not known", c.Kind)
}

func refused(reason model.Reason, format string, args ...any) *Result {
	return &Result{Refusal: model.Refuse(reason, format, args...)}
}

func (m *Machine) submit(index uint64, c *Command) *Result {
	if old := m.Get(c.ID); old != nil {
		if !sameSpec(&old.Spec, c.Spec) {
			return refused(model.ReasonKeyConflict, "key %q was used for a different request", c.Spec.Key)
		}
		return &Result{Job: old, Existing: true}
	}
	if reason, ok := m.refusals.reasonBySubmission[c.Submission]; ok {
		return m.refuseSubmission(c, reason, "this submission was refused before")
	}
	if d := c.Spec.Deadline; !d.IsZero() && !d.After(c.At) {
		// Applies to new requests only: a request that is resent after its
		// deadline finds its record above.
		return m.refuseSubmission(c, model.ReasonDeadlineUnmet, "the deadline %s has passed", d.Format(time.RFC3339))
	}
	cust, _ := m.Config().Customer(c.Spec.Customer)
	if cust == nil {
		return m.refuseSubmission(c, model.ReasonUnknownCustomer, "customer %q does not exist", c.Spec.Customer)
	}
	if cust.QueueLimit > 0 && m.Queued(cust.Name) >= cust.QueueLimit {
		return m.refuseSubmission(c, model.ReasonQueueFull, "customer %q has reached its limit of %d queued jobs", cust.Name, cust.QueueLimit)
	}
	j := &model.Job{ID: c.ID, Spec: *c.Spec, State: model.Queued, Seq: index, SubmittedAt: c.At}
	m.put(nil, j)
	m.notify(nil, j)
	return &Result{Job: j}
}

// sameSpec reports whether two requests are equal. Deadlines are compared as
// instants.
func sameSpec(a, b *model.JobSpec) bool {
	x, y := *a, *b
	if !x.Deadline.Equal(y.Deadline) {
		return false
	}
	y.Deadline = x.Deadline
	return x == y
}

func recordIntent(index uint64, c *Command, j *model.Job) *Result {
	if j.State != model.Queued {
		return refused(model.ReasonPlacementOutdated, "job %s is %s, not queued", j.ID, j.State)
	}
	if len(c.Intent.Placement) != j.Spec.Tasks {
		return refused(model.ReasonInternal, "job %s: the placement covers %d of %d tasks", j.ID, len(c.Intent.Placement), j.Spec.Tasks)
	}
	j.Attempts++
	j.State = model.Starting
	j.Attempt = &model.Attempt{
		Number: j.Attempts, Fence: index, Phase: model.PhaseReserve,
		Placement: c.Intent.Placement, Borrowed: c.Intent.Borrowed, Claim: c.Intent.Claim,
	}
	return &Result{}
}

func commitStart(j *model.Job) *Result {
	if j.Attempt.Phase != model.PhaseReserve {
		return &Result{}
	}
	if j.CancelRequested {
		return refused(model.ReasonCancelled, "job %s is being cancelled", j.ID)
	}
	j.Attempt.Phase = model.PhaseStart
	return &Result{}
}

func markRunning(c *Command, j *model.Job) *Result {
	if j.State != model.Starting || j.Attempt.Phase != model.PhaseStart {
		return &Result{}
	}
	j.State = model.Running
	j.EverRan = true
	j.Attempt.Phase = model.PhaseRun
	j.Attempt.StartedAt = c.At
	return &Result{}
}

// recordTaskResult records the result of a task and finishes the job once all
// tasks have succeeded. Only the first result of a task counts, so late and
// duplicate reports have no effect.
func recordTaskResult(c *Command, j *model.Job) *Result {
	a := j.Attempt
	if a.Phase == model.PhaseReserve {
		return refused(model.ReasonInternal, "job %s: result of a task that was not started", j.ID)
	}
	res := *c.Result
	if res.Task < 0 || res.Task >= len(a.Placement) || a.Placement[res.Task].Worker != res.Worker {
		return refused(model.ReasonInvalid, "job %s: task %d was not placed on worker %q", j.ID, res.Task, res.Worker)
	}
	j.EverRan = true
	res.FailIfOversized()
	for i := range a.Results {
		if a.Results[i].Task == res.Task {
			return &Result{}
		}
	}
	a.Results = append(slices.Clone(a.Results), res)
	slices.SortFunc(a.Results, func(x, y model.TaskResult) int { return x.Task - y.Task })
	if !res.OK {
		j.FailedOn = addWorker(j.FailedOn, res.Worker)
		return &Result{}
	}
	if len(a.Results) == len(a.Placement) && allOK(a.Results) {
		finish(c, j, model.Done, "")
	}
	return &Result{}
}

func allOK(rs []model.TaskResult) bool {
	for i := range rs {
		if !rs[i].OK {
			return false
		}
	}
	return true
}

func addWorker(list []string, w string) []string {
	if slices.Contains(list, w) {
		return list
	}
	return append(slices.Clone(list), w)
}

// finish moves j to a final state. The results of the last attempt become the
// job's results.
func finish(c *Command, j *model.Job, s model.JobState, r model.Reason) {
	j.State = s
	j.Reason = r
	j.FinishedAt = c.At
	if j.Attempt != nil {
		j.Results = j.Attempt.Results
		j.Attempt = nil
	}
}

func requeue(j *model.Job) {
	j.State = model.Queued
	j.Attempt = nil
}

func (m *Machine) endAttempt(c *Command, j *model.Job) *Result {
	if j.State.Final() {
		return refused(model.ReasonStaleFence, "job %s is already in the final state %s", j.ID, j.State)
	}
	switch c.Outcome {
	case NotStarted:
		endNotStarted(c, j)
	case Lost:
		endLost(c, j)
	case Stopped:
		endStopped(c, j)
	case TaskFailed:
		m.endFailed(c, j)
	default:
		return refused(model.ReasonInternal, "outcome %d is not known", c.Outcome)
	}
	return &Result{}
}

func endNotStarted(c *Command, j *model.Job) {
	if !j.CancelRequested {
		requeue(j)
		return
	}
	finish(c, j, notRunOr(j, model.Cancelled), model.ReasonCancelled)
}

// endLost ends an attempt of which it is not known whether its tasks ran to the
// end.
func endLost(c *Command, j *model.Job) {
	j.EverRan = true
	if !j.Spec.Repeatable {
		finish(c, j, model.Unknown, c.Reason)
		return
	}
	if j.CancelRequested {
		finish(c, j, model.Cancelled, model.ReasonCancelled)
		return
	}
	if c.State == model.Failed {
		finish(c, j, model.Failed, c.Reason)
		return
	}
	if c.Crashed {
		j.Crashes++
		j.RetryAt = c.At.Add(crashDelay(j))
	}
	if j.Crashes >= maxCrashes {
		finish(c, j, model.Failed, model.ReasonCrashesWorkers)
		return
	}
	requeue(j)
}

const (
	// maxCrashes is the number of attempts that crash a worker after which a job is given up.
	// One that is lost with its worker because of another job has the same count until
	// crashDelay separates them, hence more than two.
	maxCrashes = 5
	// crashDelayStep is the longest delay after the first crash; it grows with each further
	// one.
	crashDelayStep = time.Second
)

// crashDelay returns how long a job waits after a crash. Jobs that were lost with the same
// worker get different delays, so that only the cause crashes the next one.
func crashDelay(j *model.Job) time.Duration {
	h := xxhash.Sum64String(string(j.ID) + strconv.Itoa(j.Crashes))
	return time.Duration(h % uint64(time.Duration(j.Crashes)*crashDelayStep))
}

func endStopped(c *Command, j *model.Job) {
	j.EverRan = true
	if j.CancelRequested {
		finish(c, j, model.Cancelled, model.ReasonCancelled)
		return
	}
	if !j.Spec.Repeatable || c.State == model.Failed {
		finish(c, j, model.Failed, c.Reason)
		return
	}
	requeue(j)
}

func (m *Machine) endFailed(c *Command, j *model.Job) {
	j.EverRan = true
	j.Failures++
	if j.CancelRequested {
		finish(c, j, model.Cancelled, model.ReasonCancelled)
		return
	}
	limit := defaultMaxFailures
	if _, svc := m.Config().Customer(j.Spec.Customer); svc != nil && svc.Policy.MaxFailures > 0 {
		limit = svc.Policy.MaxFailures
	}
	switch {
	case !j.Spec.Repeatable:
		finish(c, j, model.Failed, model.ReasonTaskFailed)
	case len(j.FailedOn) >= limit || j.Failures >= 2*limit:
		finish(c, j, model.Failed, model.ReasonTooManyFails)
	default:
		requeue(j)
	}
}

// notRunOr returns NotRun if no task of j ever ran in any zone, and s
// otherwise. A repeatable job never gets NotRun: another zone may have taken it
// over and run it while this one could not be reached.
func notRunOr(j *model.Job, s model.JobState) model.JobState {
	if j.EverRan || j.Spec.Repeatable {
		return s
	}
	return model.NotRun
}

func cancel(c *Command, j *model.Job) *Result {
	if j.State.Final() {
		return &Result{}
	}
	j.CancelRequested = true
	if j.State == model.Queued {
		finish(c, j, notRunOr(j, model.Cancelled), model.ReasonCancelled)
	}
	return &Result{}
}

// conclude moves a queued job to a final state.
func conclude(c *Command, j *model.Job) *Result {
	if j.State != model.Queued {
		return refused(model.ReasonPlacementOutdated, "job %s is %s, not queued", j.ID, j.State)
	}
	finish(c, j, notRunOr(j, model.Failed), c.Reason)
	return &Result{}
}

// expire drops the results of jobs that have been in a final state for the
// retention time, and their whole records after a further keyRetention.
func (m *Machine) expire(c *Command) *Result {
	for _, old := range m.ByCustomer("") {
		if !old.State.Final() {
			continue
		}
		age := c.At.Sub(old.FinishedAt)
		keep := m.retention(old.Spec.Customer)
		switch {
		case age > keep+keyRetention:
			m.remove(old.ID)
		case age > keep && !old.Expired:
			j := *old
			j.Expired = true
			j.Results = nil
			m.put(old, &j)
		}
	}
	return &Result{}
}

func (m *Machine) remove(id model.JobID) {
	s := m.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.jobs, id)
}
