package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/tailscale/hujson"

	"teaselpaddle.example/teaselpaddle/internal/dispatch"
	"teaselpaddle.example/teaselpaddle/internal/httpapi"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/settings"
	"teaselpaddle.example/teaselpaddle/internal/standin"
)

// regionTimeout bounds each wait of a test; elections take about a second.
const regionTimeout = 20 * time.Second

// addresses counts the addresses that freeAddress has returned.
var addresses atomic.Uint32

// freeAddress returns a loopback address whose port is currently free. Each has an IP of its own:
// a port of 127.0.0.1 may be taken by an outgoing connection of any process before it is used.
func freeAddress(t *testing.T) string {
	pid := os.Getpid()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 100+pid>>8%100, pid%256, 1+addresses.Add(1)%250))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// deployment is a region on loopback with three control instances and one entry
// instance.
type deployment struct {
	t     *testing.T
	entry string
}

func deployRegion(t *testing.T) *deployment {
	ctx, cancel := context.WithCancel(context.Background()) // ends after the workers have left
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	all := []settings.Instance{}
	for i, name := range []string{"c1", "c2", "c3", "e1"} {
		all = append(all, settings.Instance{
			Name: name, AvailabilityZone: fmt.Sprintf("z%d", i%3), Disk: name[0] == 'c',
			ClientAddress: freeAddress(t), PeerAddress: freeAddress(t),
		})
	}
	d := &deployment{t: t, entry: all[3].ClientAddress}
	for _, in := range all {
		s := &settings.Settings{
			Name: in.Name, Extent: settings.ExtentRegion, FirstStart: true, LeaseSeconds: 5, MaxRequests: 64, Instances: all,
		}
		if in.Disk {
			s.DataFolder = t.TempDir()
		}
		wg.Go(func() {
			if err := Run(ctx, s, logr.Discard()); err != nil {
				t.Errorf("%s: %v", s.Name, err)
			}
		})
	}
	d.waitFor("readiness", func() bool { return d.call("GET", "/readyz", "", nil, nil) == http.StatusOK })
	for i := range 2 {
		o := &standin.Options{
			Name: fmt.Sprintf("w%d", i), Address: freeAddress(t), Zone: "z0", Rack: "r1", Entries: []string{d.entry}, Service: "order-desk",
			Accelerators: 8, Cores: 64, MemoryMiB: 1 << 18, Connections: 64, AnnouncePeriod: 200 * time.Millisecond,
		}
		wctx, leave := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := standin.Run(wctx, o); err != nil {
				t.Errorf("%s: %v", o.Name, err)
			}
		}()
		t.Cleanup(func() { leave(); <-done })
	}
	return d
}

func (d *deployment) waitFor(what string, f func() bool) {
	d.t.Helper()
	for end := time.Now().Add(regionTimeout); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("%s: not within %s", what, regionTimeout)
		}
	}
}

// call sends a request to the entry instance and returns the status, or 0.
func (d *deployment) call(method, path, key string, body []byte, out any) int {
	req, err := http.NewRequestWithContext(d.t.Context(), method, "http://"+d.entry+path, bytes.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(httpapi.HeaderAPIKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil {
		if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
			d.t.Errorf("%s %s: %v", method, path, err)
		}
	}
	return resp.StatusCode
}

func example(t *testing.T, name string) []byte {
	raw, err := os.ReadFile(filepath.Join("..", "..", "examples", "region", name))
	if err != nil {
		t.Fatal(err)
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		t.Fatal(err)
	}
	return std
}

// Guards against a region that needs an adapter between the product's own programs:
// jobs of steps and gangs must be accepted through an instance without a disk, run
// on workers that use the product's own protocol, and be reported as completed.
// Cancelled jobs must end, and refusals must carry their reason.
func TestRegionServesItsOwnInterface(t *testing.T) {
	is := is.New(t)
	d := deployRegion(t)
	const key = "water-utility-key-1"
	job := func(id string) string { return "/v1/queues/die-check/jobs/" + id }

	var p httpapi.Problem
	is.Equal(d.call("PUT", job("early"), key, example(t, "job.jsonc"), &p), http.StatusServiceUnavailable)
	is.Equal(p.Code, model.ReasonNoConfiguration)
	is.Equal(d.call("PUT", "/v1/config", "", example(t, "config.jsonc"), nil), http.StatusOK)
	var workers []httpapi.RegionWorker
	d.waitFor("workers", func() bool {
		return d.call("GET", "/v1/workers", "", nil, &workers) == http.StatusOK && len(workers) == 2
	})

	is.Equal(d.call("PUT", job("one"), key, example(t, "job.jsonc"), nil), http.StatusOK)
	is.Equal(d.call("PUT", job("one"), key, example(t, "job.jsonc"), nil), http.StatusOK) // resent: the same job
	var j httpapi.BatchJob
	d.waitFor("completion", func() bool { return d.call("GET", job("one"), key, nil, &j) == http.StatusOK && j.State == "completed" })
	is.Equal(j.Units.Units, 8)
	is.Equal(j.Units.Done, 8)

	endless := []byte(`{"payload": "never-end", "steps": [{"count": 2, "need": {"accelerators": 1}, "lasting": true}]}`)
	is.Equal(d.call("PUT", job("two"), key, endless, nil), http.StatusOK)
	d.waitFor("start", func() bool { return d.call("GET", job("two"), key, nil, &j) == http.StatusOK && j.Units.Active == 2 })
	holds := dispatch.CustomerView{Name: "water-utility", Guaranteed: 16, InUse: 2}
	d.waitFor("view of customers", func() bool {
		var list []dispatch.CustomerView
		return d.call("GET", "/v1/customers", "", nil, &list) == http.StatusOK && slices.ContainsFunc(list, func(c dispatch.CustomerView) bool {
			holds.Share = c.Share
			return c == holds && c.Share > 0
		})
	})
	is.Equal(d.call("DELETE", job("two"), key, nil, &j), http.StatusOK)
	is.Equal(j.State, "cancelled")
	d.waitFor("stop", func() bool { return d.call("GET", job("two"), key, nil, &j) == http.StatusOK && j.Units.Active == 0 })

	for _, c := range []struct {
		method, path, key, body string
		status                  int
		code                    model.Reason
	}{
		{"PUT", job("x"), "none", `{"steps": [{"count": 1, "need": {}}]}`, http.StatusUnauthorized, model.ReasonUnknownKey},
		{"PUT", job("x"), key, `{"steps": []}`, http.StatusBadRequest, model.ReasonInvalid},
		{"PUT", job("x"), key, `{"step": []}`, http.StatusBadRequest, model.ReasonInvalid},
		{"PUT", job("one"), key, `{"payload": "other", "steps": [{"count": 1, "need": {}}]}`, http.StatusConflict, model.ReasonKeyConflict},
		{"GET", job("x"), key, "", http.StatusNotFound, model.ReasonNotFound},
		{"GET", "/v1/queues/none", key, "", http.StatusNotFound, model.ReasonNotFound},
		{"PUT", "/v1/config", "", `{"version": 1, "services": []}`, http.StatusConflict, model.ReasonKeyConflict},
		{"PUT", "/v1/config", "", `{"version": 9, "queues": [{"name": "q", "service": "none"}]}`, http.StatusBadRequest, model.ReasonInvalid},
		{"POST", "/v1/workers/announce", "", `{"name": "w"}`, http.StatusBadRequest, model.ReasonInvalid},
		{"PUT", "/v1/zones/z9/cordon", "", "", http.StatusNotFound, model.ReasonUnknownZone},
		{"DELETE", "/v1/zones/z9/cordon", "", "", http.StatusNotFound, model.ReasonUnknownZone},
		{"PUT", "/v1/zones/z1/cordon", "", "{}", http.StatusBadRequest, model.ReasonInvalid},
		{"POST", "/v1/zones/z1/cordon", "", "", http.StatusMethodNotAllowed, model.ReasonMethodNotAllowed},
	} {
		p = httpapi.Problem{}
		is.Equal(d.call(c.method, c.path, c.key, []byte(c.body), &p), c.status) // status of a refusal
		is.Equal(p.Code, c.code)
	}
	var pending httpapi.Pending
	is.Equal(d.call("GET", "/v1/queues/die-check", key, nil, &pending), http.StatusOK)
	is.Equal(pending.Pending, 0)
}

// Guards against a region whose operators cannot cordon a zone through an instance without
// a disk: no unit may start there until the zone is uncordoned. A zone without workers must
// be known from the settings.
func TestRegionCordonsZone(t *testing.T) {
	is := is.New(t)
	d := deployRegion(t)
	const key = "water-utility-key-1"
	job := func(id string) string { return "/v1/queues/die-check/jobs/" + id }
	is.Equal(d.call("PUT", "/v1/config", "", example(t, "config.jsonc"), nil), http.StatusOK)
	var zones []httpapi.RegionZone
	d.waitFor("workers", func() bool {
		return d.call("GET", "/v1/zones", "", nil, &zones) == http.StatusOK && len(zones) == 3 && zones[0].Workers == 2
	})
	is.Equal(zones[1], httpapi.RegionZone{Name: "z1"})

	var z httpapi.RegionZone
	for range 2 { // the second order changes nothing
		is.Equal(d.call("PUT", "/v1/zones/z0/cordon", "", nil, &z), http.StatusOK)
		is.True(z.Cordoned && z.Generation == 1 && z.Workers == 2 && z.Since != nil)
		is.Equal(z.By, "127.0.0.1 through e1")
	}
	is.Equal(d.call("PUT", "/v1/zones/z1/cordon", "", nil, nil), http.StatusOK)
	is.Equal(d.call("PUT", job("one"), key, example(t, "job.jsonc"), nil), http.StatusOK)
	time.Sleep(time.Second)
	var j httpapi.BatchJob
	is.Equal(d.call("GET", job("one"), key, nil, &j), http.StatusOK)
	is.Equal(j.State, "queued")
	z = httpapi.RegionZone{}
	is.Equal(d.call("DELETE", "/v1/zones/z0/cordon", "", nil, &z), http.StatusOK)
	is.True(!z.Cordoned)
	d.waitFor("completion", func() bool { return d.call("GET", job("one"), key, nil, &j) == http.StatusOK && j.State == "completed" })
}
