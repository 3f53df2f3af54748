package main

import (
	"fmt"
	"time"
)

// routeRemoved: a desired state removes a route, and the next one adds it again as it was. Meanwhile a run
// of an accepted job ends as failed, for the third time of four that the route allows.
func routeRemoved(rec *record, trouble bool) error {
	const maxAttempts = 4 // of nest-plan
	d, j, err := startSmall(rec, jptfaSched, 8, desiredState(jptfaSched, 1, maxAttempts))
	if err != nil {
		return err
	}
	defer d.close()
	c := newConsumer(rec)
	const (
		id   = "5c0e7a21d94b36f8"
		path = "/nest/" + id
		task = id + ".0.0.0"
		// The first three runs end as failed, each after its work.
		job = `{"task_spec":"plan work_ms=3000 failures=3","steps":[{"count":1,"cpu":5600,"mem_mb":16000,"gpu":1,"estimate_ms":3000}]}`
	)
	// Runs that end as done, so that the three that fail are no larger share than the site's error_share.
	const (
		others     = "00a1b2c3d4e5f607"
		otherUnits = 64
	)
	body := fmt.Sprintf(`{"task_spec":"plan work_ms=400","steps":[{"count":%d,"cpu":5600,"mem_mb":16000,"gpu":1,"estimate_ms":400}]}`, otherUnits)
	if !c.submit(d.entry, "/nest/"+others, body) || !waitFor(20*time.Second, func() bool { return c.state(d.entry[0], "/nest/"+others) == "completed" }) {
		return notRun("the other job did not complete")
	}
	if !c.submit(d.entry, path, job) {
		return notRun("the job was not accepted")
	}
	if !waitFor(30*time.Second, func() bool { return len(j.of(id)) == 3 && d.where(task) != nil }) {
		return notRun("the third run was not started")
	}
	if trouble {
		if err := d.publish(stateOf(jptfaSched, 4, keepRoute(jptfaSched))); err != nil {
			return err
		}
	}
	if !waitFor(10*time.Second, func() bool { s := j.of(id); return s[2].how == "failed" }) {
		return notRun("the third run did not end as failed")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := d.publish(desiredState(jptfaSched, 7, maxAttempts)); err != nil {
			return err
		}
	}
	shown := ""
	for began := time.Now(); time.Since(began) < 20*time.Second && shown != "completed" && shown != "failed"; time.Sleep(500 * time.Millisecond) {
		shown = c.state(d.entry[1], path)
	}
	failed := 0
	for _, s := range j.of(id) {
		rec.printf("run %d on %s: %s to %s, %s", s.run, s.worker, rec.at(s.began), rec.at(s.end), s.how)
		if s.how == "failed" {
			failed++
		}
	}
	if shown != "completed" {
		return broken("LOST: the job is shown as %q after %d failed runs; its route allows %d", shown, failed, maxAttempts)
	}
	return nil
}
