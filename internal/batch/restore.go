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
	for i := range j.UnitGroups {
		if st := j.UnitGroups[i].Step; st < 0 || st >= len(j.Spec.Steps) {
			return invalid("job %q has units of step %d, which it does not have", j.ID, st)
		}
	}
	return nil
}
