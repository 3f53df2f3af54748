package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"teaselpaddle.example/teaselpaddle/internal/explain"
)

type explainCmd struct {
	Job  string   `arg:"positional,required" placeholder:"JOB" help:"job id"`
	Logs []string `arg:"positional" placeholder:"LOG" help:"log files of the instances, in any order; without one the standard input is read"`
}

// NoTraceError says that no line of the logs names the job.
type NoTraceError struct {
	Job     string
	Skipped int
	LeftOut int
}

func (e *NoTraceError) Error() string {
	return fmt.Sprintf("no line names job %s (%d lines could not be read, %d were left out by their instances)", e.Job, e.Skipped, e.LeftOut)
}

func (c *explainCmd) run(_ context.Context, e *env) error {
	var logs []io.Reader
	for _, name := range c.Logs {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	if len(logs) == 0 {
		logs = append(logs, e.in)
	}
	s, err := explain.Read(c.Job, logs...)
	if err != nil {
		return err
	}
	if len(s.Events) == 0 {
		return &NoTraceError{Job: c.Job, Skipped: s.Skipped, LeftOut: s.LeftOut}
	}
	if e.json {
		return writeJSON(e.out, s)
	}
	t := &table{head: []string{"TIME", "AFTER", "INSTANCE", "EVENT", "DETAILS"}}
	first := s.Events[0].Time
	for i := range s.Events {
		ev := &s.Events[i]
		msg := ev.Message
		if ev.Context {
			msg = "(" + msg + ")"
		}
		t.row(ev.Time.UTC().Format("15:04:05.000"), fmt.Sprintf("%+.3fs", ev.Time.Sub(first).Seconds()), ev.Instance, msg, ev.Details(c.Job))
	}
	t.write(e.out)
	if s.Skipped > 0 || s.LeftOut > 0 {
		fmt.Fprintf(e.err, "%d lines could not be read, %d were left out by their instances\n", s.Skipped, s.LeftOut)
	}
	return nil
}
