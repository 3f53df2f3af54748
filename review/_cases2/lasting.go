package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	lastingJob  = `{"task_spec":"serve","steps":[{"count":1,"cpu":2000,"mem_mb":1024,"gpu":1,"estimate_ms":1000,"long_running":true}]}`
	lastingID   = "5c0e7a21d94b36f8"
	lastingTask = lastingID + ".0.0.0"
)

const (
	crashWorkers = 48                      // six of them are less than the share of 0.14 that crash at once
	crashTime    = 4500 * time.Millisecond // for which a crashed worker is down
)

// lastingCrash: the worker under a lasting work unit crashes by itself again and again. The unit must
// be started again however it ends, and its job must not be shown as failed.
func lastingCrash(rec *record, trouble bool) error {
	d, _, err := startSmall(rec, birlikDues, crashWorkers, desiredState(birlikDues, 1, 3))
	if err != nil {
		return err
	}
	defer d.close()
	c := newConsumer(rec)
	if !c.submit(d.entry, "/keep/"+lastingID, lastingJob) {
		return notRun("the job was not accepted")
	}
	const (
		crashes = 6
		atWork  = 5 * time.Second
	)
	for n := range crashes {
		var w *worker
		if !waitFor(15*time.Second, func() bool { w = d.where(lastingTask); return w != nil }) {
			if state := c.state(d.entry[n%2], "/keep/"+lastingID); state == "failed" {
				return broken("LOST: the lasting job is shown as failed after %d crashes of workers; no run of it has ended as failed", n)
			}
			return notRun("the lasting work unit is not running")
		}
		time.Sleep(atWork)
		if state := c.state(d.entry[n%2], "/keep/"+lastingID); state != "running" {
			return broken("LOST: the lasting job is shown as %q", state)
		}
		if !trouble {
			continue
		}
		w.crash()
		time.Sleep(crashTime)
		if err := w.start(); err != nil {
			return err
		}
	}
	time.Sleep(12 * time.Second)
	if state := c.state(d.entry[0], "/keep/"+lastingID); state != "running" || d.where(lastingTask) == nil {
		return broken("LOST: the lasting job is shown as %q and does not run", state)
	}
	return nil
}

// state asks for the state of a job.
func (c *consumer) state(in *instance, path string) string {
	for range 5 {
		status, body := c.call(in, "GET", path, "", 3*time.Second)
		switch status {
		case 200:
			_, s, _ := strings.Cut(body, `"state":"`)
			s, _, _ = strings.Cut(s, `"`)
			return s
		case 410:
			return "gone"
		case 404:
			return "no such queue"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "unknown"
}

// lastingTests: the workers under a lasting job of six work units crash together by themselves, and are
// back after 4.5 s, twice. Each of its work units has to run again, whether the others run or not.
func lastingTests(rec *record, trouble bool) error {
	const units = 6
	d, _, err := startSmall(rec, birlikDues, crashWorkers, desiredState(birlikDues, 1, 3))
	if err != nil {
		return err
	}
	defer d.close()
	c := newConsumer(rec)
	job := fmt.Sprintf(`{"task_spec":"serve","steps":[{"count":%d,"cpu":20000,"mem_mb":100000,"gpu":8,"estimate_ms":1000,"long_running":true}]}`, units)
	if !c.submit(d.entry, "/keep/"+lastingID, job) {
		return notRun("the job was not accepted")
	}
	// here returns the workers that run the job.
	here := func() []*worker {
		var out []*worker
		for i := range units {
			if w := d.where(fmt.Sprintf("%s.0.0.%d", lastingID, i)); w != nil {
				out = append(out, w)
			}
		}
		return out
	}
	if !waitFor(10*time.Second, func() bool { return len(here()) == units }) {
		return notRun("the job does not run")
	}
	const (
		crashes = 2
		atWork  = 5 * time.Second
		// The workers are in touch again 3 s (contact_ms) after they are back, the 4 s and the 3 s of the
		// rule follow, and 2 s more.
		limit = 12 * time.Second
	)
	for n := range crashes {
		time.Sleep(atWork)
		if trouble {
			lost := here()
			for _, w := range lost {
				w.crash()
			}
			time.Sleep(crashTime)
			for _, w := range lost {
				if err := w.start(); err != nil {
					return err
				}
			}
		}
		if !waitFor(limit, func() bool { return len(here()) == units }) {
			state := c.state(d.entry[n%2], "/keep/"+lastingID)
			running, idle := len(here()), d.idle()
			rec.printf("judged: %d of %d work units run, %d workers are idle; the rest is for the record", running, units, idle)
			waitFor(25*time.Second, func() bool { return len(here()) == units })
			return broken("LOST: %v after the workers were back from crash %d, %d of the %d work units that last run, with %d idle workers; the job is %s",
				limit, n+1, running, units, idle, state)
		}
	}
	return nil
}

func (d *deployment) idle() int {
	n := 0
	for _, w := range d.workers {
		w.mu.Lock()
		if w.up && len(w.running) == 0 {
			n++
		}
		w.mu.Unlock()
	}
	return n
}
