package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/httpapi"
	"teaselpaddle.example/teaselpaddle/internal/view"
)

// showZoneViews requests a view of all zones and writes it as one table. rows adds the
// rows of a zone.
func (e *env) showZoneViews(ctx context.Context, path string, head []string, rows func(*table, *view.Zone)) error {
	var views httpapi.ZoneViews
	if err := e.client.do(ctx, &request{method: http.MethodGet, path: path}, &views); err != nil {
		return err
	}
	if e.json {
		return writeJSON(e.out, &views)
	}
	t := &table{head: head}
	for i := range views.Zones {
		if views.Zones[i].Error == nil {
			rows(t, &views.Zones[i])
		}
	}
	t.write(e.out)
	e.warnMissingZones(views.Zones)
	return nil
}

// warnMissingZones writes a warning for each zone that is missing from an answer.
func (e *env) warnMissingZones(zones []view.Zone) {
	for i := range zones {
		if z := &zones[i]; z.Error != nil {
			fmt.Fprintf(e.errOut, "availability zone %s is missing: %s: %s\n", z.AvailabilityZone, z.Error.Code, z.Error.Detail)
		}
	}
}

type statusCmd struct {
	Job string `arg:"positional" placeholder:"JOB" help:"job id; without it the state of all availability zones is shown"`
}

func (c *statusCmd) run(ctx context.Context, e *env) error {
	if c.Job != "" {
		var j httpapi.Job
		path := "/v1/jobs/" + url.PathEscape(c.Job)
		if err := e.client.do(ctx, &request{method: http.MethodGet, path: path}, &j); err != nil {
			return err
		}
		return e.showJob(&j)
	}
	head := []string{"ZONE", "INSTANCE", "LEADER", "LEADING", "TERM", "READY", "DURABLE", "MEMBERS", "CONFIG", "CONFIG AGE", "UNCONFIRMED"}
	return e.showZoneViews(ctx, "/v1/status", head, func(t *table, z *view.Zone) {
		s := z.Status
		if s == nil {
			return
		}
		age, unconfirmed := "", ""
		if s.Config.Version > 0 {
			age = formatSeconds(s.Config.AgeSeconds)
		}
		if u := s.Config.UnconfirmedSeconds; u != nil {
			unconfirmed = formatSeconds(*u)
		}
		t.row(z.AvailabilityZone, z.Instance, s.Leader, s.Leads, s.Term, s.Ready, s.Durable, len(s.Members), s.Config.Version, age, unconfirmed)
	})
}

func formatSeconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Second).String()
}

type workersCmd struct{}

func (workersCmd) run(ctx context.Context, e *env) error {
	head := []string{"ZONE", "RACK", "WORKER", "ADDRESS", "CORES", "MEMORY MIB", "ACCELERATORS", "SLOTS", "LEAVING", "SUSPENDED", "LAST SEEN"}
	return e.showZoneViews(ctx, "/v1/workers", head, func(t *table, z *view.Zone) {
		for i := range z.Workers {
			w := &z.Workers[i].Worker
			h := &z.Workers[i].Health
			t.row(z.AvailabilityZone, w.Rack, w.Name, w.Address, w.Cores, w.MemoryMiB, w.Accelerators, w.Slots,
				w.Leaving, h.Suspended, formatTime(h.LastSeen))
		}
	})
}

type customersCmd struct{}

func (customersCmd) run(ctx context.Context, e *env) error {
	head := []string{"ZONE", "SERVICE", "CUSTOMER", "GUARANTEE", "IN USE", "BORROWED", "RECLAIMABLE", "QUEUED"}
	return e.showZoneViews(ctx, "/v1/customers", head, func(t *table, z *view.Zone) {
		for i := range z.Customers {
			c := &z.Customers[i]
			t.row(z.AvailabilityZone, c.Service, c.Customer, c.Guarantee, c.InUse, c.Borrowed, c.Reclaimable, c.Queued)
		}
	})
}

type fragmentationCmd struct{}

func (fragmentationCmd) run(ctx context.Context, e *env) error {
	head := []string{"ZONE", "RACK", "FREE", "LARGEST BLOCK", "FITS NO WAITING JOB"}
	return e.showZoneViews(ctx, "/v1/fragmentation", head, func(t *table, z *view.Zone) {
		f := z.Fragmentation
		if f == nil {
			return
		}
		for _, r := range f.Racks {
			t.row(z.AvailabilityZone, r.Rack, r.Free, r.LargestBlock, r.Stranded)
		}
		t.row(z.AvailabilityZone, "all", f.Free, "", f.Stranded)
	})
}
