package raft

// Step handles a message of another member.
func (n *Node) Step(m Message) {
	if m.From.Instance == n.id.Instance || n.log.dead[m.From.Instance] == m.From {
		return // a late message of a dead incarnation
	}
	if m.To.Incarnation != 0 && m.To != n.id {
		n.onMisaddressed(m)
		return
	}
	if n.stepAnyTerm(m) {
		return
	}
	if m.Term > n.term && !n.raiseTerm(m) {
		return
	}
	if m.Term < n.term {
		n.onOldTerm(m)
		return
	}
	n.stepTerm(m)
}

// onMisaddressed tells a candidate that the incarnation it asks is dead.
func (n *Node) onMisaddressed(m Message) {
	if m.Kind == MsgPreVote || m.Kind == MsgVote {
		n.send(Message{Kind: MsgIncarnation, To: m.From})
	}
}

// stepAnyTerm handles the messages whose term is not compared with the own. It
// reports whether it has handled m.
func (n *Node) stepAnyTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		n.onPreVote(m)
	case MsgPreVoteResp:
		n.onPreVoteResp(m)
	case MsgIncarnation:
		n.onIncarnation(m)
	case MsgRecovery:
		n.onRecovery(m)
	case MsgRecoveryResp:
		n.onRecoveryResp(m)
	case MsgJoin:
		n.onJoin(m)
	case MsgReadIndex:
		n.onReadIndex(m)
	case MsgReadIndexResp:
		n.readStates = append(n.readStates, ReadState{Seq: m.Seq, Index: m.Index})
	default:
		return false
	}
	return true
}

// raiseTerm adopts the higher term of a message. It returns false if the
// message is to be ignored.
func (n *Node) raiseTerm(m Message) bool {
	if m.Kind == MsgVote && !m.Force && n.hasLiveLeader() {
		return false
	}
	lead := ID{}
	if m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot {
		lead = m.From
	}
	n.becomeFollower(m.Term, lead)
	return true
}

// onOldTerm tells a leader of an earlier term that it is deposed.
func (n *Node) onOldTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Kind: MsgAppendResp, To: m.From, Reject: true, Index: n.log.last()})
	case MsgVote:
		n.send(Message{Kind: MsgVoteResp, To: m.From, Reject: true})
	}
}

// stepTerm handles a message of the current term.
func (n *Node) stepTerm(m Message) {
	switch m.Kind {
	case MsgAppend:
		n.follow(m.From)
		n.onAppend(m)
	case MsgHeartbeat:
		n.follow(m.From)
		n.onHeartbeat(m)
	case MsgSnapshot:
		n.follow(m.From)
		n.onSnapshot(m)
	case MsgAppendResp:
		n.onAppendResp(m)
	case MsgHeartbeatResp:
		n.onHeartbeatResp(m)
	case MsgSnapshotResp:
		n.onSnapshotResp(m)
	case MsgVote:
		n.onVote(m)
	case MsgVoteResp:
		n.onVoteResp(m)
	case MsgTimeoutNow:
		if n.config().has(n.id) && n.role != leader {
			n.campaign(true)
		}
	}
}

// follow accepts the leader of the current term.
func (n *Node) follow(lead ID) {
	if n.role == leader {
		n.fail("term %d has two leaders, %s and %s", n.term, n.id, lead)
	}
	n.role = follower
	n.leader = lead
	n.leaderless = 0
	n.resetTimeout()
}
