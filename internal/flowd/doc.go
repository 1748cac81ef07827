// Package flowd runs the state machines of package flow on sockets. An Entry receives
// packets of callers and sends them to agents. An Agent forwards packets between its
// backend server, entry hosts and callers. Both subscribe to the configuration and the
// directory. A Codec implements the packet format.
//
// Lock order: Entry before placer.
package flowd
