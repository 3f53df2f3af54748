package main

// Plays of further faults, which REPORT.md names. They have no folder of their own, as there are five cases
// at most.

import (
	"fmt"
	"net/http"
	"time"
)

// reclaimTime is reclaim_ms of the sheet.
const reclaimTime = 3400 * time.Millisecond

// crashThenGone judges LOST. A worker crashes, starts again under its id, and is lost for good before
// its first status report is due.
func crashThenGone(d *deployment, trouble bool) (verdict, error) {
	c, err := prepare(d, 4, 0)
	if err != nil {
		return verdict{}, err
	}
	j := &jobSpec{id: "00000000000000b1", work: 8 * time.Second}
	if err := c.submit("/nest/", west.name, j, step{Count: 1, CPU: 8000, MemMB: 16000, GPU: 8, EstimateMS: 8000}); err != nil {
		return verdict{}, err
	}
	w, err := d.workerOf(j.id)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.crash()
		time.Sleep(800 * time.Millisecond)
		if err := w.startLife(heartbeatInterval); err != nil {
			return verdict{}, err
		}
		time.Sleep(1400 * time.Millisecond)
		w.crash()
	}
	return d.judgeFinish(c, "/nest/", west.name, j, 45*time.Second), nil
}

// removedRoute judges LOST. A desired state removes the route of a job that was accepted and is at work.
func removedRoute(d *deployment, trouble bool) (verdict, error) {
	c, err := prepare(d, 4, 0)
	if err != nil {
		return verdict{}, err
	}
	j := &jobSpec{id: "00000000000000f1", work: 5 * time.Second}
	first := step{Count: 1, CPU: 5600, MemMB: 16000, GPU: 1, EstimateMS: 5000}
	second := first
	second.DependsOn = []int{0}
	if err := c.submit("/nest/", west.name, j, first, second); err != nil {
		return verdict{}, err
	}
	if _, err := d.workerOf(j.id); err != nil {
		return verdict{}, err
	}
	kept := routes
	if trouble {
		kept = routes[:2]
	}
	if err := c.publish(2, kept, []tenant{north, south, west}); err != nil {
		return verdict{}, err
	}
	v := d.judgeFinish(c, "/nest/", west.name, j, observeTime)
	if err := c.publish(3, routes, []tenant{north, south, west}); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	c.state("/nest/", west.name, j.id)
	return v, nil
}

// failedOnce judges LOST. A run of a unit fails on the only worker that has room for the unit. Two of
// the eight workers are of the kind that it requires, and a lasting unit fills most of the other one.
func failedOnce(d *deployment, trouble bool) (verdict, error) {
	c, err := prepare(d, 8, 2)
	if err != nil {
		return verdict{}, err
	}
	lasting := &jobSpec{id: "00000000000000c2"}
	if err := c.submit("/sim/", west.name, lasting, step{Count: 1, CPU: 26000, MemMB: 140000, GPU: 5, LongRunning: true, Label: specialKind}); err != nil {
		return verdict{}, err
	}
	if _, err := d.workerOf(lasting.id); err != nil {
		return verdict{}, err
	}
	j := &jobSpec{id: "00000000000000c3", work: 5 * time.Second}
	if trouble {
		j.failures = 1
	}
	if err := c.submit("/nest/", south.name, j, step{Count: 1, CPU: 5600, MemMB: 16000, GPU: 4, EstimateMS: 5000, Label: specialKind}); err != nil {
		return verdict{}, err
	}
	return d.judgeFinish(c, "/nest/", south.name, j, observeTime), nil
}

// bornGoesBack judges LOST. A worker starts while its machine's time of day is ahead; after the time of
// day has jumped back the worker crashes and starts again under its id, with an earlier `born`.
func bornGoesBack(d *deployment, trouble bool) (verdict, error) {
	c, err := prepare(d, 4, 0)
	if err != nil {
		return verdict{}, err
	}
	w := d.addWorker(service, 8)
	w.kind = specialKind
	if trouble {
		w.clockAhead = 2 * time.Second
	}
	if err := w.startLife(0); err != nil {
		return verdict{}, err
	}
	time.Sleep(200 * time.Millisecond)
	j := &jobSpec{id: "00000000000000d2", work: 8 * time.Second}
	if err := c.submit("/nest/", west.name, j, step{Count: 1, CPU: 5600, MemMB: 16000, GPU: 4, EstimateMS: 8000, Label: specialKind}); err != nil {
		return verdict{}, err
	}
	if _, err := d.workerOf(j.id); err != nil {
		return verdict{}, err
	}
	time.Sleep(500 * time.Millisecond)
	w.crash()
	w.clockAhead = 0
	time.Sleep(300 * time.Millisecond)
	if err := w.startLife(0); err != nil {
		return verdict{}, err
	}
	return d.judgeFinish(c, "/nest/", west.name, j, observeTime), nil
}

// flappingWorker judges LOST: a job is shown as failed although no run of it has ended so. The only
// worker with room for the job goes down and up by turns.
func flappingWorker(d *deployment, trouble bool) (verdict, error) {
	c, err := prepare(d, 9, 0)
	if err != nil {
		return verdict{}, err
	}
	lasting := &jobSpec{id: "00000000000000e2"}
	if err := c.submit("/sim/", west.name, lasting, step{Count: 8, CPU: 26000, MemMB: 140000, GPU: 8, LongRunning: true}); err != nil {
		return verdict{}, err
	}
	if !waitFor(5*time.Second, func() bool { return len(d.registry.starts(lasting.id)) == 8 }) {
		return verdict{}, fmt.Errorf("the lasting units were not started")
	}
	j := &jobSpec{id: "00000000000000e3", work: 8 * time.Second}
	if err := c.submit("/sim/", south.name, j, step{Count: 1, CPU: 26000, MemMB: 140000, GPU: 8, EstimateMS: 8000}); err != nil {
		return verdict{}, err
	}
	w, err := d.workerOf(j.id)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	const period = 1100 * time.Millisecond
	for began := time.Now(); trouble && time.Since(began) < 6500*time.Millisecond; {
		w.crash()
		time.Sleep(period / 2)
		if err := w.startLife(0); err != nil {
			return verdict{}, err
		}
		time.Sleep(period / 2)
	}
	final := func() bool {
		_, state := c.quietState("/sim/", south.name, j.id)
		return state == "failed" || state == "completed"
	}
	waitFor(observeTime, final)
	_, state := c.state("/sim/", south.name, j.id)
	if failed := len(d.registry.ends(j.id, "failed")); state == "failed" && failed == 0 {
		return verdict{fmt.Sprintf("LOST: job %s is shown as failed, but none of its %d runs has ended failed", j.id, len(d.registry.starts(j.id)))}, nil
	}
	return verdict{}, nil
}

// foreignCancel judges LOST. A desired state adds a public route, and a caller without a key cancels an id
// there that is in use on another tenant's route.
func foreignCancel(d *deployment, trouble bool) (verdict, error) {
	c, err := prepare(d, 4, 0)
	if err != nil {
		return verdict{}, err
	}
	j := &jobSpec{id: "0000000000000a01", work: 8 * time.Second}
	if err := c.submit("/sim/", south.name, j, step{Count: 1, CPU: 5600, MemMB: 16000, GPU: 4, EstimateMS: 8000}); err != nil {
		return verdict{}, err
	}
	added := append(append([]route{}, routes...), route{"r-open", "/open/", 2, trouble})
	if err := c.publish(2, added, []tenant{north, south, west}); err != nil {
		return verdict{}, err
	}
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		status, data := c.do(method, "http://"+d.entryAddress(1)+"/open/"+j.id, "no-key", nil)
		d.rec.printf("stranger %s /open/%s without a known key: %d %s", method, j.id, status, data)
	}
	time.Sleep(12 * time.Second)
	if status, state := c.state("/sim/", south.name, j.id); state == "cancelled" {
		return verdict{fmt.Sprintf("LOST: job %s of south, which nobody has cancelled on its route, is %d %s", j.id, status, state)}, nil
	}
	return verdict{}, nil
}

// scatteredReclaim judges RECLAIM. A burst of large jobs leaves one accelerator free on each worker.
// The units of one tenant's urgent job are started there, and the job of another tenant needs whole workers.
func scatteredReclaim(d *deployment, trouble bool) (verdict, error) {
	c, err := prepare(d, 4, 0)
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		for i := range 4 {
			j := &jobSpec{id: fmt.Sprintf("00000000000000c%d", i), work: 8500 * time.Millisecond}
			if err := c.submit("/sim/", west.name, j, step{Count: 1, CPU: 26000, MemMB: 140000, GPU: 7, EstimateMS: 8500}); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(time.Second)
	}
	small := &jobSpec{id: "00000000000000d1"}
	if err := c.submit("/die/", north.name, small, step{Count: 4, CPU: 7500, MemMB: 22000, GPU: 1, LongRunning: true}); err != nil {
		return verdict{}, err
	}
	if !waitFor(5*time.Second, func() bool { return len(d.registry.starts(small.id)) == 4 }) {
		return verdict{}, fmt.Errorf("the units of the small job were not started")
	}
	large := &jobSpec{id: "00000000000000e1", work: 2500 * time.Millisecond}
	if err := c.submit("/die/", south.name, large, step{Count: 2, CPU: 7500, MemMB: 22000, GPU: 8, EstimateMS: 2500}); err != nil {
		return verdict{}, err
	}
	accepted := time.Now()
	begun := func() bool { return len(d.registry.starts(large.id)) == 2 }
	if waitFor(reclaimTime, begun) {
		return verdict{}, nil
	}
	waitFor(40*time.Second, begun)
	status, state := c.state("/die/", south.name, large.id)
	return verdict{fmt.Sprintf("RECLAIM: job %s of priority 0 needs 16 of the 16 accelerators that are guaranteed to its tenant; "+
		"%.1f s after it was accepted %d of its 2 units had begun; its state: %d %s",
		large.id, time.Since(accepted).Seconds(), len(d.registry.starts(large.id)), status, state)}, nil
}
