// Package mechanism names the scheduling mechanisms that a setting can switch off, so that
// what each of them is worth can be measured on a deployment.
package mechanism

import (
	"fmt"
	"slices"
)

// Name names a mechanism.
type Name string

// The mechanisms of a region that can be switched off. Preemption, shares and speeds of
// workers have settings of their own.
const (
	Claims         Name = "claims"          // room stays claimed for the group that stops were ordered for
	CutOffRefusal  Name = "cut_off_refusal" // entry instances refuse at once while no control instance replies
	EarlyRefusal   Name = "early_refusal"   // requests are refused at once while no leader is known
	Evacuation     Name = "evacuation"      // runs are stopped before their worker leaves
	FinishTime     Name = "finish_time"     // gangs are placed where they complete first, by speed
	GangStops      Name = "gang_stops"      // gangs that cannot become complete are stopped
	GuaranteeWait  Name = "guarantee_wait"  // guaranteed groups wait for a third of their bound
	Headroom       Name = "headroom"        // the least urgent work leaves room to urgent gangs
	Isolation      Name = "isolation"       // suspected units run apart
	LatenessOrder  Name = "lateness_order"  // groups that can be on time come first
	Locality       Name = "locality"        // groups wait for their data's rack, or for one rack
	Reservations   Name = "reservations"    // gangs reserve the room that becomes free first
	SilenceDelay   Name = "silence_delay"   // units are delayed after several workers fell silent
	SilentZones    Name = "silent_zones"    // nothing is started in a zone that has fallen silent
	SuspectWorkers Name = "suspect_workers" // workers with a recent failure are used last
)

// All are the names of all mechanisms that can be switched off, sorted.
var All = []Name{
	Claims, CutOffRefusal, EarlyRefusal, Evacuation, FinishTime, GangStops, GuaranteeWait, Headroom, Isolation, LatenessOrder,
	Locality, Reservations, SilenceDelay, SilentZones, SuspectWorkers,
}

// Set is a set of mechanisms.
type Set map[Name]bool

// UnknownError reports a name that is no mechanism.
type UnknownError struct{ Name Name }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("%q is not a mechanism; known are %v", e.Name, All)
}

// NewSet returns the set of the given names. The error is an *UnknownError.
func NewSet(names []Name) (Set, error) {
	s := Set{}
	for _, n := range names {
		if !slices.Contains(All, n) {
			return nil, &UnknownError{n}
		}
		s[n] = true
	}
	return s, nil
}
