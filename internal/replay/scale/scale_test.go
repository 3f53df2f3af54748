package scale

import "testing"

func TestX(t *testing.T) {
	z := New(FullWorkers, 50)
	n := 0
	for _, r := range z.Snap.Running {
		n += r.Spec.Tasks
	}
	t.Log("running", len(z.Snap.Running), "tasks", n)
	t.Log("dec", z.Decisions(1000))
	t.Log("rebuilt", z.Rebuilt(5), "naive", z.Naive(3))
	z = New(FullWorkers, 10000)
	t.Log("pass", z.Pass(10))
	t.Log("mem", z.Memory())
}
