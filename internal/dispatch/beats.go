package dispatch

import (
	"sync"
	"time"
)

// beatShards spreads the workers' announcements over several locks.
const beatShards = 16

// Beats holds when each worker was last heard.
type Beats struct {
	shards [beatShards]struct {
		mu sync.Mutex
		at map[string]beat
	}
}

type beat struct {
	at   time.Time
	life int64
}

func (b *Beats) shard(id string) int {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return int(h % beatShards)
}

// Note records an announcement of a worker's life.
func (b *Beats) Note(id string, life int64, at time.Time) {
	s := &b.shards[b.shard(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[string]beat{}
	}
	if life >= s.at[id].life {
		s.at[id] = beat{at: at, life: life}
	}
}

// Last returns when a worker's life was last heard; the zero time for never.
func (b *Beats) Last(id string, life int64) time.Time {
	s := &b.shards[b.shard(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := s.at[id]; got.life == life {
		return got.at
	}
	return time.Time{}
}

// Forget drops a worker.
func (b *Beats) Forget(id string) {
	s := &b.shards[b.shard(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.at, id)
}
