package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of the instances. Each instance has its own loopback address.
const (
	firstPort     = 7000
	lastPort      = 7015
	controlPort   = 7100
	callerPort    = 7200
	readinessPort = 7300
)

// Settings of a deployment, which both sites have.
const (
	maxLeaseMS = 10000 // max_hold_ms
	graceS     = 6
	program    = "target/teaselpaddle-region" // of the deploy file
)

// site is an installation of the users. A case has three control instances and fewer entry instances and
// workers than the site.
type site struct {
	region  string
	zones   []string
	service string
	cpu     int // of a worker, thousandths of a core
	memMB   int // of a worker
}

var (
	jptfaSched = &site{"amman", []string{"amman-a", "amman-b", "amman-c"}, "order-desk", 64000, 262144}
	birlikDues = &site{"kz-central", []string{"astana-a", "astana-b", "karaganda-c"}, "dues-engine", 32000, 131072}
)

// instance is one process of the system.
type instance struct {
	d    *deployment
	name string
	role string
	ip   string
	zone string
	cmd  *exec.Cmd
	done chan struct{}
}

// deployment is the system under test with its stand-in workers.
type deployment struct {
	rec      *record
	site     *site
	dir      string
	network  string // first three bytes of the addresses
	control  []*instance
	entry    []*instance
	workers  []*worker
	nextHost int
}

// started is the deployment of the case.
var started *deployment

// stopAll ends all processes that the case has started.
func stopAll() {
	if started != nil {
		started.close()
	}
}

// newDeployment starts three control instances and some entry instances.
func newDeployment(rec *record, s *site, entries int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, site: s, dir: dir, network: freeNetwork(), nextHost: 100}
	for i := range 3 + entries {
		in := &instance{d: d, name: fmt.Sprintf("control-%d", i), role: "control", ip: fmt.Sprintf("%s.%d", d.network, i+1), zone: s.zones[i%len(s.zones)]}
		if i >= 3 {
			in.name, in.role = fmt.Sprintf("entry-%d", i-3), "entry"
			d.entry = append(d.entry, in)
		} else {
			d.control = append(d.control, in)
		}
	}
	started = d
	for _, in := range d.instances() {
		if err := in.start(true); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// freeNetwork returns the first three bytes of loopback addresses of which no port in use here is
// taken.
func freeNetwork() string {
	for {
		n := fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), 1+rand.IntN(250))
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", n, firstPort))
		if err != nil {
			continue
		}
		_ = ln.Close()
		return n
	}
}

func (d *deployment) instances() []*instance {
	return append(append([]*instance{}, d.control...), d.entry...)
}

func (d *deployment) close() {
	for _, in := range d.instances() {
		in.kill()
	}
	for _, w := range d.workers {
		w.crash()
	}
	_ = os.RemoveAll(d.dir)
}

// start starts the process with the command of the deploy file.
func (in *instance) start(first bool) error {
	file := filepath.Join(in.d.dir, in.name+".jsonc")
	if err := os.WriteFile(file, in.settings(first), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(in.d.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	in.cmd = exec.Command(program, in.role)
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TEASELPADDLE_CONFIG=" + file}
	in.cmd.Stdout, in.cmd.Stderr = log, log
	if err := in.cmd.Start(); err != nil {
		return err
	}
	in.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(in.cmd, in.done)
	return nil
}

// settings returns the settings file as deploy/settings.jsonc.tmpl has it.
func (in *instance) settings(first bool) []byte {
	var seeds []string
	for _, c := range in.d.control {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, controlPort))
	}
	zones := map[string]string{}
	for _, z := range in.d.site.zones {
		zones[z] = in.d.site.region
	}
	s := map[string]any{
		"name": in.name, "availability_zone": in.zone, "availability_zones": zones,
		"ip": in.ip, "ports": []int{firstPort, lastPort}, "control_seeds": seeds, "first_start": first, "data_folder": "", "disk_losses": 1,
		"caller_address": "", "readiness_address": "", "control_address": "", "max_files": 4096, "max_memory_mb": 280, "log_level": "info",
		"orders": "call", "worker_speeds": "measured", "max_lease_ms": maxLeaseMS, "grace_s": graceS, "preemption": "economical",
		"fair_share_half_life_ms": 0, "switched_off": []string{},
	}
	if in.role == "control" {
		data := filepath.Join(in.d.dir, in.name+".data")
		_ = os.MkdirAll(data, 0o700)
		s["data_folder"], s["control_address"] = data, in.controlAddress()
	} else {
		s["caller_address"], s["readiness_address"] = in.callerAddress(), fmt.Sprintf("%s:%d", in.ip, readinessPort)
	}
	out, _ := json.MarshalIndent(s, "", "  ")
	return out
}

func (in *instance) controlAddress() string { return fmt.Sprintf("%s:%d", in.ip, controlPort) }
func (in *instance) callerAddress() string  { return fmt.Sprintf("%s:%d", in.ip, callerPort) }

func (in *instance) kill() {
	if in.cmd == nil || in.cmd.Process == nil {
		return
	}
	_ = in.cmd.Process.Signal(syscall.SIGCONT)
	_ = in.cmd.Process.Kill()
	<-in.done
}

// errNotServed reports that the deployment did not begin to serve in time.
var errNotServed = errors.New("the deployment does not serve")

// waitReady waits until all entry instances are ready.
func (d *deployment) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range d.entry {
		for {
			status, _ := send("GET", fmt.Sprintf("%s:%d", e.ip, readinessPort), "/ready", nil, "", time.Second)
			if status == 200 {
				break
			}
			if time.Now().After(end) {
				return errNotServed
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// publish sends a desired state until it is acknowledged.
func (d *deployment) publish(state string) error {
	for i := range 40 {
		status, _ := send("POST", d.control[i%3].controlAddress(), "/config/put", nil, state, time.Second)
		if status == 200 {
			d.rec.printf("operator: desired state acknowledged: %s", strings.Join(strings.Fields(state), " "))
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errNotServed
}
