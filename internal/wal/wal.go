// Package wal stores a member's write-ahead log on disk: segments of records with
// checksums, snapshot files and the member's identity.
//
// Once Append, Install or Compact has returned without an error, the data is on
// disk. A write that was torn by a crash is dropped at the next Open; synced data
// that cannot be read is reported as *DamagedError and never dropped. One case is
// indistinguishable: damage to the very last write looks like a torn write.
package wal

import (
	"errors"
	"io"
	"path/filepath"
)

// defaultSegmentBytes is the size at which a new segment is begun. The last
// segment is copied at each Open, which takes milliseconds at this size.
const defaultSegmentBytes = 4 << 20

// Options set up a log.
type Options struct {
	Folder string
	// Owner names the member. A folder of another owner is refused.
	Owner        string
	NewIdentity  func() uint64 // generates the identity for an empty folder
	FS           FS            // nil for the file system of the operating system
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

// Contents is the content of a log at the time it was opened.
type Contents struct {
	Identity uint64
	State    []byte // nil if none was stored
	Snapshot *Snapshot
	Entries  []Entry // entries after the snapshot, without a gap
	// StateLost is set if earlier contents were damaged and set aside.
	StateLost bool
	// TornBytes is the size in bytes of the torn tail that was dropped.
	TornBytes int
}

// segment is one file of the log.
type segment struct {
	number uint64
	last   uint64 // highest index of an entry in it
}

// Log is an open log. It is not safe for concurrent use. After an error only Close
// may be called.
type Log struct {
	opts         Options
	fs           FS
	lock         io.Closer
	file         File
	size         int
	segments     []segment // the last one is being written
	state        []byte
	snapshotFile string // path of the current snapshot file
	buf          []byte
	err          error
}

// Append stores entries and, if it is not nil, a state, with one sync. An entry
// whose index is already stored replaces the stored entry and all after it.
func (l *Log) Append(state []byte, entries []Entry) error {
	if l.err != nil {
		return l.err
	}
	l.buf = l.buf[:0]
	synced := uint32(l.size)
	for _, e := range entries {
		r := record{kind: kindEntry, synced: synced, index: e.Index, term: e.Term, payload: e.Data}
		l.buf = r.appendTo(l.buf)
		l.updateLastIndex(e.Index)
	}
	if state != nil {
		// The state follows the entries so that a torn write cannot keep a state
		// that refers to entries that were lost.
		l.state = state
		r := record{kind: kindState, synced: synced, payload: state}
		l.buf = r.appendTo(l.buf)
	}
	if err := l.write(l.buf); err != nil {
		return l.latchError(err)
	}
	if l.size >= l.opts.SegmentBytes {
		return l.latchError(l.rollSegment(nil))
	}
	return nil
}

// updateLastIndex records that the last segment holds an entry at index.
func (l *Log) updateLastIndex(index uint64) {
	s := &l.segments[len(l.segments)-1]
	s.last = max(s.last, index)
}

// write appends b to the last segment and syncs it.
func (l *Log) write(b []byte) error {
	name := l.segmentPath(l.segments[len(l.segments)-1].number)
	if _, err := l.file.Write(b); err != nil {
		return wrap("write", name, err)
	}
	if err := l.file.Sync(); err != nil {
		return wrap("sync", name, err)
	}
	l.size += len(b)
	return nil
}

// rollSegment begins a new segment with a copy of the state, so that older segments
// can be removed. If reset is not nil, the new segment discards all entries before
// it and the log starts after that snapshot.
func (l *Log) rollSegment(reset *Snapshot) error {
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
	f, err := l.createDurably(l.segmentPath(number), b)
	if err != nil {
		return err
	}
	l.replaceFile(f, len(b))
	l.segments = append(l.segments, segment{number: number})
	return nil
}

// replaceFile makes f, of the given size, the file that is written to.
func (l *Log) replaceFile(f File, size int) {
	if l.file != nil {
		_ = l.file.Close() // everything in it is synced
	}
	l.file = f
	l.size = size
}

// createDurably writes a file under a temporary name, syncs it, renames it to name
// and syncs the folder. It returns the open file.
func (l *Log) createDurably(name string, b []byte) (File, error) {
	tmp := name + tmpSuffix
	f, err := l.fs.Create(tmp)
	if err != nil {
		return nil, wrap("create", tmp, err)
	}
	if err := l.writeAndRename(f, tmp, name, b); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func (l *Log) writeAndRename(f File, tmp, name string, b []byte) error {
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

// Compact stores a snapshot of entries that the log holds and removes the leading
// segments that hold only entries covered by the snapshot.
func (l *Log) Compact(s Snapshot) error {
	if l.err != nil {
		return l.err
	}
	if err := l.storeSnapshot(s); err != nil {
		return l.latchError(err)
	}
	if err := l.rollSegment(nil); err != nil {
		return l.latchError(err)
	}
	return l.latchError(l.dropSegments(s.Index))
}

// Install stores a snapshot that replaces the whole log.
func (l *Log) Install(s Snapshot, state []byte) error {
	if l.err != nil {
		return l.err
	}
	if err := l.storeSnapshot(s); err != nil {
		return l.latchError(err)
	}
	l.state = state
	return l.latchError(l.resetToSnapshot(&s))
}

// resetToSnapshot begins a segment that discards all entries and removes the older
// segments.
func (l *Log) resetToSnapshot(s *Snapshot) error {
	if err := l.rollSegment(s); err != nil {
		return err
	}
	for i := range l.segments {
		l.segments[i].last = 0
	}
	return l.dropSegments(s.Index)
}

// storeSnapshot stores a snapshot file and removes the previous one.
func (l *Log) storeSnapshot(s Snapshot) error {
	name := l.snapshotPath(s.Index, s.Term)
	r := record{kind: kindReset, index: s.Index, term: s.Term, payload: s.Data}
	f, err := l.createDurably(name, r.appendTo(nil))
	if err != nil {
		return err
	}
	_ = f.Close()
	old := l.snapshotFile
	l.snapshotFile = name
	if old == "" || old == name {
		return nil
	}
	return wrap("remove", old, l.fs.Remove(old))
}

// dropSegments removes the leading segments that hold no entry after index. Each
// removal is synced before the next one: if a crash undid an earlier removal but
// not a later one, a segment would be missing in the middle.
func (l *Log) dropSegments(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].last <= index {
		name := l.segmentPath(l.segments[0].number)
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

// latchError makes an error permanent, so that every later call fails: after a
// failed sync the operating system may drop the written data and report success
// for the next sync.
func (l *Log) latchError(err error) error {
	if err != nil {
		l.err = err
	}
	return err
}

// Close closes the log and releases the lock of the folder. All data is already on
// disk.
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
