package batch

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a later step of a job that counts the steps before it, or one that does
// not count those that follow, when its time left is compared with its length.
func TestLengthFromStep(t *testing.T) {
	is := is.New(t)
	j := &Job{Spec: Spec{Steps: []Step{
		{EstimateMS: 1000}, {EstimateMS: 200, DependsOn: []int{0}}, {EstimateMS: 500, DependsOn: []int{0}}, {EstimateMS: 30, DependsOn: []int{1}},
	}}}
	for step, want := range []int64{1500, 230, 500, 30} {
		is.Equal(j.LengthFromMS(step), want)
	}
	is.Equal(j.LengthFromMS(0), j.LengthMS())
}
