package replica

import (
	"context"

	"teaselpaddle.example/teaselpaddle/internal/raft"
)

// readRetryTicks is the time after which an unanswered read is asked again.
const readRetryTicks = 3

// read waits until everything committed when it was asked for is applied.
type read struct {
	done chan error // has room for one
}

// round is one question to the leader on behalf of several reads.
type round struct {
	reads []*read
	tick  uint64 // when it was asked
	index uint64 // to be applied; 0 until the answer
}

func (rd *round) end(err error) {
	for _, r := range rd.reads {
		r.done <- err
	}
}

// ReadIndex implements Group. It works on every member and waits for a leader
// until ctx ends.
func (r *Replica) ReadIndex(ctx context.Context) error {
	rd := &read{done: make(chan error, 1)}
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

// startReads asks once for all reads that wait.
func (r *Replica) startReads(first *read) {
	reads := []*read{first}
	for len(reads) < maxBatch {
		select {
		case rd := <-r.reads:
			reads = append(reads, rd)
			continue
		default:
		}
		break
	}
	r.ask(reads)
}

// ask sends a question. If it cannot be answered now, tickReads asks again.
func (r *Replica) ask(reads []*read) {
	r.nextRead++
	r.rounds[r.nextRead] = &round{reads: reads, tick: r.ticks}
	if r.node != nil {
		_ = r.node.ReadIndex(r.nextRead)
	}
}

// tickReads repeats questions without an answer, and asks on behalf of the
// member itself until it has caught up after its start.
func (r *Replica) tickReads() {
	for seq, rnd := range r.rounds {
		if rnd.index == 0 && r.ticks-rnd.tick >= readRetryTicks {
			delete(r.rounds, seq)
			r.ask(rnd.reads)
		}
	}
	if r.caughtUp {
		return
	}
	if r.startRead == nil {
		if !r.node.Status().Leader.IsZero() {
			r.startRead = &read{done: make(chan error, 1)}
			r.ask([]*read{r.startRead})
		}
		return
	}
	select {
	case err := <-r.startRead.done:
		r.caughtUp = err == nil
		r.startRead = nil
	default:
	}
}

// finishReads notes the answers and ends the reads whose index is applied.
func (r *Replica) finishReads(states []raft.ReadState) {
	if len(r.rounds) == 0 {
		return
	}
	applied := r.node.Status().Applied
	for _, s := range states {
		rnd := r.rounds[s.Seq]
		if rnd == nil {
			continue
		}
		rnd.index = s.Index
	}
	for seq, rnd := range r.rounds {
		if rnd.index > 0 && rnd.index <= applied {
			delete(r.rounds, seq)
			rnd.end(nil)
		}
	}
}
