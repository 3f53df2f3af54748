package dispatch

import (
	"math"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// A cut that takes a zone away is seen in the zone's workers together long before it is seen
// in each of them: a dozen workers give a sign of life every 0.1 s, each of them only every
// 1.5 s. The load behind this is a cut zone under a stream of urgent gangs: each gang that
// starts a member there waits until the member's lease has certainly expired. So nothing is
// started in a zone that has fallen silent while others have not.

const (
	// announceInterval is the time between two announcements of a worker.
	announceInterval = 1500 * time.Millisecond
	// silentByChance is the probability with which the workers of a sound zone leave a pause
	// as long as zoneSilence. Calls to workers add signs that are not counted on.
	silentByChance = 0.001
	// minZoneSilence is longer than the pauses of the leader and the delays between zones.
	minZoneSilence = 300 * time.Millisecond
	// minZoneWorkers is the least number of workers whose silence tells more than that of
	// each of them.
	minZoneWorkers = 4
)

// zoneSigns is what is known about the signs of life of a zone's workers.
type zoneSigns struct {
	workers int       // with a sign of life within maxSilence
	latest  time.Time // of the latest sign of life
}

// zoneSilence returns the time without a sign of life after which a zone with the given
// number of workers counts as silent.
func zoneSilence(workers int) time.Duration {
	share := 1 - math.Pow(silentByChance, 1/float64(workers))
	return max(time.Duration(share*float64(announceInterval)), minZoneSilence)
}

// silent reports whether the zone's workers gave signs of life after a time, and none lately.
func (s zoneSigns) silent(now, after time.Time) bool {
	return s.workers >= minZoneWorkers && s.latest.After(after) && now.Sub(s.latest) > zoneSilence(s.workers)
}

// silentZones returns the zones that have fallen silent since a time, unless all zones with
// enough workers have: then it is this instance that hears nothing.
func silentZones(zones map[string]zoneSigns, now, after time.Time) map[string]bool {
	silent, heard := map[string]bool{}, false
	for zone, s := range zones {
		switch {
		case zone == "" || s.workers < minZoneWorkers:
		case s.silent(now, after):
			silent[zone] = true
		default:
			heard = true
		}
	}
	if !heard {
		return nil
	}
	return silent
}

// updateSilentZones updates the zones in which nothing is started for now.
func (p *planner) updateSilentZones(zoneOf map[string]string, now time.Time) {
	zones := map[string]zoneSigns{}
	for id, zone := range zoneOf {
		a := p.leadership.agent(id)
		if a == nil {
			continue
		}
		at := p.leadership.cfg.Heartbeats.LastSeen(id, a.workerRecord().Incarnation)
		if now.Sub(at) > maxSilence {
			continue // it is not used for its own silence
		}
		s := zones[zone]
		s.workers++
		if at.After(s.latest) {
			s.latest = at
		}
		zones[zone] = s
	}
	silent := silentZones(zones, now, p.leadership.startedAt)
	for zone := range silent {
		if !p.silentZones[zone] {
			p.leadership.log.Info("no worker of an availability zone gives signs of life; nothing is started there", "zone", zone,
				"workers", zones[zone].workers, "silentMS", now.Sub(zones[zone].latest).Milliseconds())
			telemetry.Count("teaselpaddle_zones_silent_total")
		}
	}
	p.silentZones = silent
}
