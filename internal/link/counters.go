package link

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// dropReason is the metric label that tells why a one-way message was dropped.
type dropReason string

const (
	dropQueueFull   dropReason = "queue_full"
	dropUnreachable dropReason = "unreachable"
	dropTooLarge    dropReason = "too_large"
	dropNoHandler   dropReason = "no_handler"
	dropHandlerFull dropReason = "handler_queue_full"
	dropFailed      dropReason = "handler_failed"
)

// kindHeartbeat and kindReply are metric labels for the bytes of frames that carry
// no Kind of their own.
const (
	kindHeartbeat Kind = "heartbeat"
	kindReply     Kind = "reply"
)

// counters caches the byte counters by kind, because building a metric name
// for each frame would cost more than the increment.
type counters struct {
	set      *metrics.Set
	mu       sync.RWMutex // guards sent and received
	sent     map[Kind]*metrics.Counter
	received map[Kind]*metrics.Counter

	dials, dialFailures, silent, resends, duplicates *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		set: set, sent: map[Kind]*metrics.Counter{}, received: map[Kind]*metrics.Counter{},
		dials:        set.GetOrCreateCounter("teaselpaddle_link_dials_total"),
		dialFailures: set.GetOrCreateCounter("teaselpaddle_link_dial_failures_total"),
		silent:       set.GetOrCreateCounter("teaselpaddle_link_silent_connections_total"),
		resends:      set.GetOrCreateCounter("teaselpaddle_link_resent_requests_total"),
		duplicates:   set.GetOrCreateCounter("teaselpaddle_link_duplicate_requests_total"),
	}
}

func (c *counters) addSent(k Kind, n int) { c.counter(c.sent, k, "sent").Add(n) }

func (c *counters) addReceived(k Kind, n int) { c.counter(c.received, k, "received").Add(n) }

func (c *counters) counter(m map[Kind]*metrics.Counter, k Kind, direction string) *metrics.Counter {
	c.mu.RLock()
	n := m[k]
	c.mu.RUnlock()
	if n != nil {
		return n
	}
	n = c.set.GetOrCreateCounter(fmt.Sprintf("teaselpaddle_link_%s_bytes_total{kind=%q}", direction, string(k)))
	c.mu.Lock()
	m[k] = n
	c.mu.Unlock()
	return n
}

func (c *counters) dropped(k Kind, reason dropReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("teaselpaddle_link_dropped_total{kind=%q,reason=%q}",
		string(k), string(reason))).Inc()
}
