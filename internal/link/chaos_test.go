package link

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// Guards against outcomes that are wrong under random faults: success must mean
// that the handler ran once, NotSentError that it did not run, and no request may
// run twice. The order of the faults comes from a fixed seed; their timing varies.
func TestOutcomesUnderFaults(t *testing.T) {
	is := is.NewRelaxed(t) // also used by other goroutines
	cfg := Config{Heartbeat: 40 * time.Millisecond, DialTimeout: 100 * time.Millisecond, BackoffMax: 50 * time.Millisecond}
	a, b, p := pair(t, cfg, cfg)
	var mu sync.Mutex
	runs := map[string]int{}
	b.Handle(KindRequest, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		mu.Lock()
		runs[string(body)]++
		mu.Unlock()
		time.Sleep(time.Duration(len(body)) * time.Millisecond)
		return body, nil
	})
	ctx := within(t, 4*time.Second)
	outcomes := map[string]error{}
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprint(worker, "-", i)
				reply, err := a.Call(within(t, 600*time.Millisecond), "b", KindRequest, []byte(id))
				mu.Lock()
				is.True(err != nil || string(reply) == id) // the answer to this request
				outcomes[id] = err
				mu.Unlock()
				time.Sleep(time.Millisecond)
			}
		})
	}
	r := rand.New(rand.NewPCG(3, 3))
	faults := []func(){
		p.Cut, p.Heal, p.Heal, func() { p.BlackholeOpen(ToTarget) }, func() { p.BlackholeOpen(FromTarget) },
		func() { p.BlackholeAll(FromTarget) }, func() { p.Refuse(true) },
		func() { p.Delay(ToTarget, 30*time.Millisecond) }, func() { p.Delay(FromTarget, 200*time.Millisecond) },
	}
	for ctx.Err() == nil {
		faults[r.IntN(len(faults))]()
		time.Sleep(time.Duration(r.IntN(80)) * time.Millisecond)
	}
	p.Heal()
	wg.Wait()
	time.Sleep(300 * time.Millisecond) // a request that arrives late would run now
	mu.Lock()
	defer mu.Unlock()
	count := map[string]int{}
	for id, err := range outcomes {
		var notSent *NotSentError
		var noReply *NoReplyError
		switch {
		case err == nil:
			count["done"]++
			is.Equal(runs[id], 1)
		case errors.As(err, &notSent):
			count["not sent"]++
			is.Equal(runs[id], 0)
		default:
			is.True(errors.As(err, &noReply))
			count["no reply"]++
			is.True(runs[id] <= 1)
		}
	}
	t.Log(count, "resent:", a.counter("teaselpaddle_link_resent_requests_total"),
		"duplicates:", b.counter("teaselpaddle_link_duplicate_requests_total"))
	is.True(count["done"] > 0 && count["no reply"] > 0 && count["not sent"] > 0)
}
