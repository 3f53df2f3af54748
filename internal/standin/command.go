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

// Bounds of a command.
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

// serveCommand answers a command of the zone's leader.
func (w *Worker) serveCommand(rw http.ResponseWriter, r *http.Request) {
	var c workerapi.Command
	op := workerapi.Operation(strings.TrimPrefix(r.URL.Path, tasksPath))
	dec := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxCommandBytes))
	if r.Method != http.MethodPost || dec.Decode(&c) != nil || c.Op != op {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	d := w.disturb(c.Op)
	// The command is carried out even if its sender has gone.
	ctx := context.WithoutCancel(r.Context())
	pause(ctx, d.before)
	rep := w.Do(ctx, &c)
	pause(ctx, d.after)
	if d.lose {
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

// Do carries out a command. A command that was answered before under the same
// number gets the same answer.
func (w *Worker) Do(ctx context.Context, c *workerapi.Command) *workerapi.Reply {
	rep, wait := w.locked(c)
	if wait != nil {
		select {
		case <-wait:
		case <-ctx.Done():
		}
		w.mu.Lock()
		w.describe(c, rep)
		w.replies.put(c, rep)
		w.mu.Unlock()
	}
	return rep
}

// locked carries out the part of a command that takes no time. The channel, if
// there is one, is closed when the rest is done.
func (w *Worker) locked(c *workerapi.Command) (*workerapi.Reply, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLeases(time.Now())
	rep := &workerapi.Reply{
		Number: c.Number, Term: w.term, Incarnation: w.incarnation, Clock: time.Since(w.epoch).Milliseconds(),
	}
	if reason, detail := w.check(c); reason != "" {
		w.refuse(c, rep, reason, detail)
		return rep, nil
	}
	w.term = c.Term
	rep.Term = c.Term
	if old := w.replies.get(c); old != nil {
		return old, nil
	}
	wait := w.carryOut(c, rep)
	if wait == nil {
		w.replies.put(c, rep)
	}
	return rep, wait
}

// check returns the reason to refuse a command without looking at its task.
// The answer has no task state then.
func (w *Worker) check(c *workerapi.Command) (model.Reason, string) {
	switch {
	case c.Zone != w.o.Zone:
		return model.ReasonInvalid, "the worker belongs to another availability zone"
	case c.Term < w.term:
		return model.ReasonStaleTerm, ""
	case c.Op == workerapi.Renew:
		return checkLease(c)
	case c.Fence == 0 || c.Task < 0 || c.Job == "":
		return model.ReasonInvalid, "fence, task and job are required"
	case c.Op == workerapi.Reserve && c.Spec == nil:
		return model.ReasonInvalid, "spec is required"
	case c.Op == workerapi.Reserve || c.Op == workerapi.Start:
		return checkLease(c)
	}
	return "", ""
}

func checkLease(c *workerapi.Command) (model.Reason, string) {
	if c.LeaseSeconds <= 0 || c.LeaseSeconds > maxLease.Seconds() {
		return model.ReasonInvalid, "lease_seconds is out of range"
	}
	return "", ""
}

func (w *Worker) refuse(c *workerapi.Command, rep *workerapi.Reply, reason model.Reason, detail string) {
	rep.Refused = reason
	rep.Detail = detail
	w.record(EventRefuse, taskKey{c.Fence, c.Task}, c.Job, string(c.Op)+": "+string(reason))
}

// carryOut applies a command that passed check and fills in its answer.
func (w *Worker) carryOut(c *workerapi.Command, rep *workerapi.Reply) (wait <-chan struct{}) {
	if c.Op == workerapi.Renew {
		w.renew(c, rep)
		return nil
	}
	k := taskKey{c.Fence, c.Task}
	t := w.tasks[k]
	if t == nil && c.Fence <= w.floor {
		// What happened under this number was forgotten, so no state is certain.
		w.refuse(c, rep, model.ReasonStaleFence, "the fencing number is too old")
		return nil
	}
	if t != nil && t.job != c.Job {
		w.refuse(c, rep, model.ReasonStaleFence, "the fencing number belongs to another job")
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
	w.describe(c, rep)
	return wait
}

// describe puts the state of the command's task into the answer.
func (w *Worker) describe(c *workerapi.Command, rep *workerapi.Reply) {
	rep.State = workerapi.TaskAbsent
	if t := w.tasks[taskKey{c.Fence, c.Task}]; t != nil {
		rep.State = t.state
		rep.Result = t.result
	}
}

// leaseEnd returns the end of the lease that a command grants: by this worker's
// clock, counted from the answer that the command echoes. It is zero if the
// command grants none.
func (w *Worker) leaseEnd(c *workerapi.Command) time.Time {
	if c.Echo == 0 || c.EchoIncarnation != w.incarnation {
		return time.Time{}
	}
	return w.epoch.Add(time.Duration(c.Echo) * time.Millisecond).Add(seconds(c.LeaseSeconds))
}

// renew extends the leases of tasks that hold one.
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
		if asked[k.fence] && t.holds() {
			t.extend(until)
		}
	}
}

// maxReplies bounds the answers kept for commands that are sent again.
const maxReplies = 2048

// replyKey identifies a command. Numbers are unique for one daemon process
// only, so the rest of the key tells leaders apart.
type replyKey struct {
	op     workerapi.Operation
	number uint64
	term   uint64
	fence  uint64
	task   int
	job    model.JobID
}

func keyOf(c *workerapi.Command) replyKey {
	return replyKey{c.Op, c.Number, c.Term, c.Fence, c.Task, c.Job}
}

// replyCache holds the last answers; the oldest is dropped first.
type replyCache struct {
	byKey map[replyKey]*workerapi.Reply
	ring  []replyKey
	next  int
}

func (r *replyCache) get(c *workerapi.Command) *workerapi.Reply { return r.byKey[keyOf(c)] }

func (r *replyCache) put(c *workerapi.Command, rep *workerapi.Reply) {
	if r.byKey == nil {
		r.byKey = map[replyKey]*workerapi.Reply{}
	}
	k := keyOf(c)
	if len(r.ring) < maxReplies {
		r.ring = append(r.ring, k)
	} else {
		delete(r.byKey, r.ring[r.next])
		r.ring[r.next] = k
		r.next = (r.next + 1) % maxReplies
	}
	r.byKey[k] = rep
}
