//go:build overload

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tailscale/hujson"

	"teaselpaddle.example/teaselpaddle/internal/crowd"
)

// Bounds of the tests: the memory of a daemon (docs/CAPACITY.md), and the limit of descriptors
// that its process is started with.
const (
	overloadMemoryMB = 256
	overloadMaxFiles = 300
)

const (
	clients      = 400
	rounds       = 2
	bodyBytes    = 1 << 20 // the largest that the daemon accepts
	readyTimeout = 30 * time.Second
)

// process is a daemon that runs as a process of its own.
type process struct {
	t        *testing.T
	ip       string
	cmd      *exec.Cmd
	exit     chan error
	ordinary request
}

// request is a request and the status that it must be answered with.
type request struct {
	method, path, body string
	status             int
}

const (
	clientPort = "7400"
	peerPort   = "7401"
)

// startDaemon starts a daemon that is the whole deployment.
func startDaemon(t *testing.T, extent string) *process {
	is := is.New(t)
	program, err := filepath.Abs("../../bin/teaselpaddled")
	is.NoErr(err)
	d := &process{t: t, ip: fmt.Sprintf("127.%d.67.1", 1+os.Getpid()%250), exit: make(chan error, 1)}
	dir := t.TempDir()
	firstStart := ""
	if extent == "region" {
		firstStart = `"first_start": true,`
	}
	file := filepath.Join(dir, "settings.jsonc")
	is.NoErr(os.WriteFile(file, fmt.Appendf(nil, `{"name": "a", "extent": %q, %s "data_folder": %q,
 "instances": [{"name": "a", "availability_zone": "z", "disk": true, "client_address": "%s:%s", "peer_address": "%s:%s"}]}`,
		extent, firstStart, dir, d.ip, clientPort, d.ip, peerPort), 0o600))
	log, err := os.Create(filepath.Join(dir, "log"))
	is.NoErr(err)
	d.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q --settings %q", overloadMaxFiles, program, file))
	d.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	d.cmd.Stdout, d.cmd.Stderr = log, log
	is.NoErr(d.cmd.Start())
	go func() { d.exit <- d.cmd.Wait() }()
	t.Cleanup(func() {
		_ = d.cmd.Process.Signal(syscall.SIGKILL)
		<-d.exit
		_ = log.Close()
	})
	is.True(d.answered(request{http.MethodGet, "/readyz", "", http.StatusOK}))
	d.ordinary = request{http.MethodGet, "/v1/jobs", "", http.StatusOK}
	if extent == "region" {
		is.True(d.answered(request{http.MethodPut, "/v1/config", example(t, "config.jsonc"), http.StatusOK}))
		d.ordinary = request{http.MethodPut, "/v1/queues/die-check/jobs/ordinary", example(t, "job.jsonc"), http.StatusOK}
	}
	d.checkAnswers()
	return d
}

func example(t *testing.T, name string) string {
	raw, err := os.ReadFile(filepath.Join("..", "..", "examples", "region", name))
	if err != nil {
		t.Fatal(err)
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		t.Fatal(err)
	}
	return string(std)
}

// answered sends a request until it is answered with its status.
func (d *process) answered(r request) bool {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := "no answer"
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		req, err := http.NewRequest(r.method, "http://"+net.JoinHostPort(d.ip, clientPort)+r.path, strings.NewReader(r.body))
		if err != nil {
			d.t.Fatal(err)
		}
		req.Header.Set("X-Api-Key", "water-utility-key-1")
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == r.status {
			return true
		}
		last = fmt.Sprintf("%s %s", resp.Status, answer)
	}
	d.t.Logf("%s %s: %s", r.method, r.path, last)
	return false
}

// checkAnswers sends an ordinary request, and one for the metrics.
func (d *process) checkAnswers() {
	is := is.New(d.t)
	is.True(d.answered(d.ordinary))
	is.True(d.answered(request{http.MethodGet, "/metrics", "", http.StatusOK}))
}

// run runs crowds of the given kinds, one after the other. The process must live and stay within
// its memory and its descriptors, and ordinary requests must be answered while the crowd holds
// its connections and after it has gone.
func (d *process) run(port, head string, kinds ...crowd.Kind) {
	is := is.New(d.t)
	address := net.JoinHostPort(d.ip, port)
	targets := []crowd.Target{
		{Address: address, Head: head, Body: []byte(`{"payload": "` + strings.Repeat("x", bodyBytes-15) + `"}`)},
		{Address: address, Head: head, Body: emptySteps()},
	}
	stop, usage := make(chan struct{}), make(chan crowd.Usage)
	go func() { usage <- crowd.Watch(d.cmd.Process.Pid, d.ip, stop) }()
	for _, kind := range kinds {
		c := crowd.Start(kind, clients, rounds, targets...)
		c.WaitSettled()
		d.t.Logf("%s: %d connections open", kind.Name, c.Open())
		d.checkAnswers()
		c.Stop()
		d.checkAnswers()
	}
	close(stop)
	most := <-usage
	d.t.Logf("highest use: %d MB, %d descriptors", most.MemoryBytes>>20, most.Files)
	select {
	case err := <-d.exit:
		d.exit <- err
		d.t.Errorf("the process ended: %v", err)
	default:
	}
	is.True(most.Files <= overloadMaxFiles)
	if most.MemoryBytes > overloadMemoryMB<<20 {
		d.t.Errorf("the process used %d MB; its machine has %d", most.MemoryBytes>>20, overloadMemoryMB)
	}
}

// emptySteps returns a job with as many steps as the daemon decodes, padded to the largest size
// of a body. The steps occupy many times their size when they are decoded.
func emptySteps() []byte {
	const steps = 66000 // 3 tokens each, and the daemon decodes 200,000
	out := bytes.NewBufferString(`{"steps": [`)
	out.WriteString(strings.Repeat("{},", steps-1) + "{}]}")
	return append(out.Bytes(), bytes.Repeat([]byte(" "), bodyBytes-out.Len())...)
}

const (
	jobHead  = "PUT /v1/queues/die-check/jobs/crowd HTTP/1.1\r\nHost: host\r\nX-Api-Key: water-utility-key-1\r\n"
	zoneHead = "POST /v1/jobs HTTP/1.1\r\nHost: host\r\n"
	peerHead = "GET /link HTTP/1.1\r\nHost: host\r\n"
)

// Each test guards against clients of one kind that end the process, take more memory or
// descriptors than its machine has, or keep ordinary callers from an answer.

func TestOverloadDaemonWholeBodies(t *testing.T) {
	startDaemon(t, "region").run(clientPort, jobHead, crowd.WholeBodies)
}

func TestOverloadDaemonPartialBodies(t *testing.T) {
	startDaemon(t, "region").run(clientPort, jobHead, crowd.PartialBodies)
}

func TestOverloadDaemonLargeChunks(t *testing.T) {
	startDaemon(t, "region").run(clientPort, jobHead, crowd.LargeChunks)
}

func TestOverloadDaemonTinyChunks(t *testing.T) {
	startDaemon(t, "region").run(clientPort, jobHead, crowd.TinyChunks)
}

func TestOverloadDaemonOversizedHeads(t *testing.T) {
	startDaemon(t, "region").run(clientPort, jobHead, crowd.OversizedHeads)
}

func TestOverloadDaemonEndlessHeads(t *testing.T) {
	startDaemon(t, "region").run(clientPort, jobHead, crowd.EndlessHeads)
}

func TestOverloadDaemonLeadingLines(t *testing.T) {
	startDaemon(t, "region").run(clientPort, jobHead, crowd.LeadingLines)
}

func TestOverloadDaemonEmptyLines(t *testing.T) {
	startDaemon(t, "region").run(clientPort, jobHead, crowd.EmptyLines)
}

// allKinds are the kinds of crowds at an address that is tested with all of them in one run.
var allKinds = []crowd.Kind{
	crowd.WholeBodies, crowd.PartialBodies, crowd.LargeChunks, crowd.TinyChunks, crowd.OversizedHeads, crowd.EndlessHeads, crowd.LeadingLines, crowd.EmptyLines,
}

func TestOverloadZoneDaemon(t *testing.T) {
	startDaemon(t, "zone").run(clientPort, zoneHead, allKinds...)
}

func TestOverloadDaemonPeers(t *testing.T) {
	startDaemon(t, "region").run(peerPort, peerHead, allKinds...)
}
