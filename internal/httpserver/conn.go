package httpserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// phase is what a connection does.
type phase int

const (
	idle phase = iota
	readingHeader
	readingBody
	working   // a whole request
	answering // writing an answer
	closed
)

// conn is a connection whose use of memory and time is limited. The server's mu guards its
// fields.
type conn struct {
	net.Conn
	server   *Server
	hijacked atomic.Bool // no longer under the server's limits

	phase       phase
	since       time.Time // when the request, the time without one, or a write of the answer began
	held        int       // bytes of the server's memory
	headerBytes int
	headerLines int
}

// weight returns what a connection holds beside base, times how long its request has been on the way; 0
// if it must not be closed. The caller holds the server's mu.
func (c *conn) weight(base int, now time.Time) float64 {
	age := now.Sub(c.since)
	switch c.phase {
	case idle, readingHeader, readingBody:
		age += minAge
	case answering: // its client may not read
		age -= minStall
	default:
		return 0
	}
	return float64(base+c.held) * age.Seconds()
}

// minStall is how long a write of an answer takes at least before it counts as stalled.
const minStall = time.Second

// minAge keeps the weight of a new connection above 0.
const minAge = time.Millisecond

// Read implements net.Conn. It counts what a header takes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.hijacked.Load() {
		return n, err
	}
	if err != nil {
		c.countTimeout(err)
	}
	why := c.received(p[:n])
	if why == "" {
		return n, err
	}
	c.refuseHeader(why)
	// net/http does not answer after this type of error.
	return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: &limitError{why}}
}

// limitError ends a connection whose request exceeds a limit.
type limitError struct{ why reason }

func (e *limitError) Error() string { return "limit exceeded: " + string(e.why) }

// received counts bytes that have arrived. It returns why the connection must be closed, or "".
func (c *conn) received(p []byte) reason {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.phase == idle && len(p) > 0 {
		c.phase, c.since = readingHeader, time.Now()
		_ = c.Conn.SetReadDeadline(c.since.Add(s.limits.Request.HeaderTimeout + timeoutSlack))
	}
	if c.phase != readingHeader {
		return ""
	}
	c.headerBytes += len(p)
	c.headerLines += bytes.Count(p, []byte{'\n'})
	if c.headerBytes > s.limits.Request.HeaderBytes+readAhead {
		s.stats.refused(reasonHeaderTooLarge)
		return reasonHeaderTooLarge
	}
	if cost := 2*c.headerBytes + headerLineBytes*c.headerLines - OwnBytes; cost > c.held && !s.acquire(c, cost-c.held) {
		s.stats.refused(reasonMemory)
		return reasonMemory
	}
	return ""
}

// Write implements net.Conn. A connection whose client does not read the answer may be closed.
func (c *conn) Write(p []byte) (int, error) {
	if c.hijacked.Load() {
		return c.Conn.Write(p)
	}
	c.setPhase(working, answering)
	defer c.setPhase(answering, working)
	return c.Conn.Write(p)
}

// CloseWrite ends the connection in the direction to the client.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// refuseHeader answers directly on the connection and reads some of what still arrives. No other
// answer can be on its way, because the HTTP server reads a header after it has written the last
// answer.
func (c *conn) refuseHeader(why reason) {
	status, more := "503 Service Unavailable", "Retry-After: 1\r\n"
	if why == reasonHeaderTooLarge {
		status, more = "431 Request Header Fields Too Large", ""
	}
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\n"+more+"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+status)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// SetReadDeadline implements net.Conn. The HTTP server sets the deadline of a header, and that of
// the time without a request, from limits that may have changed since it was started.
func (c *conn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.server.mu.Lock()
		switch l := &c.server.limits.Request; c.phase {
		case readingHeader:
			t = time.Now().Add(l.HeaderTimeout + timeoutSlack)
		case idle:
			t = time.Now().Add(l.IdleTimeout + timeoutSlack)
		}
		c.server.mu.Unlock()
	}
	return c.Conn.SetReadDeadline(t)
}

// countTimeout counts a connection that ends because its client was too slow.
func (c *conn) countTimeout(err error) {
	ne, ok := err.(net.Error)
	if !ok || !ne.Timeout() {
		return
	}
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	switch c.phase {
	case readingHeader:
		s.stats.closed(reasonHeaderTimeout)
	case readingBody:
		s.stats.closed(reasonBodyTimeout)
	case idle:
		s.stats.closed(reasonIdle)
	}
}

// limitBody returns a handler that bounds the time in which a body arrives and marks the request
// as whole at its end.
func (s *Server) limitBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil || r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		// net/http removes the deadline at the end of the body.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.requestLimits().BodyTimeout))
		c.setPhase(working, readingBody)
		limited := *r // net/http examines the type of the original's body
		limited.Body = &body{ReadCloser: r.Body, conn: c}
		h.ServeHTTP(w, &limited)
	})
}

// setPhase changes the phase if it is from.
func (c *conn) setPhase(from, to phase) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.phase != from {
		return
	}
	c.phase = to
	if to == answering {
		c.since = time.Now()
	}
}

// body is a body that has not arrived whole.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.setPhase(readingBody, working)
	}
	return n, err
}
