// Package frame encodes and decodes what entry hosts and agents exchange: a
// fixed header followed by a datagram of the caller or to the caller.
//
// The header is 64 bytes long, all numbers are big endian:
//
//	byte  0      high 4 bits: version; low 4 bits: kind
//	byte  1      bits 0-2: ID of the secret; 3-4: hops; 5: draining; 6: ill
//	bytes 2-3    load of the target, per mille
//	bytes 4-7    number of the service
//	bytes 8-10   number of the target
//	bytes 11-13  incarnation of the target
//	bytes 14-19  alternate target, or entry host after a hop: IPv4 address, port
//	bytes 20-37  caller: IPv6 or IPv4-mapped address, port
//	bytes 38-55  public address of the service: the same
//	bytes 56-63  tag
//
// The tag is the AES-128 CBC-MAC, cut to 8 bytes, over the header with the tag
// taken as zero. CBC-MAC is sound here as its input has one fixed length. The
// tag does not cover the datagram, which QUIC protects end to end, and does
// not stop a host that can read frames from repeating a header; frames belong
// on networks that only entry hosts and agents can read.
//
// The package has no clock, no randomness and no I/O.
package frame
