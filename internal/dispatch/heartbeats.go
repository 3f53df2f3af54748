package dispatch

import (
	"sync"
	"time"
)

// heartbeatShards is the number of locks over which the workers' announcements are
// spread.
const heartbeatShards = 16

// LateAnnouncement is the age from which an announcement counts as late. A worker that
// gets no answer within a second sends the next one to another instance.
const LateAnnouncement = time.Second

// Heartbeats holds the last sign of life of each worker. An announcement is a sign of life
// at the time when it was sent: one that was held up behind a cut may arrive long after its
// worker is gone.
type Heartbeats struct {
	shards [heartbeatShards]struct {
		mu       sync.Mutex
		byWorker map[string]heartbeat
	}
}

type heartbeat struct {
	lastSeen    time.Time // the worker lived at this time, or somewhat before
	leavesAt    time.Time // when the worker may leave; zero if it has not told
	leftAt      time.Time // when the worker said that it left; zero if it has not
	coldUntil   time.Time // when the worker is warm; zero if it has not told that it is cold
	incarnation int64
	clock       clockReading
	announcedMS int64 // the worker's clock in its latest announcement
	unconfirmed bool  // the last announcement was late, and the worker has not answered since
}

func (h *heartbeat) seen(at time.Time) {
	if at.After(h.lastSeen) {
		h.lastSeen = at
	}
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

// Record stores an announcement by an incarnation of a worker. clockMS is the worker's
// clock when it sent the announcement, or 0 if that is not known. Record returns the time
// at which the announcement was sent at the latest. An announcement of an earlier
// incarnation is ignored.
func (b *Heartbeats) Record(id string, incarnation, clockMS int64, receivedAt time.Time) time.Time {
	sentBy := receivedAt
	b.update(id, incarnation, func(h *heartbeat) {
		sentBy = h.clock.latestTime(clockMS, receivedAt)
		h.seen(sentBy)
		h.unconfirmed = receivedAt.Sub(sentBy) > LateAnnouncement
		h.announcedMS = max(h.announcedMS, clockMS)
		if clockMS > h.clock.clockMS {
			h.clock = clockReading{clockMS, sentBy}
		}
	})
	return sentBy
}

// Overtaken reports whether a later announcement of an incarnation of a worker has arrived
// than the one with the given clock.
func (b *Heartbeats) Overtaken(id string, incarnation, clockMS int64) bool {
	return clockMS < b.get(id, incarnation).announcedMS
}

// RecordAnswer stores an answer of an incarnation of a worker with its clock. Unlike an
// announcement, an answer is never older than the call. It therefore also sets the clock
// right that stood still while the worker was suspended.
func (b *Heartbeats) RecordAnswer(id string, incarnation, clockMS int64, receivedAt time.Time) {
	b.update(id, incarnation, func(h *heartbeat) {
		h.seen(receivedAt)
		h.unconfirmed = false
		h.clock = clockReading{clockMS, receivedAt}
	})
}

// update calls f with the heartbeat of an incarnation of a worker, unless a later
// incarnation is known.
func (b *Heartbeats) update(id string, incarnation int64, f func(*heartbeat)) {
	s := &b.shards[b.shardIndex(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byWorker == nil {
		s.byWorker = map[string]heartbeat{}
	}
	h := s.byWorker[id]
	if incarnation < h.incarnation {
		return
	}
	if incarnation > h.incarnation {
		h = heartbeat{incarnation: incarnation}
	}
	f(&h)
	s.byWorker[id] = h
}

// Unconfirmed reports whether the last announcement of an incarnation of a worker was
// late, so that only an answer can tell whether the worker lives.
func (b *Heartbeats) Unconfirmed(id string, incarnation int64) bool {
	return b.get(id, incarnation).unconfirmed
}

// get returns the heartbeat of an incarnation of a worker, or the zero value.
func (b *Heartbeats) get(id string, incarnation int64) heartbeat {
	s := &b.shards[b.shardIndex(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.byWorker[id]; h.incarnation == incarnation {
		return h
	}
	return heartbeat{}
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
	return b.get(id, incarnation).leavesAt
}

// RecordCold stores the time until which an incarnation of a worker is cold. A time that
// has passed says that it is warm.
func (b *Heartbeats) RecordCold(id string, incarnation int64, until time.Time) {
	b.update(id, incarnation, func(h *heartbeat) { h.coldUntil = until })
}

// ColdUntil returns the time until which an incarnation of a worker is cold, or the zero
// time if it has not told.
func (b *Heartbeats) ColdUntil(id string, incarnation int64) time.Time {
	return b.get(id, incarnation).coldUntil
}

// RecordLeft stores the time at which an incarnation of a worker said that it left.
func (b *Heartbeats) RecordLeft(id string, incarnation int64, at time.Time) {
	b.update(id, incarnation, func(h *heartbeat) { h.leftAt = at })
}

// LeftAt returns the time at which an incarnation of a worker said that it left, or the
// zero time.
func (b *Heartbeats) LeftAt(id string, incarnation int64) time.Time {
	return b.get(id, incarnation).leftAt
}

// LastSeen returns the time of the last sign of life of an incarnation of a worker, or the
// zero time if there was none.
func (b *Heartbeats) LastSeen(id string, incarnation int64) time.Time {
	return b.get(id, incarnation).lastSeen
}

// Forget removes a worker.
func (b *Heartbeats) Forget(id string) {
	s := &b.shards[b.shardIndex(id)]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byWorker, id)
}
