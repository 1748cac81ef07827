// Package connid encodes and decodes QUIC connection IDs that name the target
// of a flow.
//
// A connection ID names the frame address of the agent, the number of the
// target and its incarnation, so that any entry host can forward any packet
// of an established flow without a table. The ID is 20 bytes long:
//
//	byte  0      low 3 bits: ID of the secret; high 5 bits: random
//	bytes 1-16   one AES-128 block over address, port, number, incarnation, counter
//	bytes 17-19  start of AES-128 of bytes 1-16 under a second key
//
// Encryption keeps callers from reading where a flow lives and from linking
// two IDs of one flow. The tag refuses IDs that this deployment did not issue;
// 24 bits let one guess in 16 million pass, which is why the receiver still
// checks what the ID names. The counter makes each block unique within an
// incarnation, as AES without a nonce maps equal blocks to equal IDs.
//
// The package has no clock, no randomness and no I/O of its own.
package connid
