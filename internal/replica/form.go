package replica

import (
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
	// minVoters is the number of voters that must remain when one is removed
	// without a replacement: fewer would not tolerate a loss.
	minVoters = 3
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

// promoteLearners proposes that a learner that has caught up becomes a voter, in
// place of an earlier incarnation of its instance if that is a voter. Before an open
// group adds a voter, it removes one that does not respond.
func (r *Replica) promoteLearners() {
	for _, l := range r.node.Learners() {
		if !l.CaughtUp {
			continue
		}
		st := r.node.Status()
		kind := raft.ChangeAdd
		if st.Membership.VoterOf(l.Member.ID.Instance) != nil {
			kind = raft.ChangeReplace
		}
		if kind == raft.ChangeAdd && r.cfg.OpenMembership && r.removeSilentVoter(silentChecksToReplace, 1) {
			return
		}
		err := r.node.ProposeMembership(raft.Change{Kind: kind, Member: l.Member.ID})
		if err == nil {
			r.log.Info("learner becomes voter", "member", l.Member.ID.String())
			return
		}
		r.log.V(1).Info("learner cannot become voter yet", "member", l.Member.ID.String(), "reason", err.Error())
	}
}

// removeSilentVoter removes a voter that has not responded for minSilentChecks
// quorum checks if at least minRemaining voters remain. It reports whether a
// removal has been proposed. A removed voter that was only unreachable joins again.
func (r *Replica) removeSilentVoter(minSilentChecks, minRemaining int) bool {
	voters := r.node.Status().Membership.Voters
	if len(voters) <= minRemaining {
		return false
	}
	for _, v := range voters {
		if r.node.SilentChecks(v.ID) < minSilentChecks {
			continue
		}
		err := r.node.ProposeMembership(raft.Change{Kind: raft.ChangeRemove, Member: v.ID})
		if err == nil {
			r.log.Info("silent voter removed", "member", v.ID.String(), "remaining", len(voters)-1)
			return true
		}
		r.log.V(1).Info("silent voter cannot be removed yet", "member", v.ID.String(), "reason", err.Error())
	}
	return false
}
