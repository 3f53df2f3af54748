package region

import (
	"context"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/dispatch"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// serveRequest carries out a request. An unexpected error in one request does not end the
// process; the outcome of the request is then unknown.
func (c *Control) serveRequest(ctx context.Context, body []byte) (rep *Reply) {
	defer func() {
		if v := recover(); v != nil {
			telemetry.Count("teaselpaddle_request_panics_total")
			c.log.Info("request panicked", "panic", v, "stack", string(debug.Stack()))
			rep = &Reply{OutcomeUnknown: true}
		}
	}()
	return c.handleRequest(ctx, body)
}

// check validates what a request would write to the log. The instance that sent it has
// done so before, but what is in the log must not fail on any instance.
func (r *request) check() error {
	if c := r.call(); c != nil {
		if err := c.Check(); err != nil {
			return err
		}
	}
	switch {
	case r.Submit != nil:
		return r.Submit.Spec.Check()
	case r.Publish != nil:
		return r.Publish.Check()
	case r.Announce != nil:
		return r.Announce.Check()
	case r.Zone != nil && r.Zone.Zone == "":
		return &batch.InvalidError{Detail: "order names no zone"}
	}
	return nil
}

// call returns the call of a caller's request, or nil if it has none.
func (r *request) call() *batch.Call {
	switch {
	case r.Submit != nil:
		return &r.Submit.Call
	case r.Cancel != nil:
		return &r.Cancel.Call
	case r.Job != nil:
		return &r.Job.Call
	}
	return r.Pending
}

// commitForJob commits a command with the call of a request for a job; see batch.View.CallForJob. A
// configuration must not take effect between the look-up and the commit, unless the job is new. A new
// leader may look the call up in an outdated configuration, and then commits the command again.
func (c *Control) commitForJob(ctx context.Context, rep *Reply, call *batch.Call, job string, cmd *batch.Command) {
	received := *call
	lookUp := func() (looked batch.Call, known bool) {
		c.machine.View(func(v *batch.View) {
			looked, known = v.CallForJob(received, job), v.Job(job, "") != nil
		})
		return looked, known
	}
	if _, known := lookUp(); known {
		c.configChange.RLock()
		defer c.configChange.RUnlock()
	}
	for {
		*call, _ = lookUp()
		c.commit(ctx, rep, cmd)
		now, _ := lookUp()
		if now == *call || rep.Verdict == batch.OK || rep.NotLeader || rep.OutcomeUnknown {
			return
		}
	}
}

// handleRequest carries out a request if this instance leads.
func (c *Control) handleRequest(ctx context.Context, body []byte) *Reply {
	st := c.group.Status()
	rep := &Reply{Members: memberNames(st)}
	var req request
	if err := codec.Unmarshal(body, &req); err != nil {
		c.log.Error(err, "request cannot be decoded")
		rep.OutcomeUnknown = true
		return rep
	}
	if err := req.check(); err != nil {
		c.log.Error(err, "malformed request rejected")
		telemetry.Count("teaselpaddle_malformed_requests_total")
		rep.OutcomeUnknown = true
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
		// The clock of an entry instance may be wrong; times that are compared later all come
		// from the leader.
		req.Submit.AtMS = c.clock.NowMS()
		c.commitForJob(ctx, rep, &req.Submit.Call, req.Submit.ID, &batch.Command{Submit: req.Submit})
		c.logVerdict("submission judged", req.Submit.ID, &req.Submit.Call, rep, st.Term)
		if rep.Verdict == batch.OK && !rep.NotLeader && !rep.OutcomeUnknown {
			c.logRecordedJob(req.Submit.ID)
		}
	case req.Cancel != nil:
		req.Cancel.AtMS = c.clock.NowMS()
		c.commitForJob(ctx, rep, &req.Cancel.Call, req.Cancel.ID, &batch.Command{Cancel: req.Cancel})
		c.logVerdict("cancellation judged", req.Cancel.ID, &req.Cancel.Call, rep, st.Term)
	case req.Publish != nil:
		c.publish(ctx, rep, req.Publish, st.Term)
	case req.Zone != nil:
		c.handleZoneChange(ctx, rep, req.Zone, st.Term)
	case req.Announce != nil:
		c.handleAnnouncement(ctx, rep, req.Announce)
	case req.Signs != nil:
		c.recordSigns(rep, req.Signs)
	case req.Ping != nil:
		rep.Limits = c.requestLimits()
	default:
		c.read(ctx, rep, &req)
	}
	return rep
}

// requestLimits returns the limits of callers' requests in the configuration in force.
func (c *Control) requestLimits() *RequestLimits {
	if c.cfg.LimitsOf == nil {
		return nil
	}
	var cfg *batch.Config
	c.machine.View(func(v *batch.View) { cfg = v.Config() })
	if cfg == nil {
		return nil
	}
	if known := c.limits.Load(); known != nil && known.version == cfg.Version {
		return known.limits
	}
	l := &versionedLimits{version: cfg.Version, limits: c.cfg.LimitsOf(cfg.Document)}
	c.limits.Store(l)
	return l.limits
}

// versionedLimits are the limits in a version of the configuration.
type versionedLimits struct {
	version uint64
	limits  *RequestLimits
}

// publish commits a configuration, with the identities of its customers.
func (c *Control) publish(ctx context.Context, rep *Reply, cfg *batch.Config, term uint64) {
	// The identities follow from the configuration in force, which a new leader may not have applied yet.
	if err := c.group.ReadIndex(ctx); err != nil {
		c.log.Info("configuration not committed: the one in force is not known", "version", cfg.Version, "error", err.Error())
		rep.NotLeader = true
		return
	}
	c.configChange.Lock()
	defer c.configChange.Unlock()
	c.machine.View(func(v *batch.View) { cfg = v.WithIdentities(cfg) })
	c.commit(ctx, rep, &batch.Command{Publish: cfg})
	c.log.Info("configuration judged", "version", cfg.Version, "verdict", rep.Verdict.String(),
		"notLeader", rep.NotLeader, "unsure", rep.OutcomeUnknown, "term", term)
}

// logVerdict logs the outcome of a caller's request.
func (c *Control) logVerdict(msg, job string, call *batch.Call, rep *Reply, term uint64) {
	var version, epoch uint64
	c.machine.View(func(v *batch.View) {
		epoch, _ = v.Epoch()
		if cfg := v.Config(); cfg != nil {
			version = cfg.Version
		}
	})
	c.log.Info(msg, "job", job, "host", telemetry.Cut(call.Host), "path", telemetry.Cut(call.Path), "verdict", rep.Verdict.String(), "notLeader", rep.NotLeader,
		"unsure", rep.OutcomeUnknown, "config", version, "epoch", epoch, "term", term)
}

// logRecordedJob logs a job's demand and its completion target. These lines allow
// computing how much of the demand any schedule could have served on time.
func (c *Control) logRecordedJob(id string) {
	c.machine.View(func(v *batch.View) {
		j := v.LiveJobs()[id]
		if j == nil {
			return // a retried submission of a concluded job
		}
		q := v.QueueOf(j)
		longRunning := slices.ContainsFunc(j.Spec.Steps, func(st batch.Step) bool { return st.LongRunning })
		if q == nil || longRunning {
			return // the job has no completion target
		}
		from := j.AcceptedMS
		last := from
		if j.HasDueTimes() {
			from = j.Spec.StartMS
			last = from + int64(j.Spec.Occurrences-1)*j.Spec.IntervalMS
		}
		work, atOnce := j.Demand()
		c.log.Info("job recorded", "job", id, "queue", q.Name, "customer", v.CustomerName(j.Customer), "priority", q.Priority, "fromMS", from,
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

// commit proposes a command and sets the reply from its result.
func (c *Control) commit(ctx context.Context, rep *Reply, cmd *batch.Command) {
	result, err := c.propose(ctx, cmd)
	var notLeader *replica.NotLeaderError
	var notProposed *replica.NotProposedError
	switch {
	case err == nil:
		rep.Verdict, _ = result.(batch.Verdict)
	case errors.As(err, &notLeader):
		rep.NotLeader, rep.Leader = true, notLeader.Leader
	case errors.As(err, &notProposed):
		rep.NotLeader = true
	default:
		c.log.Info("commit not confirmed", "error", err.Error())
		rep.OutcomeUnknown = true
	}
}

// read answers a query from the state after the group has confirmed that this instance
// still leads, so that the answer is not stale.
func (c *Control) read(ctx context.Context, rep *Reply, req *request) {
	if err := c.group.ReadIndex(ctx); err != nil {
		c.log.V(1).Info("read not confirmed", "error", err.Error())
		rep.NotLeader = true
		return
	}
	if req.Customers != nil {
		c.readCustomers(rep)
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
			q, customer, verdict := v.Admit(v.CallForJob(req.Job.Call, req.Job.ID))
			rep.Verdict = verdict
			if q == nil {
				return
			}
			j := v.Job(req.Job.ID, customer)
			if j == nil {
				rep.Verdict = batch.NoJob
				return
			}
			rep.State, rep.FailedBy = j.State, j.FailedBy
			if req.Job.Progress {
				p := j.Progress()
				rep.Progress = &p
			}
		case req.Workers != nil:
			rep.Workers = c.workerViews(v)
		case req.Zones != nil:
			c.readZones(rep, v, req.Zones)
		}
	})
}

// readCustomers answers with the customers. A leader that has not made a plan yet cannot
// tell what they hold, and says that it does not lead, so the request is tried again.
func (c *Control) readCustomers(rep *Reply) {
	l := c.currentLeadership()
	if l == nil {
		rep.NotLeader = true
		return
	}
	rep.Customers = l.Customers()
	rep.NotLeader = rep.Customers == nil
}

// workerViews returns the workers as the leader knows them, with their latest speeds.
func (c *Control) workerViews(v *batch.View) []WorkerView {
	l := c.currentLeadership()
	out := make([]WorkerView, 0, len(v.Workers()))
	for id, w := range v.Workers() {
		runs := 0
		v.EachActiveUnit(id, func(batch.UnitRef, *batch.Unit) { runs++ })
		wv := WorkerView{Worker: *w, Runs: runs}
		if l != nil {
			wv.Worker.Speed = l.Speed(id, w.Incarnation)
		}
		out = append(out, wv)
	}
	slices.SortFunc(out, func(a, b WorkerView) int { return strings.Compare(a.Worker.ID, b.Worker.ID) })
	return out
}

// isForeign reports whether an announcement is of a service that the configuration does not name, and that
// the worker with its id, if one is recorded, does not have. It is from another system, or its
// service is still to be configured. It must not replace a worker in use: what runs there would be
// taken for lost and started again. cfg and cur may be nil.
func isForeign(cfg *batch.Config, cur, w *batch.Worker) bool {
	if cfg == nil || cur != nil && cur.Service == w.Service {
		return false
	}
	return !slices.ContainsFunc(cfg.Services, func(s batch.Service) bool { return s.Name == w.Service })
}

// handleAnnouncement records the heartbeat of a worker and commits its record if it is
// new or has changed, or its removal if it leaves.
func (c *Control) handleAnnouncement(ctx context.Context, rep *Reply, a *Announcement) {
	w := a.Worker
	w.AnnouncedMS = a.ClockMS
	var cur *batch.Worker // its record, if there is one
	incarnation := w.Incarnation
	foreign := false
	c.machine.View(func(v *batch.View) {
		if r := v.Workers()[w.ID]; r != nil {
			record := *r
			cur, incarnation = &record, r.Incarnation
		}
		foreign = !a.Leaving && isForeign(v.Config(), cur, &w)
	})
	if foreign {
		telemetry.Count("teaselpaddle_foreign_announcements_total")
		level := 1
		if cur != nil { // it could be taken for the worker's own
			level = 0
		}
		c.log.V(level).Info("announcement ignored: no configuration names its service", "worker", w.ID, "service", w.Service, "address", w.Address,
			"recorded", cur != nil)
		return
	}
	unrecorded := cur == nil
	if a.Leaving {
		c.log.Info("worker leaves", "worker", w.ID, "life", w.Incarnation, "recorded", !unrecorded)
		if !unrecorded {
			c.commit(ctx, rep, &batch.Command{Worker: &batch.WorkerChange{Worker: w, Removed: true}})
			c.machine.View(func(v *batch.View) {
				if v.Workers()[w.ID] == nil {
					c.heartbeats.RecordLeft(w.ID, incarnation, time.Now())
				}
			})
		}
		return
	}
	now := time.Now()
	sentBy := c.heartbeats.Record(w.ID, w.Incarnation, a.ClockMS, now)
	if age := now.Sub(sentBy); age > dispatch.LateAnnouncement {
		telemetry.Count("teaselpaddle_late_announcements_total")
		c.log.Info("announcement arrived late", "worker", w.ID, "life", w.Incarnation, "clockMS", a.ClockMS, "ageMS", age.Milliseconds(),
			"recorded", !unrecorded)
	}
	c.heartbeats.RecordCold(w.ID, w.Incarnation, sentBy.Add(time.Duration(a.ColdMS)*time.Millisecond))
	if w.Draining && a.RemainingMS > 0 {
		c.heartbeats.RecordLeaving(w.ID, w.Incarnation, sentBy.Add(time.Duration(a.RemainingMS)*time.Millisecond))
	}
	if cur != nil && cur.UpToDate(&w, c.heartbeats.Overtaken(w.ID, w.Incarnation, a.ClockMS)) {
		return
	}
	if unrecorded && sentBy.Before(c.heartbeats.LeftAt(w.ID, w.Incarnation)) {
		telemetry.Count("teaselpaddle_announcements_after_leave_total")
		return
	}
	done, err := c.recordings.begin(ctx, w.ID)
	if err != nil {
		rep.OutcomeUnknown = true
		return
	}
	defer done()
	if c.isRecorded(&w) { // by an earlier announcement, meanwhile
		return
	}
	c.commit(ctx, rep, &batch.Command{Worker: &batch.WorkerChange{Worker: w}})
	if !rep.NotLeader && !rep.OutcomeUnknown {
		c.log.Info("worker recorded", "worker", w.ID, "life", w.Incarnation, "address", w.Address, "draining", w.Draining,
			"capacity", w.Capacity)
		if cur != nil && cur.Incarnation == w.Incarnation && cur.Capacity != w.Capacity {
			telemetry.Count("teaselpaddle_worker_capacity_changes_total")
			c.log.Info("capacity of a worker changed", "worker", w.ID, "life", w.Incarnation, "from", cur.Capacity, "to", w.Capacity, "clockMS", a.ClockMS)
		}
	}
}
