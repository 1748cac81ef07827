// Package link carries control messages between the processes of a
// deployment: QUIC connections with mutual TLS, on which each stream holds one
// request and its response, or a subscription.
//
// A Client keeps one connection to one address out of a list. It sends a
// heartbeat on it at each period. When the path goes silent it dials anew
// from a fresh UDP port, because something between the two ends may have lost
// track of the old one. A connection counts as established once the server
// has answered a heartbeat on it, so a server that accepts handshakes and
// nothing else is passed over.
//
// A Server checks the role in the peer's certificate, bounds connections,
// streams and messages, and limits how many connections it admits a second.
// A peer that is not admitted is told when to come back. Control hosts are
// exempt from the limits, since the others depend on their agreement.
//
// Messages are protobuf with a varint length in front.
package link
