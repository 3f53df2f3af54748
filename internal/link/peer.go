package link

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
)

// op is a request of this instance.
type op struct {
	kind     Kind
	group    string
	body     []byte
	deadline time.Time
	done     chan struct{} // closed when result and err are set

	// Guarded by peer.mu.
	number   uint64 // assigned when it is first written; 0 before
	session  uint64 // process that it was written to
	finished bool
	result   []byte
	err      error
}

// peer is the sending side towards one instance. One goroutine dials, writes and
// dials again.
type peer struct {
	l       *Links
	name    string
	address string

	slots    chan struct{} // one for each request without a reply
	requests chan *op      // not yet written
	oneway   *queue
	wake     chan struct{}

	mu       sync.Mutex
	written  []*op // in the order of their numbers; finished ones leave at the front
	byNumber map[uint64]*op
	nextOp   uint64
	conn     *conn // dialled connection, nil if there is none
	failures int   // dials that failed since the last working connection
	nextDial time.Time
	dialErr  error // last dial's failure, nil after a success

	conns uint64 // connections dialled; owned by the run goroutine
}

func (l *Links) newPeer(name, address string) *peer {
	return &peer{
		l: l, name: name, address: address,
		slots:    make(chan struct{}, l.cfg.MaxRequests),
		requests: make(chan *op, l.cfg.MaxRequests),
		oneway:   newQueue(&l.cfg),
		wake:     make(chan struct{}, 1),
		byNumber: map[uint64]*op{},
	}
}

func (p *peer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run keeps a connection up while there is something to send or to wait for.
func (p *peer) run() {
	defer p.l.wg.Done()
	for {
		select {
		case <-p.l.closing:
			return
		case <-p.wake:
		}
		for p.hasWork() {
			if !p.pause() {
				return
			}
			p.connect()
		}
	}
}

func (p *peer) hasWork() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropFinished()
	return len(p.written) > 0 || len(p.requests) > 0 || len(p.oneway.ch) > 0
}

// pause waits out the backoff. It returns false if the links are being closed.
func (p *peer) pause() bool {
	p.mu.Lock()
	t := time.NewTimer(time.Until(p.nextDial))
	p.mu.Unlock()
	defer t.Stop()
	select {
	case <-p.l.closing:
		return false
	case <-t.C:
		return true
	}
}

// connect dials and serves one connection.
func (p *peer) connect() {
	p.conns++
	p.l.count.dials.Inc()
	c, err := p.l.dial(p, p.conns)
	if err != nil {
		p.l.count.dialFailures.Inc()
		p.l.log.V(1).Info("dial failed", "peer", p.name, "error", err.Error())
		p.dialFailed(err)
		return
	}
	if !p.l.track(c) {
		return
	}
	opened := time.Now()
	p.connected(c)
	p.l.wg.Add(1)
	go func() {
		defer p.l.wg.Done()
		c.readLoop(func(e *envelope) error { return p.receive(c, e) })
	}()
	p.resend(c)
	c.writeLoop(writeSources{
		requests: p.requests, request: func(o *op) error { return p.writeOp(c, o) },
		oneway: p.oneway, idle: p.idle,
	})
	p.l.untrack(c)
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
	p.l.log.V(1).Info("connection lost", "peer", p.name, "error", c.cause.Error())
	if time.Since(opened) > p.l.silence {
		p.failures = 0
	}
	p.backOff()
}

// backOff sets the time of the next dial: exponential with full jitter above the
// half. Called with mu held.
func (p *peer) backOff() {
	d := p.l.cfg.BackoffMin << min(p.failures, 10)
	d = min(d, p.l.cfg.BackoffMax)
	p.failures++
	p.nextDial = time.Now().Add(d/2 + rand.N(d/2+1))
}

// dialFailed fails the requests that were never written and drops the one-way
// messages. Requests that were written wait for the next dial, because their
// outcome is not known.
func (p *peer) dialFailed(err error) {
	p.mu.Lock()
	p.dialErr = err
	p.backOff()
	p.mu.Unlock()
	p.oneway.drop(p.l.count)
	for {
		select {
		case o := <-p.requests:
			p.finish(o, nil, &NotSentError{To: p.name, Cause: err})
		default:
			return
		}
	}
}

// unreachable returns the last dial's failure during the backoff after it.
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

// dropFinished keeps the front of written unfinished, so that its number is the
// floor. Called with mu held.
func (p *peer) dropFinished() {
	n := 0
	for n < len(p.written) && p.written[n].finished {
		p.written[n] = nil
		n++
	}
	p.written = p.written[n:]
}

// finish sets a request's outcome once.
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

// resend sends the requests without a reply over a new connection.
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

// writeOp sends a request, for the first time or again.
func (p *peer) writeOp(c *conn, o *op) error {
	frame, err := p.prepare(c, o)
	if err != nil || frame == nil {
		return err
	}
	return c.write(outgoing{kind: o.kind, data: frame})
}

// prepare marks a request as written and encodes it. It returns nil if there is
// nothing to send.
func (p *peer) prepare(c *conn, o *op) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	millis := millisUntil(o.deadline)
	if o.finished || millis == 0 {
		return nil, nil
	}
	if o.number != 0 && o.session != c.remote {
		p.finishLocked(o, nil, &NoReplyError{To: p.name, Cause: &PeerRestartedError{Peer: p.name}})
		return nil, nil
	}
	if n := len(o.body) + len(o.kind) + len(o.group); n > c.limit {
		p.finishLocked(o, nil, &NotSentError{To: p.name, Cause: &TooLargeError{Bytes: n, Limit: c.limit}})
		return nil, nil
	}
	if o.number == 0 {
		p.nextOp++
		o.number = p.nextOp
		o.session = c.remote
		p.written = append(p.written, o)
		p.byNumber[o.number] = o
	} else {
		p.l.count.resends.Inc()
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

// receive takes a frame that came over the dialled connection.
func (p *peer) receive(c *conn, e *envelope) error {
	switch e.Type {
	case frameReply:
		p.takeReply(e)
	case frameOneWay:
		p.l.dispatchOneWay(c, e)
	default:
		return &FrameError{Peer: p.name}
	}
	return nil
}

func (p *peer) takeReply(e *envelope) {
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
