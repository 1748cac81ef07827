// Package qos has the quality of service that routes state for their requests: priority,
// response time objective, timeout, and whether a request may be repeated.
//
// A route that states neither an objective nor a timeout has the zero Class. Decisions
// under load then treat its requests as if the package did not exist.
//
// The package has no clock, locks or goroutines.
package qos
