package cli

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"teaselpaddle.example/teaselpaddle/internal/report"
)

type reportCmd struct {
	Logs []string `arg:"positional" placeholder:"LOG" help:"log files of the instances, in any order; without one the standard input is read"`
	Out  string   `arg:"--out,required" placeholder:"FILE" help:"file for the page"`
}

func (c *reportCmd) run(_ context.Context, e *env) error {
	logs, done, err := e.logs(c.Logs)
	if err != nil {
		return err
	}
	defer done()
	r, err := report.Read(logs...)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := r.WriteHTML(&b); err != nil {
		return err
	}
	if err := os.WriteFile(c.Out, b.Bytes(), 0o644); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%s: %s of logs, %d changes\n", c.Out, r.To.Sub(r.From).Round(1e6), len(r.Changes))
	return nil
}
