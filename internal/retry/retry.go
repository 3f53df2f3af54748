// Package retry bounds retries: a budget per target and jittered exponential
// backoff.
package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Budget allows retries as a share of the requests, so that retries cannot
// multiply the load on a target that is already failing. The zero value allows
// none; use NewBudget.
type Budget struct {
	ratio float64
	burst float64

	mu     sync.Mutex // guards tokens
	tokens float64
}

// NewBudget returns a budget of ratio retries per request and burst retries at
// once, full at the start.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Request notes a first try.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Allow reports whether one retry may be made, and takes it from the budget.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the pause before the given try, counted from 0: a random time
// of up to base doubled per try, at most limit, and at least half of that.
func Backoff(try int, base, limit time.Duration) time.Duration {
	d := limit
	if try < 30 {
		d = min(limit, base<<try)
	}
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// Sleep pauses for d and reports whether ctx is still alive.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
