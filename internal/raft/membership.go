package raft

import "slices"

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of changes.
const (
	ChangeAdd     ChangeKind = iota // a learner of a new instance becomes a voter
	ChangeReplace                   // a learner takes the place of its dead predecessor
	ChangeRemove                    // a voter leaves
)

// Change is a membership change.
type Change struct {
	Kind   ChangeKind
	Member ID
}

// onJoin makes a member a learner. It proves that any other incarnation of its
// instance is dead.
func (n *Node) onJoin(m Message) {
	if n.role != leader || n.config().has(m.From) || n.peers[m.From] != nil {
		return
	}
	for id, p := range n.peers {
		if p.learner && id.Instance == m.From.Instance {
			delete(n.peers, id)
		}
	}
	n.peers[m.From] = &progress{
		learner: true, disk: m.Disk, active: true, probing: true,
		next: n.log.last() + 1, joinSeq: n.seq + 1,
	}
	n.sendAppend(m.From, false)
}

// caughtUp reports whether a learner holds every acknowledged entry and has
// answered a heartbeat since it joined. The latter shows that the request to
// join was not a late message of an incarnation that is itself dead.
func (n *Node) caughtUp(p *progress) bool {
	return p.match >= max(n.commit, 1) && p.ackSeq >= p.joinSeq
}

// ProposeMembership appends a membership change. It is in force at once, jointly
// with the membership before. It returns *NotLeaderError, *NotReadyError or
// *ChangeError if nothing was appended.
func (n *Node) ProposeMembership(c Change) error {
	if n.role != leader || !n.transferee.IsZero() {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.quorum == 0 {
		return &NotReadyError{}
	}
	if n.pendingChange() != 0 {
		return &ChangeError{Member: c.Member, Reason: ChangePending}
	}
	next, reason := n.changed(c)
	if reason != "" {
		return &ChangeError{Member: c.Member, Reason: reason}
	}
	n.appendEntry(Entry{Kind: EntryMembership, Membership: next})
	n.syncPeers()
	n.broadcast()
	return nil
}

// changed returns the membership after a change, or why it is refused.
func (n *Node) changed(c Change) (*Membership, ChangeReason) {
	cur := n.config().cur
	next := &Membership{Voters: slices.Clone(cur.Voters)}
	if c.Kind == ChangeRemove {
		next.Voters = slices.DeleteFunc(next.Voters, func(v Member) bool { return v.ID == c.Member })
		if len(next.Voters) == len(cur.Voters) {
			return nil, ChangeNotMember
		}
		if len(next.Voters) == 0 {
			return nil, ChangeLast
		}
		return next, ""
	}
	p := n.peers[c.Member]
	if p == nil || !p.learner {
		return nil, ChangeNotLearner
	}
	if !n.caughtUp(p) {
		return nil, ChangeNotCaughtUp
	}
	m := Member{ID: c.Member, Disk: p.disk}
	prev := next.Instance(c.Member.Instance)
	if c.Kind == ChangeAdd {
		if prev != nil {
			return nil, ChangeIsVoter
		}
		next.Voters = append(next.Voters, m)
		return next, ""
	}
	if prev == nil {
		return nil, ChangeNotMember
	}
	if prev.Disk != m.Disk {
		return nil, ChangeDisk
	}
	*prev = m
	return next, ""
}

// TransferLeader hands the leadership to a voter; with a zero id, to the one
// that holds most of the log. It returns *NotLeaderError if this member does not
// lead or there is no other voter.
func (n *Node) TransferLeader(to ID) error {
	if n.role != leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if to.IsZero() {
		to = n.MostComplete()
	}
	if p := n.peers[to]; p == nil || p.learner {
		return &NotLeaderError{Leader: n.leader}
	}
	n.transferee = to
	n.sinceTransfer = 0
	n.sendAppend(to, false)
	n.maybeTransfer(to)
	return nil
}

// MostComplete returns the other voter that holds most of the log and was heard
// lately; zero if this member does not lead.
func (n *Node) MostComplete() ID {
	best := ID{}
	for _, v := range n.config().cur.Voters {
		p := n.peers[v.ID]
		if p != nil && p.silent == 0 && (best.IsZero() || p.match > n.peers[best].match) {
			best = v.ID
		}
	}
	return best
}

// maybeTransfer tells the next leader to start once it holds the whole log.
func (n *Node) maybeTransfer(id ID) {
	if id == n.transferee && n.peers[id].match == n.log.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: id})
	}
}

// tickTransfer gives up on a transfer after an election timeout.
func (n *Node) tickTransfer() {
	if n.transferee.IsZero() {
		return
	}
	n.sinceTransfer++
	if n.sinceTransfer >= n.cfg.ElectionTicks {
		n.transferee = ID{}
	}
}

// SilentElections returns the number of election timeouts for which a voter has
// not answered this leader; 0 on other members.
func (n *Node) SilentElections(id ID) int {
	if p := n.peers[id]; n.role == leader && p != nil {
		return p.silent
	}
	return 0
}
