package dispatch

import (
	"sync"
	"time"
)

// heartbeatShards is the number of locks over which the workers' announcements are
// spread.
const heartbeatShards = 16

// Heartbeats holds the time of each worker's last announcement, and how long that was on
// its way.
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
	clock       clockReading
}

// clockReading is a reading of a worker's steady clock.
type clockReading struct {
	clockMS int64     // 0 if there is none yet
	by      time.Time // the clock was read at this time at the latest
}

// latestTime returns the latest time at which the worker's clock can have shown clockMS,
// or receivedAt if that is earlier or nothing is known.
func (r clockReading) latestTime(clockMS int64, receivedAt time.Time) time.Time {
	if r.clockMS == 0 || clockMS == 0 {
		return receivedAt
	}
	passed := time.Duration(float64(clockMS-r.clockMS) / minClockRate * float64(time.Millisecond))
	if at := r.by.Add(passed); at.Before(receivedAt) {
		return at
	}
	return receivedAt
}

func (b *Heartbeats) shardIndex(id string) int {
	h := uint32(2166136261) // FNV-1a
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return int(h % heartbeatShards)
}

// Record stores the time of an announcement by an incarnation of a worker. clockMS is the
// worker's clock when it sent the announcement, or 0. Record returns how long the
// announcement was on its way at least. An announcement of an earlier incarnation is
// ignored.
func (b *Heartbeats) Record(id string, incarnation, clockMS int64, receivedAt time.Time) time.Duration {
	s := &b.shards[b.shardIndex(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byWorker == nil {
		s.byWorker = map[string]heartbeat{}
	}
	cur := s.byWorker[id]
	if incarnation < cur.incarnation {
		return 0
	}
	if incarnation > cur.incarnation {
		cur = heartbeat{incarnation: incarnation}
	}
	sentBy := cur.clock.latestTime(clockMS, receivedAt)
	cur.lastSeen = receivedAt
	if clockMS > cur.clock.clockMS {
		cur.clock = clockReading{clockMS, sentBy}
	}
	s.byWorker[id] = cur
	return receivedAt.Sub(sentBy)
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
