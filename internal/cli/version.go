package cli

import (
	"context"
	"fmt"
	"runtime/debug"
)

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
