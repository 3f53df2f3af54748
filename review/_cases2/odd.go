package main

import (
	"encoding/json"
	"time"
)

// oddReport: another writer sends one status report under the id of a worker at work. Fields are missing in
// it, so it names no worker to use, and the worker's own reports hold. The address in it is that of the other
// writer's own server, which is up. The unit that is at work must not run a second time.
func oddReport(rec *record, trouble bool) error {
	d, j, err := startSmall(rec, jptfaSched, 8, desiredState(jptfaSched, 1, 4))
	if err != nil {
		return err
	}
	defer d.close()
	c := newConsumer(rec)
	const (
		id  = "5c0e7a21d94b36f8"
		job = `{"task_spec":"plan work_ms=9000","steps":[{"count":1,"cpu":5600,"mem_mb":16000,"gpu":1,"estimate_ms":8000}]}`
	)
	if !c.submit(d.entry, "/nest/"+id, job) {
		return notRun("the job was not accepted")
	}
	var w *worker
	if !waitFor(10*time.Second, func() bool { w = d.where(id + ".0.0.0"); return w != nil }) {
		return notRun("the work unit was not started")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		other := d.newWorker(j)
		other.id, other.silent = w.id, true
		if err := other.start(); err != nil {
			return err
		}
		other.reportOddly()
	}
	time.Sleep(15 * time.Second)
	return judgeTwice(rec, c, d, j, id)
}

// reportOddly sends one status report without zone, version, slots, cold_remaining_ms, sequence, labels and
// clock_ms. It goes to the next control instance after a 5xx or no answer.
func (w *worker) reportOddly() {
	body, _ := json.Marshal(map[string]any{
		"service": w.d.site.service, "address": w.advertise, "state": "ready", "born": w.born,
		"capacity": map[string]int{"cpu": w.d.site.cpu, "mem_mb": w.d.site.memMB, "gpu": gpus},
	})
	for i := range w.d.control {
		w.d.rec.printf("another writer sends POST /instances/%s/heartbeat %s", w.id, body)
		status, answer := send("POST", w.d.control[i].controlAddress(), "/instances/"+w.id+"/heartbeat", nil, string(body), time.Second)
		w.d.rec.printf("another writer gets %d %s", status, answer)
		if status != 0 && status < 500 {
			return
		}
	}
}
