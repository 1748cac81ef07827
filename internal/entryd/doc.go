// Package entryd is the daemon of an entry host: it forwards datagrams between callers
// and the agents of targets.
//
// A datagram whose connection ID names a target is forwarded to the agent of that
// target without a lookup. For a first packet, package routing chooses the target. A
// reply frame is forwarded to the caller through the socket of the public address that
// it names. An entry host keeps no state of flows, so its loss, a restart or a stale
// view breaks none. Without control hosts it continues with its last view.
//
// # Concurrency
//
// One worker reads each socket. Workers share immutable tables, which are replaced
// through atomic pointers, and take no lock. The goroutine of Run owns all other state:
// it applies new views, opens and closes public addresses and refreshes the tables.
// Load reports are atomic words.
//
// Workers keep no datagram between two reads. On shutdown the sockets are closed when
// the context is done, and Run waits for the workers.
package entryd
