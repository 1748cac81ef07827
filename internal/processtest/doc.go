// Package processtest runs real processes of the system for the tests below
// test/: it builds the binary once, gives every host an IP number of its own
// on loopback, writes keys and settings, starts, stops and freezes processes,
// and calls services through a stand-in of the fabric.
//
// Nothing waits for a fixed time: helpers poll a condition up to a generous
// limit. When a test fails, the logs of all its processes are printed.
package processtest
