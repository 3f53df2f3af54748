// Package announce disseminates the announcements of workers to the instances of
// their availability zone.
//
// An announcement is sent in full only if the worker is new, leaving or otherwise
// changed. That a worker is alive is sent as the 4-byte fingerprint of its last
// announcement, in one batch per period. An instance that does not know a
// fingerprint requests the announcement, so a lost message is repaired within one
// period.
package announce

import (
	"context"
	"sync"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Period is the time between two batches. As workers announce themselves every
// 2 s, every instance knows within 4 s that a worker is alive.
const Period = 2 * time.Second

// pruneAfter is the time without an announcement after which a worker is removed
// from the board. It is longer than any lease, so a leader can still reach a worker
// whose lease it waits for.
const pruneAfter = time.Hour

// gossipMessage is a message between two instances.
type gossipMessage struct {
	Announcements     []model.Worker `cbor:"1,keyasint,omitempty"`
	AliveFingerprints []uint32       `cbor:"2,keyasint,omitempty"`
	Requested         []uint32       `cbor:"3,keyasint,omitempty"`
}

// Spreader sends the announcements that one instance receives to the other
// instances of the zone. Register must be called before its other methods.
type Spreader struct {
	Self  string // instance name
	Zone  string // availability zone of this instance
	Board *blackboard.Board
	Peers link.Peers
	// InZone returns the instances of a zone.
	InZone func(zone string) []string

	mu    sync.Mutex      // guards alive
	alive map[uint32]bool // fingerprints for the next batch
}

// Register registers the handler for messages of other instances.
func (s *Spreader) Register() {
	s.alive = map[uint32]bool{}
	s.Peers.Handle(link.KindAnnounce, func(_ context.Context, from string, body []byte) ([]byte, error) {
		var m gossipMessage
		if err := codec.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		s.receive(from, &m, time.Now())
		return nil, nil
	})
}

// Run sends a batch and prunes the board every Period until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	t := time.NewTicker(Period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.sendAliveBatch()
			s.Board.Prune(now.Add(-pruneAfter))
		}
	}
}

// Announce handles an announcement that a worker has sent to this instance.
func (s *Spreader) Announce(w model.Worker) {
	if w.AvailabilityZone != s.Zone {
		s.send(s.InZone(w.AvailabilityZone), &gossipMessage{Announcements: []model.Worker{w}})
		return
	}
	switch s.Board.Announce(w, time.Now()) {
	case blackboard.Changed:
		s.send(s.InZone(s.Zone), &gossipMessage{Announcements: []model.Worker{w}})
	case blackboard.Unchanged:
		if e, ok := s.Board.Get(w.Name); ok {
			s.mu.Lock()
			s.alive[e.Fingerprint] = true
			s.mu.Unlock()
		}
	}
}

// sendAliveBatch sends the collected fingerprints to the zone.
func (s *Spreader) sendAliveBatch() {
	s.mu.Lock()
	m := &gossipMessage{}
	for p := range s.alive {
		m.AliveFingerprints = append(m.AliveFingerprints, p)
	}
	s.alive = map[uint32]bool{}
	s.mu.Unlock()
	if len(m.AliveFingerprints) > 0 {
		s.send(s.InZone(s.Zone), m)
	}
}

// receive handles a message from another instance.
func (s *Spreader) receive(from string, m *gossipMessage, now time.Time) {
	for i := range m.Announcements {
		if m.Announcements[i].AvailabilityZone == s.Zone {
			s.Board.Announce(m.Announcements[i], now)
		}
	}
	if unknown := s.Board.Touch(m.AliveFingerprints, now); len(unknown) > 0 {
		s.send([]string{from}, &gossipMessage{Requested: unknown})
	}
	if len(m.Requested) > 0 {
		s.sendRequested(from, m.Requested)
	}
}

// sendRequested sends the announcements with the given fingerprints to an
// instance.
func (s *Spreader) sendRequested(to string, fingerprints []uint32) {
	requested := make(map[uint32]bool, len(fingerprints))
	for _, p := range fingerprints {
		requested[p] = true
	}
	m := &gossipMessage{}
	for _, e := range s.Board.List() {
		if requested[e.Fingerprint] {
			m.Announcements = append(m.Announcements, e.Worker)
		}
	}
	if len(m.Announcements) > 0 {
		s.send([]string{to}, m)
	}
}

// send sends a message to the given instances other than this one.
func (s *Spreader) send(to []string, m *gossipMessage) {
	body, err := codec.Marshal(m)
	if err != nil {
		return
	}
	for _, name := range to {
		if name != s.Self {
			s.Peers.Send(name, link.KindAnnounce, body)
		}
	}
}
