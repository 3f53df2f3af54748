package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// jobSpec is what the stand-ins need to know of a job. All its steps have the same units.
type jobSpec struct {
	id       string
	work     time.Duration // of each unit; 0 for units that run until the job is cancelled
	failures int           // number of runs that fail after a second
	accepted bool
}

// runEvent is a start or an end of a run that a worker has carried out.
type runEvent struct {
	at     time.Time
	unit   string
	run    int
	worker string
	how    string // "" for a start
}

// registry holds what consumers have sent and what workers have run.
type registry struct {
	rec *record

	mu     sync.Mutex // guards the fields below
	jobs   map[string]*jobSpec
	events []runEvent
	// running holds the worker of each run in progress by unit and run.
	running map[string]map[string]bool
	// overlaps are the runs that began while another run of the same unit was in progress.
	overlaps []string
	// notedDone holds the runs that ended done and were taken note of.
	notedDone map[string]bool
}

func newRegistry(rec *record) *registry {
	return &registry{rec: rec, jobs: map[string]*jobSpec{}, running: map[string]map[string]bool{}, notedDone: map[string]bool{}}
}

func (g *registry) add(j *jobSpec) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.jobs[j.id] = j
}

// workOf returns the work of a unit; known is false if no consumer has sent its job.
func (g *registry) workOf(unit string) (work time.Duration, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	j := g.jobs[jobOf(unit)]
	if j == nil {
		return 0, false
	}
	return j.work, true
}

// takeFailure reports whether the run of a unit that is starting fails.
func (g *registry) takeFailure(unit string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	j := g.jobs[jobOf(unit)]
	if j == nil || j.failures == 0 {
		return false
	}
	j.failures--
	return true
}

func (g *registry) started(unit string, run int, worker string) {
	g.rec.printf("start    unit %s run %d on %s", unit, run, worker)
	g.mu.Lock()
	defer g.mu.Unlock()
	key := fmt.Sprintf("run %d on %s", run, worker)
	for other := range g.running[unit] {
		g.overlaps = append(g.overlaps, fmt.Sprintf("%s: %s began while %s was in progress", unit, key, other))
	}
	if g.running[unit] == nil {
		g.running[unit] = map[string]bool{}
	}
	g.running[unit][key] = true
	g.events = append(g.events, runEvent{time.Now(), unit, run, worker, ""})
}

func (g *registry) ended(unit string, run int, worker, how string) {
	g.rec.printf("end      unit %s run %d on %s: %s", unit, run, worker, how)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running[unit], fmt.Sprintf("run %d on %s", run, worker))
	g.events = append(g.events, runEvent{time.Now(), unit, run, worker, how})
}

// noted records that the end of a run was taken note of.
func (g *registry) noted(unit string, run int, worker, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if how == "done" {
		g.notedDone[fmt.Sprintf("%s run %d on %s", unit, run, worker)] = true
	}
}

// startsAfterDone returns the starts of units after a run of them had ended done, if that end was
// taken note of since.
func (g *registry) startsAfterDone() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	done := map[string]string{}
	var out []string
	for _, e := range g.events {
		switch {
		case e.how == "done":
			done[e.unit] = fmt.Sprintf("%s run %d on %s", e.unit, e.run, e.worker)
		case e.how == "" && done[e.unit] != "" && g.notedDone[done[e.unit]]:
			out = append(out, fmt.Sprintf("%s ended done and was taken note of, but run %d was started on %s", done[e.unit], e.run, e.worker))
		}
	}
	return out
}

// starts returns the starts of a job's units so far.
func (g *registry) starts(job string) []runEvent {
	return g.filter(func(e *runEvent) bool { return e.how == "" && jobOf(e.unit) == job })
}

// ends returns the ends of a job's units with the given ending so far.
func (g *registry) ends(job, how string) []runEvent {
	return g.filter(func(e *runEvent) bool { return e.how == how && jobOf(e.unit) == job })
}

func (g *registry) filter(match func(*runEvent) bool) []runEvent {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []runEvent
	for i := range g.events {
		if match(&g.events[i]) {
			out = append(out, g.events[i])
		}
	}
	return out
}

// overlapping returns the descriptions of the overlapping runs so far.
func (g *registry) overlapping() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.overlaps...)
}

func jobOf(unit string) string { return unit[:strings.IndexByte(unit, '.')] }
