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

// regionKey is the API key of a customer in examples/region/config.jsonc.
const regionKey = "water-utility-key-1"

// publishRegionConfig waits until every worker is registered and publishes
// examples/region/config.jsonc.
func (c *cluster) publishRegionConfig() {
	c.run.waitUntil("workers recorded", readyTimeout, func() bool {
		var list []httpapi.RegionWorker
		_, raw := get(c.daemons[0], "/v1/workers")
		return json.Unmarshal(raw, &list) == nil && len(list) == len(c.workers)
	})
	cmd := exec.CommandContext(c.run.ctx, programPath("teaselpaddle"), "--server", c.daemons[1].ClientAddress, "batch", "publish", "../examples/region/config.jsonc")
	if out, err := cmd.CombinedOutput(); err != nil {
		c.run.fatalf("publish: %v: %s", err, out)
	}
}

// regionLeader returns the running control instance whose log has the leadership
// with the highest epoch. The logs only choose the target of a fault.
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
		c.run.fatalf("the region has no leader")
	}
	return best
}

// regionJob is one job of the extent region that is followed to its final state.
type regionJob struct {
	id       string
	spec     batchjob.Spec
	accepted bool // an entry instance has answered 200
	state    string
}

// regionJobBatch is a set of jobs that are submitted and followed in the background
// through the given entry instances; mu guards the jobs' results.
type regionJobBatch struct {
	run     *run
	entries []*daemon
	wg      sync.WaitGroup
	mu      sync.Mutex
	list    []*regionJob
}

// newRegionJobBatch returns a batch that uses the given instances, or all if none is
// given.
func (r *run) newRegionJobBatch(entries ...*daemon) *regionJobBatch {
	if len(entries) == 0 {
		entries = r.daemons
	}
	return &regionJobBatch{run: r, entries: entries}
}

// submit submits n jobs at a constant rate over the given time: independent units,
// gangs, and jobs of two steps in turn.
func (b *regionJobBatch) submit(prefix string, n int, over time.Duration) {
	for i := range n {
		step := batchjob.Step{Count: 1 + i%4, Need: batchjob.Resources{CPU: 1000, Accelerators: 1}, EstimateMS: 200, Checkpoints: i%2 == 0, Gang: i%3 == 1}
		j := &regionJob{id: fmt.Sprintf("%s-%d-%d", prefix, b.run.seed, i), spec: batchjob.Spec{
			Payload: fmt.Sprintf("sleep=%dms", 50+b.run.rng.IntN(300)), Steps: []batchjob.Step{step},
		}}
		if i%3 == 2 {
			second := step
			second.DependsOn = []int{0}
			j.spec.Steps = append(j.spec.Steps, second)
		}
		b.list = append(b.list, j)
		b.wg.Go(func() { b.submitAndFollow(j, i) })
		b.run.sleep(over / time.Duration(n))
	}
}

// submitAndFollow submits a job again until it is accepted, and then polls its state
// until that is final. Any 4xx status is a failure.
func (b *regionJobBatch) submitAndFollow(j *regionJob, i int) {
	body, _ := json.Marshal(&j.spec)
	path := "/v1/queues/die-check/jobs/" + j.id
	for ; b.run.ctx.Err() == nil; i++ {
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
			b.run.failf("job %s was accepted but is now unknown", j.id)
			return
		case status/100 == 4:
			b.run.failf("job %s: status %d", j.id, status)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// regionCall sends a request, decodes the answer into out unless it is nil, and
// returns the status, or 0 without a complete answer.
func regionCall(d *daemon, method, path string, body []byte, out any) int {
	req, err := http.NewRequest(method, "http://"+d.ClientAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set(httpapi.HeaderAPIKey, regionKey)
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

// checkAgainstJournals waits for the jobs' final states and compares them with the
// workers' journals: every job is completed, each unit finished successfully exactly
// once (in a gang at least one unit did, and each at most once), and no unit had two
// runs at the same time or a start after its success.
func (b *regionJobBatch) checkAgainstJournals() {
	b.wg.Wait()
	type unit struct{ job, name string }
	type interval struct{ from, to time.Time }
	ran := map[unit][]interval{}
	completions := map[unit]int{}
	runs := 0
	for _, w := range b.run.workers {
		events, err := standin.ReadJournal(w.journalPath)
		if err != nil {
			b.run.fatalf("journal: %v", err)
		}
		started := map[unit]time.Time{}
		for _, e := range events {
			u := unit{string(e.Job), e.Unit}
			switch e.Event {
			case standin.EventStart:
				if completions[u] > 0 {
					b.run.failf("unit %v starts after it was done", u)
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
					b.run.failf("unit %v ran twice at the same time", u)
				}
			}
		}
	}
	units := 0
	for _, j := range b.list {
		if j.state != batchjob.Completed.String() {
			b.run.failf("job %s is %q", j.id, j.state)
			continue
		}
		for s := range j.spec.Steps {
			completed, st := 0, &j.spec.Steps[s]
			for i := range st.Count {
				u := unit{j.id, batchjob.UnitRef{Step: s, Index: i}.String()}
				completed += completions[u]
				if completions[u] > 1 || completions[u] == 0 && !st.Gang {
					b.run.failf("unit %v was done %d times", u, completions[u])
				}
			}
			// A gang is done as soon as one of its units is; the others may have been
			// stopped.
			if completed == 0 {
				b.run.failf("no unit of step %d of job %s was done", s, j.id)
			}
			units += st.Count
		}
	}
	b.run.addFigure("jobs", len(b.list))
	b.run.addFigure("units", units)
	b.run.addFigure("runs", runs)
}

// regionLostDisk wipes the disk of a control instance and, once that instance votes
// again as a new member, kills a second control instance.
func regionLostDisk(r *run) {
	b := r.newRegionJobBatch()
	b.submit("whole", 20, 2*time.Second)
	first := r.diskInstance(zones[int(r.seed)%len(zones)])
	first.kill()
	if err := os.RemoveAll(first.dataFolder); err != nil {
		r.fatalf("remove the data folder: %v", err)
	}
	b.submit("lost", 20, 2*time.Second)
	r.restart(first)
	// The group tolerates the loss of a second instance only after the repaired one
	// has become a voter, which the leader logs.
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

// regionRefusalLimit bounds the time in which an instance that is cut off refuses a
// request: its search for a leader and one call.
const regionRefusalLimit = 4 * time.Second

// regionZoneCut cuts off the leader's zone. The other zones keep working. An instance
// in the zone refuses requests within regionRefusalLimit, and a job that it refused
// with no_leader, which promises that the request was not executed, is unknown
// afterwards.
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
