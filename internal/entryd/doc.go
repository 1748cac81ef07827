// Package entryd is the daemon of an entry host: it forwards datagrams between
// callers and the agents of targets.
//
// A datagram whose connection ID names a target goes to that target's agent,
// without any table. A first packet goes to a target that routing chooses. A
// reply frame of an agent goes to the caller through the socket of the public
// address that it names. An entry host keeps nothing of a flow, so its loss,
// its restart or its old view of the fleet breaks none; without any control
// host it goes on forwarding by its last view.
//
// # Concurrency
//
// Workers read the sockets: one for each socket of a public address and one
// for each frame socket. They share immutable tables, which are swapped whole
// through atomic pointers, and take no lock at all. One goroutine, that of
// Run, owns everything else: it applies new views, opens and closes public
// addresses and rebuilds the tables each second. Load figures are atomic words
// that workers write and read without order.
//
// No datagram is held over a read, so a shutdown has nothing to hand over: it
// closes the sockets once the context is done and waits for the workers.
package entryd
