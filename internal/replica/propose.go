package replica

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/raft"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// NotProposedError reports that an entry was not proposed, so it will never be
// applied.
type NotProposedError struct{ Cause error }

func (e *NotProposedError) Error() string { return "entry was not proposed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotProposedError) Unwrap() error { return e.Cause }

// StoppedError reports that the member has been stopped.
type StoppedError struct{ Group string }

func (e *StoppedError) Error() string { return fmt.Sprintf("member of group %q has stopped", e.Group) }

// SnapshotError reports that a snapshot from the leader replaced an entry before
// it was applied here, so its result is unknown.
type SnapshotError struct{ Index uint64 }

func (e *SnapshotError) Error() string {
	return fmt.Sprintf("entry %d was replaced by a snapshot", e.Index)
}

// outcome is the result of a proposal.
type outcome struct {
	result any
	err    error
}

// proposal is an entry to replicate on behalf of a waiting caller.
type proposal struct {
	entry []byte
	term  uint64
	done  chan outcome // capacity 1
}

func (p *proposal) complete(result any, err error) { p.done <- outcome{result: result, err: err} }

// Propose implements Group. It also returns *NotProposedError if ctx ended or
// the member stopped before the entry was proposed, or if too many entries are
// uncommitted. *NotLeaderError is also returned for an entry that another leader
// has overwritten in the log: it has not been applied and never will be.
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

// propose appends an entry together with the other queued ones.
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
		if err = r.checkCommitDelay(); err == nil {
			first, term, err = r.node.Propose(data...)
		}
	}
	if err == nil {
		r.appendedAt = append(r.appendedAt, appendTime{last: first + uint64(len(batch)) - 1, tick: r.ticks})
	}
	for i, p := range batch {
		if err != nil {
			p.complete(nil, r.proposeError(err))
			continue
		}
		p.term = term
		r.pending[first+uint64(i)] = p
	}
}

// appendTime is the time of the append of the entries up to an index.
type appendTime struct{ last, tick uint64 }

// SlowCommitError reports that nothing was proposed because entries wait for their commit
// for longer than a new one could wait.
type SlowCommitError struct{ Ticks uint64 }

func (e *SlowCommitError) Error() string {
	return fmt.Sprintf("the oldest entry has not been committed for %d ticks", e.Ticks)
}

// checkCommitDelay returns *SlowCommitError if the oldest entry proposed here has been
// waiting for an election timeout. The proposer of a new entry would give up before its
// commit and propose it again, and the log would fill with entries that nobody waits for.
func (r *Replica) checkCommitDelay() error {
	if waited := r.oldestWaitTicks(); waited > uint64(r.cfg.ElectionTicks) {
		return &SlowCommitError{Ticks: waited}
	}
	return nil
}

// oldestWaitTicks returns the time since the oldest entry proposed here that is not
// applied, in ticks; 0 if there is none.
func (r *Replica) oldestWaitTicks() uint64 {
	for len(r.appendedAt) > 0 && r.appendedAt[0].last <= r.applied {
		r.appendedAt = r.appendedAt[1:]
	}
	if len(r.appendedAt) == 0 {
		return 0
	}
	return r.ticks - r.appendedAt[0].tick
}

// proposeError converts an error of the core, which has appended nothing, to the
// error that the caller of Propose gets.
func (r *Replica) proposeError(err error) error {
	var busy *raft.BusyError
	var slow *SlowCommitError
	switch {
	case errors.As(err, &busy):
		telemetry.Count(r.metricName("busy"))
		return &NotProposedError{Cause: err}
	case errors.As(err, &slow):
		telemetry.Count(r.metricName("slow_commit"))
		return &NotProposedError{Cause: err}
	}
	var nl *raft.NotLeaderError
	if errors.As(err, &nl) && nl.Leader != r.id {
		return &NotLeaderError{Leader: nl.Leader.Instance}
	}
	return &NotLeaderError{}
}

// applyReady applies the snapshot and the committed entries of a Ready. It returns
// false if the snapshot could not be restored, which stops the member.
func (r *Replica) applyReady(rd *raft.Ready) bool {
	if rd.Snapshot != nil {
		if err := r.installSnapshot(rd.Snapshot); err != nil {
			r.applied = 0 // the state machine is in an undefined state
			r.storeFailed(err)
			return false
		}
	}
	for i := range rd.Committed {
		r.applyEntry(&rd.Committed[i])
	}
	return true
}

// installSnapshot restores the state machine from a snapshot. The outcome of
// pending proposals that it covers is unknown on this member.
func (r *Replica) installSnapshot(s *raft.Snapshot) error {
	data := s.Data
	if len(data) == 0 {
		data = r.emptySnapshot
	}
	if err := r.cfg.Machine.Restore(data); err != nil {
		return errors.Trace(err)
	}
	for i, p := range r.pending {
		if i <= s.Index {
			delete(r.pending, i)
			p.complete(nil, &UncertainError{Cause: &SnapshotError{Index: i}})
		}
	}
	return nil
}

// applyEntry applies a committed entry and completes the proposal at its index. If
// the terms differ, another entry was committed at the index of the proposed one,
// which can therefore never be committed.
func (r *Replica) applyEntry(e *raft.Entry) {
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
		p.complete(nil, &NotLeaderError{Leader: r.node.Status().Leader.Instance})
		return
	}
	p.complete(result, nil)
}

// failPending fails all pending proposals and reads and ends the transfers,
// because the member stops.
func (r *Replica) failPending(cause error) {
	for i, p := range r.pending {
		delete(r.pending, i)
		p.complete(nil, &UncertainError{Cause: cause})
	}
	for seq, round := range r.readRounds {
		delete(r.readRounds, seq)
		round.complete(cause)
	}
	(&readRound{reads: r.waitingReads}).complete(cause)
	r.waitingReads = nil
	r.appendedAt = nil
	r.catchUpRead = nil
	r.finishTransfers(true)
}

// Transfer implements Group. It returns once this member is not the leader.
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
	r.pendingTransfers = append(r.pendingTransfers, ch)
}

// finishTransfers ends the pending transfers if done is true.
func (r *Replica) finishTransfers(done bool) {
	if !done {
		return
	}
	for _, ch := range r.pendingTransfers {
		close(ch)
	}
	r.pendingTransfers = nil
}
