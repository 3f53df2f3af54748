// Package blackboard holds the soft state that the controllers of one daemon
// share: the announced workers and their health. It is split into shards, each
// under its own lock. Durable state is not kept here.
package blackboard

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

const shardCount = 16

// Entry is a worker and its health. Entries are copies.
type Entry struct {
	Worker model.Worker       `json:"worker"`
	Health model.WorkerHealth `json:"health"`
}

// shard holds the workers whose name hashes to it; mu guards entries.
type shard struct {
	mu      sync.RWMutex
	entries map[string]Entry
}

// Board is the blackboard.
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

// Announce records an announcement received at now. It reports whether the
// announcement is news: late and doubled ones are not.
func (b *Board) Announce(w model.Worker, now time.Time) bool {
	s := b.shard(w.Name)
	s.mu.Lock()
	old, known := s.entries[w.Name]
	if known && old.Worker.Incarnation == w.Incarnation && w.Seq <= old.Worker.Seq {
		s.mu.Unlock()
		return false
	}
	e := Entry{Worker: w, Health: old.Health}
	e.Health.LastSeen = now
	s.entries[w.Name] = e
	s.mu.Unlock()
	if !known || old.Worker.Leaving != w.Leaving {
		b.notify()
	}
	return true
}

// Get returns the entry of a worker.
func (b *Board) Get(name string) (Entry, bool) {
	s := b.shard(name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[name]
	return e, ok
}

// Update changes a worker's health.
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

// Remove forgets a worker.
func (b *Board) Remove(name string) {
	s := b.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, name)
}

// List returns all entries by name.
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

// Changed returns a channel that is closed at the next change that may let a
// job start.
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
