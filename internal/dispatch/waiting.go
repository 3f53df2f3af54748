package dispatch

import (
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// loggedWait is what was last counted and logged of a step that waits.
type loggedWait struct {
	reason   place.WaitReason
	cordoned bool // the log names cordoned workers
}

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
	workersIsolatedGauge.Set(float64(len(s.Isolated)))
	current := map[stepKey]loggedWait{}
	for _, g := range waiting {
		k := stepKey{g.Job, g.Occurrence, g.StepIndex}
		before, logged := p.waitingSteps[k]
		now := loggedWait{reason: g.Waits, cordoned: before.cordoned || len(s.Cordoned) > 0}
		current[k] = now
		if g.Waits != "" && g.Waits != before.reason {
			telemetry.CountBy("teaselpaddle_preemptions_avoided_total", "reason", string(g.Waits))
		}
		if logged && before.cordoned == now.cordoned {
			continue
		}
		p.leadership.log.Info("step waits for room", "job", g.Job, "occurrence", g.Occurrence, "step", g.StepIndex, "units", len(g.Waiting),
			"need", g.Step.Need, "gang", g.Step.Gang, "sameRack", g.Step.SameRack, "dataRack", g.Step.DataRack,
			"priority", g.Priority, "guaranteed", g.Guaranteed, "workersUsable", len(s.Workers), "workersCordoned", len(s.Cordoned),
			"workersIsolated", len(s.Isolated),
			"acceleratorsLeft", free, "waitsFor", g.Waits, "suspects", len(g.Suspects), "tested", g.Tested)
	}
	p.waitingSteps = current
}
