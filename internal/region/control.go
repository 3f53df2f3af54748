package region

import (
	"context"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/dispatch"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// groupName is the name of the region's group.
const groupName = "region"

// Ticks of the group. A dead leader is replaced about 0.6 to 1.2 s after its
// last heartbeat.
const (
	groupTick      = 50 * time.Millisecond
	electionTicks  = 12
	heartbeatTicks = 3
)

// ControlConfig sets up a Control.
type ControlConfig struct {
	Self       string // IP:port of the links; names the instance
	Seeds      []string
	Form       bool // first start of the deployment
	DataFolder string
	Peers      link.Peers
	Client     workerapi.UnitClient
	MaxLease   time.Duration // longest lease that a worker grants
	Log        logr.Logger
}

// Control is a member of the region's group. The one that leads drives the
// workers.
type Control struct {
	cfg     ControlConfig
	log     logr.Logger
	machine *batch.Machine
	group   *replica.Replica
	router  *Router
	beats   dispatch.Beats

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	version atomic.Uint64 // of the configuration logged last

	mu         sync.Mutex // guards leadership
	leadership *dispatch.Leadership
}

var configGauge = metrics.GetOrCreateGauge("teaselpaddle_config_version", nil)

// OpenControl starts a member. router is the instance's own.
func OpenControl(cfg ControlConfig, router *Router) (*Control, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{cfg: cfg, log: cfg.Log.WithName("control"), router: router, ctx: ctx, cancel: cancel}
	c.machine = batch.New(c.wake)
	var specs []replica.InstanceSpec
	if cfg.Form && slices.Contains(cfg.Seeds, cfg.Self) {
		for _, s := range cfg.Seeds {
			specs = append(specs, replica.InstanceSpec{Name: s, Disk: true})
		}
	}
	g, err := replica.Open(replica.Config{
		Group: groupName, Self: cfg.Self, Instances: specs, Open: true, Form: len(specs) > 0,
		Contacts: router.Contacts, DataFolder: filepath.Join(cfg.DataFolder, groupName),
		Dispatcher: replica.NewDispatcher(cfg.Peers), Machine: c.machine, Log: cfg.Log,
		TickInterval: groupTick, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
	})
	if err != nil {
		cancel()
		return nil, errors.Annotate(err, "region's group")
	}
	c.group = g
	router.Local = c.answer
	cfg.Peers.Handle(link.KindRequest, func(ctx context.Context, _ string, body []byte) ([]byte, error) {
		return codec.Marshal(c.answer(ctx, body))
	})
	c.wg.Add(1)
	go c.run()
	return c, nil
}

// Close hands the leadership over and ends the member.
func (c *Control) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	if err := c.group.Transfer(ctx); err != nil {
		c.log.Info("leadership could not be handed over", "error", err.Error())
	}
	cancel()
	c.cancel()
	c.wg.Wait()
	c.group.Stop()
}

// transferTimeout bounds the transfer of the leadership at a stop. The next
// leader needs one election of a few milliseconds.
const transferTimeout = time.Second

// leadPoll is the time between two looks at who leads.
const leadPoll = 20 * time.Millisecond

// run drives the workers while this instance leads.
func (c *Control) run() {
	defer c.wg.Done()
	t := time.NewTicker(leadPoll)
	defer t.Stop()
	var term uint64
	for {
		select {
		case <-c.ctx.Done():
			c.endLeadership()
			return
		case <-t.C:
		}
		st := c.group.Status()
		if c.current() != nil && (!st.Leads || st.Term != term) {
			c.endLeadership()
		}
		if st.Leads && c.current() == nil {
			term = st.Term
			c.beginLeadership()
		}
	}
}

func (c *Control) beginLeadership() {
	ctx, cancel := context.WithTimeout(c.ctx, tryTimeout)
	defer cancel()
	result, err := c.propose(ctx, &batch.Command{Lead: &batch.Lead{Instance: c.cfg.Self}})
	if err != nil {
		c.log.Info("leadership could not begin", "error", err.Error())
		return
	}
	o := dispatch.Open(dispatch.Config{
		Machine: c.machine, Group: c.group, Client: c.cfg.Client, MaxLease: c.cfg.MaxLease,
		Log: c.cfg.Log, Epoch: result.(uint64), Beats: &c.beats,
	})
	c.mu.Lock()
	c.leadership = o
	c.mu.Unlock()
}

func (c *Control) endLeadership() {
	c.mu.Lock()
	o := c.leadership
	c.leadership = nil
	c.mu.Unlock()
	if o != nil {
		o.Close()
	}
}

func (c *Control) current() *dispatch.Leadership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leadership
}

func (c *Control) wake() {
	c.noteConfig()
	if o := c.current(); o != nil {
		o.Wake()
	}
}

// noteConfig logs each configuration that comes into force on this instance.
func (c *Control) noteConfig() {
	c.machine.View(func(v *batch.View) {
		cfg := v.Config()
		if cfg == nil || c.version.Swap(cfg.Version) == cfg.Version {
			return
		}
		configGauge.Set(float64(cfg.Version))
		c.log.Info("configuration in force", "version", cfg.Version, "queues", len(cfg.Queues), "services", len(cfg.Services),
			"customers", len(cfg.Customers))
	})
}

func (c *Control) propose(ctx context.Context, cmd *batch.Command) (any, error) {
	entry, err := codec.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	result, err := c.group.Propose(ctx, entry)
	if err != nil {
		return nil, err
	}
	if failed, ok := result.(error); ok {
		return nil, failed
	}
	return result, nil
}

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
			rep.Pending = v.Pending(q)
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
		v.EachActive(id, func(batch.UnitRef, *batch.Unit) { runs++ })
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
			c.commit(ctx, rep, &batch.Command{Worker: &batch.WorkerChange{Worker: w, Gone: true}})
		}
		return
	}
	c.beats.Note(w.ID, w.Life, time.Now())
	if known {
		return
	}
	c.commit(ctx, rep, &batch.Command{Worker: &batch.WorkerChange{Worker: w}})
	if !rep.NotLeader && !rep.Unsure {
		c.log.Info("worker recorded", "worker", w.ID, "life", w.Life, "address", w.Address, "draining", w.Draining)
	}
}
