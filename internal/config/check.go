package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Bounds on the values of a configuration.
const (
	maxNameBytes        = 100
	maxWeight           = 1000
	maxQueueLimit       = 100_000
	maxQuota            = 1_000_000
	maxGuaranteeCount   = 10_000
	maxShape            = 1024 // accelerators; the largest gang is 128 tasks of 8
	maxRacks            = 1000 // of one kind in a zone; the design has 6,900 workers in all
	maxWorkersPerRack   = 64
	maxPerWorker        = 64 // accelerators
	maxCheckpointBound  = 3600
	maxMaxFailures      = 100
	minRetentionSeconds = 60
	maxRetentionSeconds = 366 * 24 * 3600
)

// checker collects the issues of one service.
type checker struct{ issues []Issue }

func (c *checker) add(kind Kind, path, value, detail, fix string) {
	c.issues = append(c.issues, Issue{Kind: kind, Path: path, Value: value, Detail: detail, Fix: fix})
}

func (c *checker) ints(path string, v, low, high int) {
	if v < low || v > high {
		detail := fmt.Sprintf("must be between %d and %d", low, high)
		c.add(KindOutOfRange, path, strconv.Itoa(v), detail, fmt.Sprintf("write a whole number from %d to %d", low, high))
	}
}

func (c *checker) floats(path string, v, low, high float64) {
	// The negated form also refuses NaN.
	if !(v >= low && v <= high) {
		detail := fmt.Sprintf("must be between %g and %g", low, high)
		c.add(KindOutOfRange, path, strconv.FormatFloat(v, 'g', -1, 64), detail, fmt.Sprintf("write a number from %g to %g", low, high))
	}
}

func (c *checker) name(path, v string) {
	if v != "" && len(v) <= maxNameBytes && strings.IndexFunc(v, notInName) < 0 {
		return
	}
	c.add(KindOutOfRange, path, strconv.Quote(clip(v)),
		fmt.Sprintf("must have 1 to %d lower-case letters, digits, '-', '_' or '.'", maxNameBytes), "choose another name")
}

func notInName(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
}

// checkService checks one service by itself.
func checkService(s *model.Service) []Issue {
	c := &checker{}
	c.name("service", s.Name)
	if len(s.Customers) == 0 {
		c.add(KindOutOfRange, "customers", "[]", "must have at least one customer", "add a customer")
	}
	for i := range s.Customers {
		c.customer(fmt.Sprintf("customers[%d]", i), &s.Customers[i])
	}
	p := &s.Policy
	c.floats("policy.checkpoint_bound_seconds", p.CheckpointBoundSeconds, 0, maxCheckpointBound)
	c.floats("policy.fragmentation_weight", p.FragmentationWeight, 0, 1)
	c.ints("policy.max_failures", p.MaxFailures, 1, maxMaxFailures)
	c.floats("policy.retention_seconds", p.RetentionSeconds, minRetentionSeconds, maxRetentionSeconds)
	for i := range s.Racks {
		path := fmt.Sprintf("racks[%d]", i)
		r := &s.Racks[i]
		c.name(path+".availability_zone", r.AvailabilityZone)
		c.ints(path+".racks", r.Racks, 1, maxRacks)
		c.ints(path+".workers_per_rack", r.WorkersPerRack, 1, maxWorkersPerRack)
		c.ints(path+".accelerators_per_worker", r.AcceleratorsPerWorker, 1, maxPerWorker)
	}
	return c.issues
}

func (c *checker) customer(path string, cu *model.Customer) {
	c.name(path+".name", cu.Name)
	c.ints(path+".weight", cu.Weight, 1, maxWeight)
	c.ints(path+".queue_limit", cu.QueueLimit, 1, maxQueueLimit)
	c.ints(path+".quota", cu.Quota, 0, maxQuota)
	total := map[string]int{}
	for i := range cu.Guarantees {
		g := &cu.Guarantees[i]
		p := fmt.Sprintf("%s.guarantees[%d]", path, i)
		c.name(p+".availability_zone", g.AvailabilityZone)
		c.ints(p+".shape.accelerators", g.Shape.Accelerators, 1, maxShape)
		c.ints(p+".count", g.Count, 1, maxGuaranteeCount)
		total[g.AvailabilityZone] += g.Shape.Accelerators * g.Count
		if cu.Quota > 0 && total[g.AvailabilityZone] > cu.Quota {
			c.add(KindOutOfRange, path+".quota", strconv.Itoa(cu.Quota),
				fmt.Sprintf("is less than the %d accelerators guaranteed in %q", total[g.AvailabilityZone], g.AvailabilityZone),
				"raise the quota or reduce the guarantees")
		}
	}
}

// placed is where a name was first seen.
type placed map[string]*Place

// once reports a second use of a name.
func (p placed) once(name string, service int, path, what, fix string) []Issue {
	if first := p[name]; first != nil {
		return []Issue{{
			Kind: KindDuplicate, Service: service, Path: path, Value: name,
			Detail: what + " is given twice", Fix: fix, First: first,
		}}
	}
	p[name] = &Place{Service: service, Path: path}
	return nil
}

// checkTogether checks what concerns several services or several entries of
// one: names given twice and guarantees in zones without racks.
func checkTogether(services []*model.Service) []Issue {
	var out []Issue
	names, customers, racks, guarantees := placed{}, placed{}, placed{}, placed{}
	zones := map[string]bool{}
	for i, s := range services {
		out = append(out, names.once(s.Name, i, "service", "the service", "merge the two files or rename one service")...)
		for j := range s.Customers {
			out = append(out, customers.once(s.Customers[j].Name, i, fmt.Sprintf("customers[%d].name", j),
				"the customer", "keep one of the two or rename one")...)
		}
		for j, r := range s.Racks {
			zones[r.AvailabilityZone] = true
			key := fmt.Sprintf("%s %dx%d", r.AvailabilityZone, r.WorkersPerRack, r.AcceleratorsPerWorker)
			out = append(out, racks.once(key, i, fmt.Sprintf("racks[%d]", j),
				"this kind of rack in this availability zone", "add the numbers of racks in one entry")...)
		}
	}
	for i, s := range services {
		for j := range s.Customers {
			for k, g := range s.Customers[j].Guarantees {
				path := fmt.Sprintf("customers[%d].guarantees[%d]", j, k)
				key := fmt.Sprintf("%s: %s %d accelerators", s.Customers[j].Name, g.AvailabilityZone, g.Shape.Accelerators)
				out = append(out, guarantees.once(key, i, path, "the guarantee", "add the counts in one entry")...)
				if !zones[g.AvailabilityZone] {
					out = append(out, Issue{
						Kind: KindNoRacks, Service: i, Path: path + ".availability_zone",
						Value:  strconv.Quote(g.AvailabilityZone),
						Detail: "no service describes racks in this availability zone",
						Fix:    "correct the name or add the zone's racks",
					})
				}
			}
		}
	}
	return out
}

// Check returns all issues of a list of services, except whether the guarantees
// fit the racks.
func Check(services []model.Service) []Issue {
	var out []Issue
	list := make([]*model.Service, len(services))
	for i := range services {
		list[i] = &services[i]
		for _, is := range checkService(list[i]) {
			is.Service = i
			out = append(out, is)
		}
	}
	return append(out, checkTogether(list)...)
}

// Normalize puts the customers, guarantees and racks of a service in a fixed
// order, so that equal content has equal bytes.
func Normalize(s *model.Service) {
	slices.SortStableFunc(s.Customers, func(a, b model.Customer) int { return strings.Compare(a.Name, b.Name) })
	for i := range s.Customers {
		slices.SortStableFunc(s.Customers[i].Guarantees, func(a, b model.Guarantee) int {
			return cmp.Or(strings.Compare(a.AvailabilityZone, b.AvailabilityZone), a.Shape.Accelerators-b.Shape.Accelerators)
		})
	}
	slices.SortStableFunc(s.Racks, func(a, b model.RackSpec) int {
		return cmp.Or(strings.Compare(a.AvailabilityZone, b.AvailabilityZone),
			a.WorkersPerRack-b.WorkersPerRack, a.AcceleratorsPerWorker-b.AcceleratorsPerWorker)
	})
}
