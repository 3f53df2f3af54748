package region

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// An entry instance that is cut off from all control instances cannot serve, however soon they
// elect a leader. Its callers are better off elsewhere: requests are refused at once instead of
// waiting for a leader, and the instance is not ready, so that the callers' zone is served by
// the entry instances of others. The load behind this is the cut of a zone: callers there give
// up after 3 s, and an instance that only missed its leader stayed ready for 2.5 s.

const (
	// isolationCheckAfter is the time without a reply after which a call makes the instance ask
	// all control instances. A commit takes less than that unless a disk is slow.
	isolationCheckAfter = 350 * time.Millisecond
	// isolationProbeTimeout bounds the wait for any reply. Control instances reply within
	// milliseconds whether they lead or not.
	isolationProbeTimeout = 300 * time.Millisecond
	// minIsolationInterval is the least time between two checks that find a control instance.
	minIsolationInterval = time.Second
)

// IsolatedError reports that no control instance can be reached.
type IsolatedError struct{}

func (e *IsolatedError) Error() string { return "this instance is cut off from all control instances" }

// isolation tells whether an entry instance is cut off from all control instances.
type isolation struct {
	watched  atomic.Bool // Watch runs, so that the end of an isolation is noticed
	isolated atomic.Bool
	checking atomic.Bool
	foundAt  atomic.Int64 // when a check found a control instance, Unix ns
}

// watchCall checks for isolation if a call takes long. The caller calls the result when the
// call has ended.
func (r *Router) watchCall() (stop func() bool) {
	if !r.isolation.watched.Load() {
		return func() bool { return true }
	}
	return time.AfterFunc(isolationCheckAfter, r.checkIsolation).Stop
}

// checkIsolation asks all known control instances at once whether they are there. It returns
// at once if another check is in progress or has lately found one.
func (r *Router) checkIsolation() {
	s := &r.isolation
	recent := time.Since(time.Unix(0, s.foundAt.Load())) < minIsolationInterval
	if recent && !s.isolated.Load() || !s.checking.CompareAndSwap(false, true) {
		return
	}
	defer s.checking.Store(false)
	contacts := r.Contacts()
	if len(contacts) == 0 {
		return
	}
	found := r.anyReply(contacts)
	if found {
		s.foundAt.Store(time.Now().UnixNano())
	}
	if s.isolated.Swap(!found) == found {
		r.Log.Info("reachability of the control instances changed", "reachable", found, "instances", len(contacts))
		if !found {
			telemetry.Count("teaselpaddle_isolations_total")
		}
	}
}

// anyReply reports whether any of the instances replies in time. A refused connection is a
// reply as well: the network is there.
func (r *Router) anyReply(instances []string) bool {
	body, err := codec.Marshal(&request{Ping: &struct{}{}})
	if err != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), isolationProbeTimeout)
	defer cancel()
	var found atomic.Bool
	var wg sync.WaitGroup
	for _, to := range instances {
		wg.Go(func() {
			_, err := r.Peers.Call(ctx, to, link.KindRequest, body)
			if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				found.Store(true)
				cancel()
			}
		})
	}
	wg.Wait()
	return found.Load()
}
