// Package health assesses the health and load of an agent's backend server.
// Observed requests take precedence. Reports of the health and load endpoints count
// only without enough observations, and are ignored once observations contradict
// them, so wrong or hanging endpoints have little effect.
//
// The package has no clock, locks or goroutines. Callers pass the time as a duration
// on a monotonic clock and serialize the calls.
package health
