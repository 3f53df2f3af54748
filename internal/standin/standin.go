// Package standin is a stand-in for the platform's workers. It implements the
// worker side of workerapi with tasks that only wait, keeps its own journal of
// what ran, and can inject faults.
//
// Its answers are truthful: a task state is never reported unless the journal
// shows it. Injected faults affect only timing, delivery, task failures and usage
// figures.
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
	callTimeout           = 2 * time.Second        // one call to an entry instance
	leavingAnnouncePeriod = 500 * time.Millisecond // between announcements while the worker leaves
	leaseCheckInterval    = 20 * time.Millisecond  // between checks for expired leases
	idlePollInterval      = 20 * time.Millisecond  // between checks whether a leaving worker is idle
	// endsTimeout bounds how long a leaving worker without runs waits until its
	// ends are acknowledged.
	endsTimeout = 10 * time.Second
)

// Worker is one stand-in worker. It runs the tasks that the daemons order or, with a
// service, the units of a region's jobs, and reports how they ended.
type Worker struct {
	opts        *Options
	address     string
	incarnation uint64
	clockStart  time.Time // zero point of the worker's clock
	journal     *Journal
	client      *http.Client
	conns       *listener

	mu            sync.Mutex // guards the fields below
	term          uint64     // highest term of a command
	tasks         map[taskKey]*task
	ended         []taskKey // ended tasks that are remembered, oldest first
	fenceFloor    uint64    // highest fencing token whose task was forgotten
	replies       replyCache
	savedProgress map[checkpointKey]time.Duration // checkpoints in memory
	faults        Faults
	rng           *rand.Rand
	seq           uint64
	leaving       bool
	unacked       int    // results not yet acknowledged
	units         *units // nil without a service
}

// New returns a worker and opens its journal.
func New(opts *Options) (*Worker, error) {
	f, err := ParseFaults([]byte(opts.Faults))
	if err != nil {
		return nil, err
	}
	j, err := OpenJournal(opts.Journal)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		opts: opts, incarnation: uint64(time.Now().UnixNano()), clockStart: time.Now().Add(-time.Second),
		journal: j, faults: *f,
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		tasks:  map[taskKey]*task{}, savedProgress: map[checkpointKey]time.Duration{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), 0)),
	}
	if opts.Service != "" {
		w.units = newUnits(time.Now())
	}
	return w, nil
}

// Run serves on opts.Address until ctx ends, then leaves: it announces that it is
// leaving, finishes its tasks, delivers their results and returns.
func Run(ctx context.Context, opts *Options) error {
	w, err := New(opts)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return errors.Annotate(err, "worker address")
	}
	return w.Serve(ctx, ln)
}

// Serve does the same as Run on an open listener.
func (w *Worker) Serve(ctx context.Context, ln net.Listener) error {
	w.address = ln.Addr().String()
	w.conns = newListener(ln, w.opts.Connections)
	srv := &http.Server{Handler: w.handler(), ReadHeaderTimeout: callTimeout, ConnContext: withConn}
	go func() { _ = srv.Serve(w.conns) }()
	stopped, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { w.checkLeases(stopped) })
	wg.Go(func() { w.announceLoop(ctx, stopped) })
	if w.units != nil {
		wg.Go(func() { w.advanceUnitsLoop(stopped) })
	}
	<-ctx.Done()
	w.leave(stopped)
	stop()
	err := srv.Close()
	w.endAllTasks()
	wg.Wait()
	w.client.CloseIdleConnections()
	return errors.Trace(err)
}

// leave announces that the worker is leaving and returns when no task is left and
// every result is acknowledged. A worker with a service that runs nothing waits
// at most endsTimeout for the acknowledgement of its ends, and then reports that it
// has left.
func (w *Worker) leave(ctx context.Context) {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.announce(ctx, 0)
	idleSince := time.Now()
	for !w.idle() && (!w.awaitsOnlyEnds() || time.Since(idleSince) < endsTimeout) {
		if !w.awaitsOnlyEnds() {
			idleSince = time.Now()
		}
		pause(ctx, idlePollInterval)
	}
	if w.units != nil {
		w.mu.Lock()
		a := w.unitAnnouncement()
		w.mu.Unlock()
		w.sendToAnyEntry(ctx, 0, "/v1/workers/leave", a)
	}
}

// awaitsOnlyEnds reports whether a worker with a service runs nothing, so that it
// waits at most for the acknowledgement of its ends.
func (w *Worker) awaitsOnlyEnds() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.units != nil && len(w.units.runs) == 0
}

// idle reports whether no task or run is left and every result and end is
// acknowledged.
func (w *Worker) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unacked > 0 || w.units != nil && len(w.units.runs)+len(w.units.ends) > 0 {
		return false
	}
	for _, t := range w.tasks {
		if t.holdsResources() {
			return false
		}
	}
	return true
}

// Kill ends the worker at once, as SIGKILL would: tasks end without an entry in
// the journal and results are not delivered. It is for tests that run the worker
// in their own process.
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

// announceLoop announces the worker periodically until stopped ends, more often
// once ctx has ended and the worker is leaving.
func (w *Worker) announceLoop(ctx, stopped context.Context) {
	for i := 0; stopped.Err() == nil; i++ {
		w.announce(stopped, i)
		period := w.opts.AnnouncePeriod
		if ctx.Err() != nil {
			period = leavingAnnouncePeriod
		}
		select {
		case <-stopped.Done():
		case <-time.After(period):
		}
	}
}

// announce sends one announcement to the first entry instance that accepts it,
// trying entry i first.
func (w *Worker) announce(ctx context.Context, i int) {
	w.mu.Lock()
	w.seq++
	var v any = &model.Worker{
		Name: w.opts.Name, Address: w.address, AvailabilityZone: w.opts.Zone, Rack: w.opts.Rack,
		Cores: w.opts.Cores, MemoryMiB: w.opts.MemoryMiB, Accelerators: w.opts.Accelerators,
		Slots: w.opts.Slots, Connections: w.opts.Connections, Leaving: w.leaving,
		Incarnation: w.incarnation, Seq: w.seq,
	}
	if w.units != nil {
		v = w.unitAnnouncement()
	}
	w.mu.Unlock()
	w.sendToAnyEntry(ctx, i, "/v1/workers/announce", v)
}

// sendToAnyEntry sends v to the first entry instance that accepts it, trying
// entry i first.
func (w *Worker) sendToAnyEntry(ctx context.Context, i int, path string, v any) {
	for k := range w.opts.Entries {
		if w.post(ctx, w.opts.Entries[(i+k)%len(w.opts.Entries)], path, v) == deliveryAcknowledged {
			return
		}
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
