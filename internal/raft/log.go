package raft

import "slices"

// memLog is the log in memory. entries follow base without a gap. The snapshot
// may be later than base: entries are kept a while for slow followers.
type memLog struct {
	snap      Snapshot
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	stored    uint64    // last index that the caller has stored
	newSnap   *Snapshot // received and not stored yet
	configs   []indexed // memberships in the log; the first is in force at base
	// dead holds the last voter of each instance that a membership entry left
	// out because it was dead. Its late messages are dropped. That stays true if
	// the entry itself is dropped later.
	dead map[string]ID
}

func newLog(snap Snapshot, entries []Entry) *memLog {
	l := &memLog{dead: map[string]ID{}}
	l.restore(snap)
	l.newSnap = nil
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
	l.newSnap = &l.snap
	l.configs = nil
	if snap.Index > 0 {
		l.configs = []indexed{{index: snap.Index, m: &snap.Membership}}
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
	for _, v := range l.configs[len(l.configs)-1].m.Voters {
		if e.Kind == EntryRecovery && !e.Membership.Has(v.ID) || e.Membership.succeeded(v.ID) {
			l.dead[v.ID.Instance] = v.ID
		}
	}
	l.configs = append(l.configs, indexed{index: e.Index, kind: e.Kind, m: e.Membership})
}

// truncate drops the entries from index i on.
func (l *memLog) truncate(i uint64) {
	// A caller may still hold the old slice in a Ready or a message, so its
	// backing array must not be overwritten.
	l.entries = slices.Clone(l.entries[:i-l.baseIndex-1])
	l.stored = min(l.stored, i-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= i {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// slice returns the entries after index i, at most maxBytes of data but at least
// one entry.
func (l *memLog) slice(i uint64, maxBytes int) []Entry {
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

// upToDate reports whether a log that ends with (index, term) holds at least
// what this one may hold of committed entries.
func (l *memLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// membershipAt returns the membership in force at index i.
func (l *memLog) membershipAt(i uint64) Membership {
	m := l.configs[0].m
	for _, c := range l.configs {
		if c.index <= i {
			m = c.m
		}
	}
	return *m
}

// compact sets a snapshot and drops entries up to keepFrom.
func (l *memLog) compact(snap Snapshot, keepFrom uint64) {
	l.snap = snap
	if keepFrom <= l.baseIndex {
		return
	}
	m := l.membershipAt(keepFrom)
	kept := []indexed{{index: keepFrom, m: &m}}
	for _, c := range l.configs {
		if c.index > keepFrom {
			kept = append(kept, c)
		}
	}
	l.configs = kept
	t := l.term(keepFrom)
	l.entries = slices.Clone(l.entries[keepFrom-l.baseIndex:])
	l.baseIndex = keepFrom
	l.baseTerm = t
}

// conflictHint returns the index after which a leader should try again when
// the entry at i does not match: the last index before the conflicting term.
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
