package config

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Difference is one field that differs between two configurations. Before is
// empty if the field was added, After if it was removed. Customer is empty for
// fields of the service itself.
type Difference struct {
	Service  string `json:"service"`
	Customer string `json:"customer,omitempty"`
	Field    string `json:"field"`
	Before   string `json:"before,omitempty"`
	After    string `json:"after,omitempty"`
}

// field identifies one value of a configuration.
type field struct{ service, customer, name string }

// Differences returns the fields that differ, sorted by service, customer and field.
// Either configuration may be nil.
func Differences(before, after *model.Configuration) []Difference {
	a, b := fieldValues(before), fieldValues(after)
	var out []Difference
	for k, v := range a {
		if w := b[k]; w != v {
			out = append(out, Difference{k.service, k.customer, k.name, v, w})
		}
	}
	for k, w := range b {
		if _, ok := a[k]; !ok {
			out = append(out, Difference{k.service, k.customer, k.name, "", w})
		}
	}
	slices.SortFunc(out, func(x, y Difference) int {
		return cmp.Or(strings.Compare(x.Service, y.Service), strings.Compare(x.Customer, y.Customer), strings.Compare(x.Field, y.Field))
	})
	return out
}

// fieldValues returns the values of all fields of a configuration as text.
func fieldValues(c *model.Configuration) map[field]string {
	out := map[field]string{}
	if c == nil {
		return out
	}
	for i := range c.Services {
		s := &c.Services[i]
		number := func(name string, v float64) {
			out[field{s.Name, "", name}] = strconv.FormatFloat(v, 'g', -1, 64)
		}
		number("policy.checkpoint_bound_seconds", s.Policy.CheckpointBoundSeconds)
		number("policy.fragmentation_weight", s.Policy.FragmentationWeight)
		number("policy.max_failures", float64(s.Policy.MaxFailures))
		number("policy.retention_seconds", s.Policy.RetentionSeconds)
		for _, r := range s.Racks {
			number(fmt.Sprintf("racks %s %dx%d", r.AvailabilityZone, r.WorkersPerRack, r.AcceleratorsPerWorker), float64(r.Racks))
		}
		for j := range s.Customers {
			addCustomerFields(out, s.Name, &s.Customers[j])
		}
	}
	return out
}

func addCustomerFields(out map[field]string, service string, c *model.Customer) {
	out[field{service, c.Name, "weight"}] = strconv.Itoa(c.Weight)
	out[field{service, c.Name, "queue_limit"}] = strconv.Itoa(c.QueueLimit)
	if c.Quota > 0 {
		out[field{service, c.Name, "quota"}] = strconv.Itoa(c.Quota)
	}
	for _, g := range c.Guarantees {
		name := fmt.Sprintf("guarantees %s of %d accelerators", g.AvailabilityZone, g.Shape.Accelerators)
		out[field{service, c.Name, name}] = strconv.Itoa(g.Count)
	}
}

// ChangedServices returns the services of after that are new or differ from before, and the
// names of the services that after no longer has. Either configuration may be nil.
func ChangedServices(before, after *model.Configuration) (changed []model.Service, removed []string) {
	old := servicesByName(before)
	next := servicesByName(after)
	for _, name := range sortedNames(next) {
		if o := old[name]; o == nil || !reflect.DeepEqual(o, next[name]) {
			changed = append(changed, *next[name])
		}
	}
	for _, name := range sortedNames(old) {
		if next[name] == nil {
			removed = append(removed, name)
		}
	}
	return changed, removed
}

func servicesByName(c *model.Configuration) map[string]*model.Service {
	out := map[string]*model.Service{}
	if c == nil {
		return out
	}
	for i := range c.Services {
		out[c.Services[i].Name] = &c.Services[i]
	}
	return out
}

func sortedNames(m map[string]*model.Service) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
