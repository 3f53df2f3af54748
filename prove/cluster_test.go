//go:build prove

package prove

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/faultproxy"
	"teaselpaddle.example/teaselpaddle/internal/settings"
	"teaselpaddle.example/teaselpaddle/internal/standin"
)

// clusterOptions set the size and the kind of a cluster.
type clusterOptions struct {
	workersPerRack int     // default defaultWorkersPerRack
	leaseSeconds   float64 // default defaultLeaseSeconds
	// region selects the extent region: each zone has one control instance, one
	// entry instance and workers that run units.
	region bool
}

// Default size of a cluster; the configuration in testdata matches it.
const (
	racksPerZone            = 2
	defaultWorkersPerRack   = 2
	defaultLeaseSeconds     = 4 // longer than an election, and short because proofs wait for leases to expire
	defaultInstancesPerZone = 3
	readyTimeout            = 20 * time.Second
)

var zones = []string{"amman-1", "amman-2", "amman-3"}

var customers = []string{"ministry-of-works", "water-utility", "workshop-irbid", "workshop-zarqa"}

// daemon is one instance and its process.
type daemon struct {
	process
	settings.Instance
	dataFolder string // "" without a disk
}

// worker is one stand-in worker and its process.
type worker struct {
	process
	zone        string
	rack        string
	address     string
	journalPath string
}

// cluster is a deployment on loopback. Connections between instances pass through
// proxies, one for each ordered pair of dialing and accepting instance.
type cluster struct {
	run        *run
	options    clusterOptions
	dir        string
	daemons    []*daemon
	workers    []*worker
	proxies    map[[2]string]*faultproxy.Proxy
	reserved   map[string]net.Listener // listeners that hold addresses until their processes start
	firstStart bool                    // true until every daemon has been ready once
}

func newCluster(r *run, options clusterOptions) *cluster {
	if options.workersPerRack == 0 {
		options.workersPerRack = defaultWorkersPerRack
	}
	if options.leaseSeconds == 0 {
		options.leaseSeconds = defaultLeaseSeconds
	}
	dir, err := os.MkdirTemp("", "teaselpaddle-prove.")
	if err != nil {
		panic(err)
	}
	return &cluster{run: r, options: options, dir: dir, proxies: map[[2]string]*faultproxy.Proxy{}, reserved: map[string]net.Listener{}, firstStart: true}
}

// configuredInstancesPerZone returns the value of PROVE_PER_ZONE, or the default.
func configuredInstancesPerZone() int {
	if n, err := strconv.Atoi(os.Getenv("PROVE_PER_ZONE")); err == nil && n > 0 {
		return n
	}
	return defaultInstancesPerZone
}

// instancesPerZone returns the number of instances in each zone.
func (c *cluster) instancesPerZone() int {
	if c.options.region {
		return 2
	}
	return configuredInstancesPerZone()
}

func (c *cluster) path(parts ...string) string {
	return filepath.Join(append([]string{c.dir}, parts...)...)
}

// reserveAddress returns a loopback address whose port is below the system's
// ephemeral range. A listener keeps it reserved until releaseAddress is called,
// right before its process starts.
func (c *cluster) reserveAddress() string {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000))
		if ln, err := net.Listen("tcp", addr); err == nil {
			c.reserved[addr] = ln
			return addr
		}
	}
	c.run.fatalf("found no free port")
	return ""
}

func (c *cluster) releaseAddress(addr string) {
	if ln := c.reserved[addr]; ln != nil {
		_ = ln.Close()
		delete(c.reserved, addr)
	}
}

// start starts all daemons and workers, waits until they are ready and publishes a
// configuration: the one in testdata, or the example for the extent region.
func (c *cluster) start() {
	for _, d := range []string{"journals", "checkpoints"} {
		if err := os.MkdirAll(c.path(d), 0o755); err != nil {
			c.run.fatalf("%v", err)
		}
	}
	c.makeDaemons()
	for _, d := range c.daemons {
		c.startDaemon(d)
	}
	for _, d := range c.daemons {
		c.waitReady(d)
	}
	c.firstStart = false
	for _, d := range c.daemons {
		c.writeSettings(d)
	}
	c.makeWorkers()
	for _, w := range c.workers {
		c.startWorker(w)
	}
	if c.options.region {
		c.publishRegionConfig()
		return
	}
	want := racksPerZone * c.options.workersPerRack
	for _, d := range c.daemons {
		c.run.waitUntil("workers known to "+d.Name, readyTimeout, func() bool { return c.knownWorkers(d) >= want })
	}
	c.publish(c.daemons[0], "testdata")
}

// makeDaemons defines the instances, creates the proxies between them and writes
// their settings. It starts no process.
func (c *cluster) makeDaemons() {
	for _, z := range zones {
		for i := range c.instancesPerZone() {
			d := &daemon{Instance: settings.Instance{
				Name: fmt.Sprintf("%s-%c", z, 'a'+i), AvailabilityZone: z, Disk: i == 0,
				ClientAddress: c.reserveAddress(), PeerAddress: c.reserveAddress(),
			}}
			if d.Disk {
				d.dataFolder = c.path("data", d.Name)
			}
			d.process = process{
				name: d.Name, logPath: c.path(d.Name + ".log"),
				args: []string{programPath("teaselpaddled"), "--settings", c.path(d.Name + ".jsonc")},
			}
			c.daemons = append(c.daemons, d)
		}
	}
	for _, from := range c.daemons {
		for _, to := range c.daemons {
			if from != to {
				p, err := faultproxy.New(to.PeerAddress)
				if err != nil {
					c.run.fatalf("proxy: %v", err)
				}
				c.proxies[[2]string{from.Name, to.Name}] = p
			}
		}
	}
	for _, d := range c.daemons {
		c.writeSettings(d)
	}
}

// writeSettings writes the settings file of one instance, in which the peer
// addresses of the others are those of the proxies.
func (c *cluster) writeSettings(self *daemon) {
	s := &settings.Settings{Name: self.Name, DataFolder: self.dataFolder, LogLevel: "debug", LeaseSeconds: c.options.leaseSeconds}
	if c.options.region {
		s.Extent, s.FirstStart = settings.ExtentRegion, c.firstStart
	}
	for _, d := range c.daemons {
		in := d.Instance
		if d != self {
			in.PeerAddress = c.proxies[[2]string{self.Name, d.Name}].Addr()
		}
		s.Instances = append(s.Instances, in)
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err == nil {
		err = os.WriteFile(c.path(self.Name+".jsonc"), raw, 0o644)
	}
	if err != nil {
		c.run.fatalf("settings: %v", err)
	}
}

func (c *cluster) startDaemon(d *daemon) {
	c.releaseAddress(d.ClientAddress)
	c.releaseAddress(d.PeerAddress)
	if err := d.start(); err != nil {
		c.run.fatalf("%s: %v", d.Name, err)
	}
}

func (c *cluster) waitReady(d *daemon) {
	c.run.waitUntil("readiness of "+d.Name, readyTimeout, func() bool {
		if !d.running() {
			c.run.fatalf("%s ended with code %d", d.Name, d.exitCode)
		}
		return c.ready(d)
	})
}

var httpClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (c *cluster) ready(d *daemon) bool {
	status, _ := get(d, "/readyz")
	return status == http.StatusOK
}

// get requests a path and returns the status and the body, or 0 and nil without a
// complete answer.
func get(d *daemon, path string) (int, []byte) {
	resp, err := httpClient.Get("http://" + d.ClientAddress + path)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// knownWorkers returns how many workers of its own zone an instance lists.
func (c *cluster) knownWorkers(d *daemon) int {
	_, raw := get(d, "/v1/workers")
	n := 0
	for _, w := range c.workers {
		if w.zone == d.AvailabilityZone && bytes.Contains(raw, []byte(strconv.Quote(w.name))) {
			n++
		}
	}
	return n
}

// makeWorkers defines the workers of all zones. It starts no process.
func (c *cluster) makeWorkers() {
	for _, z := range zones {
		for rack := range racksPerZone {
			for i := range c.options.workersPerRack {
				w := &worker{zone: z, rack: fmt.Sprintf("%s-r%d", z, rack+1), address: c.reserveAddress()}
				w.name = fmt.Sprintf("%s-w%d", w.rack, i+1)
				w.journalPath = c.path("journals", w.name+".journal")
				w.logPath = c.path(w.name + ".log")
				w.args = []string{
					programPath("standin-worker"), "--name", w.name, "--address", w.address, "--zone", z, "--rack", w.rack,
					"--journal", w.journalPath, "--checkpoints", c.path("checkpoints"), "--entries",
				}
				// A worker is given the instances of its own zone only, so that it has no
				// path around a zone cut.
				for _, d := range c.daemonsIn(z) {
					w.args = append(w.args, d.ClientAddress)
				}
				if c.options.region {
					w.args = append(w.args, "--service", "order-desk")
				}
				c.workers = append(c.workers, w)
			}
		}
	}
}

func (c *cluster) startWorker(w *worker) {
	c.releaseAddress(w.address)
	if err := w.start(); err != nil {
		c.run.fatalf("%s: %v", w.name, err)
	}
}

// publish publishes the configuration files in a folder with the command-line tool.
func (c *cluster) publish(d *daemon, folder string) {
	cmd := exec.CommandContext(c.run.ctx, programPath("teaselpaddle"), "--server", d.ClientAddress, "publish", "--yes", folder)
	if out, err := cmd.CombinedOutput(); err != nil {
		c.run.fatalf("publish: %v: %s", err, out)
	}
}

func (c *cluster) daemonsIn(zone string) []*daemon {
	var out []*daemon
	for _, d := range c.daemons {
		if d.AvailabilityZone == zone {
			out = append(out, d)
		}
	}
	return out
}

func (c *cluster) workersIn(zone string) []*worker {
	var out []*worker
	for _, w := range c.workers {
		if w.zone == zone {
			out = append(out, w)
		}
	}
	return out
}

func (c *cluster) entryAddresses() []string {
	var out []string
	for _, d := range c.daemons {
		out = append(out, d.ClientAddress)
	}
	return out
}

// leader returns the running instance whose log claims the leadership of the zone
// in the highest term, or nil. The logs only choose the target of a fault; no
// verdict depends on them.
func (c *cluster) leader(zone string) *daemon {
	var best *daemon
	bestTerm := -1
	for _, d := range c.daemonsIn(zone) {
		if !d.running() {
			continue
		}
		if term := currentLeaderTerm(d.logPath); term > bestTerm {
			best, bestTerm = d, term
		}
	}
	return best
}

// currentLeaderTerm returns the term in which the instance with this log leads its
// zone according to the log, or -1.
func currentLeaderTerm(logPath string) int {
	raw, err := os.ReadFile(logPath)
	if err != nil {
		return -1
	}
	term := -1
	for line := range strings.Lines(string(raw)) {
		var e struct {
			Msg  string `json:"msg"`
			Term int    `json:"term"`
		}
		if !strings.Contains(line, "lead") || json.Unmarshal([]byte(line), &e) != nil {
			continue
		}
		switch e.Msg {
		case "leading the zone":
			term = e.Term
		case "no longer leading the zone", "serving":
			term = -1
		}
	}
	return term
}

// waitForLeader waits until the zone has a leader other than except and returns it.
func (c *cluster) waitForLeader(zone string, except *daemon) *daemon {
	var found *daemon
	c.run.waitUntil("a leader of "+zone, readyTimeout, func() bool {
		found = c.leader(zone)
		return found != nil && found != except
	})
	return found
}

// follower returns a random running instance of the zone that does not lead.
func (c *cluster) follower(zone string) *daemon {
	current := c.leader(zone)
	list := c.daemonsIn(zone)
	for _, i := range c.run.rng.Perm(len(list)) {
		if list[i] != current && list[i].running() {
			return list[i]
		}
	}
	c.run.fatalf("zone %s has no follower", zone)
	return nil
}

// setFaults replaces the injected faults of the workers that are running.
func (c *cluster) setFaults(list []*worker, f standin.Faults) {
	body, _ := json.Marshal(&f)
	for _, w := range list {
		if !w.running() {
			continue
		}
		resp, err := httpClient.Post("http://"+w.address+"/standin/faults", "application/json", bytes.NewReader(body))
		if err != nil {
			c.run.fatalf("faults of %s: %v", w.name, err)
		}
		_ = resp.Body.Close()
	}
}

// cut silently drops the data that one instance sends to another, on connections
// dialed by either side.
func (c *cluster) cut(from, to *daemon) {
	c.proxies[[2]string{from.Name, to.Name}].BlackholeAll(faultproxy.ToTarget)
	c.proxies[[2]string{to.Name, from.Name}].BlackholeAll(faultproxy.FromTarget)
}

// cutZone drops all traffic between a zone and the others, in both directions.
func (c *cluster) cutZone(zone string) {
	for _, in := range c.daemonsIn(zone) {
		for _, out := range c.daemons {
			if out.AvailabilityZone != zone {
				c.cut(in, out)
				c.cut(out, in)
			}
		}
	}
}

// heal ends all cuts.
func (c *cluster) heal() {
	for _, p := range c.proxies {
		p.Heal()
	}
}

// restart kills an instance if it still runs, starts it again and waits until it is
// ready.
func (c *cluster) restart(d *daemon) {
	d.kill()
	c.startDaemon(d)
	c.waitReady(d)
}

// close kills all processes, closes the proxies and releases reserved addresses.
func (c *cluster) close() {
	for _, w := range c.workers {
		w.kill()
	}
	for _, d := range c.daemons {
		d.kill()
	}
	for _, p := range c.proxies {
		p.Close()
	}
	for addr := range c.reserved {
		c.releaseAddress(addr)
	}
}
