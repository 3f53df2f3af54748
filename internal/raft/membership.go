package raft

import "slices"

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of changes.
const (
	ChangeAdd     ChangeKind = iota // a learner of a new instance becomes a voter
	ChangeReplace                   // a learner replaces its dead predecessor
	ChangeRemove                    // a voter is removed
	ChangeSwap                      // a learner of a new instance replaces a voter of another instance
)

// Change is a membership change.
type Change struct {
	Kind   ChangeKind
	Member ID
	Leaves ID // with ChangeSwap, the voter that leaves
}

// onJoin makes the sender a learner. Its message proves that every other
// incarnation of its instance is dead, so a learner of such an incarnation is
// dropped.
func (n *Node) onJoin(m Message) {
	if n.role != leader || n.activeMembership().hasVoter(m.From) || n.peers[m.From] != nil {
		return
	}
	for id, p := range n.peers {
		if p.learner && id.Instance == m.From.Instance {
			delete(n.peers, id)
		}
	}
	n.peers[m.From] = &progress{
		learner: true, disk: m.Disk, recentlyActive: true, probing: true,
		next: n.log.last() + 1, joinSeq: n.heartbeatSeq + 1, resendTicks: n.cfg.HeartbeatTicks,
	}
	n.sendAppend(m.From, false)
}

// caughtUp reports whether a learner holds every acknowledged entry and has
// answered a heartbeat that was sent after it joined. The latter shows that the
// request to join was not a delayed message of an incarnation that is itself dead.
func (n *Node) caughtUp(p *progress) bool {
	return p.match >= max(n.commit, 1) && p.ackSeq >= p.joinSeq
}

// ProposeMembership appends a membership change. The new membership is in force at
// once, jointly with the previous one. It returns *NotLeaderError, *NotReadyError
// or *ChangeError if nothing was appended.
func (n *Node) ProposeMembership(c Change) error {
	if n.role != leader || !n.transferee.IsZero() {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.quorumIndex == 0 {
		return &NotReadyError{}
	}
	if n.pendingChange() != 0 {
		return &ChangeError{Member: c.Member, Reason: ChangePending}
	}
	next, reason := n.membershipAfter(c)
	if reason != "" {
		return &ChangeError{Member: c.Member, Reason: reason}
	}
	n.appendEntry(Entry{Kind: EntryMembership, Membership: next})
	n.syncPeers()
	n.broadcast()
	return nil
}

// membershipAfter returns the membership after a change, or the reason to refuse
// the change.
func (n *Node) membershipAfter(c Change) (*Membership, ChangeReason) {
	current := n.activeMembership().current
	next := &Membership{Voters: slices.Clone(current.Voters)}
	leaves := c.Leaves
	if c.Kind == ChangeRemove {
		leaves = c.Member
	}
	if !leaves.IsZero() {
		next.Voters = slices.DeleteFunc(next.Voters, func(v Member) bool { return v.ID == leaves })
		if len(next.Voters) == len(current.Voters) {
			return nil, ChangeNotMember
		}
	}
	if c.Kind == ChangeRemove {
		if len(next.Voters) == 0 {
			return nil, ChangeLastVoter
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
	prev := next.VoterOf(c.Member.Instance)
	if c.Kind == ChangeAdd || c.Kind == ChangeSwap {
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
		return nil, ChangeDiskMismatch
	}
	*prev = m
	return next, ""
}

// TransferLeader transfers the leadership to a voter; with a zero id, to the one
// that holds most of the log. It returns *NotLeaderError if this member is not the
// leader or there is no such voter.
func (n *Node) TransferLeader(to ID) error {
	if n.role != leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if to.IsZero() {
		to = n.MostCompleteVoter()
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

// MostCompleteVoter returns the other voter that holds most of the log, among those
// that were active at the last quorum check. It returns the zero ID if this member
// is not the leader or there is no such voter.
func (n *Node) MostCompleteVoter() ID {
	best := ID{}
	for _, v := range n.activeMembership().current.Voters {
		p := n.peers[v.ID]
		if p != nil && p.silentChecks == 0 && (best.IsZero() || p.match > n.peers[best].match) {
			best = v.ID
		}
	}
	return best
}

// maybeTransfer tells the transferee to campaign once it holds the whole log.
func (n *Node) maybeTransfer(id ID) {
	if id == n.transferee && n.peers[id].match == n.log.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: id})
	}
}

// tickTransfer aborts a leadership transfer after ElectionTicks.
func (n *Node) tickTransfer() {
	if n.transferee.IsZero() {
		return
	}
	n.sinceTransfer++
	if n.sinceTransfer >= n.cfg.ElectionTicks {
		n.transferee = ID{}
	}
}
