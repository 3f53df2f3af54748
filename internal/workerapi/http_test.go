package workerapi

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// Guards against closing the connections of other workers when one worker does
// not answer.
func TestUnresponsiveWorkerDropsOnlyItsOwnConnections(t *testing.T) {
	is := is.New(t)
	var opened atomic.Int64
	good := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(&Reply{State: TaskRunning})
	}))
	good.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	good.Start()
	defer good.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	is.NoErr(err)
	defer func() { _ = silent.Close() }()

	c := NewHTTPClient()
	for range 3 {
		_, err := c.Do(context.Background(), good.Listener.Addr().String(), &Command{Op: Status})
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, err = c.Do(ctx, silent.Addr().String(), &Command{Op: Status})
		cancel()
		var unreachable *UnreachableError
		is.True(errors.As(err, &unreachable))
	}
	is.Equal(opened.Load(), int64(1))
	tr := c.http.Transport.(*Transport)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	is.Equal(len(tr.idle), 1) // no connection to the silent worker is kept
}
