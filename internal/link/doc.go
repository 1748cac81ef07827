// Package link carries control messages between the processes of a deployment: QUIC
// connections with mutual TLS. Each stream holds one request and its response, or a
// subscription. Messages are protobuf with a varint length prefix.
//
// A Client keeps one connection to one of several servers and sends heartbeats on it. If the
// server stops replying it reconnects from a new UDP port, since a middlebox may have dropped
// the state of the old one. A connection counts as established once the server has replied to
// a heartbeat.
//
// A Server verifies the role in the peer's certificate, bounds connections, streams and
// messages, and limits the rate of new connections. Refused peers get a retry-after time.
// Control hosts are exempt from the limits, since all others depend on their consensus.
package link
