package cell

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/sched"
)

func config(racks []model.RackSpec, shapes ...model.Guarantee) *model.Configuration {
	return &model.Configuration{Services: []model.Service{{
		Racks: racks, Customers: []model.Customer{{Name: "c", Guarantees: shapes}},
	}}}
}

func guarantee(size, n int) model.Guarantee {
	return model.Guarantee{AvailabilityZone: "z", Shape: model.Shape{Accelerators: size}, Count: n}
}

// TestCheckFit guards against accepting configurations that guarantee more than
// the racks hold, and against rejecting those that fit exactly.
func TestCheckFit(t *testing.T) {
	racks := []model.RackSpec{{AvailabilityZone: "z", Racks: 2, WorkersPerRack: 8, AcceleratorsPerWorker: 8}}
	odd := []model.RackSpec{{AvailabilityZone: "z", Racks: 1, WorkersPerRack: 3, AcceleratorsPerWorker: 3}}
	for i, c := range []struct {
		cfg     *model.Configuration
		missing int
		free    int
	}{
		{nil, 0, 0},
		{config(racks, guarantee(64, 2)), 0, 0},
		{config(racks, guarantee(128, 1)), 0, 0},
		{config(racks, guarantee(16, 2), guarantee(32, 2), guarantee(4, 8)), 0, 0},
		{config(racks, guarantee(48, 2), guarantee(24, 1)), 1, 32},
		{config(racks, guarantee(8, 17)), 1, 0},
		{config(odd, guarantee(2, 3)), 0, 0},
		{config(odd, guarantee(2, 4)), 1, 3},
		{config(odd, guarantee(7, 1)), 0, 0},
		{config(nil, guarantee(1, 1)), 1, 0},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			err := CheckFit(c.cfg)
			if c.missing == 0 {
				is.NoErr(err)
				return
			}
			e, ok := err.(*FitError)
			is.True(ok)
			is.Equal(e.Customer, "c")
			is.Equal(e.Zone, "z")
			is.Equal(e.Missing, c.missing)
			is.Equal(e.Free, c.free)
			is.Equal(e.Refusal().Reason, model.ReasonGuaranteesTooBig)
		})
	}
}

// TestPlannedWorkersOfSeveralServices guards against counting racks once for
// each service that names them.
func TestPlannedWorkersOfSeveralServices(t *testing.T) {
	is := is.New(t)
	spec := model.RackSpec{AvailabilityZone: "z", Racks: 2, WorkersPerRack: 4, AcceleratorsPerWorker: 8}
	small := model.RackSpec{AvailabilityZone: "z", Racks: 1, WorkersPerRack: 2, AcceleratorsPerWorker: 1}
	cfg := &model.Configuration{Services: []model.Service{{Racks: []model.RackSpec{spec}}, {Racks: []model.RackSpec{spec, small}}}}
	is.Equal(len(PlannedWorkers(cfg, "z")), 10)
	is.Equal(len(PlannedWorkers(cfg, "y")), 0)
}

func zone(racks, workers, accelerators int) *Zone {
	var ws []sched.Worker
	for r := range racks {
		for w := range workers {
			ws = append(ws, sched.Worker{
				Name: fmt.Sprintf("w%d%d", r, w), Rack: fmt.Sprintf("r%d", r), Cores: 64, MemoryMiB: 64 << 10,
				Accelerators: accelerators, Slots: 8, Usable: true,
			})
		}
	}
	return NewZone(ws)
}

// TestPlaceKeepsWorkersWhole guards against small jobs that split whole workers
// although a split one still fits them, and against gangs that are spread over
// racks.
func TestPlaceKeepsWorkersWhole(t *testing.T) {
	is := is.New(t)
	z := zone(2, 2, 8)
	small := &model.JobSpec{Tasks: 1, Accelerators: 2}
	p := z.Place(&Request{Spec: small})
	z.TakeAll(small, p, false)
	second := z.Place(&Request{Spec: small})
	is.Equal(second[0].Worker, p[0].Worker)
	is.Equal(second[0].Accelerators, []int{2, 3}) // the buddy
	gang := z.Place(&Request{Spec: &model.JobSpec{Tasks: 2, Accelerators: 8, Adjacent: true}})
	is.Equal(len(gang), 2)
	is.Equal(gang[0].Worker[:2], gang[1].Worker[:2])
	is.True(gang[0].Worker[:2] != p[0].Worker[:2])
	wide := z.Place(&Request{Spec: &model.JobSpec{Tasks: 4, Accelerators: 8, Adjacent: true}})
	is.True(wide == nil) // one worker is split
	z.ReleaseAll(small, p, false)
	wide = z.Place(&Request{Spec: &model.JobSpec{Tasks: 4, Accelerators: 8, Adjacent: true}})
	is.Equal(len(wide), 4)
}

// TestRollback guards against transactions whose changes are not all undone.
func TestRollback(t *testing.T) {
	is := is.New(t)
	z := zone(1, 2, 8)
	before, version := z.Workers[0], z.Version()
	z.Begin()
	s := &model.JobSpec{Tasks: 1, Accelerators: 3, CPU: 5}
	z.TakeAll(s, z.Place(&Request{Spec: s}), true)
	z.Block(1, Amount{Accelerators: 8, Slots: 8})
	is.Equal(z.FreeAccelerators(), 5)
	z.Rollback()
	is.Equal(z.FreeAccelerators(), 16)
	is.Equal(z.Workers[0], before)
	is.Equal(z.Version(), version)
}

// TestFragmentation guards against counting accelerators that a waiting job
// could use.
func TestFragmentation(t *testing.T) {
	is := is.New(t)
	z := zone(2, 2, 8)
	s := &model.JobSpec{Tasks: 1, Accelerators: 1}
	for _, w := range []string{"w00", "w10"} {
		z.Take(s, &model.TaskPlacement{Worker: w, Accelerators: []int{0}}, false)
	}
	large := &model.JobSpec{Tasks: 2, Accelerators: 8, Adjacent: true}
	unusable, starved := z.Fragmentation([]*model.JobSpec{large}, 8)
	is.Equal(unusable, 30)
	is.True(starved)
	unusable, _ = z.Fragmentation([]*model.JobSpec{large, {Tasks: 1, Accelerators: 8}}, 8)
	is.Equal(unusable, 14)
	unusable, starved = z.Fragmentation(nil, 8)
	is.Equal(unusable, 0)
	is.True(!starved)
}
