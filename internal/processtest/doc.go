// Package processtest runs real processes of the system for end-to-end tests.
// It builds the binary once, gives every host its own loopback address, writes
// keys and settings, starts, stops and freezes processes, and calls services
// through a simulated fabric.
//
// Helpers poll a condition up to a timeout and never wait for a fixed time. When
// a test fails, the logs of all its processes are printed.
package processtest
