// Package httpserver serves HTTP/1.1 to clients that are not trusted, within limits on
// connections and time.
//
// A connection without a whole request is closed when others need it, the oldest first. Requests that
// have been read whole are never given up.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Limits are the limits of a server. All must be above 0.
type Limits struct {
	// Connections is the number of connections that may be open.
	Connections int
	Request     RequestLimits
}

// RequestLimits are limits of a single request. They may change while the server runs.
type RequestLimits struct {
	// HeaderTimeout is the time for a header to arrive, from its first byte.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which a connection may be open without a request.
	IdleTimeout time.Duration
	// BodyTimeout is the time for a body to arrive.
	BodyTimeout time.Duration
}

const (
	// writeTimeout bounds a request from the end of its header to the end of its answer. It is above
	// the longest wait that a request may ask for.
	writeTimeout = 90 * time.Second
	// timeoutSlack is added to the timeouts of RequestLimits, which a client measures at its own
	// end of the connection.
	timeoutSlack = time.Second
)

// Server is an HTTP server with limits.
type Server struct {
	*http.Server
	stats *stats

	mu     sync.Mutex // guards the fields below and those of the connections
	limits Limits
	conns  map[*conn]struct{}

	onConnState func(net.Conn, http.ConnState) // set before the server serves
}

// New returns a server. Its name, which is one of few, labels its metrics.
func New(name string, limits Limits, h http.Handler, log logr.Logger) *Server {
	s := &Server{limits: limits, conns: map[*conn]struct{}{}}
	s.stats = newStats(name, &limits, log)
	s.Server = &http.Server{
		Handler: s.limitBody(h), WriteTimeout: writeTimeout,
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

// Serve accepts connections until the server is shut down, as http.Server.Serve does.
func (s *Server) Serve(ln net.Listener) error { return s.Server.Serve(s.Limit(ln)) }

// Limit returns a listener whose connections are under the server's limits.
func (s *Server) Limit(ln net.Listener) net.Listener { return &listener{Listener: ln, server: s} }

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. While the server has as many connections as it may, a new one
// replaces the oldest one without a whole request.
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
	if len(s.conns) >= s.limits.Connections && !s.evictOldest() {
		s.stats.refused(reasonConnections)
		return nil
	}
	c := &conn{Conn: nc, server: s, phase: idle, since: time.Now()}
	s.conns[c] = struct{}{}
	s.stats.connections.Inc()
	return c
}

// evictOldest closes the connection that has been without a whole request for longest. It returns false if
// all connections work on whole requests. The caller holds mu.
func (s *Server) evictOldest() bool {
	var victim *conn
	var most time.Duration
	now := time.Now()
	for c := range s.conns {
		if w := c.weight(now); w > most {
			victim, most = c, w
		}
	}
	if victim == nil {
		return false
	}
	s.remove(victim)
	s.stats.closed(reasonConnections)
	_ = victim.Conn.Close()
	return true
}

// remove forgets a connection. The caller holds mu.
func (s *Server) remove(c *conn) {
	c.phase = closed
	delete(s.conns, c)
	s.stats.connections.Dec()
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
