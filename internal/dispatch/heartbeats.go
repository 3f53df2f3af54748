package dispatch

import (
	"sync"
	"time"
)

// heartbeatShards is the number of locks over which the workers' announcements are
// spread.
const heartbeatShards = 16

// Heartbeats holds the time of each worker's last announcement.
type Heartbeats struct {
	shards [heartbeatShards]struct {
		mu       sync.Mutex
		byWorker map[string]heartbeat
	}
}

type heartbeat struct {
	lastSeen    time.Time
	leavesAt    time.Time // when the worker may leave; zero if it has not told
	incarnation int64
}

func (b *Heartbeats) shardIndex(id string) int {
	h := uint32(2166136261) // FNV-1a
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return int(h % heartbeatShards)
}

// Record stores the time of an announcement by an incarnation of a worker. An
// announcement of an earlier incarnation is ignored.
func (b *Heartbeats) Record(id string, incarnation int64, at time.Time) {
	s := &b.shards[b.shardIndex(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byWorker == nil {
		s.byWorker = map[string]heartbeat{}
	}
	cur := s.byWorker[id]
	switch {
	case incarnation == cur.incarnation:
		cur.lastSeen = at
		s.byWorker[id] = cur
	case incarnation > cur.incarnation:
		s.byWorker[id] = heartbeat{lastSeen: at, incarnation: incarnation}
	}
}

// RecordLeaving stores the time from which on a recorded incarnation of a worker may
// leave, and everything that it runs with it.
func (b *Heartbeats) RecordLeaving(id string, incarnation int64, at time.Time) {
	s := &b.shards[b.shardIndex(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if cur := s.byWorker[id]; cur.incarnation == incarnation {
		cur.leavesAt = at
		s.byWorker[id] = cur
	}
}

// LeavesAt returns the time from which on an incarnation of a worker may leave, or the
// zero time if it has not told.
func (b *Heartbeats) LeavesAt(id string, incarnation int64) time.Time {
	s := &b.shards[b.shardIndex(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if cur := s.byWorker[id]; cur.incarnation == incarnation {
		return cur.leavesAt
	}
	return time.Time{}
}

// LastSeen returns the time of the last announcement by an incarnation of a worker, or
// the zero time if there was none.
func (b *Heartbeats) LastSeen(id string, incarnation int64) time.Time {
	s := &b.shards[b.shardIndex(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := s.byWorker[id]; got.incarnation == incarnation {
		return got.lastSeen
	}
	return time.Time{}
}

// Forget removes a worker.
func (b *Heartbeats) Forget(id string) {
	s := &b.shards[b.shardIndex(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byWorker, id)
}
