package replay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Deployment holds the parameters of Generate.
type Deployment struct {
	Name                string
	Zones               []string
	RacksPerZone        int
	WorkersPerRack      int
	Accelerators        int // per worker
	Cores               int
	MemoryMiB           int
	FragmentationWeight float64 // of the policy
	CheckpointBound     float64 // in seconds
	Hours               float64
	// Load is the submitted work as a share of the accelerator time.
	Load float64
}

// Authority returns the deployment of the Jordan Public Tube Forming Authority.
func Authority() Deployment {
	return Deployment{
		Name: "authority", Zones: []string{"amman-1", "amman-2", "amman-3"}, RacksPerZone: 2, WorkersPerRack: 8,
		Accelerators: 8, Cores: 64, MemoryMiB: 256 << 10, FragmentationWeight: 0.3, CheckpointBound: 5, Hours: 24, Load: 0.8,
	}
}

// Birlik returns the deployment of the Birlik Dues Clearing Consortium.
func Birlik() Deployment {
	return Deployment{
		Name: "birlik", Zones: []string{"astana-1", "astana-2", "karaganda-1"}, RacksPerZone: 2, WorkersPerRack: 8,
		Accelerators: 8, Cores: 32, MemoryMiB: 128 << 10, FragmentationWeight: 0.8, CheckpointBound: 5, Hours: 24, Load: 0.8,
	}
}

// Parameters of the generated jobs; shares are shares of all jobs.
const (
	largeShare         = 0.12 // jobs of one to eight whole workers
	burstShare         = 0.5
	urgentShare        = 0.02
	notRepeatableShare = 0.10
	endlessShare       = 0.005
	impossibleShare    = 0.005
	memoryOveruseShare = 0.02 // use more memory than declared
	maxEstimateError   = 10.0 // run times are off by up to this factor
	burstSeconds       = 120
	// cancelFactor is the multiple of its declared time after which an endless job
	// is cancelled.
	cancelFactor = 12
)

// gangSizes holds the sizes of large jobs in whole workers, drawn with equal
// probability. Gangs of a whole rack are rare, because one worker out of service
// in each rack keeps all of them waiting.
var gangSizes = []int{1, 1, 1, 1, 2, 2, 2, 4, 4, 8}

// generator generates one trace.
type generator struct {
	d        Deployment
	rnd      *rand.Rand
	events   []Event
	jobCount int
	seed     uint64
}

// Generate generates a trace from a seed: half of the jobs arrive in bursts,
// declared run times are wrong by a factor of up to 10, some jobs never end, some
// can never run, and one worker per zone fails every task.
func Generate(d Deployment, seed uint64) []Event {
	g := &generator{d: d, rnd: rand.New(rand.NewPCG(seed, 1)), seed: seed}
	g.add(Event{Kind: KindConfig, Config: g.config()})
	for _, z := range d.Zones {
		g.workers(z)
		g.jobs(z)
	}
	slices.SortStableFunc(g.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return g.events
}

func (g *generator) add(e Event) { g.events = append(g.events, e) }

// customers holds the customers of a generated deployment: two large ones with
// guarantees in each zone, and two small ones without.
var customers = []string{"large-a", "large-b", "small-c", "small-d"}

func (g *generator) config() *model.Configuration {
	d := &g.d
	svc := model.Service{Name: d.Name, Policy: model.Policy{
		CheckpointBoundSeconds: d.CheckpointBound, FragmentationWeight: d.FragmentationWeight, MaxFailures: 3, RetentionSeconds: 86400,
	}}
	for i, name := range customers {
		c := model.Customer{Name: name, Weight: []int{3, 3, 1, 1}[i], QueueLimit: 100000}
		for _, z := range d.Zones {
			switch i {
			case 0:
				c.Guarantees = append(c.Guarantees, model.Guarantee{AvailabilityZone: z, Shape: model.Shape{Accelerators: 2 * d.Accelerators}, Count: 2})
			case 1:
				c.Guarantees = append(c.Guarantees, model.Guarantee{AvailabilityZone: z, Shape: model.Shape{Accelerators: 4 * d.Accelerators}, Count: 1})
			}
		}
		svc.Customers = append(svc.Customers, c)
	}
	for _, z := range d.Zones {
		svc.Racks = append(svc.Racks, model.RackSpec{
			AvailabilityZone: z, Racks: d.RacksPerZone, WorkersPerRack: d.WorkersPerRack, AcceleratorsPerWorker: d.Accelerators,
		})
	}
	return &model.Configuration{Version: 1, Services: []model.Service{svc}}
}

func (g *generator) workers(zone string) {
	n := g.d.RacksPerZone * g.d.WorkersPerRack
	faulty := g.rnd.IntN(n)
	for i := range n {
		g.add(Event{Kind: KindAnnounce, Zone: zone, Faulty: i == faulty, Worker: &model.Worker{
			Name: fmt.Sprintf("%s-w%03d", zone, i), AvailabilityZone: zone,
			Rack: fmt.Sprintf("%s-r%03d", zone, i/g.d.WorkersPerRack), Cores: g.d.Cores, MemoryMiB: g.d.MemoryMiB,
			Accelerators: g.d.Accelerators, Slots: 8, Connections: 64,
		}})
	}
}

// jobs submits jobs to a zone until their work reaches Deployment.Load of the
// zone's accelerator time.
func (g *generator) jobs(zone string) {
	total := g.d.Load * g.d.Hours * 3600 * float64(g.d.RacksPerZone*g.d.WorkersPerRack*g.d.Accelerators)
	span := g.d.Hours * 3600
	burstAt, burstLeft := 0.0, 0
	for work := 0.0; work < total; {
		if burstLeft == 0 {
			burstAt, burstLeft = g.rnd.Float64()*span, 10+g.rnd.IntN(40)
		}
		when := g.rnd.Float64() * span
		if g.rnd.Float64() < burstShare {
			when = burstAt + g.rnd.Float64()*burstSeconds
			burstLeft--
		}
		work += g.job(zone, time.Duration(when*float64(time.Second)))
	}
}

// job submits one job and returns its work in accelerator-seconds.
func (g *generator) job(zone string, when time.Duration) float64 {
	d := &g.d
	g.jobCount++
	name := customers[g.rnd.IntN(len(customers))]
	key := fmt.Sprintf("s%d-%d", g.seed, g.jobCount)
	s := model.JobSpec{
		Customer: name, Key: key, Tasks: 1, Accelerators: 1 << g.rnd.IntN(3), Adjacent: true,
		Repeatable: g.rnd.Float64() >= notRepeatableShare, Urgent: g.rnd.Float64() < urgentShare,
	}
	seconds := 600 * math.Exp(g.rnd.NormFloat64())
	if g.rnd.Float64() < largeShare {
		s.Tasks, s.Accelerators = gangSizes[g.rnd.IntN(len(gangSizes))], d.Accelerators
		seconds = 1800 * math.Exp(0.8*g.rnd.NormFloat64())
	}
	if g.rnd.Float64() < impossibleShare {
		s.Accelerators = 2 * d.Accelerators
	}
	s.CPU = s.Accelerators * d.Cores / d.Accelerators / 2
	s.MemoryMiB = s.Accelerators * d.MemoryMiB / d.Accelerators / 2
	estimateError := math.Exp((2*g.rnd.Float64() - 1) * math.Log(maxEstimateError))
	s.EstimatedSeconds = math.Ceil(seconds * estimateError)
	e := Event{
		At: toMillis(when), Kind: KindSubmit, Zone: zone, Job: model.NewJobID(zone, name, key), Spec: &s,
		RunSeconds: math.Round(seconds*1000) / 1000, Endless: g.rnd.Float64() < endlessShare,
	}
	if g.rnd.Float64() < memoryOveruseShare {
		e.UsedMemoryMiB = 2 * s.MemoryMiB
	}
	g.add(e)
	if e.Endless {
		seconds = min(cancelFactor*s.EstimatedSeconds, d.Hours*3600)
		g.add(Event{At: toMillis(when + time.Duration(seconds*float64(time.Second))), Kind: KindCancel, Zone: zone, Job: e.Job})
	}
	return seconds * float64(s.TotalAccelerators())
}
