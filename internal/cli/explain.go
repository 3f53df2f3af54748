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
	logs, done, err := e.logs(c.Logs)
	if err != nil {
		return err
	}
	defer done()
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

// logs opens log files, or takes the standard input if there are none. done closes
// them.
func (e *env) logs(names []string) (logs []io.Reader, done func(), err error) {
	var files []*os.File
	done = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			done()
			return nil, nil, err
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	if len(logs) == 0 {
		logs = append(logs, e.in)
	}
	return logs, done, nil
}
