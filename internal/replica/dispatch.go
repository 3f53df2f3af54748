package replica

import (
	"context"
	"fmt"
	"sync"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/raft"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// frame is the envelope of a message between the members of a group. The link
// identifies the instances, so only the incarnations are sent.
type frame struct {
	Group string        `cbor:"1,keyasint"`
	From  uint64        `cbor:"2,keyasint"`
	To    uint64        `cbor:"3,keyasint,omitempty"` // 0 for any incarnation
	Msg   *raft.Message `cbor:"4,keyasint,omitempty"`
	Form  *formMessage  `cbor:"5,keyasint,omitempty"`
}

// UnknownGroupError reports a message for a group that this instance does not
// run.
type UnknownGroupError struct{ Group string }

func (e *UnknownGroupError) Error() string { return fmt.Sprintf("group %q does not run here", e.Group) }

// Dispatcher passes the consensus messages that a daemon receives to the members
// of its groups.
type Dispatcher struct {
	peers link.Peers

	mu     sync.RWMutex // guards groups
	groups map[string]*Replica
}

// NewDispatcher returns a dispatcher and registers it as the handler of
// link.KindRaft. A daemon has one dispatcher.
func NewDispatcher(peers link.Peers) *Dispatcher {
	d := &Dispatcher{peers: peers, groups: map[string]*Replica{}}
	peers.Handle(link.KindRaft, d.handle)
	return d
}

func (d *Dispatcher) add(r *Replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.groups[r.cfg.Group] = r
}

func (d *Dispatcher) remove(r *Replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.groups[r.cfg.Group] == r {
		delete(d.groups, r.cfg.Group)
	}
}

func (d *Dispatcher) handle(_ context.Context, from string, body []byte) ([]byte, error) {
	var f frame
	if err := codec.Unmarshal(body, &f); err != nil {
		return nil, err
	}
	d.mu.RLock()
	r := d.groups[f.Group]
	d.mu.RUnlock()
	if r == nil {
		return nil, &UnknownGroupError{Group: f.Group}
	}
	r.receive(from, &f)
	return nil, nil
}

// receive queues a message. A message is dropped if the queue is full, because the
// protocol tolerates lost messages, or if the sender is not an instance of a
// closed group.
func (r *Replica) receive(from string, f *frame) {
	if !r.cfg.OpenMembership && r.cfg.instanceSpec(from) == nil {
		return
	}
	if f.Msg != nil {
		f.Msg.From = raft.ID{Instance: from, Incarnation: f.From}
		f.Msg.To = raft.ID{Instance: r.cfg.Self, Incarnation: f.To}
	}
	select {
	case r.inbox <- inboundMessage{from: from, frame: f}:
	default:
		telemetry.Count(r.metricName("dropped_messages"))
	}
}

func (r *Replica) send(to string, f *frame) {
	f.Group = r.cfg.Group
	f.From = r.id.Incarnation
	body, err := codec.Marshal(f)
	if err != nil {
		r.log.Error(err, "message cannot be encoded", "to", to)
		return
	}
	r.cfg.Dispatcher.peers.Send(to, link.KindRaft, body)
}

func (r *Replica) sendMessages(msgs []raft.Message) {
	for i := range msgs {
		r.send(msgs[i].To.Instance, &frame{To: msgs[i].To.Incarnation, Msg: &msgs[i]})
	}
}

func (r *Replica) metricName(name string) string {
	return fmt.Sprintf("teaselpaddle_group_%s_total{group=%q}", name, r.cfg.Group)
}
