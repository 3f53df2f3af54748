package link

import "sync/atomic"

// outgoing is an encoded frame.
type outgoing struct {
	kind Kind // for the counters
	data []byte
}

// queue holds one-way messages that wait to be sent, bounded by number and
// bytes.
type queue struct {
	ch    chan outgoing
	bytes atomic.Int64
	limit int64
}

func newQueue(cfg *Config) *queue {
	return &queue{ch: make(chan outgoing, cfg.QueueLength), limit: int64(cfg.QueueBytes)}
}

// put returns why the message was dropped, or nothing.
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

// taken is called for each message that was received from ch.
func (q *queue) taken(f outgoing) { q.bytes.Add(-int64(len(f.data))) }

// drop empties the queue and counts what could not be sent.
func (q *queue) drop(count *counters) {
	for {
		select {
		case f := <-q.ch:
			q.taken(f)
			count.dropped(f.kind, dropUnreachable)
		default:
			return
		}
	}
}
