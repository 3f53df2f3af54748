// Package announce spreads workers' announcements over the instances of their
// availability zone.
//
// Only news travels in full: a new worker, a leaving one, a changed one. That a
// worker is alive travels as a fingerprint of 4 bytes, in one batch per period.
// An instance that does not know a fingerprint asks for the announcement, so a
// lost message is made good within one period.
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

// Period is the time between two batches. With the announcement period of 2 s a
// worker is known to be alive on every instance within 4 s.
const Period = 2 * time.Second

// forgetAfter is the time after which a silent worker is forgotten. It is longer
// than any lease, so a leader can still reach a worker whose lease it waits for.
const forgetAfter = time.Hour

// message is what instances send each other.
type message struct {
	Full  []model.Worker `cbor:"1,keyasint,omitempty"`
	Alive []uint32       `cbor:"2,keyasint,omitempty"`
	Want  []uint32       `cbor:"3,keyasint,omitempty"`
}

// Spreader spreads the announcements that reach one instance.
type Spreader struct {
	Self  string
	Zone  string
	Board *blackboard.Board
	Peers link.Peers
	// InZone returns the instances of a zone.
	InZone func(zone string) []string

	mu    sync.Mutex // guards alive
	alive map[uint32]bool
}

// Register makes the spreader receive other instances' messages.
func (s *Spreader) Register() {
	s.alive = map[uint32]bool{}
	s.Peers.Handle(link.KindAnnounce, func(_ context.Context, from string, body []byte) ([]byte, error) {
		var m message
		if err := codec.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		s.receive(from, &m, time.Now())
		return nil, nil
	})
}

// Run sends the batches until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	t := time.NewTicker(Period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.flush()
			s.Board.Prune(now.Add(-forgetAfter))
		}
	}
}

// Announce takes a worker's announcement from its HTTP request.
func (s *Spreader) Announce(w model.Worker) {
	if w.AvailabilityZone != s.Zone {
		s.send(s.InZone(w.AvailabilityZone), &message{Full: []model.Worker{w}})
		return
	}
	switch s.Board.Announce(w, time.Now()) {
	case blackboard.Changed:
		s.send(s.InZone(s.Zone), &message{Full: []model.Worker{w}})
	case blackboard.Alive:
		if e, ok := s.Board.Get(w.Name); ok {
			s.mu.Lock()
			s.alive[e.Print] = true
			s.mu.Unlock()
		}
	}
}

func (s *Spreader) flush() {
	s.mu.Lock()
	m := &message{}
	for p := range s.alive {
		m.Alive = append(m.Alive, p)
	}
	s.alive = map[uint32]bool{}
	s.mu.Unlock()
	if len(m.Alive) > 0 {
		s.send(s.InZone(s.Zone), m)
	}
}

func (s *Spreader) receive(from string, m *message, now time.Time) {
	for i := range m.Full {
		if m.Full[i].AvailabilityZone == s.Zone {
			s.Board.Announce(m.Full[i], now)
		}
	}
	if unknown := s.Board.Touch(m.Alive, now); len(unknown) > 0 {
		s.send([]string{from}, &message{Want: unknown})
	}
	if len(m.Want) > 0 {
		s.answer(from, m.Want)
	}
}

// answer sends the announcements with the given fingerprints.
func (s *Spreader) answer(to string, prints []uint32) {
	want := make(map[uint32]bool, len(prints))
	for _, p := range prints {
		want[p] = true
	}
	m := &message{}
	for _, e := range s.Board.List() {
		if want[e.Print] {
			m.Full = append(m.Full, e.Worker)
		}
	}
	if len(m.Full) > 0 {
		s.send([]string{to}, m)
	}
}

// send sends a message to the given instances but this one.
func (s *Spreader) send(to []string, m *message) {
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
