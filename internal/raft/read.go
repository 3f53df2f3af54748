package raft

// pendingRead is a read that waits for a heartbeat round, which shows that this
// member was still the leader after the read was requested.
type pendingRead struct {
	from         ID
	readSeq      uint64
	index        uint64
	heartbeatSeq uint64
}

// ReadIndex requests the index that must be applied before a linearizable read.
// The result is returned in Ready.Reads with the same seq. Messages to and from
// the leader may be lost; the caller must retry. It returns *NotLeaderError if no
// leader is known and *NotReadyError if this member leads and cannot answer yet.
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

func (n *Node) addRead(from ID, readSeq uint64) {
	n.pendingReads = append(n.pendingReads, pendingRead{from: from, readSeq: readSeq, index: n.commit, heartbeatSeq: n.heartbeatSeq + 1})
	n.heartbeat()
	n.releaseReads()
}

// releaseReads completes the reads whose heartbeat round was answered by a quorum.
func (n *Node) releaseReads() {
	if len(n.pendingReads) == 0 {
		return
	}
	acknowledged := n.activeMembership().quorumValue(func(id ID) uint64 {
		if id == n.id {
			return n.heartbeatSeq
		}
		if p := n.peers[id]; p != nil {
			return p.ackSeq
		}
		return 0
	})
	for len(n.pendingReads) > 0 && n.pendingReads[0].heartbeatSeq <= acknowledged {
		r := n.pendingReads[0]
		n.pendingReads = n.pendingReads[1:]
		if r.from == n.id {
			n.readStates = append(n.readStates, ReadState{Seq: r.readSeq, Index: r.index})
			continue
		}
		n.send(Message{Kind: MsgReadIndexResp, To: r.from, Seq: r.readSeq, Index: r.index})
	}
}
