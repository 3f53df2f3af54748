// Package retry limits retries by a budget per target and by exponential
// back-off with jitter.
package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Budget allows retries as a fraction of the requests, so that retries cannot
// multiply the load on a target that is already failing. The zero value allows
// none; use NewBudget.
type Budget struct {
	ratio float64
	burst float64

	mu     sync.Mutex // guards tokens
	tokens float64
}

// NewBudget returns a full budget that allows ratio retries per request and a
// burst of at most burst retries.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// AddRequest adds a first attempt's share to the budget.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Allow reports whether a retry is allowed and, if so, deducts it from the
// budget.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the delay before the given retry, counted from 0. The upper
// bound is base, doubled for each earlier retry, but at most limit; the delay is
// random between half of the bound and the bound.
func Backoff(retry int, base, limit time.Duration) time.Duration {
	d := limit
	if retry < 30 {
		d = min(limit, base<<retry)
	}
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// Sleep waits for d or until ctx is done, and reports whether it waited for d.
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
