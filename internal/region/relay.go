package region

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// Where the workers are many against the connections of one instance, the control instances
// that do not lead take the announcements. An announcement that changes nothing in the replicated
// state is only a sign of life: it is answered here, and the leader gets the signs of life of
// many workers in one message. All others are forwarded one by one.
const (
	// relayInterval is the time between two messages to the leader. Workers announce
	// themselves about every 1.5 s.
	relayInterval = 300 * time.Millisecond
	// relayTimeout is the time since the leader's last answer after which announcements are
	// forwarded again, so that a worker is not told that it was heard while no leader hears it.
	relayTimeout = 1200 * time.Millisecond
)

// signOfLife is an announcement that changes nothing in the replicated state.
type signOfLife struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	ClockMS     int64  `cbor:"3,keyasint,omitempty"` // as in Announcement
	ColdMS      int64  `cbor:"4,keyasint,omitempty"` // as in Announcement
	AgeMS       int64  `cbor:"5,keyasint,omitempty"` // time since its arrival, ms
	arrivedAt   time.Time
}

// signBatch is a message of signs of life to the leader.
type signBatch struct {
	Signs []signOfLife `cbor:"1,keyasint,omitempty"`
}

// relay takes announcements on a control instance that does not lead.
type relay struct {
	router  *Router
	machine *batch.Machine
	log     logr.Logger
	members func() []string // of the group
	leads   func() bool
	// above is the number of recorded workers above which announcements are relayed; 0 means never.
	above int

	mu         sync.Mutex // guards the fields below
	pending    map[string]signOfLife
	leader     string    // the leader that took the last message
	answeredAt time.Time // when it did
}

// enabled reports whether there are so many workers that announcements are relayed.
func (r *relay) enabled() bool {
	if r == nil || r.above == 0 {
		return false
	}
	n := 0
	r.machine.View(func(v *batch.View) { n = len(v.Workers()) })
	return n > r.above
}

// take accepts an announcement as a sign of life. It returns false if the announcement must be
// forwarded.
func (r *relay) take(a *Announcement) bool {
	if !r.enabled() || a.Leaving || a.Worker.Draining || r.leads() {
		return false
	}
	upToDate := false
	r.machine.View(func(v *batch.View) {
		w := v.Workers()[a.Worker.ID]
		upToDate = w != nil && !w.Draining && w.Incarnation == a.Worker.Incarnation && w.UpToDate(&a.Worker, false)
	})
	if !upToDate {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == "" || r.leader != r.router.Leader() || time.Since(r.answeredAt) > relayTimeout {
		return false
	}
	if old, ok := r.pending[a.Worker.ID]; ok && old.Incarnation == a.Worker.Incarnation && old.ClockMS > a.ClockMS {
		return true // overtaken by a later one
	}
	r.pending[a.Worker.ID] = signOfLife{
		Worker: a.Worker.ID, Incarnation: a.Worker.Incarnation, ClockMS: a.ClockMS, ColdMS: a.ColdMS, arrivedAt: time.Now(),
	}
	telemetry.Count("teaselpaddle_announcements_relayed_total")
	return true
}

// run sends the signs of life to the leader until ctx ends.
func (r *relay) run(ctx context.Context) {
	t := time.NewTicker(relayInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if leader := r.router.Leader(); leader != "" && leader != r.router.Self && r.enabled() {
			r.flush(ctx, leader)
		}
	}
}

// flush sends the pending signs of life to the leader. An empty message asks whether it takes
// them at all: a leader of an earlier version does not.
func (r *relay) flush(ctx context.Context, leader string) {
	r.mu.Lock()
	sent := r.pending
	r.pending = map[string]signOfLife{}
	r.mu.Unlock()
	m := &signBatch{Signs: make([]signOfLife, 0, len(sent))}
	for _, s := range sent {
		s.AgeMS = time.Since(s.arrivedAt).Milliseconds()
		m.Signs = append(m.Signs, s)
	}
	body, err := codec.Marshal(&request{Signs: m})
	if err == nil {
		var rep *Reply
		if rep, err = r.router.send(ctx, leader, body); err == nil && rep.SignsTaken {
			r.mu.Lock()
			r.leader, r.answeredAt = leader, time.Now()
			r.mu.Unlock()
			return
		}
	}
	telemetry.Count("teaselpaddle_relay_failures_total")
	if err != nil {
		r.log.V(1).Info("signs of life were not taken", "leader", leader, "error", err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range sent {
		if _, newer := r.pending[id]; !newer {
			r.pending[id] = s
		}
	}
}

// instanceFor returns the instance to which a worker sends its later announcements.
func (r *relay) instanceFor(worker string) string {
	if !r.leads() {
		return r.router.Self
	}
	best, bestWeight := "", uint64(0)
	for _, m := range r.members() {
		if m == r.router.Self {
			continue
		}
		if w := xxhash.Sum64String(m + "/" + worker); best == "" || w > bestWeight {
			best, bestWeight = m, w
		}
	}
	return best
}

// recordSigns records signs of life on the leader.
func (c *Control) recordSigns(rep *Reply, m *signBatch) {
	now := time.Now()
	known := map[string]int64{} // incarnations by worker
	c.machine.View(func(v *batch.View) {
		for i := range m.Signs {
			if w := v.Workers()[m.Signs[i].Worker]; w != nil {
				known[w.ID] = w.Incarnation
			}
		}
	})
	for i := range m.Signs {
		s := &m.Signs[i]
		if known[s.Worker] != s.Incarnation {
			continue // its next announcement is forwarded once the record has reached the relay
		}
		sentBy := c.heartbeats.Record(s.Worker, s.Incarnation, s.ClockMS, now.Add(-time.Duration(s.AgeMS)*time.Millisecond))
		c.heartbeats.RecordCold(s.Worker, s.Incarnation, sentBy.Add(time.Duration(s.ColdMS)*time.Millisecond))
	}
	rep.SignsTaken = true
}
