// Command review-standin plays one case of the review: it starts the programs of the deploy file,
// stand-in workers, consumers and an operator, and judges one rule. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case; broken is "" if the rule held.
type verdict struct{ broken string }

// cases are the cases by name. trouble is false for a play without the disruption.
var cases = map[string]func(d *deployment, trouble bool) (verdict, error){
	"odd-reason":     oddReason,
	"foreign-report": foreignReport,
	"many-ends":      manyEnds,
	"gang-blocks":    gangBlocks,
	// Further faults, see further.go.
	"scattered-reclaim": scatteredReclaim,
	"failed-once":       failedOnce,
	"removed-route":     removedRoute,
	"crash-then-gone":   crashThenGone,
	"born-goes-back":    bornGoesBack,
	"flapping-worker":   flappingWorker,
	"foreign-cancel":    foreignCancel,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER, in the repository's root")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	f := cases[name]
	repo, err := os.Getwd()
	if f == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption: %t", name, trouble)
	d, err := newDeployment(rec, repo)
	if err == nil {
		defer d.close()
		err = d.start()
	}
	var v verdict
	if err == nil {
		v, err = runCase(d, f, trouble)
	}
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case v.broken != "":
		rec.printf("BROKEN: %s", v.broken)
		fmt.Println("broken:", v.broken)
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// timeLimit bounds a case. A case takes 120 s at most.
const timeLimit = 110 * time.Second

// runCase runs a case until it ends, the time is over, or the script is told to stop.
func runCase(d *deployment, f func(*deployment, bool) (verdict, error), trouble bool) (verdict, error) {
	type result struct {
		v   verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := f(d, trouble)
		done <- result{v, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-done:
		return r.v, r.err
	case s := <-stop:
		return verdict{}, fmt.Errorf("stopped by %v", s)
	case <-time.After(timeLimit):
		return verdict{}, fmt.Errorf("not finished after %v", timeLimit)
	}
}

// waitFor waits until f returns true. It returns false after the given time.
func waitFor(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
