package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/telemetry"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// A start without an answer may be carried out up to maxOrderDelay later. The worker itself refuses it
// once it has seen the run end or a stop for it. A later incarnation under the same id knows nothing of
// that, and it can appear after the worker's record, its agent and the order of the run are gone.
// What may still arrive is therefore kept by worker id, independently of these. The orders of
// earlier leaders are not in it: a worker refuses them from the first call of this one on.

// lateStarts holds the starts of this leader that workers may still carry out.
type lateStarts struct {
	mu       sync.Mutex // guards byWorker
	byWorker map[string]map[runKey]*lateStart
}

// lateStart is a run of which start messages may still be carried out.
type lateStart struct {
	inFlight int       // messages that are being sent
	until    time.Time // the latest time at which a message without an answer is carried out
}

func (s *lateStart) mayArrive(now time.Time) bool { return s.inFlight > 0 || now.Before(s.until) }

// begin records that a start message is being sent.
func (l *lateStarts) begin(worker string, k runKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byWorker == nil {
		l.byWorker = map[string]map[runKey]*lateStart{}
	}
	if l.byWorker[worker] == nil {
		l.byWorker[worker] = map[runKey]*lateStart{}
	}
	s := l.byWorker[worker][k]
	if s == nil {
		s = &lateStart{}
		l.byWorker[worker][k] = s
	}
	s.inFlight++
}

// end records the result of a start message.
func (l *lateStarts) end(worker string, k runKey, answered bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byWorker[worker][k]
	s.inFlight--
	if !answered {
		s.until = now.Add(maxOrderDelay)
	}
	l.expire(worker, now)
}

// expire removes the starts of a worker that cannot arrive any more. The caller holds mu.
func (l *lateStarts) expire(worker string, now time.Time) {
	for k, s := range l.byWorker[worker] {
		if !s.mayArrive(now) {
			delete(l.byWorker[worker], k)
		}
	}
	if len(l.byWorker[worker]) == 0 {
		delete(l.byWorker, worker)
	}
}

// expireAll removes the starts that cannot arrive any more.
func (l *lateStarts) expireAll(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for worker := range l.byWorker {
		l.expire(worker, now)
	}
}

// runs returns the runs of which a start may still arrive at a worker, in the order of their units.
func (l *lateStarts) runs(worker string, now time.Time) []runKey {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []runKey
	for k, s := range l.byWorker[worker] {
		if s.mayArrive(now) {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.unit.Job, b.unit.Job), cmp.Compare(a.unit.Occurrence, b.unit.Occurrence),
			cmp.Compare(a.unit.Step, b.unit.Step), cmp.Compare(a.unit.Index, b.unit.Index), cmp.Compare(a.run, b.run))
	})
	return out
}

// mayArrive reports whether a start of a run may still arrive at a worker.
func (l *lateStarts) mayArrive(worker string, k runKey, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byWorker[worker][k]
	return s != nil && s.mayArrive(now)
}

// answered reports whether the result of a start message shows that the worker will not carry it out
// later: it has been carried out, refused, or reached another worker.
func answered(err error) bool {
	var refused *workerapi.OrderRefusedError
	var unhealthy *workerapi.UnhealthyError
	var wrongWorker *workerapi.WrongWorkerError
	return err == nil || errors.As(err, &refused) || errors.As(err, &unhealthy) || errors.As(err, &wrongWorker)
}

// departed is an incarnation of a worker whose record was removed.
type departed struct {
	incarnation *lostIncarnation
	at          time.Time // when the removal was found
}

// depart remembers what is known of a worker whose record was removed, for the agent of its next
// incarnation. The caller holds mu of the leadership.
func (l *Leadership) depart(a *agent) {
	gone := a.asLost()
	gone.left = true
	now := l.cfg.Now()
	l.departed[gone.worker.ID] = departed{gone, now}
	if starts := l.lateStarts.runs(gone.worker.ID, now); len(starts) > 0 {
		a.log.Info("worker was removed while starts may still be carried out", "starts", len(starts))
		telemetry.Count("teaselpaddle_removed_with_late_starts_total")
	}
}

// takeDeparted returns what is known of the removed incarnation of a worker, or nil. The caller holds
// mu of the leadership.
func (l *Leadership) takeDeparted(id string) *lostIncarnation {
	d := l.departed[id]
	delete(l.departed, id)
	return d.incarnation
}
