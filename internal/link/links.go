package link

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// Links holds the connections of one daemon to other instances. It implements
// Peers.
type Links struct {
	cfg            Config
	log            logr.Logger
	stats          *counters
	start          time.Time
	silenceTimeout time.Duration
	session        uint64 // identifies this process to other instances; never 0
	client         *http.Client
	peers          map[string]*peer // guarded by mu

	ctx          context.Context // of the handlers; ends with Close
	cancel       context.CancelFunc
	closing      chan struct{}
	wg           sync.WaitGroup
	handlerSlots chan struct{} // one for each request being handled
	handlerBytes atomic.Int64  // bytes of those requests

	mu       sync.Mutex // guards peers and the fields of this block
	closed   bool
	handlers map[Kind]Handler
	conns    map[*conn]struct{}
	inbound  map[string]*inbound

	bus *bus
}

var _ Peers = (*Links)(nil)

// New returns the links of an instance. Close must be called when they are no
// longer needed.
func New(cfg Config) *Links {
	cfg.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	l := &Links{
		cfg: cfg, log: cfg.Logger.WithName("link"), stats: newCounters(cfg.Metrics),
		start: time.Now(), silenceTimeout: maxMissedHeartbeats * cfg.Heartbeat, session: rand.Uint64() | 1,
		// Failed handshakes must not leave idle connections behind.
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: -1}},
		peers:  map[string]*peer{}, ctx: ctx, cancel: cancel,
		closing: make(chan struct{}), handlerSlots: make(chan struct{}, cfg.MaxHandlers),
		handlers: map[Kind]Handler{}, conns: map[*conn]struct{}{}, inbound: map[string]*inbound{},
	}
	l.bus = newBus(l)
	for name, address := range cfg.Addresses {
		if name != cfg.Self {
			l.addPeer(name, address)
		}
	}
	l.wg.Add(1)
	go l.sweep()
	return l
}

// addPeer starts the sending side for an instance. The caller holds mu, or has
// not shared the links yet.
func (l *Links) addPeer(name, address string) *peer {
	p := l.newPeer(name, address)
	l.peers[name] = p
	l.inbound[name] = newInbound(l, name)
	l.wg.Add(1)
	go p.run()
	return p
}

// peer returns the sending side for an instance, or nil. With
// Config.NamesAreAddresses it adds an instance that is not known yet.
func (l *Links) peer(name string) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p != nil || l.closed || name == l.cfg.Self || !l.cfg.NamesAreAddresses || len(l.peers) >= l.cfg.MaxPeers {
		return p
	}
	if _, err := netip.ParseAddrPort(name); err != nil {
		return nil
	}
	return l.addPeer(name, name)
}

// inboundFrom returns the receiving side for an instance, or nil.
func (l *Links) inboundFrom(name string) *inbound {
	l.peer(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inbound[name]
}

// Close closes the connections. Pending calls end with ClosedError as the cause.
// Close returns when the handlers have returned.
func (l *Links) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.closing)
	conns := l.conns
	l.conns = map[*conn]struct{}{}
	l.mu.Unlock()
	// The connections are closed before the handlers are cancelled. Otherwise a
	// cancelled handler's error would be sent as a reply, and the caller would take
	// the request for one that was carried out and failed.
	for c := range conns {
		c.close(&ClosedError{})
	}
	l.cancel()
	l.bus.close()
	l.wg.Wait()
	l.client.CloseIdleConnections()
}

// now is the time since the links were made, in nanoseconds.
func (l *Links) now() int64 { return int64(time.Since(l.start)) }

// track registers a connection. It returns false and closes the connection if
// the links are closed.
func (l *Links) track(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.close(&ClosedError{})
		return false
	}
	l.conns[c] = struct{}{}
	l.wg.Add(1)
	return true
}

func (l *Links) untrack(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	c.watchdog.Stop()
	l.wg.Done()
}

// Handle implements Peers. One-way messages of the kinds announce, probe and
// event reach the handler through watermill's router; messages of the other
// kinds reach it directly.
func (l *Links) Handle(kind Kind, h Handler) {
	l.mu.Lock()
	l.handlers[kind] = h
	l.mu.Unlock()
	if usesRouter(kind) {
		l.bus.addHandler(kind)
	}
}

func (l *Links) handler(kind Kind) Handler {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handlers[kind]
}

// metricKind returns the kind under which a received frame is counted. Kinds that
// are not known here are counted together, so that another instance cannot create
// counters without bound.
func (l *Links) metricKind(e *envelope) Kind {
	if e.Type == frameReply {
		return kindReply
	}
	switch e.Kind {
	case KindRaft, KindRequest, KindAnnounce, KindProbe, KindConfig, KindEvent:
		return e.Kind
	}
	return "other"
}

// Call implements Peers.
func (l *Links) Call(ctx context.Context, to string, kind Kind, body []byte) ([]byte, error) {
	p := l.peer(to)
	if p == nil {
		return nil, &NotSentError{To: to, Cause: &UnknownPeerError{Peer: to}}
	}
	if len(body) > l.cfg.MaxMessage {
		return nil, &NotSentError{To: to, Cause: &TooLargeError{Bytes: len(body), Limit: l.cfg.MaxMessage}}
	}
	if err := p.unreachable(); err != nil {
		return nil, &NotSentError{To: to, Cause: err}
	}
	ctx, cancel := l.withDeadline(ctx)
	defer cancel()
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, &NotSentError{To: to, Cause: ctx.Err()}
	case <-l.closing:
		return nil, &NotSentError{To: to, Cause: &ClosedError{}}
	}
	deadline, _ := ctx.Deadline()
	o := &op{kind: kind, group: Group(ctx), body: body, deadline: deadline, done: make(chan struct{})}
	p.requests <- o // never blocks: the capacity is the number of slots
	p.wakeUp()
	select {
	case <-o.done:
	case <-ctx.Done():
		p.abandon(o, ctx.Err())
	case <-l.closing:
		p.abandon(o, &ClosedError{})
	}
	<-o.done
	return o.result, o.err
}

func (l *Links) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, l.cfg.CallTimeout)
}

// Send implements Peers.
func (l *Links) Send(to string, kind Kind, body []byte) { l.SendGroup(to, kind, "", body) }

// SendGroup is like Send for a message of a consensus group. The receiver's
// handler gets the group from its context with Group.
func (l *Links) SendGroup(to string, kind Kind, group string, body []byte) {
	if reason := l.send(to, kind, group, body); reason != "" {
		l.stats.dropped(kind, reason)
	}
}

// send returns the reason for which the message was dropped, or "".
func (l *Links) send(to string, kind Kind, group string, body []byte) dropReason {
	p := l.peer(to)
	if p == nil {
		return dropUnreachable
	}
	if len(body) > l.cfg.MaxMessage {
		return dropTooLarge
	}
	e := envelope{Type: frameOneWay, Kind: kind, Group: group, Body: body}
	data, err := e.encode()
	if err != nil {
		return dropFailed
	}
	f := outgoing{kind: kind, data: data}
	// A connection that the other side dialled is reused, because a second one for
	// the opposite direction would double the heartbeats.
	if c := l.acceptedConn(p); c != nil {
		return c.oneway.put(f)
	}
	if p.unreachable() != nil {
		return dropUnreachable
	}
	if reason := p.oneway.put(f); reason != "" {
		return reason
	}
	p.wakeUp()
	return ""
}

// acceptedConn returns the connection that the other instance dialled, or nil if
// there is none or if this instance has dialled one itself.
func (l *Links) acceptedConn(p *peer) *conn {
	p.mu.Lock()
	dialled := p.conn != nil
	p.mu.Unlock()
	if dialled {
		return nil
	}
	return l.inboundFrom(p.name).current()
}

// Reachable reports whether a connection with the instance is open.
func (l *Links) Reachable(name string) bool {
	p := l.peer(name)
	if p == nil {
		return false
	}
	p.mu.Lock()
	dialled := p.conn != nil
	p.mu.Unlock()
	return dialled || l.inboundFrom(name).current() != nil
}

// dial opens a connection. n is the number of the dial to p within this process.
func (l *Links) dial(p *peer, n uint64) (*conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.DialTimeout)
	defer cancel()
	h := http.Header{}
	h.Set(headerFrom, l.cfg.Self)
	h.Set(headerSession, formatNumber(l.session))
	h.Set(headerConn, formatNumber(n))
	ws, resp, err := websocket.Dial(ctx, "ws://"+p.address+linkPath, &websocket.DialOptions{
		HTTPClient: l.client, HTTPHeader: h, Subprotocols: []string{l.cfg.version},
	})
	if err != nil {
		return nil, l.dialError(p, resp, err)
	}
	c := l.newConn(ws, p.name, true)
	c.remoteSession = parseHeaderNumber(resp.Header, headerSession)
	maxMessage, _ := strconv.Atoi(resp.Header.Get(headerLimit))
	c.maxMessage = min(maxMessage, l.cfg.MaxMessage)
	return c, nil
}

func (l *Links) dialError(p *peer, resp *http.Response, err error) error {
	switch {
	case resp == nil:
		return errors.Trace(err)
	case resp.StatusCode == http.StatusUpgradeRequired:
		return &VersionError{Peer: p.name, Ours: l.cfg.version, Theirs: resp.Header.Get(headerVersion)}
	default:
		return &RefusedError{Peer: p.name, Status: resp.StatusCode}
	}
}

// sweep periodically drops the request records whose retention time is over.
func (l *Links) sweep() {
	defer l.wg.Done()
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-l.closing:
			return
		case <-t.C:
		}
		l.mu.Lock()
		all := slices.Collect(maps.Values(l.inbound))
		l.mu.Unlock()
		for _, in := range all {
			in.dropExpired(time.Now())
		}
	}
}

type groupKey struct{}

// WithGroup adds a group to the context of a call.
func WithGroup(ctx context.Context, group string) context.Context {
	return context.WithValue(ctx, groupKey{}, group)
}

// Group returns the group of a message in its handler, or "".
func Group(ctx context.Context) string {
	g, _ := ctx.Value(groupKey{}).(string)
	return g
}
