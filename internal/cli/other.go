package cli

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
)

// ReplayOptions are the arguments of the replay command.
type ReplayOptions struct {
	Trace  string `arg:"positional,required" placeholder:"TRACE" help:"recorded trace"`
	Policy string `arg:"--policy" placeholder:"FILE" help:"operators' file with the policy to use instead of the recorded one"`
	// JSON is set by the tool's --json.
	JSON bool `arg:"-"`
}

// Replay replays a trace and writes its report. It is nil in a build without
// the replay package.
var Replay func(ctx context.Context, o *ReplayOptions, out io.Writer) error

func (o *ReplayOptions) run(ctx context.Context, e *env) error {
	if Replay == nil {
		return &UnavailableError{Command: "replay"}
	}
	o.JSON = e.json
	return Replay(ctx, o, e.out)
}

type versionCmd struct{}

func (versionCmd) run(_ context.Context, e *env) error {
	version, revision := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	if e.json {
		return writeJSON(e.out, map[string]string{"version": version, "revision": revision})
	}
	fmt.Fprintf(e.out, "teaselpaddle %s %s\n", version, revision)
	return nil
}
