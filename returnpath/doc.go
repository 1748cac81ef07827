// Package returnpath decides through which entry host an agent sends the next
// datagram of a flow. Every frame that arrives shows an entry host that works;
// a flow remembers the last few of them and a host remembers those that any
// flow was heard through, as a last resort.
//
// The package has no clock and no goroutine: time is an argument.
package returnpath
