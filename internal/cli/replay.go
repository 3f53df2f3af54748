package cli

import (
	"context"
	"fmt"
	"io"

	"teaselpaddle.example/teaselpaddle/internal/replay"
)

// ReplayOptions are the arguments of the replay command.
type ReplayOptions struct {
	Trace  string `arg:"positional,required" placeholder:"TRACE" help:"recorded trace"`
	Policy string `arg:"--policy" placeholder:"FILE" help:"file with a policy object as JSON with comments; it replaces the recorded policies"`
	// JSON is set from the global flag --json.
	JSON bool `arg:"-"`
}

// Replay replays a trace and writes its report.
var Replay = replayTrace

func (o *ReplayOptions) run(ctx context.Context, e *env) error {
	o.JSON = e.json
	return Replay(ctx, o, e.out)
}

func replayTrace(_ context.Context, o *ReplayOptions, out io.Writer) error {
	report, err := replay.Run(replay.Options{TracePath: o.Trace, PolicyPath: o.Policy})
	if err != nil {
		return err
	}
	if o.JSON {
		return writeJSON(out, report)
	}
	replayTimes(report).write(out)
	fmt.Fprintln(out)
	replayCounts(report).write(out)
	return nil
}

// replayTimes returns a table of the report's durations in seconds.
func replayTimes(r *replay.Report) *table {
	t := &table{head: []string{"SECONDS", "JOBS", "MEAN", "P50", "P95", "P99", "MAX"}}
	for _, x := range []struct {
		name    string
		seconds replay.Spread
	}{
		{"completion", r.Completion},
		{"completion of small jobs", r.Small},
		{"completion of large jobs", r.Large},
		{"wait of small jobs", r.SmallWait},
		{"wait of large jobs", r.LargeWait},
		{"wait of urgent jobs", r.UrgentWait},
		{"reclaim of a guarantee", r.Reclaim},
	} {
		t.row(x.name, x.seconds.Jobs, formatDecimal(x.seconds.Mean), formatDecimal(x.seconds.P50), formatDecimal(x.seconds.P95), formatDecimal(x.seconds.P99), formatDecimal(x.seconds.Max))
	}
	return t
}

// replayCounts returns a table of the report's counts and shares.
func replayCounts(r *replay.Report) *table {
	t := &table{head: []string{"MEASURE", "VALUE"}}
	t.row("availability zones", r.Zones)
	t.row("guarantees not met", r.GuaranteeMisses)
	t.row("fragmentation, accelerators", formatDecimal(r.Fragmentation))
	t.row("scattered, accelerators", formatDecimal(r.Scattered))
	t.row("free, accelerators", formatDecimal(r.Free))
	t.row("share of time in which a large job starves", fmt.Sprintf("%.3f", r.LargeStarved))
	t.row("preemptions", r.Preemptions)
	t.row("stopped over their declared size", r.Stopped)
	t.row("rejected", r.Rejected)
	t.row("failed or cancelled", r.Failed)
	t.row("unfinished", r.Unfinished)
	return t
}

func formatDecimal(x float64) string { return fmt.Sprintf("%.1f", x) }
