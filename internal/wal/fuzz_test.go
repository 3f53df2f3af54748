package wal

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against files of any content at which an instance fails when it starts, instead of telling
// what is damaged.
func FuzzOpen(f *testing.F) {
	fs := newMemFS()
	l, _ := mustOpen(f, options(fs))
	if err := l.Append([]byte("state"), entries(1, 1, 3)); err != nil {
		f.Fatal(err)
	}
	if err := l.Compact(Snapshot{Index: 2, Term: 1, Data: []byte("snapshot")}); err != nil {
		f.Fatal(err)
	}
	if err := l.Append(nil, entries(1, 4, 30)); err != nil {
		f.Fatal(err)
	}
	_ = l.Close()
	var names []string
	for name, file := range fs.live {
		if strings.HasSuffix(name, lockFile) {
			continue
		}
		names = append(names, filepath.Base(name))
		f.Add(filepath.Base(name), file.data)
		f.Add(filepath.Base(name), file.data[:len(file.data)/2])
	}
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		damaged := newMemFS()
		for n, file := range fs.live {
			damaged.live[n] = &memFile{data: append([]byte{}, file.data...), synced: file.synced}
		}
		known := false
		for _, n := range names {
			known = known || n == name
		}
		if !known {
			return
		}
		damaged.live[filepath.Join(folder, name)] = &memFile{data: data, synced: len(data)}
		o := options(damaged)
		l, c, err := Open(o)
		var isDamaged *DamagedError
		var owner *OwnerError
		switch {
		case err == nil:
			for i := 1; i < len(c.Entries); i++ {
				if c.Entries[i].Index != c.Entries[i-1].Index+1 {
					t.Fatal("entries are missing")
				}
			}
			_ = l.Close()
		case errors.As(err, &isDamaged), errors.As(err, &owner):
		default:
			t.Fatal(err)
		}
	})
}
