//go:build prove

package prove

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	nameFlag = flag.String("proof", "", "run only proofs whose name contains this")
	seedFlag = flag.Uint64("seed", 1, "seed of the proofs' random choices")
	keepFlag = flag.Bool("keep", false, "keep the files of proofs that pass too")
)

// proof is one failure proof.
type proof struct {
	name      string
	timeLimit time.Duration // a proof that takes longer fails
	options   clusterOptions
	run       func(*run)
}

// run is one execution of a proof; mu guards failures and notes.
type run struct {
	*cluster
	ctx  context.Context
	seed uint64
	rng  *rand.Rand

	mu       sync.Mutex
	failures []string
	figures  []string
}

// failf records a failure; the proof goes on.
func (r *run) failf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// addFigure adds a figure to the proof's line.
func (r *run) addFigure(key string, value any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures = append(r.figures, fmt.Sprintf("%s=%v", key, value))
}

// proofAbort ends a proof at once.
type proofAbort struct{ reason string }

func (r *run) fatalf(format string, args ...any) { panic(proofAbort{fmt.Sprintf(format, args...)}) }

// sleep waits, unless the proof's time is over.
func (r *run) sleep(d time.Duration) {
	select {
	case <-r.ctx.Done():
		r.fatalf("time bound passed")
	case <-time.After(d):
	}
}

// waitUntil polls f and fails the proof if it is not true within limit.
func (r *run) waitUntil(what string, timeout time.Duration, condition func() bool) {
	for deadline := time.Now().Add(timeout); ; r.sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
		if time.Now().After(deadline) {
			r.fatalf("%s: not within %s", what, timeout)
		}
	}
}

// maxLineFailures bounds the failures in a proof's line; all are in the folder.
const maxLineFailures = 3

// TestProve runs the proofs one after the other.
func TestProve(t *testing.T) {
	found := false
	for _, p := range proofs {
		if strings.Contains(p.name, *nameFlag) {
			found = true
			t.Run(p.name, func(t *testing.T) { p.execute(t, *seedFlag) })
		}
	}
	if !found {
		t.Fatalf("no proof has %q in its name", *nameFlag)
	}
}

func (p *proof) execute(t *testing.T, seed uint64) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), p.timeLimit)
	defer cancel()
	r := &run{ctx: ctx, seed: seed, rng: rand.New(rand.NewPCG(seed, 0))}
	r.cluster = newCluster(r, p.options)
	defer r.cluster.close()
	r.runWithRecover(p.run)
	verdict := "PASS"
	if len(r.failures) > 0 {
		verdict = "FAIL"
		t.Fail()
	}
	r.addFigure("time", time.Since(start).Round(100*time.Millisecond))
	line := fmt.Sprintf("PROOF %s %s seed=%d %s", p.name, verdict, seed, strings.Join(r.figures, " "))
	if len(r.failures) > 0 {
		shown := r.failures[:min(len(r.failures), maxLineFailures)]
		line += fmt.Sprintf(" failures=%d %s logs=%s", len(r.failures), strconv.Quote(strings.Join(shown, "; ")), r.dir)
		_ = os.WriteFile(r.path("failures"), []byte(strings.Join(r.failures, "\n")+"\n"), 0o644)
	}
	fmt.Println(line)
	if len(r.failures) == 0 && !*keepFlag {
		_ = os.RemoveAll(r.dir)
	}
}

// runWithRecover starts the cluster and runs the proof; an abort becomes a failure.
func (r *run) runWithRecover(body func(*run)) {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case proofAbort:
			r.failf("%s", v.reason)
		default:
			buf := make([]byte, 8<<10)
			r.failf("panic: %v\n%s", v, buf[:runtime.Stack(buf, false)])
		}
	}()
	r.cluster.start()
	body(r)
	if r.ctx.Err() != nil {
		r.failf("time bound passed")
	}
}
