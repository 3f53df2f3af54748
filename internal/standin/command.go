package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Limits and path of commands.
const (
	maxCommandBytes = 1 << 20
	maxLease        = time.Hour
	tasksPath       = "/v1/tasks/"
)

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(tasksPath, w.serveCommand)
	if w.units != nil {
		mux.HandleFunc(unitsPath, w.serveUnits)
	}
	mux.HandleFunc("/standin/faults", w.serveFaults)
	return mux
}

// serveCommand handles a command of the zone's leader.
func (w *Worker) serveCommand(rw http.ResponseWriter, r *http.Request) {
	var c workerapi.Command
	op := workerapi.Operation(strings.TrimPrefix(r.URL.Path, tasksPath))
	dec := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxCommandBytes))
	if r.Method != http.MethodPost || dec.Decode(&c) != nil || c.Op != op {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	d := w.takeCommandFaults(c.Op)
	// The command is executed even if its sender disconnects.
	ctx := context.WithoutCancel(r.Context())
	pause(ctx, d.delay)
	rep := w.Do(ctx, &c)
	pause(ctx, d.answerDelay)
	if d.loseAnswer {
		dropConnection(rw)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(rep)
}

// dropConnection closes the connection of a request without an answer.
func dropConnection(rw http.ResponseWriter) {
	h, ok := rw.(http.Hijacker)
	if !ok {
		return
	}
	if c, _, err := h.Hijack(); err == nil {
		_ = c.Close()
	}
}

// Do executes a command. A resent command gets the answer given before, without
// being executed again.
func (w *Worker) Do(ctx context.Context, c *workerapi.Command) *workerapi.Reply {
	rep, wait := w.doWithLock(c)
	if wait != nil {
		select {
		case <-wait:
		case <-ctx.Done():
		}
		w.mu.Lock()
		w.fillState(c, rep)
		w.replies.put(c, rep)
		w.mu.Unlock()
	}
	return rep
}

// doWithLock executes, with w.mu locked, the part of a command that takes no
// time. The channel, if not nil, is closed when the rest is complete.
func (w *Worker) doWithLock(c *workerapi.Command) (*workerapi.Reply, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLeases(time.Now())
	rep := &workerapi.Reply{
		Number: c.Number, Term: w.term, Incarnation: w.incarnation, Clock: time.Since(w.clockStart).Milliseconds(),
	}
	if reason, detail := w.validate(c); reason != "" {
		w.refuse(c, rep, reason, detail)
		return rep, nil
	}
	w.term = c.Term
	rep.Term = c.Term
	if old := w.replies.get(c); old != nil {
		return old, nil
	}
	wait := w.execute(c, rep)
	if wait == nil {
		w.replies.put(c, rep)
	}
	return rep, wait
}

// validate returns the reason to refuse a command, as far as it does not depend
// on the command's task, or "". The answer to a command refused here has no task
// state.
func (w *Worker) validate(c *workerapi.Command) (model.Reason, string) {
	switch {
	case c.Zone != w.opts.Zone:
		return model.ReasonInvalid, "the worker belongs to another availability zone"
	case c.Term < w.term:
		return model.ReasonStaleTerm, ""
	case c.Op == workerapi.Renew:
		return validateLease(c)
	case c.Fence == 0 || c.Task < 0 || c.Job == "":
		return model.ReasonInvalid, "fence, task and job are required"
	case c.Op == workerapi.Reserve && c.Spec == nil:
		return model.ReasonInvalid, "spec is required"
	case c.Op == workerapi.Reserve || c.Op == workerapi.Start:
		return validateLease(c)
	}
	return "", ""
}

func validateLease(c *workerapi.Command) (model.Reason, string) {
	if c.LeaseSeconds <= 0 || c.LeaseSeconds > maxLease.Seconds() {
		return model.ReasonInvalid, "lease_seconds is out of range"
	}
	return "", ""
}

// refuse fills in a refusal and records it in the journal.
func (w *Worker) refuse(c *workerapi.Command, rep *workerapi.Reply, reason model.Reason, detail string) {
	rep.Refused = reason
	rep.Detail = detail
	w.recordTask(EventRefuse, taskKey{c.Fence, c.Task}, c.Job, string(c.Op)+": "+string(reason))
}

// execute applies a command that passed validate and fills in its answer. The
// channel, if not nil, is closed when the command is complete.
func (w *Worker) execute(c *workerapi.Command, rep *workerapi.Reply) (wait <-chan struct{}) {
	if c.Op == workerapi.Renew {
		w.renew(c, rep)
		return nil
	}
	k := taskKey{c.Fence, c.Task}
	t := w.tasks[k]
	if t == nil && c.Fence <= w.fenceFloor {
		// Tasks under this token were forgotten, so no state is certain.
		w.refuse(c, rep, model.ReasonStaleFence, "the fencing token is too old")
		return nil
	}
	if t != nil && t.job != c.Job {
		w.refuse(c, rep, model.ReasonStaleFence, "the fencing token belongs to another job")
		return nil
	}
	switch c.Op {
	case workerapi.Reserve:
		w.reserve(k, t, c, rep)
	case workerapi.Start:
		w.start(k, t, c, rep)
	case workerapi.Stop:
		w.stop(k, t, c)
	case workerapi.Checkpoint:
		wait = w.checkpoint(k, t)
	case workerapi.Throttle:
		w.throttle(k, t)
	case workerapi.Status:
	default:
		w.refuse(c, rep, model.ReasonInvalid, "the operation is not known")
		return nil
	}
	w.fillState(c, rep)
	return wait
}

// fillState sets the state and result of the command's task in the answer.
func (w *Worker) fillState(c *workerapi.Command, rep *workerapi.Reply) {
	rep.State = workerapi.TaskAbsent
	if t := w.tasks[taskKey{c.Fence, c.Task}]; t != nil {
		rep.State = t.state
		rep.Result = t.result
	}
}

// leaseEnd returns the end of the lease that a command grants, by this worker's
// clock and counted from the answer that the command echoes. It returns the zero
// time if the command grants no lease.
func (w *Worker) leaseEnd(c *workerapi.Command) time.Time {
	if c.Echo == 0 || c.EchoIncarnation != w.incarnation {
		return time.Time{}
	}
	return w.clockStart.Add(time.Duration(c.Echo) * time.Millisecond).Add(toDuration(c.LeaseSeconds))
}

// renew extends the leases of the listed attempts that hold resources, and lists
// unknown fencing tokens in the answer.
func (w *Worker) renew(c *workerapi.Command, rep *workerapi.Reply) {
	until := w.leaseEnd(c)
	known := map[uint64]bool{}
	for k, t := range w.tasks {
		if t.state != workerapi.TaskAbsent {
			known[k.fence] = true
		}
	}
	asked := map[uint64]bool{}
	for _, f := range c.Fences {
		asked[f] = true
		if !known[f] {
			rep.Unknown = append(rep.Unknown, f)
		}
	}
	for k, t := range w.tasks {
		if asked[k.fence] && t.holdsResources() {
			t.extend(until)
		}
	}
}

// maxReplies bounds the answers kept for resent commands.
const maxReplies = 2048

// replyKey identifies a command. Numbers are unique only within one daemon
// process, so the other fields distinguish commands of different leaders.
type replyKey struct {
	op     workerapi.Operation
	number uint64
	term   uint64
	fence  uint64
	task   int
	job    model.JobID
}

func replyKeyOf(c *workerapi.Command) replyKey {
	return replyKey{c.Op, c.Number, c.Term, c.Fence, c.Task, c.Job}
}

// replyCache holds the last maxReplies answers, so that resent commands are
// deduplicated. The oldest answer is evicted first.
type replyCache struct {
	byKey map[replyKey]*workerapi.Reply
	ring  []replyKey
	next  int
}

func (r *replyCache) get(c *workerapi.Command) *workerapi.Reply { return r.byKey[replyKeyOf(c)] }

func (r *replyCache) put(c *workerapi.Command, rep *workerapi.Reply) {
	if r.byKey == nil {
		r.byKey = map[replyKey]*workerapi.Reply{}
	}
	k := replyKeyOf(c)
	if len(r.ring) < maxReplies {
		r.ring = append(r.ring, k)
	} else {
		delete(r.byKey, r.ring[r.next])
		r.ring[r.next] = k
		r.next = (r.next + 1) % maxReplies
	}
	r.byKey[k] = rep
}
