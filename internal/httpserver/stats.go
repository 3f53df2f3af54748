package httpserver

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// reason is why a connection was closed or a request refused.
type reason string

const (
	reasonConnections    reason = "connections"
	reasonMemory         reason = "memory"
	reasonLarge          reason = "large_bodies"
	reasonHeaderTooLarge reason = "header_too_large"
	reasonHeaderTimeout  reason = "header_timeout"
	reasonBodyTimeout    reason = "body_timeout"
	reasonIdle           reason = "idle"
)

// allReasons are the reasons of which there are counters.
var allReasons = []reason{
	reasonConnections, reasonMemory, reasonLarge, reasonHeaderTooLarge, reasonHeaderTimeout, reasonBodyTimeout, reasonIdle,
}

// logInterval is the shortest time between two log lines of one reason.
const logInterval = time.Second

// stats counts and logs what a server closes and refuses.
type stats struct {
	server      string
	log         logr.Logger
	connections *metrics.Gauge
	memory      *metrics.Gauge
	closedBy    map[reason]*metrics.Counter
	refusedBy   map[reason]*metrics.Counter

	mu     sync.Mutex // guards the fields below
	logged map[reason]time.Time
	since  map[reason]int // events since the last log line
}

// newStats returns the statistics of a server. Servers of the same name in a process share their
// gauges.
func newStats(name string, l *Limits, log logr.Logger) *stats {
	gauge := func(metric string) *metrics.Gauge {
		return metrics.GetOrCreateGauge(fmt.Sprintf("%s{server=%q}", metric, name), nil)
	}
	gauge("teaselpaddle_http_connections_limit").Set(float64(l.Connections))
	gauge("teaselpaddle_http_request_memory_limit_bytes").Set(float64(l.MemoryBytes))
	counters := func(metric string) map[reason]*metrics.Counter {
		m := map[reason]*metrics.Counter{}
		for _, why := range allReasons {
			m[why] = metrics.GetOrCreateCounter(fmt.Sprintf("%s{server=%q,reason=%q}", metric, name, string(why)))
		}
		return m
	}
	return &stats{
		closedBy: counters("teaselpaddle_http_closed_total"), refusedBy: counters("teaselpaddle_http_refused_total"),
		server: name, log: log, logged: map[reason]time.Time{}, since: map[reason]int{},
		connections: gauge("teaselpaddle_http_connections"), memory: gauge("teaselpaddle_http_request_memory_bytes"),
	}
}

// closed counts a connection that was closed for a limit.
func (st *stats) closed(why reason) {
	st.closedBy[why].Inc()
	st.logEvent(why)
}

// refused counts a request or a connection that was refused for a limit.
func (st *stats) refused(why reason) {
	st.refusedBy[why].Inc()
	st.logEvent(why)
}

// logEvent logs an event unless there was a line for its reason within logInterval.
func (st *stats) logEvent(why reason) {
	if why == reasonIdle {
		return // usual
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.since[why]++
	if now := time.Now(); now.Sub(st.logged[why]) >= logInterval {
		// The caller holds the server's lock, and the log may block.
		go st.log.Info("clients exceed a limit", "server", st.server, "reason", why, "count", st.since[why])
		st.logged[why], st.since[why] = now, 0
	}
}
