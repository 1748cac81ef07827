// Package retry decides whether an attempt at a backend server may be
// repeated. It classifies what an attempt came to, spends a budget that all
// requests of a host share, and spaces attempts by a backoff with jitter that
// never passes the deadline.
//
// The package has no clock and no source of chance: both are arguments.
package retry
