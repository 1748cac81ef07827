package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"eelgrasswharf.example/eelgrasswharf/retry"
)

const (
	testOpenAfter     = 2 * time.Second
	testProbeInterval = 500 * time.Millisecond
)

func newCircuitBreaker() *retry.CircuitBreaker {
	return &retry.CircuitBreaker{OpenAfter: testOpenAfter, ProbeInterval: testProbeInterval}
}

func TestCircuitBreakerOpensAndCloses(t *testing.T) {
	is := is.New(t)
	b := newCircuitBreaker()
	is.Equal(b.Allow(0), retry.Full)
	for at := time.Duration(0); at < testOpenAfter; at += testProbeInterval {
		b.RecordFailure(at, at)
		is.Equal(b.Allow(at), retry.Full) // shorter than an election
	}
	b.RecordFailure(testOpenAfter, testOpenAfter)
	is.True(b.Open())
	is.Equal(b.Allow(testOpenAfter), retry.Probe)
	is.Equal(b.Allow(testOpenAfter+1), retry.Refuse)
	is.Equal(b.Allow(testOpenAfter+testProbeInterval), retry.Probe)
	is.Equal(b.Allow(testOpenAfter+testProbeInterval), retry.Refuse)
	b.ProbeNow(testOpenAfter + testProbeInterval)
	is.Equal(b.Allow(testOpenAfter+testProbeInterval), retry.Probe)
	b.RecordSuccess()
	is.Equal(b.Allow(testOpenAfter+testProbeInterval), retry.Full)
}

// Failures further apart than OpenAfter do not open the circuit breaker.
func TestCircuitBreakerRequiresConsecutiveFailures(t *testing.T) {
	is := is.New(t)
	b := newCircuitBreaker()
	b.RecordFailure(0, 0)
	b.RecordFailure(time.Hour, time.Hour)
	is.True(!b.Open())
	b.RecordFailure(time.Hour, time.Hour+testOpenAfter) // one call that timed out
	is.True(b.Open())
}

// For any sequence of events, a call is refused only after failures for OpenAfter
// without a success in between, and never for longer than ProbeInterval.
func TestCircuitBreakerRefusesOnlyAfterFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newCircuitBreaker()
		now, lastSuccess, failingSince, lastAllowed := time.Duration(0), time.Duration(-1), time.Duration(-1), time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(testOpenAfter)).Draw(t, "pause"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				b.RecordSuccess()
				lastSuccess, failingSince = now, -1
			case 1:
				began := max(now-time.Duration(rapid.Int64Range(0, int64(testProbeInterval)).Draw(t, "lasted")), lastSuccess, 0)
				b.RecordFailure(began, now)
				if failingSince < 0 {
					failingSince = began
				}
			default:
				permit := b.Allow(now)
				if permit == retry.Refuse && (failingSince < 0 || now-failingSince < testOpenAfter || now-lastAllowed >= testProbeInterval) {
					t.Fatalf("refused at %v: last success %v, failing since %v, last allowed %v", now, lastSuccess, failingSince, lastAllowed)
				}
				if permit != retry.Refuse {
					lastAllowed = now
				}
			}
		}
	})
}
