package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Names and parts of names of the files in a log's folder, and suffixes of the
// folder's own name.
const (
	segmentSuffix     = ".log"
	snapshotPrefix    = "snapshot-"
	tmpSuffix         = ".tmp"
	identityFile      = "identity"
	lockFile          = "lock"
	stateLostFile     = "lost" // marks a folder whose earlier contents were set aside
	replacementSuffix = ".new"
	damagedSuffix     = ".damaged-"
)

func (l *Log) segmentPath(number uint64) string {
	return filepath.Join(l.opts.Folder, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

func (l *Log) snapshotPath(index, term uint64) string {
	return filepath.Join(l.opts.Folder, fmt.Sprintf("%s%016x-%016x", snapshotPrefix, index, term))
}

// Open opens a log and returns what it holds. An empty folder gets a new
// identity. Errors are *DamagedError, *IOError, *LockedError and *OwnerError.
func Open(opts Options) (*Log, *Contents, error) {
	if opts.FS == nil {
		opts.FS = OS{}
	}
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = defaultSegmentBytes
	}
	l := &Log{opts: opts, fs: opts.FS}
	c, err := l.open()
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	return l, c, nil
}

func (l *Log) open() (*Contents, error) {
	if err := l.finishSetAside(); err != nil {
		return nil, err
	}
	if err := l.fs.MkdirAll(l.opts.Folder); err != nil {
		return nil, wrap("create", l.opts.Folder, err)
	}
	parent := filepath.Dir(l.opts.Folder)
	if err := l.fs.SyncFolder(parent); err != nil {
		return nil, wrap("sync", parent, err)
	}
	lock, err := l.fs.Lock(filepath.Join(l.opts.Folder, lockFile))
	if err != nil {
		return nil, wrap("lock", l.opts.Folder, err)
	}
	l.lock = lock
	names, err := l.fs.List(l.opts.Folder)
	if err != nil {
		return nil, wrap("list", l.opts.Folder, err)
	}
	c := &Contents{StateLost: slices.Contains(names, stateLostFile)}
	if err := l.loadIdentity(c, names); err != nil {
		return nil, err
	}
	if err := l.loadSnapshot(c, names); err != nil {
		return nil, err
	}
	if err := l.loadSegments(c, names); err != nil {
		return nil, err
	}
	return c, l.removeTempFiles(names)
}

// loadIdentity reads the identity and checks the owner. In a folder without any
// data it creates a new identity.
func (l *Log) loadIdentity(c *Contents, names []string) error {
	name := filepath.Join(l.opts.Folder, identityFile)
	if slices.Contains(names, identityFile) {
		b, err := l.fs.ReadFile(name)
		if err != nil {
			return wrap("read", name, err)
		}
		r, n := parseRecord(b)
		if n == 0 || n != len(b) || r.kind != kindBegin {
			return &DamagedError{File: name, Detail: "not a valid identity"}
		}
		if string(r.payload) != l.opts.Owner {
			return &OwnerError{Folder: l.opts.Folder, Owner: string(r.payload), Want: l.opts.Owner}
		}
		c.Identity = r.index
		return nil
	}
	for _, n := range names {
		if strings.HasSuffix(n, segmentSuffix) || isSnapshot(n) {
			return &DamagedError{File: name, Detail: "missing although the folder holds a log"}
		}
	}
	c.Identity = l.opts.NewIdentity()
	r := record{kind: kindBegin, index: c.Identity, payload: []byte(l.opts.Owner)}
	f, err := l.createDurably(name, r.appendTo(nil))
	if err != nil {
		return err
	}
	return wrap("close", name, f.Close())
}

func isSnapshot(name string) bool {
	return strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, tmpSuffix)
}

// loadSnapshot reads the latest snapshot and removes older ones. The names sort by
// index.
func (l *Log) loadSnapshot(c *Contents, names []string) error {
	for _, n := range names {
		if !isSnapshot(n) {
			continue
		}
		old := l.snapshotFile
		l.snapshotFile = filepath.Join(l.opts.Folder, n)
		if old == "" {
			continue
		}
		if err := l.fs.Remove(old); err != nil {
			return wrap("remove", old, err)
		}
	}
	if l.snapshotFile == "" {
		return nil
	}
	b, err := l.fs.ReadFile(l.snapshotFile)
	if err != nil {
		return wrap("read", l.snapshotFile, err)
	}
	r, n := parseRecord(b)
	if n == 0 || n != len(b) || l.snapshotPath(r.index, r.term) != l.snapshotFile {
		return &DamagedError{File: l.snapshotFile, Detail: "not a valid snapshot"}
	}
	c.Snapshot = &Snapshot{Index: r.index, Term: r.term, Data: r.payload}
	return nil
}

// loadSegments replays all segments in the order of their numbers, which must have
// no gap. A new log gets its first segment.
func (l *Log) loadSegments(c *Contents, names []string) error {
	var numbers []uint64
	for _, n := range names {
		if !strings.HasSuffix(n, segmentSuffix) {
			continue
		}
		number, err := strconv.ParseUint(strings.TrimSuffix(n, segmentSuffix), 16, 64)
		if err != nil {
			return &DamagedError{File: filepath.Join(l.opts.Folder, n), Detail: "not a valid segment name"}
		}
		numbers = append(numbers, number)
	}
	if len(numbers) == 0 {
		if c.Snapshot != nil {
			return &DamagedError{File: l.segmentPath(1), Detail: "no segment although the folder holds a snapshot"}
		}
		return l.rollSegment(nil)
	}
	rp := &replay{log: l, contents: c}
	for i, number := range numbers {
		if number != numbers[0]+uint64(i) {
			return &DamagedError{File: l.segmentPath(numbers[0] + uint64(i)), Detail: "missing segment"}
		}
		if err := rp.replaySegment(number, i == len(numbers)-1); err != nil {
			return err
		}
	}
	l.state = c.State
	return rp.reconcileSnapshot()
}

// replay rebuilds the contents of a log from its records.
type replay struct {
	log      *Log
	contents *Contents
	entries  []Entry
	file     string // path of the segment being replayed
	offset   int    // of the record being read
}

// replaySegment replays one segment. The last one is rewritten without its torn
// tail, even if there is none: after a failed sync, data that can be read is not
// necessarily on disk.
func (rp *replay) replaySegment(number uint64, last bool) error {
	l := rp.log
	rp.file = l.segmentPath(number)
	b, err := l.fs.ReadFile(rp.file)
	if err != nil {
		return wrap("read", rp.file, err)
	}
	l.segments = append(l.segments, segment{number: number})
	rp.offset = 0
	initialSize := 0
	for rp.offset < len(b) {
		r, n := parseRecord(b[rp.offset:])
		if n == 0 {
			break
		}
		if rp.offset == 0 {
			initialSize = int(r.synced)
		}
		if err := rp.addRecord(&r, number); err != nil {
			return err
		}
		rp.offset += n
	}
	// An invalid record is damage, not a torn tail, if it is in an earlier segment,
	// in the initial content of a segment or below what a later record states as
	// synced.
	if rp.offset == 0 || rp.offset < initialSize || rp.offset < len(b) && (!last || syncedBeyond(b, rp.offset)) {
		return rp.damaged("not a valid record")
	}
	if !last {
		return nil
	}
	rp.contents.TornBytes = len(b) - rp.offset
	copy(b, beginRecord(number, rp.offset))
	f, err := l.createDurably(rp.file, b[:rp.offset])
	if err != nil {
		return err
	}
	l.replaceFile(f, rp.offset)
	return nil
}

func (rp *replay) damaged(detail string) error {
	return &DamagedError{File: rp.file, Offset: int64(rp.offset), Detail: detail}
}

// addRecord applies one record of a segment.
func (rp *replay) addRecord(r *record, number uint64) error {
	if rp.offset == 0 && (r.kind != kindBegin || r.index != number) {
		return rp.damaged("the segment does not begin with a record of its number")
	}
	switch r.kind {
	case kindState:
		rp.contents.State = r.payload
	case kindReset:
		rp.entries = nil
	case kindEntry:
		return rp.addEntry(Entry{Index: r.index, Term: r.term, Data: r.payload})
	}
	return nil
}

// addEntry appends an entry, which replaces all entries from its index on.
func (rp *replay) addEntry(e Entry) error {
	rp.log.updateLastIndex(e.Index)
	if n := len(rp.entries); n > 0 {
		first := rp.entries[0].Index
		switch {
		case e.Index < first:
			rp.entries = rp.entries[:0]
		case e.Index > first+uint64(n):
			return rp.damaged(fmt.Sprintf("entry %d follows entry %d", e.Index, first+uint64(n)-1))
		default:
			rp.entries = rp.entries[:e.Index-first]
		}
	}
	rp.entries = append(rp.entries, e)
	return nil
}

// reconcileSnapshot drops the entries that the snapshot covers, or all of them if
// they do not match the snapshot.
func (rp *replay) reconcileSnapshot() error {
	all := rp.entries
	s := rp.contents.Snapshot
	if len(all) == 0 {
		return nil
	}
	if s == nil {
		s = &Snapshot{}
	}
	first := all[0].Index
	last := all[len(all)-1].Index
	switch {
	case first == s.Index+1:
		rp.contents.Entries = all
	case first > s.Index+1:
		return rp.damaged(fmt.Sprintf("no entry follows the snapshot at %d", s.Index))
	case last < s.Index || all[s.Index-first].Term != s.Term:
		// Install stored the snapshot, but a crash interrupted it before it
		// replaced the log.
		return rp.log.resetToSnapshot(s)
	default:
		rp.contents.Entries = all[s.Index-first+1:]
	}
	return nil
}

// removeTempFiles removes the temporary files that a crash left behind.
func (l *Log) removeTempFiles(names []string) error {
	for _, n := range names {
		if !strings.HasSuffix(n, tmpSuffix) {
			continue
		}
		name := filepath.Join(l.opts.Folder, n)
		if err := l.fs.Remove(name); err != nil {
			return wrap("remove", name, err)
		}
	}
	return nil
}

// SetAside renames a damaged folder and puts a new one in its place that holds only
// a marker that state was lost, see Contents.StateLost. The member then starts as a
// new incarnation and receives its state from the other members.
func SetAside(fs FS, folder string) error {
	if fs == nil {
		fs = OS{}
	}
	l := &Log{opts: Options{Folder: folder + replacementSuffix}, fs: fs}
	if err := fs.MkdirAll(l.opts.Folder); err != nil {
		return wrap("create", l.opts.Folder, err)
	}
	f, err := l.createDurably(filepath.Join(l.opts.Folder, stateLostFile), nil)
	if err != nil {
		return err
	}
	_ = f.Close()
	l.opts.Folder = folder
	aside, err := l.unusedPath()
	if err != nil {
		return err
	}
	if err := fs.Rename(folder, aside); err != nil {
		return wrap("rename", folder, err)
	}
	return l.finishSetAside()
}

// unusedPath returns a path for the damaged folder that does not exist yet.
func (l *Log) unusedPath() (string, error) {
	parent := filepath.Dir(l.opts.Folder)
	names, err := l.fs.List(parent)
	if err != nil {
		return "", wrap("list", parent, err)
	}
	for i := 1; ; i++ {
		name := fmt.Sprintf("%s%s%d", filepath.Base(l.opts.Folder), damagedSuffix, i)
		if !slices.Contains(names, name) {
			return filepath.Join(parent, name), nil
		}
	}
}

// finishSetAside completes a SetAside, also one that a crash interrupted between
// its two renames.
func (l *Log) finishSetAside() error {
	parent, base := filepath.Split(l.opts.Folder)
	names, err := l.fs.List(parent)
	if err != nil {
		return wrap("list", parent, err)
	}
	if slices.Contains(names, base) || !slices.Contains(names, base+replacementSuffix) {
		return nil
	}
	if err := l.fs.Rename(l.opts.Folder+replacementSuffix, l.opts.Folder); err != nil {
		return wrap("rename", l.opts.Folder+replacementSuffix, err)
	}
	return wrap("sync", parent, l.fs.SyncFolder(parent))
}
