package daemon

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replay"
)

// recordPeriod is how often configuration and workers are looked at for the
// trace; its times are that exact.
const recordPeriod = 100 * time.Millisecond

// recorder writes what this instance sees of its zone as a trace for replay.
type recorder struct {
	d       *Daemon
	file    *os.File
	out     *replay.Recorder
	version uint64
	prints  map[string]uint32 // fingerprint of each worker's last announcement
	silent  map[string]bool
}

// openRecorder opens the trace file of the settings; it returns nil if none is
// set.
func (d *Daemon) openRecorder() (*recorder, error) {
	if d.s.TraceFile == "" {
		return nil, nil
	}
	f, err := os.OpenFile(d.s.TraceFile, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return nil, errors.Annotate(err, "trace file")
	}
	r := &recorder{
		d: d, file: f, out: replay.NewRecorder(f, time.Now()),
		prints: map[string]uint32{}, silent: map[string]bool{},
	}
	d.machine.Subscribe(r.job)
	return r, nil
}

// job is the hook on the jobs machine.
func (r *recorder) job(old, j *model.Job) {
	now := time.Now()
	switch {
	case old == nil:
		r.out.Submit(now, j.ID, j.Spec)
	case j.CancelRequested && !old.CancelRequested:
		r.out.Cancel(now, j.ID)
	case old.Attempt != nil && j.Attempt == nil && (j.State == model.Done || j.Failures > old.Failures):
		ran := time.Duration(0)
		if !old.Attempt.StartedAt.IsZero() {
			ran = now.Sub(old.Attempt.StartedAt)
		}
		r.out.Report(now, j.ID, ran, 0, j.State == model.Done)
	}
}

// run records the configuration and the workers until ctx ends.
func (r *recorder) run(ctx context.Context) {
	t := time.NewTicker(recordPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.close()
			return
		case now := <-t.C:
			r.look(now)
		}
	}
}

func (r *recorder) look(now time.Time) {
	if cfg := r.d.machine.Config(); cfg != nil && cfg.Version != r.version {
		r.version = cfg.Version
		r.out.Config(now, r.d.self.AvailabilityZone, cfg)
	}
	for _, e := range r.d.board.List() {
		name := e.Worker.Name
		silent := !r.d.ctl.Usable(&e, now) && !e.Worker.Leaving
		if silent && !r.silent[name] {
			r.out.Silent(now, e.Worker)
		}
		if print, known := r.prints[name]; !silent && (!known || print != e.Print || r.silent[name]) {
			r.out.Announce(now, e.Worker)
		}
		r.prints[name] = e.Print
		r.silent[name] = silent
	}
}

func (r *recorder) close() {
	if n := r.out.Dropped(); n > 0 {
		r.d.log.Info("trace is incomplete", "dropped events", n)
	}
	if err := r.out.Close(); err != nil {
		r.d.log.Error(err, "trace cannot be written", "file", r.d.s.TraceFile)
	}
	_ = r.file.Close()
}
