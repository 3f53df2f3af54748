package link

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
)

// Metadata keys of watermill messages that come from or go to other instances.
const (
	MetadataFrom  = "from"  // sending instance
	MetadataGroup = "group" // consensus group, if any
)

// AnyInstance stands for all instances in a subscriber's topic.
const AnyInstance = "*"

// Topic returns the topic of the one-way messages of a kind to an instance (for a
// publisher) or from an instance (for a subscriber).
func Topic(kind Kind, instance string) string { return string(kind) + "/" + instance }

// DroppedError says that a one-way message was not queued.
type DroppedError struct {
	Topic  string
	Reason string
}

func (e *DroppedError) Error() string {
	return fmt.Sprintf("message to %s was dropped: %s", e.Topic, e.Reason)
}

// Publisher sends watermill messages to other instances as one-way messages.
type Publisher struct{ links *Links }

var _ message.Publisher = (*Publisher)(nil)

// Publisher returns a watermill publisher over the links.
func (l *Links) Publisher() *Publisher { return &Publisher{l} }

// Publish implements message.Publisher. It queues the messages and does not
// wait. The error is a *TopicError or a *DroppedError.
func (p *Publisher) Publish(topic string, messages ...*message.Message) error {
	kind, to, ok := strings.Cut(topic, "/")
	if !ok || kind == "" || to == "" {
		return &TopicError{Topic: topic}
	}
	for _, m := range messages {
		reason := p.links.send(to, Kind(kind), m.Metadata.Get(MetadataGroup), m.Payload)
		if reason != "" {
			p.links.stats.dropped(Kind(kind), reason)
			return &DroppedError{Topic: topic, Reason: string(reason)}
		}
	}
	return nil
}

// Close implements message.Publisher. The links stay open.
func (p *Publisher) Close() error { return nil }

// Subscriber receives one-way messages of other instances as watermill messages.
// A message that is not acknowledged is not redelivered: its sender repeats what
// must not be lost.
type Subscriber struct {
	bus    *bus
	ctx    context.Context
	cancel context.CancelFunc
}

var _ message.Subscriber = (*Subscriber)(nil)

// Subscriber returns a watermill subscriber over the links. It ends with Close.
func (l *Links) Subscriber() *Subscriber { return l.bus.subscriber() }

// Subscribe implements message.Subscriber. The next message is delivered after
// the previous one was acknowledged (Ack) or rejected (Nack). Messages that arrive
// while the queue is full are dropped and counted.
func (s *Subscriber) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	if !strings.Contains(topic, "/") {
		return nil, &TopicError{Topic: topic}
	}
	return s.bus.subscribe(ctx, s.ctx, topic)
}

// Close implements message.Subscriber.
func (s *Subscriber) Close() error {
	s.cancel()
	return nil
}

// subscription is one subscriber's queue for one topic.
type subscription struct {
	queue chan *message.Message
	out   chan *message.Message
}

// bus delivers received one-way messages to watermill subscribers. One of them is
// the router, which calls the handlers of the kinds for which usesRouter is true.
type bus struct {
	links      *Links
	router     *message.Router
	sub        *Subscriber
	hasHandler map[Kind]bool // guarded by mu

	mu     sync.RWMutex
	topics map[string][]*subscription
}

func newBus(l *Links) *bus {
	b := &bus{links: l, hasHandler: map[Kind]bool{}, topics: map[string][]*subscription{}}
	b.sub = b.subscriber()
	b.router = message.NewDefaultRouter(watermill.NopLogger{})
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		if err := b.router.Run(l.ctx); err != nil {
			l.log.Error(err, "message router ended")
		}
	}()
	<-b.router.Running()
	return b
}

func (b *bus) subscriber() *Subscriber {
	ctx, cancel := context.WithCancel(b.links.ctx)
	return &Subscriber{bus: b, ctx: ctx, cancel: cancel}
}

func (b *bus) close() {
	if err := b.router.Close(); err != nil {
		b.links.log.Error(err, "message router not closed in time")
	}
}

// addHandler makes the router call the handler of a kind. Further calls for the
// same kind have no effect.
func (b *bus) addHandler(kind Kind) {
	b.mu.Lock()
	added := b.hasHandler[kind]
	b.hasHandler[kind] = true
	b.mu.Unlock()
	if added {
		return
	}
	b.router.AddConsumerHandler(string(kind), Topic(kind, AnyInstance), b.sub, func(m *message.Message) error {
		ctx := m.Context()
		if g := m.Metadata.Get(MetadataGroup); g != "" {
			ctx = WithGroup(ctx, g)
		}
		_, err := b.links.handler(kind)(ctx, m.Metadata.Get(MetadataFrom), m.Payload)
		return err
	})
	if err := b.router.RunHandlers(b.links.ctx); err != nil {
		b.links.log.Error(err, "handler not started", "kind", kind)
	}
}

// deliver queues a message for the subscribers of its kind and returns how many
// there are.
func (b *bus) deliver(from string, e *envelope) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if len(b.topics) == 0 {
		return 0
	}
	n := b.deliverTopic(Topic(e.Kind, AnyInstance), from, e)
	return n + b.deliverTopic(Topic(e.Kind, from), from, e)
}

func (b *bus) deliverTopic(topic, from string, e *envelope) int {
	subs := b.topics[topic]
	for _, s := range subs {
		m := message.NewMessage("", e.Body)
		m.Metadata.Set(MetadataFrom, from)
		if e.Group != "" {
			m.Metadata.Set(MetadataGroup, e.Group)
		}
		select {
		case s.queue <- m:
		default:
			b.links.stats.dropped(b.links.metricKind(e), dropHandlerFull)
		}
	}
	return len(subs)
}

func (b *bus) subscribe(ctx, subscriberCtx context.Context, topic string) (<-chan *message.Message, error) {
	s := &subscription{
		queue: make(chan *message.Message, b.links.cfg.QueueLength),
		out:   make(chan *message.Message),
	}
	b.links.mu.Lock()
	defer b.links.mu.Unlock()
	if b.links.closed {
		return nil, &ClosedError{}
	}
	b.mu.Lock()
	b.topics[topic] = append(b.topics[topic], s)
	b.mu.Unlock()
	b.links.wg.Add(1)
	go func() {
		defer b.links.wg.Done()
		b.forward(ctx, subscriberCtx, s)
		b.unsubscribe(topic, s)
		close(s.out)
	}()
	return s.out, nil
}

// forward delivers the queued messages one at a time until a context ends.
func (b *bus) forward(ctx, subscriberCtx context.Context, s *subscription) {
	for {
		var m *message.Message
		select {
		case m = <-s.queue:
		case <-ctx.Done():
			return
		case <-subscriberCtx.Done():
			return
		}
		mctx, cancel := context.WithCancel(ctx)
		m.SetContext(mctx)
		ok := b.deliverOne(ctx, subscriberCtx, s, m)
		cancel()
		if !ok {
			return
		}
	}
}

func (b *bus) deliverOne(ctx, subscriberCtx context.Context, s *subscription, m *message.Message) bool {
	select {
	case s.out <- m:
	case <-ctx.Done():
		return false
	case <-subscriberCtx.Done():
		return false
	}
	select {
	case <-m.Acked():
	case <-m.Nacked():
		// A subscription does not know the kind of its messages; "routed" stands for all.
		b.links.stats.dropped("routed", dropFailed)
	case <-ctx.Done():
		return false
	case <-subscriberCtx.Done():
		return false
	}
	return true
}

func (b *bus) unsubscribe(topic string, s *subscription) {
	b.mu.Lock()
	defer b.mu.Unlock()
	subs := b.topics[topic]
	kept := make([]*subscription, 0, len(subs))
	for _, o := range subs {
		if o != s {
			kept = append(kept, o)
		}
	}
	if len(kept) == 0 {
		delete(b.topics, topic)
		return
	}
	b.topics[topic] = kept
}
