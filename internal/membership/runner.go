package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// pauseTicks is the number of missed ticks after which the process is considered
// to have been frozen.
const pauseTicks = 10

// maxMessageBytes bounds the size of a message from another instance. The largest
// one is a synchronization message with maxSyncRecords records.
const maxMessageBytes = 64 << 10

// MessageError reports a message that is too large or cannot be decoded.
type MessageError struct {
	From  string
	Cause error
}

func (e *MessageError) Error() string {
	return "membership message from instance " + e.From + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// Runner runs a Core over the links of its daemon.
type Runner struct {
	peers  link.Peers
	log    logr.Logger
	cancel context.CancelFunc
	done   chan struct{}

	mu           sync.Mutex // guards core and loggedStates
	core         *Core
	loggedStates map[string]Member // state and incarnation that were last logged
}

// Start registers the handler of link.KindProbe and starts the ticks. Close must be
// called when the Runner is no longer needed. If cfg has no incarnation or random
// source, a random one is used.
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
		done: make(chan struct{}), core: New(cfg), loggedStates: map[string]Member{},
	}
	peers.Handle(link.KindProbe, r.receive)
	go r.run(ctx)
	return r
}

// Close stops the ticks. Messages that arrive later are ignored.
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

// SetFacts changes the facts of this instance.
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
		r.update(func() {
			if paused {
				telemetry.Count("teaselpaddle_membership_pauses_total")
				r.core.HandleResume()
			}
			r.core.Tick()
		})
	}
}

// receive handles a message from another instance. It implements link.Handler.
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
	r.update(func() { r.core.Step(from, &m) })
	return nil, nil
}

// update calls f, which may change the core, and sends the messages that result.
func (r *Runner) update(f func()) {
	r.mu.Lock()
	f()
	out := r.core.TakeMessages()
	r.logChanges()
	r.mu.Unlock()
	for _, o := range out {
		body, err := codec.Marshal(o.Message)
		if err != nil {
			r.log.Error(err, "message cannot be encoded", "to", o.To)
			continue
		}
		r.peers.Send(o.To, link.KindProbe, body)
	}
}

// logChanges logs and counts the instances whose state or incarnation changed.
func (r *Runner) logChanges() {
	for _, name := range r.core.TakeChanged() {
		e := r.core.members[name]
		old := r.loggedStates[name]
		if old.State == e.record.State && old.Incarnation == e.record.Incarnation {
			continue
		}
		r.loggedStates[name] = Member{State: e.record.State, Incarnation: e.record.Incarnation}
		telemetry.CountBy("teaselpaddle_membership_changes_total", "state", e.record.State.String())
		r.log.Info("instance changed", "instance", name, "state", e.record.State.String(),
			"before", old.State.String(), "restarted", old.Incarnation != 0 && old.Incarnation != e.record.Incarnation)
	}
}
