// Package faultproxy relays UDP datagrams and TCP connections on loopback and
// brings about network faults while it runs. It is used by tests and
// experiments only.
//
// A Relay stands in for the fabric when it has several hosts: each datagram of
// a caller goes to a host chosen at random, and a reply of any host returns to
// the caller. With one host it is a plain link between two processes.
//
// All randomness comes from the generator passed in, so a seed gives the same
// sequence of decisions for the same sequence of datagrams.
package faultproxy
