// Package admission decides whether a request runs on a slot of the backend
// server at once, waits in a short queue, or is shed with a reason and the
// time to come back. The expected wait comes from the durations that the host
// itself observed, never from what a backend server reports.
//
// The package has no clock, lock or goroutine: time is an argument and the
// caller serialises the calls.
package admission
