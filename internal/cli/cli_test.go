package cli

import (
	"bytes"
	"encoding/json"
	"flag"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/replay"
)

var update = flag.Bool("update", false, "write the golden files")

var afterSeconds = regexp.MustCompile(`after [0-9.]+ s`)

// cannedReply is an answer of the fake server. Status 0 aborts the connection.
type cannedReply struct {
	status int
	body   string
}

// fakeServer answers from lists of replies by "METHOD path"; the last reply of a list is
// repeated. It records the bodies of all requests but GET.
type fakeServer struct {
	*httptest.Server
	replies      map[string][]cannedReply
	changeBodies []string
}

func startServer(t *testing.T, replies map[string][]cannedReply) *fakeServer {
	t.Helper()
	s := &fakeServer{replies: replies}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.Method + " " + r.URL.Path
		if r.Method != http.MethodGet {
			var b bytes.Buffer
			_, _ = b.ReadFrom(r.Body)
			s.changeBodies = append(s.changeBodies, b.String())
		}
		list := s.replies[key]
		if len(list) == 0 {
			list = []cannedReply{{404, `{"code":"not_found","detail":"` + key + `"}`}}
		}
		if len(list) > 1 {
			s.replies[key] = list[1:]
		}
		if list[0].status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(list[0].status)
		_, _ = w.Write([]byte(list[0].body))
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *fakeServer) address() string { return strings.TrimPrefix(s.URL, "http://") }

// unusedAddress returns an address on which no process listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// run executes the tool and returns its exit code and both outputs.
func run(t *testing.T, in string, argv ...string) (int, string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code := Run(t.Context(), argv, strings.NewReader(in), &out, &errOut)
	return code, out.String(), errOut.String()
}

const (
	jobDone         = `{"id":"z1.000000000000000000000001","spec":{"customer":"a","key":"k","tasks":2,"accelerators":8},"state":"done","submitted_at":"2026-05-01T12:00:00Z","finished_at":"2026-05-01T12:10:00Z","attempts":1,"results":[{"task":0,"worker":"w1","ok":true,"output":"one"},{"task":1,"worker":"w2","ok":true,"output":"two"}]}`
	jobRunning      = `{"id":"z1.000000000000000000000001","spec":{"customer":"a","key":"k","tasks":2,"accelerators":8},"state":"running","submitted_at":"2026-05-01T12:00:00Z","attempts":1}`
	jobUnknown      = `{"id":"z1.000000000000000000000001","spec":{"customer":"a","key":"k","tasks":2,"accelerators":8},"state":"unknown","reason":"worker_lost","submitted_at":"2026-05-01T12:00:00Z","attempts":1}`
	zoneUnreachable = `{"availability_zone":"z2","error":{"code":"owner_zone_unreachable","detail":"availability zone \"z2\" cannot be reached"}}`
	accepted1       = `{"version":1,"publish_key":"p","publisher":"op","accepted_at":"2026-05-01T12:00:00Z","services":[{"service":"desk","customers":[{"name":"a","weight":2,"queue_limit":10,"guarantees":[{"availability_zone":"z1","shape":{"accelerators":16},"count":2}]},{"name":"b","weight":1,"queue_limit":5,"quota":9}],"policy":{"checkpoint_bound_seconds":5,"fragmentation_weight":0.3,"max_failures":3,"retention_seconds":60},"racks":[{"availability_zone":"z1","racks":1,"workers_per_rack":8,"accelerators_per_worker":8}]}]}`
	noConfig        = `{"code":"no_configuration","detail":"no configuration was accepted yet"}`
	inForce         = `{"zones":[{"availability_zone":"z1","status":{"config":{"version":2}}}]}`
	conflict        = `{"code":"version_conflict","detail":"version 2 is accepted, not 1: version 2 by \"x\" at 2026-05-01T12:00:00Z changed desk"}`
	zoneCordoned    = `{"name":"z1","cordoned":true,"generation":3,"since":"2026-05-01T12:00:00Z","by":"10.0.9.1 through c1","workers":3,"runs":5}`
	outcomeUnknown  = `{"code":"outcome_unknown","detail":"the configuration group did not answer"}`
)

const operatorsFile = `{
  "service": "desk",
  "racks": [{"availability_zone": "z1", "racks": 1, "workers_per_rack": 8, "accelerators_per_worker": 8}],
  "policy": {"checkpoint_bound_seconds": 5, "fragmentation_weight": 0.3, "max_failures": 3, "retention_seconds": 60},
  "customers": [{"name": "a", "weight": 4, "queue_limit": 10}],
}`

// writeOperatorsFile writes an operators' file to a new directory and returns that.
func writeOperatorsFile(t *testing.T, content string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, config.FileName), []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Guards against unintended changes of tables, messages and exit codes, on which
// scripts and operators rely.
func TestGolden(t *testing.T) {
	single := func(key string, status int, body string) map[string][]cannedReply {
		return map[string][]cannedReply{key: {{status, body}}}
	}
	cases := []struct {
		name    string
		replies map[string][]cannedReply
		code    int
		argv    string
	}{
		{"config-show", single("GET /v1/config", 200, accepted1), 0, "config show"},
		{"config-none", single("GET /v1/config", 503, noConfig), 1, "config show"},
		{"config-history", single("GET /v1/config/history", 200, `[{"version":2,"accepted_at":"2026-05-01T12:00:00Z","publisher":"op","publish_key":"k","changed":["desk"],"removed":["old"]},{"version":1,"accepted_at":"2026-05-01T11:00:00Z","publisher":"x","publish_key":"j","changed":["desk","old"]}]`), 0, "config history"},
		{"status", single("GET /v1/status", 200, `{"partial":true,"zones":[{"availability_zone":"z1","instance":"i","status":{"leader":"i","leads":true,"term":7,"ready":true,"durable":true,"members":[{"instance":"i"}],"config":{"version":3,"age_seconds":61.2,"unconfirmed_seconds":0.4}}},`+zoneUnreachable+`]}`), 0, "status"},
		{"workers", single("GET /v1/workers", 200, `{"zones":[{"availability_zone":"z1","workers":[{"worker":{"name":"w1","address":"127.0.0.1:1","rack":"r","cores":64,"memory_mib":1024,"accelerators":8,"slots":8,"leaving":true},"health":{"last_seen":"2026-05-01T12:00:00Z"}}]}]}`), 0, "workers"},
		{"customers", single("GET /v1/customers", 200, `{"partial":true,"zones":[{"availability_zone":"z1","customers":[{"service":"desk","customer":"a","guarantee":16,"in_use":10,"borrowed":2,"reclaimable":8,"queued":3}]},`+zoneUnreachable+`]}`), 0, "customers"},
		{"fragmentation", single("GET /v1/fragmentation", 200, `{"zones":[{"availability_zone":"z1","fragmentation":{"free":12,"stranded":4,"waiting":1,"racks":[{"rack":"r1","free":8,"largest_block":8,"stranded":0},{"rack":"r2","free":4,"largest_block":1,"stranded":4}]}}]}`), 0, "fragmentation"},
		{"jobs", single("GET /v1/jobs", 200, `{"partial":true,"jobs":[`+jobDone+`,`+jobRunning+`],"unreachable":[`+zoneUnreachable+`]}`), 0, "jobs --active"},
		{"submit-wait", map[string][]cannedReply{"POST /v1/jobs": {{0, ""}, {202, jobRunning}}, "GET /v1/jobs/z1.000000000000000000000001": {{200, jobRunning}, {200, jobDone}}}, 0, "submit --customer a --key k --wait"},
		{"submit-unknown", map[string][]cannedReply{"POST /v1/jobs": {{200, jobUnknown}}}, 3, "submit --customer a --key k --wait"},
		{"submit-refused", single("POST /v1/jobs", 422, `{"code":"never_fits","detail":"no rack has 128 accelerators","field":"tasks","state":"not_run"}`), 1, "submit --customer a --key k"},
		{"submit-owner-unreachable", single("POST /v1/jobs", 503, `{"code":"owner_zone_unreachable","detail":"z2 cannot be reached","state":"unknown"}`), 3, "--timeout 500ms submit --customer a --key k"},
		{"cancel", single("DELETE /v1/jobs/z1.000000000000000000000001", 200, jobRunning), 0, "cancel z1.000000000000000000000001"},
		{"job-json", single("GET /v1/jobs/z1.000000000000000000000001", 200, jobUnknown), 0, "--json status z1.000000000000000000000001"},
		{"batch-submit-wait", map[string][]cannedReply{
			"PUT /v1/queues/q/jobs/j": {{0, ""}, {200, `{"id":"j","queue":"q","state":"queued"}`}},
			"GET /v1/queues/q/jobs/j": {{200, `{"id":"j","queue":"q","state":"completed","units":{"units":8,"active":0,"done":8,"failed_runs":1}}`}},
		}, 0, "batch submit q j ../../examples/region/job.jsonc --api-key k --wait"},
		{"batch-submit-failed", single("PUT /v1/queues/q/jobs/j", 200, `{"id":"j","queue":"q","state":"failed","reason":"crashes_workers"}`), 1, "batch submit q j ../../examples/region/job.jsonc --wait"},
		{"batch-submit-unknown", single("PUT /v1/queues/q/jobs/j", 503, outcomeUnknown), 3, "--timeout 500ms batch submit q j ../../examples/region/job.jsonc"},
		{"batch-submit-undecodable", single("PUT /v1/queues/q/jobs/j", 200, "<html>"), 3, "--timeout 500ms batch submit q j ../../examples/region/job.jsonc"},
		{"batch-submit-cancelled", single("PUT /v1/queues/q/jobs/j", 200, `{"id":"j","queue":"q","state":"cancelled"}`), 1, "batch submit q j ../../examples/region/job.jsonc --wait"},
		{"batch-status-undecodable", single("GET /v1/queues/q/jobs/j", 200, "<html>"), 1, "batch status q j"},
		{"batch-status-refused", single("GET /v1/queues/q/jobs/j", 401, `{"code":"unknown_key","detail":"the key belongs to no customer"}`), 1, "batch status q j --api-key k"},
		{"batch-cancel", single("DELETE /v1/queues/q/jobs/j", 200, `{"id":"j","queue":"q","state":"cancelled","units":{"units":8,"active":2,"done":1,"failed_runs":0}}`), 0, "batch cancel q j --api-key k"},
		{"batch-pending", single("GET /v1/queues/q", 200, `{"queue":"q","pending":12}`), 0, "batch pending q"},
		{"batch-publish", single("PUT /v1/config", 200, `{"version":1,"queues":[{"name":"q","service":"s","priority":2,"max_attempts":4,"stretch":3}],"services":[{"name":"s"}],"customers":[{"name":"a","keys":["k"],"guaranteed_accelerators":16}]}`), 0, "batch publish ../../examples/region/config.jsonc"},
		{"batch-workers", single("GET /v1/workers", 200, `[{"name":"w1","life":1,"address":"127.0.0.1:1","service":"s","availability_zone":"z1","rack":"r1","capacity":{"accelerators":8},"runs":2},{"name":"w2","life":1,"address":"127.0.0.1:2","service":"s","capacity":{"accelerators":8},"speed":{"log_milli":-511,"sd_milli":123,"observations":5}}]`), 0, "batch workers"},
		{"batch-customers", single("GET /v1/customers", 200, `[{"name":"","waiting_units":2},{"name":"water-utility","guaranteed_accelerators":16,"accelerators_in_use":24,"borrowed_accelerators":8,"waiting_units":3,"share":0.25}]`), 0, "batch customers"},
		{"batch-zones", single("GET /v1/zones", 200, `[`+zoneCordoned+`,{"name":"z2","cordoned":false,"generation":0,"workers":4,"runs":7}]`), 0, "batch zones"},
		{"batch-cordon", map[string][]cannedReply{"PUT /v1/zones/z1/cordon": {{0, ""}, {200, zoneCordoned}}}, 0, "batch cordon z1"},
		{"batch-uncordon-overtaken", single("DELETE /v1/zones/z1/cordon", 503, `{"code":"overtaken","detail":"the zone was changed by another order at the same time"}`), 1, "batch uncordon z1"},
		{"batch-cordon-unknown", single("PUT /v1/zones/z9/cordon", 404, `{"code":"unknown_zone","detail":"the zone is not in the settings and no worker has announced it"}`), 1, "batch cordon z9"},
		{"replay", nil, 1, "replay testdata/none.trace"},
		{"usage", nil, 2, "submit --customer a"},
		{"no-command", nil, 2, ""},
		{"config-usage", nil, 2, "config"},
		{"help", nil, 0, "--help"},
		{"publish-help", nil, 0, "publish --help"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, c.replies)
			code, out, errOut := run(t, "", append([]string{"--server", s.address()}, strings.Fields(c.argv)...)...)
			is.Equal(code, c.code)
			got := out + "--- errors\n" + strings.ReplaceAll(errOut, s.address(), "SERVER")
			golden(t, c.name, got)
		})
	}
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

// Guards against a command without a help text or an example.
func TestEveryCommandHasHelp(t *testing.T) {
	for name, example := range examples {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, out, _ := run(t, "", append(strings.Fields(name), "--help")...)
			is.Equal(code, 0)
			is.True(strings.Contains(out, "Exit codes:"))
			is.True(strings.HasSuffix(out, "Example:\n  "+example+"\n"))
			is.True(strings.Contains(example, name))
		})
	}
}

// Guards against a failing server that keeps the client from trying the next one, and
// against the exit code "unreachable" for a change that was sent.
func TestServerFailover(t *testing.T) {
	is := is.New(t)
	working := startServer(t, map[string][]cannedReply{"GET /v1/config/history": {{200, "[]"}}})
	stopping := startServer(t, map[string][]cannedReply{"GET /v1/config/history": {{503, `{"code":"stopping"}`}}})
	aborting := startServer(t, map[string][]cannedReply{"DELETE /v1/jobs/j": {{0, ""}}})
	unreachable := unusedAddress(t)
	code, _, _ := run(t, "", "--server", unreachable+","+stopping.address(), "--server", working.address(), "config", "history")
	is.Equal(code, exitOK)
	code, _, errOut := run(t, "", "--server", unreachable, "config", "history")
	is.Equal(code, exitUnreachable)
	is.True(strings.Contains(errOut, "no server can be reached ("+unreachable+")"))
	code, _, _ = run(t, "", "--timeout", "500ms", "--server", unreachable, "--server", aborting.address(), "--server", unreachable, "cancel", "j")
	is.Equal(code, exitUnknown)
}

// Guards against a lost answer that leads to a second publish under another key, and
// against a publish without confirmation.
func TestPublish(t *testing.T) {
	published := `{"version":2,"publisher":"op","publish_key":"k","changed":["desk"]}`
	replies := func(put ...cannedReply) map[string][]cannedReply {
		return map[string][]cannedReply{"GET /v1/config": {{200, accepted1}}, "GET /v1/status": {{200, inForce}}, "PUT /v1/config": put}
	}
	cases := []struct {
		name     string
		put      []cannedReply
		in       string
		flags    string
		code     int
		requests int
	}{
		{"publish", []cannedReply{{200, published}}, "", "--yes", exitOK, 1},
		{"publish-confirmed", []cannedReply{{200, published}}, "y\n", "--no-wait", exitOK, 1},
		{"publish-declined", nil, "n\n", "", exitRefused, 0},
		{"publish-dry-run", nil, "", "--dry-run", exitOK, 0},
		{"publish-conflict", []cannedReply{{409, conflict}}, "", "--yes", exitRefused, 1},
		{"publish-expected", []cannedReply{{409, conflict}}, "", "--yes --expected-version 1", exitRefused, 1},
		{"publish-lost", []cannedReply{{0, ""}, {503, outcomeUnknown}, {200, published}}, "", "--yes --no-wait", exitOK, 3},
		{"publish-unknown", []cannedReply{{503, outcomeUnknown}}, "", "--yes --timeout 500ms", exitUnknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, replies(c.put...))
			dir := writeOperatorsFile(t, operatorsFile)
			argv := append([]string{"--server", s.address(), "publish", "--publisher", "op", dir}, strings.Fields(c.flags)...)
			code, out, errOut := run(t, c.in, argv...)
			is.Equal(code, c.code)
			is.Equal(len(s.changeBodies), c.requests)
			key := ""
			for _, body := range s.changeBodies {
				is.Equal(body, s.changeBodies[0]) // every attempt sends the same request
				var p config.Publish
				is.NoErr(json.Unmarshal([]byte(body), &p))
				is.Equal(p.Expected, uint64(1))
				key = p.Key
			}
			if key == "" {
				key = "no key"
			}
			mask := strings.NewReplacer(s.address(), "SERVER", dir, "DIR", key, "KEY")
			got := afterSeconds.ReplaceAllString(out, "after T s") + "--- errors\n" + errOut
			golden(t, c.name, mask.Replace(got))
		})
	}
}

// Guards against publishing again when an earlier attempt with the same key was accepted.
func TestPublishResumed(t *testing.T) {
	is := is.New(t)
	s := startServer(t, map[string][]cannedReply{"GET /v1/config/history": {{200, `[{"version":2,"publish_key":"k"}]`}}})
	code, out, _ := run(t, "", "--server", s.address(), "publish", "--publish-key", "k", writeOperatorsFile(t, operatorsFile))
	is.Equal(code, exitOK)
	is.Equal(out, "already accepted as version 2\n")
	is.Equal(len(s.changeBodies), 0)
}

// Guards against output that differs from the report of the replayed trace.
func TestReplay(t *testing.T) {
	is := is.New(t)
	trace := filepath.Join(t.TempDir(), "trace")
	f, err := os.Create(trace)
	is.NoErr(err)
	is.NoErr(replay.Write(f, replay.Generate(replay.Authority(), 1)[:400]))
	is.NoErr(f.Close())
	code, out, _ := run(t, "", "--json", "replay", trace)
	is.Equal(code, exitOK)
	var got replay.Report
	is.NoErr(json.Unmarshal([]byte(out), &got))
	want, err := replay.Run(replay.Options{TracePath: trace})
	is.NoErr(err)
	is.Equal(&got, want)
	code, out, _ = run(t, "", "replay", trace)
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "guarantees not met"))
}

// Guards against a report that is not written, and against success for logs without
// events.
func TestReport(t *testing.T) {
	is := is.New(t)
	out := filepath.Join(t.TempDir(), "r.html")
	code, text, _ := run(t, "", "report", "../explain/testdata/control.log", "../explain/testdata/entry.log", "--out", out)
	is.Equal(code, exitOK)
	is.True(strings.Contains(text, "changes"))
	page, err := os.ReadFile(out)
	is.NoErr(err)
	is.True(bytes.Contains(page, []byte("<svg")))
	code, _, errOut := run(t, "not a log\n", "report", "--out", out)
	is.Equal(code, exitRefused)
	is.True(strings.Contains(errOut, "no line of a teaselpaddle instance"))
	const trace = "../replay/testdata/demo.jsonl"
	code, _, _ = run(t, "", "report", trace, "--out", out)
	is.Equal(code, exitOK)
	page, err = os.ReadFile(out)
	is.NoErr(err)
	is.True(bytes.Contains(page, []byte("A recorded trace")))
	code, _, errOut = run(t, "", "report", trace, "../explain/testdata/control.log", "--out", out)
	is.Equal(code, exitRefused)
	is.True(strings.Contains(errOut, "without other files"))
}

// Guards against check results that omit an error or its position.
func TestCheck(t *testing.T) {
	is := is.New(t)
	code, out, _ := run(t, "", "check", writeOperatorsFile(t, operatorsFile))
	is.Equal(code, exitOK)
	is.Equal(out, "no errors in 1 services with 1 customers\n")
	dir := writeOperatorsFile(t, strings.NewReplacer(`"weight": 4`, `"weight": 0, "quta": 1`, `"racks": 1`, `"racks": -1`).Replace(operatorsFile))
	code, out, errOut := run(t, "", "check", dir)
	is.Equal(code, exitRefused)
	golden(t, "check-errors", strings.ReplaceAll(out+"--- errors\n"+errOut, dir, "DIR"))
	code, out, _ = run(t, "", "--json", "check", dir)
	is.Equal(code, exitRefused)
	var errs config.Errors
	is.NoErr(json.Unmarshal([]byte(out), &errs))
	is.Equal(len(errs), 3)
}

// Guards against a table without rows or totals, and against a window that groups nothing.
func TestDelays(t *testing.T) {
	is := is.New(t)
	log := `{"ts":"1970-01-01T00:00:00Z","msg":"job recorded","instance":"c1","job":"a","queue":"batch","fromMS":0,"dueMS":2000,"lengthMS":1000}
{"ts":"1970-01-01T00:00:03Z","msg":"run started","instance":"c1","job":"a","unit":"0.0.0","run":1}
{"ts":"1970-01-01T00:00:04Z","msg":"run ended","instance":"c1","job":"a","unit":"0.0.0","run":1,"how":"done"}
{"ts":"1970-01-01T00:00:04Z","msg":"job concluded","instance":"c1","job":"a","state":"completed"}
`
	code, out, _ := run(t, log, "delays")
	is.Equal(code, exitOK)
	var rows []string
	for line := range strings.Lines(out) {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	is.Equal(rows[1], "00:00:00.0 batch 1 0 1 0 0 waited for room 1")
	is.Equal(rows[2], "total batch 1 0 1 0 0 waited for room 1")
	is.True(strings.Contains(out, "WORK LOST"))
	code, _, errOut := run(t, log, "delays", "--window", "0s")
	is.Equal(code, exitRefused)
	is.True(strings.Contains(errOut, "--window must be positive"))
}
