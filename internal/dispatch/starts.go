package dispatch

import (
	"math"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/batch"
	"teaselpaddle.example/teaselpaddle/internal/sched/place"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// commitStarts commits the starts and sends those that were accepted.
func (p *planner) commitStarts(starts []place.Placement) {
	if len(starts) == 0 {
		return
	}
	cmd := &batch.Starts{AtMS: p.leadership.cfg.TimeOfDayMS()}
	nextRun := map[*place.Group]int{}
	var placed []place.Placement
	p.leadership.cfg.Machine.View(func(v *batch.View) {
		for _, s := range starts {
			j := v.Job(s.Group.Job, "")
			w := v.Workers()[s.Worker]
			if j == nil || w == nil {
				continue
			}
			g := j.UnitGroup(s.Group.Occurrence, s.Group.StepIndex)
			run := g.Units[s.Unit].Run + 1
			if s.Group.Step.Gang {
				if nextRun[s.Group] == 0 {
					for i := range g.Units {
						nextRun[s.Group] = max(nextRun[s.Group], g.Units[i].Run+1)
					}
				}
				run = nextRun[s.Group]
			}
			ref := batch.UnitRef{Job: j.ID, Occurrence: g.Occurrence, Step: g.Step, Index: s.Unit}
			placed = append(placed, s)
			cmd.Starts = append(cmd.Starts, batch.Start{Unit: ref, Run: run, Worker: s.Worker, Incarnation: w.Incarnation})
		}
	})
	result, err := p.leadership.propose(&batch.Command{Starts: cmd})
	if err != nil {
		var stale *batch.StaleEpochError
		if !errors.As(err, &stale) && p.leadership.ctx.Err() == nil {
			p.leadership.log.Error(err, "starts could not be committed", "starts", len(cmd.Starts))
		}
		return
	}
	accepted, _ := result.([]bool)
	for i, s := range cmd.Starts {
		if i < len(accepted) && accepted[i] {
			p.startRun(&s, &placed[i], cmd.AtMS)
		} else {
			p.leadership.log.Info("start rejected by the state machine", "job", s.Unit.Job, "unit", s.Unit, "run", s.Run, "worker", s.Worker)
		}
	}
}

// startRun sends the start of a newly recorded run to its worker.
func (p *planner) startRun(s *batch.Start, placed *place.Placement, atMS int64) {
	pg := placed.Group
	var payload, checkpoint, customer string
	ok := false
	p.leadership.cfg.Machine.View(func(v *batch.View) {
		j := v.LiveJobs()[s.Unit.Job]
		w := v.Workers()[s.Worker]
		if j == nil || j.State.Final() || w == nil || v.Cordoned(w.Zone) {
			return
		}
		g := j.UnitGroup(s.Unit.Occurrence, s.Unit.Step)
		payload, customer, ok = j.Spec.Payload, v.CustomerName(j.Customer), true
		checkpoint = checkpointOf(g, j.Step(g), &g.Units[s.Unit.Index])
	})
	a := p.leadership.agent(s.Worker)
	if a == nil || !ok {
		return // the next pass ends, stops or fences the run
	}
	waited := atMS - pg.SinceMS
	countCustomer("starts_total", customer)
	queueWaitTime.Update(float64(waited) / 1000)
	if pg.Guaranteed {
		guaranteedStartTime.Update(float64(waited) / 1000)
	}
	log := p.leadership.log
	if placed.Speed > 0 {
		log = log.WithValues("speed", math.Round(placed.Speed*100)/100)
	}
	if n := pg.Suspects[s.Unit.Index]; n > 0 {
		log = log.WithValues("suspicion", n)
		telemetry.Count("teaselpaddle_suspect_starts_total")
	}
	if placed.Lent {
		log = log.WithValues("lentRoom", true)
		telemetry.Count("teaselpaddle_starts_in_held_room_total")
	}
	if placed.Returns {
		log = log.WithValues("returns", true)
		telemetry.Count("teaselpaddle_returns_after_failure_total")
	}
	log.Info("run started", "job", s.Unit.Job, "unit", s.Unit, "run", s.Run, "worker", s.Worker, "life", s.Incarnation,
		"customer", customer, "accelerators", pg.Step.Need.Accelerators, "priority", pg.Priority, "guaranteed", pg.Guaranteed, "waitedMS", waited,
		"workerHeardMS", a.timeSinceAnswer().Milliseconds(), "lastSeenMS", a.sinceLastSeenMS())
	a.start(runKey{s.Unit, s.Run}, pg.Step.Need, payload, checkpoint)
	a.notify()
}
