// Package daemon wires one daemon.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/control"
	"teaselpaddle.example/teaselpaddle/internal/httpapi"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/routing"
	"teaselpaddle.example/teaselpaddle/internal/sched/naive"
	"teaselpaddle.example/teaselpaddle/internal/settings"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Limits of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
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
	peers := link.NewHTTP(s.Name, addresses)
	machine := jobs.New()
	board := blackboard.New()
	group := newGroup(s, machine)
	router := &routing.Router{
		Self: s.Name, Zone: self.AvailabilityZone, Zones: s.Zones(), InZone: s.InZone,
		Peers: peers, Group: group, Machine: machine, Log: log,
	}
	adopter := addConfig(s, router, config.FitSums)
	addViews(router, board, adopter)
	router.Register()
	ctl := &control.Controller{
		Zone: self.AvailabilityZone, Group: group, Machine: machine, Board: board,
		Client: workerapi.NewHTTPClient(), Decide: naive.Decide,
		Lease: time.Duration(s.LeaseSeconds * float64(time.Second)), Log: log,
	}
	peers.Handle(link.KindAnnounce, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		var w model.Worker
		if err := codec.Unmarshal(body, &w); err != nil {
			return nil, err
		}
		board.Announce(w, time.Now())
		return nil, nil
	})
	api := &httpapi.API{
		Router: router, Board: board, Log: log,
		Announce: func(w model.Worker) { announce(s, peers, board, w) },
		Ready:    func() bool { return ctx.Err() == nil && group.Status().Ready },
	}
	client := &http.Server{Handler: api.Handler(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout}
	peer := &http.Server{Handler: peers, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = client.Serve(clientLn) }()
	go func() { _ = peer.Serve(peerLn) }()
	log.Info("serving", "instance", s.Name, "zone", self.AvailabilityZone, "clients", self.ClientAddress)
	var wg sync.WaitGroup
	wg.Go(func() { adopter.Run(ctx) })
	ctl.Run(ctx)
	wg.Wait()
	return stop(client, peer, groups(group, router.Config.Group)...)
}

// newGroup returns the zone's group.
func newGroup(s *settings.Settings, m *jobs.Machine) replica.Group {
	return replica.NewLocal(s.Name, m)
}

// announce records a worker here and on the other instances of its zone.
func announce(s *settings.Settings, peers link.Peers, board *blackboard.Board, w model.Worker) {
	if w.AvailabilityZone == s.Self().AvailabilityZone {
		board.Announce(w, time.Now())
	}
	body, err := codec.Marshal(&w)
	if err != nil {
		return
	}
	for _, name := range s.InZone(w.AvailabilityZone) {
		if name != s.Name {
			peers.Send(name, link.KindAnnounce, body)
		}
	}
}

// groups returns the groups that this instance is a member of.
func groups(zone, config replica.Group) []replica.Group {
	if config == nil {
		return []replica.Group{zone}
	}
	return []replica.Group{zone, config}
}

// stop finishes open requests, then hands over the leadership of each group.
func stop(client, peer *http.Server, groups ...replica.Group) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := client.Shutdown(ctx)
	for _, g := range groups {
		_ = g.Transfer(ctx)
		g.Stop()
	}
	_ = peer.Shutdown(ctx)
	return errors.Trace(err)
}
