package dispatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// waveWindow is the time within which workers that fall silent share a cause, such as the
	// power of a rack or a cut. Connections to a process that ends break within milliseconds.
	waveWindow = 100 * time.Millisecond
	// silenceMemory is how long silences are remembered. A crash is known once the worker is
	// back, or another one has its address.
	silenceMemory = time.Minute
)

// silences remembers which workers have fallen silent. Several at the same moment were not
// crashed by a unit on one of them.
type silences struct {
	mu     sync.Mutex
	recent []silence // in the order of at
}

type silence struct {
	worker string
	at     time.Time
	begun  bool // a run had just begun, which may explain it
}

func (s *silences) add(worker string, at time.Time, begun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.recent) > 0 && at.Sub(s.recent[0].at) > silenceMemory {
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, silence{worker, at, begun})
}

// isWave reports whether another worker fell silent at the same time as the given one with no
// run on it that had just begun.
func (s *silences) isWave(worker string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.recent, func(o silence) bool {
		return o.worker != worker && !o.begun && o.at.Sub(at).Abs() <= waveWindow
	})
}

// hasJustBegun reports whether a run had begun just before the given time. The caller holds
// mu.
func (a *agent) hasJustBegun(at time.Time) bool {
	for _, od := range a.orders {
		if !od.startAckedAt.IsZero() && at.Sub(od.startAckedAt) <= justBegun {
			return true
		}
	}
	return false
}
