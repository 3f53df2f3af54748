// Package daemon assembles the components of one instance and runs them.
package daemon

import (
	"context"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/announce"
	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/control"
	"teaselpaddle.example/teaselpaddle/internal/httpapi"
	"teaselpaddle.example/teaselpaddle/internal/httpserver"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/membership"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/routing"
	"teaselpaddle.example/teaselpaddle/internal/sched/cell"
	"teaselpaddle.example/teaselpaddle/internal/sched/policy"
	"teaselpaddle.example/teaselpaddle/internal/settings"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Timeouts of a planned stop.
const (
	// unreadyDelay is the time between the end of readiness and the closing of the
	// listener, in which the load balancer can detect that the instance is not ready.
	unreadyDelay    = 500 * time.Millisecond
	transferTimeout = 3 * time.Second
	drainTimeout    = 90 * time.Second // the longest request in flight and its response
)

// configGroupName is the name of the configuration group.
const configGroupName = "config"

// Daemon holds the components of one running instance of a deployment with the extent
// zone. An instance of a deployment with the extent region is run by runRegion.
type Daemon struct {
	settings     *settings.Settings
	self         *settings.Instance
	log          logr.Logger
	links        *link.Links
	machine      *jobs.Machine
	board        *blackboard.Board
	jobsGroup    replica.Group // replicates the zone's jobs
	configGroup  replica.Group // replicates the configuration; nil if this instance is not a voter
	router       *routing.Router
	adopter      *config.Adopter
	controller   *control.Controller
	spreader     *announce.Spreader
	membership   *membership.Runner
	clientServer *httpserver.Server
	peerServer   *httpserver.Server

	stopping atomic.Bool
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Run serves until ctx ends, then stops gracefully. It returns an error if the
// daemon cannot be started or if the planned stop was not completed.
func Run(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	setMemoryLimit(s)
	if s.Extent == settings.ExtentRegion {
		return runRegion(ctx, s, log)
	}
	d, err := start(s, log)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return d.stop()
}

// start opens the listeners and the replication groups and starts to serve. If it
// fails, it closes what it has opened.
func start(s *settings.Settings, log logr.Logger) (_ *Daemon, err error) {
	d := &Daemon{settings: s, self: s.Self(), log: log, machine: jobs.New(), board: blackboard.New()}
	clientLn, peerLn, err := listen(s)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = clientLn.Close()
			_ = peerLn.Close()
			d.closeGroupsAndLinks()
		}
	}()
	d.links = link.New(link.Config{Self: s.Name, Addresses: s.PeerAddresses(), Logger: log})
	if err := d.openGroups(); err != nil {
		return nil, err
	}
	traceRecorder, err := d.openRecorder()
	if err != nil {
		return nil, err
	}
	d.startMembership()
	d.assemble()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.wg.Go(func() { d.controller.Run(ctx) })
	d.wg.Go(func() { d.adopter.Run(ctx) })
	d.wg.Go(func() { d.spreader.Run(ctx) })
	d.wg.Go(func() { d.updateFacts(ctx) })
	if traceRecorder != nil {
		d.wg.Go(func() { traceRecorder.run(ctx) })
	}
	go func() { _ = d.clientServer.Serve(clientLn) }()
	go func() { _ = d.peerServer.Serve(peerLn) }()
	log.Info("serving", "instance", s.Name, "zone", d.self.AvailabilityZone, "clients", d.self.ClientAddress)
	return d, nil
}

// listen opens the listeners of an instance, or none of them.
func listen(s *settings.Settings) (clients, peers net.Listener, err error) {
	self := s.Self()
	clients, err = httpserver.Listen(self.ClientAddress, httpapi.Limits(machine(s)))
	if err != nil {
		return nil, nil, errors.Annotate(err, "client address")
	}
	peers, err = httpserver.Listen(self.PeerAddress, peerLimits(s))
	if err != nil {
		_ = clients.Close()
		return nil, nil, errors.Annotate(err, "peer address")
	}
	return clients, peers, nil
}

// closeGroupsAndLinks stops the groups that are open and closes the links.
func (d *Daemon) closeGroupsAndLinks() {
	for _, g := range d.groups() {
		g.Stop()
	}
	d.links.Close()
}

// openGroups opens this instance's replicas of the jobs group and, if it is a
// voter, of the configuration group.
func (d *Daemon) openGroups() error {
	dispatcher := replica.NewDispatcher(d.links)
	jobsGroup, err := replica.Open(replica.Config{
		Group: "jobs/" + d.self.AvailabilityZone, Self: d.settings.Name,
		Instances: instanceSpecs(d.settings, d.settings.InZone(d.self.AvailabilityZone)), DataFolder: d.groupFolder("jobs"),
		Dispatcher: dispatcher, Machine: d.machine, Log: d.log,
	})
	if err != nil {
		return errors.Annotate(err, "jobs group")
	}
	d.jobsGroup = jobsGroup
	d.router = &routing.Router{
		Self: d.settings.Name, Zone: d.self.AvailabilityZone, Zones: d.settings.Zones(), InZone: d.zoneInstances,
		Peers: d.links, Group: d.jobsGroup, Machine: d.machine, Log: d.log,
	}
	voters := configVoters(d.settings)
	d.adopter = &config.Adopter{
		Self: d.settings.Name, Zone: d.self.AvailabilityZone, Voters: voters,
		Group: d.jobsGroup, Machine: d.machine, Peers: d.links, Log: d.log,
	}
	d.router.Config.Voters = voters
	return d.openConfigGroup(dispatcher, voters)
}

// openConfigGroup opens this instance's replica of the configuration group if it
// is a voter.
func (d *Daemon) openConfigGroup(dispatcher *replica.Dispatcher, voters []string) error {
	if !slices.Contains(voters, d.settings.Name) {
		return nil
	}
	m := config.NewMachine(cell.CheckFit)
	g, err := replica.Open(replica.Config{
		Group: configGroupName, Self: d.settings.Name, Instances: instanceSpecs(d.settings, voters), DataFolder: d.groupFolder("config"),
		Dispatcher: dispatcher, Machine: m, Log: d.log,
	})
	if err != nil {
		return errors.Annotate(err, "configuration group")
	}
	d.configGroup = g
	d.router.Config.Machine = m
	d.router.Config.Group = g
	d.adopter.Local = &config.Voter{Machine: m}
	d.adopter.Local.Register(d.links)
	return nil
}

// groupFolder returns a group's folder below the data folder, or "" if the instance
// has no disk.
func (d *Daemon) groupFolder(name string) string {
	if d.settings.DataFolder == "" {
		return ""
	}
	return filepath.Join(d.settings.DataFolder, name)
}

// assemble creates the controllers, the HTTP interface and the servers, and
// connects them.
func (d *Daemon) assemble() {
	d.controller = &control.Controller{
		Zone: d.self.AvailabilityZone, Group: d.jobsGroup, Machine: d.machine, Board: d.board,
		Client: workerapi.NewHTTPClient(), Decide: policy.Decide,
		Lease: time.Duration(d.settings.LeaseSeconds * float64(time.Second)), Log: d.log,
		ConfigConfirmed: d.adopter.LastConfirmed,
	}
	d.spreader = &announce.Spreader{
		Self: d.settings.Name, Zone: d.self.AvailabilityZone, Board: d.board, Peers: d.links, InZone: d.settings.InZone,
	}
	d.spreader.Register()
	d.router.Usage = d.controller.RecordUsage
	d.router.View = d.zoneView
	d.router.Register()
	api := &httpapi.API{
		Router: d.router, Log: d.log, Announce: d.spreader.Announce,
		MaxRequests: d.settings.MaxRequests,
		Ready:       func() bool { return !d.stopping.Load() && d.jobsGroup.Status().Ready },
	}
	d.clientServer = httpapi.NewServer(api.Handler(), machine(d.settings), d.log)
	d.peerServer = newPeerServer(d.links.Handler(), d.settings, d.log)
}

// stop transfers the leadership, completes the requests in flight and shuts down.
// The controllers stop only after the leadership has been transferred, the groups
// and links only after the last request in flight has been answered.
func (d *Daemon) stop() error {
	d.log.Info("stopping", "instance", d.settings.Name)
	d.stopping.Store(true)
	d.membership.SetFacts(d.ownFacts(time.Now()))
	time.Sleep(unreadyDelay)
	for _, g := range d.groups() {
		transferLeadership(g)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := d.clientServer.Shutdown(ctx)
	d.cancel()
	d.wg.Wait()
	d.membership.Close()
	d.closeGroupsAndLinks()
	_ = d.peerServer.Shutdown(ctx)
	d.log.Info("stopped", "instance", d.settings.Name)
	return errors.Annotate(err, "open requests")
}

// transferLeadership transfers a group's leadership if this instance is the leader.
// If the transfer fails, the next election chooses the leader.
func transferLeadership(g replica.Group) {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	_ = g.Transfer(ctx)
}

// groups returns the open groups that this instance is a member of.
func (d *Daemon) groups() []replica.Group {
	var out []replica.Group
	for _, g := range []replica.Group{d.jobsGroup, d.configGroup} {
		if g != nil {
			out = append(out, g)
		}
	}
	return out
}
