package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Path, times and limits of a worker that runs units.
const (
	unitsPath = "/v1/units/"
	// unitAdvanceInterval is the interval between updates of the runs.
	unitAdvanceInterval = 10 * time.Millisecond
	// unitStopTime is the time that a stop takes, during which the unit still makes
	// progress and saves it.
	unitStopTime     = 30 * time.Millisecond
	maxHoldWait      = 2 * time.Second  // longest wait of a hold for an end
	maxUnitLease     = 10 * time.Second // longest lease that an order extends to
	maxEndsPerAnswer = 500
)

// runKey identifies a run of a unit.
type runKey struct {
	unit batch.UnitRef
	run  int
}

// unitRun is a run in progress. A unit resumes from a checkpoint, which states
// the work that it has completed as a duration.
type unitRun struct {
	payload     Payload
	resumedFrom time.Duration // progress before this run
	rate        float64
	startedAt   time.Time
	stopsAt     time.Time // when a requested stop is complete; zero if none is requested
}

// progress returns the work completed by now, over all runs of the unit.
func (u *unitRun) progress(now time.Time) time.Duration {
	return u.resumedFrom + time.Duration(float64(now.Sub(u.startedAt))*u.rate)
}

// units holds the runs and ends of a worker with a service. Worker.mu guards it.
type units struct {
	incarnation      int64  // start time of the worker, Unix ms
	epoch            uint64 // highest epoch of an order
	leaseEndMS       int64  // end of the lease that all runs share, by the worker's clock
	runs             map[runKey]*unitRun
	highestFencedRun map[batch.UnitRef]int   // by unit; starts of runs up to this number are refused
	ends             []workerapi.UnitEndView // not yet acknowledged
	lastEndNumber    int64
	endSignal        chan struct{} // closed and replaced at each end
}

func newUnits(now time.Time) *units {
	return &units{
		incarnation: now.UnixMilli(), runs: map[runKey]*unitRun{}, highestFencedRun: map[batch.UnitRef]int{}, endSignal: make(chan struct{}),
	}
}

// clockMS returns the worker's clock in milliseconds.
func (w *Worker) clockMS() int64 { return time.Since(w.clockStart).Milliseconds() }

// advanceUnitsLoop calls advanceUnits periodically until ctx ends.
func (w *Worker) advanceUnitsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.advanceUnits(time.Now())
		w.mu.Unlock()
		pause(ctx, unitAdvanceInterval)
	}
}

// advanceUnits ends the runs that are done, stopped, failed or whose lease has
// expired.
func (w *Worker) advanceUnits(now time.Time) {
	lapsed := w.clockMS() > w.units.leaseEndMS
	for k, u := range w.units.runs {
		progress := u.progress(now)
		switch {
		case !u.stopsAt.IsZero() && !now.Before(u.stopsAt):
			w.endUnit(k, batch.EndStopped, progress)
		case lapsed:
			w.endUnit(k, batch.EndLeaseExpired, 0)
		case u.payload.NeverEnd || progress < u.payload.Time:
		case w.faults.FailAll || u.payload.Fail || slices.Contains(u.payload.FailOn, w.opts.Name):
			w.endUnit(k, batch.EndFailed, 0)
		default:
			w.endUnit(k, batch.EndDone, 0)
		}
	}
}

// endUnit removes a run, fences it and its earlier runs, and adds its end to the
// ends that wait for an acknowledgement. A progress of 0 is not saved.
func (w *Worker) endUnit(k runKey, how batch.Ending, progress time.Duration) {
	s := w.units
	delete(s.runs, k)
	s.highestFencedRun[k.unit] = max(s.highestFencedRun[k.unit], k.run)
	s.lastEndNumber++
	e := workerapi.UnitEndView{Number: s.lastEndNumber, Unit: k.unit, Run: k.run, How: how.String()}
	if progress > 0 {
		e.Checkpoint = progress.String()
	}
	s.ends = append(s.ends, e)
	close(s.endSignal)
	s.endSignal = make(chan struct{})
	kind := EventStop
	if how == batch.EndDone || how == batch.EndFailed {
		kind = EventFinish
	}
	w.recordUnit(kind, k, how.String(), how == batch.EndDone)
}

// recordUnit appends an event of a unit to the journal.
func (w *Worker) recordUnit(kind EventKind, k runKey, detail string, ok bool) {
	e := w.newEvent(kind, taskKey{fence: uint64(k.run), task: k.unit.Index}, model.JobID(k.unit.Job), detail)
	e.Unit, e.OK = k.unit.String(), ok
	w.journal.write(e)
}

// serveUnits handles an order of the region's leader.
func (w *Worker) serveUnits(rw http.ResponseWriter, r *http.Request) {
	var c workerapi.UnitCommand
	if r.Method != http.MethodPost || json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxCommandBytes)).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if c.Worker != w.opts.Name {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d := w.takeCommandFaults(workerapi.Operation(strings.TrimPrefix(r.URL.Path, unitsPath)))
	// The order is executed even if its sender disconnects.
	ctx := context.WithoutCancel(r.Context())
	pause(ctx, d.delay)
	a := w.DoUnit(ctx, r.URL.Path, &c)
	pause(ctx, d.answerDelay)
	if d.loseAnswer {
		dropConnection(rw)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	if a.Refused != "" {
		rw.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(rw).Encode(a)
}

// DoUnit executes the order with the given path. A hold waits up to c.WaitMS for
// an end if none is pending.
func (w *Worker) DoUnit(ctx context.Context, path string, c *workerapi.UnitCommand) *workerapi.UnitAnswer {
	a, ended := w.doUnitWithLock(path, c)
	if ended == nil || c.WaitMS <= 0 {
		return a
	}
	select {
	case <-ended:
	case <-ctx.Done():
	case <-time.After(min(time.Duration(c.WaitMS)*time.Millisecond, maxHoldWait)):
	}
	a, _ = w.doUnitWithLock(path, c)
	return a
}

// doUnitWithLock executes an order with w.mu locked. The channel is closed at the
// next end; it is nil if the answer does not wait for one.
func (w *Worker) doUnitWithLock(path string, c *workerapi.UnitCommand) (*workerapi.UnitAnswer, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.units
	w.advanceUnits(time.Now())
	a := &workerapi.UnitAnswer{Incarnation: s.incarnation, ClockMS: w.clockMS()}
	if c.Epoch < s.epoch {
		a.Refused = workerapi.RefusedStaleEpoch
		return a, nil
	}
	s.epoch = c.Epoch
	s.leaseEndMS = max(s.leaseEndMS, min(c.UntilMS, w.clockMS()+maxUnitLease.Milliseconds()))
	k := runKey{c.Unit, c.Run}
	switch path {
	case workerapi.UnitStartPath:
		a.Refused = w.startUnit(k, c)
	case workerapi.UnitStopPath:
		w.stopUnit(k)
	case workerapi.UnitHoldPath:
		s.ends = slices.DeleteFunc(s.ends, func(e workerapi.UnitEndView) bool { return e.Number <= c.AckedEnds })
		a.Ends = slices.Clone(s.ends[:min(len(s.ends), maxEndsPerAnswer)])
		a.MoreEnds = len(a.Ends) < len(s.ends)
		a.Runs = w.listRuns(time.Now())
		if len(a.Ends) == 0 {
			return a, s.endSignal
		}
	}
	return a, nil
}

// startUnit starts a run, or returns the reason to refuse it. It is idempotent
// for a run in progress.
func (w *Worker) startUnit(k runKey, c *workerapi.UnitCommand) workerapi.OrderRefusal {
	s := w.units
	if s.runs[k] != nil {
		return ""
	}
	if k.run <= s.highestFencedRun[k.unit] {
		return workerapi.RefusedEndedRun
	}
	if w.clockMS() > c.UntilMS {
		return workerapi.RefusedExpiredLease
	}
	resumedFrom, err := time.ParseDuration(c.Checkpoint)
	if err != nil {
		resumedFrom = 0 // there is no checkpoint
	}
	s.runs[k] = &unitRun{payload: ParsePayload(c.Payload), resumedFrom: resumedFrom, rate: 1 / factorOrOne(w.faults.TaskFactor), startedAt: time.Now()}
	w.recordUnit(EventStart, k, c.Payload, false)
	return ""
}

// stopUnit requests the stop of a run. A run that is not in progress is fenced, so
// that a late start of it is refused.
func (w *Worker) stopUnit(k runKey) {
	s := w.units
	if u := s.runs[k]; u != nil {
		if u.stopsAt.IsZero() {
			u.stopsAt = time.Now().Add(unitStopTime)
		}
		return
	}
	s.highestFencedRun[k.unit] = max(s.highestFencedRun[k.unit], k.run)
}

// listRuns returns the runs in progress with their progress in percent.
func (w *Worker) listRuns(now time.Time) []workerapi.UnitRunView {
	var out []workerapi.UnitRunView
	for k, u := range w.units.runs {
		v := workerapi.UnitRunView{Unit: k.unit, Run: k.run}
		if u.payload.Time > 0 {
			v.Percent = min(int(100*u.progress(now)/u.payload.Time), 99)
		}
		out = append(out, v)
	}
	return out
}

// unitAnnouncement returns the announcement of a worker with a service.
func (w *Worker) unitAnnouncement() *workerapi.UnitAnnouncement {
	return &workerapi.UnitAnnouncement{ClockMS: w.clockMS(), Worker: batch.Worker{
		ID: w.opts.Name, Incarnation: w.units.incarnation, Address: w.address, Service: w.opts.Service, Zone: w.opts.Zone, Rack: w.opts.Rack,
		Capacity: batch.Resources{
			CPU: int64(w.opts.Cores) * 1000, MemoryMB: int64(w.opts.MemoryMiB), Accelerators: int64(w.opts.Accelerators),
		},
		Labels: w.opts.Labels, Draining: w.leaving,
	}}
}
