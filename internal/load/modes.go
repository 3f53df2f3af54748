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
	Demo       Mode = "demo"        // a mix with gangs, at most 64 at the same time
	Steady     Mode = "steady"      // the same mix at a constant rate
	BurstSmall Mode = "burst-small" // small jobs, all at once
	BurstLarge Mode = "burst-large" // gangs, all at once
	Cancel     Mode = "cancel"      // the mix; all are cancelled at the same moment
	Storm      Mode = "storm"       // each request several times through every entry
)

// ModeError is a mode that does not exist.
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

// gangEvery is how often the mix has a gang.
const gangEvery = 10

// Tasks and accelerators of a gang; it fills a rack of two workers.
const (
	gangTasks        = 4
	gangAccelerators = 4
)

// spec returns the i-th request.
func (r *runner) spec(i int) *model.JobSpec {
	s := &model.JobSpec{
		Customer: r.o.Customers[i%len(r.o.Customers)], Key: fmt.Sprintf("%s-%d", r.o.Prefix, i),
		Repeatable: i%2 == 0, Accelerators: 1, Tasks: 1, CPU: 2, MemoryMiB: 1024,
		EstimatedSeconds: 1, Payload: r.payload(),
	}
	if r.o.Mode == BurstLarge || (r.o.Mode != BurstSmall && i%gangEvery == gangEvery-1) {
		s.Tasks = gangTasks
		s.Accelerators = gangAccelerators
		s.Adjacent = true
	}
	return s
}

func (r *runner) payload() string {
	if r.o.Payload != "" {
		return r.o.Payload
	}
	if r.o.Mode == Cancel {
		return "sleep=2s"
	}
	return "sleep=50ms"
}

// width is the number of requests in work at the same time.
func (r *runner) width() int {
	switch r.o.Mode {
	case Demo:
		return parallel
	default:
		return r.o.Jobs
	}
}

// pace waits until the next request is due.
func (r *runner) pace(ctx context.Context) {
	if r.o.Mode != Steady {
		return
	}
	pause(ctx, time.Duration(float64(time.Second)/r.o.Rate))
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
