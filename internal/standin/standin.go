// Package standin is a stand-in for the platform's workers. It implements the
// workers' side of workerapi with tasks that only pass time, keeps its own
// journal of what ran, and can be told to misbehave.
//
// The answers are truthful: a task state is never reported unless the journal
// shows it. The misbehaviour of Faults affects time, delivery and usage figures
// only.
package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/workerapi"
)

// Options are the stand-in's command line.
type Options struct {
	Name         string   `arg:"--name,required" help:"worker's name"`
	Address      string   `arg:"--address,required" help:"IP:port to listen on"`
	Zone         string   `arg:"--zone,required" help:"availability zone"`
	Rack         string   `arg:"--rack,required"`
	Entries      []string `arg:"--entries,required" help:"client addresses of entry instances"`
	Accelerators int      `arg:"--accelerators" default:"8"`
	Cores        int      `arg:"--cores" default:"64"`
	MemoryMiB    int      `arg:"--memory-mib" default:"262144"`
	Slots        int      `arg:"--slots" default:"8"`
	Connections  int      `arg:"--connections" default:"64" help:"open connections accepted at the same time"`
	Journal      string   `arg:"--journal" help:"file that records what happened to each task"`
	Checkpoints  string   `arg:"--checkpoints" help:"folder for checkpoints that all workers share; empty: kept in memory"`
	Service      string   `arg:"--service" help:"run units of this service, for a deployment with the extent region"`
	Labels       []string `arg:"--labels" help:"labels of a worker with a service"`
	Faults       string   `arg:"--faults" help:"faults from the start, as JSON (see POST /standin/faults)"`

	AnnouncePeriod time.Duration `arg:"--announce-period" default:"2s"`
	UsagePeriod    time.Duration `arg:"--usage-period" default:"1s" help:"time between usage reports of a task"`
	UsageLag       time.Duration `arg:"--usage-lag" default:"500ms" help:"delay of a usage report"`
	CheckpointTime time.Duration `arg:"--checkpoint-time" default:"20ms" help:"time that a checkpoint takes"`
}

// Times of the stand-in.
const (
	callTimeout   = 2 * time.Second        // one call to an entry instance
	leavingPeriod = 500 * time.Millisecond // between announcements while leaving
	leaseCheck    = 20 * time.Millisecond  // how often leases are checked
	idlePoll      = 20 * time.Millisecond  // how often a leaving worker checks for its end
	// endsLimit is how long a leaving worker without runs waits until its ends are
	// noted.
	endsLimit = 10 * time.Second
)

// Worker is one stand-in worker.
type Worker struct {
	o           *Options
	address     string
	incarnation uint64
	epoch       time.Time // zero of the worker's clock
	journal     *Journal
	client      *http.Client
	conns       *listener

	mu      sync.Mutex // guards the fields below
	term    uint64
	tasks   map[taskKey]*task
	ended   []taskKey // tasks that ended, oldest first
	floor   uint64    // highest fencing number whose task was forgotten
	replies replyCache
	saved   map[checkpointKey]time.Duration
	faults  Faults
	rng     *rand.Rand
	seq     uint64
	leaving bool
	unacked int    // results not acknowledged yet
	units   *units // nil without a service
}

// New returns a worker and opens its journal.
func New(o *Options) (*Worker, error) {
	f, err := ParseFaults([]byte(o.Faults))
	if err != nil {
		return nil, err
	}
	j, err := OpenJournal(o.Journal)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		o: o, incarnation: uint64(time.Now().UnixNano()), epoch: time.Now().Add(-time.Second),
		journal: j, faults: *f,
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		tasks:  map[taskKey]*task{}, saved: map[checkpointKey]time.Duration{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), 0)),
	}
	if o.Service != "" {
		w.units = newUnits(time.Now())
	}
	return w, nil
}

// Run serves on the address of o until ctx ends, then leaves: it announces that
// it is leaving, finishes its tasks, delivers their results and returns.
func Run(ctx context.Context, o *Options) error {
	w, err := New(o)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", o.Address)
	if err != nil {
		return errors.Annotate(err, "worker address")
	}
	return w.Serve(ctx, ln)
}

// Serve is Run on an open listener.
func (w *Worker) Serve(ctx context.Context, ln net.Listener) error {
	w.address = ln.Addr().String()
	w.conns = newListener(ln, w.o.Connections)
	srv := &http.Server{Handler: w.handler(), ReadHeaderTimeout: callTimeout, ConnContext: withConn}
	go func() { _ = srv.Serve(w.conns) }()
	stopped, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { w.checkLeases(stopped) })
	wg.Go(func() { w.announceLoop(ctx, stopped) })
	if w.units != nil {
		wg.Go(func() { w.advanceUnits(stopped) })
	}
	<-ctx.Done()
	w.leave(stopped)
	stop()
	err := srv.Close()
	w.endAll()
	wg.Wait()
	w.client.CloseIdleConnections()
	return errors.Trace(err)
}

// leave returns when no task is left and every result was acknowledged.
func (w *Worker) leave(ctx context.Context) {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.announce(ctx, 0)
	idleSince := time.Now()
	for !w.idle() && (!w.onlyEnds() || time.Since(idleSince) < endsLimit) {
		if !w.onlyEnds() {
			idleSince = time.Now()
		}
		pause(ctx, idlePoll)
	}
	if w.units != nil {
		w.mu.Lock()
		a := w.asUnitWorker()
		w.mu.Unlock()
		w.tell(ctx, 0, "/v1/workers/leave", a)
	}
}

// onlyEnds reports whether a worker with a service runs nothing, so that it waits
// only until its ends are noted.
func (w *Worker) onlyEnds() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.units != nil && len(w.units.runs) == 0
}

func (w *Worker) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unacked > 0 || w.units != nil && len(w.units.runs)+len(w.units.ends) > 0 {
		return false
	}
	for _, t := range w.tasks {
		if t.holds() {
			return false
		}
	}
	return true
}

// Kill ends the worker at once, as SIGKILL would: tasks end without an entry in
// the journal and results are not delivered. It serves tests in one process.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.journal.Close()
	w.conns.closeAll()
	for _, t := range w.tasks {
		if t.cancel != nil {
			t.cancel()
		}
		t.state = workerapi.TaskStopped
		t.acked = true
	}
	if w.units != nil {
		clear(w.units.runs)
		w.units.ends = nil
	}
	w.unacked = 0
}

func (w *Worker) announceLoop(ctx, stopped context.Context) {
	for i := 0; stopped.Err() == nil; i++ {
		w.announce(stopped, i)
		period := w.o.AnnouncePeriod
		if ctx.Err() != nil {
			period = leavingPeriod
		}
		select {
		case <-stopped.Done():
		case <-time.After(period):
		}
	}
}

// announce sends one announcement to the first entry instance that takes it,
// beginning with number i.
func (w *Worker) announce(ctx context.Context, i int) {
	w.mu.Lock()
	w.seq++
	var v any = &model.Worker{
		Name: w.o.Name, Address: w.address, AvailabilityZone: w.o.Zone, Rack: w.o.Rack,
		Cores: w.o.Cores, MemoryMiB: w.o.MemoryMiB, Accelerators: w.o.Accelerators,
		Slots: w.o.Slots, Connections: w.o.Connections, Leaving: w.leaving,
		Incarnation: w.incarnation, Seq: w.seq,
	}
	if w.units != nil {
		v = w.asUnitWorker()
	}
	w.mu.Unlock()
	w.tell(ctx, i, "/v1/workers/announce", v)
}

// tell sends v to the first entry instance that takes it, beginning with number i.
func (w *Worker) tell(ctx context.Context, i int, path string, v any) {
	for k := range w.o.Entries {
		if w.post(ctx, w.o.Entries[(i+k)%len(w.o.Entries)], path, v) == taken {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
