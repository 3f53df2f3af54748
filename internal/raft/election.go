package raft

// electionTimeout begins an election, or the next kind of election if the last
// one brought no leader.
func (n *Node) electionTimeout() {
	if n.role == preCandidate && n.recoverable() {
		n.startRecovery()
		return
	}
	n.preCampaign()
}

// preCampaign asks whether an election could be won, without raising the term.
// So a member that returns after a partition does not depose a live leader.
func (n *Node) preCampaign() {
	n.role = preCandidate
	n.leader = ID{}
	n.resetTimeout()
	n.electionsBegun++
	n.votes = map[ID]bool{n.id: true}
	if n.won() {
		n.campaign(false)
		return
	}
	if n.recoverable() {
		n.startRecovery()
		return
	}
	n.askVotes(Message{Kind: MsgPreVote, Term: n.term + 1})
}

// campaign begins an election in the next term.
func (n *Node) campaign(force bool) {
	n.becomeFollower(n.term+1, ID{})
	n.role = candidate
	n.vote = n.id
	n.votes = map[ID]bool{n.id: true}
	if n.won() {
		n.becomeLeader()
		return
	}
	n.askVotes(Message{Kind: MsgVote, Force: force})
}

func (n *Node) askVotes(m Message) {
	m.Index = n.log.last()
	m.LogTerm = n.log.lastTerm()
	for _, v := range n.config().voters() {
		if v.ID != n.id {
			m.To = v.ID
			n.send(m)
		}
	}
}

func (n *Node) won() bool { return n.config().majority(func(id ID) bool { return n.votes[id] }) }

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

// becomeLeader appends the first entry of the term. After a recovery election
// that is the membership of the survivors.
func (n *Node) becomeLeader() {
	first := Entry{Kind: EntryNoop}
	if n.role == recoverer {
		first = Entry{Kind: EntryRecovery, Membership: n.survivors()}
		n.rec.won++
	}
	n.role = leader
	n.leader = n.id
	n.peers = map[ID]*progress{}
	n.quorum = 0
	n.durable = 0
	n.sinceBeat = 0
	n.sinceCheck = 0
	n.pendingReads = nil
	n.transferee = ID{}
	n.appendEntry(first)
	n.syncPeers()
	n.broadcast()
}

// hasLiveLeader reports whether the leader was heard within the shortest
// election timeout. Vote requests are ignored then: a live leader that is
// connected to a quorum must not lose its term to a member that is not.
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
			// Two members that time out together would split the votes.
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
	if n.won() {
		n.campaign(false)
	}
}

// onVote grants at most one candidate per term. Members that do not know
// themselves to be voters grant too: the candidate counts by its own
// membership, which may be newer.
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
	if n.won() {
		n.becomeLeader()
	}
}

// tickLeader sends heartbeats, steps down without a quorum and drops learners
// that are silent.
func (n *Node) tickLeader() {
	n.sinceBeat++
	n.sinceCheck++
	n.tickTransfer()
	if n.sinceCheck >= n.cfg.ElectionTicks {
		n.sinceCheck = 0
		if !n.checkQuorum() {
			n.becomeFollower(n.term, ID{})
			return
		}
	}
	if n.sinceBeat >= n.cfg.HeartbeatTicks {
		n.heartbeat()
	}
}

// checkQuorum reports whether a quorum was heard since the last check.
func (n *Node) checkQuorum() bool {
	ok := n.config().majority(func(id ID) bool { return id == n.id || n.peers[id] != nil && n.peers[id].active })
	for id, p := range n.peers {
		if p.active {
			p.silent = 0
		} else {
			p.silent++
		}
		p.active = false
		if p.learner && p.silent > learnerExpiryFactor {
			delete(n.peers, id)
		}
	}
	return ok
}
