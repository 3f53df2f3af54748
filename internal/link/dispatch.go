package link

// usesRouter reports whether one-way messages of a kind go through watermill's
// router. The reasons and the measured costs are in docs/decisions/0003-links.md.
func usesRouter(kind Kind) bool {
	return kind == KindAnnounce || kind == KindProbe || kind == KindEvent
}

// dispatchOneWay queues a received one-way message for its handler and for the
// subscribers of its kind. It does not block: if a queue is full, the message is
// dropped and counted.
func (l *Links) dispatchOneWay(c *conn, e *envelope) {
	subscribers := l.bus.deliver(c.peer, e)
	if usesRouter(e.Kind) { // the router is one of the subscribers
		if subscribers == 0 {
			l.stats.dropped(l.metricKind(e), dropNoHandler)
		}
		return
	}
	h := l.handler(e.Kind)
	if h == nil {
		if subscribers == 0 {
			l.stats.dropped(l.metricKind(e), dropNoHandler)
		}
		return
	}
	select {
	case c.handlerQueue(e.Kind, h) <- e:
	default:
		l.stats.dropped(e.Kind, dropHandlerFull)
	}
}

// handlerQueue returns the queue of a kind. One goroutine per queue handles its
// messages in the order of arrival, so that a slow handler of one kind does not
// delay the connection or the other kinds. Only the read loop calls it.
func (c *conn) handlerQueue(kind Kind, h Handler) chan<- *envelope {
	if q := c.handlerQueues[kind]; q != nil {
		return q
	}
	q := make(chan *envelope, c.links.cfg.QueueLength)
	c.handlerQueues[kind] = q
	c.links.wg.Add(1)
	go func() {
		defer c.links.wg.Done()
		for e := range c.queuedMessages(q) {
			ctx := c.links.ctx
			if e.Group != "" {
				ctx = WithGroup(ctx, e.Group)
			}
			if _, err := h(ctx, c.peer, e.Body); err != nil {
				c.links.stats.dropped(kind, dropFailed)
				c.links.log.V(1).Info("one-way message failed", "peer", c.peer, "kind", kind, "error", err.Error())
			}
		}
	}()
	return q
}

// queuedMessages yields the messages of a handler queue. Messages that arrived
// before the connection ended are still yielded.
func (c *conn) queuedMessages(q <-chan *envelope) func(yield func(*envelope) bool) {
	return func(yield func(*envelope) bool) {
		for {
			select {
			case e := <-q:
				if !yield(e) {
					return
				}
				continue
			default:
			}
			select {
			case e := <-q:
				if !yield(e) {
					return
				}
			case <-c.readEnded:
				if len(q) == 0 {
					return
				}
			case <-c.links.closing:
				return
			}
		}
	}
}
