package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// cases holds the cases by name. Each reports whether its rule held.
var cases = map[string]func(*deployment) bool{
	"crashes":  playCrashes,
	"twolives": playTwoLives,
	"gone":     playGone,
	"host":     playHost,
	"pending":  playPending,
	"renamed":  playRenamed,
	"suspend":  playSuspend,
	"moved":    playMoved,
	"longunit": playLongUnit,
}

// begin publishes the first desired state and waits for the workers.
func (d *deployment) begin(workers int) {
	d.publish(1, route("r-ce7ejsm", hostName, queuePath))
	d.addWorkers(workers)
	time.Sleep(3 * time.Second)
}

// job returns the body of a job with one step.
func job(count, gpus, workMS, estimateMS int) string {
	return fmt.Sprintf(`{"task_spec":"work_ms=%d","steps":[{"count":%d,"cpu":13000,"mem_mb":70000,"gpu":%d,"estimate_ms":%d}]}`, workMS, count, gpus, estimateMS)
}

// playCrashes: the worker that has just taken a job's only work unit crashes, twice. Each time it is back
// after a second under its id. No run ends as failed. The first job ends by itself, the second one lasts.
func playCrashes(d *deployment) bool {
	d.begin(8)
	const once, lasting = "5c0e7a21d94b36f8", "6d1f8b32ea5c4709"
	d.submit(once, job(1, 8, 8500, 8500))
	d.crashTwice(once)
	ended := d.awaitEnd(once, 40*time.Second)
	d.submit(lasting, `{"task_spec":"work_ms=0","steps":[{"count":1,"cpu":13000,"mem_mb":70000,"gpu":8,"estimate_ms":1000,"long_running":true}]}`)
	d.crashTwice(lasting)
	lasts := d.awaitEnd(lasting, 10*time.Second)
	for _, id := range []string{once, lasting} {
		for _, r := range d.runsOf(id) {
			if r.ended == "failed" {
				notRun("a run has ended as failed")
			}
		}
	}
	d.note("the first job is shown as %q, the lasting one as %q; no run has ended as failed, max_attempts is 3", ended, lasts)
	if ended == "" || lasts == "" {
		notRun("no answer")
	}
	return ended != "failed" && lasts != "failed"
}

// crashTwice crashes the worker that has just begun a run of a job, twice. Without the disruption it waits
// for the run.
func (d *deployment) crashTwice(id string) {
	after := d.began
	for range 2 {
		r := d.awaitRun(id, after, 20*time.Second)
		if r == nil {
			notRun("the work unit was not started")
		}
		if !d.trouble {
			return
		}
		after = r.begunAt
		time.Sleep(150 * time.Millisecond)
		w := d.worker(r.worker)
		w.kill()
		time.Sleep(time.Second)
		w.start()
	}
}

// awaitEnd asks for a job until it has ended or the time is up, and returns the last state.
func (d *deployment) awaitEnd(id string, limit time.Duration) string {
	state := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if state = d.state(id); state == "failed" || state == "completed" {
			break
		}
	}
	return state
}

// finish is finish_s: the time after the end of the traffic from which on a job may not lie idle.
const finish = 14 * time.Second

// idleTime is the time for which a job must have nothing running to count as lost.
const idleTime = 3 * time.Second

// liesIdle asks for a job from finish after the end of the traffic on, until it has been without a run
// for idleTime although it has not ended, or until it has ended or the time is up.
func (d *deployment) liesIdle(id string, trafficEnd time.Time, until time.Duration) bool {
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	idleSince := time.Now()
	for time.Since(d.began) < until {
		running := false
		for _, r := range d.runsOf(id) {
			running = running || r.ended == ""
		}
		state := d.state(id)
		switch {
		case state == "completed":
			return false
		case running || state == "":
			idleSince = time.Now()
		case time.Since(idleSince) > idleTime:
			d.note("the job is shown as %q and has had nothing running for %.1f s", state, time.Since(idleSince).Seconds())
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// playTwoLives: the control machine that leads loses power for 3.5 s, and a worker of its zone crashes. The
// worker starts again under its id and is lost for good before its first status report is confirmed.
func playTwoLives(d *deployment) bool {
	d.begin(9)
	const id = "3fa57590b897d450"
	d.submit(id, job(9, 8, 8000, 8000)) // one work unit for each worker
	time.Sleep(1500 * time.Millisecond)
	leader := d.leader()
	if d.trouble {
		w := d.workerBeside(id, leader)
		d.note("%s leads and loses power", leader.name)
		leader.front.setDark(true)
		leader.kill()
		w.kill()
		time.Sleep(500 * time.Millisecond)
		w.start()
		time.Sleep(950 * time.Millisecond)
		w.kill()
		time.Sleep(2 * time.Second)
		leader.start(false)
		leader.front.setDark(false)
	}
	// The lease of the lost worker ends within maxHold; the traffic goes on for as long.
	time.Sleep(maxHold)
	lost := d.liesIdle(id, time.Now(), 60*time.Second)
	if lost { // shows that it does not go on by itself
		for time.Since(d.began) < 65*time.Second {
			time.Sleep(5 * time.Second)
			if d.state(id) == "completed" {
				break
			}
		}
	}
	return !lost
}

// workerBeside returns a worker with a work unit of a job in the zone of a control instance.
func (d *deployment) workerBeside(id string, c *instance) *workerProcess {
	for _, r := range d.runsOf(id) {
		if w := d.worker(r.worker); r.ended == "" && d.controls[w.zoneIndex] == c {
			return w
		}
	}
	notRun("no work unit runs in the zone of %s", c.name)
	return nil
}

// playGone: four workers are lost for good, one after the other, each just after it has taken a job's
// only work unit.
func playGone(d *deployment) bool {
	d.begin(30)
	const id = "d108dafe411cc534"
	d.submit(id, job(1, 8, 4000, 4000))
	after := d.began
	for i := range 4 {
		r := d.awaitRun(id, after, 25*time.Second)
		if r == nil {
			notRun("the work unit was not started")
		}
		after = r.begunAt
		if !d.trouble {
			break
		}
		time.Sleep(150 * time.Millisecond)
		d.worker(r.worker).kill()
		d.note("%d workers are lost", i+1)
	}
	return !d.liesIdle(id, time.Now(), 110*time.Second)
}

// playHost: a desired state adds a route whose host has a capital letter.
func playHost(d *deployment) bool {
	d.begin(3)
	host := "ficu95.example"
	if d.trouble {
		host = "Ficu95.example"
	}
	d.publish(2, route("r-ce7ejsm", hostName, queuePath)+","+route("r-zzyyjsg", host, "/pufi791/"))
	time.Sleep(2500 * time.Millisecond) // config_apply_ms is 2,000
	held := true
	for i, e := range d.entries {
		path := fmt.Sprintf("/pufi791/%016x", 0x5c0e7a21d94b3600+i)
		status, reply := d.call("POST", e.address(portCaller), path, host, keyText, job(1, 1, 500, 500))
		d.note("POST %s, Host: %s, to %s: %d %s", path, host, e.name, status, reply)
		if status == 404 {
			held = false
		}
	}
	return held
}

// playPending: three workers of 24 are lost for good, and just after that 24 jobs come, one for each worker.
func playPending(d *deployment) bool {
	d.begin(24)
	if d.trouble {
		for _, i := range []int{3, 10, 17} {
			d.workers[i].kill()
		}
	}
	accepted := map[string]time.Time{}
	for i := range 24 {
		id := fmt.Sprintf("%016x", 0x5c0e7a21d94b3600+i)
		d.submit(id, job(1, 8, 25000, 25000))
		accepted[id] = time.Now()
	}
	const visible = 3 * time.Second // visible_ms
	held := true
	for range 40 {
		time.Sleep(200 * time.Millisecond)
		asked := time.Now()
		status, reply := d.call(http.MethodGet, d.entries[0].address(portCaller), queuePath, hostName, keyText, "")
		var out struct {
			Pending int `json:"pending"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(reply), &out) != nil {
			continue
		}
		waiting := 0
		for id, at := range accepted {
			if len(d.runsOf(id)) == 0 && asked.Sub(at) > visible+2*time.Second {
				waiting++
			}
		}
		d.note("GET %s: %d %s; jobs accepted over 5 s before that have not begun: %d", queuePath, status, reply, waiting)
		if 2*out.Pending < waiting {
			held = false
		}
	}
	return held
}

// playRenamed: a desired state gives the tenant another name. Its key and all else stay as they are.
func playRenamed(d *deployment) bool {
	d.begin(3)
	const id = "7c1e50aa93d2b684"
	d.submit(id, job(1, 1, 20000, 20000))
	d.state(id)
	if d.trouble {
		d.tenant = "kaje81"
	}
	d.publish(2, route("r-ce7ejsm", hostName, queuePath))
	time.Sleep(4 * time.Second) // visible_ms is 3,000
	held := true
	for range 2 {
		for _, e := range d.entries {
			status, reply := d.call(http.MethodGet, e.address(portCaller), queuePath+id, hostName, keyText, "")
			d.note("GET %s at %s: %d %s", queuePath+id, e.name, status, reply)
			if status == http.StatusGone {
				held = false
			}
		}
		time.Sleep(time.Second)
	}
	status, reply := d.call(http.MethodPost, d.entries[0].address(portCaller), queuePath+id, hostName, keyText, job(1, 1, 20000, 20000))
	d.note("the same POST again: %d %s", status, reply)
	return held
}

// playMoved: a desired state gives a route another path prefix, under the same name, while the first of two steps
// of a job is at work.
func playMoved(d *deployment) bool {
	d.begin(6)
	const id, newPath = "9e27d5a4c3b81f60", "/lohu931/"
	d.submit(id, `{"task_spec":"work_ms=4000","steps":[{"count":1,"cpu":13000,"mem_mb":70000,"gpu":8,"estimate_ms":4000},`+
		`{"count":1,"cpu":13000,"mem_mb":70000,"gpu":8,"estimate_ms":4000,"depends_on":[0]}]}`)
	time.Sleep(time.Second)
	if d.trouble {
		d.publish(2, route("r-ce7ejsm", hostName, newPath))
		d.path = newPath
	} else {
		d.publish(2, route("r-ce7ejsm", hostName, queuePath))
	}
	lost := d.liesIdle(id, time.Now().Add(8*time.Second), 60*time.Second)
	if lost { // shows that it does not go on by itself
		time.Sleep(20 * time.Second)
		d.state(id)
		d.submit("0e27d5a4c3b81f61", job(1, 8, 500, 500)) // a new job of the route
		time.Sleep(2 * time.Second)
		d.state("0e27d5a4c3b81f61")
		d.state(id)
	}
	return !lost
}

// playSuspend: the only worker of a kind fails all that it starts for 6.5 s. Some twenty seconds later each of the
// two lasting jobs that need the kind fails once, 3 s apart, as work units do at any time.
func playSuspend(d *deployment) bool {
	d.special = 1
	d.begin(12)
	w := d.workers[0]
	jobs := []string{"1a2b3c4d5e6f7081", "2a2b3c4d5e6f7082"}
	for _, id := range jobs {
		d.submit(id, `{"task_spec":"work_ms=0","steps":[{"count":1,"cpu":3700,"mem_mb":11000,"gpu":1,"estimate_ms":1000,"required_label":"b","long_running":true}]}`)
	}
	time.Sleep(3 * time.Second)
	if d.trouble {
		w.signal(syscall.SIGUSR1, "fails all that it starts")
		time.Sleep(6500 * time.Millisecond)
		w.signal(syscall.SIGUSR2, "is sound again")
	}
	time.Sleep(18 * time.Second)
	for _, id := range jobs {
		if r := d.awaitRun(id, d.began, 15*time.Second); r == nil {
			notRun("a lasting job is not at work")
		}
	}
	w.signal(syscall.SIGHUP, "fails one run")
	time.Sleep(3 * time.Second)
	w.signal(syscall.SIGHUP, "fails another run")
	time.Sleep(20 * time.Millisecond)
	last := time.Now()
	var id string // the job whose run has just failed
	for _, j := range jobs {
		if d.awaitRun(j, d.began, time.Millisecond) == nil {
			id = j
		}
	}
	if id == "" || !d.trouble && d.awaitRun(id, last, 5*time.Second) == nil {
		notRun("no run has failed, or it is not started again")
	}
	r := d.awaitRun(id, last, 14*time.Second)
	if r == nil {
		return false
	}
	idle := r.begunAt.Sub(last)
	d.note("%s is at work again %.1f s after its last run", id, idle.Seconds())
	return idle < lastingPause+idleTime
}

// lastingPause is the time after the last run of a lasting work unit from which on it may not lie idle.
const lastingPause = 6 * time.Second

// playLongUnit: a work unit takes an hour, as its estimate says. It is no case, as no rule names it: the unit is
// stopped as stalled and started again every 6 s, because its progress stays at one percent for 36 s.
func playLongUnit(d *deployment) bool {
	d.begin(3)
	const id = "8d40c6b7e1f52a93"
	work := 3_600_000
	if !d.trouble {
		work = 100_000
	}
	d.submit(id, job(1, 8, work, work))
	time.Sleep(45 * time.Second)
	return len(d.runsOf(id)) == 1
}
