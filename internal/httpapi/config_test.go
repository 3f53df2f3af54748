package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/codec"
	"teaselpaddle.example/teaselpaddle/internal/config"
	"teaselpaddle.example/teaselpaddle/internal/jobs"
	"teaselpaddle.example/teaselpaddle/internal/link"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replica"
	"teaselpaddle.example/teaselpaddle/internal/routing"
	"teaselpaddle.example/teaselpaddle/internal/view"
)

// fakePeers simulates zone z2, which answers, and zone z3, which does not.
type fakePeers struct{}

func (fakePeers) Call(_ context.Context, to string, _ link.Kind, body []byte) ([]byte, error) {
	if to == "c" {
		return nil, &link.NotSentError{To: to, Cause: context.DeadlineExceeded}
	}
	var req routing.Request
	if err := codec.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	if req.List != nil {
		return codec.Marshal(&routing.Response{Jobs: []*model.Job{{ID: "z2.0", State: model.Queued}}})
	}
	return codec.Marshal(&routing.Response{View: &view.Zone{AvailabilityZone: "z2", Instance: to}})
}

func (fakePeers) Send(string, link.Kind, []byte) {}
func (fakePeers) Handle(link.Kind, link.Handler) {}

// newAPI returns the HTTP handler of instance a in zone z1, which is the only
// configuration voter, and the jobs state machine of its zone.
func newAPI(t *testing.T) (http.Handler, *jobs.Machine) {
	t.Helper()
	m := jobs.New()
	cm := config.NewMachine(config.FitSums)
	r := &routing.Router{
		Self: "a", Zone: "z1", Zones: []string{"z1", "z2", "z3"},
		InZone: func(z string) []string { return map[string][]string{"z1": {"a"}, "z2": {"b"}, "z3": {"c"}}[z] },
		Peers:  fakePeers{}, Group: replica.NewLocal("a", m), Machine: m, Log: logr.Discard(),
		Config: routing.ConfigGroup{Voters: []string{"a"}, Group: replica.NewLocal("a", cm), Machine: cm},
	}
	r.View = func(part routing.Part) *view.Zone {
		z := &view.Zone{AvailabilityZone: "z1", Instance: "a"}
		if part == routing.PartStatus {
			z.Status = view.NewStatus(r.Group.Status(), m.Config(), time.Now(), time.Now())
		}
		return z
	}
	return (&API{Router: r, Log: logr.Discard(), Ready: func() bool { return true }}).Handler(), m
}

func call(t *testing.T, h http.Handler, method, path, body string, v any) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if err := json.Unmarshal(w.Body.Bytes(), v); err != nil {
		t.Fatalf("%s %s: %v: %s", method, path, err, w.Body)
	}
	return w
}

const publishBody = `{"expected_version":%d,"publish_key":%q,"publisher":"op","changed":[{"service":"s","customers":[{"name":"c","weight":%d,"queue_limit":1}],"policy":{"checkpoint_bound_seconds":1,"fragmentation_weight":0,"max_failures":1,"retention_seconds":60},"racks":[]}]}`

// Guards against changes of the statuses and codes of the operators' interface.
func TestConfigEndpoints(t *testing.T) {
	is := is.New(t)
	h, _ := newAPI(t)
	var problem Problem
	is.Equal(call(t, h, "GET", "/v1/config?source=accepted", "", &problem).Code, http.StatusServiceUnavailable)
	is.Equal(problem.Code, model.ReasonNoConfiguration)
	var records []config.Record
	call(t, h, "GET", "/v1/config/history", "", &records)
	is.Equal(records, []config.Record{})

	var got Published
	is.Equal(call(t, h, "PUT", "/v1/config", fmt.Sprintf(publishBody, 0, "k", 1), &got).Code, http.StatusOK)
	is.Equal(got.Version, uint64(1))
	is.Equal(got.Again, false)
	call(t, h, "PUT", "/v1/config", fmt.Sprintf(publishBody, 0, "k", 1), &got)
	is.True(got.Again)

	refusals := []struct {
		method, path, body string
		status             int
		code               model.Reason
	}{
		{"PUT", "/v1/config", fmt.Sprintf(publishBody, 0, "l", 1), http.StatusConflict, model.ReasonVersionConflict},
		{"PUT", "/v1/config", fmt.Sprintf(publishBody, 0, "k", 2), http.StatusConflict, model.ReasonPublishKeyReuse},
		{"PUT", "/v1/config", fmt.Sprintf(publishBody, 1, "m", 0), http.StatusBadRequest, model.ReasonInvalid},
		{"PUT", "/v1/config", `{"version":1,"services":[]}`, http.StatusBadRequest, model.ReasonInvalid},
		{"GET", "/v1/config?source=x", "", http.StatusBadRequest, model.ReasonInvalid},
		{"GET", "/v1/config/history?limit=0", "", http.StatusBadRequest, model.ReasonInvalid},
		{"GET", "/v1/config", "", http.StatusServiceUnavailable, model.ReasonNoConfiguration}, // not adopted in this zone
	}
	for _, c := range refusals {
		is.Equal(call(t, h, c.method, c.path, c.body, &problem).Code, c.status)
		is.Equal(problem.Code, c.code)
	}
	var cfg model.Configuration
	call(t, h, "GET", "/v1/config?source=accepted", "", &cfg)
	is.Equal(cfg.Version, uint64(1))
}

// Guards against a response that lacks a zone without saying so.
func TestPartialResponses(t *testing.T) {
	for _, path := range []string{"/v1/workers", "/v1/customers", "/v1/fragmentation", "/v1/status"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			h, _ := newAPI(t)
			var views ZoneViews
			is.Equal(call(t, h, "GET", path, "", &views).Code, http.StatusOK)
			is.True(views.Partial)
			is.Equal(len(views.Zones), 3)
			is.Equal(views.Zones[1].Instance, "b")
			is.Equal(views.Zones[2].Error.Code, model.ReasonOwnerUnreachable)
		})
	}
	is := is.New(t)
	h, m := newAPI(t)
	cmd := &jobs.Command{Kind: jobs.KindAdoptConfig, Config: &model.ConfigChange{To: 7}}
	entry, err := cmd.Encode()
	is.NoErr(err)
	m.Apply(1, entry)
	var list JobList
	is.Equal(call(t, h, "GET", "/v1/jobs", "", &list).Code, http.StatusOK)
	is.True(list.Partial)
	is.Equal(len(list.Jobs), 1)
	is.Equal(list.Unreachable[0].AvailabilityZone, "z3")
	var views ZoneViews
	call(t, h, "GET", "/v1/status", "", &views)
	is.Equal(views.Zones[0].Status.Config.Version, uint64(7))
	is.True(views.Zones[0].Status.Config.UnconfirmedSeconds != nil)
}
