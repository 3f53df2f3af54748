//go:build prove

package prove

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	batchjob "teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/httpapi"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/standin"
)

// regionKey is the key of a customer of examples/region.
const regionKey = "water-utility-key-1"

// publishRegionConfig waits until every worker is recorded and publishes the example.
func (c *cluster) publishRegionConfig() {
	c.r.waitUntil("workers recorded", readyTimeout, func() bool {
		var list []httpapi.RegionWorker
		_, raw := get(c.daemons[0], "/v1/workers")
		return json.Unmarshal(raw, &list) == nil && len(list) == len(c.workers)
	})
	cmd := exec.CommandContext(c.r.ctx, programPath("teaselpaddle"), "--server", c.daemons[1].ClientAddress, "batch", "publish", "../examples/region/config.jsonc")
	if out, err := cmd.CombinedOutput(); err != nil {
		c.r.fatalf("publish: %v: %s", err, out)
	}
}

// regionLeader returns the running control instance whose leadership began last
// and has not ended. The logs only choose the target of a fault.
func (c *cluster) regionLeader() *daemon {
	var best *daemon
	bestEpoch := -1
	for _, d := range c.daemons {
		if !d.Disk || !d.running() {
			continue
		}
		raw, err := os.ReadFile(d.logPath)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			var e struct {
				Msg   string `json:"msg"`
				Epoch int    `json:"epoch"`
			}
			if strings.Contains(line, "leadership begun") && json.Unmarshal([]byte(line), &e) == nil && e.Epoch > bestEpoch {
				best, bestEpoch = d, e.Epoch
			}
		}
	}
	if best == nil {
		c.r.fatalf("the region has no leader")
	}
	return best
}

// regionJob is one job of a region that is followed to its end.
type regionJob struct {
	id       string
	spec     batchjob.Spec
	accepted bool // an entry instance has answered 200
	state    string
}

// regionJobBatch are followed in the background through the given entry instances;
// mu guards the jobs' results.
type regionJobBatch struct {
	r       *run
	entries []*daemon
	wg      sync.WaitGroup
	mu      sync.Mutex
	list    []*regionJob
}

func (r *run) newRegionJobBatch(entries ...*daemon) *regionJobBatch {
	if len(entries) == 0 {
		entries = r.daemons
	}
	return &regionJobBatch{r: r, entries: entries}
}

// submit hands in n jobs over the given time: plain units, gangs, and two steps.
func (b *regionJobBatch) submit(prefix string, n int, over time.Duration) {
	for i := range n {
		step := batchjob.Step{Count: 1 + i%4, Need: batchjob.Resources{CPU: 1000, Accelerators: 1}, EstimateMS: 200, Checkpoints: i%2 == 0, Gang: i%3 == 1}
		j := &regionJob{id: fmt.Sprintf("%s-%d-%d", prefix, b.r.seed, i), spec: batchjob.Spec{
			Payload: fmt.Sprintf("sleep=%dms", 50+b.r.rng.IntN(300)), Steps: []batchjob.Step{step},
		}}
		if i%3 == 2 {
			second := step
			second.DependsOn = []int{0}
			j.spec.Steps = append(j.spec.Steps, second)
		}
		b.list = append(b.list, j)
		b.wg.Go(func() { b.submitAndFollow(j, i) })
		b.r.sleep(over / time.Duration(n))
	}
}

// submitAndFollow hands a job in until an instance has an answer that stands, and asks
// for its state until that is final.
func (b *regionJobBatch) submitAndFollow(j *regionJob, i int) {
	body, _ := json.Marshal(&j.spec)
	path := "/v1/queues/die-check/jobs/" + j.id
	for ; b.r.ctx.Err() == nil; i++ {
		method, payload := http.MethodPut, body
		if j.accepted {
			method, payload = http.MethodGet, nil
		}
		var got httpapi.BatchJob
		switch status := regionCall(b.entries[i%len(b.entries)], method, path, payload, &got); {
		case status == http.StatusOK:
			b.mu.Lock()
			j.accepted, j.state = true, got.State
			b.mu.Unlock()
			if got.State == batchjob.Completed.String() || got.State == batchjob.Failed.String() {
				return
			}
		case status == http.StatusNotFound && j.accepted:
			b.r.failf("job %s was accepted and is not known", j.id)
			return
		case status/100 == 4:
			b.r.failf("job %s: status %d", j.id, status)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// regionCall sends a request and returns the status, or 0 without an answer.
func regionCall(d *daemon, method, path string, body []byte, out any) int {
	req, err := http.NewRequest(method, "http://"+d.ClientAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set(httpapi.HeaderKey, regionKey)
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || out != nil && json.Unmarshal(raw, out) != nil {
		return 0
	}
	return resp.StatusCode
}

// checkAgainstJournals waits for the jobs' ends and compares them with the workers' journals:
// every job is completed, each of its units (or one of a gang) has ended well
// once, and no unit ran twice at the same time.
func (b *regionJobBatch) checkAgainstJournals() {
	b.wg.Wait()
	type unit struct{ job, name string }
	type interval struct{ from, to time.Time }
	ran := map[unit][]interval{}
	completions := map[unit]int{}
	runs := 0
	for _, w := range b.r.workers {
		events, err := standin.ReadJournal(w.journalPath)
		if err != nil {
			b.r.fatalf("journal: %v", err)
		}
		started := map[unit]time.Time{}
		for _, e := range events {
			u := unit{string(e.Job), e.Unit}
			switch e.Event {
			case standin.EventStart:
				if completions[u] > 0 {
					b.r.failf("unit %v starts after it was done", u)
				}
				started[u] = e.At
				runs++
			case standin.EventFinish, standin.EventStop:
				ran[u] = append(ran[u], interval{started[u], e.At})
				delete(started, u)
				if e.OK {
					completions[u]++
				}
			}
		}
		for u, from := range started {
			ran[u] = append(ran[u], interval{from, time.Now()})
		}
	}
	for u, list := range ran {
		for i, x := range list {
			for _, y := range list[:i] {
				if x.from.Before(y.to) && y.from.Before(x.to) {
					b.r.failf("unit %v ran twice at the same time", u)
				}
			}
		}
	}
	units := 0
	for _, j := range b.list {
		if j.state != batchjob.Completed.String() {
			b.r.failf("job %s is %q", j.id, j.state)
			continue
		}
		for s := range j.spec.Steps {
			completed, st := 0, &j.spec.Steps[s]
			for i := range st.Count {
				u := unit{j.id, batchjob.UnitRef{Step: s, Index: i}.String()}
				completed += completions[u]
				if completions[u] > 1 || completions[u] == 0 && !st.Gang {
					b.r.failf("unit %v was done %d times", u, completions[u])
				}
			}
			// One unit that is done stands for its gang; the others are stopped.
			if completed == 0 {
				b.r.failf("step %d of job %s was never done", s, j.id)
			}
			units += st.Count
		}
	}
	b.r.addFigure("jobs", len(b.list))
	b.r.addFigure("units", units)
	b.r.addFigure("runs", runs)
}

// regionLostDisk loses the disk of a control instance and, once that instance is
// back as a new member, a second control instance.
func regionLostDisk(r *run) {
	b := r.newRegionJobBatch()
	b.submit("whole", 20, 2*time.Second)
	first := r.diskInstance(zones[int(r.seed)%len(zones)])
	first.kill()
	if err := os.RemoveAll(first.dataFolder); err != nil {
		r.fatalf("wipe: %v", err)
	}
	b.submit("lost", 20, 2*time.Second)
	r.restart(first)
	// The repaired instance votes once the log says so; only then may the next
	// instance be lost.
	r.waitUntil("repaired instance votes", readyTimeout, func() bool {
		raw, err := os.ReadFile(r.regionLeader().logPath)
		return err == nil && strings.Contains(string(raw), "learner becomes voter")
	})
	r.sleep(time.Second)
	second := r.diskInstance(zones[(int(r.seed)+1)%len(zones)])
	second.kill()
	b.submit("second", 30, 4*time.Second)
	r.restart(second)
	b.checkAgainstJournals()
}

// allProcessesOfRegionDie kills all instances at the same time and starts them again.
func allProcessesOfRegionDie(r *run) {
	b := r.newRegionJobBatch()
	b.submit("dies", 40, 2*time.Second)
	for _, d := range r.daemons {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range r.daemons {
		d.kill()
	}
	b.submit("while", 5, time.Second)
	for _, d := range r.daemons {
		r.startDaemon(d)
	}
	for _, d := range r.daemons {
		r.waitReady(d)
	}
	b.submit("again", 20, 2*time.Second)
	b.checkAgainstJournals()
}

// regionRefusalLimit is the longest time until an instance that is cut off refuses: its
// search for a leader and one call.
const regionRefusalLimit = 4 * time.Second

// regionZoneCut cuts the leader's zone off. The others go on; an instance in the
// zone answers at once, and what it has refused with no_leader, which says that the
// request has not run, never runs.
func regionZoneCut(r *run) {
	zone := r.regionLeader().AvailabilityZone
	var outside []*daemon
	for _, d := range r.daemons {
		if d.AvailabilityZone != zone {
			outside = append(outside, d)
		}
	}
	b := r.newRegionJobBatch(outside...)
	b.submit("whole", 20, 2*time.Second)
	r.cutZone(zone)
	r.sleep(500 * time.Millisecond)
	body := []byte(`{"payload": "sleep=10ms", "steps": [{"count": 1, "need": {"accelerators": 1}}]}`)
	var refused []string
	for i := range 5 {
		id := fmt.Sprintf("refused-%d-%d", r.seed, i)
		start := time.Now()
		var p httpapi.Problem
		status := regionCall(r.daemonsIn(zone)[1], http.MethodPut, "/v1/queues/die-check/jobs/"+id, body, &p)
		if took := time.Since(start); status == 0 || status == http.StatusOK || took > regionRefusalLimit {
			r.failf("instance without a leader answered with %d after %s", status, took)
		}
		if p.Code == model.ReasonNoLeader {
			refused = append(refused, id)
		}
	}
	b.submit("cut", 20, 4*time.Second)
	r.heal()
	r.waitReady(r.daemonsIn(zone)[1])
	b.submit("healed", 10, time.Second)
	b.checkAgainstJournals()
	r.addFigure("refused", len(refused))
	for _, id := range refused {
		if status := regionCall(outside[0], http.MethodGet, "/v1/queues/die-check/jobs/"+id, nil, nil); status != http.StatusNotFound {
			r.failf("job %s was refused and is known: status %d", id, status)
		}
	}
}
