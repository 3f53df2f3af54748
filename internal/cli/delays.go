package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/report"
)

type delaysCmd struct {
	Logs   []string      `arg:"positional" placeholder:"LOG" help:"log files of the control and entry instances of a region, in any order; standard input if none is given"`
	Window time.Duration `arg:"--window" default:"2s" help:"length of the windows of time by which jobs are grouped"`
}

// WindowError reports a window that is not positive.
type WindowError struct{ Window time.Duration }

func (e *WindowError) Error() string {
	return fmt.Sprintf("--window must be positive, not %v", e.Window)
}

func (c *delaysCmd) run(_ context.Context, e *env) error {
	if c.Window <= 0 {
		return &WindowError{c.Window}
	}
	logs, closeLogs, err := e.openLogs(c.Logs)
	if err != nil {
		return err
	}
	defer closeLogs()
	delays, waste, err := report.ReadDelays(c.Window, logs...)
	if err != nil {
		return err
	}
	if e.json {
		return writeJSON(e.out, map[string]any{"delays": delays, "waste": waste})
	}
	t := &table{head: []string{"FROM", "QUEUE", "JOBS", "ON TIME", "LATE", "FAILED", "REFUSED", "CAUSES"}}
	total := map[string]*report.Delays{}
	for i := range delays {
		d := &delays[i]
		t.row(d.Begin.Format("15:04:05.0"), d.Queue, d.Jobs, d.OnTime, d.Late, d.Failed, d.Refused, formatCauses(d.Causes))
		addDelays(total, d)
	}
	for _, q := range slices.Sorted(maps.Keys(total)) {
		d := total[q]
		t.row("total", d.Queue, d.Jobs, d.OnTime, d.Late, d.Failed, d.Refused, formatCauses(d.Causes))
	}
	t.write(e.out)
	fmt.Fprintln(e.out)
	w := &table{head: []string{"WORK LOST", "RUNS", "ACCELERATOR-SECONDS"}}
	for _, x := range waste {
		w.row(x.Reason, x.Runs, fmt.Sprintf("%.0f", x.AcceleratorSeconds))
	}
	w.write(e.out)
	return nil
}

// addDelays adds a row to the totals by queue.
func addDelays(total map[string]*report.Delays, d *report.Delays) {
	sum := total[d.Queue]
	if sum == nil {
		sum = &report.Delays{Queue: d.Queue, Causes: map[string]int{}}
		total[d.Queue] = sum
	}
	sum.Jobs += d.Jobs
	sum.OnTime += d.OnTime
	sum.Late += d.Late
	sum.Failed += d.Failed
	sum.Refused += d.Refused
	for reason, n := range d.Causes {
		sum.Causes[reason] += n
	}
}

// formatCauses lists reasons with their counts, the most frequent first.
func formatCauses(causes map[string]int) string {
	reasons := slices.Sorted(maps.Keys(causes))
	slices.SortStableFunc(reasons, func(a, b string) int { return causes[b] - causes[a] })
	for i, r := range reasons {
		reasons[i] = fmt.Sprintf("%s %d", r, causes[r])
	}
	return strings.Join(reasons, ", ")
}
