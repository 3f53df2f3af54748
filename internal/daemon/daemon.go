// Package daemon wires one daemon.
package daemon

import (
	"context"
	"net"
	"net/http"
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

// Times of a planned stop.
const (
	readHeaderTimeout = 5 * time.Second
	// unreadyTime lets the load balancer see that the instance is not ready
	// before its listener closes.
	unreadyTime     = 500 * time.Millisecond
	transferTimeout = 3 * time.Second
	drainTimeout    = 90 * time.Second // the longest open request and its answer
)

// configGroup is the name of the configuration group.
const configGroup = "config"

// Daemon is one running daemon.
type Daemon struct {
	s       *settings.Settings
	self    *settings.Instance
	log     logr.Logger
	links   *link.Links
	machine *jobs.Machine
	board   *blackboard.Board
	zone    replica.Group // the zone's jobs
	config  replica.Group // the configuration; nil if this instance is no voter
	router  *routing.Router
	adopter *config.Adopter
	ctl     *control.Controller
	spread  *announce.Spreader
	members *membership.Runner
	client  *http.Server
	peer    *http.Server

	stopping atomic.Bool
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Run serves until ctx ends, then stops gracefully. It returns an error if the
// daemon cannot be started or a planned stop was incomplete.
func Run(ctx context.Context, s *settings.Settings, log logr.Logger) error {
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

// start opens the listeners and the groups and begins to serve.
func start(s *settings.Settings, log logr.Logger) (*Daemon, error) {
	d := &Daemon{s: s, self: s.Self(), log: log, machine: jobs.New(), board: blackboard.New()}
	clientLn, err := net.Listen("tcp", d.self.ClientAddress)
	if err != nil {
		return nil, errors.Annotate(err, "client address")
	}
	peerLn, err := net.Listen("tcp", d.self.PeerAddress)
	if err != nil {
		return nil, errors.Annotate(err, "peer address")
	}
	d.links = link.New(link.Config{Self: s.Name, Addresses: s.PeerAddresses(), Logger: log})
	if err := d.openGroups(); err != nil {
		return nil, err
	}
	rec, err := d.openRecorder()
	if err != nil {
		return nil, err
	}
	d.startMembers()
	d.wire()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.wg.Go(func() { d.ctl.Run(ctx) })
	d.wg.Go(func() { d.adopter.Run(ctx) })
	d.wg.Go(func() { d.spread.Run(ctx) })
	d.wg.Go(func() { d.updateFacts(ctx) })
	if rec != nil {
		d.wg.Go(func() { rec.run(ctx) })
	}
	go func() { _ = d.client.Serve(clientLn) }()
	go func() { _ = d.peer.Serve(peerLn) }()
	log.Info("serving", "instance", s.Name, "zone", d.self.AvailabilityZone, "clients", d.self.ClientAddress)
	return d, nil
}

// openGroups opens this instance's members of the replicated groups.
func (d *Daemon) openGroups() error {
	dispatcher := replica.NewDispatcher(d.links)
	zone, err := replica.Open(replica.Config{
		Group: "jobs/" + d.self.AvailabilityZone, Self: d.s.Name,
		Instances: specs(d.s, d.s.InZone(d.self.AvailabilityZone)), DataFolder: d.folder("jobs"),
		Dispatcher: dispatcher, Machine: d.machine, Log: d.log,
	})
	if err != nil {
		return errors.Annotate(err, "jobs group")
	}
	d.zone = zone
	d.router = &routing.Router{
		Self: d.s.Name, Zone: d.self.AvailabilityZone, Zones: d.s.Zones(), InZone: d.inZone,
		Peers: d.links, Group: d.zone, Machine: d.machine, Log: d.log,
	}
	voters := configVoters(d.s)
	d.adopter = &config.Adopter{
		Self: d.s.Name, Zone: d.self.AvailabilityZone, Voters: voters,
		Group: d.zone, Machine: d.machine, Peers: d.links, Log: d.log,
	}
	d.router.Config.Voters = voters
	return d.openConfig(dispatcher, voters)
}

// openConfig opens this instance's member of the configuration group, if it has
// one.
func (d *Daemon) openConfig(dispatcher *replica.Dispatcher, voters []string) error {
	if !slices.Contains(voters, d.s.Name) {
		return nil
	}
	m := config.NewMachine(cell.CheckFit)
	g, err := replica.Open(replica.Config{
		Group: configGroup, Self: d.s.Name, Instances: specs(d.s, voters), DataFolder: d.folder("config"),
		Dispatcher: dispatcher, Machine: m, Log: d.log,
	})
	if err != nil {
		return errors.Annotate(err, "configuration group")
	}
	d.config = g
	d.router.Config.Machine = m
	d.router.Config.Group = g
	d.adopter.Local = &config.Voter{Machine: m}
	d.adopter.Local.Register(d.links)
	return nil
}

// folder returns a group's folder below the data folder, or "" without a disk.
func (d *Daemon) folder(name string) string {
	if d.s.DataFolder == "" {
		return ""
	}
	return filepath.Join(d.s.DataFolder, name)
}

// wire connects the controllers, the routes and the servers.
func (d *Daemon) wire() {
	d.ctl = &control.Controller{
		Zone: d.self.AvailabilityZone, Group: d.zone, Machine: d.machine, Board: d.board,
		Client: workerapi.NewHTTPClient(), Decide: policy.Decide,
		Lease: time.Duration(d.s.LeaseSeconds * float64(time.Second)), Log: d.log,
		ConfigConfirmed: d.adopter.Confirmed,
	}
	d.spread = &announce.Spreader{
		Self: d.s.Name, Zone: d.self.AvailabilityZone, Board: d.board, Peers: d.links, InZone: d.s.InZone,
	}
	d.spread.Register()
	d.router.Usage = d.ctl.NoteUsage
	d.router.View = d.view
	d.router.Register()
	api := &httpapi.API{
		Router: d.router, Board: d.board, Log: d.log, Announce: d.spread.Announce,
		MaxRequests: d.s.MaxRequests,
		Ready:       func() bool { return !d.stopping.Load() && d.zone.Status().Ready },
	}
	d.client = httpapi.NewServer(api.Handler())
	d.peer = &http.Server{Handler: d.links.Handler(), ReadHeaderTimeout: readHeaderTimeout}
}

// stop hands the leadership over, finishes the open requests and ends. The
// controllers run until the leadership has moved, and the groups and links until
// the last open request has its answer.
func (d *Daemon) stop() error {
	d.log.Info("stopping", "instance", d.s.Name)
	d.stopping.Store(true)
	d.members.SetFacts(d.facts(time.Now()))
	time.Sleep(unreadyTime)
	for _, g := range d.groups() {
		transfer(g)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := d.client.Shutdown(ctx)
	d.cancel()
	d.wg.Wait()
	for _, g := range d.groups() {
		g.Stop()
	}
	d.members.Close()
	d.links.Close()
	_ = d.peer.Shutdown(ctx)
	d.log.Info("stopped", "instance", d.s.Name)
	return errors.Annotate(err, "open requests")
}

// transfer hands a group's leadership over, if this instance leads it. A
// failure leaves it to the next election.
func transfer(g replica.Group) {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	_ = g.Transfer(ctx)
}

// groups returns the groups that this instance is a member of.
func (d *Daemon) groups() []replica.Group {
	if d.config == nil {
		return []replica.Group{d.zone}
	}
	return []replica.Group{d.zone, d.config}
}
