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

// proof describes one failure proof: its cluster, its time limit and its body.
type proof struct {
	name      string
	timeLimit time.Duration // a proof that takes longer fails
	options   clusterOptions
	run       func(*run)
}

// run is one execution of a proof; mu guards failures and figures.
type run struct {
	*cluster
	ctx  context.Context
	seed uint64
	rng  *rand.Rand

	mu       sync.Mutex
	failures []string
	figures  []string
}

// failf records a failure; the proof continues.
func (r *run) failf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// addFigure adds key=value to the proof's result line.
func (r *run) addFigure(key string, value any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures = append(r.figures, fmt.Sprintf("%s=%v", key, value))
}

// proofAbort is the panic value with which fatalf ends a proof.
type proofAbort struct{ reason string }

// fatalf ends the proof with a failure. It must be called on the proof's own
// goroutine, where runWithRecover recovers the panic.
func (r *run) fatalf(format string, args ...any) { panic(proofAbort{fmt.Sprintf(format, args...)}) }

// sleep waits for d; it ends the proof if the proof's time limit passes meanwhile.
func (r *run) sleep(d time.Duration) {
	select {
	case <-r.ctx.Done():
		r.fatalf("time limit exceeded")
	case <-time.After(d):
	}
}

// waitUntil polls condition and ends the proof if it is not true within timeout.
func (r *run) waitUntil(what string, timeout time.Duration, condition func() bool) {
	for deadline := time.Now().Add(timeout); ; r.sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
		if time.Now().After(deadline) {
			r.fatalf("%s: not reached within %s", what, timeout)
		}
	}
}

// maxLineFailures bounds the failures in a proof's result line; the file failures
// in the proof's folder has all of them.
const maxLineFailures = 3

// TestProve runs the selected proofs one after the other.
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

// execute runs the proof, prints its result line and removes its files unless it
// failed or -keep is set.
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

// runWithRecover starts the cluster and runs the proof's body; fatalf and any other
// panic become failures.
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
		r.failf("time limit exceeded")
	}
}
