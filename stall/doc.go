// Package stall detects that the process did not run for a while: it was stopped by a
// signal or a debugger, got no processor time, or the machine was suspended. Data that
// waited in socket buffers meanwhile may be outdated when the process reads it.
//
// The package has no clock, lock or goroutine. Time is passed in as a duration on any
// monotonic scale, and the caller serializes the calls.
package stall
