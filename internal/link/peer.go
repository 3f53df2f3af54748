package link

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
)

// op is an outgoing request. The operation number identifies it to the receiver.
type op struct {
	kind     Kind
	group    string
	body     []byte
	deadline time.Time
	done     chan struct{} // closed when result and err are set

	// Guarded by peer.mu.
	number   uint64 // assigned when it is first written; 0 before
	session  uint64 // session number of the process that it was written to
	finished bool
	result   []byte
	err      error
}

// peer is the sending side for one instance. One goroutine dials, writes and
// redials.
type peer struct {
	links   *Links
	name    string
	address string

	slots    chan struct{} // one for each request in flight
	requests chan *op      // not yet written
	oneway   *queue
	wake     chan struct{}

	mu       sync.Mutex     // guards the fields of this block
	written  []*op          // in the order of their numbers; finished ones are removed from the front
	byNumber map[uint64]*op // the unfinished requests of written
	lastOp   uint64         // number of the last operation
	conn     *conn          // dialled connection, nil if there is none
	failures int            // failed dials and short connections in a row; they set the back-off
	nextDial time.Time
	dialErr  error // last dial's failure, nil after a success

	dialCount uint64 // dials, including failed ones; owned by the run goroutine
}

func (l *Links) newPeer(name, address string) *peer {
	return &peer{
		links: l, name: name, address: address,
		slots:    make(chan struct{}, l.cfg.MaxRequests),
		requests: make(chan *op, l.cfg.MaxRequests),
		oneway:   newQueue(&l.cfg),
		wake:     make(chan struct{}, 1),
		byNumber: map[uint64]*op{},
	}
}

func (p *peer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run keeps a connection open while messages are to be sent or replies are
// outstanding.
func (p *peer) run() {
	defer p.links.wg.Done()
	for {
		select {
		case <-p.links.closing:
			return
		case <-p.wake:
		}
		for p.hasWork() {
			if !p.waitBackOff() {
				return
			}
			p.dialAndServe()
		}
	}
}

func (p *peer) hasWork() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropFinished()
	return len(p.written) > 0 || len(p.requests) > 0 || len(p.oneway.ch) > 0
}

// waitBackOff waits until the back-off is over. It returns false if the links are
// being closed.
func (p *peer) waitBackOff() bool {
	p.mu.Lock()
	t := time.NewTimer(time.Until(p.nextDial))
	p.mu.Unlock()
	defer t.Stop()
	select {
	case <-p.links.closing:
		return false
	case <-t.C:
		return true
	}
}

// dialAndServe dials one connection and serves it until it ends.
func (p *peer) dialAndServe() {
	p.dialCount++
	p.links.stats.dials.Inc()
	c, err := p.links.dial(p, p.dialCount)
	if err != nil {
		p.links.stats.dialFailures.Inc()
		p.links.log.V(1).Info("dial failed", "peer", p.name, "error", err.Error())
		p.dialFailed(err)
		return
	}
	if !p.links.track(c) {
		return
	}
	opened := time.Now()
	p.connected(c)
	p.links.wg.Add(1)
	go func() {
		defer p.links.wg.Done()
		c.readLoop(func(e *envelope) error { return p.handleFrame(c, e) })
	}()
	p.resend(c)
	c.writeLoop(writeSources{
		requests: p.requests, writeRequest: func(o *op) error { return p.writeOp(c, o) },
		oneway: p.oneway, idle: p.idle,
	})
	p.links.untrack(c)
	p.disconnected(c, opened)
}

func (p *peer) connected(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = c
	p.dialErr = nil
}

// disconnected sets the time of the next dial. A connection that ends soon
// after it was opened counts as a failure.
func (p *peer) disconnected(c *conn, opened time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = nil
	var idle *IdleError
	if errors.As(c.cause, &idle) {
		p.failures = 0
		return
	}
	p.links.log.V(1).Info("connection lost", "peer", p.name, "error", c.cause.Error())
	if time.Since(opened) > p.links.silenceTimeout {
		p.failures = 0
	}
	p.backOff()
}

// backOff sets the time of the next dial. The back-off is exponential, and its
// upper half is random jitter. Called with mu held.
func (p *peer) backOff() {
	d := p.links.cfg.BackoffMin << min(p.failures, 10)
	d = min(d, p.links.cfg.BackoffMax)
	p.failures++
	p.nextDial = time.Now().Add(d/2 + rand.N(d/2+1))
}

// dialFailed fails the requests that were never written and drops the queued
// one-way messages. Requests that were written wait for the next dial, because
// their outcome is not known.
func (p *peer) dialFailed(err error) {
	p.mu.Lock()
	p.dialErr = err
	p.backOff()
	p.mu.Unlock()
	p.oneway.dropAll(p.links.stats)
	for {
		select {
		case o := <-p.requests:
			p.finish(o, nil, &NotSentError{To: p.name, Cause: err})
		default:
			return
		}
	}
}

// unreachable returns the error of the last dial if it failed and the back-off is
// not over, or nil.
func (p *peer) unreachable() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialErr != nil && time.Now().Before(p.nextDial) {
		return p.dialErr
	}
	return nil
}

func (p *peer) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropFinished()
	return len(p.written) == 0 && len(p.requests) == 0 && len(p.oneway.ch) == 0
}

// dropFinished removes the finished requests from the front of written, so that
// the number of the first one left is the floor. Called with mu held.
func (p *peer) dropFinished() {
	n := 0
	for n < len(p.written) && p.written[n].finished {
		p.written[n] = nil
		n++
	}
	p.written = p.written[n:]
}

// finish sets a request's outcome if it has none yet.
func (p *peer) finish(o *op, result []byte, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishLocked(o, result, err)
}

func (p *peer) finishLocked(o *op, result []byte, err error) {
	if o.finished {
		return
	}
	o.finished = true
	o.result, o.err = result, err
	o.body = nil
	delete(p.byNumber, o.number)
	<-p.slots
	close(o.done)
}

// abandon ends a request whose caller no longer waits.
func (p *peer) abandon(o *op, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.number == 0 {
		p.finishLocked(o, nil, &NotSentError{To: p.name, Cause: cause})
		return
	}
	p.finishLocked(o, nil, &NoReplyError{To: p.name, Cause: cause})
}

// resend sends the outstanding requests over a new connection.
func (p *peer) resend(c *conn) {
	p.mu.Lock()
	waiting := append([]*op(nil), p.written...)
	p.mu.Unlock()
	for _, o := range waiting {
		if p.writeOp(c, o) != nil {
			return
		}
	}
}

// writeOp sends or resends a request.
func (p *peer) writeOp(c *conn, o *op) error {
	frame, err := p.prepareFrame(c, o)
	if err != nil || frame == nil {
		return err
	}
	return c.write(outgoing{kind: o.kind, data: frame})
}

// prepareFrame marks a request as written and encodes it. It returns nil if there
// is nothing to send.
func (p *peer) prepareFrame(c *conn, o *op) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	millis := millisUntil(o.deadline)
	if o.finished || millis == 0 {
		return nil, nil
	}
	if o.number != 0 && o.session != c.remoteSession {
		p.finishLocked(o, nil, &NoReplyError{To: p.name, Cause: &PeerRestartedError{Peer: p.name}})
		return nil, nil
	}
	if n := len(o.body) + len(o.kind) + len(o.group); n > c.maxMessage {
		p.finishLocked(o, nil, &NotSentError{To: p.name, Cause: &TooLargeError{Bytes: n, Limit: c.maxMessage}})
		return nil, nil
	}
	if o.number == 0 {
		p.lastOp++
		o.number = p.lastOp
		o.session = c.remoteSession
		p.written = append(p.written, o)
		p.byNumber[o.number] = o
	} else {
		p.links.stats.resends.Inc()
	}
	p.dropFinished()
	e := envelope{
		Type: frameRequest, Kind: o.kind, Op: o.number, Floor: p.written[0].number,
		Millis: millis, Group: o.group, Body: o.body,
	}
	frame, err := e.encode()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return frame, nil
}

// handleFrame handles a frame that was received on the dialled connection.
func (p *peer) handleFrame(c *conn, e *envelope) error {
	switch e.Type {
	case frameReply:
		p.handleReply(e)
	case frameOneWay:
		p.links.dispatchOneWay(c, e)
	default:
		return &FrameError{Peer: p.name}
	}
	return nil
}

func (p *peer) handleReply(e *envelope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.byNumber[e.Op]
	if o == nil {
		return
	}
	switch e.Status {
	case replyOK:
		p.finishLocked(o, e.Body, nil)
	case replyDiscarded:
		p.finishLocked(o, nil, &NoReplyError{To: p.name, Cause: &ReplyDiscardedError{Peer: p.name}})
	default:
		p.finishLocked(o, nil, &RemoteError{To: p.name, Detail: string(e.Body), Busy: e.Status == replyBusy})
	}
}
