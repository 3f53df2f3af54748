package link

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/websocket"
	"github.com/juju/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"teaselpaddle.example/teaselpaddle/internal/faultproxy"
)

func TestMain(m *testing.M) {
	if parent := os.Getenv(peerProcessEnv); parent != "" {
		runPeerProcess(parent)
		return
	}
	goleak.VerifyTestMain(m)
}

const testTimeout = 10 * time.Second

// node is the links of one daemon with their listener.
type node struct {
	*Links
	srv  *http.Server
	addr string
	set  *metrics.Set
}

func listen(t testing.TB, addr string) net.Listener {
	t.Helper()
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return ln
		}
		if time.Since(start) > testTimeout {
			t.Fatal(err)
		}
	}
}

func start(t testing.TB, ln net.Listener, cfg Config) *node {
	cfg.Metrics = metrics.NewSet()
	n := &node{Links: New(cfg), addr: ln.Addr().String(), set: cfg.Metrics}
	n.srv = &http.Server{Handler: n.Handler()}
	go func() { _ = n.srv.Serve(ln) }()
	t.Cleanup(n.stop)
	return n
}

func (n *node) stop() {
	_ = n.srv.Close()
	n.Close()
}

func (n *node) counter(name string) int { return int(n.set.GetOrCreateCounter(name).Get()) }

// pair starts instances a and b; a reaches b through a proxy.
func pair(t testing.TB, ca, cb Config) (a, b *node, p *faultproxy.Proxy) {
	la, lb := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	p, err := faultproxy.New(lb.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	ca.Self, ca.Addresses = "a", map[string]string{"a": la.Addr().String(), "b": p.Addr()}
	cb.Self, cb.Addresses = "b", map[string]string{"a": la.Addr().String(), "b": lb.Addr().String()}
	return start(t, la, ca), start(t, lb, cb), p
}

func within(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func echo(_ context.Context, from string, body []byte) ([]byte, error) {
	return append([]byte(from+":"), body...), nil
}

func eventually(t testing.TB, d time.Duration, f func() bool) {
	t.Helper()
	for end := time.Now().Add(d); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met in time")
		}
	}
}

// Guards against a wrong type of error: callers derive from it the outcome that
// they report to their own callers.
func TestCallErrors(t *testing.T) {
	is := is.New(t)
	a, b, p := pair(t, Config{MaxMessage: 1 << 20}, Config{MaxMessage: 1 << 16})
	b.Handle(KindRequest, echo)
	b.Handle(KindConfig, func(context.Context, string, []byte) ([]byte, error) {
		return nil, &TopicError{Topic: "x"}
	})
	out, err := a.Call(within(t, testTimeout), "b", KindRequest, []byte("1"))
	is.NoErr(err)
	is.Equal(string(out), "a:1")

	var notSent *NotSentError
	var large *TooLargeError
	var remote *RemoteError
	var noReply *NoReplyError
	_, err = a.Call(within(t, testTimeout), "b", KindConfig, nil)
	is.True(errors.As(err, &remote))
	_, err = a.Call(within(t, testTimeout), "b", KindAnnounce, nil)
	is.True(errors.As(err, &remote)) // no handler
	_, err = a.Call(within(t, testTimeout), "b", KindRequest, make([]byte, 1<<17))
	is.True(errors.As(err, &notSent) && errors.As(err, &large)) // beyond the receiver's limit
	_, err = a.Call(within(t, testTimeout), "b", KindRequest, make([]byte, 1<<21))
	is.True(errors.As(err, &notSent) && errors.As(err, &large)) // beyond the sender's own limit
	_, err = a.Call(within(t, testTimeout), "c", KindRequest, nil)
	is.True(errors.As(err, &notSent)) // not in the settings

	p.BlackholeAll(ToTarget)
	_, err = a.Call(within(t, 300*time.Millisecond), "b", KindRequest, []byte("2"))
	is.True(errors.As(err, &noReply) && errors.Is(err, context.DeadlineExceeded))
	p.Refuse(true)
	p.Cut()
	eventually(t, testTimeout, func() bool {
		// A call may still be written to the cut connection; it waits for its deadline.
		_, err = a.Call(within(t, 300*time.Millisecond), "b", KindRequest, []byte("3"))
		return errors.As(err, &notSent)
	})
	p.Heal()
	eventually(t, testTimeout, func() bool {
		_, err = a.Call(within(t, testTimeout), "b", KindRequest, []byte("4"))
		return err == nil
	})
}

const (
	ToTarget   = faultproxy.ToTarget
	FromTarget = faultproxy.FromTarget
)

// Guards against a request that hangs or is carried out twice when its connection
// goes silent in one or both directions while new connections work.
func TestSilentConnection(t *testing.T) {
	for name, dirs := range map[string][]faultproxy.Direction{
		"to target": {ToTarget}, "from target": {FromTarget}, "both": {ToTarget, FromTarget},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			a, b, p := pair(t, Config{}, Config{})
			var runs atomic.Int32
			b.Handle(KindRequest, func(context.Context, string, []byte) ([]byte, error) {
				runs.Add(1)
				return []byte("done"), nil
			})
			_, err := a.Call(within(t, testTimeout), "b", KindRequest, nil)
			is.NoErr(err)
			for _, d := range dirs {
				p.BlackholeOpen(d)
			}
			begin := time.Now()
			out, err := a.Call(within(t, testTimeout), "b", KindRequest, nil)
			took := time.Since(begin)
			is.NoErr(err)
			is.Equal(string(out), "done")
			is.Equal(runs.Load(), int32(2))       // one run for each call
			is.True(took < 2500*time.Millisecond) // 1.5 s of silence, the back-off, and a margin for a busy machine
			is.Equal(a.counter("teaselpaddle_link_resent_requests_total"), 1)
			eventually(t, testTimeout, func() bool { return p.OpenConnections() == 1 }) // the old one is closed
			t.Logf("answered after %v", took)
		})
	}
}

// Guards against a resend that starts the handler a second time while it is
// running, and against a reply that is lost with the connection.
func TestResendDuringHandler(t *testing.T) {
	is := is.New(t)
	a, b, p := pair(t, Config{}, Config{})
	var runs atomic.Int32
	release := make(chan struct{})
	b.Handle(KindRequest, func(context.Context, string, []byte) ([]byte, error) {
		runs.Add(1)
		<-release
		return []byte("done"), nil
	})
	result := make(chan error, 1)
	ctx := within(t, testTimeout)
	go func() {
		_, err := a.Call(ctx, "b", KindRequest, nil)
		result <- err
	}()
	eventually(t, testTimeout, func() bool { return runs.Load() == 1 })
	for range 3 {
		open := p.Accepted()
		p.Cut()
		eventually(t, testTimeout, func() bool { return p.Accepted() > open && a.Reachable("b") })
	}
	p.Refuse(true)
	p.Cut()
	close(release) // the reply is ready while there is no connection
	time.Sleep(50 * time.Millisecond)
	p.Heal()
	is.NoErr(<-result)
	is.Equal(runs.Load(), int32(1))
}

// Guards against a second run after the peer has restarted: the new process cannot
// know what the old one did. Also guards against a peer that is not reached again
// after its restart.
func TestPeerRestart(t *testing.T) {
	is := is.New(t)
	la, lb := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	addresses := map[string]string{"a": la.Addr().String(), "b": lb.Addr().String()}
	addr := lb.Addr().String()
	a := start(t, la, Config{Self: "a", Addresses: addresses})
	b := start(t, lb, Config{Self: "b", Addresses: addresses})
	var runs atomic.Int32
	h := func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		runs.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	b.Handle(KindRequest, h)
	result := make(chan error, 1)
	ctx := within(t, testTimeout)
	go func() {
		_, err := a.Call(ctx, "b", KindRequest, nil)
		result <- err
	}()
	eventually(t, testTimeout, func() bool { return runs.Load() == 1 })
	b.stop()
	b = start(t, listen(t, addr), Config{Self: "b", Addresses: addresses})
	b.Handle(KindRequest, echo)
	err := <-result
	var noReply *NoReplyError
	var restarted *PeerRestartedError
	is.True(errors.As(err, &noReply) && errors.As(err, &restarted))
	out, err := a.Call(within(t, testTimeout), "b", KindRequest, []byte("again"))
	is.NoErr(err)
	is.Equal(string(out), "a:again")
	is.Equal(runs.Load(), int32(1))
}

// Guards against a late connection of an earlier dial that replaces the newer one,
// over which requests may already have been resent. The late connection is refused,
// or closed if the newer one was still in its handshake when it arrived.
func TestOlderConnectionRefused(t *testing.T) {
	is := is.New(t)
	lb := listen(t, "127.0.0.1:0")
	// Nothing listens at the address of a: the dials of a running instance a would
	// open a second session.
	b := start(t, lb, Config{Self: "b", Addresses: map[string]string{"a": "127.0.0.1:1", "b": lb.Addr().String()}})
	dial := func(number string) (*websocket.Conn, error) {
		h := http.Header{}
		h.Set(headerFrom, "a")
		h.Set(headerSession, "5")
		h.Set(headerConn, number)
		ws, _, err := websocket.Dial(within(t, testTimeout), "ws://"+b.addr+linkPath,
			&websocket.DialOptions{HTTPHeader: h, Subprotocols: []string{protocolVersion}})
		if err == nil {
			t.Cleanup(func() { _ = ws.CloseNow() })
		}
		return ws, err
	}
	newest := func() (number uint64, open bool) {
		in := b.inboundFrom("a")
		in.mu.Lock()
		defer in.mu.Unlock()
		return in.lastConn, in.conn != nil && !in.conn.closed()
	}
	attached := func(number uint64) func() bool {
		return func() bool { n, open := newest(); return n == number && open }
	}
	_, err := dial("2")
	is.NoErr(err)
	eventually(t, testTimeout, attached(2))
	_, err = dial("1")
	is.True(err != nil)
	_, err = dial("4")
	is.NoErr(err)
	if late, err := dial("3"); err == nil {
		eventually(t, testTimeout, attached(4))
		_, _, err = late.Read(within(t, testTimeout))
		is.True(err != nil && !errors.Is(err, context.DeadlineExceeded)) // closed
	}
	eventually(t, testTimeout, attached(4))
	_, err = dial("5")
	is.NoErr(err)
	eventually(t, testTimeout, attached(5))
}

// Guards against two versions that misread each other's frames.
func TestVersionMismatch(t *testing.T) {
	is := is.New(t)
	a, b, _ := pair(t, Config{version: "teaselpaddle-link-2"}, Config{})
	b.Handle(KindRequest, echo)
	_, err := a.Call(within(t, testTimeout), "b", KindRequest, nil)
	var notSent *NotSentError
	var version *VersionError
	is.True(errors.As(err, &notSent) && errors.As(err, &version))
	is.Equal(*version, VersionError{Peer: "b", Ours: "teaselpaddle-link-2", Theirs: protocolVersion})
}

// Guards against a frame that exhausts memory or blocks the listener: its
// connection must be closed, and other connections must keep working.
func TestBadFrames(t *testing.T) {
	for name, frame := range map[string][]byte{
		"oversized": make([]byte, 1<<17), "not CBOR": {0xff, 0x00}, "other version": {0x89, 9, 0, 0x60, 0, 0, 0, 0x60, 0, 0x40},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b, _ := pair(t, Config{}, Config{MaxMessage: 1 << 16})
			b.Handle(KindRequest, echo)
			h := http.Header{}
			h.Set(headerFrom, "a")
			h.Set(headerSession, "5")
			h.Set(headerConn, "1")
			ws, _, err := websocket.Dial(within(t, testTimeout), "ws://"+b.addr+linkPath,
				&websocket.DialOptions{HTTPHeader: h, Subprotocols: []string{protocolVersion}})
			is.NoErr(err)
			defer func() { _ = ws.CloseNow() }()
			// The other side may close while the frame is still being written.
			err = ws.Write(within(t, testTimeout), websocket.MessageBinary, frame)
			for err == nil {
				_, _, err = ws.Read(within(t, testTimeout))
			}
			is.True(!errors.Is(err, context.DeadlineExceeded)) // closed by the other side
			_, err = a.Call(within(t, testTimeout), "b", KindRequest, nil)
			is.NoErr(err)
		})
	}
}
