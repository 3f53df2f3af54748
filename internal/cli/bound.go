package cli

import (
	"context"
	"fmt"

	"teaselpaddle.example/teaselpaddle/internal/report"
)

type boundCmd struct {
	Logs []string `arg:"positional" placeholder:"LOG" help:"log files of the control instances of a region, in any order; standard input if none is given"`
}

func (c *boundCmd) run(_ context.Context, e *env) error {
	logs, closeLogs, err := e.openLogs(c.Logs)
	if err != nil {
		return err
	}
	defer closeLogs()
	bounds, capacity, err := report.ReadBounds(logs...)
	if err != nil {
		return err
	}
	if e.json {
		return writeJSON(e.out, bounds)
	}
	t := &table{head: []string{"PRIORITY", "JOBS", "ON TIME", "POSSIBLE", "LIMIT", "SHARE"}}
	for _, b := range bounds {
		share := "-"
		if b.Possible > 0 {
			share = fmt.Sprintf("%.0f%%", 100*float64(b.OnTime)/b.Possible)
		}
		t.row(b.Priority, b.Jobs, b.OnTime, fmt.Sprintf("%.1f", b.Possible), b.Limit, share)
	}
	t.write(e.out)
	fmt.Fprintf(e.out, "on %d accelerators, %d cores and %d MB, as if work could be split at will and nothing failed\n",
		capacity.Accelerators, capacity.CPU/1000, capacity.MemoryMB)
	return nil
}
