package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/httpserver"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/routing"
)

// noPeers is a network on which no other instance can be reached.
type noPeers struct{}

func (noPeers) Call(_ context.Context, to string, _ link.Kind, _ []byte) ([]byte, error) {
	return nil, &link.NotSentError{To: to, Cause: net.ErrClosed}
}
func (noPeers) Send(string, link.Kind, []byte) {}
func (noPeers) Handle(link.Kind, link.Handler) {}

// fakeGroup is a zone's replication group with settable durability and leadership.
type fakeGroup struct {
	*replica.Local
	diskless, leaderless bool
}

func (g *fakeGroup) Status() replica.Status {
	st := g.Local.Status()
	st.Durable = !g.diskless
	if g.leaderless {
		st.Leader, st.Leads = "", false
	}
	return st
}

// fixture is an instance of zone z-1; z-2 cannot be reached.
type fixture struct {
	api     *API
	group   *fakeGroup
	srv     *httptest.Server
	workers []model.Worker
}

func start(t *testing.T, change func(*API), tune ...func(*httpserver.Server)) *fixture {
	t.Helper()
	m := jobs.New()
	f := &fixture{group: &fakeGroup{Local: replica.NewLocal("a", m)}}
	f.api = &API{
		Router: &routing.Router{
			Self: "a", Zone: "z-1", Zones: []string{"z-1", "z-2"}, InZone: func(string) []string { return []string{"b"} },
			Peers: noPeers{}, Group: f.group, Machine: m, Log: logr.Discard(),
		},
		Ready: func() bool { return true }, Log: logr.Discard(),
		Announce: func(w model.Worker) { f.workers = append(f.workers, w) },
	}
	if change != nil {
		change(f.api)
	}
	f.propose(t, &jobs.Command{Kind: jobs.KindAdoptConfig, Config: &model.ConfigChange{To: 1, Changed: []model.Service{
		{Name: "s", Customers: []model.Customer{{Name: "c", QueueLimit: 3}}},
	}}})
	f.srv = httptest.NewUnstartedServer(nil)
	limited := NewServer(f.api.Handler(), httpserver.Machine{}, logr.Discard())
	for _, fn := range tune {
		fn(limited)
	}
	f.srv.Config, f.srv.Listener = limited.Server, limited.Limit(f.srv.Listener)
	f.srv.Start()
	t.Cleanup(f.srv.Close)
	return f
}

func (f *fixture) propose(t *testing.T, c *jobs.Command) {
	t.Helper()
	is := is.New(t)
	c.At = time.Now().UTC()
	entry, err := c.Encode()
	is.NoErr(err)
	out, err := f.group.Propose(context.Background(), entry)
	is.NoErr(err)
	is.Equal(out.(*jobs.Result).Refusal, nil)
}

// call sends a request and returns the response's status, header, and body as a
// problem document and as text.
func (f *fixture) call(t *testing.T, method, path, body string) (int, http.Header, Problem, string) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequest(method, f.srv.URL+path, strings.NewReader(body))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	var raw json.RawMessage
	_ = json.NewDecoder(resp.Body).Decode(&raw)
	var p Problem
	if resp.StatusCode/100 != 2 {
		is.Equal(resp.Header.Get("Content-Type"), "application/problem+json")
		is.NoErr(json.Unmarshal(raw, &p))
		is.Equal(p.Status, resp.StatusCode)
	}
	return resp.StatusCode, resp.Header, p, string(raw)
}

// key returns a request key that the zone owns and that differs for each n.
func key(zone string, n int) string {
	for i := 0; ; i++ {
		k := fmt.Sprintf("k-%d-%d", n, i)
		if model.OwnerZone([]string{"z-1", "z-2"}, "c", k) == zone {
			return k
		}
	}
}

func body(key string, more string) string {
	return fmt.Sprintf(`{"customer":"c","key":%q,"tasks":1,"accelerators":1%s}`, key, more)
}

func refusalCount(r model.Reason) uint64 {
	return metrics.GetOrCreateCounter("teaselpaddle_refusals_total{reason=" + strconv.Quote(string(r)) + "}").Get()
}

const (
	validWorker = `{"name":"w","address":"127.0.0.1:9","availability_zone":"z-1","rack":"r","cores":8,"memory_mib":100,"accelerators":8,"slots":8,"connections":4,"incarnation":5,"seq":1}`
	validReport = `{"worker":"w","job":"z-1.0123456789abcdef01234567","fence":7,"result":{"task":0,"worker":"w","ok":true}}`
)

// refusal is a request and the refusal that it must get.
type refusal struct {
	method, path, body string
	status             int
	code               model.Reason
	state              model.JobState
	field              string
	retry              bool // Retry-After is set
}

// Guards against a refusal that has the wrong code, status or Retry-After, that is
// counted under another reason, twice or not at all, or that claims a job state
// that is not certain.
func TestRefusals(t *testing.T) {
	post := func(path, body string, code model.Reason, status int) refusal {
		return refusal{method: "POST", path: path, body: body, code: code, status: status}
	}
	bad := func(body, field string) refusal {
		r := post("/v1/jobs", body, model.ReasonInvalid, 400)
		r.field = field
		return r
	}
	worker := func(old, replacement, field string) refusal {
		r := post("/v1/workers/announce", strings.Replace(validWorker, old, replacement, 1), model.ReasonInvalid, 400)
		r.field = field
		return r
	}
	report := func(old, replacement, field string) refusal {
		r := post("/v1/workers/reports", strings.Replace(validReport, old, replacement, 1), model.ReasonInvalid, 400)
		r.field = field
		return r
	}
	own, other := key("z-1", 0), key("z-2", 0)
	for name, c := range map[string]refusal{
		"not JSON":           bad("nonsense", ""),
		"empty":              bad("", ""),
		"cut off":            bad(`{"customer":"c"`, ""),
		"two values":         bad(body(own, "")+body(own, ""), ""),
		"unknown key":        bad(body(own, `,"taks":1`), "taks"),
		"other letter case":  bad(body(own, `,"Repeatable":true`), "Repeatable"),
		"duplicate key":      bad(body(own, `,"tasks":2`), "tasks"),
		"invalid UTF-8":      bad("{\"customer\":\"\xff\"}", ""),
		"unpaired surrogate": bad(`{"customer":"\ud800"}`, ""),
		"deeply nested":      bad(strings.Repeat("[", 1000), ""),
		"zero byte":          bad(strings.Replace(body(own, ""), `"c"`, `"c\u0000x"`, 1), "customer"),
		"no tasks":           bad(body(own, ""), "").with(`"tasks":1`, `"tasks":0`, "tasks"),
		"gang too large":     bad(body(own, ""), "").with(`"tasks":1`, `"tasks":129`, "tasks"),
		"accelerators":       bad(body(own, ""), "").with(`"accelerators":1`, `"accelerators":-1`, "accelerators"),
		"cpu":                bad(body(own, `,"cpu":9999`), "cpu"),
		"memory":             bad(body(own, `,"memory_mib":-1`), "memory_mib"),
		"estimate":           bad(body(own, `,"estimated_seconds":-1`), "estimated_seconds"),
		"payload":            bad(body(own, `,"payload":"`+strings.Repeat("x", maxPayloadBytes+1)+`"`), "payload"),
		"deadline type":      bad(body(own, `,"deadline":"tomorrow"`), ""),
		"too large":          post("/v1/jobs", strings.Repeat(" ", maxBodyBytes+1), model.ReasonTooLarge, 413),
		"deadline passed": {
			method: "POST", path: "/v1/jobs", body: body(own, `,"deadline":"2020-01-01T00:00:00Z"`),
			code: model.ReasonDeadlineUnmet, status: 422, state: model.NotRun,
		},
		"unknown customer": {
			method: "POST", path: "/v1/jobs", body: `{"customer":"x","key":"k","tasks":1,"repeatable":true}`,
			code: model.ReasonUnknownCustomer, status: 422, // repeatable, so not_run is not certain
		},
		"owner zone unreachable": {
			method: "POST", path: "/v1/jobs", body: body(other, ""),
			code: model.ReasonOwnerUnreachable, status: 503, state: model.Unknown, retry: true,
		},
		"unknown job":       {method: "GET", path: "/v1/jobs/z-1.0123456789abcdef01234567", code: model.ReasonNotFound, status: 404},
		"malformed id":      {method: "GET", path: "/v1/jobs/z-1.0123456789abcdef0123456g", code: model.ReasonNotFound, status: 404},
		"id of other zone":  {method: "DELETE", path: "/v1/jobs/z-9.0123456789abcdef01234567", code: model.ReasonNotFound, status: 404},
		"wait":              {method: "GET", path: "/v1/jobs/z-1.0123456789abcdef01234567?wait=61s", code: model.ReasonInvalid, status: 400, field: "wait"},
		"path":              {method: "GET", path: "/v2", code: model.ReasonNotFound, status: 404},
		"method":            {method: "PATCH", path: "/v1/jobs", code: model.ReasonMethodNotAllowed, status: 405},
		"worker zone":       worker(`"z-1"`, `"z-9"`, "availability_zone"),
		"worker address":    worker(`127.0.0.1:9`, `worker:9`, "address"),
		"worker name":       worker(`"name":"w"`, `"name":""`, "name"),
		"worker cores":      worker(`"cores":8`, `"cores":0`, "cores"),
		"worker slots":      worker(`"slots":8`, `"slots":99999`, "slots"),
		"worker seq":        worker(`"seq":1`, `"seq":0`, "incarnation"),
		"worker connection": worker(`"connections":4`, `"connections":-1`, "connections"),
		"report job":        report(`z-1.0123456789abcdef01234567`, `z-1.x`, "job"),
		"report fence":      report(`"fence":7`, `"fence":0`, "fence"),
		"report worker":     report(`"worker":"w","ok"`, `"worker":"v","ok"`, "result.worker"),
		"report task":       report(`"task":0`, `"task":128`, "result.task"),
		"report output":     report(`"ok":true`, `"ok":true,"output":"`+strings.Repeat("x", maxOutputBytes+1)+`"`, "result.output"),
		"report usage":      report(`"result":{"task":0,"worker":"w","ok":true}`, `"usage":{"task":0,"cpu":-1}`, "usage.cpu"),
		"report nothing":    report(`,"result":{"task":0,"worker":"w","ok":true}`, ``, "result"),
		"report elsewhere": {
			method: "POST", path: "/v1/workers/reports", body: strings.Replace(validReport, "z-1.", "z-2.", 1),
			code: model.ReasonOwnerUnreachable, status: 503, retry: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, nil)
			f.expect(t, &c)
		})
	}
}

func (r refusal) with(old, replacement, field string) refusal {
	r.body = strings.Replace(r.body, old, replacement, 1)
	r.field = field
	return r
}

func (f *fixture) expect(t *testing.T, c *refusal) {
	t.Helper()
	is := is.New(t)
	before := refusalCount(c.code)
	status, header, p, _ := f.call(t, c.method, c.path, c.body)
	is.Equal(p.Code, c.code)
	is.Equal(status, c.status)
	is.Equal(p.State, c.state)
	is.Equal(p.Field, c.field)
	is.Equal(header.Get("Retry-After") != "", c.retry)
	is.Equal(refusalCount(c.code), before+1) // counted once
}

// Guards against refusals of the zone's group that do not reach the caller.
func TestZoneRefusals(t *testing.T) {
	f := start(t, nil)
	for n := range 3 {
		status, _, _, _ := f.call(t, "POST", "/v1/jobs", body(key("z-1", n), ""))
		is.New(t).Equal(status, http.StatusAccepted)
	}
	f.expect(t, &refusal{method: "POST", path: "/v1/jobs", body: body(key("z-1", 3), ""), code: model.ReasonQueueFull, status: 429, state: model.NotRun, retry: true})
	f.expect(t, &refusal{method: "POST", path: "/v1/jobs", body: body(key("z-1", 0), `,"cpu":1`), code: model.ReasonKeyConflict, status: 409})
	f.group.diskless = true
	f.expect(t, &refusal{method: "POST", path: "/v1/jobs", body: body(key("z-1", 4), ""), code: model.ReasonNoDurableReplica, status: 503, retry: true})
	f.group.leaderless = true
	f.expect(t, &refusal{method: "DELETE", path: "/v1/jobs/" + string(model.NewJobID("z-1", "c", key("z-1", 0))), code: model.ReasonNoLeader, status: 503, state: model.Unknown, retry: true})
}

// Guards against a response with internal fields, and against a request that is
// resent after its deadline and does not find its record.
func TestJobResponse(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	b := body(key("z-1", 0), fmt.Sprintf(`,"deadline":%q`, time.Now().Add(300*time.Millisecond).UTC().Format(time.RFC3339Nano)))
	status, _, _, first := f.call(t, "POST", "/v1/jobs", b)
	is.Equal(status, http.StatusAccepted)
	for _, internal := range []string{"seq", "fence", "ever_ran", "failed_on", "failures", "borrowed"} {
		is.True(!strings.Contains(first, `"`+internal+`"`))
	}
	time.Sleep(310 * time.Millisecond)
	status, _, _, again := f.call(t, "POST", "/v1/jobs", b)
	is.Equal(status, http.StatusOK)
	is.Equal(again, first)
	id := string(model.NewJobID("z-1", "c", key("z-1", 0)))
	status, _, _, _ = f.call(t, "DELETE", "/v1/jobs/"+id, "")
	is.Equal(status, http.StatusOK)
	_, _, _, got := f.call(t, "GET", "/v1/jobs/"+id+"?wait=5s", "")
	is.True(strings.Contains(got, `"state":"not_run"`))
}

// Guards against partial results: results of a running job must not be shown.
func TestNoResultsBeforeCompletion(t *testing.T) {
	is := is.New(t)
	j := NewJob(&model.Job{State: model.Running, Attempt: &model.Attempt{Number: 1, Results: []model.TaskResult{{Task: 0}}}})
	is.Equal(len(j.Results), 0)
	is.Equal(j.Attempt.Number, 1)
}

// Guards against announcements and reports that are acknowledged but lost.
func TestWorkerEndpoints(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	status, _, _, _ := f.call(t, "POST", "/v1/workers/announce", validWorker)
	is.Equal(status, http.StatusNoContent)
	is.Equal(f.workers[0].Name, "w")
	// A report of an attempt that has ended is acknowledged.
	status, _, _, _ = f.call(t, "POST", "/v1/workers/reports", validReport)
	is.Equal(status, http.StatusNoContent)
}
