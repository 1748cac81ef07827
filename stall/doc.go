// Package stall tells whether a request may have waited while the process that
// reads it stood still: stopped by a signal or a debugger, or kept from the
// processor. What waited in the buffers of its sockets is read once the process
// goes on, and may by then be contradicted by what others have told its sender.
//
// The package has no clock, lock or goroutine: time is an argument, as a
// duration on any monotonic scale, and the caller serialises the calls.
package stall
