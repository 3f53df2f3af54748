package raft

import (
	"math"
	"slices"
)

// config is the membership in force.
//
// A membership entry is in force jointly with the membership before it from the
// moment it is appended, and alone once it is decided. While both are in force
// every election and every commit needs the quorums of both.
//
// Why a replacement needs this: take voters {A, B, C}, where C leads term 1. A
// wins term 2 with the vote of B; B dies and returns as B'. C has not heard of
// term 2, brings B' up to date and appends {A, B', C}. If that membership were
// in force alone, C and B' could commit entries in term 1, although A leads
// term 2 and can truncate them on C: B' does not remember the vote of B. With
// both in force, the entry is decided only by a majority of {A, B, C}, and B
// never answers again. So A or C must follow the leader of a later term, and
// the usual argument for joint consensus holds: any quorum of the old
// membership meets any joint quorum in a live member.
//
// One entry is enough because a member that holds the entry but has not heard
// that it is decided uses both memberships, which is the stricter rule.
type config struct {
	old *Membership // nil unless a change is undecided
	cur *Membership
}

// indexed is a membership and the index of its entry.
type indexed struct {
	index uint64
	kind  EntryKind
	m     *Membership
}

// voters returns every voter of the memberships in force, each once.
func (c config) voters() []Member {
	out := slices.Clone(c.cur.Voters)
	if c.old == nil {
		return out
	}
	for _, v := range c.old.Voters {
		if !c.cur.Has(v.ID) {
			out = append(out, v)
		}
	}
	return out
}

func (c config) has(id ID) bool { return c.cur.Has(id) || c.old != nil && c.old.Has(id) }

// majority reports whether the members for which yes holds are a quorum.
func (c config) majority(yes func(ID) bool) bool {
	return majority(c.cur, false, yes) && (c.old == nil || majority(c.old, false, yes))
}

// diskMajority is majority among the voters with a disk. It holds if there are
// none.
func (c config) diskMajority(yes func(ID) bool) bool {
	return majority(c.cur, true, yes) && (c.old == nil || majority(c.old, true, yes))
}

func majority(m *Membership, disk bool, yes func(ID) bool) bool {
	all := 0
	n := 0
	for _, v := range m.Voters {
		if disk && !v.Disk {
			continue
		}
		all++
		if yes(v.ID) {
			n++
		}
	}
	return all == 0 && disk || n > all/2
}

// quorum returns the highest value that a quorum of the voters has reached.
func (c config) quorum(value func(ID) uint64) uint64 {
	v := reached(c.cur, false, value)
	if c.old != nil {
		v = min(v, reached(c.old, false, value))
	}
	return v
}

// diskQuorum is quorum among the voters with a disk; without any it is no limit.
func (c config) diskQuorum(value func(ID) uint64) uint64 {
	v := reached(c.cur, true, value)
	if c.old != nil {
		v = min(v, reached(c.old, true, value))
	}
	return v
}

func reached(m *Membership, disk bool, value func(ID) uint64) uint64 {
	vals := make([]uint64, 0, 8)
	for _, v := range m.Voters {
		if !disk || v.Disk {
			vals = append(vals, value(v.ID))
		}
	}
	if len(vals) == 0 {
		if disk {
			return math.MaxUint64
		}
		return 0
	}
	slices.Sort(vals)
	return vals[(len(vals)-1)/2]
}

// replaces reports whether next differs from prev only in incarnations. Such a
// change is decided by the voters alone, so that a lost disk can be replaced.
// Any other change must also reach the voters with a disk: a recovery election
// relies on them knowing all instances that may hold a vote.
func replaces(prev, next *Membership) bool {
	if len(prev.Voters) != len(next.Voters) {
		return false
	}
	for _, v := range next.Voters {
		p := prev.Instance(v.ID.Instance)
		if p == nil || p.Disk != v.Disk {
			return false
		}
	}
	return true
}
