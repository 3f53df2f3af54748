package report

import (
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// logOf returns a log in which each line is SECONDS MESSAGE and further fields in JSON.
func logOf(lines ...string) string {
	var b strings.Builder
	for _, l := range lines {
		at, rest, _ := strings.Cut(l, " ")
		d, _ := time.ParseDuration(at + "s")
		ts := time.UnixMilli(0).Add(d).UTC().Format(time.RFC3339Nano)
		msg, fields, _ := strings.Cut(rest, " {")
		b.WriteString(`{"ts":"` + ts + `","msg":"` + msg + `","instance":"c1",` + fields + "\n")
	}
	return b.String()
}

func recorded(job, queue, from, due string) string {
	return `0 job recorded {"job":"` + job + `","queue":"` + queue + `","fromMS":` + from + `,"dueMS":` + due + `,"lengthMS":1000}`
}

// Guards against a delay that is put down to another cause than the one that took most time:
// room that was missing, a stop and who ordered it, a failed unit, a leader that was missing,
// a long run; and against cancelled jobs that count as late.
func TestCausesOfDelays(t *testing.T) {
	for name, c := range map[string]struct {
		log  []string
		want string
	}{
		"room": {[]string{
			`3 run started {"job":"a","unit":"0.0.0","run":1}`, `4 run ended {"job":"a","unit":"0.0.0","run":1,"how":"done"}`,
		}, ReasonRoom},
		"stop": {[]string{
			`0.1 run started {"job":"a","unit":"0.0.0","run":1}`, `2 run stopped to make room {"job":"a","unit":"0.0.0","run":1,"for":"b"}`,
			`2.2 run ended {"job":"a","unit":"0.0.0","run":1,"how":"stopped"}`, `3 run started {"job":"a","unit":"0.0.0","run":2}`,
			`4 run ended {"job":"a","unit":"0.0.0","run":2,"how":"done"}`,
		}, "stopped for urgent"},
		"failure": {[]string{
			`0.1 run started {"job":"a","unit":"0.0.0","run":1}`, `2 run ended {"job":"a","unit":"0.0.0","run":1,"how":"failed"}`,
			`2.1 run started {"job":"a","unit":"0.0.0","run":2}`, `4 run ended {"job":"a","unit":"0.0.0","run":2,"how":"done"}`,
		}, "unit failed"},
		"leader": {[]string{
			`0 planning begins {"epoch":1}`, `0.1 run ended {"job":"c","unit":"0.0.0","run":1,"how":"done"}`,
			`2.9 planning begins {"epoch":2}`,
			`3 run started {"job":"a","unit":"0.0.0","run":1}`, `4 run ended {"job":"a","unit":"0.0.0","run":1,"how":"done"}`,
		}, ReasonNoLeader},
		"long run": {[]string{
			`0.1 run started {"job":"a","unit":"0.0.0","run":1}`, `4 run ended {"job":"a","unit":"0.0.0","run":1,"how":"done"}`,
		}, ReasonRanLong},
		"last unit of an earlier step": {[]string{
			`0.1 run started {"job":"a","unit":"0.0.0","run":1}`, `0.4 run ended {"job":"a","unit":"0.0.0","run":1,"how":"done"}`,
			`2.6 run started {"job":"a","unit":"0.0.1","run":1}`, `3 run ended {"job":"a","unit":"0.0.1","run":1,"how":"done"}`,
			`3.1 run started {"job":"a","unit":"0.1.0","run":1}`, `4 run ended {"job":"a","unit":"0.1.0","run":1,"how":"done"}`,
		}, ReasonRoom},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lines := append([]string{recorded("a", "batch", "0", "2000"), recorded("b", "urgent", "0", "9000"), recorded("x", "batch", "0", "100")}, c.log...)
			lines = append(
				lines, `0.5 cancellation judged {"job":"x","verdict":"ok","notLeader":false}`,
				`4 job concluded {"job":"a","state":"completed"}`, `4 job concluded {"job":"b","state":"completed"}`,
			)
			delays, _, err := ReadDelays(time.Second, strings.NewReader(logOf(lines...)))
			is.NoErr(err)
			is.Equal(len(delays), 2)
			is.Equal(delays[0].Queue, "batch")
			is.Equal([]int{delays[0].Jobs, delays[0].OnTime, delays[0].Late}, []int{1, 0, 1})
			is.Equal(delays[0].Causes, map[string]int{c.want: 1})
			is.Equal(delays[1].OnTime, 1)
		})
	}
}

// Guards against lost work that is put down to the wrong reason, refusals that are left out,
// and success for files that are no logs.
func TestDelaysCountWasteAndRefusals(t *testing.T) {
	is := is.New(t)
	delays, waste, err := ReadDelays(time.Second, strings.NewReader(logOf(
		recorded("a", "batch", "0", "2000"),
		`0 run started {"job":"a","unit":"0.0.0","run":1,"accelerators":4}`,
		`2 run stopped because its gang is incomplete {"job":"a","unit":"0.0.0","run":1}`,
		`2.5 run ended {"job":"a","unit":"0.0.0","run":1,"how":"stopped"}`,
		`3 request refused {"method":"POST","reason":"no_leader"}`, `3 request refused {"method":"GET","reason":"no_leader"}`,
	)))
	is.NoErr(err)
	is.Equal(waste, []Waste{{Reason: "gang broken", Runs: 1, AcceleratorSeconds: 10}})
	is.Equal(delays[0].Causes, map[string]int{ReasonUnfinished: 1})
	is.Equal(delays[1].Refused, 1)
	_, _, err = ReadDelays(time.Second, strings.NewReader("no log\n"))
	var none *NoEventsError
	is.True(errors.As(err, &none))
}
