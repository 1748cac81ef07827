//go:build review

// Package secondreview runs the cases of the second independent review. It is compiled to
// a program that starts the project's processes on loopback with the commands of the
// deploy file, plays one case and exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run.
package secondreview

import (
	"fmt"
	"os"
	"testing"
)

// Exit statuses.
const (
	statusHeld      = 0
	statusBroken    = 1
	statusCannotRun = 2
)

// cases has the function of each case by its name on the command line.
var cases = map[string]func(*run) (broken bool, err error){
	"first-start":     firstStart,
	"idle-timeout":    idleTimeout,
	"reused-address":  reusedAddress,
	"skipped-version": skippedVersion,
}

// TestMain replaces the test runner: secondreview CASE RECORD-FILE.
func TestMain(*testing.M) { os.Exit(execute(os.Args[1:])) }

func execute(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: secondreview CASE RECORD-FILE")
		return statusCannotRun
	}
	r, err := newRun(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCannotRun
	}
	defer r.close()
	broken, err := cases[args[0]](r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return statusCannotRun
	case broken:
		r.note("RESULT: the rule was broken")
		return statusBroken
	}
	r.note("RESULT: the rule held")
	return statusHeld
}
