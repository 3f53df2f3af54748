package daemon

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/replay"
)

// recordPeriod is the interval at which the recorder polls configuration and
// workers. It is also the resolution of their times in the trace.
const recordPeriod = 100 * time.Millisecond

// recorder writes the events of its zone, as this instance observes them, to a trace
// for replay.
type recorder struct {
	daemon        *Daemon
	file          *os.File
	trace         *replay.Recorder
	configVersion uint64
	fingerprints  map[string]uint32 // fingerprint of each worker's last announcement
	silent        map[string]bool
}

// openRecorder opens the trace file named in the settings. It returns nil if none
// is set.
func (d *Daemon) openRecorder() (*recorder, error) {
	if d.settings.TraceFile == "" {
		return nil, nil
	}
	f, err := os.OpenFile(d.settings.TraceFile, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return nil, errors.Annotate(err, "trace file")
	}
	r := &recorder{
		daemon: d, file: f, trace: replay.NewRecorder(f, time.Now()),
		fingerprints: map[string]uint32{}, silent: map[string]bool{},
	}
	d.machine.Subscribe(r.recordJob)
	return r, nil
}

// recordJob records the change of a job. The jobs state machine calls it for each
// change.
func (r *recorder) recordJob(old, j *model.Job) {
	now := time.Now()
	switch {
	case old == nil:
		r.trace.Submit(now, j.ID, j.Spec)
	case j.CancelRequested && !old.CancelRequested:
		r.trace.Cancel(now, j.ID)
	case old.Attempt != nil && j.Attempt == nil && (j.State == model.Done || j.Failures > old.Failures):
		ran := time.Duration(0)
		if !old.Attempt.StartedAt.IsZero() {
			ran = now.Sub(old.Attempt.StartedAt)
		}
		r.trace.Report(now, j.ID, ran, 0, j.State == model.Done)
	}
}

// run records the changes of configuration and workers until ctx ends.
func (r *recorder) run(ctx context.Context) {
	t := time.NewTicker(recordPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.close()
			return
		case now := <-t.C:
			r.recordChanges(now)
		}
	}
}

func (r *recorder) recordChanges(now time.Time) {
	if cfg := r.daemon.machine.Config(); cfg != nil && cfg.Version != r.configVersion {
		r.configVersion = cfg.Version
		r.trace.Config(now, r.daemon.self.AvailabilityZone, cfg)
	}
	for _, e := range r.daemon.board.List() {
		name := e.Worker.Name
		silent := !r.daemon.controller.Usable(&e, now) && !e.Worker.Leaving
		if silent && !r.silent[name] {
			r.trace.Silent(now, e.Worker)
		}
		if fingerprint, known := r.fingerprints[name]; !silent && (!known || fingerprint != e.Fingerprint || r.silent[name]) {
			r.trace.Announce(now, e.Worker)
		}
		r.fingerprints[name] = e.Fingerprint
		r.silent[name] = silent
	}
}

func (r *recorder) close() {
	if n := r.trace.Dropped(); n > 0 {
		r.daemon.log.Info("trace is incomplete", "dropped events", n)
	}
	if err := r.trace.Close(); err != nil {
		r.daemon.log.Error(err, "trace was not written completely", "file", r.daemon.settings.TraceFile)
	}
	_ = r.file.Close()
}
