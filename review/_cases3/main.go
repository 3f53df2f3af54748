// Command cases3 plays the scripted cases of the third review: it starts the programs of the
// deploy file on loopback addresses with stand-in workers, callers and an operator.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: cases3 worker ... | cases3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	play := cases[os.Args[1]]
	if play == nil || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "unknown case or no folder")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}
