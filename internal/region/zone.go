package region

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// ZoneQuery requests the availability zones that the leader knows.
type ZoneQuery struct {
	Name string `cbor:"1,keyasint,omitempty"` // only this zone; "" means all
}

// ZoneView describes an availability zone to operators.
type ZoneView struct {
	Name    string          `cbor:"1,keyasint"`
	State   batch.ZoneState `cbor:"2,keyasint"`           // zero if the zone was never cordoned
	Workers int             `cbor:"3,keyasint,omitempty"` // number of workers recorded there
	Runs    int             `cbor:"4,keyasint,omitempty"` // number of active runs recorded for them
}

// CallerGoneError reports that an order was dropped because its caller disconnected, or
// its time ended, before the order was sent to the leader.
type CallerGoneError struct{ Cause error }

func (e *CallerGoneError) Error() string {
	return "the caller no longer waits for the order: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// ZoneNotDescribedError reports that the leader answered without the zone that was asked
// for. A leader of an earlier version does so, because it ignores the request.
type ZoneNotDescribedError struct{ Zone string }

func (e *ZoneNotDescribedError) Error() string {
	return fmt.Sprintf("the leader did not describe zone %q", e.Zone)
}

// Zones returns the zone with the given name, or all known ones if name is "". The
// verdict is batch.UnknownZone if there is no such zone.
func (r *Router) Zones(ctx context.Context, name string) (*Reply, error) {
	return r.forward(ctx, &request{Zones: &ZoneQuery{Name: name}})
}

// SetCordon cordons or uncordons a zone for the given caller. The change applies only to
// the generation of the zone that the leader confirmed after the order arrived, so that a
// copy of the order that is delayed on a link has no effect after a later order. ctx must
// end when the caller disconnects: a caller that gave up may have had the same order, and
// the opposite one after it, acknowledged through another instance, and then nothing may be
// sent on its behalf.
func (r *Router) SetCordon(ctx context.Context, zone string, cordon bool, caller string) (*Reply, error) {
	rep, err := r.Zones(ctx, zone)
	if err != nil || rep.Verdict != batch.OK {
		return rep, err
	}
	if len(rep.Zones) != 1 {
		return nil, &UnavailableError{Cause: &ZoneNotDescribedError{Zone: zone}}
	}
	if err := endOf(ctx); err != nil {
		telemetry.Count("teaselpaddle_zone_orders_dropped_total")
		return nil, &UnavailableError{Cause: &CallerGoneError{Cause: err}}
	}
	rep, err = r.forward(ctx, &request{Zone: &batch.ZoneChange{
		Zone: zone, Cordon: cordon, Generation: rep.Zones[0].State.Generation, By: caller + " through " + r.Self,
	}})
	if err == nil && rep.Verdict == batch.OK && len(rep.Zones) != 1 {
		return nil, &UnavailableError{Cause: &ZoneNotDescribedError{Zone: zone}}
	}
	return rep, err
}

// endOf returns why ctx has ended, or nil. Unlike ctx.Err it does not depend on a timer,
// which fires late after a pause of the process.
func endOf(ctx context.Context) error {
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}

// handleZoneChange commits an order and describes the zone after it. The caller has found
// the zone to be known by a confirmed read.
func (c *Control) handleZoneChange(ctx context.Context, rep *Reply, z *batch.ZoneChange, term uint64) {
	z.AtMS = c.clock.NowMS()
	c.commit(ctx, rep, &batch.Command{Zone: z})
	verdict := rep.Verdict.String()
	switch {
	case rep.NotLeader:
		verdict = "not_leader"
	case rep.OutcomeUnknown:
		verdict = "unsure"
	default:
		c.machine.View(func(v *batch.View) { rep.Zones = zoneViews(v, []string{z.Zone}, z.Zone) })
	}
	order := "uncordon"
	if z.Cordon {
		order = "cordon"
	}
	telemetry.Count(fmt.Sprintf("teaselpaddle_zone_orders_total{order=%q,verdict=%q}", order, verdict))
	c.log.Info("zone order judged", "zone", z.Zone, "order", order, "by", z.By, "generation", z.Generation, "verdict", verdict, "term", term)
}

// readZones answers a query for zones from a confirmed state.
func (c *Control) readZones(rep *Reply, v *batch.View, q *ZoneQuery) {
	rep.Zones = zoneViews(v, c.cfg.Zones, q.Name)
	if q.Name != "" && len(rep.Zones) == 0 {
		rep.Verdict = batch.UnknownZone
	}
}

// zoneViews describes the known zones, or only the one with the given name, sorted by
// name. Known are the configured zones, those of recorded workers, and those that were
// cordoned before.
func zoneViews(v *batch.View, configured []string, only string) []ZoneView {
	byName := map[string]*ZoneView{}
	view := func(name string) *ZoneView {
		if name == "" || only != "" && name != only {
			return &ZoneView{} // not asked for
		}
		if byName[name] == nil {
			byName[name] = &ZoneView{Name: name}
		}
		return byName[name]
	}
	for _, name := range configured {
		view(name)
	}
	for name, z := range v.Zones() {
		view(name).State = *z
	}
	for id, w := range v.Workers() {
		if only != "" && w.Zone != only {
			continue
		}
		z := view(w.Zone)
		z.Workers++
		v.EachActiveUnit(id, func(batch.UnitRef, *batch.Unit) { z.Runs++ })
	}
	out := make([]ZoneView, 0, len(byName))
	for _, z := range byName {
		out = append(out, *z)
	}
	slices.SortFunc(out, func(a, b ZoneView) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// cordonedGauge shows the number of cordoned zones as this instance knows them.
var cordonedGauge = metrics.GetOrCreateGauge("teaselpaddle_zones_cordoned", nil)

// logZones logs each change of a zone once when it takes effect on this instance, with the
// runs that are left there. Only the goroutine that applies the log calls it.
func (c *Control) logZones() {
	c.machine.View(func(v *batch.View) {
		cordoned := 0
		for name, z := range v.Zones() {
			if z.Cordoned {
				cordoned++
			}
			if c.loggedZones[name] == z.Generation {
				continue
			}
			c.loggedZones[name] = z.Generation
			msg := "zone uncordoned"
			if z.Cordoned {
				msg = "zone cordoned"
			}
			var left ZoneView
			if views := zoneViews(v, nil, name); len(views) > 0 { // the zone may have no name
				left = views[0]
			}
			c.log.Info(msg, "zone", name, "by", z.By, "generation", z.Generation, "sinceMS", z.SinceMS, "workers", left.Workers, "runs", left.Runs)
		}
		cordonedGauge.Set(float64(cordoned))
	})
}
