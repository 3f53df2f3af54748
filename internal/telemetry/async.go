package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxBacklogBytes bounds the log lines that are buffered for a slow reader. It holds
// several seconds of log of a busy instance and is small compared to its memory.
const maxBacklogBytes = 1 << 20

var logLinesDropped = metrics.GetOrCreateCounter("teaselpaddle_log_lines_dropped_total")

// AsyncWriter writes lines asynchronously, so that Write never blocks. Lines that
// arrive while the backlog is full are dropped and counted; a line with their
// number is added when the backlog is written.
type AsyncWriter struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex // guards the fields below
	backlog []byte
	dropped int
	closed  bool // Close was called
	ended   bool // the last lines were taken; later ones only count as dropped
}

// NewAsyncWriter returns an AsyncWriter that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: w, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. p must be one line. Write never fails and never
// blocks.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.mu.Lock()
	if a.ended || len(a.backlog)+len(p) > maxBacklogBytes {
		a.dropped++
		logLinesDropped.Inc()
	} else {
		a.backlog = append(a.backlog, p...)
	}
	a.mu.Unlock()
	a.wakeUp()
	return len(p), nil
}

func (a *AsyncWriter) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// takeBacklog removes and returns the backlog, followed by a line with the number
// of dropped lines if there are any. The writer ends when it is closed and nothing is
// left: lines that are written while Close waits are written or reported too.
func (a *AsyncWriter) takeBacklog() (lines []byte, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lines = a.backlog
	a.backlog = nil
	if a.dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"info\",\"ts\":%q,\"msg\":\"log lines left out\",\"lines\":%d}\n",
			time.Now().Format(time.RFC3339Nano), a.dropped)
		a.dropped = 0
	}
	a.ended = a.closed && len(lines) == 0
	return lines, a.ended
}

// maxAtomicWrite is the size in bytes up to which a write to a pipe is not
// interleaved with writes of other processes (PIPE_BUF).
const maxAtomicWrite = 4096

// chunkLen returns the length of the next write: as many whole lines as fit into
// maxAtomicWrite, or one longer line.
func chunkLen(lines []byte) int {
	if len(lines) <= maxAtomicWrite {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:maxAtomicWrite], '\n'); i >= 0 {
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
		lines, ended := a.takeBacklog()
		for ; len(lines) > 0; lines, ended = a.takeBacklog() {
			a.writeLines(lines)
		}
		if ended {
			return
		}
	}
}

func (a *AsyncWriter) writeLines(lines []byte) {
	for len(lines) > 0 {
		n := chunkLen(lines)
		// A write error cannot be reported anywhere else; the lines are lost.
		_, _ = a.out.Write(lines[:n])
		lines = lines[n:]
	}
}

// Close writes the backlog and returns when it is written, or after the given
// time.
func (a *AsyncWriter) Close(wait time.Duration) {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.wakeUp()
	select {
	case <-a.done:
	case <-time.After(wait):
	}
}
