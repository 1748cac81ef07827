package retry

import "time"

// Permit specifies whether a call may be made.
type Permit uint8

// Permits of a CircuitBreaker.
const (
	// Refuse means that the call is expected to fail and must not be made.
	Refuse Permit = iota
	// Probe is Refuse, but a probe is due that tests whether the peer responds again.
	Probe
	// Full allows the call and any retries of it.
	Full
)

// CircuitBreaker makes calls to an unresponsive peer fail fast. It opens once calls
// have failed for some time without a success in between, requests a probe at
// intervals, and closes on the first success. It is not safe for concurrent use.
type CircuitBreaker struct {
	// OpenAfter is the time for which calls must fail before it opens. It should
	// exceed the duration of recoverable outages such as an election.
	OpenAfter time.Duration
	// ProbeInterval is the least time between probes.
	ProbeInterval time.Duration

	failing bool
	// firstFailure and lastFailure are the times of consecutive failures.
	firstFailure, lastFailure time.Duration
	lastProbe                 time.Duration
}

// RecordFailure records that a call from began to now failed. Failures further apart
// than OpenAfter start a new sequence.
func (b *CircuitBreaker) RecordFailure(began, now time.Duration) {
	if !b.failing || began-b.lastFailure > b.OpenAfter {
		b.firstFailure = began
		b.lastProbe = began
	}
	b.failing = true
	b.lastFailure = max(b.lastFailure, now)
}

// RecordSuccess records that a call got a response.
func (b *CircuitBreaker) RecordSuccess() {
	b.failing = false
}

// ProbeNow makes a probe due at once, for example after a reconnect.
func (b *CircuitBreaker) ProbeNow(now time.Duration) {
	b.lastProbe = min(b.lastProbe, now-b.ProbeInterval)
}

// Open reports whether calls to the peer are expected to fail.
func (b *CircuitBreaker) Open() bool {
	return b.failing && b.lastFailure-b.firstFailure >= b.OpenAfter
}

// Allow decides on a call.
func (b *CircuitBreaker) Allow(now time.Duration) Permit {
	if !b.Open() {
		return Full
	}
	if now-b.lastProbe < b.ProbeInterval {
		return Refuse
	}
	b.lastProbe = now
	return Probe
}
