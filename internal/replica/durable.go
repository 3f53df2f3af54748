package replica

import (
	"context"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/raft"
)

// durableLag is the time for which the durable index may lag behind the commit
// index while the group still counts as durable. It exceeds a slow sync.
const durableLag = 2 * time.Second

// durableWait is a call of WaitDurable that waits until an index is durable in a
// term.
type durableWait struct {
	index uint64
	term  uint64
	done  chan error // capacity 1
}

// WaitDurable implements Group.
func (r *Replica) WaitDurable(ctx context.Context) error {
	w := &durableWait{done: make(chan error, 1)}
	select {
	case r.durableRequests <- w:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return &StoppedError{Group: r.cfg.Group}
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startDurableWait registers a wait for the entries applied so far.
func (r *Replica) startDurableWait(w *durableWait) {
	if r.node == nil {
		w.done <- &NotLeaderError{}
		return
	}
	st := r.node.Status()
	w.index = st.Applied
	w.term = st.Term
	r.durableWaits = append(r.durableWaits, w)
}

// resolveDurableWaits completes the waits whose index is durable and fails those
// whose term of leadership is over; n is nil if the member has stopped. A wait
// whose caller has given up is removed in the same way.
func (r *Replica) resolveDurableWaits(n *raft.Status) {
	kept := r.durableWaits[:0]
	for _, w := range r.durableWaits {
		switch {
		case n == nil || !n.Leads || n.Term != w.term:
			w.done <- &NotLeaderError{}
		case !n.Membership.HasDisk() || n.Durable >= w.index:
			w.done <- nil
		default:
			kept = append(kept, w)
		}
	}
	clear(r.durableWaits[len(kept):])
	r.durableWaits = kept
}

// diskVotersKeepUp reports whether a majority of the voters with a disk keeps up
// with the log.
func (r *Replica) diskVotersKeepUp(n *raft.Status, now time.Time) bool {
	if !n.Leads || !n.Membership.HasDisk() {
		return false
	}
	if n.Durable >= n.Commit {
		r.durableCaughtUpAt = now
	}
	return now.Sub(r.durableCaughtUpAt) < durableLag
}
