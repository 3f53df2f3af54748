// Command review-standin plays one case of the review: it starts the programs of the deploy file,
// stand-in workers, consumers and an operator, and judges one rule. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
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
	"foreign-report":    foreignReport,
	"crash-then-gone":   crashThenGone,
	"scattered-reclaim": scatteredReclaim,
	"removed-route":     removedRoute,
	"gang-blocks":       gangBlocks,
	"failed-once":       failedOnce,
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
		v, err = f(d, trouble)
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

// waitFor waits until f returns true. It returns false after the given time.
func waitFor(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
