package view

import (
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/blackboard"
	"teaselpaddle.example/teaselpaddle/internal/model"
)

func worker(name, rack string) blackboard.Entry {
	return blackboard.Entry{Worker: model.Worker{Name: name, Rack: rack, Cores: 64, MemoryMiB: 1 << 18, Accelerators: 8, Slots: 8}}
}

// running returns a job with one running task on the given worker.
func running(customer, worker string, borrowed bool, accelerators ...int) *model.Job {
	return &model.Job{
		Spec: model.JobSpec{Customer: customer, Tasks: 1, Accelerators: len(accelerators)},
		Attempt: &model.Attempt{Borrowed: borrowed, Placement: []model.TaskPlacement{
			{Worker: worker, Accelerators: accelerators},
		}},
	}
}

func waiting(customer string, tasks, accelerators int, adjacent bool) *model.Job {
	return &model.Job{Spec: model.JobSpec{Customer: customer, Tasks: tasks, Accelerators: accelerators, Adjacent: adjacent}}
}

// TestCustomers guards against wrong sums for a customer that borrows and for
// one that is no longer configured.
func TestCustomers(t *testing.T) {
	is := is.New(t)
	cfg := &model.Configuration{Services: []model.Service{{Name: "s", Customers: []model.Customer{
		{Name: "a", Guarantees: []model.Guarantee{
			{AvailabilityZone: "z", Shape: model.Shape{Accelerators: 8}, Count: 2},
			{AvailabilityZone: "other", Shape: model.Shape{Accelerators: 8}, Count: 5},
		}},
		{Name: "b"},
	}}}}
	active := []*model.Job{
		running("a", "w1", false, 0, 1, 2, 3), running("a", "w1", true, 4, 5),
		running("b", "w2", true, 0), waiting("b", 1, 8, false), running("gone", "w2", false, 1),
	}
	is.Equal(Customers("z", cfg, active), []Customer{
		{Customer: "gone", InUse: 1},
		{Service: "s", Customer: "a", Guarantee: 16, InUse: 6, Borrowed: 2, Reclaimable: 12},
		{Service: "s", Customer: "b", InUse: 1, Borrowed: 1, Queued: 1},
	})
	is.Equal(len(Customers("z", nil, nil)), 0)
}

// TestFragmentation guards against counting accelerators as free on workers that
// take no work, and against blocks that are not aligned.
func TestFragmentation(t *testing.T) {
	workers := []blackboard.Entry{worker("a1", "a"), worker("a2", "a"), worker("a3", "a"), worker("a4", "a"), worker("b1", "b")}
	all := func(*blackboard.Entry) bool { return true }
	scattered := []*model.Job{running("c", "a1", false, 0), running("c", "a2", false, 3), running("c", "a4", false, 1, 7), running("c", "b1", false, 1, 3, 5, 7)}
	cases := []struct {
		name   string
		usable func(*blackboard.Entry) bool
		active []*model.Job
		want   Fragmentation
	}{
		{"empty", all, nil, Fragmentation{Free: 40, Racks: []Rack{{"a", 32, 32, 0}, {"b", 8, 8, 0}}}},
		{"scattered tasks without a waiting job", all, scattered, Fragmentation{Free: 32, Racks: []Rack{{"a", 28, 8, 0}, {"b", 4, 1, 0}}}},
		{
			"large adjacent job", all, append([]*model.Job{waiting("c", 4, 8, true)}, scattered...),
			Fragmentation{Free: 32, Stranded: 32, Waiting: 1, Racks: []Rack{{"a", 28, 8, 28}, {"b", 4, 1, 4}}},
		},
		{
			"job that fits one worker", all, append([]*model.Job{waiting("c", 1, 8, true)}, scattered...),
			Fragmentation{Free: 32, Stranded: 24, Waiting: 1, Racks: []Rack{{"a", 28, 8, 20}, {"b", 4, 1, 4}}},
		},
		{
			"job that fits only across racks", all, append([]*model.Job{waiting("c", 6, 4, false)}, scattered...),
			Fragmentation{Free: 32, Waiting: 1, Racks: []Rack{{"a", 28, 8, 0}, {"b", 4, 1, 0}}},
		},
		{
			"job without accelerators", all, append([]*model.Job{waiting("c", 1, 0, false)}, scattered...),
			Fragmentation{Free: 32, Waiting: 1, Racks: []Rack{{"a", 28, 8, 0}, {"b", 4, 1, 0}}},
		},
		{
			"unusable worker keeps its position in the rack", func(e *blackboard.Entry) bool { return e.Worker.Name != "a1" }, nil,
			Fragmentation{Free: 32, Racks: []Rack{{"a", 24, 16, 0}, {"b", 8, 8, 0}}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(*NewFragmentation(workers, c.active, c.usable), c.want)
		})
	}
}
