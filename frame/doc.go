// Package frame encodes and decodes the frames between entry hosts and agents: a fixed
// header followed by a datagram from or to the caller.
//
// The header is 64 bytes long, in network byte order:
//
//	byte  0      high 4 bits: version; low 4 bits: kind
//	byte  1      bits 0-2: ID of the secret; 3-4: hops; 5: draining; 6: unhealthy
//	bytes 2-3    load of the target, per mille
//	bytes 4-7    number of the service
//	bytes 8-10   number of the target
//	bytes 11-13  incarnation of the target
//	bytes 14-19  alternate target, or entry host after a hop: IPv4 address, port
//	bytes 20-37  caller: IPv6 or IPv4-mapped address, port
//	bytes 38-55  public address of the service: the same
//	bytes 56-63  tag
//
// The tag is the AES-128 CBC-MAC over the header without the tag, truncated to 8 bytes.
// CBC-MAC is secure here, as its input has a fixed length. The tag does not cover the
// datagram, which QUIC protects, and does not prevent replay of a header. Frames belong
// on networks that only entry hosts and agents can read.
//
// The package has no clock, no randomness and no I/O.
package frame
