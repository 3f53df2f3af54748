package link

// routed is true for the kinds whose one-way messages go through watermill's
// router. The reasons and the measured costs are in docs/decisions/0003-links.md.
func routed(kind Kind) bool {
	return kind == KindAnnounce || kind == KindProbe || kind == KindEvent
}

// dispatchOneWay hands a received one-way message to its handler and to the
// subscribers of its kind. It does not block: a message that finds its queue
// full is dropped.
func (l *Links) dispatchOneWay(c *conn, e *envelope) {
	subscribers := l.bus.deliver(c.peer, e)
	if routed(e.Kind) {
		if subscribers == 0 {
			l.count.dropped(l.label(e), dropNoHandler)
		}
		return
	}
	h := l.handler(e.Kind)
	if h == nil {
		if subscribers == 0 {
			l.count.dropped(l.label(e), dropNoHandler)
		}
		return
	}
	select {
	case c.lane(e.Kind, h) <- e:
	default:
		l.count.dropped(e.Kind, dropHandlerFull)
	}
}

// lane returns the queue of a kind. One goroutine handles its messages in the
// order of arrival, so that a slow handler of one kind does not hold up the
// connection or the other kinds. Only the read loop calls it.
func (c *conn) lane(kind Kind, h Handler) chan<- *envelope {
	if q := c.lanes[kind]; q != nil {
		return q
	}
	q := make(chan *envelope, c.l.cfg.QueueLength)
	c.lanes[kind] = q
	c.l.wg.Add(1)
	go func() {
		defer c.l.wg.Done()
		for e := range c.each(q) {
			ctx := c.l.ctx
			if e.Group != "" {
				ctx = WithGroup(ctx, e.Group)
			}
			if _, err := h(ctx, c.peer, e.Body); err != nil {
				c.l.count.dropped(kind, dropFailed)
				c.l.log.V(1).Info("one-way message failed", "peer", c.peer, "kind", kind, "error", err.Error())
			}
		}
	}()
	return q
}

// each yields the messages of a lane. What arrived before the connection ended
// is still handled.
func (c *conn) each(q <-chan *envelope) func(yield func(*envelope) bool) {
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
			case <-c.l.closing:
				return
			}
		}
	}
}
