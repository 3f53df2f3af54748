package telemetry

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that blocks because its log is not read, and against
// lines that are dropped without a line that reports them.
func TestStalledReaderDoesNotBlockWriter(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	a := NewAsyncWriter(w)
	line := []byte(strings.Repeat("x", 999) + "\n")
	began := time.Now()
	for range 5000 {
		_, err := a.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(began) < time.Second)
	go func() {
		time.Sleep(100 * time.Millisecond)
		a.Close(5 * time.Second)
		_ = w.Close()
	}()
	lines, reported := 0, false
	for s := bufio.NewScanner(r); s.Scan(); lines++ {
		reported = reported || strings.Contains(s.Text(), "log lines left out")
	}
	is.True(reported)
	is.True(lines >= maxBacklogBytes/1000-1)
	is.True(lines < 2500)
}

// Guards against lines that are lost when the process ends.
func TestCloseWritesBacklog(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	a := NewAsyncWriter(&out)
	for i := range 100 {
		fmt.Fprintln(a, i)
	}
	a.Close(time.Second)
	is.Equal(strings.Count(out.String(), "\n"), 100)
}

// slowWriter blocks its first write until it is released.
type slowWriter struct {
	strings.Builder
	started, release chan struct{}
	once             sync.Once
}

func (w *slowWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.started); <-w.release })
	return w.Builder.Write(p)
}

// Guards against lines that are neither written nor reported because they arrive while
// Close waits for the last write.
func TestLinesDuringCloseAreWritten(t *testing.T) {
	is := is.New(t)
	out := &slowWriter{started: make(chan struct{}), release: make(chan struct{})}
	a := NewAsyncWriter(out)
	fmt.Fprintln(a, "before")
	<-out.started
	closed := make(chan struct{})
	go func() {
		a.Close(time.Second)
		close(closed)
	}()
	for isClosed := false; !isClosed; time.Sleep(time.Millisecond) {
		a.mu.Lock()
		isClosed = a.closed
		a.mu.Unlock()
	}
	fmt.Fprintln(a, "during")
	close(out.release)
	<-closed
	is.Equal(out.String(), "before\nduring\n")
}
