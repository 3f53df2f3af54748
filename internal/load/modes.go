package load

import (
	"context"
	"fmt"
	"time"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// Mode is the pattern in which jobs are sent.
type Mode string

// The modes.
const (
	Demo       Mode = "demo"        // a mix of single tasks and gangs, at most 64 in flight
	Steady     Mode = "steady"      // the mix of Demo at a constant rate
	BurstSmall Mode = "burst-small" // single-task jobs, all at once
	BurstLarge Mode = "burst-large" // gangs, all at once
	Cancel     Mode = "cancel"      // the mix of Demo; all jobs are cancelled at the same moment
	Storm      Mode = "storm"       // each request several times through every entry instance
)

// ModeError reports a mode that does not exist.
type ModeError struct{ Mode string }

func (e *ModeError) Error() string { return fmt.Sprintf("mode %q does not exist", e.Mode) }

// UnmarshalText implements encoding.TextUnmarshaler for the command line.
func (m *Mode) UnmarshalText(text []byte) error {
	switch v := Mode(text); v {
	case Demo, Steady, BurstSmall, BurstLarge, Cancel, Storm:
		*m = v
		return nil
	}
	return &ModeError{Mode: string(text)}
}

// gangEvery n means that one in n jobs of the mix is a gang.
const gangEvery = 10

// Tasks and accelerators per task of a gang. A gang fills a rack of two workers.
const (
	gangTasks        = 4
	gangAccelerators = 4
)

// newSpec returns the specification of the i-th request.
func (r *runner) newSpec(i int) *model.JobSpec {
	s := &model.JobSpec{
		Customer: r.opts.Customers[i%len(r.opts.Customers)], Key: fmt.Sprintf("%s-%d", r.opts.Prefix, i),
		Repeatable: i%2 == 0, Accelerators: 1, Tasks: 1, CPU: 2, MemoryMiB: 1024,
		EstimatedSeconds: 1, Payload: r.payload(),
	}
	if r.opts.Mode == BurstLarge || (r.opts.Mode != BurstSmall && i%gangEvery == gangEvery-1) {
		s.Tasks = gangTasks
		s.Accelerators = gangAccelerators
		s.Adjacent = true
	}
	return s
}

// payload returns the payload of every request.
func (r *runner) payload() string {
	if r.opts.Payload != "" {
		return r.opts.Payload
	}
	if r.opts.Mode == Cancel {
		return "sleep=2s"
	}
	return "sleep=50ms"
}

// maxParallelJobs returns the largest number of requests in flight.
func (r *runner) maxParallelJobs() int {
	switch r.opts.Mode {
	case Demo:
		return maxInFlight
	default:
		return r.opts.Jobs
	}
}

// pace waits until the next request is due.
func (r *runner) pace(ctx context.Context) {
	if r.opts.Mode != Steady {
		return
	}
	pause(ctx, time.Duration(float64(time.Second)/r.opts.Rate))
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
