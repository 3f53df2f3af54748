package workerapi

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"
)

// maxIdleConnsPerWorker is the number of idle connections that are kept to a worker: one
// for the call that waits for an end, the others for concurrent starts and stops.
const maxIdleConnsPerWorker = 4

// TransportOptions configures a Transport.
type TransportOptions struct {
	DialTimeout time.Duration // 0 means that only the request's deadline applies
	IdleTimeout time.Duration // after which an idle connection is closed
	MaxIdle     int           // number of idle connections to all workers; 0 means no limit
}

// Transport is an http.RoundTripper for calls to workers. When a worker does not answer a
// call, it closes the idle connections to that worker: after a cut, all open connections
// may have been lost silently while new ones work, and every further attempt would wait on
// another of them.
type Transport struct {
	base *http.Transport

	mu   sync.Mutex                       // guards idle
	idle map[string]map[net.Conn]struct{} // by address
}

// NewTransport returns a transport.
func NewTransport(o TransportOptions) *Transport {
	t := &Transport{idle: map[string]map[net.Conn]struct{}{}}
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	t.base = &http.Transport{
		MaxIdleConns: o.MaxIdle, MaxIdleConnsPerHost: maxIdleConnsPerWorker, IdleConnTimeout: o.IdleTimeout, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn, transport: t, address: address}, nil
		},
	}
	return t
}

// trackedConn is a connection to a worker.
type trackedConn struct {
	net.Conn
	transport *Transport
	address   string
	calls     int  // number of calls that have used it; guarded by transport.mu
	closed    bool // guarded by transport.mu
}

func (c *trackedConn) Close() error {
	t := c.transport
	t.mu.Lock()
	c.closed = true
	t.removeIdle(c)
	t.mu.Unlock()
	return c.Conn.Close()
}

// acquire records that a call uses the connection and returns the call's number.
func (c *trackedConn) acquire() int {
	t := c.transport
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeIdle(c)
	c.calls++
	return c.calls
}

// release records that a call has ended. The next call may have acquired the connection
// before that.
func (c *trackedConn) release(call int) {
	t := c.transport
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.closed || c.calls != call {
		return
	}
	if t.idle[c.address] == nil {
		t.idle[c.address] = map[net.Conn]struct{}{}
	}
	t.idle[c.address][c] = struct{}{}
}

// removeIdle removes a connection from the idle ones. The caller holds mu.
func (t *Transport) removeIdle(c *trackedConn) {
	delete(t.idle[c.address], c)
	if len(t.idle[c.address]) == 0 {
		delete(t.idle, c.address)
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var mu sync.Mutex // guards conn and call; the callbacks run on other goroutines
	var conn *trackedConn
	var call int
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			mu.Lock()
			defer mu.Unlock()
			if conn, _ = info.Conn.(*trackedConn); conn != nil {
				call = conn.acquire()
			}
		},
		PutIdleConn: func(err error) {
			mu.Lock()
			defer mu.Unlock()
			if err == nil && conn != nil {
				conn.release(call)
			}
		},
	}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		t.closeIdle(req.URL.Host)
	}
	return resp, err
}

// closeIdle closes the idle connections to a worker.
func (t *Transport) closeIdle(address string) {
	t.mu.Lock()
	conns := slices.Collect(maps.Keys(t.idle[address]))
	t.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
