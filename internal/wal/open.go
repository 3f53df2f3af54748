package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Names in a folder.
const (
	segmentSuffix  = ".log"
	snapshotPrefix = "snapshot-"
	tmpSuffix      = ".tmp"
	identityFile   = "identity"
	lockFile       = "lock"
	lostFile       = "lost" // earlier contents were set aside
	newSuffix      = ".new"
	asideSuffix    = ".damaged-"
)

func (l *Log) segmentName(number uint64) string {
	return filepath.Join(l.opts.Folder, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

func (l *Log) snapshotName(index, term uint64) string {
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
	c := &Contents{Lost: slices.Contains(names, lostFile)}
	if err := l.identify(c, names); err != nil {
		return nil, err
	}
	if err := l.loadSnapshot(c, names); err != nil {
		return nil, err
	}
	if err := l.loadSegments(c, names); err != nil {
		return nil, err
	}
	return c, l.removeTemporary(names)
}

// identify reads the identity, or makes one in a folder without any data.
func (l *Log) identify(c *Contents, names []string) error {
	name := filepath.Join(l.opts.Folder, identityFile)
	if slices.Contains(names, identityFile) {
		b, err := l.fs.ReadFile(name)
		if err != nil {
			return wrap("read", name, err)
		}
		r, n := parse(b)
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
			return &DamagedError{File: name, Detail: "missing although there is a log"}
		}
	}
	c.Identity = l.opts.NewIdentity()
	r := record{kind: kindBegin, index: c.Identity, payload: []byte(l.opts.Owner)}
	f, err := l.place(name, r.appendTo(nil))
	if err != nil {
		return err
	}
	return wrap("close", name, f.Close())
}

func isSnapshot(name string) bool {
	return strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, tmpSuffix)
}

// loadSnapshot reads the latest snapshot. Names sort by index.
func (l *Log) loadSnapshot(c *Contents, names []string) error {
	for _, n := range names {
		if !isSnapshot(n) {
			continue
		}
		old := l.snapshot
		l.snapshot = filepath.Join(l.opts.Folder, n)
		if old == "" {
			continue
		}
		if err := l.fs.Remove(old); err != nil {
			return wrap("remove", old, err)
		}
	}
	if l.snapshot == "" {
		return nil
	}
	b, err := l.fs.ReadFile(l.snapshot)
	if err != nil {
		return wrap("read", l.snapshot, err)
	}
	r, n := parse(b)
	if n == 0 || n != len(b) || l.snapshotName(r.index, r.term) != l.snapshot {
		return &DamagedError{File: l.snapshot, Detail: "not a valid snapshot"}
	}
	c.Snapshot = &Snapshot{Index: r.index, Term: r.term, Data: r.payload}
	return nil
}

func (l *Log) loadSegments(c *Contents, names []string) error {
	var numbers []uint64
	for _, n := range names {
		if !strings.HasSuffix(n, segmentSuffix) {
			continue
		}
		number, err := strconv.ParseUint(strings.TrimSuffix(n, segmentSuffix), 16, 64)
		if err != nil {
			return &DamagedError{File: filepath.Join(l.opts.Folder, n), Detail: "not a segment's name"}
		}
		numbers = append(numbers, number)
	}
	if len(numbers) == 0 {
		if c.Snapshot != nil {
			return &DamagedError{File: l.segmentName(1), Detail: "no segment although there is a snapshot"}
		}
		return l.roll(nil)
	}
	rp := &replay{log: l, contents: c}
	for i, number := range numbers {
		if number != numbers[0]+uint64(i) {
			return &DamagedError{File: l.segmentName(numbers[0] + uint64(i)), Detail: "missing segment"}
		}
		if err := rp.segment(number, i == len(numbers)-1); err != nil {
			return err
		}
	}
	l.state = c.State
	return rp.finish()
}

// replay rebuilds the contents from the records.
type replay struct {
	log      *Log
	contents *Contents
	entries  []Entry
	at       string // name and offset of the record being read
	offset   int
}

// segment reads one segment. The last one is written anew without its torn tail:
// after a failed sync, what can be read need not be on disk.
func (rp *replay) segment(number uint64, last bool) error {
	l := rp.log
	rp.at = l.segmentName(number)
	b, err := l.fs.ReadFile(rp.at)
	if err != nil {
		return wrap("read", rp.at, err)
	}
	l.segments = append(l.segments, segment{number: number})
	rp.offset = 0
	placed := 0
	for rp.offset < len(b) {
		r, n := parse(b[rp.offset:])
		if n == 0 {
			break
		}
		if rp.offset == 0 {
			placed = int(r.synced)
		}
		if err := rp.add(&r, number); err != nil {
			return err
		}
		rp.offset += n
	}
	if rp.offset == 0 || rp.offset < placed || rp.offset < len(b) && (!last || syncedBeyond(b, rp.offset)) {
		return rp.damaged("the record fails its check")
	}
	if !last {
		return nil
	}
	rp.contents.Cut = len(b) - rp.offset
	copy(b, beginRecord(number, rp.offset))
	f, err := l.place(rp.at, b[:rp.offset])
	if err != nil {
		return err
	}
	l.replaceFile(f, rp.offset)
	return nil
}

func (rp *replay) damaged(detail string) error {
	return &DamagedError{File: rp.at, Offset: int64(rp.offset), Detail: detail}
}

func (rp *replay) add(r *record, number uint64) error {
	if rp.offset == 0 && (r.kind != kindBegin || r.index != number) {
		return rp.damaged("does not begin with its number")
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

// addEntry adds an entry in place of those from its index on.
func (rp *replay) addEntry(e Entry) error {
	rp.log.note(e.Index)
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

// finish drops what the snapshot covers.
func (rp *replay) finish() error {
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
		// The snapshot came from a leader, and a crash kept it from replacing
		// the log.
		return rp.log.replaceAll(s)
	default:
		rp.contents.Entries = all[s.Index-first+1:]
	}
	return nil
}

func (l *Log) removeTemporary(names []string) error {
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

// SetAside renames a damaged folder and leaves an empty one in its place, whose
// contents say that state was lost. The member then starts as a new incarnation
// and is repaired from the others.
func SetAside(fs FS, folder string) error {
	if fs == nil {
		fs = OS{}
	}
	l := &Log{opts: Options{Folder: folder + newSuffix}, fs: fs}
	if err := fs.MkdirAll(l.opts.Folder); err != nil {
		return wrap("create", l.opts.Folder, err)
	}
	f, err := l.place(filepath.Join(l.opts.Folder, lostFile), nil)
	if err != nil {
		return err
	}
	_ = f.Close()
	l.opts.Folder = folder
	aside, err := l.freeName()
	if err != nil {
		return err
	}
	if err := fs.Rename(folder, aside); err != nil {
		return wrap("rename", folder, err)
	}
	return l.finishSetAside()
}

// freeName returns a name for the damaged folder that is not taken.
func (l *Log) freeName() (string, error) {
	parent := filepath.Dir(l.opts.Folder)
	names, err := l.fs.List(parent)
	if err != nil {
		return "", wrap("list", parent, err)
	}
	for i := 1; ; i++ {
		name := fmt.Sprintf("%s%s%d", filepath.Base(l.opts.Folder), asideSuffix, i)
		if !slices.Contains(names, name) {
			return filepath.Join(parent, name), nil
		}
	}
}

// finishSetAside completes a SetAside that a crash has interrupted between its
// two renames.
func (l *Log) finishSetAside() error {
	parent, base := filepath.Split(l.opts.Folder)
	names, err := l.fs.List(parent)
	if err != nil {
		return wrap("list", parent, err)
	}
	if slices.Contains(names, base) || !slices.Contains(names, base+newSuffix) {
		return nil
	}
	if err := l.fs.Rename(l.opts.Folder+newSuffix, l.opts.Folder); err != nil {
		return wrap("rename", l.opts.Folder+newSuffix, err)
	}
	return wrap("sync", parent, l.fs.SyncFolder(parent))
}
