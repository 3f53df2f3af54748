package raft

import "slices"

// memLog is the in-memory log. entries begin right after baseIndex and have no
// gap. The snapshot may be later than baseIndex: some entries that it covers are
// kept for slow followers.
type memLog struct {
	snap         Snapshot
	baseIndex    uint64
	baseTerm     uint64
	entries      []Entry
	stored       uint64              // last index that the caller has stored
	unstoredSnap *Snapshot           // received and not stored yet
	memberships  []indexedMembership // memberships in the log; the first is in force at baseIndex
	// deadVoters holds, by instance, the last voter that a membership entry left
	// out because it was dead. Its delayed messages are dropped. It stays dead even
	// if the entry itself is truncated later.
	deadVoters map[string]ID
}

func newLog(snap Snapshot, entries []Entry) *memLog {
	l := &memLog{deadVoters: map[string]ID{}}
	l.restore(snap)
	l.unstoredSnap = nil
	for _, e := range entries {
		l.add(e)
	}
	l.stored = l.last()
	return l
}

// restore replaces the log by a snapshot.
func (l *memLog) restore(snap Snapshot) {
	l.snap = snap
	l.baseIndex = snap.Index
	l.baseTerm = snap.Term
	l.entries = nil
	l.stored = snap.Index
	l.unstoredSnap = &l.snap
	l.memberships = nil
	if snap.Index > 0 {
		l.memberships = []indexedMembership{{index: snap.Index, membership: &snap.Membership}}
	}
}

func (l *memLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memLog) holdsState() bool { return l.last() > 0 }

func (l *memLog) lastTerm() uint64 { return l.term(l.last()) }

// term returns the term of the entry at index i, or 0 if it is not in the log.
func (l *memLog) term(i uint64) uint64 {
	if i == l.baseIndex {
		return l.baseTerm
	}
	if i < l.baseIndex || i > l.last() {
		return 0
	}
	return l.entries[i-l.baseIndex-1].Term
}

func (l *memLog) add(e Entry) {
	l.entries = append(l.entries, e)
	if e.Membership == nil {
		return
	}
	for _, v := range l.memberships[len(l.memberships)-1].membership.Voters {
		if e.Kind == EntryRecovery && !e.Membership.Has(v.ID) || e.Membership.hasSuccessorOf(v.ID) {
			l.deadVoters[v.ID.Instance] = v.ID
		}
	}
	l.memberships = append(l.memberships, indexedMembership{index: e.Index, kind: e.Kind, membership: e.Membership})
}

// truncate drops the entries from index i on.
func (l *memLog) truncate(i uint64) {
	// A Ready or a message that was handed out may still refer to the old slice,
	// so its backing array must not be overwritten.
	l.entries = slices.Clone(l.entries[:i-l.baseIndex-1])
	l.stored = min(l.stored, i-1)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= i {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// entriesAfter returns the entries after index i: at most maxBytes including
// entryOverhead, but at least one entry if there is any.
func (l *memLog) entriesAfter(i uint64, maxBytes int) []Entry {
	all := l.entries[i-l.baseIndex:]
	size := 0
	for n := range all {
		size += len(all[n].Data) + entryOverhead
		if size > maxBytes && n > 0 {
			return all[:n:n]
		}
	}
	return all[:len(all):len(all)]
}

// firstWithin returns the lowest index i, at least from, such that the entries after i up to index to have
// at most maxBytes.
func (l *memLog) firstWithin(from, to uint64, maxBytes int) uint64 {
	size := 0
	for i := to; i > from; i-- {
		if size += len(l.entries[i-l.baseIndex-1].Data) + entryOverhead; size > maxBytes {
			return i
		}
	}
	return from
}

// upToDate reports whether a log that ends with (index, term) is at least as up to
// date as this one, so that it holds every committed entry that this one may hold
// (Raft, section 5.4.1).
func (l *memLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// membershipAt returns the membership in force at index i.
func (l *memLog) membershipAt(i uint64) Membership {
	m := l.memberships[0].membership
	for _, c := range l.memberships {
		if c.index <= i {
			m = c.membership
		}
	}
	return *m
}

// compact sets the snapshot and drops the entries up to and including keepFrom.
func (l *memLog) compact(snap Snapshot, keepFrom uint64) {
	l.snap = snap
	if keepFrom <= l.baseIndex {
		return
	}
	m := l.membershipAt(keepFrom)
	kept := []indexedMembership{{index: keepFrom, membership: &m}}
	for _, c := range l.memberships {
		if c.index > keepFrom {
			kept = append(kept, c)
		}
	}
	l.memberships = kept
	t := l.term(keepFrom)
	l.entries = slices.Clone(l.entries[keepFrom-l.baseIndex:])
	l.baseIndex = keepFrom
	l.baseTerm = t
}

// conflictHint returns the index after which a leader should retry when the entry
// at i does not match: the last index before the conflicting term, but not less
// than floor.
func (l *memLog) conflictHint(i, floor uint64) uint64 {
	if i > l.last() {
		return l.last()
	}
	t := l.term(i)
	for i > floor && l.term(i) == t {
		i--
	}
	return i
}
