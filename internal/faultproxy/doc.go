// Package faultproxy relays UDP datagrams and TCP connections on loopback and injects
// network faults. Only tests, experiments and development tools use it.
//
// With several hosts a Relay simulates the fabric: it sends each datagram of a caller
// to a random host and returns the replies of all hosts to the caller. With one host
// it simulates a link between two processes.
//
// All randomness comes from Options.Rand, so a seed determines the decisions for a
// given sequence of datagrams.
package faultproxy
