package cell

import (
	"fmt"
	"slices"
	"sort"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
)

// FitError reports a guarantee that does not fit the configured racks.
type FitError struct {
	Customer string
	Zone     string
	Shape    model.Shape
	Count    int // number of shapes in the guarantee
	// Missing is the number of them that have no cell beside the other
	// guarantees.
	Missing int
	// Free is the number of accelerators of the zone that are left beside the
	// shapes that fit, when the largest shapes are bound first.
	Free int
}

func (e *FitError) Error() string {
	return fmt.Sprintf("customer %q, availability zone %q: %d of %d guaranteed shapes of %d accelerators do not fit the configured racks (%d accelerators are left beside the shapes that fit)",
		e.Customer, e.Zone, e.Missing, e.Count, e.Shape.Accelerators, e.Free)
}

// Refusal returns the error as the answer to a publisher.
func (e *FitError) Refusal() *model.Refusal {
	return model.Refuse(model.ReasonGuaranteesTooBig, "%s", e.Error())
}

// customerGuarantee is one guarantee of one customer.
type customerGuarantee struct {
	customer string
	model.Guarantee
}

// CheckFit checks that the guarantees of a configuration fit its configured
// racks. It returns nil or a *FitError for the first guarantee, largest shape
// first, that does not.
func CheckFit(cfg *model.Configuration) error {
	if cfg == nil {
		return nil
	}
	byZone := map[string][]customerGuarantee{}
	for i := range cfg.Services {
		for _, c := range cfg.Services[i].Customers {
			for _, g := range c.Guarantees {
				byZone[g.AvailabilityZone] = append(byZone[g.AvailabilityZone], customerGuarantee{c.Name, g})
			}
		}
	}
	zones := make([]string, 0, len(byZone))
	for z := range byZone {
		zones = append(zones, z)
	}
	sort.Strings(zones)
	for _, z := range zones {
		if err := checkZone(z, PlannedWorkers(cfg, z), byZone[z]); err != nil {
			return err
		}
	}
	return nil
}

func checkZone(zone string, planned []sched.Worker, guarantees []customerGuarantee) error {
	slices.SortStableFunc(guarantees, func(a, b customerGuarantee) int { return b.Shape.Accelerators - a.Shape.Accelerators })
	z := NewZone(planned)
	b := NewBinding(z)
	for _, g := range guarantees {
		if g.Shape.Accelerators <= 0 {
			continue
		}
		for n := range g.Count {
			if b.Bind(g.Shape.Accelerators) != nil {
				continue
			}
			free := 0
			for _, l := range b.left {
				free += l
			}
			return &FitError{
				Customer: g.customer, Zone: zone, Shape: g.Shape,
				Count: g.Count, Missing: g.Count - n, Free: free,
			}
		}
	}
	return nil
}

// rackKind identifies racks with the same number of workers and of accelerators
// per worker.
type rackKind struct{ workers, accelerators int }

// PlannedWorkers returns the workers that the configured racks of a zone have.
// Services that name the same kind of rack in a zone mean the same racks, so
// the largest number that a single service names counts.
func PlannedWorkers(cfg *model.Configuration, zone string) []sched.Worker {
	racks := map[rackKind]int{}
	for i := range cfg.Services {
		own := map[rackKind]int{}
		for _, r := range cfg.Services[i].Racks {
			if r.AvailabilityZone == zone {
				own[rackKind{r.WorkersPerRack, r.AcceleratorsPerWorker}] += r.Racks
			}
		}
		for k, n := range own {
			racks[k] = max(racks[k], n)
		}
	}
	var kinds []rackKind
	for k := range racks {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b rackKind) int {
		if a.accelerators != b.accelerators {
			return b.accelerators - a.accelerators
		}
		return b.workers - a.workers
	})
	var out []sched.Worker
	for ki, k := range kinds {
		for r := range racks[k] {
			for w := range k.workers {
				out = append(out, sched.Worker{
					Name: fmt.Sprintf("%03d-%06d-%06d", ki, r, w), Rack: fmt.Sprintf("%03d-%06d", ki, r),
					Accelerators: k.accelerators, Usable: true,
				})
			}
		}
	}
	return out
}
