package batch

// check reports whether a state that was read from a snapshot refers only to what it holds. The
// snapshot's checksum shows damage on disk, but not a fault of the instance that wrote it. The error
// is an *InvalidError.
func (s *replicatedState) check() error {
	for id, w := range s.Workers {
		if w == nil {
			return invalid("snapshot holds no record of worker %q", id)
		}
	}
	for name, z := range s.Zones {
		if z == nil {
			return invalid("snapshot holds no state of zone %q", name)
		}
	}
	for id, r := range s.Silent {
		if r == nil {
			return invalid("snapshot holds no runs of silent worker %q", id)
		}
	}
	for id, j := range s.Jobs {
		if j == nil {
			return invalid("snapshot holds no record of job %q", id)
		}
		if err := j.checkSteps(); err != nil {
			return err
		}
	}
	return nil
}

// checkSteps validates the references between the steps and the unit groups of a job.
func (j *Job) checkSteps() error {
	for i := range j.Spec.Steps {
		for _, d := range j.Spec.Steps[i].DependsOn {
			if d < 0 || d >= i {
				return invalid("step %d of job %q depends on step %d", i, j.ID, d)
			}
		}
	}
	n := len(j.Spec.Steps)
	if n == 0 || len(j.UnitGroups)%n != 0 {
		return invalid("job %q has %d unit groups for %d steps", j.ID, len(j.UnitGroups), n)
	}
	for i := range j.UnitGroups {
		if g := &j.UnitGroups[i]; g.Step != i%n || g.Occurrence != i/n {
			return invalid("unit group %d of job %q is that of step %d in occurrence %d", i, j.ID, g.Step, g.Occurrence)
		}
	}
	return nil
}
