package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/membership"
	"teaselpaddle.example/teaselpaddle/internal/view"
)

// factsPeriod is the interval at which this instance's facts are updated. The age
// of the configuration has a resolution of one second.
const factsPeriod = time.Second

// startMembership starts the failure detection between instances.
func (d *Daemon) startMembership() {
	var names []string
	for i := range d.settings.Instances {
		names = append(names, d.settings.Instances[i].Name)
	}
	d.membership = membership.Start(membership.Config{
		Self: d.settings.Name, Incarnation: rand.Uint64() | 1, Members: names, Facts: d.ownFacts(time.Now()),
	}, d.links, d.log)
}

// ownFacts returns the facts about this instance that it sends to the others.
func (d *Daemon) ownFacts(now time.Time) membership.Facts {
	f := membership.Facts{
		Zone: d.self.AvailabilityZone, Disk: d.self.Disk, Stopping: d.stopping.Load(),
		ConfigVersion: d.adopter.Version(),
	}
	if t := d.adopter.LastConfirmed(); !t.IsZero() {
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
			d.membership.SetFacts(d.ownFacts(time.Now()))
		}
	}
}

// instanceViews returns this instance's view of all instances.
func (d *Daemon) instanceViews() []view.Instance {
	var out []view.Instance
	for _, m := range d.membership.Snapshot() {
		out = append(out, view.Instance{
			Name: m.Name, AvailabilityZone: d.settings.Instance(m.Name).AvailabilityZone, State: m.State.String(),
			Stopping: m.Facts.Stopping, ConfigVersion: m.Facts.ConfigVersion,
		})
	}
	return out
}

// zoneInstances returns all instances of a zone. Those that are believed to be
// alive and not stopping come first, so that requests rarely wait for a dead one.
// The others are included because the failure detection may be wrong.
func (d *Daemon) zoneInstances(zone string) []string {
	unavailable := map[string]bool{}
	for _, m := range d.membership.Snapshot() {
		unavailable[m.Name] = m.State != membership.Alive || m.Facts.Stopping
	}
	var available, others []string
	for _, name := range d.settings.InZone(zone) {
		if unavailable[name] {
			others = append(others, name)
		} else {
			available = append(available, name)
		}
	}
	return append(available, others...)
}
