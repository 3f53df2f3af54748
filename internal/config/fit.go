package config

import (
	"slices"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Fit checks that the guarantees of a configuration fit its racks. It must be
// deterministic: every replica of the configuration group calls it on apply.
// Voters with different versions of the check could accept different content, so
// after a change of the check all voters must be upgraded before the next publish.
type Fit func(*model.Configuration) error

// FitSums checks for each availability zone that the guaranteed accelerators do not
// exceed the accelerators of its racks in total. It does not check shapes. The error
// is a *FitError.
func FitSums(c *model.Configuration) error {
	guaranteed := map[string]int{}
	installed := map[string]int{}
	var zones []string
	for i := range c.Services {
		s := &c.Services[i]
		for _, r := range s.Racks {
			installed[r.AvailabilityZone] += r.Racks * r.WorkersPerRack * r.AcceleratorsPerWorker
		}
		for j := range s.Customers {
			for _, g := range s.Customers[j].Guarantees {
				guaranteed[g.AvailabilityZone] += g.Shape.Accelerators * g.Count
				zones = append(zones, g.AvailabilityZone)
			}
		}
	}
	slices.Sort(zones)
	for _, z := range slices.Compact(zones) {
		if guaranteed[z] > installed[z] {
			return &FitError{AvailabilityZone: z, Guaranteed: guaranteed[z], Installed: installed[z]}
		}
	}
	return nil
}
