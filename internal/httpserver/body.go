package httpserver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
)

// TooLargeError reports a body above a limit. The answer is 413.
type TooLargeError struct{ Limit int }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the body is larger than %d bytes", e.Limit)
}

// SlowError reports a body that did not arrive in time. The answer is 408.
type SlowError struct{}

func (e *SlowError) Error() string { return "the body did not arrive in time" }

// OverloadedError reports a request that the server has no room for. It has not been passed on:
// the answer is 503 with a Retry-After.
type OverloadedError struct{ Detail string }

func (e *OverloadedError) Error() string { return e.Detail }

// IncompleteError reports a body whose connection ended before it.
type IncompleteError struct{ Cause error }

func (e *IncompleteError) Error() string { return fmt.Sprintf("the body is incomplete: %v", e.Cause) }

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// initialBodyBytes is the first size of the buffer of a body.
const initialBodyBytes = 4 << 10

// largeWait is how long a large request waits until others are done. It is below the time after
// which callers of all programs try another instance.
const largeWait = 500 * time.Millisecond

// ReadBody reads a body of at most limit bytes. It takes memory as the body arrives, so that a
// client does not hold memory for bytes that it has not sent; the memory is given back after the
// answer. The error is a *TooLargeError, a *SlowError, an *OverloadedError or an
// *IncompleteError. The rest of a refused body is not read.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, error) {
	c := connOf(r)
	data, err := readBody(w, r, c, limit)
	if err != nil && c != nil {
		c.refuseBody(w)
	}
	return data, err
}

func readBody(w http.ResponseWriter, r *http.Request, c *conn, limit int) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		return nil, &TooLargeError{Limit: limit}
	}
	expected := limit
	if r.ContentLength >= 0 {
		expected = int(r.ContentLength)
	}
	in := http.MaxBytesReader(w, r.Body, int64(limit))
	var data []byte
	for {
		if len(data) == cap(data) {
			bigger, err := c.growBody(data, expected)
			if err != nil {
				return nil, err
			}
			data = bigger
		}
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, bodyError(err, limit)
		}
	}
}

// growBody doubles the capacity of a body, up to the most that is expected. One byte more lets the
// reader find the end without another buffer.
func (c *conn) growBody(data []byte, expected int) ([]byte, error) {
	n := min(max(2*cap(data), initialBodyBytes), expected+1)
	if err := c.holdBody(cap(data), n); err != nil {
		return nil, err
	}
	bigger := make([]byte, len(data), n)
	copy(bigger, data)
	return bigger, nil
}

// holdBody takes the memory for a buffer that grows from old to size bytes. Both exist while one
// is copied to the other.
func (c *conn) holdBody(old, size int) error {
	if c == nil {
		return nil
	}
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if need := max(0, old+size-OwnBytes) - max(0, old-OwnBytes); need > 0 {
		if !s.acquire(c, need) {
			s.stats.refused(reasonMemory)
			return &OverloadedError{Detail: "too many request bodies are being read"}
		}
		s.hold(c, max(0, size-OwnBytes)-max(0, old+size-OwnBytes))
	}
	return nil
}

func bodyError(err error, limit int) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &TooLargeError{Limit: limit}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &SlowError{}
	}
	return &IncompleteError{Cause: err}
}

// refuseBody closes the connection after the answer. The rest of the body is read for lingerTime
// at most.
func (c *conn) refuseBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.phase != closed { // its client may hold it until the deadline
		c.server.hold(c, -c.held)
		c.phase, c.since = readingBody, time.Now()
	}
}

// BeginLarge waits until the large bodies that are being worked on are few enough for another one of the
// given size, and returns a function that ends the request. A small request does not wait. The error
// is an *OverloadedError.
func BeginLarge(r *http.Request, size int) (end func(), err error) {
	c := connOf(r)
	if c == nil || size <= OwnBytes {
		return func() {}, nil
	}
	s := c.server
	n := int64(min(size, s.limits.LargeBytes))
	ctx, cancel := context.WithTimeout(r.Context(), largeWait)
	defer cancel()
	if s.large.Acquire(ctx, n) != nil {
		s.stats.refused(reasonLarge)
		return nil, &OverloadedError{Detail: "too many large requests are being worked on"}
	}
	return func() { s.large.Release(n) }, nil
}
