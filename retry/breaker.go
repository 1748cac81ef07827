package retry

import "time"

// Permit tells whether a call may be made.
type Permit uint8

// Permits of a Breaker.
const (
	// Refuse means that the answer is known: nobody would answer the call.
	Refuse Permit = iota
	// Probe is Refuse, but a call is due that shows whether the far side is
	// back.
	Probe
	// Full allows as many tries as the caller has time for.
	Full
)

// CircuitBreaker tells calls that nobody answers to give up at once (a circuit
// breaker). It opens once calls have failed for a while without an answer in
// between, asks for a call as a probe from time to time, and closes with the
// first answer. It is not safe for use by several goroutines at once.
type CircuitBreaker struct {
	// OpenAfter is the time for which calls have to fail before it opens. It spans
	// what the far side needs to recover by itself, such as an election.
	OpenAfter time.Duration
	// ProbeInterval is the least time between two probes.
	ProbeInterval time.Duration

	failing bool
	// since and last are the first and the last failure in a row.
	since, last time.Duration
	probed      time.Duration
}

// RecordFailure records that a call got no answer between two times. Failures that lie
// further apart than After say nothing of the time between them and start anew.
func (b *CircuitBreaker) RecordFailure(began, now time.Duration) {
	if !b.failing || began-b.last > b.OpenAfter {
		b.since = began
		b.probed = began
	}
	b.failing = true
	b.last = max(b.last, now)
}

// RecordSuccess records that a call got an answer, whatever it says.
func (b *CircuitBreaker) RecordSuccess() {
	b.failing = false
}

// ProbeNow makes a probe due at once: the far side may be another one now.
func (b *CircuitBreaker) ProbeNow(now time.Duration) {
	b.probed = min(b.probed, now-b.ProbeInterval)
}

// Open reports whether the far side is known to be away.
func (b *CircuitBreaker) Open() bool {
	return b.failing && b.last-b.since >= b.OpenAfter
}

// Allow decides on a call. A probe is due once in Every.
func (b *CircuitBreaker) Allow(now time.Duration) Permit {
	if !b.Open() {
		return Full
	}
	if now-b.probed < b.ProbeInterval {
		return Refuse
	}
	b.probed = now
	return Probe
}
