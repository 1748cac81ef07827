// Package returnpath selects the entry host through which an agent sends the next
// datagram of a flow. Each received frame shows that its entry host works. A flow
// remembers the last few of them. An agent remembers those of all flows as a fallback.
//
// The package has no clock and no goroutine: time is an argument.
package returnpath
