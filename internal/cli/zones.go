package cli

import (
	"context"
	"net/http"
	"net/url"

	"teaselpaddle.example/teaselpaddle/internal/httpapi"
)

type batchZonesCmd struct{}

func (c *batchZonesCmd) run(ctx context.Context, e *env) error {
	var list []httpapi.RegionZone
	if err := e.client.do(ctx, &request{method: http.MethodGet, path: "/v1/zones"}, &list); err != nil {
		return err
	}
	if e.json {
		return writeJSON(e.out, list)
	}
	e.showZones(list)
	return nil
}

// zoneArgs names an availability zone.
type zoneArgs struct {
	Zone string `arg:"positional,required" placeholder:"ZONE" help:"name of the availability zone"`
}

// change sends a change of the zone's cordon and shows the zone after it.
func (a *zoneArgs) change(ctx context.Context, e *env, method string) error {
	var z httpapi.RegionZone
	req := &request{method: method, path: "/v1/zones/" + url.PathEscape(a.Zone) + "/cordon"}
	if err := e.client.doWithRetries(ctx, req, &z, e.reportRetry); err != nil {
		return err
	}
	if e.json {
		return writeJSON(e.out, &z)
	}
	e.showZones([]httpapi.RegionZone{z})
	return nil
}

type batchCordonCmd struct{ zoneArgs }

func (c *batchCordonCmd) run(ctx context.Context, e *env) error {
	return c.change(ctx, e, http.MethodPut)
}

type batchUncordonCmd struct{ zoneArgs }

func (c *batchUncordonCmd) run(ctx context.Context, e *env) error {
	return c.change(ctx, e, http.MethodDelete)
}

func (e *env) showZones(list []httpapi.RegionZone) {
	t := &table{head: []string{"ZONE", "CORDONED", "WORKERS", "RUNS", "GENERATION", "SINCE", "BY"}}
	for i := range list {
		z := &list[i]
		since := ""
		if z.Since != nil {
			since = formatTime(*z.Since)
		}
		t.row(z.Name, z.Cordoned, z.Workers, z.Runs, z.Generation, since, z.By)
	}
	t.write(e.out)
}
