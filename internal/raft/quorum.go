package raft

import (
	"math"
	"slices"
)

// activeMembership is the membership in force.
//
// A membership entry is in force jointly with the previous membership from the
// moment it is appended, and alone once it is decided. While both are in force,
// every election and every commit needs the quorums of both.
//
// A replacement needs the joint quorum for this reason: take voters {A, B, C},
// where C leads term 1. A wins term 2 with the vote of B; B dies and restarts as
// B'. C has not learned of term 2, brings B' up to date and appends {A, B', C}. If
// that membership were in force alone, C and B' could commit entries in term 1,
// although A leads term 2 and can truncate them on C: B' does not know of the vote
// of B. With both in force, the entry is decided only by a majority of {A, B, C},
// and B never answers again. So A or C must follow the leader of a later term, and
// the usual argument for joint consensus holds: any quorum of the previous
// membership and any joint quorum share a live member.
//
// One entry is enough because a member that holds the entry but does not know
// yet that it is decided uses both memberships, which is the stricter rule.
type activeMembership struct {
	previous *Membership // nil unless a change is undecided
	current  *Membership
}

// indexedMembership is a membership and the index of its entry.
type indexedMembership struct {
	index      uint64
	kind       EntryKind
	membership *Membership
}

// voters returns every voter of the memberships in force, each once.
func (a activeMembership) voters() []Member {
	out := slices.Clone(a.current.Voters)
	if a.previous == nil {
		return out
	}
	for _, v := range a.previous.Voters {
		if !a.current.Has(v.ID) {
			out = append(out, v)
		}
	}
	return out
}

func (a activeMembership) hasVoter(id ID) bool {
	return a.current.Has(id) || a.previous != nil && a.previous.Has(id)
}

// hasQuorum reports whether the voters for which agrees returns true are a
// quorum.
func (a activeMembership) hasQuorum(agrees func(ID) bool) bool {
	return hasMajority(a.current, false, agrees) && (a.previous == nil || hasMajority(a.previous, false, agrees))
}

// hasDiskQuorum is hasQuorum restricted to the voters with a disk. It returns true
// if there are none.
func (a activeMembership) hasDiskQuorum(agrees func(ID) bool) bool {
	return hasMajority(a.current, true, agrees) && (a.previous == nil || hasMajority(a.previous, true, agrees))
}

func hasMajority(m *Membership, diskOnly bool, agrees func(ID) bool) bool {
	eligible := 0
	agreeing := 0
	for _, v := range m.Voters {
		if diskOnly && !v.Disk {
			continue
		}
		eligible++
		if agrees(v.ID) {
			agreeing++
		}
	}
	return eligible == 0 && diskOnly || agreeing > eligible/2
}

// quorumValue returns the highest value that a quorum of the voters has reached.
// value returns the value of a voter.
func (a activeMembership) quorumValue(value func(ID) uint64) uint64 {
	v := majorityValue(a.current, false, value)
	if a.previous != nil {
		v = min(v, majorityValue(a.previous, false, value))
	}
	return v
}

// diskQuorumValue is quorumValue restricted to the voters with a disk. It returns
// math.MaxUint64 if there are none.
func (a activeMembership) diskQuorumValue(value func(ID) uint64) uint64 {
	v := majorityValue(a.current, true, value)
	if a.previous != nil {
		v = min(v, majorityValue(a.previous, true, value))
	}
	return v
}

func majorityValue(m *Membership, diskOnly bool, value func(ID) uint64) uint64 {
	vals := make([]uint64, 0, 8)
	for _, v := range m.Voters {
		if !diskOnly || v.Disk {
			vals = append(vals, value(v.ID))
		}
	}
	if len(vals) == 0 {
		if diskOnly {
			return math.MaxUint64
		}
		return 0
	}
	slices.Sort(vals)
	return vals[(len(vals)-1)/2]
}

// replacesIncarnationsOnly reports whether next differs from prev only in
// incarnations. Such a change is decided by a quorum of all voters, so that a
// lost disk can be replaced. Any other change must also reach a majority of the
// voters with a disk: a recovery election relies on them knowing every instance
// that may have a voter.
func replacesIncarnationsOnly(prev, next *Membership) bool {
	if len(prev.Voters) != len(next.Voters) {
		return false
	}
	for _, v := range next.Voters {
		p := prev.VoterOf(v.ID.Instance)
		if p == nil || p.Disk != v.Disk {
			return false
		}
	}
	return true
}
