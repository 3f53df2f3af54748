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
}

// NextChange returns the membership change that the policy asks for now, or nil. It
// returns nil on a member that is not the leader.
func (n *Node) NextChange(p MembershipPolicy) *Change {
	if n.role != leader {
		return nil
	}
	for _, l := range n.Learners() {
		if !l.CaughtUp {
			continue
		}
		c := &Change{Kind: ChangeAdd, Member: l.Member.ID}
		if n.activeMembership().current.VoterOf(l.Member.ID.Instance) != nil {
			c.Kind = ChangeReplace
		} else if silent := n.silentVoters(p.ReplaceAfter); len(silent) > 0 {
			// One change, so that the group is never smaller in between.
			c.Kind, c.Leaves = ChangeSwap, silent[0]
		}
		return c
	}
	silent := n.silentVoters(p.RemoveAfter)
	if len(silent) > 0 && len(n.activeMembership().current.Voters) > 2*p.DiskLosses+1 {
		return &Change{Kind: ChangeRemove, Member: silent[0]}
	}
	return nil
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
