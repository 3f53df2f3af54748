package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the instances and workers. Each of them has a loopback address of its own.
const (
	firstPort     = 7000
	lastPort      = 7015
	controlPort   = 7100
	callerPort    = 7200
	readinessPort = 7300
	workerPort    = 8000
)

// Figures of the small deployments' sheets.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 10 * time.Second
	graceSeconds      = 6
)

const (
	controlCount = 3
	entryCount   = 2
	settingsPath = "deploy/settings.jsonc.tmpl"
	deployPath   = "deploy/system.toml"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// deployment is the system under test: its processes and the addresses of the stand-ins.
type deployment struct {
	rec       *record
	repo      string
	folder    string
	network   int // third part of 127.x.77.y and 127.x.88.y
	processes []*process
	registry  *registry
	workers   []*worker
}

// restartDelay is the time after which the platform restarts a process that has ended.
const restartDelay = time.Second

// process is one instance, started with the command of the deploy file. Like the platform, it
// restarts a program that ends.
type process struct {
	deployment *deployment
	index      int
	name       string
	command    []string
	done       chan struct{} // closed once the program has ended after stop

	mu      sync.Mutex // guards the fields below
	cmd     *exec.Cmd
	stopped bool
	ends    int // times that the program ended by itself
}

func (d *deployment) instanceIP(i int) string { return fmt.Sprintf("127.%d.77.%d", d.network, i+1) }

func (d *deployment) workerAddress(i int) string {
	return fmt.Sprintf("127.%d.88.%d:%d", d.network, i+1, workerPort)
}

func (d *deployment) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", d.instanceIP(i%controlCount), controlPort)
}

func (d *deployment) entryAddress(i int) string {
	return fmt.Sprintf("%s:%d", d.instanceIP(controlCount+i%entryCount), callerPort)
}

// newDeployment finds free addresses and makes a temporary folder.
func newDeployment(rec *record, repo string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "teaselpaddle-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, repo: repo, folder: folder, registry: newRegistry(rec)}
	for try := range 200 {
		d.network = 2 + (os.Getpid()+try)%250
		if d.addressesFree() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func (d *deployment) addressesFree() bool {
	var addresses []string
	for i := range controlCount + entryCount {
		for _, port := range []int{firstPort, firstPort + 1, controlPort, callerPort, readinessPort} {
			addresses = append(addresses, fmt.Sprintf("%s:%d", d.instanceIP(i), port))
		}
	}
	for i := range 20 {
		addresses = append(addresses, d.workerAddress(i))
	}
	for _, a := range addresses {
		ln, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// commands returns the command of each role of the deploy file by the class of its machines.
func (d *deployment) commands() (map[string][]string, error) {
	text, err := os.ReadFile(filepath.Join(d.repo, deployPath))
	if err != nil {
		return nil, err
	}
	out := map[string][]string{}
	runs := regexp.MustCompile(`(?m)^run = "([^"]+)"\non = "([^"]+)"`).FindAllStringSubmatch(string(text), -1)
	for _, m := range runs {
		out[m[2]] = strings.Fields(m[1])
	}
	if out["core"] == nil || out["frontend"] == nil {
		return nil, fmt.Errorf("%s names no command for core or frontend", deployPath)
	}
	return out, nil
}

// settings fills in the template of the settings for an instance. first is set at the first start of
// the whole system.
func (d *deployment) settings(i int, first bool) ([]byte, error) {
	text, err := os.ReadFile(filepath.Join(d.repo, settingsPath))
	if err != nil {
		return nil, err
	}
	ip := d.instanceIP(i)
	var seeds []string
	for c := range controlCount {
		seeds = append(seeds, d.controlAddress(c))
	}
	zoneTable := map[string]string{}
	for _, z := range zones {
		zoneTable[z] = "region-1"
	}
	values := map[string]any{
		"node_name": d.instanceName(i), "zone": zones[i%len(zones)], "zones": zoneTable, "ip": ip,
		"internal_ports": []int{firstPort, lastPort}, "seeds": seeds, "bootstrap": first, "data_dir": "",
		"fault_tolerance.machines": 1, "listen.frontend": "", "listen.readiness": "", "listen.control": "",
		"limits.max_fds": 4100, "limits.memory_mb": 284, "orders": "call",
		"bounds.max_hold_ms": maxHold.Milliseconds(), "bounds.grace_s": graceSeconds,
	}
	if i < controlCount {
		data := filepath.Join(d.folder, d.instanceName(i)+".data")
		if err := os.MkdirAll(data, 0o700); err != nil {
			return nil, err
		}
		values["data_dir"], values["listen.control"] = data, d.controlAddress(i)
	} else {
		values["listen.frontend"] = fmt.Sprintf("%s:%d", ip, callerPort)
		values["listen.readiness"] = fmt.Sprintf("%s:%d", ip, readinessPort)
	}
	var missing error
	out := regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`).ReplaceAllFunc(text, func(match []byte) []byte {
		name, asJSON := strings.CutSuffix(strings.Trim(string(match), "{}"), "|json")
		v, known := values[name]
		if !known {
			missing = fmt.Errorf("the template names %q, which this script does not know", name)
		}
		if !asJSON {
			return fmt.Append(nil, v)
		}
		b, err := json.Marshal(v)
		if err != nil {
			missing = err
		}
		return b
	})
	return out, missing
}

func (d *deployment) instanceName(i int) string {
	if i < controlCount {
		return fmt.Sprintf("core-%d", i+1)
	}
	return fmt.Sprintf("frontend-%d", i-controlCount+1)
}

// start starts all instances.
func (d *deployment) start() error {
	commands, err := d.commands()
	if err != nil {
		return err
	}
	for i := range controlCount + entryCount {
		class := "core"
		if i >= controlCount {
			class = "frontend"
		}
		p := &process{deployment: d, index: i, name: d.instanceName(i), command: commands[class], done: make(chan struct{})}
		if err := p.start(true); err != nil {
			return err
		}
		d.processes = append(d.processes, p)
		go p.supervise()
	}
	return nil
}

// start starts the program. first is set at the first start of the whole system.
func (p *process) start(first bool) error {
	d := p.deployment
	text, err := d.settings(p.index, first)
	if err != nil {
		return err
	}
	file := filepath.Join(d.folder, p.name+".jsonc")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(d.repo, p.command[0]), p.command[1:]...)
	cmd.Dir = d.repo
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TEASELPADDLE_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	return nil
}

// supervise restarts the program whenever it ends, until stop.
func (p *process) supervise() {
	defer close(p.done)
	for {
		err := p.cmd.Wait()
		p.mu.Lock()
		stopped := p.stopped
		if !stopped {
			p.ends++
		}
		p.mu.Unlock()
		if stopped {
			return
		}
		p.deployment.rec.printf("process  %s ended by itself: %v", p.name, err)
		time.Sleep(restartDelay)
		if err := p.start(false); err != nil {
			p.deployment.rec.printf("process  %s cannot be started: %v", p.name, err)
			return
		}
		p.mu.Lock()
		stopped = p.stopped
		p.mu.Unlock()
		if stopped {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
			return
		}
	}
}

// stop ends the program for good.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	_ = p.cmd.Process.Kill()
	p.mu.Unlock()
	<-p.done
}

// ownEnds returns how often the program has ended by itself.
func (p *process) ownEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

// close ends all processes and stand-ins, and removes the temporary folder unless KEEP is set.
func (d *deployment) close() {
	for _, p := range d.processes {
		p.stop()
	}
	for _, w := range d.workers {
		w.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs:", d.folder)
	}
}
