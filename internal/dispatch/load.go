package dispatch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"teaselpaddle.example/teaselpaddle/internal/retry"
	"teaselpaddle.example/teaselpaddle/internal/telemetry"
)

// A leader of many workers shares its processor with the consensus of its group. If more
// work becomes runnable than the processor bears, heartbeats wait behind it, the leader is replaced,
// and its successor must ask every worker anew, which overloads it in turn. So the leader measures
// how late its own goroutines run, and admits calls to workers and decisions accordingly.
const (
	// lagInterval is the time between two measurements of the scheduling lag.
	lagInterval = 10 * time.Millisecond
	// lagDecay is the factor by which an earlier measurement counts less in each interval: a
	// lag of 100 ms is forgotten within a third of a second.
	lagDecay = 0.93
	// overloadLag is the lag from which the leader counts as overloaded. It is small against
	// an election timeout of 600 ms.
	overloadLag = 80 * time.Millisecond
	// overloadedRestFactor replaces planRestFactor while the leader is overloaded.
	overloadedRestFactor = 2
)

// Limits of the calls in flight. Holds that wait for an end count only while they are sent.
const (
	initialCallLimit = 256
	minCallLimit     = 16
	maxCallLimit     = 512
	// adjustInterval is the time between two adjustments of the limit.
	adjustInterval = 50 * time.Millisecond
	// holdSendTime is the time for which a hold that waits for an end counts as being sent. With less,
	// a leader of 1,800 workers is overloaded by the answers to them.
	holdSendTime = 20 * time.Millisecond
)

var (
	schedulingLag  = metrics.GetOrCreateHistogram("teaselpaddle_scheduling_lag_seconds")
	callQueueTime  = metrics.GetOrCreateHistogram("teaselpaddle_worker_call_queue_seconds")
	callLimitGauge = metrics.GetOrCreateGauge("teaselpaddle_worker_call_limit", nil)
)

// loadMeter measures how late the goroutines of this process run.
type loadMeter struct{ lag atomic.Int64 }

// run measures until ctx ends. It calls adjust about every adjustInterval.
func (m *loadMeter) run(ctx context.Context, adjust func(lag time.Duration)) {
	adjustedAt := time.Now()
	for {
		began := time.Now()
		if !retry.Sleep(ctx, lagInterval) {
			return
		}
		lag := max(time.Since(began)-lagInterval, 0)
		schedulingLag.Update(lag.Seconds())
		m.lag.Store(max(int64(lag), int64(lagDecay*float64(m.lag.Load()))))
		if time.Since(adjustedAt) >= adjustInterval {
			adjustedAt = time.Now()
			adjust(m.current())
		}
	}
}

// current returns the largest recent lag.
func (m *loadMeter) current() time.Duration { return time.Duration(m.lag.Load()) }

func (m *loadMeter) overloaded() bool { return m.current() > overloadLag }

// callLimit bounds the calls to workers that are in flight. Stops go first and calls that concern runs
// before the others; within a class they go in the order of their arrival.
type callLimit struct {
	mu       sync.Mutex // guards the fields below
	limit    float64
	inFlight int
	waiting  [callClasses][]chan struct{} // by class; closed when the call may go
}

// callClass tells which calls go first.
type callClass int

const (
	callStop    callClass = iota
	callForRuns           // starts, and holds of workers with runs
	callOther
	callClasses // number of classes
)

func newCallLimit() *callLimit { return &callLimit{limit: initialCallLimit} }

// acquire waits until the call may be sent. It returns false if ctx ends before that.
func (c *callLimit) acquire(ctx context.Context, class callClass) bool {
	c.mu.Lock()
	if c.inFlight < int(c.limit) {
		c.inFlight++
		c.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	c.waiting[class] = append(c.waiting[class], turn)
	c.mu.Unlock()
	telemetry.Count("teaselpaddle_worker_calls_queued_total")
	began := time.Now()
	defer callQueueTime.UpdateDuration(began)
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, w := range c.waiting[class] {
		if w == turn {
			c.waiting[class] = append(c.waiting[class][:i:i], c.waiting[class][i+1:]...)
			return false
		}
	}
	c.inFlight-- // its turn came at the same moment
	c.admit()
	return false
}

// release ends a call.
func (c *callLimit) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.admit()
}

// admit lets waiting calls go. The caller holds mu.
func (c *callLimit) admit() {
	for class := range c.waiting {
		for len(c.waiting[class]) > 0 && c.inFlight < int(c.limit) {
			close(c.waiting[class][0])
			c.waiting[class] = c.waiting[class][1:]
			c.inFlight++
		}
	}
}

// queued returns the number of calls of a class that wait for their turn.
func (c *callLimit) queued(class callClass) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting[class])
}

// anyWaiting reports whether a call waits for its turn. The caller holds mu.
func (c *callLimit) anyWaiting() bool {
	return slices.ContainsFunc(c.waiting[:], func(q []chan struct{}) bool { return len(q) > 0 })
}

// adjust lowers the limit by a third while the process runs late, and raises it slowly while calls
// wait and it does not.
func (c *callLimit) adjust(lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case lag > overloadLag:
		c.limit = max(c.limit*2/3, minCallLimit)
	case c.anyWaiting() || c.limit < initialCallLimit:
		c.limit = min(c.limit*1.05+1, maxCallLimit)
	}
	callLimitGauge.Set(c.limit)
	c.admit()
}

// acquireCall waits until a call to the worker may be sent, and returns the function that
// ends it, or nil if ctx ends before that. wait is how long the worker may delay its answer.
func (a *agent) acquireCall(ctx context.Context, class callClass, wait time.Duration) (release func()) {
	calls := a.leadership.calls
	if !calls.acquire(ctx, class) {
		return nil
	}
	if wait == 0 {
		return calls.release
	}
	var once sync.Once
	t := time.AfterFunc(holdSendTime, func() { once.Do(calls.release) })
	return func() {
		t.Stop()
		once.Do(calls.release)
	}
}
