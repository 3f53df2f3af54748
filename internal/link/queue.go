package link

import "sync/atomic"

// outgoing is an encoded frame.
type outgoing struct {
	kind Kind // for the counters
	data []byte
}

// queue holds one-way messages to be sent, bounded by number and bytes.
type queue struct {
	ch    chan outgoing
	bytes atomic.Int64
	limit int64
}

func newQueue(cfg *Config) *queue {
	return &queue{ch: make(chan outgoing, cfg.QueueLength), limit: int64(cfg.QueueBytes)}
}

// put adds a message. If the queue is full, it drops the message and returns the
// reason, otherwise "".
func (q *queue) put(f outgoing) dropReason {
	n := int64(len(f.data))
	if q.bytes.Add(n) > q.limit {
		q.bytes.Add(-n)
		return dropQueueFull
	}
	select {
	case q.ch <- f:
		return ""
	default:
		q.bytes.Add(-n)
		return dropQueueFull
	}
}

// release frees the bytes of a message. It must be called for each message that
// is received from ch.
func (q *queue) release(f outgoing) { q.bytes.Add(-int64(len(f.data))) }

// dropAll empties the queue and counts the messages as dropped.
func (q *queue) dropAll(stats *counters) {
	for {
		select {
		case f := <-q.ch:
			q.release(f)
			stats.dropped(f.kind, dropUnreachable)
		default:
			return
		}
	}
}
