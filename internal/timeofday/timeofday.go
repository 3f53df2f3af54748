// Package timeofday gives the time of day without its short jumps.
//
// The time of day of a machine may jump by seconds, forward or back, and jump back again
// later. Times that are stored and compared later, such as when a job was accepted, must
// not follow. The clock adds a steady time, which never jumps, to the median of the recent
// differences between the two. A jump moves the median only once it has lasted for half
// of the window.
package timeofday

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// The window of differences. Jumps of up to half of its length, 8 s, are ignored; a
// correction that stays is adopted after that.
const (
	sampleInterval = time.Second
	samples        = 17
)

// Clock is a filtered time of day. It is safe for concurrent use.
type Clock struct {
	// read returns the time of day in Unix ms and a steady time.
	read func() (wallMS int64, steady time.Duration)

	mu      sync.Mutex // guards the fields below
	offsets []int64    // recent differences between the two, ms; the oldest is at next
	next    int
	median  int64
}

// New returns a clock. Run keeps it up to date.
func New() *Clock { return newClock(readSystem) }

func newClock(read func() (int64, time.Duration)) *Clock {
	c := &Clock{read: read}
	c.sample()
	return c
}

func readSystem() (wallMS int64, steady time.Duration) {
	return time.Now().UnixMilli(), Steady()
}

// Steady returns a time that never jumps. Only differences between its results are
// meaningful. It also counts the time for which the machine is suspended; the steady clock
// of package time does not.
func Steady() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

// Run samples the clocks until ctx ends.
func (c *Clock) Run(ctx context.Context) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.sample()
		}
	}
}

func (c *Clock) sample() {
	wallMS, steady := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	offset := wallMS - steady.Milliseconds()
	if len(c.offsets) < samples {
		c.offsets = append(c.offsets, offset)
	} else {
		c.offsets[c.next] = offset
		c.next = (c.next + 1) % samples
	}
	sorted := slices.Sorted(slices.Values(c.offsets))
	c.median = sorted[len(sorted)/2]
}

// NowMS returns the time of day in Unix ms.
func (c *Clock) NowMS() int64 {
	_, steady := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	return steady.Milliseconds() + c.median
}
