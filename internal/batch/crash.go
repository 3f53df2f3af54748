package batch

import (
	"maps"
	"slices"
)

// A unit may crash each worker that starts it. Every crash takes along what else runs on the
// worker, so the record of a unit tells what it may have done from what was done to it: it is
// given up for crashes that nothing else explains, and kept apart from other work while
// it is suspected. The record is part of the replicated state, so a new leader knows it before
// its first start.

const (
	// soleCrashesToGiveUp is the number of crashes with no other explanation after which a
	// unit is given up. A worker may crash by itself just after a start; two in a row, the
	// second with the unit kept apart, do not.
	soleCrashesToGiveUp = 2
	// suspectCrashesToGiveUp bounds the crashes for which a unit is one explanation of several.
	suspectCrashesToGiveUp = 4
	// crashesToGiveUp bounds all crashes, for units that take their time to crash a worker.
	crashesToGiveUp = 5
	// crashRecordMS is the time after which a run that crashes with its worker begins a new
	// record, unless the worker was lost just after its start: a unit that has run for that long
	// does not crash the workers that start it.
	crashRecordMS = 60 * 1000
	// silentRunsMS is how long the runs on a silent worker are remembered. If the worker is
	// found to have crashed later, their units are not blamed any more.
	silentRunsMS = 60 * 1000
)

// Blame tells how far a run explains the crash of its worker.
type Blame uint8

// The degrees of blame.
const (
	BlameShared Blame = iota // it, a run of another job, or something else
	BlameSole                // nothing else that is known: the worker was lost just after its start
	BlameNone                // it had been at work, or another run had begun later
)

var blameNames = [...]string{"shared", "sole", "none"}

func (b Blame) String() string { return nameOf(blameNames[:], uint8(b)) }

// CrashRecord counts the workers that were lost with runs of a unit. It is replaced, not
// changed, because readers may hold copies of the unit.
type CrashRecord struct {
	Sole   int `cbor:"1,keyasint,omitempty"` // crashed workers, by blame
	Shared int `cbor:"2,keyasint,omitempty"`
	None   int `cbor:"3,keyasint,omitempty"`
	// Silent is the number of workers that stopped answering and may have crashed.
	Silent int `cbor:"4,keyasint,omitempty"`
}

// Suspicion returns how strongly a unit is suspected to crash its workers; 0 means that it is
// not. A single loss says nothing if another run explains it, or if the worker may only be cut
// off.
func (r *CrashRecord) Suspicion() int {
	if r == nil {
		return 0
	}
	return r.Sole + r.Shared + max(r.None-1, 0) + max(r.Silent-1, 0)
}

// SilentWorkers returns how many workers stopped answering under the unit.
func (r *CrashRecord) SilentWorkers() int {
	if r == nil {
		return 0
	}
	return r.Silent
}

func (r *CrashRecord) givenUp() bool {
	return r.Sole >= soleCrashesToGiveUp || r.Sole+r.Shared >= suspectCrashesToGiveUp ||
		r.Sole+r.Shared+r.None >= crashesToGiveUp
}

// silentRuns are the units whose runs were ended because their worker had stopped answering.
type silentRuns struct {
	Incarnation int64     `cbor:"1,keyasint"`
	Address     string    `cbor:"2,keyasint"`
	AtMS        int64     `cbor:"3,keyasint"` // of the last end, Unix ms
	Units       []UnitRef `cbor:"4,keyasint"`
}

// unitCrashed counts a crashed worker with a unit, and fails the unit's job if the unit is
// given up. ageMS is the time for which the run was recorded.
func (m *Machine) unitCrashed(j *Job, u *Unit, blame Blame, ageMS, atMS int64) {
	r := CrashRecord{}
	if u.Crashes != nil && (ageMS < crashRecordMS || blame == BlameSole) {
		r = *u.Crashes
	}
	switch blame {
	case BlameSole:
		r.Sole++
	case BlameNone:
		r.None++
	default:
		r.Shared++
	}
	u.Crashes = &r
	if r.givenUp() && !j.State.Final() {
		j.FailedBy = FailedByCrashes
		m.conclude(j, Failed, atMS)
	}
}

// unitSilenced counts a worker that has stopped answering with a unit, and remembers the
// unit in case the worker turns out to have crashed.
func (m *Machine) unitSilenced(ref UnitRef, u *Unit, atMS int64) {
	r := CrashRecord{}
	if u.Crashes != nil {
		r = *u.Crashes
	}
	r.Silent++
	u.Crashes = &r
	maps.DeleteFunc(m.state.Silent, func(_ string, s *silentRuns) bool { return atMS-s.AtMS > silentRunsMS })
	s := m.state.Silent[u.Worker]
	if s == nil || s.Incarnation != u.Incarnation {
		s = &silentRuns{Incarnation: u.Incarnation}
		if w := m.state.Workers[u.Worker]; w != nil {
			s.Address = w.Address
		}
		if m.state.Silent == nil {
			m.state.Silent = map[string]*silentRuns{}
		}
		m.state.Silent[u.Worker] = s
	}
	s.AtMS = atMS
	s.Units = append(s.Units, ref)
}

// explainSilence turns silent workers into crashed ones when another incarnation, or another
// worker at the same address, is recorded.
func (m *Machine) explainSilence(w *Worker) {
	for _, id := range slices.Sorted(maps.Keys(m.state.Silent)) {
		s := m.state.Silent[id]
		if w.Incarnation <= s.Incarnation || id != w.ID && (s.Address == "" || w.Address != s.Address) {
			continue
		}
		delete(m.state.Silent, id)
		for _, ref := range s.Units {
			j, _, u := m.unit(ref)
			if u == nil || u.State == Done || u.Crashes == nil || u.Crashes.Silent == 0 {
				continue
			}
			r := *u.Crashes
			r.Silent--
			u.Crashes = &r
			m.unitCrashed(j, u, BlameShared, 0, s.AtMS)
		}
	}
}
