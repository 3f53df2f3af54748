package region

import (
	"context"
	"path/filepath"
	"slices"
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
	"teaselpaddle.example/teaselpaddle/internal/sched/mechanism"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
	"teaselpaddle.example/teaselpaddle/internal/timeofday"
	"teaselpaddle.example/teaselpaddle/internal/wal"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// groupName is the name of the region's replication group.
const groupName = "region"

// Timing of the group, in ticks of groupTick. A dead leader is replaced about 0.6 to
// 1.2 s after its last heartbeat.
const (
	groupTick      = 50 * time.Millisecond
	electionTicks  = 12
	heartbeatTicks = 3
)

// ControlConfig configures a Control.
type ControlConfig struct {
	Self       string // IP:port for links from its peers; identifies the instance
	Seeds      []string
	Form       bool // first start of the deployment
	DiskLosses int  // disks that may be lost at the same time, see replica.Config; 0 means 1
	DataFolder string
	FS         wal.FS // file system of the data folder; nil for that of the operating system
	// Zones are the availability zones of the deployment. The zones of recorded workers are
	// known in addition.
	Zones           []string
	Peers           link.Peers
	Client          workerapi.UnitClient
	MaxLease        time.Duration // longest lease that a worker grants
	MaxWaitingHolds int           // maximum number of waiting holds, see dispatch.Config; 0 means no limit
	MeasureSpeeds   bool          // the workers may differ in speed, see dispatch.Config
	Preemption      place.Preemption
	Off             mechanism.Set // mechanisms that are switched off
	// RelayAbove is the number of workers above which the instances that do not lead take
	// their announcements; 0 means that the leader takes all.
	RelayAbove int
	// FairShareHalfLifeMS is as in dispatch.Config.
	FairShareHalfLifeMS int64
	// LimitsOf returns the limits of callers' requests in a configuration as its operator
	// published it; nil if configurations have none.
	LimitsOf func(document []byte) *RequestLimits
	Log      logr.Logger
}

// Control is a member of the region's group. The member that leads the group drives
// the workers.
type Control struct {
	cfg        ControlConfig
	log        logr.Logger
	machine    *batch.Machine
	group      *replica.Replica
	router     *Router
	heartbeats dispatch.Heartbeats
	clock      *timeofday.Clock

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	recordings    recordings
	configChange  sync.RWMutex  // see dispatch.Config
	loggedVersion atomic.Uint64 // version of the configuration that was logged last
	// loggedZones holds the generation of each zone that was logged last; see logZones.
	loggedZones map[string]uint64
	limits      atomic.Pointer[versionedLimits] // of the last pings

	mu         sync.Mutex // guards leadership
	leadership *dispatch.Leadership
}

var configGauge = metrics.GetOrCreateGauge("teaselpaddle_config_version", nil)

// OpenControl starts a member of the group. router is the router of this instance.
func OpenControl(cfg ControlConfig, router *Router) (*Control, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{cfg: cfg, log: cfg.Log.WithName("control"), router: router, clock: timeofday.New(), ctx: ctx, cancel: cancel, loggedZones: map[string]uint64{}}
	c.machine = batch.New(c.stateChanged)
	var specs []replica.InstanceSpec
	if cfg.Form && slices.Contains(cfg.Seeds, cfg.Self) {
		for _, s := range cfg.Seeds {
			specs = append(specs, replica.InstanceSpec{Name: s, Disk: true})
		}
	}
	g, err := replica.Open(replica.Config{
		Group: groupName, Self: cfg.Self, Instances: specs, OpenMembership: true, AllowFormation: len(specs) > 0, DiskLosses: cfg.DiskLosses,
		Contacts: router.Contacts, DataFolder: filepath.Join(cfg.DataFolder, groupName), FS: cfg.FS,
		Dispatcher: replica.NewDispatcher(cfg.Peers), Machine: c.machine, Log: cfg.Log,
		TickInterval: groupTick, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
	})
	if err != nil {
		cancel()
		return nil, errors.Annotate(err, "open region group")
	}
	c.group = g
	router.Local = c.serveRequest
	router.relay = &relay{
		router: router, machine: c.machine, log: c.log, above: cfg.RelayAbove, pending: map[string]signOfLife{},
		members: func() []string { return memberNames(g.Status()) }, leads: func() bool { return g.Status().Leads },
	}
	if cfg.RelayAbove > 0 {
		c.wg.Go(func() { router.relay.run(ctx) })
	}
	cfg.Peers.Handle(link.KindRequest, func(ctx context.Context, _ string, body []byte) ([]byte, error) {
		return codec.Marshal(c.serveRequest(ctx, body))
	})
	c.wg.Go(func() { c.clock.Run(ctx) })
	c.wg.Add(1)
	go c.run()
	return c, nil
}

// Close transfers the leadership to another member and stops this one.
func (c *Control) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	if err := c.group.Transfer(ctx); err != nil {
		c.log.Info("leadership could not be transferred", "error", err.Error())
	}
	cancel()
	c.cancel()
	c.wg.Wait()
	c.group.Stop()
}

// transferTimeout bounds the leadership transfer in Close. The transfer takes one
// election of a few milliseconds.
const transferTimeout = time.Second

// leadershipPollInterval is the time between two checks whether this instance leads.
const leadershipPollInterval = 20 * time.Millisecond

// run begins a dispatch leadership when this instance becomes leader, and ends it when
// the instance loses the leadership.
func (c *Control) run() {
	defer c.wg.Done()
	t := time.NewTicker(leadershipPollInterval)
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
		if c.currentLeadership() != nil && (!st.Leads || st.Term != term) {
			c.endLeadership()
		}
		if st.Leads && c.currentLeadership() == nil {
			term = st.Term
			c.beginLeadership()
		}
	}
}

func (c *Control) beginLeadership() {
	ctx, cancel := context.WithTimeout(c.ctx, attemptTimeout)
	defer cancel()
	began := timeofday.Steady()
	result, err := c.propose(ctx, &batch.Command{Lead: &batch.Lead{Instance: c.cfg.Self}})
	if err != nil {
		c.log.Info("leadership could not begin", "error", err.Error())
		return
	}
	l := dispatch.Open(dispatch.Config{
		Machine: c.machine, Group: c.group, Client: c.cfg.Client, MaxLease: c.cfg.MaxLease, MaxWaitingHolds: c.cfg.MaxWaitingHolds,
		Log: c.cfg.Log, Epoch: result.(uint64), ConfirmedAt: began, Heartbeats: &c.heartbeats, TimeOfDayMS: c.clock.NowMS,
		MeasureSpeeds: c.cfg.MeasureSpeeds,
		ConfigChange:  &c.configChange,
		Preemption:    c.cfg.Preemption, Off: c.cfg.Off, FairShareHalfLifeMS: c.cfg.FairShareHalfLifeMS,
	})
	c.mu.Lock()
	c.leadership = l
	c.mu.Unlock()
}

func (c *Control) endLeadership() {
	c.mu.Lock()
	l := c.leadership
	c.leadership = nil
	c.mu.Unlock()
	if l != nil {
		l.Close()
	}
}

func (c *Control) currentLeadership() *dispatch.Leadership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leadership
}

func (c *Control) stateChanged() {
	c.logConfig()
	c.logZones()
	if l := c.currentLeadership(); l != nil {
		l.Wake()
	}
}

// logConfig logs each configuration once when it takes effect on this instance.
func (c *Control) logConfig() {
	c.machine.View(func(v *batch.View) {
		cfg := v.Config()
		if cfg == nil || c.loggedVersion.Swap(cfg.Version) == cfg.Version {
			return
		}
		configGauge.Set(float64(cfg.Version))
		former, renamed := 0, 0
		for i := range cfg.Customers {
			switch cu := &cfg.Customers[i]; {
			case cu.IsFormer():
				former++
			case cu.PublishedName() != cu.Name:
				renamed++
			}
		}
		c.log.Info("configuration in force", "version", cfg.Version, "queues", len(cfg.Queues), "services", len(cfg.Services),
			"customers", len(cfg.Customers)-former, "renamed", renamed, "formerWithJobs", former)
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
