package replica

import (
	"math"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/raft"
)

// Periods in ticks, and limits on the removal of voters.
const (
	formQueryTicks = 5 // between two queries to the other instances
	joinRetryTicks = 8 // between two join requests
	// silentChecksToReplace is the number of quorum checks of the leader, one per
	// ElectionTicks, after which a voter that has not responded since is replaced by
	// a learner that has caught up. A restart takes less time.
	silentChecksToReplace = 3
	// silentChecksToRemove is the number of quorum checks after which such a voter
	// is removed without a replacement. If a voter that never returns stayed, the
	// group would need a larger majority than necessary and lose its quorum at the
	// next loss.
	silentChecksToRemove = 7
	// formReplyValidTicks is the time for which the reply to a query is valid.
	formReplyValidTicks = 2 * formQueryTicks
)

// formMessage is a message of the formation of a group: a query, or a reply if
// Reply is set.
type formMessage struct {
	Reply bool `cbor:"1,keyasint,omitempty"`
	Disk  bool `cbor:"2,keyasint,omitempty"`
	// HasState is set if the member has state of the group, or had state that was
	// damaged. The group is not formed anew then.
	HasState bool `cbor:"3,keyasint,omitempty"`
}

// formReply is the last reply of an instance and the time of its arrival.
type formReply struct {
	incarnation  uint64
	disk         bool
	hasState     bool
	receivedTick uint64
}

// tickForm forms the group on the instance with the lowest name once every
// configured instance has replied that it has no state. The others learn the
// initial membership from the first messages of the leader.
func (r *Replica) tickForm() {
	if r.node.HoldsState() || !r.cfg.mayForm() || r.stateLost {
		return
	}
	if r.ticks%formQueryTicks == 0 {
		for _, in := range r.cfg.Instances {
			if in.Name != r.cfg.Self {
				r.send(in.Name, &frame{Form: &formMessage{}})
			}
		}
	}
	if m := r.firstMembership(); m != nil {
		term := raft.FirstTerm(time.Now().Unix(), uint16(r.rnd.Uint32()))
		r.node.Bootstrap(*m, term)
		r.log.Info("group formed", "voters", len(m.Voters), "term", term)
	}
}

// firstMembership returns the initial membership if all instances have replied
// recently and none has state. Otherwise it returns nil.
func (r *Replica) firstMembership() *raft.Membership {
	m := &raft.Membership{}
	for _, in := range r.cfg.Instances {
		if in.Name == r.cfg.Self {
			m.Voters = append(m.Voters, raft.Member{ID: r.id, Disk: in.Disk})
			continue
		}
		reply, ok := r.formReplies[in.Name]
		if !ok || reply.hasState || reply.disk != in.Disk || r.ticks-reply.receivedTick > formReplyValidTicks {
			return nil
		}
		id := raft.ID{Instance: in.Name, Incarnation: reply.incarnation}
		m.Voters = append(m.Voters, raft.Member{ID: id, Disk: in.Disk})
	}
	return m
}

// handleForm answers a query or records the reply to a query of this incarnation.
func (r *Replica) handleForm(from string, f *frame) {
	if !f.Form.Reply {
		r.send(from, &frame{To: f.From, Form: &formMessage{
			Reply: true, Disk: r.cfg.DataFolder != "", HasState: r.stateLost || r.node.HoldsState(),
		}})
		return
	}
	if f.To == r.id.Incarnation {
		r.formReplies[from] = formReply{incarnation: f.From, disk: f.Form.Disk, hasState: f.Form.HasState, receivedTick: r.ticks}
	}
}

// tickJoin sends join requests while this member is not a voter or knows no leader.
// The latter covers a voter that was removed while it could not be reached.
func (r *Replica) tickJoin() {
	if r.ticks%joinRetryTicks != 0 {
		return
	}
	st := r.node.Status()
	if st.Voter && !st.Leader.IsZero() {
		return
	}
	for _, name := range r.joinContacts() {
		if name != r.cfg.Self {
			m := &raft.Message{Kind: raft.MsgJoin, Disk: r.cfg.DataFolder != ""}
			r.send(name, &frame{Msg: m})
		}
	}
}

// joinContacts returns the instances that may lead the group or know its leader.
func (r *Replica) joinContacts() []string {
	var out []string
	for _, in := range r.cfg.Instances {
		out = append(out, in.Name)
	}
	if !r.cfg.OpenMembership {
		return out
	}
	for _, v := range r.node.Status().Membership.Voters {
		out = append(out, v.ID.Instance)
	}
	out = append(out, r.cfg.Contacts()...)
	slices.Sort(out)
	return slices.Compact(out)
}

// changeMembership proposes the next change of the members: a learner that has caught up
// becomes a voter, or, in an open group, a voter that does not respond leaves. A removed
// voter that was only unreachable joins again.
func (r *Replica) changeMembership() {
	policy := raft.MembershipPolicy{
		DiskLosses: r.cfg.DiskLosses, ReplaceAfter: silentChecksToReplace, RemoveAfter: silentChecksToRemove,
		OddVoters: r.cfg.OpenMembership,
	}
	if !r.cfg.OpenMembership {
		policy.ReplaceAfter, policy.RemoveAfter = math.MaxInt, math.MaxInt
	}
	c := r.node.NextChange(policy)
	if c == nil {
		return
	}
	if err := r.node.ProposeMembership(*c); err != nil {
		r.log.V(1).Info("membership cannot be changed yet", "member", c.Member.String(), "reason", err.Error())
		return
	}
	if c.Kind != raft.ChangeRemove {
		r.log.Info("learner becomes voter", "member", c.Member.String())
	}
	if c.Kind == raft.ChangeRemove {
		c.Leaves = c.Member
	}
	if !c.Leaves.IsZero() {
		r.log.Info("silent voter removed", "member", c.Leaves.String(), "remaining", len(r.node.Status().Membership.Voters))
	}
}
