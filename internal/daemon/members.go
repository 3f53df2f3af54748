package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/membership"
	"teaselpaddle.example/teaselpaddle/internal/view"
)

// factsPeriod is how often this instance's facts are brought up to date; the age
// of the configuration has a resolution of one second.
const factsPeriod = time.Second

// startMembers starts the failure detection between the instances.
func (d *Daemon) startMembers() {
	var names []string
	for i := range d.s.Instances {
		names = append(names, d.s.Instances[i].Name)
	}
	d.members = membership.Start(membership.Config{
		Self: d.s.Name, Incarnation: rand.Uint64() | 1, Members: names, Facts: d.facts(time.Now()),
	}, d.links, d.log)
}

// facts is what this instance tells the others about itself.
func (d *Daemon) facts(now time.Time) membership.Facts {
	f := membership.Facts{
		Zone: d.self.AvailabilityZone, Disk: d.self.Disk, Stopping: d.stopping.Load(),
		ConfigVersion: d.adopter.Version(),
	}
	if t := d.adopter.Confirmed(); !t.IsZero() {
		f.ConfigAge = now.Sub(t)
	}
	return f
}

func (d *Daemon) updateFacts(ctx context.Context) {
	t := time.NewTicker(factsPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.members.SetFacts(d.facts(time.Now()))
		}
	}
}

// instances is this instance's view of all instances.
func (d *Daemon) instances() []view.Instance {
	var out []view.Instance
	for _, m := range d.members.Snapshot() {
		out = append(out, view.Instance{
			Name: m.Name, AvailabilityZone: d.s.Instance(m.Name).AvailabilityZone, State: m.State.String(),
			Stopping: m.Facts.Stopping, ConfigVersion: m.Facts.ConfigVersion,
		})
	}
	return out
}

// inZone returns a zone's instances, those that are believed to be alive and not
// stopping first, so that requests seldom wait for a dead one. None is left out:
// the belief may be wrong.
func (d *Daemon) inZone(zone string) []string {
	doubtful := map[string]bool{}
	for _, m := range d.members.Snapshot() {
		doubtful[m.Name] = m.State != membership.Alive || m.Facts.Stopping
	}
	var first, last []string
	for _, name := range d.s.InZone(zone) {
		if doubtful[name] {
			last = append(last, name)
		} else {
			first = append(first, name)
		}
	}
	return append(first, last...)
}
