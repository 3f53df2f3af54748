//go:build prove

package prove

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/faultproxy"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/standin"
)

// Durations, rates and sample counts of the measurements.
const (
	resourcePeriod    = 15 * time.Second
	loadJobsPerSecond = 20 // over the whole deployment
	acceptSamples     = 400
	publishSamples    = 10
	killSamples       = 3
	// ticksPerSecond is the clock rate in which Linux reports CPU times in
	// /proc/PID/stat.
	ticksPerSecond = 100
)

// TestMeasure prints measurements of a deployment of nine daemons. It compares them
// with no limits, because the times depend on the machine.
func TestMeasure(t *testing.T) {
	p := proof{name: "measure", timeLimit: 6 * time.Minute, options: clusterOptions{workersPerRack: 8, leaseSeconds: 10}, run: measure}
	p.execute(t, *seedFlag)
}

func measure(r *run) {
	r.sleep(5 * time.Second)
	r.measureResources("idle", nil)
	r.measureAccept("repeatable", true)
	r.measureAccept("not_repeatable", false)
	r.measureUrgentStarts()
	r.measureResources("loaded", func(i int) { r.postJob(r.daemons[i%len(r.daemons)], r.smallSpec("load", i, true)) })
	r.measurePublishes("all_up")
	r.measureLeaderKills()
}

func (r *run) printMeasurement(name string, value float64, unit string) {
	fmt.Printf("MEASURE %s %.3g %s\n", name, value, unit)
}

func (r *run) smallSpec(prefix string, i int, repeatable bool) model.JobSpec {
	return model.JobSpec{
		Customer: customers[i%len(customers)], Key: fmt.Sprintf("%s-%d", prefix, i), Repeatable: repeatable,
		Tasks: 1, Accelerators: 1, CPU: 1, MemoryMiB: 256, EstimatedSeconds: 1, Payload: "sleep=50ms",
	}
}

// postJob submits a job once and returns the status, or 0 without an answer.
func (r *run) postJob(d *daemon, s model.JobSpec) int {
	body, err := json.Marshal(&s)
	if err != nil {
		r.fatalf("%v", err)
	}
	resp, err := http.Post("http://"+d.ClientAddress+"/v1/jobs", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// resourceUsage is what a daemon has used since its start.
type resourceUsage struct {
	cpu  float64 // CPU seconds
	sent int64   // bytes to other instances
}

func (c *cluster) resourceUsage(d *daemon) resourceUsage {
	u := resourceUsage{cpu: cpuSeconds(d.cmd.Process.Pid)}
	for _, other := range c.daemons {
		if p := c.proxies[[2]string{d.Name, other.Name}]; p != nil {
			u.sent += p.Bytes(faultproxy.ToTarget)
		}
		if p := c.proxies[[2]string{other.Name, d.Name}]; p != nil {
			u.sent += p.Bytes(faultproxy.FromTarget)
		}
	}
	return u
}

// cpuSeconds returns the user and system CPU time of a process, or 0.
func cpuSeconds(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

// residentMiB returns the resident memory of a process in MiB, or 0.
func residentMiB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kib / 1024
		}
	}
	return 0
}

// measureResources prints CPU use, traffic and memory of the daemons while load, if
// not nil, is called loadJobsPerSecond times a second. It prints mean and maximum
// because usage is uneven: the leader of amman-1 uses the most if it is also a
// configuration voter.
func (r *run) measureResources(name string, load func(i int)) {
	before := map[*daemon]resourceUsage{}
	for _, d := range r.daemons {
		before[d] = r.resourceUsage(d)
	}
	start := time.Now()
	for i := 0; time.Since(start) < resourcePeriod; i++ {
		if load != nil {
			go load(i)
		}
		r.sleep(time.Second / loadJobsPerSecond)
	}
	secs := time.Since(start).Seconds()
	var cpu, sent, mem []float64
	for _, d := range r.daemons {
		u := r.resourceUsage(d)
		cpu = append(cpu, 100*(u.cpu-before[d].cpu)/secs)
		sent = append(sent, float64(u.sent-before[d].sent)/secs)
		mem = append(mem, residentMiB(d.cmd.Process.Pid))
	}
	for _, v := range []struct {
		name, unit string
		values     []float64
	}{{"cpu", "percent_of_a_core", cpu}, {"sent_to_instances", "B/s", sent}, {"memory", "MiB", mem}} {
		r.printMeasurement(name+"_"+v.name+"_mean", mean(v.values), v.unit)
		r.printMeasurement(name+"_"+v.name+"_max", slices.Max(v.values), v.unit)
	}
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}

func quantile(list []float64, q float64) float64 {
	s := slices.Sorted(slices.Values(list))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

// measureAccept prints how long a zone takes to accept a job that it owns and that is
// submitted through one of its followers.
func (r *run) measureAccept(name string, repeatable bool) {
	d := r.follower("amman-1")
	var ms []float64
	for i := range acceptSamples {
		s := withKeyOwnedBy("amman-1", r.smallSpec("accept-"+name, i, repeatable))
		start := time.Now()
		if status := r.postJob(d, s); status/100 != 2 {
			r.failf("accept %s: status %d", name, status)
			return
		}
		ms = append(ms, time.Since(start).Seconds()*1000)
	}
	r.printMeasurement("accept_"+name+"_p50", quantile(ms, 0.5), "ms")
	r.printMeasurement("accept_"+name+"_p99", quantile(ms, 0.99), "ms")
}

// measureUrgentStarts prints the time from the submission of an urgent job to its
// start on the worker while accelerators are free.
func (r *run) measureUrgentStarts() {
	d := r.follower("amman-1")
	submitted := map[string]time.Time{}
	for i := range 50 {
		s := withKeyOwnedBy("amman-1", r.smallSpec("urgent", i, true))
		s.Urgent = true
		submitted[jobIDHash(&s)] = time.Now()
		r.postJob(d, s)
		r.sleep(20 * time.Millisecond)
	}
	r.sleep(2 * time.Second)
	var ms []float64
	for _, e := range r.journalEvents() {
		id := string(e.Job)
		if t, ok := submitted[id[strings.LastIndexByte(id, '.')+1:]]; ok && e.Event == standin.EventStart {
			ms = append(ms, e.At.Sub(t).Seconds()*1000)
		}
	}
	if len(ms) == 0 {
		r.failf("no urgent job started")
		return
	}
	r.printMeasurement("urgent_start_p50", quantile(ms, 0.5), "ms")
	r.printMeasurement("urgent_start_max", slices.Max(ms), "ms")
}

// measurePublishes prints the time from sending a publish until its version is in
// force on every running instance.
func (r *run) measurePublishes(name string) {
	var secs []float64
	for i := range publishSamples {
		previous := configVersion(r.daemons[0])
		p := r.queueLimitChange(previous, fmt.Sprintf("measure-%s-%d", name, i), 2000+i)
		start := time.Now()
		if a := r.putConfigUntilDecided(r.daemons, i, p); a.status != http.StatusOK {
			r.failf("publish %d: status %d, code %s", i, a.status, a.Code)
			return
		}
		r.waitUntil("configuration in force", 20*time.Second, func() bool {
			for _, d := range r.daemons {
				if d.running() && configVersion(d) <= previous {
					return false
				}
			}
			return true
		})
		secs = append(secs, time.Since(start).Seconds())
	}
	r.printMeasurement("config_in_force_"+name+"_p50", quantile(secs, 0.5), "s")
	r.printMeasurement("config_in_force_"+name+"_max", slices.Max(secs), "s")
}

// measureLeaderKills prints the time from SIGKILL of a zone's leader to the next job
// that the zone accepts, and the time from the restart of the killed instance until
// it is ready.
func (r *run) measureLeaderKills() {
	var acceptGaps, readyTimes []float64
	for i := range killSamples {
		l := r.waitForLeader("amman-2", nil)
		other := r.follower("amman-2")
		l.kill()
		start := time.Now()
		for n := 0; ; n++ {
			if r.postJob(other, withKeyOwnedBy("amman-2", r.smallSpec(fmt.Sprintf("kill-%d", i), n, true)))/100 == 2 {
				break
			}
			r.sleep(10 * time.Millisecond)
		}
		acceptGaps = append(acceptGaps, time.Since(start).Seconds())
		start = time.Now()
		r.restart(l)
		r.waitReady(l)
		readyTimes = append(readyTimes, time.Since(start).Seconds())
		r.sleep(3 * time.Second)
	}
	r.printMeasurement("leader_killed_to_next_accept_median", quantile(acceptGaps, 0.5), "s")
	r.printMeasurement("leader_killed_to_next_accept_max", slices.Max(acceptGaps), "s")
	r.printMeasurement("restarted_to_ready_median", quantile(readyTimes, 0.5), "s")
	r.printMeasurement("machine_cores", float64(runtime.NumCPU()), "cores")
}
