package raft

// MembershipPolicy decides which members vote in an open group, whose instances come
// and go. The leader proposes NextChange whenever it may.
//
// An acknowledged entry is on the disks of a majority of the voters. After the loss of
// DiskLosses disks at once, the others must still be a majority: they hold the entry
// and can elect a leader. So the group never shrinks below 2*DiskLosses+1 voters, and a
// silent voter counts until another one takes its place. It may only be cut off, and
// its disk may be one of those that are left.
type MembershipPolicy struct {
	// DiskLosses is the number of disks that may be lost at the same time.
	DiskLosses int
	// ReplaceAfter is the number of quorum checks, one per ElectionTicks, without a
	// message after which a learner that has caught up takes the place of a voter.
	ReplaceAfter int
	// RemoveAfter is the number of such checks after which a voter is removed although
	// no learner takes its place.
	RemoveAfter int
	// OddVoters keeps the number of voters odd: an instance beyond that is a learner that
	// stands by, receives the log, and takes the place of a voter that falls silent. A group
	// with an even number tolerates no more losses, and a cut into two halves leaves neither
	// with a majority.
	OddVoters bool
}

// NextChange returns the membership change that the policy asks for now, or nil. It
// returns nil on a member that is not the leader.
func (n *Node) NextChange(p MembershipPolicy) *Change {
	if n.role != leader {
		return nil
	}
	current := n.activeMembership().current
	var standby []ID
	for _, l := range n.Learners() {
		if !l.CaughtUp {
			continue
		}
		if current.VoterOf(l.Member.ID.Instance) != nil {
			return &Change{Kind: ChangeReplace, Member: l.Member.ID}
		}
		standby = append(standby, l.Member.ID)
	}
	if len(standby) > 0 {
		if silent := n.silentVoters(p.ReplaceAfter); len(silent) > 0 {
			// One change, so that the group is never smaller in between.
			return &Change{Kind: ChangeSwap, Member: standby[0], Leaves: silent[0]}
		}
		if len(current.Voters) < p.wantedVoters(len(current.Voters)+len(standby)) {
			return &Change{Kind: ChangeAdd, Member: standby[0]}
		}
		return nil
	}
	if silent := n.silentVoters(p.RemoveAfter); len(silent) > 0 && len(current.Voters) > 2*p.DiskLosses+1 {
		return &Change{Kind: ChangeRemove, Member: silent[0]}
	}
	if len(n.silentVoters(p.ReplaceAfter)) == 0 && len(current.Voters) > p.wantedVoters(len(current.Voters)) {
		return &Change{Kind: ChangeRemove, Member: n.leastCompleteVoter()}
	}
	return nil
}

// leastCompleteVoter returns the other voter that holds least of the log.
func (n *Node) leastCompleteVoter() ID {
	least := ID{}
	for _, v := range n.activeMembership().current.Voters {
		if p := n.peers[v.ID]; p != nil && (least.IsZero() || p.match < n.peers[least].match) {
			least = v.ID
		}
	}
	return least
}

// wantedVoters returns how many of the given number of voters and learners should vote. The
// group always has as many voters as DiskLosses needs, if there are so many.
func (p MembershipPolicy) wantedVoters(candidates int) int {
	if !p.OddVoters || candidates <= 2*p.DiskLosses+1 || candidates%2 == 1 {
		return candidates
	}
	return candidates - 1
}

// silentVoters returns the voters from which no message arrived in the given number of
// quorum checks.
func (n *Node) silentVoters(checks int) []ID {
	var out []ID
	for _, v := range n.activeMembership().current.Voters {
		if p := n.peers[v.ID]; p != nil && p.silentChecks >= checks {
			out = append(out, v.ID)
		}
	}
	return out
}
