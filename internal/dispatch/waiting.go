package dispatch

import "teaselpaddle.example/teaselpaddle/internal/sched/place"

// logWaitingSteps logs each step once when it begins to wait for capacity, with its
// requirements, and updates the gauges. A step that waits already when a zone is cordoned
// is logged once more, because the cordon may be the reason from then on.
func (p *planner) logWaitingSteps(waiting []*place.Group, s *place.Snapshot) {
	var free int64
	for _, w := range s.Workers {
		free += max(w.Free.Accelerators, 0)
	}
	stepsWaitingGauge.Set(float64(len(waiting)))
	workersUsableGauge.Set(float64(len(s.Workers)))
	acceleratorsFreeGauge.Set(float64(free))
	current := map[stepKey]bool{}
	for _, g := range waiting {
		k := stepKey{g.Job, g.Occurrence, g.StepIndex}
		loggedCordon, logged := p.waitingSteps[k]
		current[k] = loggedCordon || len(s.Cordoned) > 0
		if logged && loggedCordon == current[k] {
			continue
		}
		p.leadership.log.Info("step waits for room", "job", g.Job, "occurrence", g.Occurrence, "step", g.StepIndex, "units", len(g.Waiting),
			"need", g.Step.Need, "gang", g.Step.Gang, "sameRack", g.Step.SameRack, "dataRack", g.Step.DataRack,
			"priority", g.Priority, "guaranteed", g.Guaranteed, "workersUsable", len(s.Workers), "workersCordoned", len(s.Cordoned),
			"acceleratorsLeft", free)
	}
	p.waitingSteps = current
}
