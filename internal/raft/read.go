package raft

// pendingRead waits for a heartbeat round that shows that this leader was still
// the leader after the read was asked for.
type pendingRead struct {
	from  ID
	id    uint64
	index uint64
	seq   uint64
}

// ReadIndex asks for the index that a read has to wait for. The answer comes in
// Ready.Reads with the same seq. It may get lost on the way to the leader; the
// caller asks again. It returns *NotLeaderError if no leader is known and
// *NotReadyError if this member leads and cannot answer yet.
func (n *Node) ReadIndex(seq uint64) error {
	if n.role == leader {
		if n.log.term(n.commit) != n.term {
			return &NotReadyError{}
		}
		n.addRead(n.id, seq)
		return nil
	}
	if n.leader.IsZero() {
		return &NotLeaderError{}
	}
	n.send(Message{Kind: MsgReadIndex, To: n.leader, Seq: seq})
	return nil
}

func (n *Node) onReadIndex(m Message) {
	if n.role == leader && n.log.term(n.commit) == n.term {
		n.addRead(m.From, m.Seq)
	}
}

func (n *Node) addRead(from ID, id uint64) {
	n.pendingReads = append(n.pendingReads, pendingRead{from: from, id: id, index: n.commit, seq: n.seq + 1})
	n.heartbeat()
	n.releaseReads()
}

// releaseReads answers the reads whose heartbeat round a quorum has answered.
func (n *Node) releaseReads() {
	if len(n.pendingReads) == 0 {
		return
	}
	seen := n.config().quorum(func(id ID) uint64 {
		if id == n.id {
			return n.seq
		}
		if p := n.peers[id]; p != nil {
			return p.ackSeq
		}
		return 0
	})
	for len(n.pendingReads) > 0 && n.pendingReads[0].seq <= seen {
		r := n.pendingReads[0]
		n.pendingReads = n.pendingReads[1:]
		if r.from == n.id {
			n.readStates = append(n.readStates, ReadState{Seq: r.id, Index: r.index})
			continue
		}
		n.send(Message{Kind: MsgReadIndexResp, To: r.from, Seq: r.id, Index: r.index})
	}
}
