package main

import (
	"fmt"
	"time"
)

// failedOnce: the only run of a work unit ends as failed on the only worker with its label that has room; the
// other worker with the label is taken by a unit that lasts. The unit has to run again.
func failedOnce(rec *record, trouble bool) error {
	d, j, err := startSmall(rec, jptfaSched, 10, desiredState(jptfaSched, 1, 4))
	if err != nil {
		return err
	}
	defer d.close()
	for range 2 {
		w := d.newWorker(j)
		w.kind = "b"
		if err := w.start(); err != nil {
			return err
		}
	}
	if err := d.waitAcknowledged(); err != nil {
		return err
	}
	c := newConsumer(rec)
	const (
		id   = "5c0e7a21d94b36f8"
		full = `{"task_spec":"serve","steps":[{"count":1,"cpu":26000,"mem_mb":140000,"gpu":8,"estimate_ms":1000,"required_label":"b","long_running":true}]}`
	)
	if !c.submit(d.entry, "/keep/00a1b2c3d4e5f607", full) || !waitFor(10*time.Second, func() bool { return d.where("00a1b2c3d4e5f607.0.0.0") != nil }) {
		return notRun("the lasting job does not run")
	}
	failures := 0
	if trouble {
		failures = 1
	}
	job := fmt.Sprintf(`{"task_spec":"plan work_ms=2000 failures=%d","steps":[{"count":1,"cpu":5600,"mem_mb":16000,"gpu":1,"estimate_ms":2000,"required_label":"b"}]}`, failures)
	if !c.submit(d.entry, "/nest/"+id, job) {
		return notRun("the job was not accepted")
	}
	const limit = 30 * time.Second
	state := ""
	for began := time.Now(); time.Since(began) < limit; time.Sleep(2 * time.Second) {
		if state = c.state(d.entry[1], "/nest/"+id); state == "completed" {
			return nil
		}
	}
	spans := j.of(id)
	for _, s := range spans {
		rec.printf("run %d on %s: %s to %s, %s", s.run, s.worker, rec.at(s.began), rec.at(s.end), s.how)
	}
	return broken("LOST: %v after it was accepted, the job is %s after %d run that ended as failed; its route allows 4, and the worker of that run is idle", limit, state, len(spans))
}
