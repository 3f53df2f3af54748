package region

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/replica"
)

// answer carries a request out if this instance leads.
func (c *Control) answer(ctx context.Context, body []byte) *Reply {
	st := c.group.Status()
	rep := &Reply{Members: memberNames(st)}
	var req request
	if err := codec.Unmarshal(body, &req); err != nil {
		c.log.Error(err, "request cannot be decoded")
		rep.Unsure = true
		return rep
	}
	if !st.Leads {
		rep.NotLeader = true
		if st.Leader != c.cfg.Self {
			rep.Leader = st.Leader
		}
		return rep
	}
	switch {
	case req.Submit != nil:
		c.commit(ctx, rep, &batch.Command{Submit: req.Submit})
		c.noteJudged("submission judged", req.Submit.ID, &req.Submit.Call, rep, st.Term)
		if rep.Verdict == batch.OK && !rep.NotLeader && !rep.Unsure {
			c.noteRecorded(req.Submit.ID)
		}
	case req.Cancel != nil:
		c.commit(ctx, rep, &batch.Command{Cancel: req.Cancel})
		c.noteJudged("cancellation judged", req.Cancel.ID, &req.Cancel.Call, rep, st.Term)
	case req.Publish != nil:
		c.commit(ctx, rep, &batch.Command{Publish: req.Publish})
		c.log.Info("configuration judged", "version", req.Publish.Version, "verdict", rep.Verdict.String(),
			"notLeader", rep.NotLeader, "unsure", rep.Unsure, "term", st.Term)
	case req.Announce != nil:
		c.announce(ctx, rep, req.Announce)
	case req.Ping != nil:
	default:
		c.read(ctx, rep, &req)
	}
	return rep
}

// noteJudged logs what became of a caller's request.
func (c *Control) noteJudged(msg, job string, call *batch.Call, rep *Reply, term uint64) {
	var version, epoch uint64
	c.machine.View(func(v *batch.View) {
		epoch, _ = v.Epoch()
		if cfg := v.Config(); cfg != nil {
			version = cfg.Version
		}
	})
	c.log.Info(msg, "job", job, "host", call.Host, "path", call.Path, "verdict", rep.Verdict.String(), "notLeader", rep.NotLeader,
		"unsure", rep.Unsure, "config", version, "epoch", epoch, "term", term)
}

// noteRecorded logs what a job asks for and by when, from which a bound on the day
// can be computed.
func (c *Control) noteRecorded(id string) {
	c.machine.View(func(v *batch.View) {
		j := v.LiveJobs()[id]
		if j == nil {
			return // an old job handed in again
		}
		q := v.Queue(j.Host, j.Prefix)
		lasting := slices.ContainsFunc(j.Spec.Steps, func(st batch.Step) bool { return st.Lasting })
		if q == nil || lasting {
			return // nothing is due by then
		}
		from := j.AcceptedMS
		last := from
		if j.HasDueTimes() {
			from = j.Spec.StartMS
			last = from + int64(j.Spec.Occurrences-1)*j.Spec.IntervalMS
		}
		work, atOnce := j.Demand()
		c.log.Info("job recorded", "job", id, "queue", q.Name, "customer", j.Customer, "priority", q.Priority, "fromMS", from,
			"dueMS", q.CompletionTargetMS(last, j.LengthMS()), "lengthMS", j.LengthMS(), "workMS", work, "atOnce", atOnce)
	})
}

func memberNames(st replica.Status) []string {
	out := make([]string, 0, len(st.Members))
	for _, m := range st.Members {
		out = append(out, m.Instance)
	}
	return out
}

// commit proposes a command whose result is a verdict.
func (c *Control) commit(ctx context.Context, rep *Reply, cmd *batch.Command) {
	result, err := c.propose(ctx, cmd)
	var nl *replica.NotLeaderError
	var not *replica.NotProposedError
	switch {
	case err == nil:
		rep.Verdict, _ = result.(batch.Verdict)
	case errors.As(err, &nl):
		rep.NotLeader, rep.Leader = true, nl.Leader
	case errors.As(err, &not):
		rep.NotLeader = true
	default:
		c.log.Info("commit not confirmed", "error", err.Error())
		rep.Unsure = true
	}
}

// read answers from the state once the group has confirmed that it is current.
func (c *Control) read(ctx context.Context, rep *Reply, req *request) {
	if err := c.group.ReadIndex(ctx); err != nil {
		c.log.V(1).Info("read not confirmed", "error", err.Error())
		rep.NotLeader = true
		return
	}
	c.machine.View(func(v *batch.View) {
		switch {
		case req.Config != nil:
			if cfg := v.Config(); cfg != nil {
				rep.Document = cfg.Document
			}
		case req.Pending != nil:
			var q *batch.Queue
			if q, _, rep.Verdict = v.Admit(*req.Pending); q == nil {
				return
			}
			if q.Prefix != req.Pending.Path {
				rep.Verdict = batch.NoQueue
				return
			}
			rep.Pending = v.CountPending(q)
		case req.Job != nil:
			q, customer, verdict := v.Admit(req.Job.Call)
			rep.Verdict = verdict
			if q == nil {
				return
			}
			j := v.Job(req.Job.ID, customer)
			if j == nil {
				rep.Verdict = batch.NoJob
				return
			}
			rep.State = j.State
			if req.Job.Progress {
				p := j.Progress()
				rep.Progress = &p
			}
		case req.Workers != nil:
			rep.Workers = workersOf(v)
		}
	})
}

func workersOf(v *batch.View) []WorkerView {
	out := make([]WorkerView, 0, len(v.Workers()))
	for id, w := range v.Workers() {
		runs := 0
		v.EachActiveUnit(id, func(batch.UnitRef, *batch.Unit) { runs++ })
		out = append(out, WorkerView{Worker: *w, Runs: runs})
	}
	slices.SortFunc(out, func(a, b WorkerView) int { return strings.Compare(a.Worker.ID, b.Worker.ID) })
	return out
}

// announce notes that a worker lives and commits what is new about it.
func (c *Control) announce(ctx context.Context, rep *Reply, a *Announcement) {
	w := a.Worker
	known := false
	gone := true
	c.machine.View(func(v *batch.View) {
		cur := v.Workers()[w.ID]
		if cur == nil {
			return
		}
		gone = false
		known = cur.Life > w.Life ||
			cur.Life == w.Life && cur.Address == w.Address && cur.Service == w.Service && (cur.Draining || !w.Draining)
	})
	if a.Leaving {
		c.log.Info("worker leaves", "worker", w.ID, "life", w.Life, "recorded", !gone)
		if !gone {
			c.commit(ctx, rep, &batch.Command{Worker: &batch.WorkerChange{Worker: w, Removed: true}})
		}
		return
	}
	c.beats.Record(w.ID, w.Life, time.Now())
	if known {
		return
	}
	c.commit(ctx, rep, &batch.Command{Worker: &batch.WorkerChange{Worker: w}})
	if !rep.NotLeader && !rep.Unsure {
		c.log.Info("worker recorded", "worker", w.ID, "life", w.Life, "address", w.Address, "draining", w.Draining,
			"capacity", w.Capacity)
	}
}
