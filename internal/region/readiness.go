package region

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Ages of the leader's last answer.
const (
	// readyAge is the age up to which an instance counts as ready. It is longer
	// than an election, so that a change of leader takes no instance out.
	readyAge = 2500 * time.Millisecond
	// pingAge is the age from which the leader is asked again.
	pingAge = time.Second
)

// heardGauge is the age of the leader's last answer in seconds; it is below 0 until a
// leader has answered.
var heardGauge = metrics.GetOrCreateGauge("teaselpaddle_leader_heard_seconds", nil)

// Ready reports whether a leader has answered this instance lately.
func (r *Router) Ready() bool { return time.Since(r.HeardLeader()) <= readyAge }

// Watch asks the leader whenever no request has reached it lately, until ctx
// ends.
func (r *Router) Watch(ctx context.Context) {
	t := time.NewTicker(pingAge / 4)
	defer t.Stop()
	ready := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if time.Since(r.HeardLeader()) > pingAge {
			pctx, cancel := context.WithTimeout(ctx, pingAge)
			err := r.Ping(pctx)
			cancel()
			if err != nil && ready {
				r.Log.Info("leader does not answer", "error", err.Error())
			}
		}
		heardGauge.Set(r.LeaderAge().Seconds())
		now := r.Ready()
		if now != ready {
			r.Log.Info("readiness changed", "ready", now)
		}
		ready = now
	}
}
