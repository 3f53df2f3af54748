package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// countingConn counts the bytes transferred in both directions.
type countingConn struct {
	net.Conn
	transferred *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.transferred.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.transferred.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	transferred atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &l.transferred}, nil
}

// BenchmarkRenew reports the time and the number of bytes of one lease renewal
// of a worker over HTTP, including the worker's side, for several numbers of
// attempts on the worker.
func BenchmarkRenew(b *testing.B) {
	for _, fences := range []int{1, 5, 20} {
		b.Run(fmt.Sprint(fences), func(b *testing.B) {
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var c workerapi.Command
				_ = json.NewDecoder(r.Body).Decode(&c)
				_ = json.NewEncoder(w).Encode(&workerapi.Reply{Number: c.Number, Term: c.Term, Incarnation: 1 << 60, Clock: 1 << 30})
			}))
			ln := &countingListener{Listener: srv.Listener}
			srv.Listener = ln
			srv.Start()
			defer srv.Close()
			client := workerapi.NewHTTPClient()
			c := &workerapi.Command{
				Op: workerapi.Renew, Zone: "amman-1", Term: 7715188056046719600, LeaseSeconds: 10, Echo: 1 << 30, EchoIncarnation: 1 << 60,
			}
			for i := range fences {
				c.Fences = append(c.Fences, uint64(100000+i))
			}
			for i := range b.N {
				c.Number = uint64(i)
				if _, err := client.Do(context.Background(), ln.Addr().String(), c); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(ln.transferred.Load())/float64(b.N), "bytes/op")
		})
	}
}
