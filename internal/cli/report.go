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
	Logs []string `arg:"positional" placeholder:"LOG" help:"log files of the instances, in any order, or one recorded trace; standard input if none is given"`
	Out  string   `arg:"--out,required" placeholder:"FILE" help:"file to write the page to"`
}

func (c *reportCmd) run(_ context.Context, e *env) error {
	logs, closeLogs, err := e.openLogs(c.Logs)
	if err != nil {
		return err
	}
	defer closeLogs()
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

// TraceAmongLogsError reports a recorded trace that was given together with other files.
// A replay has a clock of its own, so its times cannot be merged with those of logs.
type TraceAmongLogsError struct{}

func (e *TraceAmongLogsError) Error() string {
	return "a recorded trace must be given alone, without other files"
}

// readReport reads logs, or a single recorded trace.
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
