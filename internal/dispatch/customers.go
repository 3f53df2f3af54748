package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// CustomerView describes a customer to operators. The customer without a name stands for
// the requests without a key on public queues.
type CustomerView struct {
	Name       string `cbor:"1,keyasint,omitempty" json:"name"`
	Guaranteed int64  `cbor:"2,keyasint,omitempty" json:"guaranteed_accelerators"`
	InUse      int64  `cbor:"3,keyasint,omitempty" json:"accelerators_in_use"`
	// Borrowed is the part of InUse that is held by runs outside the guarantee.
	Borrowed int64 `cbor:"4,keyasint,omitempty" json:"borrowed_accelerators"`
	// WaitingUnits are the units that could start now if there were room for them.
	WaitingUnits int `cbor:"5,keyasint,omitempty" json:"waiting_units"`
	// Share is the customer's use of the region, from 0 to 1; see package share.
	Share float64 `cbor:"6,keyasint,omitempty" json:"share"`
}

// customerViewInterval is the least time between two updates of the views and gauges. Plans
// are made up to a hundred times per second.
const customerViewInterval = 200 * time.Millisecond

// customerGauges are the gauges of each customer.
var customerGauges = []struct {
	name  string
	value func(*CustomerView) float64
}{
	{"guaranteed_accelerators", func(c *CustomerView) float64 { return float64(c.Guaranteed) }},
	{"accelerators_in_use", func(c *CustomerView) float64 { return float64(c.InUse) }},
	{"borrowed_accelerators", func(c *CustomerView) float64 { return float64(c.Borrowed) }},
	{"waiting_units", func(c *CustomerView) float64 { return float64(c.WaitingUnits) }},
	{"share", func(c *CustomerView) float64 { return c.Share }},
}

func customerMetric(name, customer string) string {
	return telemetry.Labeled("teaselpaddle_customer_"+name, "customer", customer)
}

// countCustomer increments a counter of a customer.
func countCustomer(name, customer string) { telemetry.Count(customerMetric(name, customer)) }

// Customers returns the customers by name, as of the last plans. It returns nil until there
// is a plan.
func (l *Leadership) Customers() []CustomerView {
	if v := l.customers.Load(); v != nil {
		return *v
	}
	return nil
}

// publishCustomers updates the views and gauges of the customers from a decided snapshot.
func (p *planner) publishCustomers(s *place.Snapshot) {
	l := p.leadership
	now := l.cfg.Now()
	if l.customers.Load() != nil && now.Sub(p.customersAt) < customerViewInterval {
		return
	}
	p.customersAt = now
	views := p.customerViews(s)
	for i := range views {
		for _, g := range customerGauges {
			l.customerMetrics.GetOrCreateGauge(customerMetric(g.name, views[i].Name), nil).Set(g.value(&views[i]))
		}
	}
	for _, old := range l.Customers() {
		if slices.ContainsFunc(views, func(c CustomerView) bool { return c.Name == old.Name }) {
			continue
		}
		for _, g := range customerGauges {
			l.customerMetrics.UnregisterMetric(customerMetric(g.name, old.Name))
		}
	}
	l.customers.Store(&views)
}

// customerViews returns the customers that are configured, have jobs, or have had runs
// lately.
func (p *planner) customerViews(s *place.Snapshot) []CustomerView {
	byIdentity := map[string]*CustomerView{}
	of := func(identity string) *CustomerView {
		if byIdentity[identity] == nil {
			byIdentity[identity] = &CustomerView{}
		}
		return byIdentity[identity]
	}
	p.leadership.cfg.Machine.View(func(v *batch.View) {
		if c := v.Config(); c != nil {
			for i := range c.Customers {
				if cu := &c.Customers[i]; !cu.IsFormer() {
					of(cu.Name).Guaranteed = cu.Guaranteed
				}
			}
		}
	})
	for identity, held := range p.held {
		of(identity).InUse, of(identity).Borrowed = held.all.Accelerators, held.borrowed
	}
	for _, g := range s.Groups {
		of(g.Customer).WaitingUnits += len(g.Waiting)
	}
	for identity, use := range p.shares.Use() {
		of(identity).Share = use
	}
	out := make([]CustomerView, 0, len(byIdentity))
	for identity, view := range byIdentity {
		view.Name = p.customerName(identity)
		out = append(out, *view)
	}
	slices.SortFunc(out, func(a, b CustomerView) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// customerName returns the published name of a customer by its identity.
func (p *planner) customerName(identity string) string {
	var name string
	p.leadership.cfg.Machine.View(func(v *batch.View) { name = v.CustomerName(identity) })
	return name
}

// newCustomerMetrics returns the set of the customers' gauges. It is registered while this
// instance leads.
func newCustomerMetrics() *metrics.Set {
	set := metrics.NewSet()
	metrics.RegisterSet(set)
	return set
}
