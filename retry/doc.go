// Package retry decides whether a failed attempt at a backend server is retried. It
// classifies outcomes, enforces a retry budget that all requests of a host share, and
// computes backoff with jitter within the deadline. It also provides a circuit breaker.
//
// The package has no clock and no random source: both are arguments.
package retry
