package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxLogBacklog bounds the lines that wait for a slow reader, in bytes: several
// seconds of a busy instance, and little beside its memory.
const maxLogBacklog = 1 << 20

var logLinesDropped = metrics.GetOrCreateCounter("teaselpaddle_log_lines_dropped_total")

// AsyncWriter passes lines on without ever making the writer wait. Lines that
// arrive while the backlog is full are left out and counted; a line says so once
// there is room again.
type AsyncWriter struct {
	w    io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex // guards all below
	pending []byte
	dropped int
	closed  bool
}

// NewAsyncWriter returns a writer in front of w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer; p is one line. It never fails and never blocks.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.mu.Lock()
	if a.closed || len(a.pending)+len(p) > maxLogBacklog {
		a.dropped++
		logLinesDropped.Inc()
	} else {
		a.pending = append(a.pending, p...)
	}
	a.mu.Unlock()
	a.signal()
	return len(p), nil
}

func (a *AsyncWriter) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// take returns the backlog, with a note of the lines that were left out.
func (a *AsyncWriter) take() (lines []byte, closed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lines = a.pending
	a.pending = nil
	if a.dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"info\",\"ts\":%q,\"msg\":\"log lines left out\",\"lines\":%d}\n",
			time.Now().Format(time.RFC3339Nano), a.dropped)
		a.dropped = 0
	}
	return lines, a.closed
}

// maxLogWrite is the size up to which a write to a pipe is not mixed with those of
// other processes (PIPE_BUF).
const maxLogWrite = 4096

// chunk returns the length of the next write: as many whole lines as fit into
// one, or one longer line.
func chunk(lines []byte) int {
	if len(lines) <= maxLogWrite {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:maxLogWrite], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines, '\n'); i >= 0 {
		return i + 1
	}
	return len(lines)
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for range a.wake {
		lines, closed := a.take()
		for len(lines) > 0 {
			n := chunk(lines)
			// A reader that has gone cannot be told; the lines are lost.
			_, _ = a.w.Write(lines[:n])
			lines = lines[n:]
		}
		if closed {
			return
		}
	}
}

// Close writes the backlog, but waits at most for the given time.
func (a *AsyncWriter) Close(wait time.Duration) {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.signal()
	select {
	case <-a.done:
	case <-time.After(wait):
	}
}
