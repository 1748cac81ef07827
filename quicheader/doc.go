// Package quicheader reads the version-independent part of QUIC packets
// (RFC 8999) and the type of long-header packets of QUIC version 1 (RFC 9000)
// and version 2 (RFC 9369). It looks at the first packet of a datagram only:
// all packets of a datagram have the same destination (RFC 9000, 12.2).
//
// The package has no clock, no randomness and no I/O.
package quicheader
