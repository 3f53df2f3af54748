package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// listener limits the number of open connections and can silence those that are
// open.
type listener struct {
	net.Listener
	limit int

	mu    sync.Mutex // guards conns
	conns map[*conn]struct{}
}

func newListener(ln net.Listener, limit int) *listener {
	return &listener{Listener: ln, limit: limit, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener. It closes connections beyond the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if out := l.add(c); out != nil {
			return out, nil
		}
		_ = c.Close()
	}
}

// add registers a connection. It returns nil if the limit is reached.
func (l *listener) add(c net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.conns) >= l.limit {
		return nil
	}
	out := &conn{Conn: c, listener: l}
	l.conns[out] = struct{}{}
	return out
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// silenceOpen silences all open connections except one. Silenced connections no
// longer count towards the limit.
func (l *listener) silenceOpen(except *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c != except {
			c.silent.Store(true)
			delete(l.conns, c)
		}
	}
}

// closeAll closes the listener and all open connections that are not silent.
func (l *listener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.Close()
	}
}

// conn is a connection that can be silenced: it then stays open, drops received
// data and sends nothing.
type conn struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

type connKey struct{}

// withConn adds the connection of a request to the context of its handler.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
