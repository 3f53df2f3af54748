package telemetry

import (
	"bufio"
	"fmt"
	"os"
	"strings"
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
