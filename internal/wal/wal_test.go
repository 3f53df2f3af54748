package wal

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes failures reproducible.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261203")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const folder = "/data/zone-a"

func options(fs FS) Options {
	next := uint64(0)
	return Options{
		Folder: folder, Owner: "zone-a/i0", FS: fs, SegmentBytes: 400,
		NewIdentity: func() uint64 { next++; return next },
	}
}

func mustOpen(t interface{ Fatal(...any) }, o Options) (*Log, *Contents) {
	l, c, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	return l, c
}

func entries(term, from, to uint64) []Entry {
	var out []Entry
	for i := from; i <= to; i++ {
		out = append(out, Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return out
}

// Guards against a restart that loses or reorders entries or restores replaced
// ones, and against more than one sync per batch.
func TestRestartAfterHundredsOfEntries(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	o := options(fs)
	l, c := mustOpen(t, o)
	is.Equal(len(c.Entries), 0)
	syncs := fs.syncs
	is.NoErr(l.Append([]byte("s1"), entries(1, 1, 5)))
	is.Equal(fs.syncs, syncs+1) // one sync for five entries and a state
	for i := uint64(6); i <= 500; i++ {
		is.NoErr(l.Append(nil, entries(1, i, i)))
	}
	is.NoErr(l.Append([]byte("s2"), entries(2, 480, 490)))
	is.NoErr(l.Close())
	l, c = mustOpen(t, o)
	is.Equal(c.Identity, uint64(1))
	is.Equal(string(c.State), "s2")
	is.Equal(len(c.Entries), 490)
	is.Equal(c.Entries[479], entries(2, 480, 480)[0])
	is.NoErr(l.Compact(Snapshot{Index: 470, Term: 1, Data: []byte("state")}))
	is.NoErr(l.Append(nil, entries(2, 491, 492)))
	is.NoErr(l.Close())
	names, _ := fs.List(folder)
	is.True(len(names) < 12) // segments before the snapshot are removed
	l, c = mustOpen(t, o)
	is.Equal(string(c.State), "s2")
	is.Equal(string(c.Snapshot.Data), "state")
	is.Equal(c.Entries[0].Index, uint64(471))
	is.Equal(len(c.Entries), 22)
	is.NoErr(l.Install(Snapshot{Index: 480, Term: 3, Data: []byte("other")}, []byte("s3")))
	is.NoErr(l.Append(nil, entries(3, 481, 483)))
	is.NoErr(l.Close())
	_, c = mustOpen(t, o)
	is.Equal(string(c.State), "s3")
	is.Equal(c.Entries, entries(3, 481, 483))
}

// model is the content that a log must hold.
type model struct {
	state    string
	snapshot uint64
	entries  []Entry
}

// Guards against the loss of acknowledged data, and against entries that were
// never written, after a crash at any operation with torn and partially written
// files.
func TestCrashKeepsAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemFS()
		o := options(fs)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var want model
		for range rapid.IntRange(1, 12).Draw(t, "restarts") {
			l, c := mustOpen(t, o)
			want.checkContents(t, c)
			want.adopt(c)
			fs.failWith = syscall.ENOSPC
			fs.failAfter = rapid.IntRange(0, 60).Draw(t, "operations")
			for want.randomOperation(l, rnd) == nil {
			}
			fs.crash(rnd)
		}
	})
}

// checkContents expects at least the acknowledged data, with entries in order and
// without a gap.
func (m *model) checkContents(t *rapid.T, c *Contents) {
	base := uint64(0)
	if c.Snapshot != nil {
		base = c.Snapshot.Index
	}
	if base < m.snapshot {
		t.Fatalf("snapshot at %d, acknowledged %d", base, m.snapshot)
	}
	for i, e := range c.Entries {
		if e.Index != base+uint64(i)+1 {
			t.Fatalf("entry %d at place %d after snapshot %d", e.Index, i, base)
		}
	}
	newest := uint64(0)
	for _, e := range m.entries {
		if e.Index <= base {
			continue
		}
		if i := e.Index - base - 1; i < uint64(len(c.Entries)) {
			newest = max(newest, c.Entries[i].Term)
		}
		if newest > e.Term {
			continue // an unacknowledged write of a later leader replaced it
		}
		if e.Index > base+uint64(len(c.Entries)) {
			t.Fatalf("entry %d is lost", e.Index)
		}
		got := c.Entries[e.Index-base-1]
		if got.Term != e.Term || string(got.Data) != string(e.Data) {
			t.Fatalf("entry %d is %v, acknowledged %v", e.Index, got, e)
		}
	}
	if string(c.State) < m.state {
		t.Fatalf("state %q, acknowledged %q", c.State, m.state)
	}
}

// adopt makes c the expected content: unacknowledged writes may have survived.
func (m *model) adopt(c *Contents) {
	m.state = string(c.State)
	m.entries = c.Entries
	m.snapshot = 0
	if c.Snapshot != nil {
		m.snapshot = c.Snapshot.Index
	}
}

func (m *model) last() uint64 { return m.snapshot + uint64(len(m.entries)) }

// randomOperation performs one random operation on l. The model changes only if it
// succeeds.
func (m *model) randomOperation(l *Log, rnd *rand.Rand) error {
	term := uint64(1)
	if n := len(m.entries); n > 0 {
		term = m.entries[n-1].Term
	}
	state := fmt.Sprintf("%08d", rnd.IntN(1000)+len(m.state))
	if state < m.state {
		state = m.state
	}
	switch op := rnd.IntN(10); {
	case op == 0 && len(m.entries) > 0:
		k := rnd.IntN(len(m.entries)) + 1
		e := m.entries[k-1]
		if err := l.Compact(Snapshot{Index: e.Index, Term: e.Term, Data: []byte("x")}); err != nil {
			return err
		}
		m.snapshot = e.Index
		m.entries = m.entries[k:]
	case op == 1:
		s := Snapshot{Index: m.last() + 1, Term: term + 1, Data: []byte("y")}
		if err := l.Install(s, []byte(state)); err != nil {
			return err
		}
		*m = model{state: state, snapshot: s.Index}
	default:
		k := len(m.entries)
		n := rnd.IntN(4)
		if op == 2 && k > 1 { // entries of a later leader replace some
			k = rnd.IntN(k)
			term++
			n++
		}
		batch := entries(term, m.snapshot+uint64(k)+1, m.snapshot+uint64(k+n))
		if err := l.Append([]byte(state), batch); err != nil {
			return err
		}
		m.state = state
		m.entries = append(append([]Entry{}, m.entries[:k]...), batch...)
	}
	return nil
}

// Guards against a damaged record before the last write that is dropped as a torn
// tail or read as if it were valid, and against an error that does not name the
// file and an offset up to the damage.
func TestDamagedMiddleIsRefused(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	o := options(fs)
	o.SegmentBytes = 1000
	l, _ := mustOpen(t, o)
	for i := uint64(1); i <= 30; i++ {
		is.NoErr(l.Append([]byte("s"), entries(1, i, i)))
	}
	lastBatch := l.size - len(l.buf)
	lastName := l.segmentPath(l.segments[len(l.segments)-1].number)
	is.NoErr(l.Close())
	for name, f := range fs.live {
		for i := range f.data {
			if strings.HasSuffix(name, lockFile) || name == lastName && i >= lastBatch {
				continue
			}
			copied := newMemFS()
			for n, g := range fs.live {
				copied.live[n] = &memFile{data: append([]byte{}, g.data...)}
			}
			copied.live[name].data[i] ^= 1
			o.FS = copied
			_, _, err := Open(o)
			var damaged *DamagedError
			if !errors.As(err, &damaged) {
				t.Fatalf("byte %d of %s: %v", i, name, err)
			}
			is.Equal(damaged.File, name)
			is.True(damaged.Offset <= int64(i))
		}
	}
}

// Guards against dropping damage as a torn tail in the initial content of a
// segment, which no crash can tear: a member would lose its vote and could vote
// twice in the same term.
func TestDamageInInitialContentIsRefused(t *testing.T) {
	for name, prepare := range map[string]func(*Log) error{
		"compact": func(l *Log) error { return l.Compact(Snapshot{Index: 3, Term: 1, Data: []byte("state")}) },
		"install": func(l *Log) error { return l.Install(Snapshot{Index: 9, Term: 1, Data: []byte("state")}, []byte("s2")) },
		"reopen":  func(*Log) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fs := newMemFS()
			o := options(fs)
			o.SegmentBytes = 1 << 20
			l, _ := mustOpen(t, o)
			is.NoErr(l.Append([]byte("s1"), entries(1, 1, 3)))
			is.NoErr(prepare(l))
			is.NoErr(l.Close())
			if name == "reopen" {
				l, _ = mustOpen(t, o)
				is.NoErr(l.Close())
			}
			last := l.segmentPath(l.segments[len(l.segments)-1].number)
			for i := range fs.live[last].data {
				for _, cut := range []bool{false, true} {
					copied := newMemFS()
					for n, g := range fs.live {
						copied.live[n] = &memFile{data: append([]byte{}, g.data...)}
					}
					f := copied.live[last]
					if cut {
						f.data = f.data[:i]
					} else {
						f.data[i] ^= 1
					}
					o.FS = copied
					_, _, err := Open(o)
					var damaged *DamagedError
					if !errors.As(err, &damaged) {
						t.Fatalf("byte %d of %d, cut %v: %v", i, len(fs.live[last].data), cut, err)
					}
				}
			}
		})
	}
}

// Guards against a torn tail that prevents the log from being opened, and against
// a state that is restored without the entries of its batch.
func TestTornTailIsTruncated(t *testing.T) {
	is := is.New(t)
	fs := newMemFS()
	o := options(fs)
	o.SegmentBytes = 1 << 20
	l, _ := mustOpen(t, o)
	is.NoErr(l.Append([]byte("s1"), entries(1, 1, 3)))
	firstBatchEnd := l.size
	is.NoErr(l.Append([]byte("s2"), entries(1, 4, 4)))
	name := l.segmentPath(1)
	full := fs.live[name].data
	for cut := firstBatchEnd; cut < len(full); cut++ {
		fs.live[name] = &memFile{data: append([]byte{}, full[:cut]...)}
		l, c := mustOpen(t, o)
		is.Equal(string(c.State), "s1")
		is.True(len(c.Entries) == 3 || len(c.Entries) == 4)
		is.True(c.TornBytes < headerBytes+30)
		is.NoErr(l.Append([]byte("s3"), entries(1, 4, 5))) // the log can be written after the truncation
		is.NoErr(l.Close())
	}
}

// Guards against an acknowledgement after a failed operation, for instance on a
// full or read-only disk, and against a call that succeeds although an earlier one
// failed.
func TestFailuresAreTypedAndPermanent(t *testing.T) {
	for _, cause := range []error{syscall.EIO, syscall.ENOSPC, syscall.EROFS} {
		for _, op := range []string{"write", "sync", "create", "rename"} {
			is := is.New(t)
			fs := newMemFS()
			l, _ := mustOpen(t, options(fs))
			fs.failWith = cause
			fs.failOnly = op
			var err error
			for i := uint64(1); err == nil; i++ {
				err = l.Append(nil, entries(1, i, i))
			}
			var failed *IOError
			is.True(errors.As(err, &failed))
			is.True(errors.Is(err, cause))
			is.True(strings.HasPrefix(failed.File, "/data"))
			fs.failWith = nil
			is.True(l.Append(nil, entries(1, 1, 1)) != nil)
			is.True(l.Compact(Snapshot{Index: 1}) != nil)
		}
	}
}

// Guards, on the real file system, against opening a folder that another process
// uses or another member owns, and against a damaged folder that blocks the
// instance permanently or, once set aside, passes for one that never held data.
func TestFolderOnDisk(t *testing.T) {
	is := is.New(t)
	o := options(OS{})
	o.Folder = filepath.Join(t.TempDir(), "zone-a")
	l, _ := mustOpen(t, o)
	is.NoErr(l.Append([]byte("s"), entries(1, 1, 9)))
	_, _, err := Open(o)
	var locked *LockedError
	is.True(errors.As(err, &locked))
	is.NoErr(l.Close())
	other := o
	other.Owner = "zone-b/i0"
	_, _, err = Open(other)
	var owner *OwnerError
	is.True(errors.As(err, &owner))
	l, c := mustOpen(t, o)
	is.Equal(len(c.Entries), 9)
	is.True(!c.StateLost)
	is.NoErr(l.Close())
	is.NoErr(SetAside(nil, o.Folder))
	l, c = mustOpen(t, o)
	is.True(c.StateLost)
	is.Equal(c.Identity, uint64(2)) // a new incarnation
	is.Equal(len(c.Entries), 0)
	is.NoErr(l.Close())
	is.NoErr(SetAside(nil, o.Folder)) // a second time: the first name exists already
}
