// Package load generates load in place of real callers. It submits jobs through
// several entry instances, follows them to their final answers, and checks the
// answers against the workers' own journals.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"

	"teaselpaddle.example/teaselpaddle/internal/model"
	"teaselpaddle.example/teaselpaddle/internal/standin"
)

// Options are the load tool's command line.
type Options struct {
	Entries   []string `arg:"--entries,required" help:"client addresses of entry instances"`
	Mode      Mode     `arg:"--mode" default:"demo" help:"demo, steady, burst-small, burst-large, cancel or storm"`
	Jobs      int      `arg:"--jobs" default:"200"`
	Customers []string `arg:"--customers,required"`
	Journals  string   `arg:"--journals" help:"folder with the workers' journals (*.journal)"`
	Prefix    string   `arg:"--prefix" default:"load" help:"start of each request key"`
	Payload   string   `arg:"--payload" help:"payload of every job; empty: by mode"`
	Rate      float64  `arg:"--rate" default:"20" help:"jobs per second in mode steady"`
	Lose      float64  `arg:"--lose" default:"0.1" help:"part of the submissions whose answer is dropped and that are sent again"`
	Seed      uint64   `arg:"--seed" default:"1"`
	Verbose   bool     `arg:"--verbose" help:"print each job's answer"`

	Timeout     time.Duration `arg:"--timeout" default:"50s" help:"time for one job"`
	CancelAfter time.Duration `arg:"--cancel-after" default:"500ms" help:"time before the wave in mode cancel"`
	// AllowReruns accepts a repeatable job that ran to completion more than once.
	AllowReruns bool `arg:"--allow-reruns" help:"a repeatable job may run whole more than once"`
}

// maxInFlight bounds the requests in flight in modes that do not send all
// requests at once.
const maxInFlight = 64

// crossCheckEvery n means that the final answer of one in n jobs is read again
// through another entry instance.
const crossCheckEvery = 5

// runner holds the state of one run. mu guards outcomes and rng.
type runner struct {
	opts       *Options
	caller     *Caller
	cancelWave chan struct{} // closed when the cancellations begin

	mu       sync.Mutex
	outcomes []*Outcome
	rng      *rand.Rand
}

// Run submits the jobs, waits for all answers and checks them.
func Run(ctx context.Context, opts *Options) (*Summary, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	r := &runner{
		opts: opts, caller: NewCaller(opts.Entries), cancelWave: make(chan struct{}),
		rng: rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	r.caller.DropAnswer = r.dropAnswer
	r.submitAll(ctx)
	events, err := ReadJournals(opts.Journals)
	if err != nil {
		return nil, err
	}
	c := Checker{AllowReruns: opts.AllowReruns}
	return newSummary(opts.Mode, r.outcomes, c.Check(r.outcomes, events)), nil
}

// OptionError reports an option that is missing or out of range.
type OptionError struct {
	Option string
	Detail string
}

func (e *OptionError) Error() string { return fmt.Sprintf("option %s: %s", e.Option, e.Detail) }

func (o *Options) validate() error {
	switch {
	case len(o.Entries) == 0:
		return &OptionError{Option: "--entries", Detail: "must name at least one entry instance"}
	case len(o.Customers) == 0:
		return &OptionError{Option: "--customers", Detail: "must name at least one customer"}
	case o.Jobs < 1:
		return &OptionError{Option: "--jobs", Detail: "must be at least 1"}
	case o.Mode == Steady && o.Rate <= 0:
		return &OptionError{Option: "--rate", Detail: "must be more than 0 jobs per second"}
	}
	return nil
}

// submitAll sends the jobs in the pattern of the mode and waits until all have
// ended.
func (r *runner) submitAll(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, r.maxParallelJobs())
	if r.opts.Mode == Cancel {
		time.AfterFunc(r.opts.CancelAfter, func() { close(r.cancelWave) })
	}
	for i := range r.opts.Jobs {
		r.pace(ctx)
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r.runJob(ctx, i)
		})
	}
	wg.Wait()
}

// runJob submits one request and follows it to its final answer.
func (r *runner) runJob(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	out := &Outcome{Spec: *r.newSpec(i)}
	if r.opts.Mode == Storm {
		r.caller.Storm(ctx, out)
	}
	if r.opts.Mode == Cancel {
		go r.cancelAtWave(ctx, i, out.Spec)
	}
	r.caller.Follow(ctx, i, out)
	if i%crossCheckEvery == 0 {
		r.caller.CrossCheck(ctx, i+1, out)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, out)
	if r.opts.Verbose {
		fmt.Println(out)
	}
}

// cancelAtWave cancels the job of a request once the cancellations begin.
func (r *runner) cancelAtWave(ctx context.Context, i int, spec model.JobSpec) {
	select {
	case <-ctx.Done():
	case <-r.cancelWave:
		r.caller.CancelUntilAnswered(ctx, i, &spec)
	}
}

// dropAnswer reports, at random, whether the answer of the next submission is
// dropped.
func (r *runner) dropAnswer() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < r.opts.Lose
}

// ReadJournals returns the events of all journals (*.journal) in a folder. An
// empty name gives no events; a folder without journals is an *OptionError.
func ReadJournals(folder string) ([]standin.Event, error) {
	if folder == "" {
		return nil, nil
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.journal"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(files) == 0 {
		return nil, &OptionError{Option: "--journals", Detail: "folder " + folder + " has no journal"}
	}
	var out []standin.Event
	for _, name := range files {
		list, err := standin.ReadJournal(name)
		if os.IsNotExist(errors.Cause(err)) {
			continue
		}
		if err != nil {
			return nil, err
		}
		out = append(out, list...)
	}
	return out, nil
}
