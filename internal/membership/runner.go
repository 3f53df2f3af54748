package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// pauseTicks is the number of missed ticks after which the process counts as
// having been frozen.
const pauseTicks = 10

// maxMessageBytes bounds a message from another instance. The largest one is a
// synchronization with syncRecords records.
const maxMessageBytes = 64 << 10

// MessageError is a message that cannot be used.
type MessageError struct {
	From  string
	Cause error
}

func (e *MessageError) Error() string {
	return "membership message from instance " + e.From + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// Runner runs a core over the links of its daemon.
type Runner struct {
	peers  link.Peers
	log    logr.Logger
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	core   *Core
	states map[string]Member // last logged
}

// Start registers the handler of probes and starts the ticks. Close must be
// called when the membership is no longer needed. A missing incarnation or
// random source is chosen at random.
func Start(cfg Config, peers link.Peers, log logr.Logger) *Runner {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = rand.Uint64() | 1
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		peers: peers, log: log.WithName("membership"), cancel: cancel,
		done: make(chan struct{}), core: New(cfg), states: map[string]Member{},
	}
	peers.Handle(link.KindProbe, r.receive)
	go r.run(ctx)
	return r
}

// Close stops the ticks. Messages that arrive later are not answered.
func (r *Runner) Close() {
	r.cancel()
	<-r.done
}

// Snapshot returns all instances, sorted by name.
func (r *Runner) Snapshot() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Snapshot()
}

// SetFacts changes what this instance says about itself.
func (r *Runner) SetFacts(f Facts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetFacts(f)
}

func (r *Runner) run(ctx context.Context) {
	defer close(r.done)
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		paused := time.Since(last) > pauseTicks*TickInterval
		last = time.Now()
		r.do(func() {
			if paused {
				telemetry.Count("teaselpaddle_membership_pauses_total")
				r.core.Resumed()
			}
			r.core.Tick()
		})
	}
}

// receive takes a message from another instance. It implements link.Handler.
func (r *Runner) receive(_ context.Context, from string, body []byte) ([]byte, error) {
	if len(body) > maxMessageBytes {
		return nil, &MessageError{From: from, Cause: &link.TooLargeError{Bytes: len(body), Limit: maxMessageBytes}}
	}
	var m Message
	if err := codec.Unmarshal(body, &m); err != nil {
		return nil, &MessageError{From: from, Cause: err}
	}
	select {
	case <-r.done:
		return nil, nil
	default:
	}
	r.do(func() { r.core.Step(from, &m) })
	return nil, nil
}

// do changes the core and sends what it hands out.
func (r *Runner) do(f func()) {
	r.mu.Lock()
	f()
	out := r.core.Take()
	r.logChanges()
	r.mu.Unlock()
	for _, o := range out {
		body, err := codec.Marshal(o.Message)
		if err != nil {
			r.log.Error(err, "message not encoded", "to", o.To)
			continue
		}
		r.peers.Send(o.To, link.KindProbe, body)
	}
}

// logChanges logs and counts the instances whose state or process changed.
func (r *Runner) logChanges() {
	for _, name := range r.core.Changed() {
		e := r.core.members[name]
		old := r.states[name]
		if old.State == e.rec.State && old.Incarnation == e.rec.Incarnation {
			continue
		}
		r.states[name] = Member{State: e.rec.State, Incarnation: e.rec.Incarnation}
		telemetry.Count(fmt.Sprintf("teaselpaddle_membership_changes_total{state=%q}", e.rec.State.String()))
		r.log.Info("instance changed", "instance", name, "state", e.rec.State.String(),
			"before", old.State.String(), "restarted", old.Incarnation != 0 && old.Incarnation != e.rec.Incarnation)
	}
}
