package view

import (
	"cmp"
	"slices"
	"strings"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Customer is a customer's use of one availability zone. All numbers except
// Queued count accelerators.
type Customer struct {
	Service   string `json:"service"`
	Customer  string `json:"customer"`
	Guarantee int    `json:"guarantee"`
	InUse     int    `json:"in_use"`
	// Borrowed is the part of InUse outside the guarantee; it may be preempted.
	Borrowed int `json:"borrowed"`
	// Reclaimable is the part of the guarantee that the customer does not use
	// and can reclaim from borrowers.
	Reclaimable int `json:"reclaimable"`
	// Queued is the number of queued jobs.
	Queued int `json:"queued"`
}

// Customers returns all configured customers, and those that are no longer
// configured but still have active jobs, sorted by service and name.
func Customers(zone string, cfg *model.Configuration, active []*model.Job) []Customer {
	byName := map[string]*Customer{}
	for _, c := range configuredCustomers(zone, cfg) {
		byName[c.Customer] = &c
	}
	for _, j := range active {
		c := byName[j.Spec.Customer]
		if c == nil {
			c = &Customer{Customer: j.Spec.Customer}
			byName[j.Spec.Customer] = c
		}
		c.addJob(j)
	}
	out := make([]Customer, 0, len(byName))
	for _, c := range byName {
		c.Reclaimable = max(0, c.Guarantee-(c.InUse-c.Borrowed))
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Customer) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Customer, b.Customer))
	})
	return out
}

func configuredCustomers(zone string, cfg *model.Configuration) []Customer {
	var out []Customer
	if cfg == nil {
		return nil
	}
	for i := range cfg.Services {
		for j := range cfg.Services[i].Customers {
			configured := &cfg.Services[i].Customers[j]
			c := Customer{Service: cfg.Services[i].Name, Customer: configured.Name}
			for _, g := range configured.Guarantees {
				if g.AvailabilityZone == zone {
					c.Guarantee += g.Shape.Accelerators * g.Count
				}
			}
			out = append(out, c)
		}
	}
	return out
}

func (c *Customer) addJob(j *model.Job) {
	if j.Attempt == nil {
		c.Queued++
		return
	}
	n := j.Spec.TotalAccelerators()
	c.InUse += n
	if j.Attempt.Borrowed {
		c.Borrowed += n
	}
}
