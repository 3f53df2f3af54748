package replica

import (
	"context"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/raft"
)

// durableLag is the time for which the durable index may stay behind the commit
// index while the group still counts as durable. It is longer than a slow sync.
const durableLag = 2 * time.Second

// durableWait waits until an index is durable in a term.
type durableWait struct {
	index uint64
	term  uint64
	done  chan error // has room for one
}

// WaitDurable implements Group.
func (r *Replica) WaitDurable(ctx context.Context) error {
	w := &durableWait{done: make(chan error, 1)}
	select {
	case r.durables <- w:
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

// startDurable begins a wait for what is applied now.
func (r *Replica) startDurable(w *durableWait) {
	if r.node == nil {
		w.done <- &NotLeaderError{}
		return
	}
	st := r.node.Status()
	w.index = st.Applied
	w.term = st.Term
	r.waits = append(r.waits, w)
}

// finishDurable ends the waits that are decided. Waits whose callers have gone
// end with the leadership at the latest.
func (r *Replica) finishDurable(n *raft.Status) {
	kept := r.waits[:0]
	for _, w := range r.waits {
		switch {
		case n == nil || !n.Leads || n.Term != w.term:
			w.done <- &NotLeaderError{}
		case !n.Membership.HasDisk() || n.Durable >= w.index:
			w.done <- nil
		default:
			kept = append(kept, w)
		}
	}
	clear(r.waits[len(kept):])
	r.waits = kept
}

// keepsUp reports whether the voters with a disk keep up with the log.
func (r *Replica) keepsUp(n *raft.Status, now time.Time) bool {
	if !n.Leads || !n.Membership.HasDisk() {
		return false
	}
	if n.Durable >= n.Commit {
		r.durableAt = now
	}
	return now.Sub(r.durableAt) < durableLag
}
