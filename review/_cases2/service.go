package main

import "time"

// otherService: a worker crashes and starts again under its id, as a worker of a service that no desired
// state names. Its reports name no worker to use. What ran there is gone and has to run again elsewhere.
func otherService(rec *record, trouble bool) error {
	d, j, err := startSmall(rec, birlikDues, 8, desiredState(birlikDues, 1, 3))
	if err != nil {
		return err
	}
	defer d.close()
	c := newConsumer(rec)
	const (
		id  = "5c0e7a21d94b36f8"
		job = `{"task_spec":"plan work_ms=9000","steps":[{"count":1,"cpu":2800,"mem_mb":8000,"gpu":1,"estimate_ms":8000}]}`
	)
	if !c.submit(d.entry, "/nest/"+id, job) {
		return notRun("the job was not accepted")
	}
	var w *worker
	if !waitFor(10*time.Second, func() bool { w = d.where(id + ".0.0.0"); return w != nil }) {
		return notRun("the work unit was not started")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.crash()
		time.Sleep(crashTime)
		w.service = "rolls-archive"
		if err := w.start(); err != nil {
			return err
		}
	}
	const limit = 45 * time.Second
	state := ""
	for began := time.Now(); time.Since(began) < limit; time.Sleep(2 * time.Second) {
		if state = c.state(d.entry[1], "/nest/"+id); state == "completed" {
			return nil
		}
	}
	rec.printf("the job is %s; %d runs were begun; %d workers of its service are idle", state, len(j.of(id)), d.idle()-1)
	return broken("LOST: %v after its worker was back, the job is %s; nothing of it runs, and %d workers of its service are idle", limit, state, d.idle()-1)
}
