package replica

import (
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/raft"
)

// Periods in ticks.
const (
	formTicks = 5 // between two questions to the other instances
	joinTicks = 8 // between two requests to join
	// removalElections is the number of election timeouts after which a silent
	// voter gives way to a waiting learner. A restart takes less.
	removalElections = 3
	// surplusElections is the same for a voter that nobody replaces. A group that
	// keeps a voter which is gone for good needs a larger majority for nothing and
	// stops at the next loss.
	surplusElections = 7
	// keepVoters is the size below which no voter is removed without a
	// replacement: fewer would bear no loss.
	keepVoters = 3
	// answerTicks is how long an answer to a question counts.
	answerTicks = 2 * formTicks
)

// formation is a message about the first membership of a group. A question has
// Answer unset.
type formation struct {
	Answer bool `cbor:"1,keyasint,omitempty"`
	Disk   bool `cbor:"2,keyasint,omitempty"`
	// Holds is set if the member holds state of the group, or did and lost it to
	// damage. There is no first formation then.
	Holds bool `cbor:"3,keyasint,omitempty"`
}

// answer is an instance's answer and when it came.
type answer struct {
	incarnation uint64
	disk        bool
	holds       bool
	tick        uint64
}

// tickForm lets the instance with the lowest name form the group once every
// configured instance has said that it holds nothing. The others take the first
// membership from the leader's first messages.
func (r *Replica) tickForm() {
	if r.node.HoldsState() || !r.cfg.mayForm() || r.lostState {
		return
	}
	if r.ticks%formTicks == 0 {
		for _, in := range r.cfg.Instances {
			if in.Name != r.cfg.Self {
				r.send(in.Name, &frame{Form: &formation{}})
			}
		}
	}
	if m := r.firstMembership(); m != nil {
		term := raft.FirstTerm(time.Now().Unix(), uint16(r.rnd.Uint32()))
		r.node.Bootstrap(*m, term)
		r.log.Info("group formed", "voters", len(m.Voters), "term", term)
	}
}

// firstMembership returns the first membership if all instances have answered
// recently and none holds state.
func (r *Replica) firstMembership() *raft.Membership {
	m := &raft.Membership{}
	for _, in := range r.cfg.Instances {
		if in.Name == r.cfg.Self {
			m.Voters = append(m.Voters, raft.Member{ID: r.id, Disk: in.Disk})
			continue
		}
		a, ok := r.answers[in.Name]
		if !ok || a.holds || a.disk != in.Disk || r.ticks-a.tick > answerTicks {
			return nil
		}
		id := raft.ID{Instance: in.Name, Incarnation: a.incarnation}
		m.Voters = append(m.Voters, raft.Member{ID: id, Disk: in.Disk})
	}
	return m
}

func (r *Replica) onForm(from string, f *frame) {
	if !f.Form.Answer {
		r.send(from, &frame{To: f.From, Form: &formation{
			Answer: true, Disk: r.cfg.DataFolder != "", Holds: r.lostState || r.node.HoldsState(),
		}})
		return
	}
	if f.To == r.id.Incarnation {
		r.answers[from] = answer{incarnation: f.From, disk: f.Form.Disk, holds: f.Form.Holds, tick: r.ticks}
	}
}

// tickJoin asks to join as long as this member is not a voter or has no leader.
// The latter covers a member that was left out while it could not be reached.
func (r *Replica) tickJoin() {
	if r.ticks%joinTicks != 0 {
		return
	}
	st := r.node.Status()
	if st.Voter && !st.Leader.IsZero() {
		return
	}
	for _, name := range r.contacts() {
		if name != r.cfg.Self {
			m := &raft.Message{Kind: raft.MsgJoin, Disk: r.cfg.DataFolder != ""}
			r.send(name, &frame{Msg: m})
		}
	}
}

// contacts returns the instances that may lead the group.
func (r *Replica) contacts() []string {
	var out []string
	for _, in := range r.cfg.Instances {
		out = append(out, in.Name)
	}
	if !r.cfg.Open {
		return out
	}
	for _, v := range r.node.Status().Membership.Voters {
		out = append(out, v.ID.Instance)
	}
	out = append(out, r.cfg.Contacts()...)
	slices.Sort(out)
	return slices.Compact(out)
}

// admit makes learners that have caught up voters: in place of the dead
// incarnation of their instance, or in addition.
func (r *Replica) admit() {
	for _, l := range r.node.Learners() {
		if !l.CaughtUp {
			continue
		}
		st := r.node.Status()
		kind := raft.ChangeAdd
		if st.Membership.Instance(l.Member.ID.Instance) != nil {
			kind = raft.ChangeReplace
		}
		if kind == raft.ChangeAdd && r.cfg.Open && r.removeSilent(removalElections, 1) {
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

// removeSilent removes a voter that has not answered for a number of election
// timeouts, if at least keep voters remain. It reports whether a removal has
// begun. A voter that was removed while it was only cut off joins again.
func (r *Replica) removeSilent(after, keep int) bool {
	voters := r.node.Status().Membership.Voters
	if len(voters) <= keep {
		return false
	}
	for _, v := range voters {
		if r.node.SilentElections(v.ID) < after {
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
