package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against retries that multiply the load: with a ratio of 0.1 a hundred
// failing requests cause at most ten retries beyond the burst.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1, 5)
	retries := 0
	for range 100 {
		b.AddRequest()
		for b.Allow() {
			retries++
		}
	}
	is.True(retries <= 15)
	is.True(retries >= 14)
}

// Guards against delays out of range, including after many retries.
func TestBackoffRange(t *testing.T) {
	is := is.New(t)
	for retry := range 100 {
		d := Backoff(retry, 10*time.Millisecond, time.Second)
		is.True(d >= 5*time.Millisecond)
		is.True(d <= time.Second)
	}
}
