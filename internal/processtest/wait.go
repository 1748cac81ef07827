package processtest

import (
	"testing"
	"time"
)

const (
	// waitTimeout limits the duration of a failing test.
	waitTimeout  = 2 * time.Minute
	pollInterval = 20 * time.Millisecond
)

// Eventually polls the condition until it holds and fails the test after a
// timeout.
func Eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met: %s", description)
		}
		time.Sleep(pollInterval)
	}
}
