package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment: three control instances and three entry instances in three zones.
const (
	zoneCount = 3
	keyText   = "d4a3hwrr6x73d3zji9n7"
	hostName  = "nony24.example"
	queuePath = "/lohu930/"
	service   = "huvo11a"
)

// runOnWorker is a run that a stand-in worker has begun, by its own report.
type runOnWorker struct {
	worker, task string
	run          int
	begunAt      time.Time
	ended        string // how it ended; "killed" if its worker was; "" while it is at work
	endedAt      time.Time
}

// deployment holds all processes of a case and what was seen.
type deployment struct {
	dir, program, self string
	net                int // second byte of the addresses
	base               int // first of the ports
	trouble            bool
	special            int // workers of the kind "b"
	tenant             string
	path               string // path prefix of the queue
	record             *os.File
	began              time.Time

	controls, entries []*instance
	workers           []*workerProcess

	mu   sync.Mutex
	runs []*runOnWorker
}

// instance is a process of the project.
type instance struct {
	d       *deployment
	name    string
	zone    string
	ip      string
	control bool
	front   *frontProxy // in front of the control address
	cmd     *exec.Cmd
}

// workerProcess is the place of a worker: its id and address, and its life if it has one.
type workerProcess struct {
	d                       *deployment
	id, address, zone, rack string
	kind                    string // the first label; "" stands for "a"
	zoneIndex               int
	cmd                     *exec.Cmd
	read                    chan struct{} // closed when all that the life has printed is recorded
}

func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%9.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// notRunError reports that a case could not be played.
type notRunError struct{ reason string }

func (e *notRunError) Error() string { return e.reason }

func notRun(format string, args ...any) { panic(&notRunError{fmt.Sprintf(format, args...)}) }

// runCase plays a case and returns its exit code.
func runCase(play func(*deployment) bool, folder string, trouble bool) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "cases3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	self, _ := os.Executable()
	d := &deployment{
		dir: dir, self: self, program: filepath.Join(filepath.Dir(self), "teaselpaddle-region"),
		net: 1 + os.Getpid()%250, trouble: trouble, tenant: "kaje80", path: queuePath, record: record, began: time.Now(),
	}
	defer d.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.end()
		os.Exit(exitNotRun)
	}()
	defer func() {
		if v := recover(); v != nil {
			var n *notRunError
			err, _ := v.(error)
			if !errors.As(err, &n) {
				panic(v)
			}
			d.note("the case could not run: %s", n.reason)
			fmt.Println("could not run:", n.reason)
			code = exitNotRun
		}
	}()
	d.start()
	if play(d) {
		fmt.Println("the rule held")
		return exitHeld
	}
	fmt.Println("the rule was broken; see record.txt")
	return exitBroken
}

// end ends all processes of the case and removes its folder.
func (d *deployment) end() {
	for _, w := range d.workers {
		w.kill()
	}
	for _, p := range append(append([]*instance{}, d.controls...), d.entries...) {
		p.kill()
		if p.front != nil {
			p.front.close()
		}
	}
	_ = os.RemoveAll(d.dir)
}

// freePorts returns the first of a range of ports that are free on the base address.
func (d *deployment) freePorts() int {
	for base := 20000 + os.Getpid()%8000; base < 32000; base += 20 {
		free := true
		for _, p := range []int{0, 1, 10, 11, 12, 13} {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.77.1:%d", d.net, base+p))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return base
		}
	}
	notRun("no free ports")
	return 0
}

// Offsets of the ports of an instance.
const (
	portControl   = 10
	portCaller    = 11
	portReadiness = 12
	portFront     = 13 // the address of a control instance that workers are told
	portWorker    = 10
)

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%zoneCount) }

func (d *deployment) start() {
	d.base = d.freePorts()
	for i := range zoneCount {
		c := &instance{d: d, name: fmt.Sprintf("control-%d", i), zone: zoneName(i), ip: fmt.Sprintf("127.%d.77.%d", d.net, i+1), control: true}
		c.front = newFrontProxy(c.address(portFront), c.address(portControl))
		d.controls = append(d.controls, c)
		d.entries = append(d.entries, &instance{d: d, name: fmt.Sprintf("entry-%d", i), zone: zoneName(i), ip: fmt.Sprintf("127.%d.77.%d", d.net, i+11)})
	}
	for _, p := range append(append([]*instance{}, d.controls...), d.entries...) {
		p.start(true)
	}
}

func (p *instance) address(offset int) string { return fmt.Sprintf("%s:%d", p.ip, p.d.base+offset) }

// settings returns the settings that the template of the deploy file gives for a small deployment.
func (p *instance) settings(first bool) []byte {
	seeds := []string{}
	for _, c := range p.d.controls {
		seeds = append(seeds, c.address(portControl))
	}
	s := map[string]any{
		"name": p.name, "availability_zone": p.zone, "ip": p.ip, "ports": []int{p.d.base, p.d.base + 9}, "control_seeds": seeds,
		"availability_zones": map[string]string{"zone-a": "r", "zone-b": "r", "zone-c": "r"}, "first_start": first,
		"data_folder": "", "disk_losses": 1, "caller_address": "", "readiness_address": "", "control_address": "",
		"max_files": 4100, "max_memory_mb": 284, "log_level": "info", "orders": "call", "worker_speeds": "measured",
		"max_lease_ms": maxHold.Milliseconds(), "grace_s": 6, "preemption": "economical", "fair_share_half_life_ms": 0, "switched_off": []string{},
	}
	if p.control {
		s["control_address"], s["data_folder"], s["max_files"], s["max_memory_mb"] = p.address(portControl), p.folder(), 4096, 280
	} else {
		s["caller_address"], s["readiness_address"] = p.address(portCaller), p.address(portReadiness)
	}
	out, _ := json.Marshal(s)
	return out
}

func (p *instance) folder() string { return filepath.Join(p.d.dir, p.name+".data") }

// start starts the process with the command of the deploy file.
func (p *instance) start(first bool) {
	file := filepath.Join(p.d.dir, p.name+".jsonc")
	if err := os.WriteFile(file, p.settings(first), 0o600); err != nil {
		notRun("%v", err)
	}
	if err := os.MkdirAll(p.folder(), 0o700); err != nil {
		notRun("%v", err)
	}
	role := "entry"
	if p.control {
		role = "control"
	}
	p.cmd = exec.Command(p.d.program, role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.d.dir, "TEASELPADDLE_CONFIG=" + file}
	p.cmd.Stdout, _ = os.OpenFile(filepath.Join(logDir(p.d.dir), p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err := p.cmd.Start(); err != nil {
		notRun("%v", err)
	}
	p.d.note("%s starts", p.name)
}

// logDir returns the folder for the logs of the instances, which KEEP_LOGS names if they are to stay.
func logDir(dir string) string {
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		return keep
	}
	return dir
}

func (p *instance) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

// leads reports whether the instance leads, by its metrics.
func (p *instance) leads() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + p.address(1) + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	for _, line := range strings.Split(string(data), "\n") {
		if v, found := strings.CutPrefix(line, "teaselpaddle_leading_epoch "); found {
			return v != "0"
		}
	}
	return false
}

// leader returns the instance that leads.
func (d *deployment) leader() *instance {
	for range 50 {
		for _, c := range d.controls {
			if c.cmd != nil && c.leads() {
				return c
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	notRun("no control instance leads")
	return nil
}

// addWorkers places n workers over the zones and starts them.
func (d *deployment) addWorkers(n int) {
	for i := range n {
		w := &workerProcess{
			d: d, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), zoneIndex: i % zoneCount, zone: zoneName(i), rack: fmt.Sprintf("r%d", i%zoneCount),
			address: fmt.Sprintf("127.%d.88.%d:%d", d.net, i+1, d.base+portWorker),
		}
		if i < d.special {
			w.kind = "b"
		}
		d.workers = append(d.workers, w)
		w.start()
	}
}

// start begins a life of the worker. Its first status report goes to the control instance of its zone.
func (w *workerProcess) start() {
	controls := []string{}
	for i := range zoneCount {
		controls = append(controls, w.d.controls[(w.zoneIndex+i)%zoneCount].address(portFront))
	}
	w.cmd = exec.Command(w.d.self, "worker", "-kind", cmp.Or(w.kind, "a"), "-id", w.id, "-address", w.address, "-zone", w.zone, "-rack", w.rack, "-service", service,
		"-controls", strings.Join(controls, ","))
	out, err := w.cmd.StdoutPipe()
	if err == nil {
		err = w.cmd.Start()
	}
	if err != nil {
		notRun("%v", err)
	}
	w.d.note("worker %s in %s starts", w.id, w.zone)
	w.read = make(chan struct{})
	go func(read chan struct{}) {
		defer close(read)
		for s := bufio.NewScanner(out); s.Scan(); {
			var e event
			if json.Unmarshal(s.Bytes(), &e) == nil {
				w.d.onEvent(w, &e)
			}
		}
	}(w.read)
}

// kill ends the worker's life. What runs on it ends with it.
func (w *workerProcess) kill() {
	if w.cmd == nil {
		return
	}
	_ = w.cmd.Process.Signal(syscall.SIGKILL)
	<-w.read
	_ = w.cmd.Wait()
	w.cmd = nil
	w.d.note("worker %s is killed", w.id)
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	for _, r := range w.d.runs {
		if r.worker == w.id && r.ended == "" {
			r.ended, r.endedAt = "killed", time.Now()
		}
	}
}

func (d *deployment) onEvent(w *workerProcess, e *event) {
	d.note("worker %s: %s %s run %d %s", w.id, e.Kind, e.Task, e.Run, e.How)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch e.Kind {
	case "begun":
		d.runs = append(d.runs, &runOnWorker{worker: w.id, task: e.Task, run: e.Run, begunAt: time.Now()})
	case "ended":
		for _, r := range d.runs {
			if r.worker == w.id && r.task == e.Task && r.run == e.Run && r.ended == "" {
				r.ended, r.endedAt = e.How, time.Now()
			}
		}
	}
}

// runsOf returns the runs of a job's work units that workers have begun.
func (d *deployment) runsOf(job string) []runOnWorker {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []runOnWorker
	for _, r := range d.runs {
		if strings.HasPrefix(r.task, job+".") {
			out = append(out, *r)
		}
	}
	return out
}

// signal sends a signal to the worker.
func (w *workerProcess) signal(s syscall.Signal, meaning string) {
	_ = w.cmd.Process.Signal(s)
	w.d.note("worker %s %s", w.id, meaning)
}

func (d *deployment) worker(id string) *workerProcess {
	for _, w := range d.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// call sends a request and returns the status, 0 for no answer, and the body.
func (d *deployment) call(method, address, path, host, key, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		notRun("%v", err)
	}
	if host != "" {
		req.Host = host
	}
	if key != "" {
		req.Header.Set("X-Api-Key", key)
		req.Header.Set("X-Teaselpaddle-Deadline-Ms", "3000")
	}
	req.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// publish sends a desired state to one control instance after the other until it is acknowledged.
func (d *deployment) publish(version int, routes string) {
	body := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":false,"standby":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":%q,"api_keys":[%q],"priority":1,"guaranteed_gpus":{"gpu":8}}]}`, version, routes, service, d.tenant, keyText)
	for i := range 100 {
		c := d.controls[i%len(d.controls)]
		status, _ := d.call(http.MethodPost, c.address(portControl), "/config/put", "", "", body)
		d.note("desired state %d to %s: %d", version, c.name, status)
		if status == http.StatusOK {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	notRun("the desired state was not acknowledged")
}

// route returns a route of the desired state.
func route(name, host, prefix string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"route_type":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":%q,"max_attempts":3,"stretch":3.0,"public":false}`,
		name, host, prefix, service)
}

// submit hands a job in until it is accepted.
func (d *deployment) submit(id, body string) {
	for i := range 60 {
		e := d.entries[i%len(d.entries)]
		status, reply := d.call(http.MethodPost, e.address(portCaller), d.path+id, hostName, keyText, body)
		d.note("POST %s to %s: %d %s", d.path+id, e.name, status, reply)
		if status == http.StatusOK {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	notRun("the job was not accepted")
}

// state asks for a job's state at one entry instance after the other until there is an answer.
func (d *deployment) state(id string) string {
	for i := range 20 {
		e := d.entries[i%len(d.entries)]
		status, reply := d.call(http.MethodGet, e.address(portCaller), d.path+id, hostName, keyText, "")
		if status == http.StatusOK {
			var out struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(reply), &out)
			d.note("GET %s at %s: %d %s", d.path+id, e.name, status, reply)
			return out.State
		}
		d.note("GET %s at %s: %d %s", d.path+id, e.name, status, reply)
		time.Sleep(250 * time.Millisecond)
	}
	return ""
}

// awaitRun waits until a worker has begun a run of a job that is still at work, begun after a time.
func (d *deployment) awaitRun(job string, after time.Time, limit time.Duration) *runOnWorker {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, r := range d.runsOf(job) {
			if r.begunAt.After(after) && r.ended == "" {
				return &r
			}
		}
	}
	return nil
}

// frontProxy passes connections on to a control instance. While it is dark it takes them and answers
// nothing, like the address of a machine without power.
type frontProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	dark     bool
	open     map[net.Conn]bool
}

func newFrontProxy(address, target string) *frontProxy {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		notRun("%v", err)
	}
	p := &frontProxy{listener: ln, target: target, open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *frontProxy) close() { _ = p.listener.Close() }

// setDark begins or ends the darkness. What was sent meanwhile is lost.
func (p *frontProxy) setDark(dark bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dark = dark
	for c := range p.open {
		_ = c.Close()
	}
	clear(p.open)
}

func (p *frontProxy) serve(c net.Conn) {
	p.mu.Lock()
	dark := p.dark
	p.open[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, c)
		p.mu.Unlock()
		_ = c.Close()
	}()
	if dark {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	go func() {
		_, _ = io.Copy(t, c)
		_ = t.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(c, t)
}
