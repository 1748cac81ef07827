package processtest

import (
	"testing"
	"time"
)

const (
	// waitLimit only bounds how long a failing test takes; no test depends
	// on a condition being met sooner.
	waitLimit = 2 * time.Minute
	pollEvery = 20 * time.Millisecond
)

// Eventually polls the condition until it holds and fails the test when it
// never does.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("never came to pass: %s", what)
		}
		time.Sleep(pollEvery)
	}
}
