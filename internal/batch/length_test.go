package batch

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a step that seems to have time left although steps after it have not.
func TestFollowingMS(t *testing.T) {
	is := is.New(t)
	j := &Job{Spec: Spec{Steps: []Step{
		{EstimateMS: 10}, {EstimateMS: 5, DependsOn: []int{0}}, {EstimateMS: 100}, {EstimateMS: 7, DependsOn: []int{1}}, {EstimateMS: 8, DependsOn: []int{0}},
	}}}
	for step, want := range []int64{12, 7, 0, 0, 0} {
		is.Equal(j.FollowingMS(step), want)
	}
}
