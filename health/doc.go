// Package health gives the verdict of an agent on its backend server. What
// the agent itself observes (answers, refusals, resets, timeouts, requests in
// flight) comes first; what the health and load endpoints report counts only
// where there is no observation, and is distrusted once observation
// contradicts it. Endpoints that are always well, always ill, frozen or that
// contradict each other therefore cost little.
//
// The package has no clock, lock or goroutine: time is an argument, as a
// duration on any monotonic scale, and the caller serialises the calls.
package health
