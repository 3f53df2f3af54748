package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/httpapi"
	"teaselpaddle.example/teaselpaddle/internal/httpserver"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/region"
	"teaselpaddle.example/teaselpaddle/internal/settings"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// regionDrainTimeout bounds the time for requests in flight during a planned stop.
// No request waits longer for a leader.
const regionDrainTimeout = 10 * time.Second

// runRegion runs an instance of a deployment with the extent region until ctx ends.
// The instances with a disk are the control instances.
func runRegion(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	self := s.Self()
	clientLn, peerLn, err := listen(s)
	if err != nil {
		return err
	}
	links := link.New(link.Config{Self: s.Name, Addresses: s.PeerAddresses(), Logger: log})
	router := &region.Router{Self: s.Name, Peers: links, Log: log.WithName("router"), Off: s.Off()}
	router.SetSeeds(s.WithDisk())
	var control *region.Control
	if self.Disk {
		control, err = region.OpenControl(region.ControlConfig{
			Self: s.Name, Seeds: s.WithDisk(), Form: s.FirstStart, DiskLosses: (len(s.WithDisk()) - 1) / 2, DataFolder: s.DataFolder, Zones: s.Zones(), Peers: links,
			Client: workerapi.NewUnitHTTPClient(), MaxLease: time.Duration(s.LeaseSeconds * float64(time.Second)),
			MeasureSpeeds: s.WorkerSpeeds == settings.SpeedsMeasured,
			Preemption:    s.Preemption, Off: s.Off(), FairShareHalfLifeMS: s.FairShareHalfLifeMS, Log: log,
		}, router)
		if err != nil {
			_ = clientLn.Close()
			_ = peerLn.Close()
			links.Close()
			return err
		}
	}
	var stopping atomic.Bool
	api := &httpapi.RegionAPI{
		Router: router, Log: log.WithName("api"), MaxRequests: s.MaxRequests,
		Ready: func() bool { return !stopping.Load() && router.Ready() },
	}
	client := httpapi.NewServer(api.Handler(), machine(s), log)
	peer := newPeerServer(links.Handler(), s, log)
	var wg sync.WaitGroup
	serve := func(name string, srv *httpserver.Server, ln net.Listener) {
		wg.Go(func() {
			if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				log.Error(err, "listener ended", "address", name)
			}
		})
	}
	serve("client", client, clientLn)
	serve("peer", peer, peerLn)
	watchCtx, endWatch := context.WithCancel(context.Background())
	wg.Go(func() { router.Watch(watchCtx) })
	log.Info("serving", "instance", s.Name, "zone", self.AvailabilityZone, "extent", s.Extent, "control", self.Disk)
	<-ctx.Done()

	log.Info("stopping", "instance", s.Name)
	stopping.Store(true)
	time.Sleep(unreadyDelay)
	drainCtx, cancel := context.WithTimeout(context.Background(), regionDrainTimeout)
	defer cancel()
	err = client.Shutdown(drainCtx)
	if control != nil {
		control.Close()
	}
	endWatch()
	links.Close()
	if peerErr := peer.Shutdown(drainCtx); peerErr != nil {
		log.Info("peer listener was not shut down in time", "error", peerErr.Error())
	}
	wg.Wait()
	log.Info("stopped", "instance", s.Name)
	return errors.Annotate(err, "open requests")
}
