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

// Bounds of a worker that runs units.
const (
	unitsPath = "/v1/units/"
	// unitTick is how often the runs are brought up to date.
	unitTick = 10 * time.Millisecond
	// unitStopTime is how long a stop takes; the unit saves its progress meanwhile.
	unitStopTime = 30 * time.Millisecond
	maxHoldWait  = 2 * time.Second
	maxUnitLease = 10 * time.Second
	maxListed    = 500 // ends in one answer
)

// runKey names a run of a unit.
type runKey struct {
	unit batch.UnitRef
	run  int
}

// unitRun is a run in progress. A unit resumes from a checkpoint, which is the
// time that it has worked.
type unitRun struct {
	payload Payload
	done    time.Duration // worked before this run
	rate    float64
	began   time.Time
	stopAt  time.Time // when a stop is complete; zero without one
}

func (u *unitRun) worked(now time.Time) time.Duration {
	return u.done + time.Duration(float64(now.Sub(u.began))*u.rate)
}

// units is what a worker with a service runs. Worker.mu guards it.
type units struct {
	life    int64 // start of the worker, Unix ms
	epoch   uint64
	untilMS int64 // end of the lease on the worker's clock
	runs    map[runKey]*unitRun
	fenced  map[batch.UnitRef]int // runs up to this number are refused
	ends    []workerapi.UnitEndView
	number  int64         // of the last end
	ended   chan struct{} // closed at the next end
}

func newUnits(now time.Time) *units {
	return &units{
		life: now.UnixMilli(), runs: map[runKey]*unitRun{}, fenced: map[batch.UnitRef]int{}, ended: make(chan struct{}),
	}
}

func (w *Worker) clockMS() int64 { return time.Since(w.epoch).Milliseconds() }

// advanceUnits brings the runs up to date until ctx ends.
func (w *Worker) advanceUnits(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.advance(time.Now())
		w.mu.Unlock()
		pause(ctx, unitTick)
	}
}

// advance ends the runs that are done, stopped, failed or without a lease.
func (w *Worker) advance(now time.Time) {
	lapsed := w.clockMS() > w.units.untilMS
	for k, u := range w.units.runs {
		worked := u.worked(now)
		switch {
		case !u.stopAt.IsZero() && !now.Before(u.stopAt):
			w.endUnit(k, batch.EndStopped, worked)
		case lapsed:
			w.endUnit(k, batch.EndLapsed, 0)
		case u.payload.NeverEnd || worked < u.payload.Time:
		case w.faults.FailAll || u.payload.Fail || slices.Contains(u.payload.FailOn, w.o.Name):
			w.endUnit(k, batch.EndFailed, 0)
		default:
			w.endUnit(k, batch.EndDone, 0)
		}
	}
}

func (w *Worker) endUnit(k runKey, how batch.Ending, worked time.Duration) {
	s := w.units
	delete(s.runs, k)
	s.fenced[k.unit] = max(s.fenced[k.unit], k.run)
	s.number++
	e := workerapi.UnitEndView{Number: s.number, Unit: k.unit, Run: k.run, How: how.String()}
	if worked > 0 {
		e.Saved = worked.String()
	}
	s.ends = append(s.ends, e)
	close(s.ended)
	s.ended = make(chan struct{})
	kind := EventStop
	if how == batch.EndDone || how == batch.EndFailed {
		kind = EventFinish
	}
	w.recordUnit(kind, k, how.String(), how == batch.EndDone)
}

func (w *Worker) recordUnit(kind EventKind, k runKey, detail string, ok bool) {
	e := w.event(kind, taskKey{fence: uint64(k.run), task: k.unit.Index}, model.JobID(k.unit.Job), detail)
	e.Unit, e.OK = k.unit.String(), ok
	w.journal.write(e)
}

// serveUnits answers an order of the region's leader.
func (w *Worker) serveUnits(rw http.ResponseWriter, r *http.Request) {
	var c workerapi.UnitCommand
	if r.Method != http.MethodPost || json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxCommandBytes)).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if c.Worker != w.o.Name {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d := w.disturb(workerapi.Operation(strings.TrimPrefix(r.URL.Path, unitsPath)))
	// The order is carried out even if its sender has gone.
	ctx := context.WithoutCancel(r.Context())
	pause(ctx, d.before)
	a := w.DoUnit(ctx, r.URL.Path, &c)
	pause(ctx, d.after)
	if d.lose {
		dropConnection(rw)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	if a.Refused != "" {
		rw.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(rw).Encode(a)
}

// DoUnit carries out the order with the given path.
func (w *Worker) DoUnit(ctx context.Context, path string, c *workerapi.UnitCommand) *workerapi.UnitAnswer {
	a, ended := w.lockedUnit(path, c)
	if ended == nil || c.WaitMS <= 0 {
		return a
	}
	select {
	case <-ended:
	case <-ctx.Done():
	case <-time.After(min(time.Duration(c.WaitMS)*time.Millisecond, maxHoldWait)):
	}
	a, _ = w.lockedUnit(path, c)
	return a
}

// lockedUnit carries out an order. The channel is closed at the next end; it is
// nil if the answer does not wait for one.
func (w *Worker) lockedUnit(path string, c *workerapi.UnitCommand) (*workerapi.UnitAnswer, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.units
	w.advance(time.Now())
	a := &workerapi.UnitAnswer{Life: s.life, ClockMS: w.clockMS()}
	if c.Epoch < s.epoch {
		a.Refused = workerapi.RefusedEpoch
		return a, nil
	}
	s.epoch = c.Epoch
	s.untilMS = max(s.untilMS, min(c.UntilMS, w.clockMS()+maxUnitLease.Milliseconds()))
	k := runKey{c.Unit, c.Run}
	switch path {
	case workerapi.UnitStartPath:
		a.Refused = w.startUnit(k, c)
	case workerapi.UnitStopPath:
		w.stopUnit(k)
	case workerapi.UnitHoldPath:
		s.ends = slices.DeleteFunc(s.ends, func(e workerapi.UnitEndView) bool { return e.Number <= c.Noted })
		a.Ends = slices.Clone(s.ends[:min(len(s.ends), maxListed)])
		a.Runs = w.runsOf(time.Now())
		if len(a.Ends) == 0 {
			return a, s.ended
		}
	}
	return a, nil
}

func (w *Worker) startUnit(k runKey, c *workerapi.UnitCommand) workerapi.OrderRefusal {
	s := w.units
	if s.runs[k] != nil {
		return ""
	}
	if k.run <= s.fenced[k.unit] {
		return workerapi.RefusedOld
	}
	if w.clockMS() > c.UntilMS {
		return workerapi.RefusedLate
	}
	done, err := time.ParseDuration(c.Checkpoint)
	if err != nil {
		done = 0 // there is no checkpoint
	}
	s.runs[k] = &unitRun{payload: ParsePayload(c.Payload), done: done, rate: 1 / factor(w.faults.TaskFactor), began: time.Now()}
	w.recordUnit(EventStart, k, c.Payload, false)
	return ""
}

// stopUnit stops a run, and refuses it if it comes later.
func (w *Worker) stopUnit(k runKey) {
	s := w.units
	if u := s.runs[k]; u != nil {
		if u.stopAt.IsZero() {
			u.stopAt = time.Now().Add(unitStopTime)
		}
		return
	}
	s.fenced[k.unit] = max(s.fenced[k.unit], k.run)
}

func (w *Worker) runsOf(now time.Time) []workerapi.UnitRunView {
	var out []workerapi.UnitRunView
	for k, u := range w.units.runs {
		v := workerapi.UnitRunView{Unit: k.unit, Run: k.run}
		if u.payload.Time > 0 {
			v.Percent = min(int(100*u.worked(now)/u.payload.Time), 99)
		}
		out = append(out, v)
	}
	return out
}

// asUnitWorker is what a worker with a service says of itself.
func (w *Worker) asUnitWorker() *batch.Worker {
	return &batch.Worker{
		ID: w.o.Name, Life: w.units.life, Address: w.address, Service: w.o.Service, Zone: w.o.Zone, Rack: w.o.Rack,
		Capacity: batch.Resources{
			CPU: int64(w.o.Cores) * 1000, MemoryMB: int64(w.o.MemoryMiB), Accelerators: int64(w.o.Accelerators),
		},
		Labels: w.o.Labels, Draining: w.leaving,
	}
}
