package cli

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

type configCmd struct {
	Show    *showCmd    `arg:"subcommand:show" help:"show the configuration in force"`
	History *historyCmd `arg:"subcommand:history" help:"list the accepted changes, newest first"`
}

func (c *configCmd) run(context.Context, *env) error {
	return &UsageError{Detail: "config requires a subcommand: show or history"}
}

type showCmd struct {
	Accepted bool `arg:"--accepted" help:"show the accepted configuration instead of the one in force in the server's availability zone"`
}

func (c *showCmd) run(ctx context.Context, e *env) error {
	path := "/v1/config"
	if c.Accepted {
		path += "?source=accepted"
	}
	var cfg model.Configuration
	if err := e.client.do(ctx, &request{method: http.MethodGet, path: path}, &cfg); err != nil {
		return err
	}
	if e.json {
		return writeJSON(e.out, &cfg)
	}
	fmt.Fprintf(e.out, "version %d, published by %s, accepted at %s\n\n", cfg.Version, cfg.Publisher, formatTime(cfg.AcceptedAt))
	configTable(&cfg).write(e.out)
	return nil
}

func configTable(cfg *model.Configuration) *table {
	t := &table{head: []string{"SERVICE", "CUSTOMER", "WEIGHT", "QUEUE LIMIT", "QUOTA", "GUARANTEES"}}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		for j := range s.Customers {
			c := &s.Customers[j]
			var g []string
			for _, x := range c.Guarantees {
				g = append(g, fmt.Sprintf("%s %dx%d", x.AvailabilityZone, x.Count, x.Shape.Accelerators))
			}
			quota := ""
			if c.Quota > 0 {
				quota = fmt.Sprint(c.Quota)
			}
			t.row(s.Name, c.Name, c.Weight, c.QueueLimit, quota, strings.Join(g, ", "))
		}
	}
	return t
}

type historyCmd struct {
	Limit int `arg:"--limit" default:"20" help:"number of changes, at most 2048"`
}

func (c *historyCmd) run(ctx context.Context, e *env) error {
	var records []config.Record
	path := fmt.Sprintf("/v1/config/history?limit=%d", c.Limit)
	if err := e.client.do(ctx, &request{method: http.MethodGet, path: path}, &records); err != nil {
		return err
	}
	if e.json {
		return writeJSON(e.out, records)
	}
	t := &table{head: []string{"VERSION", "ACCEPTED", "PUBLISHER", "CHANGED", "REMOVED"}}
	for i := range records {
		r := &records[i]
		t.row(r.Version, formatTime(r.AcceptedAt), r.Publisher, strings.Join(r.Changed, ", "), strings.Join(r.Removed, ", "))
	}
	t.write(e.out)
	return nil
}

// formatTime formats a time to the second, and the zero time as "".
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
