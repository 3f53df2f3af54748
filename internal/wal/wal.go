// Package wal keeps a member's log on disk: segments of checked records,
// snapshot files and the member's identity.
//
// What Append, Install or Compact has returned without an error is on disk. A
// write that a crash cut off is dropped at the next Open; synced data that
// cannot be read is reported as *DamagedError and never dropped. One case
// cannot be told apart: damage to the very last write looks like a torn one.
package wal

import (
	"errors"
	"io"
	"path/filepath"
)

// defaultSegmentBytes is the size from which a new segment is begun. The last
// segment is copied at each Open, which at this size takes milliseconds.
const defaultSegmentBytes = 4 << 20

// Options set up a log.
type Options struct {
	Folder string
	// Owner names the member. A folder of another owner is refused.
	Owner        string
	NewIdentity  func() uint64 // for an empty folder
	FS           FS            // nil for the operating system's
	SegmentBytes int
}

// Entry is one log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// Contents is what a log held when it was opened.
type Contents struct {
	Identity uint64
	State    []byte // nil if none was stored
	Snapshot *Snapshot
	Entries  []Entry // those after the snapshot, without a gap
	// Lost is set if earlier contents were damaged and set aside.
	Lost bool
	// Cut is the number of bytes of a torn tail that were dropped.
	Cut int
}

// segment is a file of the log.
type segment struct {
	number uint64
	last   uint64 // highest index of an entry in it
}

// Log is an open log, used by one goroutine. After an error only Close may be
// called.
type Log struct {
	opts     Options
	fs       FS
	lock     io.Closer
	file     File
	size     int
	segments []segment // the last one is being written
	state    []byte
	snapshot string // name of the current snapshot file
	buf      []byte
	err      error
}

// Append stores entries and, if it is not nil, a state, with one sync. An entry
// whose index is stored already replaces it and all after it.
func (l *Log) Append(state []byte, entries []Entry) error {
	if l.err != nil {
		return l.err
	}
	l.buf = l.buf[:0]
	synced := uint32(l.size)
	for _, e := range entries {
		r := record{kind: kindEntry, synced: synced, index: e.Index, term: e.Term, payload: e.Data}
		l.buf = r.appendTo(l.buf)
		l.note(e.Index)
	}
	if state != nil {
		// After the entries: a torn write must not keep a state that refers to
		// entries it has lost.
		l.state = state
		r := record{kind: kindState, synced: synced, payload: state}
		l.buf = r.appendTo(l.buf)
	}
	if err := l.write(l.buf); err != nil {
		return l.fail(err)
	}
	if l.size >= l.opts.SegmentBytes {
		return l.fail(l.roll(nil))
	}
	return nil
}

func (l *Log) note(index uint64) {
	s := &l.segments[len(l.segments)-1]
	s.last = max(s.last, index)
}

func (l *Log) write(b []byte) error {
	name := l.segmentName(l.segments[len(l.segments)-1].number)
	if _, err := l.file.Write(b); err != nil {
		return wrap("write", name, err)
	}
	if err := l.file.Sync(); err != nil {
		return wrap("sync", name, err)
	}
	l.size += len(b)
	return nil
}

// roll begins a new segment with the state, so that the older ones can go.
func (l *Log) roll(reset *Snapshot) error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	b := beginRecord(number, 0)
	if reset != nil {
		r := record{kind: kindReset, index: reset.Index, term: reset.Term}
		b = r.appendTo(b)
	}
	if l.state != nil {
		r := record{kind: kindState, payload: l.state}
		b = r.appendTo(b)
	}
	copy(b, beginRecord(number, len(b)))
	f, err := l.place(l.segmentName(number), b)
	if err != nil {
		return err
	}
	l.replaceFile(f, len(b))
	l.segments = append(l.segments, segment{number: number})
	return nil
}

func (l *Log) replaceFile(f File, size int) {
	if l.file != nil {
		_ = l.file.Close() // everything in it is synced
	}
	l.file = f
	l.size = size
}

// place writes a file under a temporary name, syncs it, gives it its name and
// syncs the folder. The file stays open.
func (l *Log) place(name string, b []byte) (File, error) {
	tmp := name + tmpSuffix
	f, err := l.fs.Create(tmp)
	if err != nil {
		return nil, wrap("create", tmp, err)
	}
	if err := l.placeOpen(f, tmp, name, b); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func (l *Log) placeOpen(f File, tmp, name string, b []byte) error {
	if _, err := f.Write(b); err != nil {
		return wrap("write", tmp, err)
	}
	if err := f.Sync(); err != nil {
		return wrap("sync", tmp, err)
	}
	if err := l.fs.Rename(tmp, name); err != nil {
		return wrap("rename", tmp, err)
	}
	return wrap("sync", filepath.Dir(name), l.fs.SyncFolder(filepath.Dir(name)))
}

// Compact stores a snapshot of entries that the log holds and drops the
// segments that hold nothing later.
func (l *Log) Compact(s Snapshot) error {
	if l.err != nil {
		return l.err
	}
	if err := l.placeSnapshot(s); err != nil {
		return l.fail(err)
	}
	if err := l.roll(nil); err != nil {
		return l.fail(err)
	}
	return l.fail(l.drop(s.Index))
}

// Install stores a snapshot that replaces the whole log.
func (l *Log) Install(s Snapshot, state []byte) error {
	if l.err != nil {
		return l.err
	}
	if err := l.placeSnapshot(s); err != nil {
		return l.fail(err)
	}
	l.state = state
	return l.fail(l.replaceAll(&s))
}

// replaceAll begins a log that holds nothing but the snapshot.
func (l *Log) replaceAll(s *Snapshot) error {
	if err := l.roll(s); err != nil {
		return err
	}
	for i := range l.segments {
		l.segments[i].last = 0
	}
	return l.drop(s.Index)
}

// placeSnapshot stores a snapshot file and removes the one before.
func (l *Log) placeSnapshot(s Snapshot) error {
	name := l.snapshotName(s.Index, s.Term)
	r := record{kind: kindReset, index: s.Index, term: s.Term, payload: s.Data}
	f, err := l.place(name, r.appendTo(nil))
	if err != nil {
		return err
	}
	_ = f.Close()
	old := l.snapshot
	l.snapshot = name
	if old == "" || old == name {
		return nil
	}
	return wrap("remove", old, l.fs.Remove(old))
}

// drop removes the leading segments that hold no entry after index. Each removal
// is synced before the next: if only a later one lasted, a segment would be
// missing in the middle.
func (l *Log) drop(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].last <= index {
		name := l.segmentName(l.segments[0].number)
		if err := l.fs.Remove(name); err != nil {
			return wrap("remove", name, err)
		}
		if err := l.fs.SyncFolder(l.opts.Folder); err != nil {
			return wrap("sync", l.opts.Folder, err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// fail makes an error permanent: after a failed sync the operating system may
// drop what was written and report success the next time.
func (l *Log) fail(err error) error {
	if err != nil {
		l.err = err
	}
	return err
}

// Close releases the folder. Everything is on disk already.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if l.lock != nil {
		err = errors.Join(err, l.lock.Close())
	}
	if l.err == nil {
		l.err = &IOError{Op: "use", File: l.opts.Folder, Cause: io.ErrClosedPipe}
	}
	return err
}
