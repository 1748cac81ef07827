// Package quicheader parses the version-independent part of QUIC packets (RFC 8999) and
// the type of long-header packets of QUIC versions 1 (RFC 9000) and 2 (RFC 9369). It
// parses only the first packet of a datagram, as all of them have the same destination
// (RFC 9000, 12.2).
//
// The package has no clock, no randomness and no I/O.
package quicheader
