package raft

// A recovery election brings a leader although a majority of the voters is lost,
// because members without a disk restarted. It has three rounds:
//
//	0  would you grant it? (changes nothing, like a pre-vote)
//	1  the vote, in a term that only this kind of election uses
//	2  are you still the incarnation that granted it?
//
// Each round asks every instance that has a voter in the membership of the
// candidate, whichever incarnation lives there, and needs the consent of all of
// them. It is won if the consenting voters are a majority of the disk voters; a
// successor's consent only counts as the proof that its predecessor is dead. Any
// member that holds a log may be the candidate, also one without a disk and a
// learner: the newest log may be with them, and then nobody else can win.
//
// Why it is safe:
//
// One leader a term. The lower half of a recovery term is zero, that of a normal
// term never is, so the two kinds never meet, not even through the late
// messages of a dead leader. Two candidates of one recovery term would each need
// the consent of the other's instance, and each has voted for itself. A recovery
// term is above every normal term that any member of the old epoch can have
// reached, heard of or not. Late messages of voters that the recovery or a
// replacement left out are dropped whatever their term.
//
// Acknowledged entries. Such an entry is stored, below an entry of the same
// term, by a majority of the disk voters. The set of instances changes only by
// entries that reach that majority, and a successor becomes a voter only when it
// holds every acknowledged entry. So the consenting disk voters, a majority of
// the instances with a disk and alive since before the candidate learned of
// them, include one that holds the entry, and the comparison of the logs makes
// the candidate hold it too.
//
// No second lineage. A replacement may be decided without the candidate. But
// every live member that holds it refuses a candidate that does not. So if all
// instances consent, those that held it have died, and they include a majority
// of the later membership. Round 2 proves that all the consenting incarnations
// were alive together when round 1 was complete. From then on no live member
// follows an earlier term, so no quorum of any earlier membership can act.
//
// The winner's first entry names the survivors as the membership. Every voter
// that it leaves out is dead, so a majority of the survivors alone may decide
// it. A majority of the membership before, if one still lives, is also a
// majority of the survivors. A winner that is not a voter leads until that entry
// is decided and then leaves the lead to the survivors.
//
// A group without any disk voter promises nothing beyond the memory of its
// majority. There any voter may recover, with the newest log that is left.
type recovery struct {
	round   uint8
	term    uint64
	granted map[string]ID // consent by instance
	seen    map[string]ID // consent of round 1
	won     uint64
}

const lastRound = 2

// RecoveryTerm reports whether a leader of the term was elected by a recovery
// election.
func RecoveryTerm(term uint64) bool { return term != 0 && term<<(64-epochShift) == 0 }

// onIncarnation notes that a voter is dead. Round 0 changes nothing, so there is
// no need to wait for the next timeout.
func (n *Node) onIncarnation(m Message) {
	n.superseded[m.From.Instance] = m.From
	if n.role == preCandidate && n.recoverable() {
		n.startRecovery()
	}
}

// recoverable reports whether a recovery election is due: the voters that are
// not known to be dead are no quorum.
func (n *Node) recoverable() bool {
	return !n.config().majority(func(id ID) bool {
		if id.Instance == n.id.Instance {
			return id == n.id
		}
		live, known := n.superseded[id.Instance]
		return !known || live == id
	})
}

func (n *Node) startRecovery() {
	n.role = recoverer
	n.leader = ID{}
	n.resetTimeout()
	n.electionsBegun++
	n.superseded = map[string]ID{}
	n.rec.term = (n.term>>epochShift + 1) << epochShift
	n.askRecovery(0)
}

func (n *Node) askRecovery(round uint8) {
	n.rec.round = round
	n.rec.granted = map[string]ID{n.id.Instance: n.id}
	n.advanceRecovery()
	if n.role != recoverer || n.rec.round != round {
		return
	}
	asked := map[string]bool{n.id.Instance: true}
	for _, v := range n.config().voters() {
		if asked[v.ID.Instance] {
			continue
		}
		asked[v.ID.Instance] = true
		n.send(Message{
			Kind: MsgRecovery, To: ID{Instance: v.ID.Instance}, Term: n.rec.term, Round: round,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// onRecovery answers a candidate. Consent to round 1 is a vote and a promise to
// follow no earlier term.
func (n *Node) onRecovery(m Message) {
	resp := Message{Kind: MsgRecoveryResp, To: m.From, Term: m.Term, Round: m.Round}
	switch {
	case m.Round == lastRound:
		resp.Reject = n.term != m.Term || n.vote != m.From
	case n.hasLiveLeader() || !n.log.upToDate(m.Index, m.LogTerm):
		resp.Reject = true
	case m.Round == 0:
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
	if n.role != recoverer || m.Round != n.rec.round {
		return
	}
	if m.Reject {
		term := max(m.Term, n.term)
		n.becomeFollower(term, ID{})
		return
	}
	if m.Term != n.rec.term {
		return
	}
	n.rec.granted[m.From.Instance] = m.From
	n.advanceRecovery()
}

// advanceRecovery goes on to the next round once every instance has consented.
func (n *Node) advanceRecovery() {
	cfg := n.config()
	for _, v := range cfg.voters() {
		live, ok := n.rec.granted[v.ID.Instance]
		if !ok {
			return
		}
		if n.rec.round == lastRound && live != n.rec.seen[v.ID.Instance] {
			n.becomeFollower(n.term, ID{})
			return
		}
	}
	if !cfg.diskMajority(n.consented) {
		n.becomeFollower(n.term, ID{})
		return
	}
	switch n.rec.round {
	case 0:
		n.term = n.rec.term
		n.vote = n.id
		n.askRecovery(1)
	case 1:
		n.rec.seen = n.rec.granted
		n.askRecovery(lastRound)
	default:
		n.becomeLeader()
	}
}

func (n *Node) consented(id ID) bool { return n.rec.granted[id.Instance] == id }

// survivors returns the voters that consented.
func (n *Node) survivors() *Membership {
	out := &Membership{}
	for _, v := range n.config().voters() {
		if n.consented(v.ID) {
			out.Voters = append(out.Voters, v)
		}
	}
	return out
}
