package dispatch

import "teaselpaddle.example/teaselpaddle/internal/batch"

// removeSilentWorker commits the removal of a worker that has been silent for too
// long, in the background. It does nothing while an earlier call for the worker has not
// ended: each plan finds the worker silent until the removal is committed, and hundreds
// of lost workers would otherwise be proposed again in each of them.
func (l *Leadership) removeSilentWorker(w batch.Worker) {
	l.removingMu.Lock()
	defer l.removingMu.Unlock()
	if l.removing[w.ID] {
		return
	}
	l.removing[w.ID] = true
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.commitRemoval(w)
		l.removingMu.Lock()
		defer l.removingMu.Unlock()
		delete(l.removing, w.ID)
	}()
}

func (l *Leadership) commitRemoval(w batch.Worker) {
	if _, err := l.propose(&batch.Command{Worker: &batch.WorkerChange{Worker: w, Removed: true}}); err != nil {
		l.log.Error(err, "silent worker could not be removed", "worker", w.ID)
		return
	}
	l.cfg.Heartbeats.Forget(w.ID)
	l.log.Info("silent worker removed", "worker", w.ID, "life", w.Incarnation)
}
