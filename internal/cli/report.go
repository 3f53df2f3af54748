package cli

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"os"

	"teaselpaddle.example/teaselpaddle/internal/report"
)

type reportCmd struct {
	Logs []string `arg:"positional" placeholder:"LOG" help:"log files of the instances, in any order, or one recorded trace; without one the standard input is read"`
	Out  string   `arg:"--out,required" placeholder:"FILE" help:"file for the page"`
}

func (c *reportCmd) run(_ context.Context, e *env) error {
	logs, done, err := e.logs(c.Logs)
	if err != nil {
		return err
	}
	defer done()
	r, err := readReport(logs)
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
	fmt.Fprintf(e.out, "%s: %s, %d changes\n", c.Out, r.To.Sub(r.From).Round(1e6), len(r.Changes))
	return nil
}

// TraceAmongLogsError is a recorded trace given together with other files: the times
// of a replay are its own.
type TraceAmongLogsError struct{}

func (e *TraceAmongLogsError) Error() string {
	return "a recorded trace is reported on alone, without other files"
}

func readReport(files []io.Reader) (*report.Report, error) {
	for i, f := range files {
		b := bufio.NewReader(f)
		files[i] = b
		if !report.IsTrace(b) {
			continue
		}
		if len(files) > 1 {
			return nil, &TraceAmongLogsError{}
		}
		return report.ReadTrace(b)
	}
	return report.Read(files...)
}
