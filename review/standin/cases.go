package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the sheets of the small deployments.
const (
	finishTime = 14 * time.Second // finish_s
	idleTime   = 3 * time.Second  // for which a job may have nothing running
)

// observeTime is the time after the traffic for which a job is observed. A job that is to end has
// ended long before.
const observeTime = 40 * time.Second

var (
	routes = []route{{"r-die", "/die/", 0, false}, {"r-sim", "/sim/", 1, false}, {"r-nest", "/nest/", 2, false}}
	north  = tenant{"north", 8}
	south  = tenant{"south", 16}
	west   = tenant{"west", 0}
)

// specialKind is the kind of the special workers of prepare.
const specialKind = "b"

// prepare starts workers of 8 accelerators, of which some are of specialKind, and puts the first
// desired state in force.
func prepare(d *deployment, workers, special int) (*client, error) {
	for i := range workers {
		w := d.addWorker(service, 8)
		if i >= workers-special {
			w.kind = specialKind
		}
		if err := w.startLife(0); err != nil {
			return nil, err
		}
	}
	c := newClient(d)
	if err := c.publish(1, routes, []tenant{north, south, west}); err != nil {
		return nil, err
	}
	ready := waitFor(20*time.Second, func() bool {
		status, _ := c.do(http.MethodGet, fmt.Sprintf("http://%s:%d/ready", d.instanceIP(controlCount), readinessPort), "", nil)
		return status == http.StatusOK
	})
	if !ready {
		return nil, fmt.Errorf("the entry instance is not ready")
	}
	// The workers' first reports have been taken by now; lead_s is 10 s in the small deployments.
	time.Sleep(5 * time.Second)
	return c, nil
}

// workerOf returns the worker on which a job's only unit was started first.
func (d *deployment) workerOf(job string) (*worker, error) {
	if !waitFor(10*time.Second, func() bool { return len(d.registry.starts(job)) > 0 }) {
		return nil, fmt.Errorf("job %s was not started", job)
	}
	id := d.registry.starts(job)[0].worker
	for _, w := range d.workers {
		if w.id == id && !w.foreign {
			return w, nil
		}
	}
	return nil, fmt.Errorf("worker %s is not known", id)
}

// foreignReport judges TWICE. A status report of another system arrives: it has the id of a
// worker at work, and names a service that no desired state names.
func foreignReport(d *deployment, trouble bool) (verdict, error) {
	c, err := prepare(d, 4, 0)
	if err != nil {
		return verdict{}, err
	}
	j := &jobSpec{id: "00000000000000a1", work: 12 * time.Second}
	if err := c.submit("/nest/", west.name, j, step{Count: 1, CPU: 8000, MemMB: 16000, GPU: 8, EstimateMS: 12000}); err != nil {
		return verdict{}, err
	}
	victim, err := d.workerOf(j.id)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		other := d.addWorker("weld-line", 8)
		other.id, other.foreign = victim.id, true
		if err := other.startLife(-1); err != nil {
			return verdict{}, err
		}
		client := &http.Client{Timeout: time.Second}
		taken := other.sendReport(client, d.controlAddress(0), other.reportBody(1))
		d.rec.printf("report   one status report of worker %s of service weld-line was sent; acknowledged: %t", other.id, taken)
	}
	waitFor(30*time.Second, func() bool {
		return len(d.registry.overlapping()) > 0 || len(d.registry.ends(j.id, "done")) > 0
	})
	time.Sleep(2 * time.Second)
	c.state("/nest/", west.name, j.id)
	if o := d.registry.overlapping(); len(o) > 0 && victim.isUp() {
		return verdict{"TWICE: unit " + strings.Join(o, "; ")}, nil
	}
	return verdict{}, nil
}

// judgeFinish judges LOST for a job of which one unit's turn has come, while the other workers are
// idle: finishTime after the traffic it may not have nothing running for idleTime.
func (d *deployment) judgeFinish(c *client, prefix, tenant string, j *jobSpec, limit time.Duration) verdict {
	began := time.Now()
	idleSince := time.Time{}
	worst := time.Duration(0)
	for time.Since(began) < limit {
		time.Sleep(250 * time.Millisecond)
		running := false
		for _, w := range d.workers {
			running = running || w.runsAny(j.id)
		}
		if status, state := c.quietState(prefix, tenant, j.id); status == http.StatusOK && state == "completed" {
			c.state(prefix, tenant, j.id)
			return verdict{}
		}
		switch {
		case running || time.Since(began) < finishTime:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		default:
			worst = max(worst, time.Since(idleSince))
		}
	}
	status, state := c.state(prefix, tenant, j.id)
	if worst >= idleTime {
		return verdict{fmt.Sprintf("LOST: %s after the traffic nothing of job %s had been running for %.1f s, though its workers were idle; its state: %d %s",
			limit, j.id, worst.Seconds(), status, state)}
	}
	return verdict{}
}

// gangBlocks judges LOST. A gang needs all workers, and a lasting unit has an accelerator of one of them.
// Jobs of lower priority come after it.
func gangBlocks(d *deployment, trouble bool) (verdict, error) {
	c, err := prepare(d, 4, 0)
	if err != nil {
		return verdict{}, err
	}
	lasting := &jobSpec{id: "00000000000000b2"}
	if err := c.submit("/sim/", west.name, lasting, step{Count: 1, CPU: 5600, MemMB: 16000, GPU: 1, LongRunning: true}); err != nil {
		return verdict{}, err
	}
	if _, err := d.workerOf(lasting.id); err != nil {
		return verdict{}, err
	}
	if trouble {
		gang := &jobSpec{id: "00000000000000b3", work: 8500 * time.Millisecond}
		if err := c.submit("/sim/", west.name, gang, step{Count: 4, CPU: 26000, MemMB: 140000, GPU: 8, EstimateMS: 8500, Gang: true}); err != nil {
			return verdict{}, err
		}
		time.Sleep(time.Second)
	}
	j := &jobSpec{id: "00000000000000b4", work: 5 * time.Second}
	if err := c.submit("/nest/", south.name, j, step{Count: 1, CPU: 5600, MemMB: 16000, GPU: 1, EstimateMS: 5000}); err != nil {
		return verdict{}, err
	}
	return d.judgeFinish(c, "/nest/", south.name, j, observeTime), nil
}

// oddReason judges Fault. A worker of eight fails its requests for greyTime, twice: it refuses starts
// with a reason that the pages don't name.
func oddReason(d *deployment, trouble bool) (verdict, error) {
	const (
		greyTime = 6500 * time.Millisecond
		text     = `unit needs more "gpu" than is left`
	)
	c, err := prepare(d, 8, 1)
	if err != nil {
		return verdict{}, err
	}
	grey := d.workers[7]
	long := &jobSpec{id: "00000000000000f2", work: 25 * time.Second}
	if err := c.submit("/sim/", south.name, long, step{Count: 1, CPU: 26000, MemMB: 140000, GPU: 8, EstimateMS: 25000}); err != nil {
		return verdict{}, err
	}
	if _, err := d.workerOf(long.id); err != nil {
		return verdict{}, err
	}
	for i := range 2 {
		if trouble {
			grey.oddReason.Store(text)
		}
		j := &jobSpec{id: fmt.Sprintf("00000000000000f%d", 3+i), work: 5 * time.Second}
		if err := c.submit("/nest/", west.name, j, step{Count: 1, CPU: 5600, MemMB: 16000, GPU: 4, EstimateMS: 5000, Label: specialKind}); err != nil {
			return verdict{}, err
		}
		time.Sleep(greyTime)
		grey.oddReason.Store("")
		time.Sleep(5 * time.Second)
	}
	time.Sleep(finishTime)
	c.state("/sim/", south.name, long.id)
	ends := []string{}
	many := 0
	for _, p := range d.processes[:controlCount] {
		ends = append(ends, fmt.Sprintf("%s %d", p.name, p.ownEnds()))
		if p.ownEnds() >= 3 {
			many++
		}
	}
	d.rec.printf("own ends %s", strings.Join(ends, ", "))
	if 2*many > controlCount {
		return verdict{"Fault: control processes ended by themselves: " + strings.Join(ends, ", ")}, nil
	}
	return verdict{}, nil
}

// manyEnds judges TWICE. A worker is cut off and runs on; meanwhile more of its runs are done than one
// report lists.
func manyEnds(d *deployment, trouble bool) (verdict, error) {
	const (
		jobCount = 7
		units    = 90
		cutTime  = 5500 * time.Millisecond
	)
	c, err := prepare(d, 8, 0)
	if err != nil {
		return verdict{}, err
	}
	started := func() (n int) {
		for i := range jobCount {
			n += len(d.registry.starts(fmt.Sprintf("0000000000000b%02d", i)))
		}
		return n
	}
	for i := range jobCount {
		// The ends are spread over seconds, so that reports are short without the cut.
		work := 3500*time.Millisecond + time.Duration(i)*250*time.Millisecond
		j := &jobSpec{id: fmt.Sprintf("0000000000000b%02d", i), work: work}
		if err := c.submit("/nest/", west.name, j, step{Count: units, CPU: 100, MemMB: 100, EstimateMS: 4000}); err != nil {
			return verdict{}, err
		}
	}
	if !waitFor(3*time.Second, func() bool { return started() == jobCount*units }) {
		return verdict{}, fmt.Errorf("%d of %d units were started in time", started(), jobCount*units)
	}
	w, err := d.workerOf("0000000000000b00")
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		d.rec.printf("cut      %s is cut off", w.id)
		w.cut.Store(true)
		time.Sleep(cutTime)
		w.cut.Store(false)
		d.rec.printf("cut      %s can be reached again", w.id)
	}
	waitFor(30*time.Second, func() bool {
		_, state := c.quietState("/nest/", west.name, fmt.Sprintf("0000000000000b%02d", jobCount-1))
		return state == "completed"
	})
	time.Sleep(6 * time.Second)
	again := d.registry.startsAfterDone()
	d.rec.printf("starts   %d for %d units, %d of them after a run had ended done", started(), jobCount*units, len(again))
	if len(again) > 0 {
		return verdict{fmt.Sprintf("TWICE: %d work units were started again after a run of them had ended done, for example: %s", len(again), again[0])}, nil
	}
	return verdict{}, nil
}
