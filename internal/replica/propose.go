package replica

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/raft"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// NotProposedError says that an entry was not proposed, so it is never applied.
type NotProposedError struct{ Cause error }

func (e *NotProposedError) Error() string { return "entry was not proposed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotProposedError) Unwrap() error { return e.Cause }

// StoppedError says that the member has been stopped.
type StoppedError struct{ Group string }

func (e *StoppedError) Error() string { return fmt.Sprintf("member of group %q has stopped", e.Group) }

// SnapshotError says that a snapshot took the place of an entry, so its result
// is not known here.
type SnapshotError struct{ Index uint64 }

func (e *SnapshotError) Error() string {
	return fmt.Sprintf("entry %d was replaced by a snapshot", e.Index)
}

// outcome is the end of a proposal.
type outcome struct {
	result any
	err    error
}

type proposal struct {
	entry []byte
	term  uint64
	done  chan outcome // has room for one
}

func (p *proposal) end(result any, err error) { p.done <- outcome{result: result, err: err} }

// Propose implements Group. It also returns *NotProposedError if ctx ended or
// the member stopped before the entry was proposed, or if too many entries wait.
// *NotLeaderError is also returned for an entry whose place in the log another
// leader's entry has taken: it was not applied and never will be.
func (r *Replica) Propose(ctx context.Context, entry []byte) (any, error) {
	p := &proposal{entry: entry, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, &NotProposedError{Cause: ctx.Err()}
	case <-r.done:
		return nil, &NotProposedError{Cause: &StoppedError{Group: r.cfg.Group}}
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, &UncertainError{Cause: ctx.Err()}
	}
}

// propose appends an entry together with the others that wait.
func (r *Replica) propose(p *proposal) {
	batch := []*proposal{p}
	data := [][]byte{p.entry}
	for len(batch) < maxBatch {
		select {
		case p = <-r.proposals:
			batch = append(batch, p)
			data = append(data, p.entry)
			continue
		default:
		}
		break
	}
	var first, term uint64
	var err error = &raft.NotLeaderError{}
	if r.node != nil {
		first, term, err = r.node.Propose(data...)
	}
	for i, p := range batch {
		if err != nil {
			p.end(nil, r.notProposed(err))
			continue
		}
		p.term = term
		r.pending[first+uint64(i)] = p
	}
}

// notProposed tells a caller why the core has appended nothing.
func (r *Replica) notProposed(err error) error {
	var busy *raft.BusyError
	if errors.As(err, &busy) {
		telemetry.Count(r.metric("busy"))
		return &NotProposedError{Cause: err}
	}
	var nl *raft.NotLeaderError
	if errors.As(err, &nl) && nl.Leader != r.id {
		return &NotLeaderError{Leader: nl.Leader.Instance}
	}
	return &NotLeaderError{}
}

// applyAll applies a snapshot and committed entries. It returns false if the
// member had to stop.
func (r *Replica) applyAll(rd *raft.Ready) bool {
	if rd.Snapshot != nil {
		if err := r.restore(rd.Snapshot); err != nil {
			r.applied = 0 // the state machine is in no defined state
			r.storeFailed(err)
			return false
		}
	}
	for i := range rd.Committed {
		r.apply(&rd.Committed[i])
	}
	return true
}

// restore takes over a snapshot. The fate of proposals that it covers is not
// known here.
func (r *Replica) restore(s *raft.Snapshot) error {
	data := s.Data
	if len(data) == 0 {
		data = r.initial
	}
	if err := r.cfg.Machine.Restore(data); err != nil {
		return errors.Trace(err)
	}
	for i, p := range r.pending {
		if i <= s.Index {
			delete(r.pending, i)
			p.end(nil, &UncertainError{Cause: &SnapshotError{Index: i}})
		}
	}
	return nil
}

// apply applies an entry and ends the proposal at its index. If another entry
// was committed there, the proposed one never will be: an entry is committed at
// its own index only.
func (r *Replica) apply(e *raft.Entry) {
	var result any
	if e.Kind == raft.EntryCommand {
		result = r.cfg.Machine.Apply(e.Index, e.Data)
	}
	p := r.pending[e.Index]
	if p == nil {
		return
	}
	delete(r.pending, e.Index)
	if p.term != e.Term {
		p.end(nil, &NotLeaderError{Leader: r.node.Status().Leader.Instance})
		return
	}
	p.end(result, nil)
}

// failAll ends everything that waits because the member stops.
func (r *Replica) failAll(cause error) {
	for i, p := range r.pending {
		delete(r.pending, i)
		p.end(nil, &UncertainError{Cause: cause})
	}
	for seq, rnd := range r.rounds {
		delete(r.rounds, seq)
		rnd.end(cause)
	}
	r.startRead = nil
	r.finishTransfers(true)
}

// Transfer implements Group. It returns once this member does not lead.
func (r *Replica) Transfer(ctx context.Context) error {
	ch := make(chan struct{})
	select {
	case r.transfers <- ch:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return nil
	}
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Replica) transfer(ch chan struct{}) {
	if r.node == nil || r.node.TransferLeader(raft.ID{}) != nil {
		close(ch)
		return
	}
	r.leaving = append(r.leaving, ch)
}

func (r *Replica) finishTransfers(done bool) {
	if !done {
		return
	}
	for _, ch := range r.leaving {
		close(ch)
	}
	r.leaving = nil
}
