package dispatch

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/speed"
)

// Timing and size of what is done with measured speeds.
const (
	// minFitInterval is the least time between two updates of the estimates. Reports come
	// about once a second from each worker, hence many in each interval.
	minFitInterval = 250 * time.Millisecond
	// fitRestFactor bounds the updates to 2 percent of the time.
	fitRestFactor = 50
	// recordInterval is the least time between two records of speeds in the replicated
	// state.
	recordInterval = 2 * time.Second
	// maxRecordBytes bounds one record, so that records stay under 2 KB per second.
	maxRecordBytes = 4000
	// recordHeadBytes and speedBytes are upper limits of the encoded size of a record and
	// of a speed in it without the worker's id.
	recordHeadBytes = 32
	speedBytes      = 32
	// recordedLogChange is the change of the logarithm of a speed that is recorded.
	recordedLogChange = 0.1
	// recordedSDShare is the share of its recorded value to which the standard deviation
	// must have decreased to be recorded.
	recordedSDShare = 0.5
)

var speedSpreadGauge = metrics.GetOrCreateGauge("teaselpaddle_worker_speed_spread", nil)

// fittedSpeeds are the estimates of one update. They are not changed.
type fittedSpeeds struct {
	spread   float64 // between workers; 0 if they are alike
	byWorker map[string]fittedSpeed
}

type fittedSpeed struct {
	incarnation int64
	estimate    speed.Estimate
}

// workerSpeeds measures the speeds of the workers during a leadership. What a new leader
// must know at once is in the workers' records; it relearns the rest.
type workerSpeeds struct {
	mu    sync.Mutex // guards model
	model *speed.Model

	// Used only by the goroutine of the leadership.
	fittedAt   time.Time
	fitRest    time.Duration
	recordedAt time.Time

	fitted    atomic.Pointer[fittedSpeeds]
	recording atomic.Bool // a record is being committed
}

// newWorkerSpeeds returns a model that continues from the workers' records.
func newWorkerSpeeds(m *batch.Machine) *workerSpeeds {
	s := &workerSpeeds{model: speed.New()}
	s.fitted.Store(&fittedSpeeds{})
	var records []speed.Record
	m.View(func(v *batch.View) {
		for id, w := range v.Workers() {
			if w.Speed != nil {
				records = append(records, speed.Record{Worker: id, Incarnation: w.Incarnation, Estimate: speed.Estimate{
					Log: float64(w.Speed.LogMilli) / 1000, SD: float64(w.Speed.SDMilli) / 1000, Observations: w.Speed.Observations,
				}})
			}
		}
	})
	s.model.Restore(records)
	return s
}

// of returns the speed of an incarnation of a worker.
func (f *fittedSpeeds) of(id string, incarnation int64) speed.Estimate {
	if w, ok := f.byWorker[id]; ok && w.incarnation == incarnation {
		return w.estimate
	}
	return speed.Estimate{SD: f.spread}
}

// current returns the speeds as of the last update, or those of equal workers if speeds are
// not measured.
func (s *workerSpeeds) current() *fittedSpeeds {
	if s == nil {
		return &fittedSpeeds{}
	}
	return s.fitted.Load()
}

// updateSpeeds updates the estimates and records those that have changed, each at most once
// per interval.
func (l *Leadership) updateSpeeds() {
	s := l.speeds
	if s == nil {
		return
	}
	now := l.cfg.Now()
	if now.Sub(s.fittedAt) >= max(minFitInterval, s.fitRest) {
		s.fittedAt = now
		l.fitSpeeds()
	}
	if now.Sub(s.recordedAt) >= recordInterval && !s.recording.Load() {
		l.recordSpeeds(now)
	}
}

// fitSpeeds updates the estimates.
func (l *Leadership) fitSpeeds() {
	s := l.speeds
	incarnations := map[string]int64{}
	l.cfg.Machine.View(func(v *batch.View) {
		for id, w := range v.Workers() {
			incarnations[id] = w.Incarnation
		}
	})
	began := time.Now()
	next := &fittedSpeeds{byWorker: make(map[string]fittedSpeed, len(incarnations))}
	s.mu.Lock()
	s.model.Retain(incarnations)
	s.model.Fit()
	next.spread = s.model.Spread()
	for id, inc := range incarnations {
		next.byWorker[id] = fittedSpeed{inc, s.model.Estimate(id, inc)}
	}
	s.mu.Unlock()
	s.fitRest = fitRestFactor * time.Since(began)
	speedSpreadGauge.Set(next.spread)
	if differ := next.spread > 0; differ != (s.current().spread > 0) {
		l.log.Info("speeds of workers compared", "differ", differ, "spread", next.spread, "workers", len(incarnations))
	}
	s.fitted.Store(next)
}

// recordSpeeds commits the speeds that have changed most since they were recorded, in the
// background.
func (l *Leadership) recordSpeeds(now time.Time) {
	s := l.speeds
	var speeds []batch.SpeedOfWorker
	l.cfg.Machine.View(func(v *batch.View) { speeds = s.changedSpeeds(v.Workers()) })
	if len(speeds) == 0 {
		return
	}
	s.recordedAt = now
	s.recording.Store(true)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer s.recording.Store(false)
		if _, err := l.propose(&batch.Command{Speeds: &batch.WorkerSpeeds{Speeds: speeds}}); err != nil && l.ctx.Err() == nil {
			l.log.Error(err, "speeds of workers could not be recorded", "workers", len(speeds))
		}
	}()
}

// changedSpeeds returns the speeds that differ from their records, those that differ most
// first, as many as fit into one record.
func (s *workerSpeeds) changedSpeeds(workers map[string]*batch.Worker) []batch.SpeedOfWorker {
	type change struct {
		batch.SpeedOfWorker
		size float64
	}
	var changes []change
	fitted := s.current()
	for id, w := range workers {
		e := recordOf(fitted.of(id, w.Incarnation))
		if size := changeOf(w.Speed, e, fitted.spread); size >= 1 {
			changes = append(changes, change{batch.SpeedOfWorker{Worker: id, Incarnation: w.Incarnation, Speed: e}, size})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.Worker, b.Worker)) })
	var out []batch.SpeedOfWorker
	left := maxRecordBytes - recordHeadBytes
	for _, c := range changes {
		if left -= speedBytes + len(c.Worker); left < 0 {
			break
		}
		out = append(out, c.SpeedOfWorker)
	}
	return out
}

func recordOf(e speed.Estimate) batch.WorkerSpeed {
	return batch.WorkerSpeed{
		LogMilli: int64(math.Round(e.Log * 1000)), SDMilli: int64(math.Round(e.SD * 1000)), Observations: e.Observations,
	}
}

// changeOf returns how much an estimate differs from a worker's record, where 1 is the
// least change that is recorded. A worker without a record counts as typical within the
// spread.
func changeOf(recorded *batch.WorkerSpeed, e batch.WorkerSpeed, spread float64) float64 {
	if recorded == nil {
		recorded = &batch.WorkerSpeed{SDMilli: int64(math.Round(spread * 1000))}
	}
	size := math.Abs(float64(e.LogMilli-recorded.LogMilli)) / (recordedLogChange * 1000)
	if recorded.SDMilli > 0 {
		size = max(size, recordedSDShare*float64(recorded.SDMilli)/max(float64(e.SDMilli), 1))
	}
	return size
}

// Speed returns the measured speed of an incarnation of a worker, or nil if it was not
// measured.
func (l *Leadership) Speed(id string, incarnation int64) *batch.WorkerSpeed {
	e := l.speeds.current().of(id, incarnation)
	if e.Observations == 0 {
		return nil
	}
	r := recordOf(e)
	return &r
}
