package replica

import (
	"context"

	"teaselpaddle.example/teaselpaddle/internal/raft"
)

// readRetryTicks is the time after which an unanswered read request is repeated.
const readRetryTicks = 3

// pendingRead is a read that waits until every entry that was committed at its
// start is applied.
type pendingRead struct {
	done chan error // capacity 1
}

// readRound is one read index request to the leader on behalf of several reads.
type readRound struct {
	reads     []*pendingRead
	sentTick  uint64 // when the request was sent
	readIndex uint64 // index to be applied before the reads complete; 0 until the leader answers
}

func (round *readRound) complete(err error) {
	for _, r := range round.reads {
		r.done <- err
	}
}

// ReadIndex implements Group. It works on every member and, if there is no leader,
// waits for one until ctx ends.
func (r *Replica) ReadIndex(ctx context.Context) error {
	rd := &pendingRead{done: make(chan error, 1)}
	select {
	case r.reads <- rd:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return &StoppedError{Group: r.cfg.Group}
	}
	select {
	case err := <-rd.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// queueReads adds the queued reads to those that the next round serves, and starts it
// unless a round is unanswered. Each round takes a heartbeat to every member and its
// answer, so that their number must not grow with that of the reads.
func (r *Replica) queueReads(first *pendingRead) {
	r.waitingReads = append(r.waitingReads, first)
	for range maxBatch {
		select {
		case rd := <-r.reads:
			r.waitingReads = append(r.waitingReads, rd)
			continue
		default:
		}
		break
	}
	r.startNextReadRound()
}

// startNextReadRound starts a round for the waiting reads unless one is unanswered.
func (r *Replica) startNextReadRound() {
	if len(r.waitingReads) == 0 {
		return
	}
	for _, round := range r.readRounds {
		if round.readIndex == 0 {
			return
		}
	}
	reads := r.waitingReads
	r.waitingReads = nil
	r.startReadRound(reads)
}

// startReadRound sends a read index request to the leader. If it cannot be
// answered now, tickReads repeats it.
func (r *Replica) startReadRound(reads []*pendingRead) {
	r.lastReadSeq++
	r.readRounds[r.lastReadSeq] = &readRound{reads: reads, sentTick: r.ticks}
	if r.node != nil {
		_ = r.node.ReadIndex(r.lastReadSeq)
	}
}

// tickReads repeats unanswered requests. It also starts a round for the member
// itself until it has caught up after its start.
func (r *Replica) tickReads() {
	for seq, round := range r.readRounds {
		if round.readIndex == 0 && r.ticks-round.sentTick >= readRetryTicks {
			delete(r.readRounds, seq)
			r.startReadRound(round.reads)
		}
	}
	if r.caughtUp {
		return
	}
	if r.catchUpRead == nil {
		if !r.node.Status().Leader.IsZero() {
			r.catchUpRead = &pendingRead{done: make(chan error, 1)}
			r.startReadRound([]*pendingRead{r.catchUpRead})
		}
		return
	}
	select {
	case err := <-r.catchUpRead.done:
		r.caughtUp = err == nil
		r.catchUpRead = nil
	default:
	}
}

// finishReads records the answers of the leader and completes the reads whose
// index is applied.
func (r *Replica) finishReads(states []raft.ReadState) {
	if len(r.readRounds) == 0 {
		return
	}
	applied := r.node.Status().Applied
	for _, s := range states {
		round := r.readRounds[s.Seq]
		if round == nil {
			continue
		}
		round.readIndex = s.Index
	}
	for seq, round := range r.readRounds {
		if round.readIndex > 0 && round.readIndex <= applied {
			delete(r.readRounds, seq)
			round.complete(nil)
		}
	}
	r.startNextReadRound()
}
