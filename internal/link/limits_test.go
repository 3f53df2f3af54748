package link

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/juju/errors"
	"github.com/matryer/is"
)

// Guards against a peer that accepts connections and never answers: it must not
// delay messages to other instances, and its queue must stay bounded.
func TestSlowPeerAndFullQueue(t *testing.T) {
	is := is.NewRelaxed(t)                   // also used by other goroutines
	unresponsive := listen(t, "127.0.0.1:0") // the kernel accepts connections, nothing reads from them
	defer func() { _ = unresponsive.Close() }()
	la, lb := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	addresses := map[string]string{"a": la.Addr().String(), "b": lb.Addr().String(), "slow": unresponsive.Addr().String()}
	a := start(t, la, Config{Self: "a", Addresses: addresses, QueueLength: 4, MaxRequests: 2})
	b := start(t, lb, Config{Self: "b", Addresses: addresses})
	b.Handle(KindRequest, echo)
	for range 10 {
		a.Send("slow", KindRaft, make([]byte, 100))
	}
	is.Equal(a.counter(`teaselpaddle_link_dropped_total{kind="raft",reason="queue_full"}`), 6)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			_, err := a.Call(within(t, 200*time.Millisecond), "slow", KindRequest, nil)
			var notSent *NotSentError
			is.True(errors.As(err, &notSent)) // queued until its deadline
		})
	}
	begin := time.Now()
	_, err := a.Call(within(t, testTimeout), "b", KindRequest, nil)
	is.NoErr(err)
	is.True(time.Since(begin) < time.Second)
	wg.Wait()
}

// Guards against a handler that blocks the connection: other requests on it must
// proceed, and requests beyond the limit must be refused without running.
func TestHandlerLimit(t *testing.T) {
	is := is.NewRelaxed(t) // also used by other goroutines
	a, b, _ := pair(t, Config{}, Config{PeerHandlers: 2})
	release := make(chan struct{})
	var runs atomic.Int32
	b.Handle(KindRequest, func(context.Context, string, []byte) ([]byte, error) {
		runs.Add(1)
		<-release
		return nil, nil
	})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			_, err := a.Call(within(t, testTimeout), "b", KindRequest, nil)
			is.NoErr(err)
		})
	}
	eventually(t, testTimeout, func() bool { return runs.Load() == 2 })
	_, err := a.Call(within(t, testTimeout), "b", KindRequest, nil)
	var remote *RemoteError
	is.True(errors.As(err, &remote) && remote.Busy)
	close(release)
	wg.Wait()
	is.Equal(runs.Load(), int32(2))
}

// Guards against connections that stay open while they are not used, and against
// requests that are lost while an idle connection is being closed.
func TestIdleClose(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a, b, p := pair(t, Config{Idle: 100 * time.Millisecond, Heartbeat: 50 * time.Millisecond}, Config{})
	b.Handle(KindRequest, echo)
	_, err := a.Call(within(t, testTimeout), "b", KindRequest, nil)
	is.NoErr(err)
	eventually(t, testTimeout, func() bool { return p.OpenConnections() == 0 && !a.Reachable("b") })
	for i := range 10 {
		_, err = a.Call(within(t, testTimeout), "b", KindRequest, nil)
		is.NoErr(err)
		time.Sleep(time.Duration(95+i) * time.Millisecond)
	}
}

// Guards against replies that are kept forever.
func TestRepliesAreBounded(t *testing.T) {
	is := is.New(t)
	a, b, _ := pair(t, Config{}, Config{})
	b.Handle(KindRequest, echo)
	for range 100 {
		_, err := a.Call(within(t, testTimeout), "b", KindRequest, make([]byte, 1000))
		is.NoErr(err)
	}
	in := b.inbound["a"]
	in.mu.Lock()
	is.Equal(len(in.records), 1) // only the last one; the next request acknowledges it
	in.mu.Unlock()
	in.dropExpired(time.Now().Add(time.Hour))
	is.Equal(len(in.records), 0)
	is.Equal(in.replyBytes, 0)
}

// Guards against one-way messages that are lost on a healthy connection, arrive
// out of order, or cannot be sent over the connection that the peer dialled.
func TestOneWay(t *testing.T) {
	for _, kind := range []Kind{KindRaft, KindEvent} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			a, b, _ := pair(t, Config{}, Config{})
			got, back := make(chan string, 100), make(chan string, 100)
			b.Handle(kind, func(ctx context.Context, from string, body []byte) ([]byte, error) {
				got <- Group(ctx) + string(body)
				b.Send(from, kind, body)
				return nil, nil
			})
			a.Handle(kind, func(_ context.Context, _ string, body []byte) ([]byte, error) {
				back <- string(body)
				return nil, nil
			})
			for i := range 100 {
				a.SendGroup("b", kind, "g", fmt.Append(nil, i))
			}
			for i := range 100 {
				is.Equal(<-got, fmt.Sprint("g", i))
				is.Equal(<-back, fmt.Sprint(i))
			}
			is.Equal(b.counter("teaselpaddle_link_dials_total"), 0)
		})
	}
}

// Guards against a publisher or subscriber that breaks watermill's contract:
// order, acknowledgement, end of the subscription.
func TestPubSub(t *testing.T) {
	is := is.New(t)
	a, b, _ := pair(t, Config{}, Config{})
	sub := b.Subscriber()
	ch, err := sub.Subscribe(t.Context(), Topic(KindEvent, "a"))
	is.NoErr(err)
	pub := a.Publisher()
	for _, s := range []string{"1", "2"} {
		is.NoErr(pub.Publish(Topic(KindEvent, "b"), message.NewMessage("", []byte(s))))
	}
	for _, s := range []string{"1", "2"} {
		m := <-ch
		is.Equal(string(m.Payload), s)
		is.Equal(m.Metadata.Get(MetadataFrom), "a")
		m.Nack() // not redelivered
	}
	var topic *TopicError
	is.True(errors.As(pub.Publish("event", message.NewMessage("", nil)), &topic))
	var dropped *DroppedError
	is.True(errors.As(pub.Publish(Topic(KindEvent, "c"), message.NewMessage("", nil)), &dropped))
	is.NoErr(sub.Close())
	_, open := <-ch
	is.True(!open)
}

// Guards against a call that does not end when the links are closed.
func TestCloseEndsCalls(t *testing.T) {
	is := is.New(t)
	a, b, _ := pair(t, Config{}, Config{})
	started := make(chan struct{})
	b.Handle(KindRequest, func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		close(started)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	go func() {
		<-started
		a.Close()
	}()
	_, err := a.Call(within(t, testTimeout), "b", KindRequest, nil)
	var closed *ClosedError
	is.True(errors.As(err, &closed))
	_, err = a.Call(within(t, testTimeout), "b", KindRequest, nil)
	is.True(errors.As(err, &closed))
}

// Guards against a side that keeps a silent connection open because it relies on
// the other side to close it.
func TestBothSidesCloseSilentConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a, b, p := pair(t, Config{Idle: time.Hour}, Config{})
	b.Handle(KindRequest, echo)
	_, err := a.Call(within(t, testTimeout), "b", KindRequest, nil)
	is.NoErr(err)
	p.BlackholeAll(ToTarget)
	p.BlackholeAll(FromTarget)
	eventually(t, 2500*time.Millisecond, func() bool {
		const name = "teaselpaddle_link_silent_connections_total"
		return a.counter(name) == 1 && b.counter(name) == 1
	})
}

// Guards against large requests that take the receiver's memory: beyond the limit of bytes they must
// be refused without running, while one alone and small ones are handled.
func TestHandlerBytesLimit(t *testing.T) {
	is := is.NewRelaxed(t) // also used by other goroutines
	a, b, _ := pair(t, Config{}, Config{MaxHandlerBytes: 10 << 10})
	release := make(chan struct{})
	var runs atomic.Int32
	b.Handle(KindRequest, func(context.Context, string, []byte) ([]byte, error) {
		runs.Add(1)
		<-release
		return nil, nil
	})
	var wg sync.WaitGroup
	call := func(n int) {
		wg.Go(func() {
			_, err := a.Call(within(t, testTimeout), "b", KindRequest, make([]byte, n))
			is.NoErr(err)
		})
	}
	call(9 << 10)
	eventually(t, testTimeout, func() bool { return runs.Load() == 1 })
	_, err := a.Call(within(t, testTimeout), "b", KindRequest, make([]byte, 9<<10))
	var remote *RemoteError
	is.True(errors.As(err, &remote) && remote.Busy)
	call(100)
	eventually(t, testTimeout, func() bool { return runs.Load() == 2 })
	close(release)
	wg.Wait()
	call(100 << 10)
	wg.Wait()
	is.Equal(runs.Load(), int32(3))
}
