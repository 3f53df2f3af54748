package raft

// recoveryState is the state of a recovery election.
//
// A recovery election elects a leader although a majority of the voters is lost
// because members without a disk restarted. It has three rounds:
//
//	0  pre-vote: asks whether the vote would be granted; changes no state
//	1  vote, in a term that only recovery elections use
//	2  confirmation: asks whether the member is still the incarnation that
//	   granted the vote
//
// Each round asks every instance that has a voter in the candidate's membership,
// whichever incarnation is alive there, and needs the consent of all of them. The
// election is won if the consenting voters include a majority of the disk voters;
// the consent of a voter's successor only proves that the voter is dead. Any
// member that holds a log may be the candidate, even one without a disk or a
// learner: it may hold the newest log, and then no other member can win.
//
// It is safe for these reasons:
//
// One leader per term. The lower half of a recovery term is zero, that of a normal
// term never is, so the two kinds of terms never coincide, not even through
// delayed messages of a dead leader. Two candidates of one recovery term would
// each need the consent of the other's instance, and each has voted for itself. A
// recovery term is above every normal term that any member of the previous epoch
// can have reached, whether or not the candidate has learned of it. Delayed
// messages of voters that a recovery or a replacement left out are dropped
// whatever their term.
//
// Acknowledged entries survive. A majority of the disk voters has stored such an
// entry and, at or after it, an entry of the term of the leader that acknowledged
// it (see maybeCommit). The set of instances changes only by entries that reach
// that majority, and a successor becomes a voter only when it holds every
// acknowledged entry. So the consenting disk voters, which are a majority of the
// instances with a disk and have been alive since before the candidate learned of
// them, include one that holds the entry, and by the comparison of the logs the
// candidate holds it too.
//
// No split brain. A replacement may be decided without the candidate. But every
// live member that holds it refuses a candidate that does not. So if all instances
// consent, the members that held it have died, and they include a majority of the
// later membership. Round 2 proves that all the consenting incarnations were alive
// at the same time when round 1 was complete. From then on no live member follows
// an earlier term, so no quorum of any earlier membership can act.
//
// The winner's first entry makes the survivors the membership. Every voter that it
// leaves out is dead, so a majority of the survivors alone may decide it. If a
// majority of the previous membership is still alive, it is also a majority of the
// survivors. A winner that is not a voter leads until that entry is decided and
// then steps down in favor of the survivors.
//
// A group without any disk voter guarantees nothing beyond what a majority keeps
// in memory. In such a group any voter may recover the group from the newest log
// that is left.
type recoveryState struct {
	round      uint8
	term       uint64
	granted    map[string]ID // consenting incarnation by instance, in this round
	voteGrants map[string]ID // granted at the end of round 1
	wins       uint64
}

// The rounds of a recovery election.
const (
	roundPreVote = 0
	roundVote    = 1
	roundConfirm = 2
)

// IsRecoveryTerm reports whether a leader of the term was elected by a recovery
// election.
func IsRecoveryTerm(term uint64) bool { return term != 0 && term<<(64-epochShift) == 0 }

// onSuperseded records that a voter is dead because its successor answered. It
// starts a recovery election at once if one is due: the pre-vote round changes no
// state, so there is no need to wait for the next timeout.
func (n *Node) onSuperseded(m Message) {
	n.superseded[m.From.Instance] = m.From
	if n.role == preCandidate && n.recoveryDue() {
		n.startRecovery()
	}
}

// recoveryDue reports whether a recovery election is due, that is, whether the
// voters that are not known to be dead fall short of a quorum.
func (n *Node) recoveryDue() bool {
	return !n.activeMembership().hasQuorum(func(id ID) bool {
		if id.Instance == n.id.Instance {
			return id == n.id
		}
		live, known := n.superseded[id.Instance]
		return !known || live == id
	})
}

func (n *Node) startRecovery() {
	n.role = recoveryCandidate
	n.leader = ID{}
	n.resetTimeout()
	n.electionsBegun++
	n.superseded = map[string]ID{}
	n.recovery.term = (n.term>>epochShift + 1) << epochShift
	n.startRecoveryRound(roundPreVote)
}

func (n *Node) startRecoveryRound(round uint8) {
	n.recovery.round = round
	n.recovery.granted = map[string]ID{n.id.Instance: n.id}
	n.advanceRecovery() // completes the round if no other instance has to consent
	if n.role != recoveryCandidate || n.recovery.round != round {
		return
	}
	asked := map[string]bool{n.id.Instance: true}
	for _, v := range n.activeMembership().voters() {
		if asked[v.ID.Instance] {
			continue
		}
		asked[v.ID.Instance] = true
		n.send(Message{
			Kind: MsgRecovery, To: ID{Instance: v.ID.Instance}, Term: n.recovery.term, Round: round,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// onRecovery answers the candidate of a recovery election. Consent to roundVote is
// a vote and a promise to follow no earlier term.
func (n *Node) onRecovery(m Message) {
	resp := Message{Kind: MsgRecoveryResp, To: m.From, Term: m.Term, Round: m.Round}
	switch {
	case m.Round == roundConfirm:
		resp.Reject = n.term != m.Term || n.vote != m.From
	case n.hasLiveLeader() || !n.log.upToDate(m.Index, m.LogTerm):
		resp.Reject = true
	case m.Round == roundPreVote:
		resp.Reject = m.Term <= n.term
	case m.Term > n.term:
		n.becomeFollower(m.Term, ID{})
		n.vote = m.From
	default:
		resp.Reject = m.Term < n.term || n.vote != m.From
	}
	if resp.Reject {
		resp.Term = n.term
	}
	n.send(resp)
}

func (n *Node) onRecoveryResp(m Message) {
	if n.role != recoveryCandidate || m.Round != n.recovery.round {
		return
	}
	if m.Reject {
		term := max(m.Term, n.term)
		n.becomeFollower(term, ID{})
		return
	}
	if m.Term != n.recovery.term {
		return
	}
	n.recovery.granted[m.From.Instance] = m.From
	n.advanceRecovery()
}

// advanceRecovery begins the next round, or takes the leadership, once every
// instance has consented. It aborts the election if no majority of the disk
// voters has consented or an incarnation has changed since roundVote.
func (n *Node) advanceRecovery() {
	active := n.activeMembership()
	for _, v := range active.voters() {
		live, ok := n.recovery.granted[v.ID.Instance]
		if !ok {
			return
		}
		if n.recovery.round == roundConfirm && live != n.recovery.voteGrants[v.ID.Instance] {
			n.becomeFollower(n.term, ID{})
			return
		}
	}
	if !active.hasDiskQuorum(n.hasConsented) {
		n.becomeFollower(n.term, ID{})
		return
	}
	switch n.recovery.round {
	case roundPreVote:
		n.term = n.recovery.term
		n.vote = n.id
		n.startRecoveryRound(roundVote)
	case roundVote:
		n.recovery.voteGrants = n.recovery.granted
		n.startRecoveryRound(roundConfirm)
	default:
		n.becomeLeader()
	}
}

// hasConsented reports whether a voter itself, not its successor, has consented.
func (n *Node) hasConsented(id ID) bool { return n.recovery.granted[id.Instance] == id }

// survivors returns the voters that consented.
func (n *Node) survivors() *Membership {
	out := &Membership{}
	for _, v := range n.activeMembership().voters() {
		if n.hasConsented(v.ID) {
			out.Voters = append(out.Voters, v)
		}
	}
	return out
}
