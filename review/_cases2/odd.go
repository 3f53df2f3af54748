package main

import (
	"encoding/json"
	"time"
)

// oddReport: another writer sends status reports under the id of a worker in use. Fields are missing in them,
// so they name no worker to use, and the worker's own reports hold. The job that runs there has to complete.
func oddReport(rec *record, trouble bool) error {
	d, j, err := startSmall(rec, jptfaSched, 8, desiredState(jptfaSched, 1, 4))
	if err != nil {
		return err
	}
	defer d.close()
	c := newConsumer(rec)
	const id = "5c0e7a21d94b36f8"
	if !c.submit(d.entry, "/nest/"+id, `{"task_spec":"plan work_ms=9000","steps":[{"count":1,"cpu":5600,"mem_mb":16000,"gpu":1,"estimate_ms":8000}]}`) {
		return notRun("the job was not accepted")
	}
	var w *worker
	if !waitFor(10*time.Second, func() bool { w = d.where(id + ".0.0.0"); return w != nil }) {
		return notRun("the work unit was not started")
	}
	time.Sleep(2 * time.Second)
	ended := make(chan struct{})
	defer close(ended)
	if trouble {
		go otherWriter(rec, d, w, ended)
	}
	const limit = 60 * time.Second
	began := time.Now()
	state := ""
	for time.Since(began) < limit {
		if state = c.state(d.entry[1], "/nest/"+id); state == "completed" {
			return nil
		}
		time.Sleep(2 * time.Second)
	}
	for _, s := range j.of(id) {
		rec.printf("run %d on %s: %s to %s, %s", s.run, s.worker, rec.at(s.began), rec.at(s.end), s.how)
	}
	return broken("LOST: %v after the report of the other writer the job is %s; %d runs were begun, none is in progress, %d workers are idle", limit, state, len(j.of(id)), d.idle())
}

// otherWriter sends status reports under the id of a worker until ended is closed. They lack version,
// slots, zone, sequence, labels and cold_remaining_ms.
func otherWriter(rec *record, d *deployment, w *worker, ended chan struct{}) {
	body, _ := json.Marshal(map[string]any{
		"service": d.site.service, "address": w.advertise, "state": "ready", "born": time.Now().UnixMilli(),
		"capacity": map[string]int{"cpu": d.site.cpu, "mem_mb": d.site.memMB, "gpu": gpus},
	})
	for i := 0; ; i++ {
		rec.printf("another writer sends POST /instances/%s/heartbeat %s", w.id, body)
		status, answer := send("POST", d.control[i%3].controlAddress(), "/instances/"+w.id+"/heartbeat", nil, string(body), time.Second)
		rec.printf("another writer gets %d %s", status, answer)
		select {
		case <-ended:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}
