package report

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/explain"
	"teaselpaddle.example/teaselpaddle/internal/replay"
)

const sampleLog = `{"ts":"2026-07-16T02:00:00Z","msg":"leadership begun","instance":"c1","epoch":1}
{"ts":"2026-07-16T02:00:01Z","msg":"submission judged","instance":"c1","job":"j1","verdict":"ok","notLeader":false,"unsure":false}
{"ts":"2026-07-16T02:00:01.5Z","msg":"submission judged","instance":"c1","job":"j9","verdict":"ok","notLeader":true,"unsure":false}
{"ts":"2026-07-16T02:00:02Z","msg":"run started","instance":"c1","job":"j1","unit":"0.0.0","run":1,"customer":"a<b>","accelerators":4,"guaranteed":true,"priority":0,"waitedMS":1000}
{"ts":"2026-07-16T02:00:02Z","msg":"run started","instance":"c1","job":"j2","unit":"0.0.0","run":1,"customer":"c","accelerators":2,"guaranteed":false}
{"ts":"2026-07-16T02:00:03Z","msg":"run stopped to make room","instance":"c1","job":"j2","unit":"0.0.0","run":1}
{"ts":"2026-07-16T02:00:03.5Z","msg":"run ended","instance":"c1","job":"j2","unit":"0.0.0","run":1,"how":"stopped"}
collector: {"ts":"2026-07-16T02:00:03.6Z","msg":"request refused","instance":"e1","job":"j3","reason":"no_leader"}
{"ts":"2026-07-16T02:00:03.7Z","msg":"request refused","instance":"e2","job":"j4","reason":"no_leader"}
{"ts":"2026-07-16T02:00:04Z","msg":"job concluded","instance":"c1","job":"j1","state":"completed"}
{"ts":"2026-07-16T02:00:04Z","msg":"configuration in force","instance":"c1","version":7}
{"ts":"2026-07-16T02:00:04.1Z","msg":"configuration in force","instance":"c2","version":7}
{"ts":"2026-07-16T02:00:04.2Z","msg":"cut of
`

// Guards against plots that count a job, a run or a refusal wrongly: submissions judged
// by instances that do not lead, a gang whose end is logged for one run only, and a
// configuration version that several instances log.
func TestCounts(t *testing.T) {
	is := is.New(t)
	r, err := Read(strings.NewReader(sampleLog))
	is.NoErr(err)
	is.Equal(r.Skipped, explain.SkipCounts{explain.SkipCutShort: 1})
	is.Equal(len(r.Changes), 2)
	is.True(r.Changes[0].Leader)
	is.Equal(len(r.queue), 1)
	is.Equal(peak(r.queue[0]), 1.0)
	is.Equal(r.queue[0].points[1].value, 0.0)
	is.Equal(len(r.byCustomer), 2)
	is.Equal(r.byCustomer[0].name, "a<b>")
	is.Equal(peak(r.byCustomer[0]), 4.0)
	for _, s := range r.byCustomer {
		is.Equal(s.points[len(s.points)-1].value, 0.0) // no accelerators are left in use
	}
	is.Equal(len(r.use), 3)
	is.Equal(peak(r.use[2]), 2.0) // taken back
	is.Equal(peak(r.refusals[0]), 2.0)
	totals := map[string]int{}
	for _, x := range r.Totals {
		totals[x.Name] = x.Count
	}
	is.Equal(totals, map[string]int{
		"jobs completed": 1, "runs ended as stopped": 1, "runs stopped to make room": 1, "requests refused, no_leader": 2,
		"accelerator-seconds of runs ended as done": 8, "accelerator-seconds of runs ended as stopped": 3,
		"mean wait of a first run at priority 0, ms": 500,
	})
}

// Guards against a page that needs other files, and against HTML injection by names
// from the logs.
func TestPage(t *testing.T) {
	is := is.New(t)
	r, err := Read(strings.NewReader(sampleLog))
	is.NoErr(err)
	var b bytes.Buffer
	is.NoErr(r.WriteHTML(&b))
	page := b.String()
	is.Equal(strings.Count(page, "<svg"), 4)
	is.True(strings.Contains(page, "c1 leads, epoch 1"))
	is.True(strings.Contains(page, "a&lt;b&gt;"))
	is.True(!strings.Contains(page, "a<b>"))
	is.True(!strings.Contains(page, "<link") && !strings.Contains(page, "<script"))
	is.True(strings.Contains(page, "1 lines could not be read"))
}

// Guards against a report that fails on recorded logs with a change of the leader, and
// against an empty page for files that are not logs.
func TestRecordedLogs(t *testing.T) {
	is := is.New(t)
	f, err := os.Open("../explain/testdata/control.log")
	is.NoErr(err)
	defer func() { _ = f.Close() }()
	r, err := Read(f)
	is.NoErr(err)
	leaders := 0
	for _, c := range r.Changes {
		if c.Leader {
			leaders++
		}
	}
	is.True(leaders >= 2)
	var b bytes.Buffer
	is.NoErr(r.WriteHTML(&b))

	_, err = Read(strings.NewReader("Jul 16 host kernel: link is up\n"))
	var noEvents *NoEventsError
	is.True(errors.As(err, &noEvents))
}

// Guards against a report of a trace whose counts differ from those of the replay, that
// leaves accelerators in use after the last job, or that does not say that it is a replay.
func TestRecordedTrace(t *testing.T) {
	for _, name := range []string{"demo", "birlik"} {
		is := is.New(t)
		path := "../replay/testdata/" + name + ".jsonl"
		f, err := os.Open(path)
		is.NoErr(err)
		r, err := ReadTrace(f)
		is.NoErr(err)
		is.NoErr(f.Close())
		want, err := replay.Run(replay.Options{TracePath: path})
		is.NoErr(err)
		totals := map[string]int{}
		for _, x := range r.Totals {
			totals[x.Name] = x.Count
		}
		is.True(totals["jobs completed"] > 0)
		is.Equal(totals["jobs completed"]+totals["jobs not completed"]+want.Unfinished, countJobs(t, path))
		is.Equal(totals["runs stopped to make room"], want.Preemptions)
		is.True(len(r.queue) == 1 && peak(r.queue[0]) >= 1)
		if want.Unfinished == 0 {
			for _, s := range r.byCustomer {
				is.Equal(s.points[len(s.points)-1].value, 0.0)
			}
		}
		var b bytes.Buffer
		is.NoErr(r.WriteHTML(&b))
		is.True(strings.Contains(b.String(), "nothing of it happened as shown"))
	}
}

// countJobs returns the number of jobs submitted in a trace.
func countJobs(t *testing.T, path string) int {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	events, err := replay.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	jobs := map[string]bool{}
	for i := range events {
		if events[i].Kind == replay.KindSubmit {
			jobs[string(events[i].Job)] = true
		}
	}
	return len(jobs)
}

// Guards against counting the last runs of a job that failed as done.
func TestRunsOfFailedJobAreNotDone(t *testing.T) {
	is := is.New(t)
	const log = `{"ts":"2026-07-16T02:00:00Z","msg":"run started","instance":"c1","job":"j1","unit":"0.0.0","run":1,"customer":"c","accelerators":2}
{"ts":"2026-07-16T02:00:00Z","msg":"run started","instance":"c1","job":"j1","unit":"0.0.1","run":1,"customer":"c","accelerators":2}
{"ts":"2026-07-16T02:00:02Z","msg":"run ended","instance":"c1","job":"j1","unit":"0.0.0","run":1,"how":"failed"}
{"ts":"2026-07-16T02:00:02Z","msg":"job concluded","instance":"c1","job":"j1","state":"failed"}
{"ts":"2026-07-16T02:00:03Z","msg":"run ended","instance":"c1","job":"j1","unit":"0.0.1","run":1,"how":"stopped"}
`
	r, err := Read(strings.NewReader(log))
	is.NoErr(err)
	totals := map[string]int{}
	for _, x := range r.Totals {
		totals[x.Name] = x.Count
	}
	is.Equal(totals["accelerator-seconds of runs ended as done"], 0)
	is.Equal(totals["accelerator-seconds of runs ended as failed"], 4)
	is.Equal(totals["accelerator-seconds of runs ended as stopped"], 6)
}
