package daemon

import (
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/control"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/routing"
	"teaselpaddle.example/teaselpaddle/internal/settings"
	"teaselpaddle.example/teaselpaddle/internal/view"
)

// configVoters returns the members of the configuration group. As long as the
// group is not replicated it is one instance: the first with a disk, or the
// first.
func configVoters(s *settings.Settings) []string {
	for i := range s.Instances {
		if s.Instances[i].Disk {
			return []string{s.Instances[i].Name}
		}
	}
	return []string{s.Instances[0].Name}
}

// newConfigGroup returns the configuration group of a voter.
func newConfigGroup(s *settings.Settings, m *config.Machine) replica.Group {
	return replica.NewLocal(s.Name, m)
}

// addConfig gives the router its view of the configuration group and returns the
// adopter of this instance.
func addConfig(s *settings.Settings, r *routing.Router, fit config.Fit) *config.Adopter {
	r.Config.Voters = configVoters(s)
	a := &config.Adopter{
		Self: s.Name, Zone: r.Zone, Voters: r.Config.Voters,
		Group: r.Group, Machine: r.Machine, Peers: r.Peers, Log: r.Log,
	}
	if slices.Contains(r.Config.Voters, s.Name) {
		m := config.NewMachine(fit)
		r.Config.Machine = m
		r.Config.Group = newConfigGroup(s, m)
		a.Local = &config.Voter{Machine: m}
		a.Local.Register(r.Peers)
	}
	return a
}

// addViews gives the router the operators' view of this instance's zone.
func addViews(r *routing.Router, board *blackboard.Board, a *config.Adopter) {
	r.View = func(op routing.Op) *view.Zone {
		now := time.Now()
		z := &view.Zone{AvailabilityZone: r.Zone, Instance: r.Self}
		switch op {
		case routing.OpWorkers:
			z.Workers = board.List()
		case routing.OpCustomers:
			z.Customers = view.Customers(r.Zone, r.Machine.Config(), r.Machine.Active())
		case routing.OpFragmentation:
			usable := func(e *blackboard.Entry) bool { return control.Usable(e, now) }
			z.Fragmentation = view.NewFragmentation(board.List(), r.Machine.Active(), usable)
		case routing.OpStatus:
			z.Status = view.NewStatus(r.Group.Status(), r.Machine.Config(), a.Confirmed(), now)
		}
		return z
	}
}
