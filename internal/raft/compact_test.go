package raft

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against large entries that are kept in memory for members that lag: a few hundred of them
// exceed the memory of an instance.
func TestRetainedEntriesAreBoundedBySize(t *testing.T) {
	is := is.New(t)
	l := newLog(Snapshot{}, nil)
	l.memberships = []indexedMembership{{membership: &Membership{}}}
	for i := range uint64(10) {
		l.add(Entry{Index: i + 1, Term: 1, Data: make([]byte, 1000)})
	}
	is.Equal(l.firstWithin(2, 10, 1<<20), uint64(2))
	is.Equal(l.firstWithin(0, 10, 3*(1000+entryOverhead)), uint64(7))
	is.Equal(l.firstWithin(0, 10, 10), uint64(10))
	is.Equal(l.firstWithin(10, 10, 10), uint64(10))
}
