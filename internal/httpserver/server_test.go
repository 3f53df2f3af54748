package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testRequestLimits = RequestLimits{HeaderBytes: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute, BodyTimeout: time.Minute}

// testLimits are limits of which single tests lower one.
var testLimits = Limits{Connections: 64, MemoryBytes: 1 << 20, LargeBytes: 64 << 20, Request: testRequestLimits}

const maxTestBody = 256 << 10

// fixture is a server that answers with the length of the body.
type fixture struct {
	*Server
	t       *testing.T
	address string
	work    chan struct{} // if not nil, a request with a whole body waits for it
}

func serve(t *testing.T, l Limits) *fixture {
	t.Helper()
	f := &fixture{t: t}
	f.Server = New("test", l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, maxTestBody)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		end, err := BeginLarge(r, len(body))
		if err != nil {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		defer end()
		if f.work != nil {
			<-f.work
		}
		_, _ = fmt.Fprint(w, len(body))
	}), logr.Discard())
	ln, err := Listen("127.0.0.1:0", l)
	if err != nil {
		t.Fatal(err)
	}
	f.address = ln.Addr().String()
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Serve(ln) }()
	t.Cleanup(func() { _ = f.Close(); <-done })
	return f
}

// client is one connection to the server.
type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func (f *fixture) dial() *client {
	f.t.Helper()
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	c := &client{Conn: nc, t: f.t, in: bufio.NewReader(nc)}
	f.t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// status returns the status of the answer, or 0 if the connection was closed without one.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func post(n int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n)
}

// request sends a whole request on a connection of its own and returns the status.
func (f *fixture) request(n int) int {
	c := f.dial()
	defer func() { _ = c.Close() }()
	c.send(post(n) + strings.Repeat("x", n))
	return c.status()
}

// waitFor waits until a condition on the server's state holds.
func (f *fixture) waitFor(what string, cond func() bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		ok := cond()
		f.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("%s: not in time", what)
		}
	}
}

// phases returns the number of connections in each phase. The caller holds the server's mu.
func (f *fixture) phases() map[phase]int {
	n := map[phase]int{}
	for c := range f.conns {
		n[c.phase]++
	}
	return n
}

// Guards against incomplete bodies that hold all memory, so that other requests are refused: the
// one that has held most for longest must be closed.
func TestStalledBodyIsClosedForAnother(t *testing.T) {
	is := is.New(t)
	l := testLimits
	l.MemoryBytes = 300 << 10
	f := serve(t, l)
	stalled := f.dial()
	stalled.send(post(130<<10) + strings.Repeat("x", 129<<10))
	f.waitFor("the body is read", func() bool { return f.used > 100<<10 })
	is.Equal(f.request(150<<10), http.StatusOK)
	is.Equal(stalled.status(), 0)
}

// Guards against a small request that is refused or waits because large ones hold all memory.
func TestSmallRequestNeedsNoMemory(t *testing.T) {
	is := is.New(t)
	l := testLimits
	l.MemoryBytes = 300 << 10
	f := serve(t, l)
	f.work = make(chan struct{})
	var wg sync.WaitGroup
	for range 2 { // whole, so they are not closed
		wg.Go(func() { is.Equal(f.request(100<<10), http.StatusOK) })
	}
	f.waitFor("two bodies are read", func() bool { return f.used > 180<<10 })
	is.Equal(f.request(200<<10), http.StatusServiceUnavailable)
	small := make(chan int)
	go func() { small <- f.request(4 << 10) }()
	for range 3 {
		f.work <- struct{}{}
	}
	is.Equal(<-small, http.StatusOK)
	wg.Wait()
}

// Guards against a whole request that is given up: it may have been passed on.
func TestWholeRequestIsNotClosed(t *testing.T) {
	is := is.New(t)
	l := testLimits
	l.Connections = 2
	f := serve(t, l)
	f.work = make(chan struct{})
	caller := f.dial()
	caller.send(post(4) + "body")
	f.waitFor("the request is whole", func() bool { return f.phases()[working] == 1 })
	for range 5 {
		f.dial()
	}
	f.waitFor("connections are closed", func() bool { return len(f.conns) == 2 })
	close(f.work)
	is.Equal(caller.status(), http.StatusOK)
}

// Guards against connections beyond the limit of descriptors, and against new callers that are
// turned away while old connections do nothing.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	l := testLimits
	l.Connections = 4
	f := serve(t, l)
	first := f.dial()
	f.waitFor("the first connection is open", func() bool { return len(f.conns) == 1 })
	for range 10 {
		f.dial()
		is.Equal(f.request(4), http.StatusOK)
		f.mu.Lock()
		is.True(len(f.conns) <= l.Connections)
		f.mu.Unlock()
	}
	is.Equal(first.status(), 0)
}

// Guards against a header above the limit or without end, and against one that is within the limit
// but is refused.
func TestHeaderLimit(t *testing.T) {
	is := is.New(t)
	f := serve(t, testLimits)
	line := "X-Long: " + strings.Repeat("x", 1000) + "\r\n"
	c := f.dial()
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + strings.Repeat(line, 15) + "\r\n")
	is.Equal(c.status(), http.StatusOK)
	c.send("POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(line, 30)) // has no end
	is.Equal(c.status(), http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(c.status(), 0)
	c = f.dial()
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n")
	is.Equal(c.status(), http.StatusOK)
}

// Guards against many short header lines, which take far more memory than their text.
func TestHeaderLinesTakeMemory(t *testing.T) {
	is := is.New(t)
	l := testLimits
	l.MemoryBytes = 256 << 10
	f := serve(t, l)
	c := f.dial()
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n")
	is.Equal(c.status(), http.StatusServiceUnavailable)
	is.Equal(f.request(4), http.StatusOK)
}

// Guards against limits that need a restart to change.
func TestRequestLimitsChange(t *testing.T) {
	is := is.New(t)
	f := serve(t, testLimits)
	c := f.dial()
	head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nX: " + strings.Repeat("x", 10<<10) + "\r\n\r\n"
	c.send(head)
	is.Equal(c.status(), http.StatusOK)
	l := testRequestLimits
	l.HeaderBytes, l.HeaderTimeout, l.IdleTimeout = 1<<10, 10*time.Millisecond, 10*time.Millisecond
	f.SetRequestLimits(l)
	c.send(head)
	is.Equal(c.status(), http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(f.dial().status(), 0) // closed while idle
	slow := f.dial()
	slow.send("POST / HTTP/1.1\r\nHost:")
	is.Equal(slow.status(), 0)
}

// Guards against large requests that are decoded at the same time without bound, and against a small
// one that waits for them.
func TestLargeRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	l := testLimits
	l.LargeBytes = 150 << 10
	f := serve(t, l)
	f.work = make(chan struct{})
	large := make(chan int)
	go func() { large <- f.request(100 << 10) }()
	f.waitFor("a large request is worked on", func() bool { return f.phases()[working] == 1 })
	is.Equal(f.request(100<<10), http.StatusTooManyRequests)
	small := make(chan int)
	go func() { small <- f.request(4) }()
	f.work <- struct{}{}
	f.work <- struct{}{}
	is.Equal(<-large, http.StatusOK)
	is.Equal(<-small, http.StatusOK)
}

// Guards against memory or connections that are not given back, whatever clients send and whenever
// they leave.
func TestAllIsGivenBack(t *testing.T) {
	l := testLimits
	l.Connections, l.MemoryBytes = 16, 400<<10
	f := serve(t, l)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(i), 1))
			for range 10 {
				f.sendRandomly(r)
			}
		})
	}
	wg.Wait()
	f.waitFor("all is given back", func() bool { return f.used == 0 && len(f.conns) == 0 })
}

// sendRandomly sends a request of random size and form, of which the last part may be missing.
func (f *fixture) sendRandomly(r *rand.Rand) {
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Error(err)
		return
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	n := r.IntN(maxTestBody)
	body := strings.Repeat("x", n)
	text := post(n) + body
	if r.IntN(2) == 0 {
		text = "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", r.IntN(2000)) +
			fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", n+1, body+"x")
	}
	whole := r.IntN(2) == 0
	if !whole {
		text = text[:r.IntN(len(text))]
	}
	if _, err := io.WriteString(nc, text); err != nil || !whole {
		return // closed by the server, or left by the client
	}
	_, _ = http.ReadResponse(bufio.NewReader(nc), nil)
}
