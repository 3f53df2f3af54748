package raft

// Step handles a message from another member.
func (n *Node) Step(m Message) {
	if m.From.Instance == n.id.Instance || n.log.deadVoters[m.From.Instance] == m.From {
		return // a delayed message of a dead incarnation
	}
	if m.To.Incarnation != 0 && m.To != n.id {
		n.onMisaddressed(m)
		return
	}
	if n.stepAnyTerm(m) {
		return
	}
	if m.Term > n.term && !n.adoptTerm(m) {
		return
	}
	if m.Term < n.term {
		n.onStaleTerm(m)
		return
	}
	n.stepTerm(m)
}

// onMisaddressed handles a message to another incarnation of this instance. It
// tells a candidate that the incarnation it requested the vote from is dead.
func (n *Node) onMisaddressed(m Message) {
	if m.Kind == MsgPreVote || m.Kind == MsgVote {
		n.send(Message{Kind: MsgSuperseded, To: m.From})
	}
}

// stepAnyTerm handles the messages whose term is not compared with the term of
// this member. It reports whether it has handled m.
func (n *Node) stepAnyTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		n.onPreVote(m)
	case MsgPreVoteResp:
		n.onPreVoteResp(m)
	case MsgSuperseded:
		n.onSuperseded(m)
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

// adoptTerm adopts the higher term of a message and becomes a follower. It
// returns false if the message is to be ignored.
func (n *Node) adoptTerm(m Message) bool {
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

// onStaleTerm rejects a message of an earlier term, so that a deposed leader or a
// candidate learns of the current term.
func (n *Node) onStaleTerm(m Message) {
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
		n.acceptLeader(m.From)
		n.onAppend(m)
	case MsgHeartbeat:
		n.acceptLeader(m.From)
		n.onHeartbeat(m)
	case MsgSnapshot:
		n.acceptLeader(m.From)
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
		if n.activeMembership().hasVoter(n.id) && n.role != leader {
			n.campaign(true)
		}
	}
}

// acceptLeader follows the leader of the current term and restarts the election
// timeout.
func (n *Node) acceptLeader(lead ID) {
	if n.role == leader {
		n.panicf("term %d has two leaders, %s and %s", n.term, n.id, lead)
	}
	n.role = follower
	n.leader = lead
	n.leaderlessTimeouts = 0
	n.startupTimeouts = 0
	n.resetTimeout()
}
