package timeofday

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against times that follow a jump of the time of day: jumps of up to 6 s length,
// either way, at least 10 s apart, so that they take less than half of any window.
func TestShortJumpsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now, jump time.Duration
		const start = int64(1_800_000_000_000)
		c := newClock(func() (int64, time.Duration) { return start + (now + jump).Milliseconds(), now })
		run := func(d time.Duration) {
			for end := now + d; now < end; {
				now += sampleInterval
				c.sample()
				if got := c.NowMS() - start - now.Milliseconds(); got != 0 {
					t.Fatalf("after %v the time is off by %d ms during a jump of %v", now, got, jump)
				}
			}
		}
		run(samples * sampleInterval)
		for range rapid.IntRange(1, 5).Draw(t, "jumps") {
			jump = time.Duration(rapid.IntRange(-100_000, 100_000).Draw(t, "jump")) * time.Millisecond
			run(time.Duration(rapid.IntRange(1, 6).Draw(t, "length")) * time.Second)
			jump = 0
			run(time.Duration(rapid.IntRange(10, 30).Draw(t, "pause")) * time.Second)
		}
	})
}

// Guards against a clock that never adopts a correction which stays, and against one
// that stands still.
func TestLastingCorrectionIsAdopted(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	correction := int64(0)
	c := newClock(func() (int64, time.Duration) { return 1000 + now.Milliseconds() + correction, now })
	is.Equal(c.NowMS(), int64(1000))
	correction = 5000
	for range samples {
		now += sampleInterval
		c.sample()
	}
	is.Equal(c.NowMS(), 1000+now.Milliseconds()+5000)
	is.True(New().NowMS() > 1_700_000_000_000)
}
