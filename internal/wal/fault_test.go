package wal

import (
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// memFS is an in-memory file system that loses unsynced data when it crashes and
// injects faults.
type memFS struct {
	live      map[string]*memFile
	durable   map[string]*memFile // names as of the last sync of their folder
	failWith  error               // returned by every change after the next failAfter ones
	failAfter int
	failOnly  string // if set, the only operation that fails
	syncs     int
}

type memFile struct {
	data   []byte
	synced int
}

func newMemFS() *memFS { return &memFS{live: map[string]*memFile{}, durable: map[string]*memFile{}} }

// injectFault counts an operation that changes the file system and returns the
// injected error if it has to fail.
func (m *memFS) injectFault(op string) error {
	if m.failWith == nil || m.failOnly != "" && m.failOnly != op {
		return nil
	}
	if m.failAfter > 0 {
		m.failAfter--
		return nil
	}
	return m.failWith
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) List(folder string) ([]string, error) {
	seen := map[string]bool{}
	for n := range m.live {
		if rest, ok := strings.CutPrefix(n, filepath.Clean(folder)+"/"); ok {
			seen[strings.Split(rest, "/")[0]] = true
		}
	}
	return slices.Sorted(maps.Keys(seen)), nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f := m.live[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memFS) Create(name string) (File, error) {
	if err := m.injectFault("create"); err != nil {
		return nil, err
	}
	f := &memFile{}
	m.live[name] = f
	return &memHandle{fs: m, file: f}, nil
}

// Rename moves a file, or all files of a folder.
func (m *memFS) Rename(from, to string) error {
	if err := m.injectFault("rename"); err != nil {
		return err
	}
	for n, f := range maps.Clone(m.live) {
		if n == from || strings.HasPrefix(n, from+"/") {
			delete(m.live, n)
			m.live[to+strings.TrimPrefix(n, from)] = f
		}
	}
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.injectFault("remove"); err != nil {
		return err
	}
	delete(m.live, name)
	return nil
}

func (m *memFS) SyncFolder(folder string) error {
	if err := m.injectFault("sync"); err != nil {
		return err
	}
	m.durable = maps.Clone(m.live)
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// crash drops unsynced changes except for a random part: of each file some bytes
// survive, one of which may be wrong, and of the changed names either all or none.
func (m *memFS) crash(rnd *rand.Rand) {
	if rnd.IntN(2) == 0 {
		m.live = maps.Clone(m.durable)
	}
	m.failWith = nil
	for _, f := range m.live {
		if extra := len(f.data) - f.synced; extra > 0 {
			f.data = f.data[:f.synced+rnd.IntN(extra+1)]
			if len(f.data) > f.synced && rnd.IntN(2) == 0 {
				f.data[f.synced+rnd.IntN(len(f.data)-f.synced)] ^= 0x55
			}
		}
		f.synced = len(f.data)
	}
	m.durable = maps.Clone(m.live)
}

type memHandle struct {
	fs   *memFS
	file *memFile
}

// Write writes half of the bytes when it fails, like a full disk.
func (h *memHandle) Write(b []byte) (int, error) {
	if err := h.fs.injectFault("write"); err != nil {
		h.file.data = append(h.file.data, b[:len(b)/2]...)
		return len(b) / 2, err
	}
	h.file.data = append(h.file.data, b...)
	return len(b), nil
}

func (h *memHandle) Sync() error {
	if err := h.fs.injectFault("sync"); err != nil {
		return err
	}
	h.fs.syncs++
	h.file.synced = len(h.file.data)
	return nil
}

func (h *memHandle) Close() error { return nil }
