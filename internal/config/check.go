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
	maxNameBytes             = 100
	maxWeight                = 1000
	maxQueueLimit            = 100_000
	maxQuota                 = 1_000_000
	maxGuaranteeCount        = 10_000
	maxShapeAccelerators     = 1024 // the largest gang is 128 tasks of 8 accelerators
	maxRacks                 = 1000 // of one kind in a zone; the design has 6,900 workers in total
	maxWorkersPerRack        = 64
	maxAcceleratorsPerWorker = 64
	maxCheckpointBound       = 3600
	maxMaxFailures           = 100
	minRetentionSeconds      = 60
	maxRetentionSeconds      = 366 * 24 * 3600
)

// checker collects the issues of one service.
type checker struct{ issues []Issue }

func (c *checker) add(kind Kind, path, value, detail, fix string) {
	c.issues = append(c.issues, Issue{Kind: kind, Path: path, Value: value, Detail: detail, Fix: fix})
}

func (c *checker) checkInt(path string, v, low, high int) {
	if v < low || v > high {
		detail := fmt.Sprintf("must be between %d and %d", low, high)
		c.add(KindOutOfRange, path, strconv.Itoa(v), detail, fmt.Sprintf("write a whole number from %d to %d", low, high))
	}
}

func (c *checker) checkFloat(path string, v, low, high float64) {
	// The negated comparison is also true for NaN.
	if !(v >= low && v <= high) {
		detail := fmt.Sprintf("must be between %g and %g", low, high)
		c.add(KindOutOfRange, path, strconv.FormatFloat(v, 'g', -1, 64), detail, fmt.Sprintf("write a number from %g to %g", low, high))
	}
}

func (c *checker) checkName(path, v string) {
	if v != "" && len(v) <= maxNameBytes && strings.IndexFunc(v, isInvalidNameRune) < 0 {
		return
	}
	c.add(KindOutOfRange, path, strconv.Quote(truncate(v)),
		fmt.Sprintf("must have 1 to %d lower-case letters, digits, '-', '_' or '.'", maxNameBytes), "choose another name")
}

func isInvalidNameRune(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
}

// checkService checks one service on its own.
func checkService(s *model.Service) []Issue {
	c := &checker{}
	c.checkName("service", s.Name)
	if len(s.Customers) == 0 {
		c.add(KindOutOfRange, "customers", "[]", "must have at least one customer", "add a customer")
	}
	for i := range s.Customers {
		c.checkCustomer(fmt.Sprintf("customers[%d]", i), &s.Customers[i])
	}
	p := &s.Policy
	c.checkFloat("policy.checkpoint_bound_seconds", p.CheckpointBoundSeconds, 0, maxCheckpointBound)
	c.checkFloat("policy.fragmentation_weight", p.FragmentationWeight, 0, 1)
	c.checkInt("policy.max_failures", p.MaxFailures, 1, maxMaxFailures)
	c.checkFloat("policy.retention_seconds", p.RetentionSeconds, minRetentionSeconds, maxRetentionSeconds)
	for i := range s.Racks {
		path := fmt.Sprintf("racks[%d]", i)
		r := &s.Racks[i]
		c.checkName(path+".availability_zone", r.AvailabilityZone)
		c.checkInt(path+".racks", r.Racks, 1, maxRacks)
		c.checkInt(path+".workers_per_rack", r.WorkersPerRack, 1, maxWorkersPerRack)
		c.checkInt(path+".accelerators_per_worker", r.AcceleratorsPerWorker, 1, maxAcceleratorsPerWorker)
	}
	return c.issues
}

func (c *checker) checkCustomer(path string, cu *model.Customer) {
	c.checkName(path+".name", cu.Name)
	c.checkInt(path+".weight", cu.Weight, 1, maxWeight)
	c.checkInt(path+".queue_limit", cu.QueueLimit, 1, maxQueueLimit)
	c.checkInt(path+".quota", cu.Quota, 0, maxQuota)
	total := map[string]int{}
	for i := range cu.Guarantees {
		g := &cu.Guarantees[i]
		p := fmt.Sprintf("%s.guarantees[%d]", path, i)
		c.checkName(p+".availability_zone", g.AvailabilityZone)
		c.checkInt(p+".shape.accelerators", g.Shape.Accelerators, 1, maxShapeAccelerators)
		c.checkInt(p+".count", g.Count, 1, maxGuaranteeCount)
		total[g.AvailabilityZone] += g.Shape.Accelerators * g.Count
		if cu.Quota > 0 && total[g.AvailabilityZone] > cu.Quota {
			c.add(KindOutOfRange, path+".quota", strconv.Itoa(cu.Quota),
				fmt.Sprintf("is less than the %d accelerators guaranteed in %q", total[g.AvailabilityZone], g.AvailabilityZone),
				"raise the quota or reduce the guarantees")
		}
	}
}

// firstUses maps each name to the place of its first use.
type firstUses map[string]*Place

// checkUnique records the first use of a name and returns an issue for a later use.
func (f firstUses) checkUnique(name string, service int, path, what, fix string) []Issue {
	if first := f[name]; first != nil {
		return []Issue{{
			Kind: KindDuplicate, Service: service, Path: path, Value: name,
			Detail: what + " is given twice", Fix: fix, First: first,
		}}
	}
	f[name] = &Place{Service: service, Path: path}
	return nil
}

// checkAcrossServices checks rules that concern several services or several entries
// of one service: duplicate names, and guarantees in zones without racks.
func checkAcrossServices(services []*model.Service) []Issue {
	var out []Issue
	names, customers, racks, guarantees := firstUses{}, firstUses{}, firstUses{}, firstUses{}
	zones := map[string]bool{}
	for i, s := range services {
		out = append(out, names.checkUnique(s.Name, i, "service", "the service", "merge the two files or rename one service")...)
		for j := range s.Customers {
			out = append(out, customers.checkUnique(s.Customers[j].Name, i, fmt.Sprintf("customers[%d].name", j),
				"the customer", "keep one of the two or rename one")...)
		}
		for j, r := range s.Racks {
			zones[r.AvailabilityZone] = true
			key := fmt.Sprintf("%s %dx%d", r.AvailabilityZone, r.WorkersPerRack, r.AcceleratorsPerWorker)
			out = append(out, racks.checkUnique(key, i, fmt.Sprintf("racks[%d]", j),
				"this kind of rack in this availability zone", "add the numbers of racks in one entry")...)
		}
	}
	for i, s := range services {
		for j := range s.Customers {
			for k, g := range s.Customers[j].Guarantees {
				path := fmt.Sprintf("customers[%d].guarantees[%d]", j, k)
				key := fmt.Sprintf("%s: %s %d accelerators", s.Customers[j].Name, g.AvailabilityZone, g.Shape.Accelerators)
				out = append(out, guarantees.checkUnique(key, i, path, "the guarantee", "add the counts in one entry")...)
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
		for _, issue := range checkService(list[i]) {
			issue.Service = i
			out = append(out, issue)
		}
	}
	return append(out, checkAcrossServices(list)...)
}

// Normalize sorts the customers, guarantees and racks of a service, so that equal
// content has an equal encoding.
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
