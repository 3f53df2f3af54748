package raft

// onElectionTimeout begins a normal election, or a recovery election if the
// pre-vote failed and a quorum is known to be lost.
func (n *Node) onElectionTimeout() {
	if n.role == preCandidate && n.recoveryDue() {
		n.startRecovery()
		return
	}
	n.preCampaign()
}

// preCampaign requests pre-votes, which show whether an election could be won,
// without raising the term. So a member that returns after a partition does not
// depose a live leader.
func (n *Node) preCampaign() {
	n.role = preCandidate
	n.leader = ID{}
	n.resetTimeout()
	n.useStartupTimeout()
	n.electionsBegun++
	n.votes = map[ID]bool{n.id: true}
	if n.wonElection() {
		n.campaign(false)
		return
	}
	if n.recoveryDue() {
		n.startRecovery()
		return
	}
	n.requestVotes(Message{Kind: MsgPreVote, Term: n.term + 1})
}

// campaign begins an election in the next term. With force, voters grant their
// vote even if they consider the leader alive.
func (n *Node) campaign(force bool) {
	n.becomeFollower(n.term+1, ID{})
	n.role = candidate
	n.vote = n.id
	n.votes = map[ID]bool{n.id: true}
	if n.wonElection() {
		n.becomeLeader()
		return
	}
	n.requestVotes(Message{Kind: MsgVote, Force: force})
}

func (n *Node) requestVotes(m Message) {
	m.Index = n.log.last()
	m.LogTerm = n.log.lastTerm()
	for _, v := range n.activeMembership().voters() {
		if v.ID != n.id {
			m.To = v.ID
			n.send(m)
		}
	}
}

// wonElection reports whether a quorum has granted its votes.
func (n *Node) wonElection() bool {
	return n.activeMembership().hasQuorum(func(id ID) bool { return n.votes[id] })
}

func (n *Node) becomeFollower(term uint64, lead ID) {
	if term > n.term {
		n.term = term
		n.vote = ID{}
	}
	n.role = follower
	n.leader = lead
	n.peers = nil
	n.pendingReads = nil
	n.transferee = ID{}
	n.resetTimeout()
}

// becomeLeader takes the leadership and appends the first entry of the term. After
// a recovery election that entry is the membership of the survivors.
func (n *Node) becomeLeader() {
	first := Entry{Kind: EntryNoop}
	if n.role == recoveryCandidate {
		first = Entry{Kind: EntryRecovery, Membership: n.survivors()}
		n.recovery.wins++
	}
	n.role = leader
	n.leader = n.id
	n.peers = map[ID]*progress{}
	n.quorumIndex = 0
	n.durable = 0
	n.commitAtTick = n.commit
	n.sinceCommit = 0
	n.sinceHeartbeat = 0
	n.sinceQuorumCheck = 0
	n.pendingReads = nil
	n.transferee = ID{}
	n.appendEntry(first)
	n.syncPeers()
	n.broadcast()
}

// hasLiveLeader reports whether a message of the leader arrived within
// ElectionTicks, or this member leads. Vote requests are ignored then: a live
// leader that is connected to a quorum must not be deposed by a member that is
// not.
func (n *Node) hasLiveLeader() bool {
	return n.role == leader || !n.leader.IsZero() && n.elapsed < n.cfg.ElectionTicks
}

// onPreVote answers whether a vote would be granted. It changes no state.
func (n *Node) onPreVote(m Message) {
	if n.hasLiveLeader() {
		return
	}
	if m.Term > n.term && n.log.upToDate(m.Index, m.LogTerm) {
		if n.role == preCandidate && m.From.Instance < n.id.Instance {
			// Two members that time out together would split the votes, so the
			// one with the higher instance name yields.
			n.becomeFollower(n.term, ID{})
		}
		n.send(Message{Kind: MsgPreVoteResp, To: m.From, Term: m.Term})
		return
	}
	n.send(Message{Kind: MsgPreVoteResp, To: m.From, Reject: true})
}

func (n *Node) onPreVoteResp(m Message) {
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, ID{})
		}
		return
	}
	if n.role != preCandidate || m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	if n.wonElection() {
		n.campaign(false)
	}
}

// onVote grants the vote to at most one candidate per term. Members that are not
// voters by their own log grant votes too: the candidate counts the votes by its
// own membership, which may be newer.
func (n *Node) onVote(m Message) {
	ok := m.Term == n.term && (n.vote.IsZero() || n.vote == m.From) && n.log.upToDate(m.Index, m.LogTerm)
	if ok {
		n.vote = m.From
		n.resetTimeout()
	}
	n.send(Message{Kind: MsgVoteResp, To: m.From, Reject: !ok})
}

func (n *Node) onVoteResp(m Message) {
	if n.role != candidate || m.Reject || m.Term != n.term {
		return
	}
	n.votes[m.From] = true
	if n.wonElection() {
		n.becomeLeader()
	}
}

// tickLeader sends heartbeats and steps down if a quorum does not answer.
func (n *Node) tickLeader() {
	n.sinceHeartbeat++
	n.sinceQuorumCheck++
	for _, p := range n.peers {
		p.stalledTicks++
	}
	n.tickTransfer()
	if n.commitStalled() {
		n.becomeFollower(n.term, ID{})
		return
	}
	if n.sinceQuorumCheck >= n.cfg.ElectionTicks {
		n.sinceQuorumCheck = 0
		if !n.checkQuorum() {
			n.becomeFollower(n.term, ID{})
			return
		}
	}
	if n.sinceHeartbeat >= n.cfg.HeartbeatTicks {
		n.heartbeat()
	}
}

// commitStalled reports whether entries have been waiting for commitStallTimeouts
// election timeouts without any being committed, although a quorum answers.
func (n *Node) commitStalled() bool {
	if n.commit != n.commitAtTick || n.commit == n.log.last() {
		n.commitAtTick = n.commit
		n.sinceCommit = 0
		return false
	}
	n.sinceCommit++
	return n.sinceCommit >= commitStallTimeouts*n.cfg.ElectionTicks
}

// checkQuorum reports whether messages of a quorum arrived since the last check.
// It also drops the learners that have been silent for too long.
func (n *Node) checkQuorum() bool {
	ok := n.activeMembership().hasQuorum(func(id ID) bool { return id == n.id || n.peers[id] != nil && n.peers[id].recentlyActive })
	for id, p := range n.peers {
		if p.recentlyActive {
			p.silentChecks = 0
		} else {
			p.silentChecks++
		}
		p.recentlyActive = false
		if p.learner && p.silentChecks > learnerExpiryChecks {
			delete(n.peers, id)
		}
	}
	return ok
}
