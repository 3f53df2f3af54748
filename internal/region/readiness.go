package region

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Limits on the time since the leader's last answer.
const (
	// maxReadyAge is the time since the leader's last answer up to which an instance is
	// ready. It is longer than an election, so that a change of leader makes no instance
	// unready.
	maxReadyAge = 2500 * time.Millisecond
	// pingInterval is the time since the leader's last answer after which the instance
	// pings the leader.
	pingInterval = time.Second
	// limitsInterval is the longest time between two pings, whose answers have the limits of
	// callers' requests, of an instance that uses them.
	limitsInterval = 5 * time.Second
)

// leaderHeardGauge shows the time since the leader's last answer in seconds. It is
// negative until a leader has answered.
var leaderHeardGauge = metrics.GetOrCreateGauge("teaselpaddle_leader_heard_seconds", nil)

// leaderLost reports whether a leader has answered once, but none within maxReadyAge.
func (r *Router) leaderLost() bool { return !r.LastLeaderAnswer().IsZero() && !r.Ready() }

// Limits on the time after which a refused caller is told to come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// RetryAfter returns the time after which a caller that was refused for want of a leader
// should come back. Half of the time without a leader so far is about when the chance that
// there is one again has grown enough to ask; the random part spreads the returns.
func (r *Router) RetryAfter() time.Duration {
	if !r.leaderLost() {
		return minRetryAfter
	}
	d := min(max(r.LeaderAge()/2, minRetryAfter), maxRetryAfter)
	return d + rand.N(time.Second)
}

// Ready reports whether a leader has answered this instance within maxReadyAge and it is not
// cut off from all control instances.
func (r *Router) Ready() bool {
	return time.Since(r.LastLeaderAnswer()) <= maxReadyAge && !r.cutOff.cut.Load()
}

// Watch pings the leader whenever it has not answered a request for pingInterval, logs changes of
// readiness, and passes changed limits to LimitsChanged. It returns when ctx ends.
func (r *Router) Watch(ctx context.Context) {
	t := time.NewTicker(pingInterval / 4)
	defer t.Stop()
	ready := false
	var pinged time.Time
	var limits RequestLimits
	r.cutOff.watched.Store(true)
	defer r.cutOff.watched.Store(false)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if r.cutOff.cut.Load() {
			r.checkCutOff()
		}
		if time.Since(r.LastLeaderAnswer()) > pingInterval || r.LimitsChanged != nil && time.Since(pinged) > limitsInterval {
			pinged = time.Now()
			pctx, cancel := context.WithTimeout(ctx, pingInterval)
			err := r.Ping(pctx)
			cancel()
			if err != nil && ready {
				r.Log.Info("leader does not answer", "error", err.Error())
			}
			if l := r.limits.Load(); l != nil && *l != limits && r.LimitsChanged != nil {
				limits = *l
				r.LimitsChanged(l)
			}
		}
		leaderHeardGauge.Set(r.LeaderAge().Seconds())
		readyNow := r.Ready()
		if readyNow != ready {
			r.Log.Info("readiness changed", "ready", readyNow)
		}
		ready = readyNow
	}
}
