package link

import (
	"context"
	"testing"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/VictoriaMetrics/metrics"
)

// BenchmarkDispatch measures the cost of one received one-way message from the
// read loop to its handler: directly, through watermill's router, and through
// watermill's gochannel. A window of 64 messages is in flight.
func BenchmarkDispatch(b *testing.B) {
	const window = 64
	body := make([]byte, 100)
	run := func(b *testing.B, done <-chan struct{}, dispatch func()) {
		b.ReportAllocs()
		for b.Loop() {
			dispatch()
			<-done
		}
	}
	links := func(b *testing.B) (*Links, *conn) {
		l := New(Config{Self: "a", Metrics: metrics.NewSet()})
		c := &conn{links: l, peer: "b", handlerQueues: map[Kind]chan *envelope{}, readEnded: make(chan struct{})}
		b.Cleanup(l.Close)
		return l, c
	}
	for name, kind := range map[string]Kind{"direct": KindRaft, "router": KindEvent} {
		b.Run(name, func(b *testing.B) {
			l, c := links(b)
			done := make(chan struct{}, 2*window)
			l.Handle(kind, func(context.Context, string, []byte) ([]byte, error) {
				done <- struct{}{}
				return nil, nil
			})
			for range window {
				l.dispatchOneWay(c, &envelope{Kind: kind, Body: body})
			}
			run(b, done, func() { l.dispatchOneWay(c, &envelope{Kind: kind, Body: body}) })
		})
	}
	b.Run("gochannel", func(b *testing.B) {
		g := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: 2 * window}, nil)
		defer func() { _ = g.Close() }()
		ch, err := g.Subscribe(context.Background(), "t")
		if err != nil {
			b.Fatal(err)
		}
		done := make(chan struct{}, 2*window)
		go func() {
			for m := range ch {
				m.Ack()
				done <- struct{}{}
			}
		}()
		publish := func() { _ = g.Publish("t", message.NewMessage("", body)) }
		for range window {
			publish()
		}
		run(b, done, publish)
	})
}

// BenchmarkCall measures the round trip of a request and its reply over loopback.
func BenchmarkCall(b *testing.B) {
	x, y, _ := pair(b, Config{}, Config{})
	x.Handle(KindRequest, echo)
	body := make([]byte, 100)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := y.Call(context.Background(), "a", KindRequest, body); err != nil {
			b.Fatal(err)
		}
	}
}
