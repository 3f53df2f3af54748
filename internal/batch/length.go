package batch

// LengthFromMS returns the estimated duration of the longest chain of dependent steps
// that begins with a step, ms.
func (j *Job) LengthFromMS(step int) int64 {
	tails := make([]int64, len(j.Spec.Steps))
	for i := len(tails) - 1; i >= step; i-- {
		st := &j.Spec.Steps[i]
		tails[i] += st.EstimateMS
		for _, d := range st.DependsOn {
			tails[d] = max(tails[d], tails[i])
		}
	}
	return tails[step]
}
