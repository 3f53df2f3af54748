package raft

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	from  ID
	index uint64
	term  uint64
	data  []byte
}

// onAppend adds a leader's entries. The acknowledgement is sent after they are
// stored.
func (n *Node) onAppend(m Message) {
	resp := Message{Kind: MsgAppendResp, To: m.From}
	if m.Index < n.commit {
		// Committed entries match the log of every later leader.
		resp.Index = n.commit
		n.send(resp)
		return
	}
	if m.Index > n.log.last() || n.log.term(m.Index) != m.LogTerm {
		resp.Reject = true
		resp.Index = n.log.conflictHint(m.Index, n.commit)
		n.send(resp)
		return
	}
	n.addEntries(m.Entries)
	resp.Index = m.Index + uint64(len(m.Entries))
	n.adoptCommit(m, resp.Index)
	n.send(resp)
}

// addEntries adds the entries that are not in the log yet and truncates the log
// before an entry that conflicts with it.
func (n *Node) addEntries(entries []Entry) {
	for _, e := range entries {
		if e.Index <= n.log.last() {
			if n.log.term(e.Index) == e.Term {
				continue
			}
			if e.Index <= n.commit || e.Index <= n.decided {
				n.panicf("entry %d is committed and conflicts with term %d", e.Index, e.Term)
			}
			n.log.truncate(e.Index)
		}
		n.log.add(e)
	}
}

// adoptCommit adopts the leader's commit index and decided index as far as the log
// is known to match the leader's, that is, up to match.
func (n *Node) adoptCommit(m Message, match uint64) {
	n.setCommit(min(m.Commit, match))
	if m.Decided <= match && m.Decided > n.decided {
		n.decided = m.Decided
	}
}

// setCommit raises the commit index. Membership entries up to it are decided.
func (n *Node) setCommit(i uint64) {
	if i <= n.commit {
		return
	}
	n.commit = i
	for _, c := range n.log.memberships {
		if c.index <= i {
			n.decided = max(n.decided, c.index)
		}
	}
}

// onHeartbeat answers a heartbeat. The leader limits Commit and Decided to what
// this member has acknowledged, so they need no further check.
func (n *Node) onHeartbeat(m Message) {
	n.adoptCommit(m, n.log.last())
	n.send(Message{Kind: MsgHeartbeatResp, To: m.From, Seq: m.Seq, Index: n.log.last()})
}

// onSnapshot collects the chunks of a snapshot and replaces the log by it once it
// is complete.
func (n *Node) onSnapshot(m Message) {
	if m.Index <= n.commit {
		n.send(Message{Kind: MsgAppendResp, To: m.From, Index: n.commit})
		return
	}
	in := &n.incomingSnapshot
	if in.from != m.From || in.index != m.Index || in.term != m.LogTerm {
		*in = incomingSnapshot{from: m.From, index: m.Index, term: m.LogTerm}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) < m.Total || m.Membership == nil {
		n.send(Message{Kind: MsgSnapshotResp, To: m.From, Index: m.Index, Offset: uint64(len(in.data))})
		return
	}
	n.log.restore(Snapshot{Index: m.Index, Term: m.LogTerm, Membership: *m.Membership, Data: in.data})
	n.incomingSnapshot = incomingSnapshot{}
	n.commit = m.Index
	n.decided = m.Index
	n.send(Message{Kind: MsgAppendResp, To: m.From, Index: m.Index})
}
