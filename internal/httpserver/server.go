// Package httpserver serves HTTP/1.1 to clients that are not trusted, within limits on
// connections, memory and time.
//
// A connection that holds memory or a descriptor without making progress is closed when others
// need it; which one is decided by what it holds and for how long. Requests that have been read
// whole are never given up.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/semaphore"
)

// Limits are the limits of a server. Unless said otherwise, they must be above 0.
type Limits struct {
	// Connections is the number of connections that may be open. As many, but at least 128, may wait
	// to be accepted.
	Connections int
	// MemoryBytes is the memory for the requests that are read or worked on, beyond
	// OwnBytes for each connection.
	MemoryBytes int
	// LargeBytes is the sum of the bodies above OwnBytes that are decoded and worked on at the
	// same time. Decoding a body takes several times its size. A larger one is worked on alone.
	LargeBytes int
	// ReceiveBufferBytes is the kernel's buffer for what has arrived on a connection and is not
	// read; 0 leaves it to the kernel.
	ReceiveBufferBytes int
	Request            RequestLimits
}

// RequestLimits are limits of a single request. They may change while the server runs.
type RequestLimits struct {
	// HeaderBytes is the size of a header, with the request line.
	HeaderBytes int
	// HeaderTimeout is the time for a header to arrive, from its first byte.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which a connection may be open without a request.
	IdleTimeout time.Duration
	// BodyTimeout is the time for a body to arrive.
	BodyTimeout time.Duration
}

const (
	// OwnBytes is the memory that each connection may use for its request without taking it
	// from the server's. An ordinary request needs less, and is read while large ones hold all of
	// the server's memory.
	OwnBytes = 8 << 10
	// connectionBytes is what a connection takes without a request: a goroutine, the buffers
	// for reading and writing, and OwnBytes.
	connectionBytes = 32 << 10
	// receiveBufferBytes is Limits.ReceiveBufferBytes, except where bulk data is received.
	receiveBufferBytes = 32 << 10
	// ConnectionCost is the memory that a connection takes at most, apart from its share of
	// Limits.MemoryBytes.
	ConnectionCost = connectionBytes + receiveBufferBytes
	// maxHeaderBytes is the highest RequestLimits.HeaderBytes.
	maxHeaderBytes = 1 << 20
	// readAhead is how much the HTTP server reads at a time. The part after a header belongs to
	// the body.
	readAhead = 4 << 10
	// headerLineBytes is what a header line takes beside its text when it is decoded.
	headerLineBytes = 256
	// writeTimeout bounds a request from the end of its header to the end of its answer. It is above
	// the longest wait that a request may ask for.
	writeTimeout = 90 * time.Second
	// lingerTime is how long a server reads and discards the rest of a body after it has refused
	// the request. A connection closed with unread bytes is reset, and its client may lose the
	// answer.
	lingerTime = time.Second
	// lingerBytes bounds how much of a header is discarded in that time.
	lingerBytes = 256 << 10
	// timeoutSlack is added to the timeouts of RequestLimits, which a client measures at its own
	// end of the connection.
	timeoutSlack = time.Second
)

// Server is an HTTP server with limits.
type Server struct {
	*http.Server
	stats *stats
	large *semaphore.Weighted // bytes of Limits.LargeBytes

	mu     sync.Mutex // guards the fields below and those of the connections
	limits Limits
	conns  map[*conn]struct{}
	used   int // bytes of MemoryBytes that are taken

	onConnState func(net.Conn, http.ConnState) // set before the server serves
}

// New returns a server. Its name, which is one of few, labels its metrics.
func New(name string, limits Limits, h http.Handler, log logr.Logger) *Server {
	s := &Server{
		limits: limits, large: semaphore.NewWeighted(int64(limits.LargeBytes)), conns: map[*conn]struct{}{},
	}
	s.stats = newStats(name, &limits, log)
	s.Server = &http.Server{
		Handler: s.limitBody(h), MaxHeaderBytes: maxHeaderBytes, WriteTimeout: writeTimeout,
		ReadHeaderTimeout: limits.Request.HeaderTimeout, IdleTimeout: limits.Request.IdleTimeout, // see conn.SetReadDeadline
		ConnState: s.connState, ConnContext: withConn,
	}
	return s
}

// requestLimits returns the limits of requests.
func (s *Server) requestLimits() RequestLimits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Request
}

// SetRequestLimits changes the limits of requests that begin from now on.
func (s *Server) SetRequestLimits(l RequestLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Request = l
}

// OnConnState sets a function that is called when the state of a connection changes.
func (s *Server) OnConnState(f func(net.Conn, http.ConnState)) { s.onConnState = f }

// Listen listens on a TCP address within the server's limits.
func (s *Server) Listen(address string) (net.Listener, error) { return Listen(address, s.limits) }

// Serve accepts connections until the server is shut down, as http.Server.Serve does.
func (s *Server) Serve(ln net.Listener) error { return s.Server.Serve(s.Limit(ln)) }

// Limit returns a listener whose connections are under the server's limits.
func (s *Server) Limit(ln net.Listener) net.Listener { return &listener{Listener: ln, server: s} }

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. While the server has as many connections as it may, a new one
// replaces the one that holds most for the least progress.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.admit(nc); c != nil {
			return c, nil
		}
		_ = nc.Close()
	}
}

// admit registers a new connection. It returns nil if there is no room for it.
func (s *Server) admit(nc net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.limits.Connections && !s.evictOne(reasonConnections, nil) {
		s.stats.refused(reasonConnections)
		return nil
	}
	c := &conn{Conn: nc, server: s, phase: idle, since: time.Now()}
	s.conns[c] = struct{}{}
	s.stats.connections.Inc()
	return c
}

// evictOne closes the connection that holds most for the least progress. It returns false if
// that is except, or if all connections work on whole requests. The caller holds mu.
func (s *Server) evictOne(why reason, except *conn) bool {
	var victim *conn
	var most float64
	now := time.Now()
	base := ConnectionCost
	if why == reasonMemory {
		base = 0 // closing one that holds no memory does not help
	}
	for c := range s.conns {
		if w := c.weight(base, now); w > most {
			victim, most = c, w
		}
	}
	if victim == nil || victim == except {
		return false
	}
	s.remove(victim)
	s.stats.closed(why)
	_ = victim.Conn.Close()
	return true
}

// remove gives back what a connection holds and forgets it. The caller holds mu.
func (s *Server) remove(c *conn) {
	s.hold(c, -c.held)
	c.phase = closed
	delete(s.conns, c)
	s.stats.connections.Dec()
}

// hold adds n bytes, which may be negative, to what a connection holds. The caller holds mu.
func (s *Server) hold(c *conn, n int) {
	s.used += n
	c.held += n
	s.stats.memory.Add(float64(n))
}

// acquire takes n bytes of the server's memory for a connection. While there are too few, it
// closes connections that hold more than c for less progress. The caller holds mu.
func (s *Server) acquire(c *conn, n int) bool {
	if c.phase == closed {
		return false
	}
	for s.used+n > s.limits.MemoryBytes {
		if !s.evictOne(reasonMemory, c) {
			return false
		}
	}
	s.hold(c, n)
	return true
}

// connState keeps the phase of a connection.
func (s *Server) connState(nc net.Conn, state http.ConnState) {
	if s.onConnState != nil {
		s.onConnState(nc, state)
	}
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.phase == closed {
		return
	}
	switch state {
	case http.StateActive:
		c.phase = working
	case http.StateIdle:
		s.hold(c, -c.held)
		c.headerBytes, c.headerLines = 0, 0
		c.phase, c.since = idle, time.Now()
	case http.StateHijacked:
		c.hijacked.Store(true)
		s.remove(c)
	case http.StateClosed:
		s.remove(c)
	}
}

type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connOf returns the connection of a request, or nil if it does not belong to a Server.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
