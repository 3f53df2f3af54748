// Command cases2 runs the scripted cases of the second review. Each case starts the system's programs
// as processes on loopback addresses with stand-in workers and callers, brings its disruption about
// unless TROUBLE is 0, and judges what callers and workers have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	startLimit  = 20 * time.Second
	longestCase = 115 * time.Second
)

// notRunError reports that a case could not bring its situation about.
type notRunError struct{ detail string }

func (e *notRunError) Error() string { return e.detail }

func notRun(format string, args ...any) error {
	return &notRunError{detail: fmt.Sprintf(format, args...)}
}

// brokenError reports a broken rule.
type brokenError struct{ detail string }

func (e *brokenError) Error() string { return e.detail }

func broken(format string, args ...any) error {
	return &brokenError{detail: fmt.Sprintf(format, args...)}
}

// cases are the cases by name. trouble is false if the disruption is to be left out.
var cases = map[string]func(rec *record, trouble bool) error{
	"late-start":    lateStart,
	"odd-report":    oddReport,
	"other-service": otherService,
	"route-removed": routeRemoved,
	"failed-once":   failedOnce,
	// Shown as well, without a folder of their own.
	"lasting-tests": lastingTests,
	"lasting-crash": lastingCrash,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption %t", os.Args[1], trouble)
	result := make(chan error, 1)
	go func() { result <- cases[os.Args[1]](rec, trouble) }()
	select {
	case err = <-result:
	case <-time.After(longestCase):
		err = notRun("the case took longer than %v", longestCase)
		stopAll()
	}
	code := exitHeld
	var b *brokenError
	switch {
	case errors.As(err, &b):
		code = exitBroken
		rec.printf("BROKEN: %v", err)
	case err != nil:
		code = exitNotRun
		rec.printf("not run: %v", err)
	default:
		rec.printf("held")
	}
	if err != nil {
		fmt.Println(err)
	}
	_ = rec.file.Close()
	os.Exit(code)
}
