package daemon

import (
	"time"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/routing"
	"teaselpaddle.example/teaselpaddle/internal/settings"
	"teaselpaddle.example/teaselpaddle/internal/view"
)

// configVoters returns the voters of the configuration group: for each zone its
// first instance with a disk, or its first instance if none has a disk.
func configVoters(s *settings.Settings) []string {
	var out []string
	for _, z := range s.Zones() {
		names := s.InZone(z)
		voter := names[0]
		for _, n := range names {
			if s.Instance(n).Disk {
				voter = n
				break
			}
		}
		out = append(out, voter)
	}
	return out
}

// instanceSpecs returns the specifications of instances as members of a group.
func instanceSpecs(s *settings.Settings, names []string) []replica.InstanceSpec {
	var out []replica.InstanceSpec
	for _, n := range names {
		out = append(out, replica.InstanceSpec{Name: n, Disk: s.Instance(n).Disk})
	}
	return out
}

// zoneView returns one part of the operators' view of this instance's zone.
func (d *Daemon) zoneView(part routing.Part) *view.Zone {
	now := time.Now()
	z := &view.Zone{AvailabilityZone: d.self.AvailabilityZone, Instance: d.settings.Name}
	switch part {
	case routing.PartWorkers:
		z.Workers = d.board.List()
	case routing.PartCustomers:
		z.Customers = view.Customers(d.self.AvailabilityZone, d.machine.Config(), d.machine.Active())
	case routing.PartFragmentation:
		usable := func(e *blackboard.Entry) bool { return d.controller.Usable(e, now) }
		z.Fragmentation = view.NewFragmentation(d.board.List(), d.machine.Active(), usable)
	case routing.PartStatus:
		z.Status = view.NewStatus(d.jobsGroup.Status(), d.machine.Config(), d.adopter.LastConfirmed(), now)
		z.Status.Instances = d.instanceViews()
	}
	return z
}
