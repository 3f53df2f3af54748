// Package blackboard holds the soft state that the controllers of one daemon
// share: the announced workers and their health. It is split into shards with a
// lock each. Durable state is not kept here.
package blackboard

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

const shardCount = 16

// Entry is a worker and its health. The board hands out copies.
type Entry struct {
	Worker model.Worker       `json:"worker"`
	Health model.WorkerHealth `json:"health"`
	// Fingerprint is the fingerprint of Worker, without its Seq.
	Fingerprint uint32 `json:"-"`
}

// shard holds the workers whose names hash to it; mu guards entries.
type shard struct {
	mu      sync.RWMutex
	entries map[string]Entry
}

// Board is the blackboard of a daemon. It is safe for concurrent use.
type Board struct {
	shards [shardCount]shard

	mu      sync.Mutex // guards changed
	changed chan struct{}
}

// New returns an empty board.
func New() *Board {
	b := &Board{changed: make(chan struct{})}
	for i := range b.shards {
		b.shards[i].entries = map[string]Entry{}
	}
	return b
}

func (b *Board) shard(name string) *shard { return &b.shards[xxhash.Sum64String(name)%shardCount] }

// AnnounceEffect is the effect of an announcement.
type AnnounceEffect int

// The effects of an announcement.
const (
	Stale     AnnounceEffect = iota // out of date or a duplicate; it was ignored
	Unchanged                       // only the time when the worker was last seen changed
	Changed                         // a new worker, or one whose announced properties changed
)

// Announce records an announcement received at now. Within an incarnation of a
// worker announcements are ordered by Seq, and incarnations increase, so that
// announcements arriving out of order are recognised.
func (b *Board) Announce(w model.Worker, now time.Time) AnnounceEffect {
	s := b.shard(w.Name)
	s.mu.Lock()
	old, known := s.entries[w.Name]
	if known && isStale(&w, &old.Worker) {
		s.mu.Unlock()
		return Stale
	}
	e := Entry{Worker: w, Health: old.Health, Fingerprint: fingerprint(&w)}
	e.Health.LastSeen = now
	s.entries[w.Name] = e
	s.mu.Unlock()
	if known && e.Fingerprint == old.Fingerprint {
		return Unchanged
	}
	b.notify()
	return Changed
}

func isStale(w, old *model.Worker) bool {
	if w.Incarnation != old.Incarnation {
		return w.Incarnation < old.Incarnation
	}
	return w.Seq <= old.Seq
}

// fingerprint returns a hash of all announced properties except Seq.
func fingerprint(w *model.Worker) uint32 {
	c := *w
	c.Seq = 0
	return uint32(xxhash.Sum64String(fmt.Sprintf("%+v", c)))
}

// Touch records that the workers with the given fingerprints were alive at now.
// It returns the fingerprints that match no worker on the board.
func (b *Board) Touch(prints []uint32, now time.Time) (unknown []uint32) {
	pending := make(map[uint32]bool, len(prints))
	for _, p := range prints {
		pending[p] = true
	}
	for i := range b.shards {
		b.shards[i].touch(pending, now)
	}
	for _, p := range prints {
		if pending[p] {
			unknown = append(unknown, p)
		}
	}
	return unknown
}

// touch updates the workers whose fingerprint is a key of pending and sets the
// fingerprint's value to false.
func (s *shard) touch(pending map[uint32]bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, e := range s.entries {
		if _, ok := pending[e.Fingerprint]; !ok {
			continue
		}
		e.Health.LastSeen = now
		s.entries[name] = e
		pending[e.Fingerprint] = false
	}
}

// Get returns the entry of a worker.
func (b *Board) Get(name string) (Entry, bool) {
	s := b.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[name]
	return e, ok
}

// Update modifies a worker's health with f.
func (b *Board) Update(name string, f func(*model.WorkerHealth)) {
	s := b.shard(name)
	s.mu.Lock()
	e, ok := s.entries[name]
	if ok {
		f(&e.Health)
		s.entries[name] = e
	}
	s.mu.Unlock()
	b.notify()
}

// Prune removes the workers that have not been heard from since the given time.
func (b *Board) Prune(before time.Time) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for name, e := range s.entries {
			if e.Health.LastSeen.Before(before) {
				delete(s.entries, name)
			}
		}
		s.mu.Unlock()
	}
}

// List returns all entries, sorted by name.
func (b *Board) List() []Entry {
	var out []Entry
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.RLock()
		for _, e := range s.entries {
			out = append(out, e)
		}
		s.mu.RUnlock()
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker.Name < out[j].Worker.Name })
	return out
}

// Changed returns a channel that is closed at the next change that may allow a
// job to start.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Board) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}
