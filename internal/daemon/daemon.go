// Package daemon wires one daemon.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/announce"
	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/control"
	"teaselpaddle.example/teaselpaddle/internal/httpapi"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/routing"
	"teaselpaddle.example/teaselpaddle/internal/sched/policy"
	"teaselpaddle.example/teaselpaddle/internal/settings"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Limits of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	stopTimeout       = 90 * time.Second // the longest open request and its answer
)

// Run serves until ctx ends, then stops gracefully.
func Run(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	self := s.Self()
	clientLn, err := net.Listen("tcp", self.ClientAddress)
	if err != nil {
		return errors.Annotate(err, "client address")
	}
	peerLn, err := net.Listen("tcp", self.PeerAddress)
	if err != nil {
		return errors.Annotate(err, "peer address")
	}
	addresses := map[string]string{}
	for i := range s.Instances {
		addresses[s.Instances[i].Name] = s.Instances[i].PeerAddress
	}
	peers := link.New(link.Config{Self: s.Name, Addresses: addresses, Logger: log})
	defer peers.Close()
	machine := jobs.New()
	board := blackboard.New()
	group := newGroup(s, machine)
	router := &routing.Router{
		Self: s.Name, Zone: self.AvailabilityZone, Zones: s.Zones(), InZone: s.InZone,
		Peers: peers, Group: group, Machine: machine, Log: log,
	}
	router.Register()
	ctl := &control.Controller{
		Zone: self.AvailabilityZone, Group: group, Machine: machine, Board: board,
		Client: workerapi.NewHTTPClient(), Decide: policy.Decide,
		Lease: time.Duration(s.LeaseSeconds * float64(time.Second)), Log: log,
	}
	router.Usage = ctl.NoteUsage
	spreader := &announce.Spreader{
		Self: s.Name, Zone: self.AvailabilityZone, Board: board, Peers: peers, InZone: s.InZone,
	}
	spreader.Register()
	go spreader.Run(ctx)
	api := &httpapi.API{
		Router: router, Board: board, Log: log, Publisher: &publisher{router},
		Announce: spreader.Announce, MaxRequests: s.MaxRequests,
		Ready: func() bool { return ctx.Err() == nil && group.Status().Ready },
	}
	client := httpapi.NewServer(api.Handler())
	peer := &http.Server{Handler: peers.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = client.Serve(clientLn) }()
	go func() { _ = peer.Serve(peerLn) }()
	log.Info("serving", "instance", s.Name, "zone", self.AvailabilityZone, "clients", self.ClientAddress)
	ctl.Run(ctx)
	return stop(client, peer, group)
}

// newGroup returns the zone's group.
func newGroup(s *settings.Settings, m *jobs.Machine) replica.Group {
	return replica.NewLocal(s.Name, m)
}

// stop finishes open requests, then hands over the leadership.
func stop(client, peer *http.Server, group replica.Group) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := client.Shutdown(ctx)
	_ = group.Transfer(ctx)
	group.Stop()
	_ = peer.Shutdown(ctx)
	return errors.Trace(err)
}

// publisher makes every zone adopt a configuration.
type publisher struct{ router *routing.Router }

// Publish implements httpapi.Publisher.
func (p *publisher) Publish(r *http.Request, cfg *model.Configuration) (*model.Configuration, error) {
	cfg.AcceptedAt = time.Now().UTC()
	for _, z := range p.router.Zones {
		if _, err := p.router.Do(r.Context(), z, &routing.Request{Op: routing.OpAdopt, Config: cfg}); err != nil {
			return nil, err
		}
	}
	return cfg, nil
}
