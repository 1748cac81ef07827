// Package admission decides whether a request gets a slot of the backend server,
// waits in a bounded queue, or is shed with a reason and a retry delay. The
// expected wait is derived from observed request durations only, never from the
// backend server's own reports.
//
// The package has no clock, locks or goroutines. Callers pass the time and
// serialize the calls.
package admission
