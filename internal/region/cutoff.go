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
	"teaselpaddle.example/teaselpaddle/internal/sched/mechanism"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// An entry instance that is cut off from all control instances cannot serve, however soon they
// elect a leader. Its callers are better off elsewhere: requests are refused at once instead of
// waiting for a leader, and the instance is not ready, so that the callers' zone is served by
// the entry instances of others. The load behind this is the cut of a zone: callers there give
// up after 3 s, and an instance that only missed its leader stayed ready for 2.5 s.

const (
	// cutOffCheckAfter is the time without a reply after which a call makes the instance ask
	// all control instances. A commit takes less than that unless a disk is slow.
	cutOffCheckAfter = 350 * time.Millisecond
	// cutOffProbeTimeout bounds the wait for any reply. Control instances reply within
	// milliseconds whether they lead or not.
	cutOffProbeTimeout = 300 * time.Millisecond
	// minCutOffInterval is the least time between a check that was replied to and the next one.
	minCutOffInterval = time.Second
)

// CutOffError reports that no control instance can be reached.
type CutOffError struct{}

func (e *CutOffError) Error() string { return "this instance is cut off from all control instances" }

// cutOff tells whether an entry instance is cut off from all control instances.
type cutOff struct {
	watched   atomic.Bool // Watch runs, so that the end of a cut is noticed
	cut       atomic.Bool // no control instance replies
	checking  atomic.Bool
	repliedAt atomic.Int64 // when a control instance replied to a check, Unix ns
}

// watchCall checks for a cut if a call takes long. The caller calls the result when the
// call has ended.
func (r *Router) watchCall() (stop func() bool) {
	if !r.cutOff.watched.Load() || r.Off[mechanism.CutOffRefusal] {
		return func() bool { return true }
	}
	return time.AfterFunc(cutOffCheckAfter, r.checkCutOff).Stop
}

// checkCutOff asks all known control instances at once whether they are there. It returns
// at once if another check is in progress or has lately found one.
func (r *Router) checkCutOff() {
	s := &r.cutOff
	recent := time.Since(time.Unix(0, s.repliedAt.Load())) < minCutOffInterval
	if recent && !s.cut.Load() || !s.checking.CompareAndSwap(false, true) {
		return
	}
	defer s.checking.Store(false)
	contacts := r.Contacts()
	if len(contacts) == 0 {
		return
	}
	replied := r.anyReply(contacts)
	if replied {
		s.repliedAt.Store(time.Now().UnixNano())
	}
	if s.cut.Swap(!replied) == replied {
		r.Log.Info("reachability of the control instances changed", "reachable", replied, "instances", len(contacts))
		if !replied {
			telemetry.Count("teaselpaddle_entry_cut_offs_total")
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
	ctx, cancel := context.WithTimeout(context.Background(), cutOffProbeTimeout)
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
