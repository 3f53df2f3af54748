package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/batch"
)

// Guards against a cut zone that goes unnoticed until each of its workers is missed, and
// against a sound zone that counts as silent: one whose workers announce themselves at even
// or uneven times, one that is small, and all of them while the leader hears nothing.
func TestSilentZones(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	zones := func(y, z zoneSigns) map[string]bool {
		return silentZones(map[string]zoneSigns{"y": y, "z": z}, now, ago(time.Minute))
	}
	sound := zoneSigns{12, ago(100 * time.Millisecond)}

	is.Equal(zones(zoneSigns{12, ago(time.Second)}, sound), map[string]bool{"y": true})
	is.Equal(zones(zoneSigns{100, ago(350 * time.Millisecond)}, sound), map[string]bool{"y": true})
	is.Equal(len(zones(zoneSigns{12, ago(600 * time.Millisecond)}, sound)), 0)
	is.Equal(len(zones(zoneSigns{4, ago(1200 * time.Millisecond)}, sound)), 0)
	is.Equal(len(zones(zoneSigns{3, ago(3 * time.Second)}, sound)), 0)
	is.Equal(len(zones(zoneSigns{12, ago(time.Second)}, zoneSigns{12, ago(2 * time.Second)})), 0)
	// A new leader has not heard anything of a zone yet.
	is.Equal(len(silentZones(map[string]zoneSigns{"y": {12, ago(2 * time.Second)}, "z": sound}, now, ago(time.Second))), 0)
	// Workers outside any zone share no cut.
	is.Equal(len(silentZones(map[string]zoneSigns{"": {12, ago(time.Second)}, "z": sound}, now, ago(time.Minute))), 0)
}

// Guards against urgent gangs that start members in a zone that was just cut off: each of
// them waits until the lease of its lost member has certainly expired.
func TestGangAvoidsSilentZone(t *testing.T) {
	var ids []string
	for i := range 8 {
		ids = append(ids, fmt.Sprintf("w%d", i))
	}
	f := newFakeWorkers(t, 50*time.Millisecond, ids...)
	b := newTestBed(t, f)
	zoneOf := func(i int) string { return []string{"y", "z"}[i/4] }
	for i, id := range ids {
		b.announceIn(zoneOf(i), id, 2)
		b.heartbeats.Forget(id)
		f.mu.Lock()
		f.byID[id] = newFakeWorker(2)
		f.mu.Unlock()
	}
	b.waitForFirstReports(ids...)
	for _, id := range ids[:4] {
		f.setDropCalls(id, true)
	}
	// The workers of z announce themselves, those of y have been silent for the time of a cut.
	b.timeShift.Add(int64(zoneSilence(4) + 100*time.Millisecond))
	for _, id := range ids[4:] {
		b.heartbeats.Record(id, 2, 0, b.now())
	}
	gang := unitStep(4, 8)
	gang.Gang = true
	b.submit("/u/", "j1", gang)
	b.waitFor(2*time.Second, "completed in the zone that is heard", func() bool { return b.state("j1") == batch.Completed })
	b.machine.View(func(v *batch.View) {
		for _, u := range v.Job("j1", "").UnitGroups[0].Units {
			b.is.Equal(u.Run, 1) // it did not start in the silent zone before
		}
	})
}
