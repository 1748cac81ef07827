// Package connid encodes and decodes QUIC connection IDs that name the target of a
// flow.
//
// A connection ID contains the frame address of the agent, the number of the target and
// its incarnation, so that any entry host can forward packets of an established flow
// without a lookup. It is 20 bytes long:
//
//	byte  0      low 3 bits: ID of the secret; high 5 bits: random
//	bytes 1-16   one AES-128 block over address, port, number, incarnation, counter
//	bytes 17-19  start of AES-128 of bytes 1-16 under a second key
//
// Encryption hides the target from callers and prevents linking two IDs of one flow.
// The tag detects IDs that this deployment did not issue. A guess passes with a
// probability of 2^-24, so the receiver must still check the target. The counter makes
// each block unique within an incarnation, as AES without a nonce maps equal blocks to
// equal IDs.
//
// The package has no clock, no randomness and no I/O of its own.
package connid
