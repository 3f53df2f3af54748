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
	Logs []string `arg:"positional" placeholder:"LOG" help:"log files of the instances, in any order; standard input if none is given"`
}

// JobNotInLogsError reports that no line of the logs mentions the job.
type JobNotInLogsError struct {
	Job     string
	Skipped explain.SkipCounts
	LeftOut int
}

func (e *JobNotInLogsError) Error() string {
	return fmt.Sprintf("no log line mentions job %s; %s, %d were left out by their instances", e.Job, e.Skipped, e.LeftOut)
}

func (c *explainCmd) run(_ context.Context, e *env) error {
	logs, closeLogs, err := e.openLogs(c.Logs)
	if err != nil {
		return err
	}
	defer closeLogs()
	timeline, err := explain.Read(c.Job, logs...)
	if err != nil {
		return err
	}
	if len(timeline.Events) == 0 {
		return &JobNotInLogsError{Job: c.Job, Skipped: timeline.SkippedBy, LeftOut: timeline.LeftOut}
	}
	if e.json {
		return writeJSON(e.out, timeline)
	}
	t := &table{head: []string{"TIME", "AFTER", "INSTANCE", "EVENT", "DETAILS"}}
	first := timeline.Events[0].Time
	for i := range timeline.Events {
		ev := &timeline.Events[i]
		msg := ev.Message
		if ev.Context {
			msg = "(" + msg + ")"
		}
		t.row(ev.Time.UTC().Format("15:04:05.000"), fmt.Sprintf("%+.3fs", ev.Time.Sub(first).Seconds()), ev.Instance, msg, ev.Details(c.Job))
	}
	t.write(e.out)
	if timeline.Skipped > 0 || timeline.LeftOut > 0 {
		fmt.Fprintf(e.errOut, "%s, %d were left out by their instances\n", timeline.SkippedBy, timeline.LeftOut)
	}
	return nil
}

// openLogs opens log files, or returns the standard input if names is empty. closeLogs
// closes the files.
func (e *env) openLogs(names []string) (logs []io.Reader, closeLogs func(), err error) {
	var files []*os.File
	closeLogs = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeLogs()
			return nil, nil, err
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	if len(logs) == 0 {
		logs = append(logs, e.in)
	}
	return logs, closeLogs, nil
}
